package linengauge.platform.connection;

import linengauge.Moment;
import linengauge.Span;

/**
 * Whether one media box can be reached, from what its connections do; its viewings are lost with
 * it. Guards against a machine that vanishes: its connections stay open and silent. TimeoutCause
 * alone proves nothing (a box that stands still says nothing, and plays on afterwards): only
 * connections that no longer come up do, for a while. It could hurt where the way to a box is cut
 * longer than that and the box plays on: its viewers come again.
 */
public final class ReachabilityDetector {
  /**
   * TimeoutCause after which the box is tested, and how long that may go unanswered until a
   * connection is tried; tries that fail for so long mean lost; and so do tries that fail for the
   * least span where there has been no sign for the latest; pauses between tries, doubled.
   */
  public record Settings(
      Span silenceBeforeTest,
      Span testTimeout,
      Span failureTimeout,
      Span maxSilence,
      Span minFailureTime,
      Span firstRetryDelay,
      Span maxRetryDelay) {
    /**
     * Boxes are silent by nature where nothing is set up and nothing is short, and each new
     * connection is priced over the whole fleet: only so late is silence looked into that what
     * played at a box that has vanished is still released within the 8 s that the platform gives
     * (its protocol page), with a second for a front that is itself late.
     */
    public static final Settings PLATFORM =
        new Settings(
            Span.ofMillis(5000),
            Span.ofMillis(500),
            Span.ofMillis(3500),
            Span.ofMillis(7000),
            Span.ofMillis(1000),
            Span.ofMillis(50),
            Span.ofMillis(800));
  }

  private final Settings settings;
  private Moment lastReceivedAt;

  /** It has been tested since the last sign. */
  private boolean testSent;

  private Moment failedSince;
  private Moment nextAttemptAt = Moment.DISTANT_PAST;
  private Span retryDelay;

  /**
   * Connections that have closed so far, and how many of these closed before the latest one that
   * came up was begun.
   */
  private int closeCount;

  private int closesCovered;

  public ReachabilityDetector(Settings settings, Moment now) {
    this.settings = settings;
    this.lastReceivedAt = now;
    this.retryDelay = settings.firstRetryDelay();
  }

  /** A connection has closed on which the box may have said something last that has not come. */
  public void onClosed() {
    closeCount++;
  }

  /** To be asked as a connection is begun, and told when it has come up. */
  public int closeCount() {
    return closeCount;
  }

  public void onUp(int closeCountWhenBegun, Moment now) {
    closesCovered = Math.max(closesCovered, closeCountWhenBegun);
    onReceived(now);
  }

  /**
   * Whether a connection is wanted for what plays at the box, beside those that can be used: there
   * is none, or the box has something to say again, as it does on the next one begun after a close,
   * or it has been silent for long.
   */
  public boolean needsConnection(int usable, Moment now) {
    return (usable == 0 || closesCovered < closeCount) && mayAttempt(now) || isSuspect(now);
  }

  /** Something was read from the box. */
  public void onReceived(Moment now) {
    lastReceivedAt = now;
    testSent = false;
    failedSince = null;
    retryDelay = settings.firstRetryDelay();
    nextAttemptAt = Moment.DISTANT_PAST;
  }

  /** Whether to test it now, on a connection that is open: once in a silence. */
  public boolean needsTest(Moment now) {
    boolean needed = !testSent && settings.silenceBeforeTest().under(now.since(lastReceivedAt));
    testSent |= needed;
    return needed;
  }

  /** A connection did not come up. */
  public void onConnectFailed(Moment now) {
    failedSince = failedSince == null ? now : failedSince;
    nextAttemptAt = now.plus(retryDelay);
    retryDelay = retryDelay.times(2).orLess(settings.maxRetryDelay());
  }

  /** Bounded back-off: whether a connection may be tried now for what stands at the box. */
  private boolean mayAttempt(Moment now) {
    return !now.before(nextAttemptAt);
  }

  /** It has been silent for so long that a new connection should show whether it is there. */
  private boolean isSuspect(Moment now) {
    return settings
            .silenceBeforeTest()
            .plus(settings.testTimeout())
            .under(now.since(lastReceivedAt))
        && mayAttempt(now);
  }

  public boolean isLost(Moment now) {
    return failedSince != null
        && (!now.before(failedSince.plus(settings.failureTimeout()))
            || !now.before(lastReceivedAt.plus(settings.maxSilence()))
                && !now.before(failedSince.plus(settings.minFailureTime())));
  }
}
