package linengauge.net;

import linengauge.Moment;

/**
 * The front's clock: microseconds since 1970, anchored once and then steady. Fronts take turns at
 * cold boxes by it, so machines of one site keep their clocks within some tens of milliseconds of
 * each other.
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
