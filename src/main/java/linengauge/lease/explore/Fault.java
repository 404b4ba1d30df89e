package linengauge.lease.explore;

import java.util.Locale;
import linengauge.Moment;

/**
 * One fault, from a moment to another. Parties are numbered as in {@link Topology}: control
 * machines first, then fronts.
 *
 * @param party whom it befalls; of REGION_CUT, the region
 * @param other of CUT, the party that does not hear it; else 0
 */
record Fault(Kind kind, int party, int other, Moment from, Moment to) {
  /** What can go wrong with one party, on one way, or between a region and the others. */
  enum Kind {
    /** Ends without a word, and starts again at the end of the fault. */
    KILL,
    /** A front that says it leaves, ends, and starts again as another life at the end. */
    RESTART,
    /** Stands still; what comes meanwhile waits, as far as there is room. */
    FREEZE,
    /** Three in ten datagrams to and from it are lost, the others late. */
    LOSS,
    /** Nothing that it sends arrives. */
    MUTE,
    /** Nothing arrives that is sent to it. */
    DEAF,
    /** Nothing that it sends arrives at the other. */
    CUT,
    /** A control machine that can save nothing. */
    DISK_FULL,
    /** Nothing passes between the region and the others. */
    REGION_CUT
  }

  @Override
  public String toString() {
    String whom = kind == Kind.CUT ? party + "-" + other : Integer.toString(party);
    return String.format(
        Locale.ROOT, "%s %s %.3f-%.3f", kind, whom, from.micros() / 1e6, to.micros() / 1e6);
  }
}
