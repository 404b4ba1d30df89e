package linengauge.lease.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import linengauge.Moment;
import linengauge.Span;
import linengauge.lease.explore.Fault.Kind;

/** What a fleet is measured under, once it has been up for a minute. */
public enum MeasuredEvent {
  /** The whole fleet starts within a second; measured from then on. */
  START(60),
  /** Nothing happens. */
  QUIET(60),
  /** Three fronts end without a word, one after the other. */
  FRONT_KILLED(60),
  FRONT_RESTARTED(60),
  /** Stands still for 20 seconds, and goes on. */
  FRONT_FROZEN(60),
  FRONT_LOSSY(60),
  /** What a front sends does not arrive at any control machine of its region. */
  WAY_CUT(60),
  LEADER_KILLED(60),
  LEADER_FROZEN(60),
  LEADER_MUTE(60),
  /** The leader can save nothing for 30 seconds, and a front ends meanwhile. */
  LEADER_DISK_FULL(60),
  /** A control machine that does not lead is killed. */
  FOLLOWER_KILLED(60),
  /** Twenty fronts of one zone lose their power. */
  RACK_KILLED(60),
  /** A zone's fronts and control machine lose their power, and are back 40 seconds later. */
  ZONE_LOST(90),
  /** The leader's zone is the one that is lost. */
  LEADERS_ZONE_LOST(90),
  /** A region that has two voters is cut off for three minutes. */
  REGION_CUT(240),
  /** The same of the leader's region. */
  LEADERS_REGION_CUT(240),
  /** A tenth of the fronts restarts at once. */
  TENTH_RESTARTED(60),
  /** All control machines are gone for 30 seconds. */
  CONTROLS_GONE(90),
  /** The whole fleet restarts, a tenth at once, every 20 seconds. */
  RELEASE(240),
  /** The failures and restarts of an ordinary day of 1,800 fronts, at their rate. */
  ORDINARY_DAY(600),
  /** The same at ten times the rate. */
  TENFOLD_DAY(600);

  /** Of 1,800 fronts in a day. */
  private static final int FAILURES_A_DAY = 6;

  private static final int RESTARTS_A_DAY = 980;
  private static final int FLEET_OF_THE_DAY = 1800;
  private static final double SECONDS_A_DAY = 86_400;
  private static final int TENTHS = 10;

  private final int seconds;

  MeasuredEvent(int seconds) {
    this.seconds = seconds;
  }

  /** For how many seconds it is measured. */
  int seconds() {
    return seconds;
  }

  /**
   * Its faults.
   *
   * @param leader the control machine that leads when it begins
   */
  List<Fault> faults(int fronts, int leader, Moment begin, SplittableRandom chance) {
    int front = Topology.front(chance.nextInt(fronts));
    int follower = (leader + 1) % Topology.VOTERS;
    return switch (this) {
      case START, QUIET -> List.of();
      case FRONT_KILLED -> killed(fronts, begin, chance);
      case FRONT_RESTARTED -> one(Kind.RESTART, front, begin, 2);
      case FRONT_FROZEN -> one(Kind.FREEZE, front, begin, 20);
      case FRONT_LOSSY -> one(Kind.LOSS, front, begin, 40);
      case WAY_CUT -> waysCut(front, begin);
      case LEADER_KILLED -> one(Kind.KILL, leader, begin, 30);
      case LEADER_FROZEN -> one(Kind.FREEZE, leader, begin, 20);
      case LEADER_MUTE -> one(Kind.MUTE, leader, begin, 30);
      case LEADER_DISK_FULL -> diskFull(leader, front, begin);
      case FOLLOWER_KILLED -> one(Kind.KILL, follower, begin, 30);
      case RACK_KILLED -> all(Kind.KILL, Incident.rack(fronts, front), begin, 40);
      case ZONE_LOST -> all(Kind.KILL, Incident.zone(fronts, follower), begin, 40);
      case LEADERS_ZONE_LOST -> all(Kind.KILL, Incident.zone(fronts, leader), begin, 40);
      case REGION_CUT -> one(Kind.REGION_CUT, otherRegion(leader), begin, 180);
      case LEADERS_REGION_CUT -> one(Kind.REGION_CUT, Topology.region(leader), begin, 180);
      case TENTH_RESTARTED -> all(Kind.RESTART, Incident.tenth(fronts, 0), begin, 2);
      case CONTROLS_GONE -> all(Kind.KILL, controls(), begin, 30);
      case RELEASE -> release(fronts, begin);
      case ORDINARY_DAY -> day(fronts, begin, 1, chance);
      case TENFOLD_DAY -> day(fronts, begin, TENTHS, chance);
    };
  }

  private static int otherRegion(int leader) {
    return Topology.region(leader) == 0 ? 1 : 0;
  }

  private static List<Integer> controls() {
    return IntStream.range(0, Topology.CONTROLS).boxed().toList();
  }

  private static Fault fault(Kind kind, int party, int other, Moment from, double seconds) {
    return new Fault(kind, party, other, from, from.plus(Span.ofSeconds(seconds)));
  }

  private static List<Fault> one(Kind kind, int party, Moment from, double seconds) {
    return List.of(fault(kind, party, 0, from, seconds));
  }

  private static List<Fault> all(Kind kind, List<Integer> parties, Moment from, double seconds) {
    return parties.stream().map(party -> fault(kind, party, 0, from, seconds)).toList();
  }

  private static List<Fault> killed(int fronts, Moment begin, SplittableRandom chance) {
    int first = chance.nextInt(fronts);
    List<Fault> all = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Moment at = begin.plus(Span.ofSeconds(10 * i + chance.nextDouble()));
      all.add(fault(Kind.KILL, Topology.front((first + 7 * i) % fronts), 0, at, 20));
    }
    return all;
  }

  private static List<Fault> diskFull(int leader, int front, Moment begin) {
    Moment death = begin.plus(Span.ofSeconds(2));
    return List.of(
        fault(Kind.DISK_FULL, leader, 0, begin, 30), fault(Kind.KILL, front, 0, death, 30));
  }

  private static List<Fault> waysCut(int front, Moment begin) {
    return IntStream.range(0, Topology.CONTROLS)
        .filter(control -> Topology.region(control) == Topology.region(front))
        .mapToObj(control -> fault(Kind.CUT, front, control, begin, 30))
        .toList();
  }

  private static List<Fault> release(int fronts, Moment begin) {
    List<Fault> all = new ArrayList<>();
    for (int wave = 0; wave < TENTHS; wave++) {
      Moment at = begin.plus(Span.ofSeconds(20 * wave));
      all.addAll(all(Kind.RESTART, Incident.tenth(fronts, wave), at, 2));
    }
    return all;
  }

  private List<Fault> day(int fronts, Moment begin, int times, SplittableRandom chance) {
    double share = (double) times * fronts / FLEET_OF_THE_DAY / SECONDS_A_DAY * (seconds - 40);
    List<Fault> all = new ArrayList<>();
    all.addAll(spread(Kind.KILL, FAILURES_A_DAY * share, 30, fronts, begin, chance));
    all.addAll(spread(Kind.RESTART, RESTARTS_A_DAY * share, 2, fronts, begin, chance));
    return all;
  }

  /** So many on the average, at any time and of any front; one at the least. */
  private List<Fault> spread(
      Kind kind, double many, int lasts, int fronts, Moment begin, SplittableRandom chance) {
    List<Fault> all = new ArrayList<>();
    long count = Math.max(1, Math.round(many));
    for (int i = 0; i < count; i++) {
      Moment at = begin.plus(Span.ofSeconds(chance.nextDouble() * (seconds - 40)));
      all.add(fault(kind, Topology.front(chance.nextInt(fronts)), 0, at, lasts));
    }
    return all;
  }
}
