package linengauge.lease.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;

/**
 * The faults of a simulated fleet, followed by a quiet time in which the fleet recovers.
 *
 * @param quietFrom the moment from which on there are no faults
 */
public record LeaseSchedule(
    long seed, int fronts, List<Fault> faults, Moment quietFrom, Moment end) {
  /** Time until all processes are listed and faults may begin. */
  static final Span SETTLED = Span.ofSeconds(20);

  /** Longest time until every process lists every other one again. */
  static final Span ROUND = Span.ofSeconds(45);

  private static final int FAULT_START_WINDOW_MILLIS = 40_000;
  private static final int MAX_SHORT_FAULT_MILLIS = 4_000;
  private static final int MAX_LONG_FAULT_MILLIS = 30_000;
  private static final int MIN_FAULT_MILLIS = 200;

  /** A schedule of the given faults. */
  static LeaseSchedule of(long seed, int fronts, List<Fault> faults) {
    Moment quiet = new Moment(0).plus(SETTLED);
    for (Fault fault : faults) {
      quiet = quiet.max(fault.to());
    }
    return new LeaseSchedule(seed, fronts, List.copyOf(faults), quiet, quiet.plus(ROUND));
  }

  /** Draws incidents from a seed; they last from 200 milliseconds to half a minute. */
  public static LeaseSchedule drawn(long seed, int fronts, int incidents) {
    SplittableRandom chance = new SplittableRandom(seed);
    List<Fault> faults = new ArrayList<>();
    for (int i = 0; i < incidents; i++) {
      Incident incident = Incident.values()[chance.nextInt(Incident.values().length)];
      Moment from =
          new Moment(0)
              .plus(SETTLED)
              .plus(Span.ofMillis(chance.nextInt(FAULT_START_WINDOW_MILLIS)));
      int most = chance.nextInt(3) == 0 ? MAX_LONG_FAULT_MILLIS : MAX_SHORT_FAULT_MILLIS;
      Moment to = from.plus(Span.ofMillis(MIN_FAULT_MILLIS + chance.nextInt(most)));
      faults.addAll(incident.faults(fronts, from, to, chance));
    }
    return of(seed, fronts, faults);
  }

  /** A copy of this schedule without one of its faults. */
  public LeaseSchedule without(int fault) {
    List<Fault> rest = new ArrayList<>(faults);
    rest.remove(fault);
    return new LeaseSchedule(seed, fronts, List.copyOf(rest), quietFrom, end);
  }
}
