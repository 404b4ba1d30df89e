package linengauge.lease.explore;

import java.util.SplittableRandom;
import linengauge.Moment;

/** A process's own clock: it shows another time than the true one, and runs fast or slow. */
final class DriftingClock {
  private static final long MOST_OFF_MICROS = 60_000_000;

  private final long off;
  private final double rate;

  /**
   * @param drift by which the rates of two clocks may differ: each is off by half of it at the most
   */
  DriftingClock(double drift, SplittableRandom chance) {
    this.off = chance.nextLong(2 * MOST_OFF_MICROS) - MOST_OFF_MICROS;
    this.rate = 1 + (chance.nextDouble() - 0.5) * drift;
  }

  /** What it shows at that true moment. */
  Moment shown(Moment trueTime) {
    return new Moment((long) (trueTime.micros() * rate) + off);
  }

  /** The true moment from which on it shows that or later. */
  Moment trueTime(Moment shown) {
    return new Moment((long) Math.ceil((shown.micros() - off) / rate) + 1);
  }
}
