package linengauge.lease.explore;

import java.util.SplittableRandom;
import linengauge.Moment;

/** A process's own clock, which is offset from the true time and runs fast or slow. */
final class DriftingClock {
  private static final long MAX_OFFSET_MICROS = 60_000_000;

  private final long offsetMicros;
  private final double rate;

  /**
   * @param drift greatest difference between the rates of two clocks; each deviates by half of it
   *     at most
   */
  DriftingClock(double drift, SplittableRandom chance) {
    this.offsetMicros = chance.nextLong(2 * MAX_OFFSET_MICROS) - MAX_OFFSET_MICROS;
    this.rate = 1 + (chance.nextDouble() - 0.5) * drift;
  }

  /** The clock's reading at the given true time. */
  Moment shown(Moment trueTime) {
    return new Moment((long) (trueTime.micros() * rate) + offsetMicros);
  }

  /** The true time from which on the clock reads the given value or later. */
  Moment trueTime(Moment shown) {
    return new Moment((long) Math.ceil((shown.micros() - offsetMicros) / rate) + 1);
  }
}
