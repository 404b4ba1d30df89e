package linengauge.session;

import linengauge.Environment;
import linengauge.Span;

/**
 * What the core acts through: sockets, files and timers, or models of them. No call here may lead
 * to a call of the core before it has returned.
 */
public interface Transport {
  /**
   * A scheduled step, which runs once unless it is cancelled before. Cancelling it later has no
   * effect.
   */
  interface Timer {
    void cancel();
  }

  /** Runs the step once, not earlier than after the span. */
  Timer schedule(Span span, Runnable step);

  /**
   * Sends a set-up to the session's box, if {@link Session#tryBeginSend} allows it at the moment
   * when it can be written. Its outcome is reported once, by {@link Session#setUpSucceeded} or
   * {@link Session#setUpFailed}.
   */
  void setUp(Session session, int tuneIn);

  /** Asks the box to deliver the session's current rung. */
  void changeRung(Session session);

  /**
   * Ends a session or tune-in at a box, whether or not the box has received it. A tune-in that is
   * still open is no longer awaited, and its outcome is not reported, except by {@link
   * Session#endConfirmed} once the box has shown that it is over there.
   */
  void cancelAtBox(Session session, BoxTable.Entry box, int tuneIn);

  /**
   * Classifies a set-up that has been sent and not answered in time. Called before it is cancelled.
   * NO_ANSWER where nothing else is known, UNHEARD or HELD_UP where there is evidence of these.
   */
  default Environment.AttemptOutcome classifyTimeout(Session session, int tuneIn) {
    return Environment.AttemptOutcome.NO_ANSWER;
  }

  /**
   * Asks the box to confirm that it has read the ends of the session's attempts, where this can
   * still be asked on the connections that carried them.
   */
  default void requestEndConfirmation(Session session, long box) {}

  /** Asks a box for its load; the outcome is reported by {@link SessionManager#probeCompleted}. */
  void probe(BoxTable.Entry box);

  /** Sends a datagram to another front; it may be lost. */
  void send(int front, byte[] datagram);

  /**
   * The module or the core has failed and the front cannot go on. All open requests have been
   * answered.
   */
  void coreFailed(RuntimeException cause);
}
