package linengauge.consensus.explore;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import linengauge.Moment;
import linengauge.Span;
import linengauge.consensus.Entry;
import linengauge.consensus.MessageWriter;
import linengauge.consensus.PersistentState;
import linengauge.consensus.RaftMessage;
import linengauge.consensus.RaftNode;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.Voters;

/**
 * Some voters and what is on its way between them, copied before each choice. Each voter has a
 * clock of its own, which moves only as its timers are let come due: no order of things is left out
 * because clocks would forbid it. Rules are judged from what voters hold and say, by this class
 * alone.
 */
final class ModelState {
  /** On its way; whatever is never let arrive is lost. */
  private record Message(int to, RaftMessage word, byte[] bytes) {
    String key() {
      return to + Arrays.toString(bytes);
    }
  }

  private static final RaftSettings TERMS =
      new RaftSettings(Span.ofMillis(100), Span.ofMillis(300), Span.ofMillis(100), 64, 64, 1);
  private static final long WISH = 7;

  private final class Node implements RaftNode.Port {
    private final int number;
    private RaftNode voter;
    private PersistentState disk;
    private Moment clock = new Moment(0);

    private Node(int number) {
      this.number = number;
    }

    @Override
    public void save(PersistentState saved) {
      disk = saved;
    }

    @Override
    public void send(int to, RaftMessage word) {
      if (to < nodes.size()) {
        // Said at some age or other: that bears on nothing here.
        RaftMessage w =
            new RaftMessage(
                word.kind(),
                word.from(),
                word.store(),
                word.term(),
                word.index(),
                word.indexTerm(),
                word.commit(),
                word.round(),
                0,
                word.yes(),
                word.entries(),
                word.whole());
        Message m = new Message(to, w, w.bytes());
        onTheWay.putIfAbsent(m.key(), m);
      }
    }

    @Override
    public void answer(long asker, RaftMessage word) {
      if (word.kind() == RaftMessage.Kind.READABLE
          && word.yes()
          && word.index() < readsFrom.get((int) word.round())) {
        broken =
            "stale: "
                + number
                + " answers that all is known up to "
                + word.index()
                + ", and "
                + readsFrom.get((int) word.round())
                + " had been decided when it was asked";
      }
    }
  }

  private final Schedule plan;
  private final List<Node> nodes = new ArrayList<>();
  private final SortedMap<String, Message> onTheWay = new TreeMap<>();

  /** Who led which term; what was decided, in order, and the term in which it first was. */
  private final TreeMap<Long, Integer> led = new TreeMap<>();

  private final List<Entry> decided = new ArrayList<>();
  private final List<Long> decidedIn = new ArrayList<>();

  /** How far all was decided when each question was asked. */
  private final List<Long> readsFrom = new ArrayList<>();

  private int wakes;
  private int faults;
  private int wishes;
  private int changes;
  private String broken;

  ModelState(Schedule plan) {
    this.plan = plan;
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
              ? PersistentState.founding(chair(i).store(), founding, new Heap())
              : PersistentState.joining(chair(i).store(), new Heap());
      begin(n);
    }
  }

  private static Voters.Chair chair(int number) {
    return new Voters.Chair(100 + number, "10.0.0." + number + ":7", true);
  }

  private void begin(Node n) {
    n.voter = plan.maker().make(TERMS, n.number, n.disk, new Heap(), n.number, n);
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
    wishes = 0;
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
    for (Node n : o.nodes) {
      Node copy = new Node(n.number);
      copy.disk = n.disk;
      copy.clock = n.clock;
      copy.voter = plan.maker().copy(n.voter, new Heap(), copy);
      nodes.add(copy);
    }
    onTheWay.putAll(o.onTheWay);
    led.putAll(o.led);
    decided.addAll(o.decided);
    decidedIn.addAll(o.decidedIn);
    readsFrom.addAll(o.readsFrom);
    wakes = o.wakes;
    faults = o.faults;
    wishes = o.wishes;
    changes = o.changes;
  }

  /** All that can happen next, in words that {@link #go} takes. */
  List<String> choices() {
    return choices(true);
  }

  private List<String> choices(boolean bounded) {
    List<String> all = new ArrayList<>();
    onTheWay.keySet().forEach(k -> all.add("arrives " + k));
    for (Node n : nodes) {
      if (!bounded || wakes < plan.wakes()) {
        all.add("wakes " + n.number);
      }
      if (!bounded || faults < plan.faults()) {
        all.add("crashes " + n.number);
        if (n.voter.role() == RaftNode.Role.LEADER) {
          all.add("stands still " + n.number);
        }
        if (!bounded || plan.emptied()) {
          all.add("emptied " + n.number);
        }
      }
      if (n.voter.role() == RaftNode.Role.LEADER) {
        if (!bounded || wishes < plan.wishes()) {
          all.add("wish " + n.number);
        }
        if (!bounded || readsFrom.size() < plan.reads()) {
          all.add("read " + n.number);
        }
        if (!bounded || changes < plan.changes()) {
          all.add("without " + n.number);
          all.add("with " + n.number);
        }
      }
    }
    return all;
  }

  /** Lets that happen; what it broke, or null. */
  String go(String choice) {
    int space = choice.lastIndexOf(' ');
    if (choice.startsWith("arrives ")) {
      Message m = onTheWay.remove(choice.substring("arrives ".length()));
      Node n = nodes.get(m.to);
      return acts(n, () -> n.voter.heard(n.clock, m.word));
    }
    Node n = nodes.get(Integer.parseInt(choice.substring(space + 1)));
    switch (choice.substring(0, space)) {
      case "wakes" -> {
        wakes++;
        n.clock = n.clock.orLater(n.voter.next());
        return acts(n, () -> n.voter.step(n.clock));
      }
      case "stands still" -> {
        faults++;
        n.clock = n.clock.plus(TERMS.election().times(4));
        return acts(n, () -> n.voter.step(n.clock));
      }
      case "crashes" -> {
        faults++;
        begin(n);
        return null;
      }
      case "emptied" -> {
        faults++;
        n.disk = PersistentState.joining(500 + faults, new Heap());
        begin(n);
        return null;
      }
      case "wish" -> {
        wishes++;
        return acts(
            n,
            () -> n.voter.propose(n.clock, WISH, wishes, new MessageWriter().num(wishes).done()));
      }
      case "read" -> {
        readsFrom.add((long) decided.size());
        int number = readsFrom.size() - 1;
        RaftMessage w =
            new RaftMessage(
                RaftMessage.Kind.READ, 9, 0, 0, 0, 0, 0, number, 0, false, List.of(), new byte[0]);
        return acts(n, () -> n.voter.ask(n.clock, 9, w));
      }
      case "without" -> {
        changes++;
        int goes =
            n.voter.voters().voting().stream()
                .filter(v -> v != n.number)
                .findFirst()
                .orElse(n.number);
        return acts(n, () -> n.voter.change(n.clock, n.voter.voters().without(goes)));
      }
      case "with" -> {
        changes++;
        int comes = nodes.size() - 1;
        return acts(n, () -> n.voter.change(n.clock, n.voter.voters().with(comes, chair(comes))));
      }
      default -> throw new IllegalArgumentException("no such thing: " + choice);
    }
  }

  private String acts(Node n, Runnable deed) {
    try {
      deed.run();
    } catch (IllegalStateException e) {
      return n.number + ": " + e.getMessage();
    }
    return broken != null ? broken : judge(n);
  }

  /**
   * One leader a term; one entry an index for ever; whoever leads later holds all that was decided
   * before.
   */
  private String judge(Node n) {
    RaftNode v = n.voter;
    if (v.role() == RaftNode.Role.LEADER) {
      Integer other = led.putIfAbsent(v.term(), n.number);
      if (other != null && other != n.number) {
        return "two led term " + v.term() + ": " + other + " and " + n.number;
      }
      if (other == null) {
        for (int i = 0; i < decided.size(); i++) {
          Entry e = v.entry(i + 1L);
          if (decidedIn.get(i) < v.term() && !Objects.equals(decided.get(i), e)) {
            return n.number
                + " leads term "
                + v.term()
                + " without entry "
                + (i + 1)
                + ", which was decided in term "
                + decidedIn.get(i);
          }
        }
      }
    }
    for (long i = 1; i <= v.commit(); i++) {
      Entry e = v.entry(i);
      if (i > decided.size()) {
        decided.add(e);
        decidedIn.add(v.term());
      } else if (!Objects.equals(decided.get((int) i - 1), e)) {
        return "entry "
            + i
            + " decided twice: term "
            + decided.get((int) i - 1).term()
            + " and, at "
            + n.number
            + ", term "
            + e.term();
      }
    }
    return null;
  }

  /** Tells two worlds apart as far as anything to come depends on it. */
  List<Object> mark() {
    List<Object> all = new ArrayList<>();
    for (Node n : nodes) {
      all.add(n.voter.mark());
      all.add(List.of(n.disk.store(), n.disk.term(), n.disk.voted(), n.disk.entries()));
    }
    all.add(new TreeSet<>(onTheWay.keySet()));
    all.add(new TreeMap<>(led));
    all.add(new ArrayList<>(decided));
    all.add(List.copyOf(decidedIn));
    all.add(List.copyOf(readsFrom));
    all.add(List.of(wakes, faults, wishes, changes));
    return all;
  }
}
