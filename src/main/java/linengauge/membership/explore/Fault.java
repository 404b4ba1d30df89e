package linengauge.membership.explore;

import linengauge.Moment;

/**
 * A fault injected during an interval.
 *
 * @param target affected front, or affected zone for MUTE and DEAF
 * @param peer for CUT, the front that the target's datagrams do not reach; otherwise unused
 */
public record Fault(Kind kind, int target, int peer, Moment from, Moment to) {
  /** Faults of one front, of one direction between two fronts, or of a zone. */
  public enum Kind {
    /** The front ends unannounced and restarts at the end. */
    KILL,
    /** The front is paused; its timers and what it receives are processed at the end. */
    FREEZE,
    /** All datagrams from one front to another are lost, in that direction only. */
    CUT,
    /** No datagram leaves the zone; those within the zone still arrive. */
    MUTE,
    /** No datagram from outside enters the zone; those within the zone still arrive. */
    DEAF,
    /** Three in ten datagrams to and from the front are lost, and the others are delayed. */
    LOSS,
    /** Every datagram of the front reports members dead, up to 20 of them, in place of updates. */
    SICK
  }

  @Override
  public String toString() {
    return kind
        + " "
        + target
        + (kind == Kind.CUT ? " to " + peer : "")
        + " "
        + from.micros() / 1000
        + "-"
        + to.micros() / 1000;
  }
}
