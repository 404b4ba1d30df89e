package linengauge.net;

import linengauge.Moment;

/**
 * The front's clock: microseconds since 1970, anchored once and then steady. Fronts take turns at
 * cold boxes by it, so machines of one site keep their clocks within some tens of milliseconds of
 * each other.
 */
public final class Wall {
  private static final long ANCHOR = System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;

  private Wall() {}

  public static long micros() {
    return ANCHOR + System.nanoTime() / 1000;
  }

  public static Moment now() {
    return new Moment(micros());
  }
}
