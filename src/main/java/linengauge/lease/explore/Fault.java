package linengauge.lease.explore;

import java.util.Locale;
import linengauge.Moment;

/**
 * One fault that lasts from one moment to another. Processes are numbered as in {@link Topology}:
 * control machines first, then fronts.
 *
 * @param party the affected process; for REGION_CUT, the region
 * @param other for CUT, the process that receives nothing from it; otherwise 0
 */
record Fault(Kind kind, int party, int other, Moment from, Moment to) {
  /** Faults of one process, of one link, or between a region and the others. */
  enum Kind {
    /** The process ends unannounced and starts again at the end of the fault. */
    KILL,
    /** A front announces that it leaves, ends, and starts a new life at the end of the fault. */
    RESTART,
    /** The process is paused; incoming messages wait in a bounded buffer. */
    FREEZE,
    /** Three in ten datagrams to and from the process are lost, the others are late. */
    LOSS,
    /** Nothing that the process sends arrives. */
    MUTE,
    /** Nothing that is sent to the process arrives. */
    DEAF,
    /** Nothing that the process sends to the other one arrives. */
    CUT,
    /** A control machine cannot save its state. */
    DISK_FULL,
    /** Nothing passes between the region and the others. */
    REGION_CUT
  }

  @Override
  public String toString() {
    String target = kind == Kind.CUT ? party + "-" + other : Integer.toString(party);
    return String.format(
        Locale.ROOT, "%s %s %.3f-%.3f", kind, target, from.micros() / 1e6, to.micros() / 1e6);
  }
}
