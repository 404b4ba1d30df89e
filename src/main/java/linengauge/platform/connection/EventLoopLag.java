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
  public static final int READS = 3;

  private final Span longTurn;
  private Moment last;
  private Moment before;
  private Span longest = Span.NONE;
  private long beats;
  private long beatOfLongTurn = -READS;

  /**
   * Words that came longer ago than in a long turn may have been undone by others that lie unread.
   */
  public EventLoopLag(Span longTurn, Moment now) {
    this.longTurn = longTurn;
    this.last = now;
    this.before = now;
  }

  /** Returns how long it has been since the last beat. */
  public Span beat(Moment now) {
    before = last;
    last = now;
    longest = longest.orMore(last.since(before));
    beats++;
    beatOfLongTurn = longTurn.under(last.since(before)) ? beats : beatOfLongTurn;
    return last.since(before);
  }

  /**
   * Whether the loop stood still for at least so long between that moment and now, as far as its
   * beats tell.
   */
  public boolean heldUp(Span least, Moment since, Moment now) {
    return !now.since(last).under(least) || !last.since(before).under(least) && !last.before(since);
  }

  /**
   * Whether what came longer ago than in a long turn may still lie unread: in one, or too few beats
   * after it.
   */
  public boolean isBehind(Moment now) {
    return beats - beatOfLongTurn < READS || longTurn.under(now.since(last));
  }

  /** The longest span between two beats so far: how long anything has had to wait for its turn. */
  public Span longest() {
    return longest;
  }

  /**
   * At the most, two beats where the loop keeps up: what had come before the last beat but one was
   * read before it.
   */
  public Span unread(Moment now) {
    return now.since(before);
  }
}
