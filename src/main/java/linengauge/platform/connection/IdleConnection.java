package linengauge.platform.connection;

import java.util.function.BooleanSupplier;
import linengauge.Moment;

/**
 * One viewers' connection, as far as the listener must judge it; what happens on it is a call here.
 */
public final class IdleConnection {
  private final Runnable close;

  /** Nothing that has come on it waits to be begun. */
  private final BooleanSupplier nothingQueued;

  private final Moment came;
  private int open;

  /**
   * It has been given an answer, or holds a viewing that was handed over: it is what it seems to
   * be.
   */
  private boolean proven;

  /** Since when a message has begun and not ended; null between messages. */
  private Moment midSince;

  private Moment restsSince;
  private boolean wasOverdue;

  IdleConnection(Runnable close, BooleanSupplier nothingQueued, Moment came) {
    this.close = close;
    this.nothingQueued = nothingQueued;
    this.came = came;
    this.restsSince = came;
  }

  public void asked() {
    open++;
  }

  public void settled(Moment now) {
    open = Math.max(0, open - 1);
    restsSince = now;
  }

  public void proven() {
    proven = true;
  }

  public boolean isProven() {
    return proven;
  }

  /** Bytes came; ended: a message ended among them; mid: another has begun since and not ended. */
  public void read(boolean ended, boolean mid, Moment now) {
    midSince = !mid ? null : ended || midSince == null ? now : midSince;
  }

  Runnable close() {
    return close;
  }

  Moment restsSince() {
    return restsSince;
  }

  boolean rests() {
    return open == 0 && nothingQueued.getAsBoolean();
  }

  /** Overdue now and when this was last asked. */
  boolean overdueAgain(IdleConnections.Terms terms, Moment now) {
    boolean before = wasOverdue;
    wasOverdue = overdue(terms, now);
    return before && wasOverdue;
  }

  /** It owes a sign of being a viewer, and has not given one in time. */
  private boolean overdue(IdleConnections.Terms terms, Moment now) {
    return rests() && !proven && !now.before(came.plus(terms.sign()))
        || midSince != null && !now.before(midSince.plus(terms.sign()));
  }
}
