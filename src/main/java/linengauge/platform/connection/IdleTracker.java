package linengauge.platform.connection;

import java.util.function.BooleanSupplier;
import linengauge.Moment;

/**
 * One viewers' connection, as far as the listener must judge it; what happens on it is a call here.
 */
public final class IdleTracker {
  private final Runnable close;

  /** Nothing that has come on it waits to be begun. */
  private final BooleanSupplier queueEmpty;

  private final Moment acceptedAt;
  private int openRequests;

  /**
   * It has been given an answer, or holds a viewing that was handed over: it is what it seems to
   * be.
   */
  private boolean trusted;

  /** Since when a message has begun and not ended; null between messages. */
  private Moment partialSince;

  private Moment idleSince;
  private boolean wasOverdue;

  IdleTracker(Runnable close, BooleanSupplier queueEmpty, Moment acceptedAt) {
    this.close = close;
    this.queueEmpty = queueEmpty;
    this.acceptedAt = acceptedAt;
    this.idleSince = acceptedAt;
  }

  public void onRequestOpened() {
    openRequests++;
  }

  public void onRequestSettled(Moment now) {
    openRequests = Math.max(0, openRequests - 1);
    idleSince = now;
  }

  public void markTrusted() {
    trusted = true;
  }

  public boolean isTrusted() {
    return trusted;
  }

  /** Bytes came; ended: a message ended among them; mid: another has begun since and not ended. */
  public void onRead(boolean messageCompleted, boolean partialMessage, Moment now) {
    partialSince =
        !partialMessage ? null : messageCompleted || partialSince == null ? now : partialSince;
  }

  Runnable close() {
    return close;
  }

  Moment idleSince() {
    return idleSince;
  }

  boolean isIdle() {
    return openRequests == 0 && queueEmpty.getAsBoolean();
  }

  /** Overdue now and when this was last asked. */
  boolean isStillOverdue(IdleConnectionReaper.Limits limits, Moment now) {
    boolean overdueBefore = wasOverdue;
    wasOverdue = isOverdue(limits, now);
    return overdueBefore && wasOverdue;
  }

  /** It owes a sign of being a viewer, and has not given one in time. */
  private boolean isOverdue(IdleConnectionReaper.Limits limits, Moment now) {
    return isIdle() && !trusted && !now.before(acceptedAt.plus(limits.activityTimeout()))
        || partialSince != null && !now.before(partialSince.plus(limits.activityTimeout()));
  }
}
