package linengauge.session;

import linengauge.Moment;
import linengauge.Span;

/**
 * The viewer's end of one viewing. Exactly one of plays, blocked and aborted is called, once; after
 * plays, ended is called once.
 */
public interface Viewer {
  /** Why a viewing was aborted. */
  enum Cause {
    FAILED,
    NO_ANSWER,
    FRONT_FAILED
  }

  /** How a viewing that played has ended; OVER: its box says that it has come to its end. */
  enum End {
    OVER,
    LEFT,
    IDLE,
    BOX_LOST,
    REPLACED,
    STOPPED,
    LET_GO
  }

  void plays(Held vw);

  /** A further try is harmless, best after the span (none: no advice). */
  void blocked(Span comeBackAfter);

  void aborted(Cause cause);

  void ended(End how);

  /** When the viewer last asked for anything of a viewing that plays. */
  Moment lastAsked();
}
