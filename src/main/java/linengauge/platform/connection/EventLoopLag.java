package linengauge.platform.connection;

import linengauge.Moment;
import linengauge.Span;

/**
 * How long what a busy loop reads now may have lain unread, from a beat that runs once in each turn
 * of the loop. Guards against counting a viewer's patience from the moment of reading: a turn that
 * took half a second leaves that much less. It could hurt where a turn was long and the request
 * came at its end: it is answered sooner than it need be.
 */
public final class EventLoopLag {
  /**
   * Turns in which a loop has read all that lay on a connection: its bytes in one, its close in the
   * next, and what is put off by that runs in the third.
   */
  public static final int TURNS_TO_READ = 3;

  private final Span longTurnThreshold;
  private Moment lastTick;
  private Moment previousTick;
  private Span longestTurn = Span.NONE;
  private long ticks;
  private long lastLongTurnTick = -TURNS_TO_READ;

  /**
   * Words that came longer ago than in a long turn may have been undone by others that lie unread.
   */
  public EventLoopLag(Span longTurnThreshold, Moment now) {
    this.longTurnThreshold = longTurnThreshold;
    this.lastTick = now;
    this.previousTick = now;
  }

  /** Returns how long it has been since the last beat. */
  public Span tick(Moment now) {
    previousTick = lastTick;
    lastTick = now;
    longestTurn = longestTurn.orMore(lastTick.since(previousTick));
    ticks++;
    lastLongTurnTick =
        longTurnThreshold.under(lastTick.since(previousTick)) ? ticks : lastLongTurnTick;
    return lastTick.since(previousTick);
  }

  /**
   * Whether the loop stood still for at least so long between that moment and now, as far as its
   * beats tell.
   */
  public boolean wasStalled(Span threshold, Moment since, Moment now) {
    return !now.since(lastTick).under(threshold)
        || !lastTick.since(previousTick).under(threshold) && !lastTick.before(since);
  }

  /**
   * Whether what came longer ago than in a long turn may still lie unread: in one, or too few beats
   * after it.
   */
  public boolean isBehind(Moment now) {
    return ticks - lastLongTurnTick < TURNS_TO_READ || longTurnThreshold.under(now.since(lastTick));
  }

  /** The longest span between two beats so far: how long anything has had to wait for its turn. */
  public Span longestTurn() {
    return longestTurn;
  }

  /**
   * At the most, two beats where the loop keeps up: what had come before the last beat but one was
   * read before it.
   */
  public Span maxReadDelay(Moment now) {
    return now.since(previousTick);
  }
}
