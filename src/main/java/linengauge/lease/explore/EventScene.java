package linengauge.lease.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import linengauge.Moment;
import linengauge.Span;
import linengauge.lease.explore.Fault.Kind;

/**
 * The state of a fleet as a measured event begins, and the faults of which each event consists.
 *
 * @param leader the control machine that leads
 * @param front the front that an event of a single front affects
 */
record EventScene(int fronts, int leader, int front, Moment begin, SplittableRandom chance) {
  /** Failures per day in a fleet of 1,800 fronts. */
  private static final int FAILURES_PER_DAY = 6;

  private static final int RESTARTS_PER_DAY = 980;
  private static final int ORDINARY_DAY_FRONTS = 1800;
  private static final double SECONDS_PER_DAY = 86_400;

  private static final int TENTHS = 10;
  private static final double RESTART_SECONDS = 2;
  private static final double RELEASE_STEP_SECONDS = 20;
  private static final double REPAIR_SECONDS = 30;
  private static final double POWER_LOSS_SECONDS = 40;
  private static final double REGION_CUT_SECONDS = 180;
  private static final double PAUSE_SECONDS = 20;

  /** The end of a simulated part of a day has no faults, so that all earlier ones become known. */
  private static final int DAY_END_SECONDS = 40;

  List<Fault> frontsKilled() {
    List<Fault> all = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Moment at = begin.plus(Span.ofSeconds(10 * i + chance.nextDouble()));
      int victim = Topology.front((Topology.index(front) + 7 * i) % fronts);
      all.add(fault(Kind.KILL, victim, 0, at, 20));
    }
    return all;
  }

  List<Fault> frontRestarted() {
    return one(Kind.RESTART, front, RESTART_SECONDS);
  }

  List<Fault> frontFrozen() {
    return one(Kind.FREEZE, front, PAUSE_SECONDS);
  }

  List<Fault> frontLossy() {
    return one(Kind.LOSS, front, 40);
  }

  List<Fault> waysCut() {
    return IntStream.range(0, Topology.CONTROLS)
        .filter(control -> Topology.region(control) == Topology.region(front))
        .mapToObj(control -> fault(Kind.CUT, front, control, begin, REPAIR_SECONDS))
        .toList();
  }

  List<Fault> leaderKilled() {
    return one(Kind.KILL, leader, REPAIR_SECONDS);
  }

  List<Fault> leaderFrozen() {
    return one(Kind.FREEZE, leader, PAUSE_SECONDS);
  }

  List<Fault> leaderMute() {
    return one(Kind.MUTE, leader, REPAIR_SECONDS);
  }

  List<Fault> leadersDiskFull() {
    Moment frontEnd = begin.plus(Span.ofSeconds(2));
    return List.of(
        fault(Kind.DISK_FULL, leader, 0, begin, REPAIR_SECONDS),
        fault(Kind.KILL, front, 0, frontEnd, REPAIR_SECONDS));
  }

  List<Fault> followerKilled() {
    return one(Kind.KILL, follower(), REPAIR_SECONDS);
  }

  List<Fault> rackKilled() {
    return all(Kind.KILL, Incident.rack(fronts, front), begin, POWER_LOSS_SECONDS);
  }

  List<Fault> zoneLost() {
    return all(Kind.KILL, Incident.zone(fronts, follower()), begin, POWER_LOSS_SECONDS);
  }

  List<Fault> leadersZoneLost() {
    return all(Kind.KILL, Incident.zone(fronts, leader), begin, POWER_LOSS_SECONDS);
  }

  List<Fault> regionCut() {
    int other = Topology.region(leader) == 0 ? 1 : 0;
    return one(Kind.REGION_CUT, other, REGION_CUT_SECONDS);
  }

  List<Fault> leadersRegionCut() {
    return one(Kind.REGION_CUT, Topology.region(leader), REGION_CUT_SECONDS);
  }

  List<Fault> tenthRestarted() {
    return all(Kind.RESTART, Incident.tenth(fronts, 0), begin, RESTART_SECONDS);
  }

  List<Fault> controlsGone() {
    List<Integer> controls = IntStream.range(0, Topology.CONTROLS).boxed().toList();
    return all(Kind.KILL, controls, begin, REPAIR_SECONDS);
  }

  List<Fault> release() {
    List<Fault> all = new ArrayList<>();
    for (int wave = 0; wave < TENTHS; wave++) {
      Moment at = begin.plus(Span.ofSeconds(RELEASE_STEP_SECONDS * wave));
      all.addAll(all(Kind.RESTART, Incident.tenth(fronts, wave), at, RESTART_SECONDS));
    }
    return all;
  }

  /** The faults of part of an ordinary day, at a multiple of the day's rate. */
  List<Fault> day(int seconds, int rateFactor) {
    int windowSeconds = seconds - DAY_END_SECONDS;
    double share =
        (double) rateFactor * fronts / ORDINARY_DAY_FRONTS / SECONDS_PER_DAY * windowSeconds;
    List<Fault> all = new ArrayList<>();
    all.addAll(spread(Kind.KILL, FAILURES_PER_DAY * share, REPAIR_SECONDS, windowSeconds));
    all.addAll(spread(Kind.RESTART, RESTARTS_PER_DAY * share, RESTART_SECONDS, windowSeconds));
    return all;
  }

  /** Faults of random fronts at random times of the window: the count is rounded, at least one. */
  private List<Fault> spread(
      Kind kind, double expectedCount, double faultSeconds, int windowSeconds) {
    List<Fault> all = new ArrayList<>();
    long count = Math.max(1, Math.round(expectedCount));
    for (int i = 0; i < count; i++) {
      Moment at = begin.plus(Span.ofSeconds(chance.nextDouble() * windowSeconds));
      all.add(fault(kind, Topology.front(chance.nextInt(fronts)), 0, at, faultSeconds));
    }
    return all;
  }

  private int follower() {
    return (leader + 1) % Topology.VOTERS;
  }

  private static Fault fault(Kind kind, int party, int other, Moment from, double seconds) {
    return new Fault(kind, party, other, from, from.plus(Span.ofSeconds(seconds)));
  }

  private List<Fault> one(Kind kind, int party, double seconds) {
    return List.of(fault(kind, party, 0, begin, seconds));
  }

  private static List<Fault> all(Kind kind, List<Integer> parties, Moment from, double seconds) {
    return parties.stream().map(party -> fault(kind, party, 0, from, seconds)).toList();
  }
}
