package linengauge.consensus.explore;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import linengauge.Moment;
import linengauge.Span;
import linengauge.consensus.Entry;
import linengauge.consensus.LogFollower;
import linengauge.consensus.MessageWriter;
import linengauge.consensus.PersistentState;
import linengauge.consensus.RaftMessage;
import linengauge.consensus.RaftNode;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.SaveFailedException;
import linengauge.consensus.Voters;

/**
 * Voters and followers in virtual time, from a seed: each with a clock of its own that is off and
 * runs fast or slow, over ways that lose, hold up, reorder and double, with faults that meet them.
 * It judges by what each holds and was told, never by their reasons.
 */
public final class ClusterSimulation {
  /**
   * What was broken, and the figures of the run.
   *
   * @param elections leaders there were
   * @param decidedAfter of proposals that were decided, how long it took
   * @param longestAlone for how long a voter that hears nobody took itself for the leader
   */
  public record Outcome(
      List<String> broken,
      int elections,
      long decided,
      List<Span> decidedAfter,
      long messages,
      long bytes,
      int reads,
      Span longestAlone) {}

  private record Due(Moment at, long number, Runnable task) {}

  private abstract class SimulatedProcess {
    final int number;

    /** Its clock is so far off, and runs so much faster than it should. */
    final long off;

    final double fast;
    final ArrayDeque<Runnable> unread = new ArrayDeque<>();
    boolean up = true;
    int life;
    Moment wakesAt;

    SimulatedProcess(int number) {
      this.number = number;
      this.off = random.nextLong(120_000_000L) - 60_000_000L; // a minute apart
      this.fast = 0.98 + random.nextInt(5) / 100.0;
    }

    Moment clock() {
      return new Moment((long) (now.micros() * fast) + off);
    }

    private Moment trueTime(Moment ofClock) {
      return new Moment((long) Math.ceil((ofClock.micros() - off) / fast) + 1).orLater(now);
    }

    abstract Moment next();

    abstract void step();

    void wake() {
      Moment at = trueTime(next());
      if (wakesAt != null && !at.before(wakesAt)) {
        return;
      }
      wakesAt = at;
      int mine = life;
      at(
          at,
          () -> {
            if (up && mine == life && at.equals(wakesAt)) {
              run(
                  () -> {
                    wakesAt = null;
                    step();
                  });
            }
          });
    }

    /** One that stands still reads and steps when it goes on. */
    void run(Runnable task) {
      Moment until = now;
      for (Fault m : faults) {
        if (m.kind() == Fault.Kind.FREEZE && processOf(m.a()) == number && m.isOn(now)) {
          until = until.orLater(m.to());
        }
      }
      int mine = life;
      if (now.before(until)) {
        at(
            until,
            () -> {
              if (mine == life) {
                run(task);
              }
            });
        return;
      }
      try {
        task.run();
      } catch (IllegalStateException e) {
        broken.add(timestamp() + number + ": " + e.getMessage());
      }
      if (up) {
        judge();
        wake();
      }
    }

    abstract void judge();
  }

  private final class SimulatedVoter extends SimulatedProcess implements RaftNode.Port {
    private RaftNode voter;
    private PersistentState disk;
    private NumberLog machine;
    private long judged;

    private SimulatedVoter(int number, PersistentState disk) {
      super(number);
      this.disk = disk;
    }

    private void begin() {
      life++;
      up = true;
      wakesAt = null;
      machine = new NumberLog(ClusterSimulation.this::applied);
      voter = maker.make(SETTINGS, number, disk, machine, number + 1, this);
      voter.start(clock());
      wake();
    }

    @Override
    Moment next() {
      return voter.next();
    }

    @Override
    void step() {
      voter.step(clock());
    }

    @Override
    public void save(PersistentState saved) throws SaveFailedException {
      if (on(Fault.Kind.DISK_FULL, number)) {
        throw new SaveFailedException("no place", null);
      }
      disk = PersistentState.read(saved.bytes());
    }

    @Override
    public void send(int to, RaftMessage message) {
      if (to < voterNodes.size()) {
        SimulatedVoter s = voterNodes.get(to);
        deliver(this, s, message, w -> s.voter.heard(s.clock(), w));
      }
    }

    @Override
    public void answer(long asker, RaftMessage message) {
      SimulatedFollower f = followerNodes.get((int) asker);
      deliver(this, f, message, w -> f.follower.heard(f.clock(), w));
    }

    @Override
    void judge() {
      if (voter.role() == RaftNode.Role.LEADER) {
        for (Fault m : faults) {
          if (m.kind() == Fault.Kind.DEAF && m.a() == number && m.isOn(now)) {
            longestAlone = longestAlone.orMore(now.since(m.from()));
          }
        }
        Integer other = leaders.putIfAbsent(voter.term(), number);
        if (other != null && other != number) {
          broken.add(
              timestamp() + "two led term " + voter.term() + ": " + other + " and " + number);
        }
      }
      for (long i = judged + 1; i <= voter.commit(); i++) {
        Entry e = voter.entry(i);
        Entry before = e == null ? null : decided.putIfAbsent(i, e);
        if (before != null && !before.equals(e)) {
          broken.add(
              timestamp()
                  + "entry "
                  + i
                  + " decided twice, at "
                  + number
                  + ": "
                  + before
                  + " and "
                  + e);
        }
        most = Math.max(most, i);
      }
      judged = voter.commit();
      checkSameState(number, voter.decided().index(), machine);
    }
  }

  private final class SimulatedFollower extends SimulatedProcess implements LogFollower.Port {
    private LogFollower follower;
    private NumberLog machine;
    private long held;
    private int lives;

    private SimulatedFollower(int number) {
      super(number);
    }

    private void begin() {
      machine = new NumberLog(ClusterSimulation.this::applied);
      held = 0;
      TreeMap<Integer, String> first = new TreeMap<>();
      voterNodes.forEach(s -> first.put(s.number, address(s.number)));
      follower = new LogFollower(FOLLOWS, number, first, ++lives * 1_000_000L, machine, this);
      follower.start(clock());
      wake();
    }

    @Override
    Moment next() {
      return follower.next();
    }

    @Override
    void step() {
      follower.step(clock());
    }

    @Override
    public void send(int voter, String address, RaftMessage message) {
      SimulatedVoter s = voterNodes.get(voter);
      deliver(this, s, message, w -> s.voter.ask(s.clock(), number - VOTERS_AT_MOST, w));
    }

    @Override
    void judge() {
      if (follower.index() < held) {
        broken.add(
            timestamp()
                + "front "
                + number
                + " goes back from "
                + held
                + " to "
                + follower.index());
      }
      held = follower.index();
      checkSameState(number, held, machine);
    }
  }

  private static final int VOTERS_AT_MOST = 32;
  private static final int MOST_AT_ONCE = 10_000;
  private static final RaftSettings SETTINGS =
      new RaftSettings(Span.ofMillis(100), Span.ofMillis(600), Span.ofMillis(250), 24, 256, 16);
  private static final LogFollower.Terms FOLLOWS = LogFollower.Terms.USUAL;

  private final List<Fault> faults;
  private final Maker maker;
  private final Span end;
  private final SplittableRandom random;
  private final int voters;
  private final int followers;
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(
          (a, b) -> a.at.equals(b.at) ? Long.compare(a.number, b.number) : a.at.compareTo(b.at));
  private final List<SimulatedVoter> voterNodes = new ArrayList<>();
  private final List<SimulatedFollower> followerNodes = new ArrayList<>();
  private final List<String> broken = new ArrayList<>();
  private final Map<Long, Integer> leaders = new HashMap<>();
  private final Map<Long, Entry> decided = new HashMap<>();
  private final Map<Long, Long> values = new HashMap<>();
  private final Map<Long, Integer> states = new HashMap<>();
  private final Set<Long> acknowledged = new HashSet<>();
  private final List<Span> decidedAfter = new ArrayList<>();
  private Moment now = new Moment(0);
  private int atOnce;
  private long number;
  private long most;
  private long lastProposed;
  private long messages;
  private long bytes;
  private int reads;
  private Span longestAlone = Span.NONE;
  private int stores = 1000;

  public ClusterSimulation(
      long seed, int voters, int followers, List<Fault> faults, Span end, Maker maker) {
    this.random = new SplittableRandom(seed ^ 0x9e3779b9L);
    this.voters = voters;
    this.followers = followers;
    this.faults = faults;
    this.end = end;
    this.maker = maker;
  }

  private String timestamp() {
    return String.format(java.util.Locale.ROOT, "%.3f s: ", now.micros() / 1e6);
  }

  private void at(Moment when, Runnable task) {
    due.add(new Due(when, number++, task));
  }

  private static String address(int number) {
    return "10.0.0." + number + ":7";
  }

  /** Those after the voters are followers. */
  private int processOf(int a) {
    return a < voters ? a : VOTERS_AT_MOST + a - voters;
  }

  private boolean on(Fault.Kind kind, int a) {
    return faults.stream().anyMatch(m -> m.kind() == kind && m.a() == a && m.isOn(now));
  }

  private interface Receiver {
    void onMessage(RaftMessage w);
  }

  private void deliver(
      SimulatedProcess from, SimulatedProcess to, RaftMessage message, Receiver receiver) {
    byte[] sent = message.bytes();
    messages++;
    bytes += sent.length;
    boolean cut =
        from.number != to.number
            && (on(Fault.Kind.MUTE, from.number)
                || on(Fault.Kind.DEAF, to.number)
                || faults.stream()
                    .anyMatch(
                        m ->
                            m.kind() == Fault.Kind.CUT
                                && processOf(m.a()) == from.number
                                && m.b() == to.number
                                && m.isOn(now)));
    boolean lossy = on(Fault.Kind.LOSS, from.number) || on(Fault.Kind.LOSS, to.number);
    if (cut || lossy && random.nextInt(10) < 3) {
      return;
    }
    boolean late = on(Fault.Kind.LATE, from.number) || on(Fault.Kind.LATE, to.number);
    boolean slow = on(Fault.Kind.SLOW_DISK, from.number);
    int copies = random.nextInt(50) == 0 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      Span way = new Span(200 + random.nextInt(late ? 900_000 : 3_000) + (slow ? 150_000 : 0));
      at(
          now.plus(way),
          () -> {
            if (to.up) {
              RaftMessage read = RaftMessage.read(sent);
              to.run(() -> receiver.onMessage(read));
            }
          });
    }
  }

  private void applied(long index, long value) {
    Long before = values.putIfAbsent(index, value);
    if (before != null && before != value) {
      broken.add(timestamp() + "decision " + index + " is " + before + " and " + value);
    }
  }

  /** All that have decided as far hold the same. */
  private void checkSameState(int by, long index, NumberLog machine) {
    int sum = Arrays.hashCode(machine.whole());
    Integer before = states.putIfAbsent(index, sum);
    if (before != null && before != sum) {
      broken.add(timestamp() + by + " holds another state after " + index + " decisions");
    }
  }

  public Outcome play() {
    SortedMap<Integer, Voters.Chair> chairs = new TreeMap<>();
    for (int i = 0; i < voters; i++) {
      chairs.put(i, new Voters.Chair(i, address(i), true));
    }
    Voters founding = new Voters(chairs);
    for (int i = 0; i <= voters; i++) { // one more that may come to vote
      voterNodes.add(
          new SimulatedVoter(
              i,
              i < voters
                  ? PersistentState.founding(i, founding, new NumberLog())
                  : PersistentState.joining(i, new NumberLog())));
    }
    voterNodes.forEach(SimulatedVoter::begin);
    for (int i = 0; i < followers; i++) {
      followerNodes.add(new SimulatedFollower(VOTERS_AT_MOST + i));
    }
    followerNodes.forEach(SimulatedFollower::begin);
    for (Fault m : faults) {
      at(m.from(), () -> begins(m));
      at(m.to(), () -> ends(m));
    }
    for (SimulatedFollower f : followerNodes) {
      for (Moment t = new Moment(500_000 + random.nextInt(500_000));
          t.before(new Moment(end.micros()));
          t = t.plus(new Span(300_000 + random.nextInt(2_000_000)))) {
        at(t, () -> f.run(() -> propose(f)));
      }
    }
    Moment over = new Moment(end.micros());
    runUntil(over.plus(Span.ofSeconds(8)));
    long before = acknowledged.size();
    SimulatedFollower last = followerNodes.get(0);
    at(now, () -> last.run(() -> propose(last)));
    runUntil(now.plus(Span.ofSeconds(4)));
    checkConverged(before);
    return new Outcome(
        List.copyOf(broken),
        leaders.size(),
        most,
        List.copyOf(decidedAfter),
        messages,
        bytes,
        reads,
        longestAlone);
  }

  private void runUntil(Moment then) {
    while (!due.isEmpty() && due.peek().at.before(then) && broken.size() < 8) {
      Due d = due.poll();
      atOnce = d.at.equals(now) ? atOnce + 1 : 0;
      now = d.at;
      if (atOnce > MOST_AT_ONCE) {
        broken.add(timestamp() + "no end of things at one moment");
        return;
      }
      d.task.run();
    }
    now = then;
  }

  private void propose(SimulatedFollower f) {
    long value = ++lastProposed;
    Moment asked = now;
    f.follower.wants(
        f.clock(),
        new MessageWriter().num(value).done(),
        done -> {
          if (done) {
            acknowledged.add(value);
            decidedAfter.add(now.since(asked));
          }
        });
    if (random.nextInt(3) == 0) {
      long known = most;
      f.follower.whenSure(
          f.clock(),
          () -> {
            reads++;
            if (f.follower.index() < known) {
              broken.add(
                  timestamp()
                      + f.number
                      + " is sure at "
                      + f.follower.index()
                      + ", and "
                      + known
                      + " had been decided when it asked");
            }
          });
    }
  }

  private void begins(Fault m) {
    switch (m.kind()) {
      case CRASH -> {
        voterNodes.get(m.a()).up = false;
        voterNodes.get(m.a()).life++;
      }
      case EMPTIED -> {
        SimulatedVoter s = voterNodes.get(m.a());
        s.disk = PersistentState.joining(++stores, new NumberLog());
        s.judged = 0;
        s.begin();
      }
      case CHANGE -> {
        SimulatedFollower f = followerNodes.get(m.b() % followerNodes.size());
        f.run(
            () -> {
              Voters v = f.follower.voters();
              if (v.chairs().containsKey(m.a()) && v.voting().size() > 2) {
                f.follower.wantsVoters(f.clock(), v.without(m.a()), d -> {});
              }
            });
      }
      default -> {
        // on while it lasts
      }
    }
  }

  private void ends(Fault m) {
    switch (m.kind()) {
      case CRASH -> {
        SimulatedVoter s = voterNodes.get(m.a());
        if (!s.up && !on(Fault.Kind.CRASH, m.a())) {
          s.begin();
        }
      }
      // An operator brings the place back: first without it, then with the store that is there now.
      case EMPTIED, CHANGE -> replaced(m.a(), 0);
      default -> {
        // over
      }
    }
  }

  private void replaced(int place, int tries) {
    SimulatedFollower f = followerNodes.get(place % followerNodes.size());
    SimulatedVoter s = voterNodes.get(place);
    f.run(
        () -> {
          Voters v = f.follower.voters();
          Voters.Chair c = v.chairs().get(place);
          if (c != null && c.votes() && c.store() == s.disk.store() || tries > 40) {
            return;
          }
          Voters next =
              c != null && c.store() != s.disk.store()
                  ? v.without(place)
                  : v.with(place, new Voters.Chair(s.disk.store(), address(place), false));
          if (c == null || c.store() != s.disk.store()) {
            f.follower.wantsVoters(f.clock(), next, d -> {});
          }
          at(now.plus(Span.ofMillis(700)), () -> replaced(place, tries + 1));
        });
  }

  /** Long after the last fault one leads, all know the same, and what is wanted is decided. */
  private void checkConverged(long before) {
    long leaders = voterNodes.stream().filter(s -> s.voter.role() == RaftNode.Role.LEADER).count();
    if (leaders != 1) {
      broken.add(timestamp() + leaders + " lead at the end");
    }
    if (acknowledged.size() <= before) {
      broken.add(timestamp() + "nothing is decided at the end");
    }
    for (SimulatedFollower f : followerNodes) {
      if (f.follower.index() < most) {
        broken.add(timestamp() + f.number + " knows " + f.follower.index() + " of " + most);
      }
    }
    Map<Long, Integer> times = new TreeMap<>();
    values.values().forEach(v -> times.merge(v, 1, Integer::sum));
    times.forEach(
        (v, n) -> {
          if (n > 1) {
            broken.add(timestamp() + "propose " + v + " is decided " + n + " times");
          }
        });
    for (long value : acknowledged) {
      if (times.getOrDefault(value, 0) != 1) {
        broken.add(
            timestamp()
                + "propose "
                + value
                + " was told decided, and is so "
                + times.getOrDefault(value, 0)
                + " times");
      }
    }
  }
}
