package linengauge.session;

import linengauge.Environment;
import linengauge.Moment;
import linengauge.Span;

/**
 * The viewer's side of one viewing. Exactly one of started, rejected and failed is called, once;
 * after started, ended is called once.
 */
public interface Viewer {
  /** The box has shown that the viewing, which was handed over, plays there. */
  default void verified() {}

  /** Why a viewing failed. */
  enum FailureCause {
    /** The last tune-in did not lead to a viewing, for another cause than those below. */
    FAILED,
    /** No answer came in time. */
    NO_ANSWER,
    /** The front shuts down, or its module has failed. */
    FRONT_FAILED
  }

  /** Why a viewing that played has ended. */
  enum EndReason {
    /** Its box reports that it has come to its end. */
    OVER,
    /** The viewer has gone or asked for its end. */
    LEFT,
    /** The viewer made no request for the idle timeout. */
    IDLE,
    /** Its box has ended it, restarted or is lost, or a handed-over viewing cannot be held here. */
    BOX_LOST,
    /** The same viewer has made a new request. */
    REPLACED,
    /** The front has shut down, or its module has failed. */
    STOPPED,
    /** The viewer read less than it was due and was dropped. */
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
