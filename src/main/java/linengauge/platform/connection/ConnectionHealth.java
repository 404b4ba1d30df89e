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

  /** Silence after which a connection on which reports may arrive is tested. */
  private static final Span SILENCE_BEFORE_TEST = Span.ofMillis(5000);

  private static final Span TEST_TIMEOUT = Span.ofMillis(500);

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

  /** Whether anything has been received since the connection was established. */
  private boolean heard;

  /** When the test was sent that nothing has followed; null if there is none. */
  private Moment testSentAt;

  /** The server was heard elsewhere, and not here in spite of a test. */
  private boolean silent;

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
    heard = true;
    testSentAt = null;
    silent = false;
  }

  /** A test has been sent to show whether the connection still carries anything. */
  public void onTestSent(Moment now) {
    testSentAt = testSentAt == null ? now : testSentAt;
  }

  /** Returns whether to test the connection now, once per silence. */
  public boolean needsTest(Moment now) {
    return testSentAt == null
        && SILENCE_BEFORE_TEST.isShorterThan(now.since(lastReceivedAt.max(upAt)));
  }

  /** When the test was sent that nothing has followed; null if there is none. */
  public Moment unansweredTestSentAt() {
    return testSentAt;
  }

  /** Returns whether a test has not been answered in time, and nothing else has arrived since. */
  public boolean isTestOverdue(Moment now) {
    return testSentAt != null && !now.isBefore(testSentAt.plus(TEST_TIMEOUT));
  }

  /**
   * Judges the connection silent, and retires it, if a test on it has not been answered in time
   * although the server was heard on another one since. Returns whether it has become silent now.
   */
  public boolean judgeSilence(Moment lastReceivedElsewhere, Moment now) {
    if (silent || !isTestOverdue(now) || !testSentAt.isBefore(lastReceivedElsewhere)) {
      return false;
    }
    silent = true;
    retired = true;
    return true;
  }

  /** Returns whether sessions were set up here whose ends cannot arrive here. */
  public boolean isSilentWithSessions() {
    return silent && sessionCount > 0;
  }

  /** Returns whether anything has been received since the connection was established. */
  public boolean isHeard() {
    return heard;
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
