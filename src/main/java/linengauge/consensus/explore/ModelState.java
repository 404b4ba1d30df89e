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
 * Some voters and what is on its way between them, copied before each choice. Each voter has a
 * clock of its own, which moves only as its timers are let come due: no order of things is left out
 * because clocks would forbid it. {@link ModelJudge} judges what they hold and say.
 */
final class ModelState {
  /** On its way; whatever is never let arrive is lost. */
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
        // Said at some age or other: that bears on nothing here.
        RaftMessage ageless = message.withoutAge();
        Message m = new Message(to, ageless, ageless.bytes());
        onTheWay.putIfAbsent(m.key(), m);
      }
    }

    @Override
    public void answer(long asker, RaftMessage message) {
      if (message.kind() == RaftMessage.Kind.READABLE && message.yes()) {
        String wrong = judge.checkRead(number, (int) message.round(), message.index());
        broken = wrong != null ? wrong : broken;
      }
    }
  }

  private final Schedule plan;
  private final List<Node> nodes = new ArrayList<>();
  private final SortedMap<String, Message> onTheWay = new TreeMap<>();

  private final ModelJudge judge;
  private int wakes;
  private int faults;
  private int proposals;
  private int changes;
  private String broken;

  ModelState(Schedule plan) {
    this.plan = plan;
    this.judge = new ModelJudge();
    SortedMap<Integer, Voters.Chair> chairs = new TreeMap<>();
    for (int i = 0; i < plan.voters(); i++) {
      chairs.put(i, chair(i));
    }
    Voters founding = new Voters(chairs);
    for (int i = 0; i < plan.voters() + (plan.changes() > 0 ? 1 : 0); i++) {
      Node n = new Node(i);
      nodes.add(n);
      n.disk =
          i < plan.voters()
              ? PersistentState.founding(chair(i).store(), founding, new NumberLog())
              : PersistentState.joining(chair(i).store(), new NumberLog());
      begin(n);
    }
  }

  private static Voters.Chair chair(int number) {
    return new Voters.Chair(100 + number, "10.0.0." + number + ":7", true);
  }

  private void begin(Node n) {
    n.voter = plan.maker().make(SETTINGS, n.number, n.disk, new NumberLog(), n.number, n);
    n.voter.start(n.clock);
  }

  /**
   * Plays what has happened before, which counts for no bound; the rule that it breaks, or null.
   */
  String prelude() {
    String wrong = play(plan.prelude(), true);
    if (wrong != null) {
      return wrong;
    }
    wakes = 0;
    faults = 0;
    proposals = 0;
    return null;
  }

  /**
   * Plays a schedule in the words that it is told in; the rule that it breaks, or null.
   *
   * @param all each step has to be there to be chosen; else what is not is left out, as where a
   *     guard has refused what led to it
   */
  String play(List<String> schedule, boolean all) {
    for (String said : schedule) {
      String choice =
          choices(false).stream()
              .filter(c -> Explorer.told(c).equals(said))
              .findFirst()
              .orElse(null);
      if (choice == null && all) {
        throw new IllegalArgumentException(
            "cannot happen now: "
                + said
                + "; what can: "
                + choices(false).stream().map(Explorer::told).toList());
      }
      String wrong = choice == null ? null : go(choice);
      if (wrong != null) {
        return wrong;
      }
    }
    return null;
  }

  ModelState(ModelState o) {
    this.plan = o.plan;
    this.judge = new ModelJudge(o.judge);
    for (Node n : o.nodes) {
      Node copy = new Node(n.number);
      copy.disk = n.disk;
      copy.clock = n.clock;
      copy.voter = plan.maker().copy(n.voter, new NumberLog(), copy);
      nodes.add(copy);
    }
    onTheWay.putAll(o.onTheWay);
    wakes = o.wakes;
    faults = o.faults;
    proposals = o.proposals;
    changes = o.changes;
  }

  /** All that can happen next, in words that {@link #go} takes. */
  List<String> choices() {
    return choices(true);
  }

  private List<String> choices(boolean bounded) {
    List<String> all = new ArrayList<>();
    onTheWay.keySet().forEach(key -> all.add(ARRIVES + key));
    for (Node node : nodes) {
      if (!bounded || wakes < plan.wakes()) {
        all.add("wakes " + node.number);
      }
      if (!bounded || faults < plan.faults()) {
        addFaults(node, !bounded || plan.emptied(), all);
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
    if (!bounded || proposals < plan.proposals()) {
      to.add("propose " + leader.number);
    }
    if (!bounded || judge.reads() < plan.reads()) {
      to.add("read " + leader.number);
    }
    if (!bounded || changes < plan.changes()) {
      to.add("without " + leader.number);
      to.add("with " + leader.number);
    }
  }

  /** Lets that happen; what it broke, or null. */
  String go(String choice) {
    if (choice.startsWith(ARRIVES)) {
      Message message = onTheWay.remove(choice.substring(ARRIVES.length()));
      Node to = nodes.get(message.to);
      return act(to, () -> to.voter.heard(to.clock, message.message));
    }
    int space = choice.lastIndexOf(' ');
    Node node = nodes.get(Integer.parseInt(choice.substring(space + 1)));
    return switch (choice.substring(0, space)) {
      case "wakes" -> wake(node);
      case "stands still" -> standStill(node);
      case "crashes" -> crash(node, node.disk);
      case "emptied" -> crash(node, PersistentState.joining(501 + faults, new NumberLog()));
      case "propose" -> propose(node);
      case "read" -> read(node);
      case "without" -> change(node, withoutAnother(node));
      case "with" -> change(node, withNewcomer(node));
      default -> throw new IllegalArgumentException("no such thing: " + choice);
    };
  }

  private String wake(Node node) {
    wakes++;
    node.clock = node.clock.orLater(node.voter.next());
    return act(node, () -> node.voter.step(node.clock));
  }

  private String standStill(Node node) {
    faults++;
    node.clock = node.clock.plus(SETTINGS.election().times(4));
    return act(node, () -> node.voter.step(node.clock));
  }

  private String crash(Node node, PersistentState diskAfter) {
    faults++;
    node.disk = diskAfter;
    begin(node);
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
            judge.onRead(),
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

  private static Voters withoutAnother(Node node) {
    Voters voters = node.voter.voters();
    int goes =
        voters.voting().stream().filter(v -> v != node.number).findFirst().orElse(node.number);
    return voters.without(goes);
  }

  private Voters withNewcomer(Node node) {
    int comes = nodes.size() - 1;
    return node.voter.voters().with(comes, chair(comes));
  }

  private String act(Node node, Runnable task) {
    try {
      task.run();
    } catch (IllegalStateException e) {
      return node.number + ": " + e.getMessage();
    }
    return broken != null ? broken : judge.check(node.voter);
  }

  /** Tells two worlds apart as far as anything to come depends on it. */
  List<Object> mark() {
    List<Object> all = new ArrayList<>();
    for (Node n : nodes) {
      all.add(n.voter.mark());
      all.add(List.of(n.disk.store(), n.disk.term(), n.disk.voted(), n.disk.entries()));
    }
    all.add(new TreeSet<>(onTheWay.keySet()));
    all.add(judge.mark());
    all.add(List.of(wakes, faults, proposals, changes));
    return all;
  }
}
