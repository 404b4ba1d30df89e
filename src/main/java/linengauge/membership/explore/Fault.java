package linengauge.membership.explore;

import linengauge.Moment;

/**
 * One trouble of a schedule.
 *
 * @param target whom it befalls: a front, or of MUTE and DEAF a zone
 * @param peer of CUT, the front to which its words are lost; else unused
 */
public record Fault(Kind kind, int target, int peer, Moment from, Moment to) {
  /**
   * KILL: dead from then on, started anew at the end. CUT: one way between two fronts. MUTE, DEAF:
   * nothing leaves a zone, or comes to it. LOSS: three in ten datagrams to and from it are lost,
   * the others late. SICK: gives up all in every datagram.
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
