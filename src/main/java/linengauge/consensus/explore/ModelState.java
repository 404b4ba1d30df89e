package linengauge.consensus.explore;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import linengauge.Moment;
import linengauge.Span;
import linengauge.consensus.MessageWriter;
import linengauge.consensus.PersistentState;
import linengauge.consensus.RaftMessage;
import linengauge.consensus.RaftNode;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.Voters;

/**
 * Voters and the messages in flight between them, copied before each choice. Each voter has its own
 * clock, which advances only when its timer expires or it pauses, so that no order of events is
 * excluded by timing. {@link ModelInvariants} checks the state and the answers.
 */
final class ModelState {
  /** A message in flight; one that is never delivered is lost. */
  private record Message(int to, RaftMessage message, byte[] bytes) {
    String key() {
      return to + Arrays.toString(bytes);
    }
  }

  private static final RaftSettings SETTINGS =
      new RaftSettings(Span.ofMillis(100), Span.ofMillis(300), Span.ofMillis(100), 64, 64, 1);
  private static final String ARRIVES = "arrives ";
  private static final long AUTHOR = 7;
  private static final int READER = 9;

  private final class Node implements RaftNode.Port {
    private final int number;
    private RaftNode voter;
    private PersistentState disk;
    private Moment clock = new Moment(0);

    private Node(int number) {
      this.number = number;
    }

    private boolean leads() {
      return voter.role() == RaftNode.Role.LEADER;
    }

    @Override
    public void save(PersistentState saved) {
      disk = saved;
    }

    @Override
    public void send(int to, RaftMessage message) {
      if (to < nodes.size()) {
        // The age does not matter here, and would keep equal states apart.
        RaftMessage ageless = message.withoutAge();
        Message m = new Message(to, ageless, ageless.bytes());
        inFlight.putIfAbsent(m.key(), m);
      }
    }

    @Override
    public void answer(long asker, RaftMessage message) {
      if (message.kind() == RaftMessage.Kind.READABLE && message.yes()) {
        String failure = invariants.checkRead(number, (int) message.round(), message.index());
        violation = failure != null ? failure : violation;
      }
    }
  }

  private final Scenario scenario;
  private final List<Node> nodes = new ArrayList<>();
  private final SortedMap<String, Message> inFlight = new TreeMap<>();

  private final ModelInvariants invariants;
  private int timeouts;
  private int faults;
  private int proposals;
  private int changes;
  private String violation;

  ModelState(Scenario scenario) {
    this.scenario = scenario;
    this.invariants = new ModelInvariants();
    SortedMap<Integer, Voters.Chair> chairs = new TreeMap<>();
    for (int i = 0; i < scenario.voters(); i++) {
      chairs.put(i, chair(i));
    }
    Voters founding = new Voters(chairs);
    for (int i = 0; i < scenario.voters() + (scenario.changes() > 0 ? 1 : 0); i++) {
      Node node = new Node(i);
      nodes.add(node);
      node.disk =
          i < scenario.voters()
              ? PersistentState.founding(chair(i).store(), founding, new NumberLog())
              : PersistentState.joining(chair(i).store(), new NumberLog());
      start(node);
    }
  }

  private static Voters.Chair chair(int number) {
    return new Voters.Chair(100 + number, "10.0.0." + number + ":7", true);
  }

  private void start(Node node) {
    node.voter =
        scenario
            .factory()
            .create(SETTINGS, node.number, node.disk, new NumberLog(), node.number, node);
    node.voter.start(node.clock);
  }

  /** Plays the setup, which does not count towards the bounds; returns the violation, or null. */
  String playSetup() {
    String failure = play(scenario.setup(), true);
    if (failure != null) {
      return failure;
    }
    timeouts = 0;
    faults = 0;
    proposals = 0;
    return null;
  }

  /**
   * Plays a schedule given as {@link Explorer#describe} writes it; returns the violation, or null.
   *
   * @param strict whether each step must be possible; otherwise impossible steps are skipped, as
   *     where a guard has prevented what leads to them
   */
  String play(List<String> schedule, boolean strict) {
    for (String step : schedule) {
      String choice =
          choices(false).stream()
              .filter(c -> Explorer.describe(c).equals(step))
              .findFirst()
              .orElse(null);
      if (choice == null && strict) {
        throw new IllegalArgumentException(
            "step is not possible: "
                + step
                + "; possible steps: "
                + choices(false).stream().map(Explorer::describe).toList());
      }
      String failure = choice == null ? null : apply(choice);
      if (failure != null) {
        return failure;
      }
    }
    return null;
  }

  ModelState(ModelState other) {
    this.scenario = other.scenario;
    this.invariants = new ModelInvariants(other.invariants);
    for (Node node : other.nodes) {
      Node copy = new Node(node.number);
      copy.disk = node.disk;
      copy.clock = node.clock;
      copy.voter = scenario.factory().copy(node.voter, new NumberLog(), copy);
      nodes.add(copy);
    }
    inFlight.putAll(other.inFlight);
    timeouts = other.timeouts;
    faults = other.faults;
    proposals = other.proposals;
    changes = other.changes;
  }

  /** All possible next steps, as {@link #apply} takes them. */
  List<String> choices() {
    return choices(true);
  }

  private List<String> choices(boolean bounded) {
    List<String> all = new ArrayList<>();
    inFlight.keySet().forEach(key -> all.add(ARRIVES + key));
    for (Node node : nodes) {
      if (!bounded || timeouts < scenario.timeouts()) {
        all.add("wakes " + node.number);
      }
      if (!bounded || faults < scenario.faults()) {
        addFaults(node, !bounded || scenario.allowsDiskLoss(), all);
      }
      if (node.leads()) {
        addRequests(node, bounded, all);
      }
    }
    return all;
  }

  private static void addFaults(Node node, boolean emptied, List<String> to) {
    to.add("crashes " + node.number);
    if (node.leads()) {
      to.add("stands still " + node.number);
    }
    if (emptied) {
      to.add("emptied " + node.number);
    }
  }

  private void addRequests(Node leader, boolean bounded, List<String> to) {
    if (!bounded || proposals < scenario.proposals()) {
      to.add("propose " + leader.number);
    }
    if (!bounded || invariants.reads() < scenario.reads()) {
      to.add("read " + leader.number);
    }
    if (!bounded || changes < scenario.changes()) {
      to.add("without " + leader.number);
      to.add("with " + leader.number);
    }
  }

  /** Applies a step; returns the violation, or null. */
  String apply(String choice) {
    if (choice.startsWith(ARRIVES)) {
      Message message = inFlight.remove(choice.substring(ARRIVES.length()));
      Node to = nodes.get(message.to);
      return act(to, () -> to.voter.heard(to.clock, message.message));
    }
    int space = choice.lastIndexOf(' ');
    Node node = nodes.get(Integer.parseInt(choice.substring(space + 1)));
    return switch (choice.substring(0, space)) {
      case "wakes" -> expireTimer(node);
      case "stands still" -> pause(node);
      case "crashes" -> crash(node, node.disk);
      case "emptied" -> crash(node, PersistentState.joining(501 + faults, new NumberLog()));
      case "propose" -> propose(node);
      case "read" -> read(node);
      case "without" -> change(node, withoutFollower(node));
      case "with" -> change(node, withAdded(node));
      default -> throw new IllegalArgumentException("unknown step: " + choice);
    };
  }

  private String expireTimer(Node node) {
    timeouts++;
    node.clock = node.clock.max(node.voter.next());
    return act(node, () -> node.voter.step(node.clock));
  }

  private String pause(Node node) {
    faults++;
    node.clock = node.clock.plus(SETTINGS.election().times(4));
    return act(node, () -> node.voter.step(node.clock));
  }

  private String crash(Node node, PersistentState diskAfter) {
    faults++;
    node.disk = diskAfter;
    start(node);
    return null;
  }

  private String propose(Node node) {
    proposals++;
    byte[] payload = new MessageWriter().num(proposals).done();
    return act(node, () -> node.voter.propose(node.clock, AUTHOR, proposals, payload));
  }

  private String read(Node node) {
    RaftMessage request =
        new RaftMessage(
            RaftMessage.Kind.READ,
            READER,
            0,
            0,
            0,
            0,
            0,
            invariants.onRead(),
            0,
            false,
            List.of(),
            new byte[0]);
    return act(node, () -> node.voter.ask(node.clock, READER, request));
  }

  private String change(Node node, Voters next) {
    changes++;
    return act(node, () -> node.voter.change(node.clock, next));
  }

  private static Voters withoutFollower(Node node) {
    Voters voters = node.voter.voters();
    int removed =
        voters.voting().stream().filter(v -> v != node.number).findFirst().orElse(node.number);
    return voters.without(removed);
  }

  private Voters withAdded(Node node) {
    int added = nodes.size() - 1;
    return node.voter.voters().with(added, chair(added));
  }

  private String act(Node node, Runnable task) {
    try {
      task.run();
    } catch (IllegalStateException e) {
      return node.number + ": " + e.getMessage();
    }
    return violation != null ? violation : invariants.check(node.voter);
  }

  /** Everything on which further steps depend; equal for equivalent states. */
  List<Object> fingerprint() {
    List<Object> all = new ArrayList<>();
    for (Node node : nodes) {
      all.add(node.voter.mark());
      all.add(List.of(node.disk.store(), node.disk.term(), node.disk.voted(), node.disk.entries()));
    }
    all.add(new TreeSet<>(inFlight.keySet()));
    all.add(invariants.fingerprint());
    all.add(List.of(timeouts, faults, proposals, changes));
    return all;
  }
}
