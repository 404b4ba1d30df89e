package linengauge.session;

import linengauge.Outside;
import linengauge.Span;

/**
 * What the core acts through: sockets, files and timers, or their models. No call here may lead to
 * a call of the core before it has returned.
 */
public interface Carrier {
  /**
   * A step that is to run once, unless it is called off before; calling it off later does nothing.
   */
  interface Wake {
    void cancel();
  }

  /** Runs the step once, not earlier than after the span. */
  Wake wakeAfter(Span span, Runnable step);

  /**
   * Sends a set-up to the viewing's box, if {@link Held#sendable} still says so when it can be
   * written. Its outcome is told once by {@link Held#plays} or {@link Held#failed}.
   */
  void setUp(Held vw, int tuneIn);

  /** Asks the box for the viewing's present rung. */
  void rung(Held vw);

  /**
   * Ends a viewing or tune-in at a box, heard or not; a tune-in that is still out there is no
   * longer waited for, and what comes of it is told to nobody, but for {@link Held#endConfirmed}
   * once the box has shown that it is over there.
   */
  void withdraw(Held vw, BoxTable.Entry box, int tuneIn);

  /**
   * What to make of a set-up that has been sent and not answered in its time, asked before it is
   * withdrawn: NO_ANSWER where nothing else is known, UNHEARD or HELD_UP where there is evidence of
   * these.
   */
  default Outside.Ending unanswered(Held vw, int tuneIn) {
    return Outside.Ending.NO_ANSWER;
  }

  /**
   * Asks that box to show that it has read the ends of that viewing's attempts, where they can
   * still be asked for on the connections that carried them.
   */
  default void askConfirmation(Held vw, long box) {}

  /** Asks a box for its load; the outcome is told by {@link Desk#probed}. */
  void probe(BoxTable.Entry box);

  /** Sends a datagram to another front; it may be lost. */
  void send(int front, byte[] datagram);

  /** The module or the core has failed: the front cannot go on. What it held has been answered. */
  void failed(RuntimeException cause);
}
