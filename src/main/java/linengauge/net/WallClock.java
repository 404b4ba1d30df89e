package linengauge.net;

import linengauge.Moment;

/**
 * The front's clock: microseconds since the Unix epoch, anchored to the system clock once and
 * monotonic from then on. Fronts take turns at cold boxes by this clock, so the machines of one
 * site must keep their clocks within some tens of milliseconds of each other.
 */
public final class WallClock {
  private static final long OFFSET_MICROS =
      System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;

  private WallClock() {}

  public static long micros() {
    return OFFSET_MICROS + System.nanoTime() / 1000;
  }

  public static Moment now() {
    return new Moment(micros());
  }
}
