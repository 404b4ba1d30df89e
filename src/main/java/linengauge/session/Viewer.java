package linengauge.session;

import linengauge.Environment;
import linengauge.Moment;
import linengauge.Span;

/**
 * The viewer's side of one viewing. Exactly one of started, rejected and failed is called, once;
 * after started, ended is called once.
 */
public interface Viewer {
  /** Why a viewing failed. */
  enum FailureCause {
    FAILED,
    NO_ANSWER,
    FRONT_FAILED
  }

  /** Why a viewing that played has ended; OVER: its box reports that it has come to its end. */
  enum EndReason {
    OVER,
    LEFT,
    IDLE,
    BOX_LOST,
    REPLACED,
    STOPPED,
    LET_GO
  }

  void started(Session session);

  /** A retry is harmless, best after the span (none: no advice). */
  void rejected(Span retryAfter, Environment.RejectionReason reason);

  /** An attempt is no longer open, or what it set up no longer plays; for the log. */
  default void attemptEnded(
      int attempt, BoxTable.Entry server, Environment.AttemptOutcome outcome) {}

  void failed(FailureCause cause);

  void ended(EndReason reason);

  /** When the viewer last made a request of a viewing that plays. */
  Moment lastRequestAt();
}
