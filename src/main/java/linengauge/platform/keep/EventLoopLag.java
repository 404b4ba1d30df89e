package linengauge.platform.keep;

import linengauge.Moment;
import linengauge.Span;

/**
 * How long what a busy loop reads now may have lain unread, from a beat that runs once in each turn of the loop. Guards
 * against counting a viewer's patience from the moment of reading: a turn that took half a second leaves that much less.
 * It could hurt where a turn was long and the request came at its end: it is answered sooner than it need be.
 */
public final class EventLoopLag {
    private Moment last;
    private Moment before;
    private Span longest = Span.NONE;

    public EventLoopLag(Moment now) {
        this.last = now;
        this.before = now;
    }

    /** Returns how long it has been since the last beat. */
    public Span beat(Moment now) {
        before = last;
        last = now;
        longest = longest.orMore(last.since(before));
        return last.since(before);
    }

    /** Whether the loop stood still for at least so long between that moment and now, as far as its beats tell. */
    public boolean heldUp(Span least, Moment since, Moment now) {
        return !now.since(last).under(least) || !last.since(before).under(least) && !last.before(since);
    }

    /** Whether what had come by that moment has been read: two beats have passed, and the loop read between them. */
    public boolean hasReadSince(Moment asked) {
        return !before.before(asked);
    }

    /** The longest span between two beats so far: how long anything has had to wait for its turn. */
    public Span longest() {
        return longest;
    }

    /** At the most, two beats where the loop keeps up: what had come before the last beat but one was read before it. */
    public Span unread(Moment now) {
        return now.since(before);
    }
}
