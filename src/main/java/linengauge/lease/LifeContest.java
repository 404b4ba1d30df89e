package linengauge.lease;

import linengauge.Moment;
import linengauge.Span;

/**
 * How often another process took this front's number, and how long to wait before taking it back.
 * Guards against two processes with one number that supersede each other for ever: the waits
 * double, and after some the one that was superseded gives up. Hurts where that one was the right
 * one: an operator has to start it anew.
 */
final class LifeContest {
  static final int MOST_LOST = 5;

  /** A lease held for so many leases ends the contest. */
  private static final int LEASES_HELD = 10;

  private final LeaseSettings settings;
  private int lost;
  private Moment heldSince;

  LifeContest(LeaseSettings settings) {
    this.settings = settings;
  }

  void held(Moment now) {
    heldSince = heldSince == null ? now : heldSince;
    if (settings.lease().times(LEASES_HELD).isShorterThan(now.since(heldSince))) {
      lost = 0;
    }
  }

  void notHeld() {
    heldSince = null;
  }

  /** Another process's life took the number; how long to wait before the next own one. */
  Span lost() {
    notHeld();
    lost++;
    return settings.heartbeat().times(1 << Math.min(lost - 1, MOST_LOST));
  }

  boolean givesUp() {
    return lost >= MOST_LOST;
  }
}
