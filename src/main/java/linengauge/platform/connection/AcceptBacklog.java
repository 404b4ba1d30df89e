package linengauge.platform.connection;

import linengauge.Moment;

/**
 * Tracks since when a connection accepted now may have been waiting in the accept backlog.
 *
 * <p>The event loop accepts a limited number of connections per turn, leaves the rest to later
 * turns, and reads a connection only in the turn after it was accepted. After a long turn its ticks
 * run one per turn until they have caught up. So the first data read from a new connection may have
 * arrived long before the latest ticks. Counting a client's time limit from the moment of accepting
 * would be wrong after a pause of the front, or in a burst of clients from failed fronts.
 *
 * <p>The estimate is conservative: a client that did not wait may be answered earlier than
 * necessary.
 */
public final class AcceptBacklog {
  private final int maxAcceptsPerTurn;
  private int acceptedThisTurn;

  /** Every connection that arrived before this moment has been accepted. */
  private Moment drainedAt;

  private Moment lastTick;

  /** Creates the backlog of a loop that accepts up to the given number of connections per turn. */
  public AcceptBacklog(int maxAcceptsPerTurn, Moment now) {
    this.maxAcceptsPerTurn = maxAcceptsPerTurn;
    this.drainedAt = now;
    this.lastTick = now;
  }

  public void onAccepted() {
    acceptedThisTurn++;
  }

  /** Called by the loop, at most once per turn. */
  public void tick(Moment now) {
    if (acceptedThisTurn < maxAcceptsPerTurn) {
      drainedAt = lastTick;
    }
    acceptedThisTurn = 0;
    lastTick = now;
  }

  /** Returns the moment after which a connection accepted now has arrived. */
  public Moment earliestArrival() {
    return drainedAt;
  }
}
