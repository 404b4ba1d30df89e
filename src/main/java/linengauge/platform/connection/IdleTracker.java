package linengauge.platform.connection;

import java.util.function.BooleanSupplier;
import linengauge.Moment;

/**
 * Tracks the activity of one client connection, by which the listener decides whether to close it.
 */
public final class IdleTracker {
  private final Runnable close;

  /** Returns whether no received request waits to be started. */
  private final BooleanSupplier queueEmpty;

  private final Moment acceptedAt;
  private int openRequests;

  /** The connection has received an answer or holds a session that was handed over. */
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

  /**
   * Called when data was read. A completed message is one that ended within the data; a partial one
   * has begun since and not ended.
   */
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

  /** Returns whether the connection is overdue now and was so at the previous call. */
  boolean isStillOverdue(IdleConnectionReaper.Limits limits, Moment now) {
    boolean overdueBefore = wasOverdue;
    wasOverdue = isOverdue(limits, now);
    return overdueBefore && wasOverdue;
  }

  /** Returns whether the connection has not shown in time that it belongs to a client. */
  private boolean isOverdue(IdleConnectionReaper.Limits limits, Moment now) {
    return isIdle() && !trusted && !now.isBefore(acceptedAt.plus(limits.activityTimeout()))
        || partialSince != null && !now.isBefore(partialSince.plus(limits.activityTimeout()));
  }
}
