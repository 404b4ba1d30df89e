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
  private final int maxAcceptsPerTurn;
  private int acceptedThisTurn;

  /** All that had come before this moment has been taken. */
  private Moment drainedAt;

  private Moment lastTick;

  /** A loop that takes so many a turn. */
  public AcceptBacklog(int maxAcceptsPerTurn, Moment now) {
    this.maxAcceptsPerTurn = maxAcceptsPerTurn;
    this.drainedAt = now;
    this.lastTick = now;
  }

  public void onAccepted() {
    acceptedThisTurn++;
  }

  /** The loop's beat, once in each of its turns at the most. */
  public void tick(Moment now) {
    if (acceptedThisTurn < maxAcceptsPerTurn) {
      drainedAt = lastTick;
    }
    acceptedThisTurn = 0;
    lastTick = now;
  }

  /** What is taken now came after this moment. */
  public Moment earliestArrival() {
    return drainedAt;
  }
}
