package linengauge.platform.connection;

import linengauge.Moment;

/**
 * Since when a connection taken now may have waited to be taken. A loop takes a connection in one
 * turn and reads it in the next, takes so many a turn and leaves the rest to its next turns, and
 * after a long turn its beats come one a turn until they have caught up: what is read first on a
 * new connection may have come long before the last beats. Guards against counting a viewer's
 * patience from the taking, as it comes to a front that was held up, or in a wave from fronts that
 * have died. It could hurt a viewer that comes last without having waited: it is answered sooner
 * than it need be.
 */
public final class AcceptBacklog {
  private final int aTurn;
  private int taken;

  /** All that had come before this moment has been taken. */
  private Moment emptyAt;

  private Moment lastBeat;

  /** A loop that takes so many a turn. */
  public AcceptBacklog(int aTurn, Moment now) {
    this.aTurn = aTurn;
    this.emptyAt = now;
    this.lastBeat = now;
  }

  public void taken() {
    taken++;
  }

  /** The loop's beat, once in each of its turns at the most. */
  public void beat(Moment now) {
    if (taken < aTurn) {
      emptyAt = lastBeat;
    }
    taken = 0;
    lastBeat = now;
  }

  /** What is taken now came after this moment. */
  public Moment cameAfter() {
    return emptyAt;
  }
}
