package linengauge.session;

import linengauge.Moment;
import linengauge.Outside;
import linengauge.Span;

/**
 * The viewer's end of one viewing. Exactly one of plays, blocked and aborted is called, once; after
 * plays, ended is called once.
 */
public interface Viewer {
  /** Why a viewing was aborted. */
  enum FailureCause {
    FAILED,
    NO_ANSWER,
    FRONT_FAILED
  }

  /** How a viewing that played has ended; OVER: its box says that it has come to its end. */
  enum EndReason {
    OVER,
    LEFT,
    IDLE,
    BOX_LOST,
    REPLACED,
    STOPPED,
    LET_GO
  }

  void started(Session vw);

  /** A further try is harmless, best after the span (none: no advice). */
  void rejected(Span comeBackAfter, Outside.Refusal reason);

  /** An attempt is no longer out, or what it set up no longer plays; for the log. */
  default void attemptEnded(int attempt, BoxTable.Entry server, Outside.Ending how) {}

  void failed(FailureCause cause);

  void ended(EndReason how);

  /** When the viewer last asked for anything of a viewing that plays. */
  Moment lastRequestAt();
}
