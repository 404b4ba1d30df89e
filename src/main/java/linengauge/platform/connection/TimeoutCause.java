package linengauge.platform.connection;

import linengauge.Environment.AttemptOutcome;
import linengauge.Moment;
import linengauge.Span;

/**
 * Classifies why nothing was received in reply to something written to a server.
 *
 * <p>Taking every timeout for a restarted server would hold it to the pace of a cold server for
 * long. A connection that was up at the time, is still up and has delivered something since shows
 * that its process lives on, and a front that itself stalled has proved nothing. A machine's
 * connections that outlived its processes would mislead this check; the platform resets them.
 */
public final class TimeoutCause {
  /** A front that stalled for this long has not effectively waited for an answer. */
  private static final Span LOCAL_STALL_THRESHOLD = Span.ofMillis(150);

  private TimeoutCause() {}

  /**
   * Returns the outcome for something written at the given moment: HELD_UP if this front stalled,
   * UNHEARD if a connection shows that the process of the server lives on, else NO_ANSWER. The
   * connections are those to the server that are up, except for one that has just failed.
   */
  public static AttemptOutcome outcome(
      Moment writtenAt, EventLoopLag lag, Moment now, Iterable<ConnectionHealth> connections) {
    if (lag.wasStalled(LOCAL_STALL_THRESHOLD, writtenAt, now)) {
      return AttemptOutcome.HELD_UP;
    }
    for (ConnectionHealth connection : connections) {
      if (connection.upAt().isBefore(writtenAt)
          && writtenAt.isBefore(connection.lastReceivedAt())) {
        return AttemptOutcome.UNHEARD;
      }
    }
    return AttemptOutcome.NO_ANSWER;
  }
}
