package linengauge.membership.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;

/**
 * Faults injected into a fleet, followed by a fault-free time in which it has to converge.
 *
 * @param fronts number of fronts, distributed over the zones by number
 * @param faultsEnd time after which no fault is active
 */
public record FaultSchedule(
    long seed, int fronts, int zones, List<Fault> faults, Moment faultsEnd, Moment end) {
  /**
   * Draws faults from a seed. They last from a fraction of a second to half a minute, and some
   * isolate a whole zone in both directions.
   */
  public static FaultSchedule random(
      long seed, int fronts, int zones, int maxFaults, Span settlingTime) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Fault> faults = new ArrayList<>();
    Moment faultsEnd = new Moment(0);
    Moment firstFault = new Moment(0).plus(settlingTime);
    for (int i = 0; i < maxFaults; i++) {
      Fault.Kind kind = Fault.Kind.values()[random.nextInt(Fault.Kind.values().length)];
      Moment from = firstFault.plus(Span.ofMillis(random.nextInt(40_000)));
      Moment to =
          from.plus(Span.ofMillis(200 + random.nextInt(random.nextInt(3) == 0 ? 30_000 : 4_000)));
      if (kind == Fault.Kind.SICK
          && faults.stream().anyMatch(fault -> fault.kind() == Fault.Kind.SICK)) {
        continue; // The protocol does not tolerate several fronts with false reports at once.
      }
      faultsEnd = faultsEnd.max(to);
      boolean isZoneFault = kind == Fault.Kind.MUTE || kind == Fault.Kind.DEAF;
      int target = random.nextInt(isZoneFault ? zones : fronts);
      faults.add(new Fault(kind, target, random.nextInt(fronts), from, to));
      if (isZoneFault && random.nextInt(2) == 0) {
        faults.add(
            new Fault(
                kind == Fault.Kind.MUTE ? Fault.Kind.DEAF : Fault.Kind.MUTE, target, 0, from, to));
      }
    }
    return new FaultSchedule(
        seed, fronts, zones, List.copyOf(faults), faultsEnd, faultsEnd.plus(settlingTime.times(2)));
  }

  /** Whether datagrams from one front to the other are lost. */
  boolean isBlocked(int from, int to, Moment now) {
    return isActive(Fault.Kind.CUT, from, to, now)
        || from % zones != to % zones
            && (isActive(Fault.Kind.MUTE, from % zones, 0, now)
                || isActive(Fault.Kind.DEAF, to % zones, 0, now));
  }

  boolean isActive(Fault.Kind kind, int target, int peer, Moment now) {
    for (Fault fault : faults) {
      if (fault.kind() == kind
          && fault.target() == target
          && (kind != Fault.Kind.CUT || fault.peer() == peer)
          && !now.isBefore(fault.from())
          && now.isBefore(fault.to())) {
        return true;
      }
    }
    return false;
  }

  /** Returns this schedule without the fault at that index. */
  public FaultSchedule withoutFault(int index) {
    List<Fault> remaining = new ArrayList<>(faults);
    remaining.remove(index);
    return new FaultSchedule(seed, fronts, zones, List.copyOf(remaining), faultsEnd, end);
  }
}
