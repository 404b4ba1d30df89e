package linengauge.platform.keep;

import linengauge.Moment;

/**
 * Since when a connection taken now may have waited to be taken. A loop takes so many connections a turn and leaves the rest
 * to its next turns; what is sent on these lies unread meanwhile, which no beat of the loop shows. Guards against counting a
 * viewer's patience from the taking, as hundreds come at once from fronts that have died. It could hurt a viewer that comes
 * as the last of such a wave without having waited: it is answered sooner than it need be.
 */
public final class Backlog {
    private final int aTurn;
    private int taken;
    /** All that had come before this moment has been taken. */
    private Moment emptyAt;
    private Moment lastBeat;

    /** A loop that takes so many a turn. */
    public Backlog(int aTurn, Moment now) {
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
