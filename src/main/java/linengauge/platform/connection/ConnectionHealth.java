package linengauge.platform.connection;

import linengauge.Moment;
import linengauge.Span;

/**
 * Tracks the use of one connection to a server, and decides whether it takes further set-ups and
 * when it must be closed.
 *
 * <p>A connection on which nothing arrives any more may stay open for ever, so it takes no further
 * set-ups. A connection on which the server may still report about established sessions is kept, as
 * a close would lose reports in transit. A server that answers only some requests counts as healthy
 * as long as anything is received.
 */
public final class ConnectionHealth {
  /** A partial line that is not completed within this time is regarded as corrupt. */
  private static final Span PARTIAL_LINE_TIMEOUT = Span.ofMillis(400);

  /**
   * What is to be done with the connection. CLOSE_IDLE: nothing is open on it, and it is retired or
   * has been idle for too long. CLOSE_BROKEN: a partial line has not been completed in time.
   */
  public enum Verdict {
    KEEP,
    CLOSE_IDLE,
    CLOSE_BROKEN
  }

  private Moment upAt = Moment.DISTANT_PAST;
  private Moment lastReceivedAt;
  private Moment lastSentAt;
  private Moment partialSince;
  private int sessionCount;
  private boolean retired;

  public ConnectionHealth(Moment now) {
    this.lastReceivedAt = now;
    this.lastSentAt = now;
  }

  /** The connection has been established. */
  public void onUp(Moment now) {
    upAt = now;
  }

  /** When the connection was established. */
  public Moment upAt() {
    return upAt;
  }

  /** Data has arrived. */
  public void onReceived(Moment now) {
    lastReceivedAt = now;
  }

  /**
   * Called when data was read. A completed line is one that ended within the data; a partial one
   * has begun since and not ended.
   */
  public void onRead(boolean lineCompleted, boolean partialLine, Moment now) {
    partialSince = !partialLine ? null : lineCompleted || partialSince == null ? now : partialSince;
  }

  public void onSent(Moment now) {
    lastSentAt = now;
  }

  /**
   * A set-up or a test written at the given moment has not been answered in time. If nothing else
   * was received since then, the connection takes no further set-ups.
   */
  public void onUnanswered(Moment writtenAt) {
    retired |= lastReceivedAt.isBefore(writtenAt);
  }

  /** Changes the number of established sessions that were set up on the connection. */
  public void addSessions(int change) {
    sessionCount += change;
  }

  public int sessionCount() {
    return sessionCount;
  }

  public boolean isRetired() {
    return retired;
  }

  public Moment lastReceivedAt() {
    return lastReceivedAt;
  }

  /**
   * Decides what to do, given the number of set-ups, tests and recent ends without a reply. With an
   * idle timeout of NONE, only a retired connection is closed as idle.
   */
  public Verdict verdict(int outstanding, Span idleTimeout, Moment now) {
    if (partialSince != null && PARTIAL_LINE_TIMEOUT.isShorterThan(now.since(partialSince))) {
      return Verdict.CLOSE_BROKEN;
    }
    boolean idleTooLong =
        Span.NONE.isShorterThan(idleTimeout)
            && idleTimeout.isShorterThan(now.since(lastSentAt.max(lastReceivedAt)));
    return outstanding == 0 && sessionCount == 0 && (retired || idleTooLong)
        ? Verdict.CLOSE_IDLE
        : Verdict.KEEP;
  }
}
