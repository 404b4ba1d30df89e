package linengauge.lease.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;

/**
 * What befalls a simulated fleet: faults, then quiet until all has come round.
 *
 * @param quietFrom after it nothing is wrong any more
 */
public record LeaseSchedule(
    long seed, int fronts, List<Fault> faults, Moment quietFrom, Moment end) {
  /** Everybody is listed by then, and faults may begin. */
  static final Span SETTLED = Span.ofSeconds(20);

  /** What it takes at the most until everybody holds everybody again. */
  static final Span ROUND = Span.ofSeconds(45);

  private static final int FAULTS_WITHIN_MILLIS = 40_000;
  private static final int SHORT_MILLIS = 4_000;
  private static final int LONG_MILLIS = 30_000;
  private static final int LEAST_MILLIS = 200;

  /** A schedule of just these. */
  static LeaseSchedule of(long seed, int fronts, List<Fault> faults) {
    Moment quiet = new Moment(0).plus(SETTLED);
    for (Fault fault : faults) {
      quiet = quiet.max(fault.to());
    }
    return new LeaseSchedule(seed, fronts, List.copyOf(faults), quiet, quiet.plus(ROUND));
  }

  /** So many incidents drawn from a seed, of spans from a blip to half a minute. */
  public static LeaseSchedule drawn(long seed, int fronts, int incidents) {
    SplittableRandom chance = new SplittableRandom(seed);
    List<Fault> faults = new ArrayList<>();
    for (int i = 0; i < incidents; i++) {
      Incident incident = Incident.values()[chance.nextInt(Incident.values().length)];
      Moment from =
          new Moment(0).plus(SETTLED).plus(Span.ofMillis(chance.nextInt(FAULTS_WITHIN_MILLIS)));
      int most = chance.nextInt(3) == 0 ? LONG_MILLIS : SHORT_MILLIS;
      Moment to = from.plus(Span.ofMillis(LEAST_MILLIS + chance.nextInt(most)));
      faults.addAll(incident.faults(fronts, from, to, chance));
    }
    return of(seed, fronts, faults);
  }

  /** The same without one of its faults. */
  public LeaseSchedule without(int fault) {
    List<Fault> rest = new ArrayList<>(faults);
    rest.remove(fault);
    return new LeaseSchedule(seed, fronts, List.copyOf(rest), quietFrom, end);
  }
}
