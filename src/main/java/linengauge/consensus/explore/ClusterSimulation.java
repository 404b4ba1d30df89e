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
 * runs fast or slow, over ways that lose, hold up, reorder and double, with mishaps that meet them.
 * It judges by what each holds and was told, never by their reasons.
 */
public final class ClusterSimulation {
  /**
   * What was broken, and the figures of the run.
   *
   * @param elections leaders there were
   * @param decidedAfter of wishes that were decided, how long it took
   * @param longestAlone for how long a voter that hears nobody took itself for the leader
   */
  public record Outcome(
      List<String> broken,
      int elections,
      long decided,
      List<Span> decidedAfter,
      long words,
      long bytes,
      int reads,
      Span longestAlone) {}

  private record Due(Moment at, long number, Runnable deed) {}

  private abstract class Party {
    final int number;

    /** Its clock is so far off, and runs so much faster than it should. */
    final long off;

    final double fast;
    final ArrayDeque<Runnable> unread = new ArrayDeque<>();
    boolean up = true;
    int life;
    Moment wakesAt;

    Party(int number) {
      this.number = number;
      this.off = chance.nextLong(120_000_000L) - 60_000_000L; // a minute apart
      this.fast = 0.98 + chance.nextInt(5) / 100.0;
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
    void run(Runnable deed) {
      Moment until = now;
      for (Fault m : mishaps) {
        if (m.kind() == Fault.Kind.FREEZE && party(m.a()) == number && m.isOn(now)) {
          until = until.orLater(m.to());
        }
      }
      int mine = life;
      if (now.before(until)) {
        at(
            until,
            () -> {
              if (mine == life) {
                run(deed);
              }
            });
        return;
      }
      try {
        deed.run();
      } catch (IllegalStateException e) {
        broken.add(at() + number + ": " + e.getMessage());
      }
      if (up) {
        judge();
        wake();
      }
    }

    abstract void judge();
  }

  private final class Seat extends Party implements RaftNode.Port {
    private RaftNode voter;
    private PersistentState disk;
    private Heap heap;
    private long judged;

    private Seat(int number, PersistentState disk) {
      super(number);
      this.disk = disk;
    }

    private void begin() {
      life++;
      up = true;
      wakesAt = null;
      heap = new Heap(ClusterSimulation.this::applied);
      voter = maker.make(TERMS, number, disk, heap, number + 1, this);
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
    public void send(int to, RaftMessage word) {
      if (to < seats.size()) {
        Seat s = seats.get(to);
        carry(this, s, word, w -> s.voter.heard(s.clock(), w));
      }
    }

    @Override
    public void answer(long asker, RaftMessage word) {
      Front f = fronts.get((int) asker);
      carry(this, f, word, w -> f.follower.heard(f.clock(), w));
    }

    @Override
    void judge() {
      if (voter.role() == RaftNode.Role.LEADER) {
        for (Fault m : mishaps) {
          if (m.kind() == Fault.Kind.DEAF && m.a() == number && m.isOn(now)) {
            longestAlone = longestAlone.orMore(now.since(m.from()));
          }
        }
        Integer other = led.putIfAbsent(voter.term(), number);
        if (other != null && other != number) {
          broken.add(at() + "two led term " + voter.term() + ": " + other + " and " + number);
        }
      }
      for (long i = judged + 1; i <= voter.commit(); i++) {
        Entry e = voter.entry(i);
        Entry before = e == null ? null : decided.putIfAbsent(i, e);
        if (before != null && !before.equals(e)) {
          broken.add(
              at() + "entry " + i + " decided twice, at " + number + ": " + before + " and " + e);
        }
        most = Math.max(most, i);
      }
      judged = voter.commit();
      same(number, voter.decided().index(), heap);
    }
  }

  private final class Front extends Party implements LogFollower.Port {
    private LogFollower follower;
    private Heap heap;
    private long held;
    private int lives;

    private Front(int number) {
      super(number);
    }

    private void begin() {
      heap = new Heap(ClusterSimulation.this::applied);
      held = 0;
      TreeMap<Integer, String> first = new TreeMap<>();
      seats.forEach(s -> first.put(s.number, address(s.number)));
      follower = new LogFollower(FOLLOWS, number, first, ++lives * 1_000_000L, heap, this);
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
    public void send(int voter, String address, RaftMessage word) {
      Seat s = seats.get(voter);
      carry(this, s, word, w -> s.voter.ask(s.clock(), number - VOTERS_AT_MOST, w));
    }

    @Override
    void judge() {
      if (follower.index() < held) {
        broken.add(
            at() + "front " + number + " goes back from " + held + " to " + follower.index());
      }
      held = follower.index();
      same(number, held, heap);
    }
  }

  private static final int VOTERS_AT_MOST = 32;
  private static final int MOST_AT_ONCE = 10_000;
  private static final RaftSettings TERMS =
      new RaftSettings(Span.ofMillis(100), Span.ofMillis(600), Span.ofMillis(250), 24, 256, 16);
  private static final LogFollower.Terms FOLLOWS = LogFollower.Terms.USUAL;

  private final List<Fault> mishaps;
  private final Maker maker;
  private final Span end;
  private final SplittableRandom chance;
  private final int voters;
  private final int followers;
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(
          (a, b) -> a.at.equals(b.at) ? Long.compare(a.number, b.number) : a.at.compareTo(b.at));
  private final List<Seat> seats = new ArrayList<>();
  private final List<Front> fronts = new ArrayList<>();
  private final List<String> broken = new ArrayList<>();
  private final Map<Long, Integer> led = new HashMap<>();
  private final Map<Long, Entry> decided = new HashMap<>();
  private final Map<Long, Long> values = new HashMap<>();
  private final Map<Long, Integer> states = new HashMap<>();
  private final Set<Long> toldDecided = new HashSet<>();
  private final List<Span> decidedAfter = new ArrayList<>();
  private Moment now = new Moment(0);
  private int atOnce;
  private long number;
  private long most;
  private long wished;
  private long words;
  private long bytes;
  private int reads;
  private Span longestAlone = Span.NONE;
  private int stores = 1000;

  public ClusterSimulation(
      long seed, int voters, int followers, List<Fault> mishaps, Span end, Maker maker) {
    this.chance = new SplittableRandom(seed ^ 0x9e3779b9L);
    this.voters = voters;
    this.followers = followers;
    this.mishaps = mishaps;
    this.end = end;
    this.maker = maker;
  }

  private String at() {
    return String.format(java.util.Locale.ROOT, "%.3f s: ", now.micros() / 1e6);
  }

  private void at(Moment when, Runnable deed) {
    due.add(new Due(when, number++, deed));
  }

  private static String address(int number) {
    return "10.0.0." + number + ":7";
  }

  /** Those after the voters are followers. */
  private int party(int a) {
    return a < voters ? a : VOTERS_AT_MOST + a - voters;
  }

  private boolean on(Fault.Kind kind, int a) {
    return mishaps.stream().anyMatch(m -> m.kind() == kind && m.a() == a && m.isOn(now));
  }

  private interface Hears {
    void hear(RaftMessage w);
  }

  private void carry(Party from, Party to, RaftMessage word, Hears then) {
    byte[] sent = word.bytes();
    words++;
    bytes += sent.length;
    boolean cut =
        from.number != to.number
            && (on(Fault.Kind.MUTE, from.number)
                || on(Fault.Kind.DEAF, to.number)
                || mishaps.stream()
                    .anyMatch(
                        m ->
                            m.kind() == Fault.Kind.CUT
                                && party(m.a()) == from.number
                                && m.b() == to.number
                                && m.isOn(now)));
    boolean lossy = on(Fault.Kind.LOSS, from.number) || on(Fault.Kind.LOSS, to.number);
    if (cut || lossy && chance.nextInt(10) < 3) {
      return;
    }
    boolean late = on(Fault.Kind.LATE, from.number) || on(Fault.Kind.LATE, to.number);
    boolean slow = on(Fault.Kind.SLOW_DISK, from.number);
    int copies = chance.nextInt(50) == 0 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      Span way = new Span(200 + chance.nextInt(late ? 900_000 : 3_000) + (slow ? 150_000 : 0));
      at(
          now.plus(way),
          () -> {
            if (to.up) {
              RaftMessage read = RaftMessage.read(sent);
              to.run(() -> then.hear(read));
            }
          });
    }
  }

  private void applied(long index, long value) {
    Long before = values.putIfAbsent(index, value);
    if (before != null && before != value) {
      broken.add(at() + "decision " + index + " is " + before + " and " + value);
    }
  }

  /** All that have decided as far hold the same. */
  private void same(int by, long index, Heap heap) {
    int sum = Arrays.hashCode(heap.whole());
    Integer before = states.putIfAbsent(index, sum);
    if (before != null && before != sum) {
      broken.add(at() + by + " holds another state after " + index + " decisions");
    }
  }

  public Outcome play() {
    SortedMap<Integer, Voters.Chair> chairs = new TreeMap<>();
    for (int i = 0; i < voters; i++) {
      chairs.put(i, new Voters.Chair(i, address(i), true));
    }
    Voters founding = new Voters(chairs);
    for (int i = 0; i <= voters; i++) { // one more that may come to vote
      seats.add(
          new Seat(
              i,
              i < voters
                  ? PersistentState.founding(i, founding, new Heap())
                  : PersistentState.joining(i, new Heap())));
    }
    seats.forEach(Seat::begin);
    for (int i = 0; i < followers; i++) {
      fronts.add(new Front(VOTERS_AT_MOST + i));
    }
    fronts.forEach(Front::begin);
    for (Fault m : mishaps) {
      at(m.from(), () -> begins(m));
      at(m.to(), () -> ends(m));
    }
    for (Front f : fronts) {
      for (Moment t = new Moment(500_000 + chance.nextInt(500_000));
          t.before(new Moment(end.micros()));
          t = t.plus(new Span(300_000 + chance.nextInt(2_000_000)))) {
        at(t, () -> f.run(() -> wish(f)));
      }
    }
    Moment over = new Moment(end.micros());
    until(over.plus(Span.ofSeconds(8)));
    long before = toldDecided.size();
    Front last = fronts.get(0);
    at(now, () -> last.run(() -> wish(last)));
    until(now.plus(Span.ofSeconds(4)));
    comeRound(before);
    return new Outcome(
        List.copyOf(broken),
        led.size(),
        most,
        List.copyOf(decidedAfter),
        words,
        bytes,
        reads,
        longestAlone);
  }

  private void until(Moment then) {
    while (!due.isEmpty() && due.peek().at.before(then) && broken.size() < 8) {
      Due d = due.poll();
      atOnce = d.at.equals(now) ? atOnce + 1 : 0;
      now = d.at;
      if (atOnce > MOST_AT_ONCE) {
        broken.add(at() + "no end of things at one moment");
        return;
      }
      d.deed.run();
    }
    now = then;
  }

  private void wish(Front f) {
    long value = ++wished;
    Moment asked = now;
    f.follower.wants(
        f.clock(),
        new MessageWriter().num(value).done(),
        done -> {
          if (done) {
            toldDecided.add(value);
            decidedAfter.add(now.since(asked));
          }
        });
    if (chance.nextInt(3) == 0) {
      long known = most;
      f.follower.whenSure(
          f.clock(),
          () -> {
            reads++;
            if (f.follower.index() < known) {
              broken.add(
                  at()
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
        seats.get(m.a()).up = false;
        seats.get(m.a()).life++;
      }
      case EMPTIED -> {
        Seat s = seats.get(m.a());
        s.disk = PersistentState.joining(++stores, new Heap());
        s.judged = 0;
        s.begin();
      }
      case CHANGE -> {
        Front f = fronts.get(m.b() % fronts.size());
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
        Seat s = seats.get(m.a());
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
    Front f = fronts.get(place % fronts.size());
    Seat s = seats.get(place);
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

  /** Long after the last trouble one leads, all know the same, and what is wanted is decided. */
  private void comeRound(long before) {
    long leaders = seats.stream().filter(s -> s.voter.role() == RaftNode.Role.LEADER).count();
    if (leaders != 1) {
      broken.add(at() + leaders + " lead at the end");
    }
    if (toldDecided.size() <= before) {
      broken.add(at() + "nothing is decided at the end");
    }
    for (Front f : fronts) {
      if (f.follower.index() < most) {
        broken.add(at() + f.number + " knows " + f.follower.index() + " of " + most);
      }
    }
    Map<Long, Integer> times = new TreeMap<>();
    values.values().forEach(v -> times.merge(v, 1, Integer::sum));
    times.forEach(
        (v, n) -> {
          if (n > 1) {
            broken.add(at() + "wish " + v + " is decided " + n + " times");
          }
        });
    for (long value : toldDecided) {
      if (times.getOrDefault(value, 0) != 1) {
        broken.add(
            at()
                + "wish "
                + value
                + " was told decided, and is so "
                + times.getOrDefault(value, 0)
                + " times");
      }
    }
  }
}
