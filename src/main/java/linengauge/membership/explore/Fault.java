package linengauge.membership.explore;

import linengauge.Moment;

/**
 * A fault injected during an interval.
 *
 * @param target affected front, or affected zone for MUTE and DEAF
 * @param peer for CUT, the front that the target's datagrams do not reach; otherwise unused
 */
public record Fault(Kind kind, int target, int peer, Moment from, Moment to) {
  /**
   * KILL: the front is dead and restarts at the end. FREEZE: the process is paused. CUT: datagrams
   * from one front to another are lost, in that direction only. MUTE, DEAF: no datagrams leave the
   * zone, or none enter it. LOSS: three in ten datagrams to and from the front are lost and the
   * others are delayed. SICK: every datagram of the front declares others dead.
   */
  public enum Kind {
    KILL,
    FREEZE,
    CUT,
    MUTE,
    DEAF,
    LOSS,
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
