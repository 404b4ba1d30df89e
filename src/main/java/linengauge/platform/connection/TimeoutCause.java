package linengauge.platform.connection;

import linengauge.Moment;
import linengauge.Outside.Ending;
import linengauge.Span;

/**
 * What it means that nothing came of something written to a box. Guards against taking every
 * time-out for a box that has started anew, which holds it to a cold box's pace for long. A
 * connection that was up then, is up still and has brought something since shows that its process
 * lives on; and a front that stood still has proved nothing. It could hurt where a machine's
 * connections outlive its processes: the platform resets them.
 */
public final class TimeoutCause {
  /** A front that stood still so long has not waited for an answer. */
  private static final Span LOCAL_STALL_THRESHOLD = Span.ofMillis(150);

  private TimeoutCause() {}

  /**
   * Of something written then; the lines are the box's connections that are up, but for one that
   * has just broken.
   */
  public static Ending outcome(
      Moment writtenAt, EventLoopLag lag, Moment now, Iterable<ConnectionHealth> connections) {
    if (lag.wasStalled(LOCAL_STALL_THRESHOLD, writtenAt, now)) {
      return Ending.HELD_UP;
    }
    for (ConnectionHealth connection : connections) {
      if (connection.upAt().before(writtenAt) && writtenAt.before(connection.lastReceivedAt())) {
        return Ending.UNHEARD;
      }
    }
    return Ending.NO_ANSWER;
  }
}
