package linengauge.platform.connection;

import linengauge.Moment;
import linengauge.Span;

/**
 * Measures how long data read now by a busy event loop may have been waiting, from a tick that runs
 * once per turn of the loop. Counting a client's time limit from the moment of reading would be
 * wrong: a turn of half a second leaves the client that much less time. The estimate is
 * conservative: a request that arrives at the end of a long turn may be answered earlier than
 * necessary.
 */
public final class EventLoopLag {
  /**
   * Turns within which the loop reads everything pending on a connection: its data in the first,
   * its close in the second, and tasks deferred by these run in the third.
   */
  public static final int TURNS_TO_READ = 3;

  private final Span longTurnThreshold;
  private Moment lastTick;
  private Moment previousTick;
  private Span longestTurn = Span.NONE;
  private long ticks;
  private long lastLongTurnTick = -TURNS_TO_READ;

  /**
   * Creates the measurement; a turn longer than the threshold leaves the loop behind. Requests
   * older than such a turn may have been revoked by data that is still unread.
   */
  public EventLoopLag(Span longTurnThreshold, Moment now) {
    this.longTurnThreshold = longTurnThreshold;
    this.lastTick = now;
    this.previousTick = now;
  }

  /** Records a tick and returns the time since the last one. */
  public Span tick(Moment now) {
    previousTick = lastTick;
    lastTick = now;
    longestTurn = longestTurn.max(lastTick.since(previousTick));
    ticks++;
    lastLongTurnTick =
        longTurnThreshold.isShorterThan(lastTick.since(previousTick)) ? ticks : lastLongTurnTick;
    return lastTick.since(previousTick);
  }

  /**
   * Returns whether the loop stalled for at least the threshold between the given moment and now,
   * as far as its ticks show.
   */
  public boolean wasStalled(Span threshold, Moment since, Moment now) {
    return !now.since(lastTick).isShorterThan(threshold)
        || !lastTick.since(previousTick).isShorterThan(threshold) && !lastTick.isBefore(since);
  }

  /**
   * Returns whether data that arrived before a long turn may still be unread: during the turn
   * itself, and for too few ticks after it.
   */
  public boolean isBehind(Moment now) {
    return ticks - lastLongTurnTick < TURNS_TO_READ
        || longTurnThreshold.isShorterThan(now.since(lastTick));
  }

  /** Returns the longest time between two ticks so far, which bounds how long any event waited. */
  public Span longestTurn() {
    return longestTurn;
  }

  /**
   * Returns an upper bound for the time that data read now has been waiting. In a loop that keeps
   * up this is two ticks: data that arrived before the last tick but one was read before that tick.
   */
  public Span maxReadDelay(Moment now) {
    return now.since(previousTick);
  }
}
