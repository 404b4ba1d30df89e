package linengauge.platform.connection;

import linengauge.Moment;
import linengauge.Span;

/**
 * Detects from the behaviour of its connections whether a server is reachable; its sessions are
 * lost with it.
 *
 * <p>The connections of a machine that has vanished stay open and silent. A timeout alone proves
 * nothing, as a process that pauses is silent too and continues its sessions afterwards. Only
 * connections that fail to come up for a while are proof. If the path to a server is cut for longer
 * than that while the server keeps its sessions, these are given up all the same, and their clients
 * have to request new ones.
 */
public final class ReachabilityDetector {
  /**
   * Time limits of the detection.
   *
   * @param silenceBeforeTest silence after which the server is tested
   * @param testTimeout time without an answer to the test, after which a connection is attempted
   * @param failureTimeout time of failed connection attempts after which the server is lost
   * @param maxSilence silence after which the shorter {@code minFailureTime} suffices
   * @param minFailureTime time of failed connection attempts required in any case
   * @param firstRetryDelay delay between the first two connection attempts, doubled each time
   * @param maxRetryDelay upper bound of the delay
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
     * Servers are silent by nature while nothing is set up and nothing runs short, and each
     * additional connection has a cost over the whole fleet. So silence is examined as late as
     * possible: sessions of a vanished server must be released within the 8 s that the platform's
     * protocol allows, less one second for a front that is itself late.
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

  /** Whether a test has been sent since something was last received. */
  private boolean testSent;

  private Moment failedSince;
  private Moment lastFailedAt = Moment.DISTANT_PAST;
  private Moment nextAttemptAt = Moment.DISTANT_PAST;
  private Span retryDelay;

  /**
   * Number of times that a report of the server may have been missed, and how many of them preceded
   * the start of the latest connection on which the server was heard.
   */
  private int missCount;

  private int missesCovered;

  public ReachabilityDetector(Settings settings, Moment now) {
    this.settings = settings;
    this.lastReceivedAt = now;
    this.retryDelay = settings.firstRetryDelay();
  }

  /**
   * A report of the server may have been missed: a connection has closed, possibly with a last
   * report that did not arrive, or one has fallen silent.
   */
  public void onReportsMissed() {
    missCount++;
  }

  /**
   * Returns the number of misses, to be read as a connection is begun and passed on once the server
   * is heard on it.
   */
  public int missCount() {
    return missCount;
  }

  /** Returns whether the server may have reports to repeat on the next connection. */
  public boolean hasReportsMissed() {
    return missesCovered < missCount;
  }

  /**
   * The server was heard on a connection begun at that number of misses: it repeats there what was
   * missed before.
   */
  public void onHeard(int missCountWhenBegun) {
    missesCovered = Math.max(missesCovered, missCountWhenBegun);
  }

  /**
   * Returns whether a connection is needed for the sessions at the server in addition to the usable
   * ones: there is none, or the server has reports to repeat, as it does on the next connection
   * begun after a miss, or it has been silent for long.
   */
  public boolean needsConnection(int usable, Moment now) {
    return (usable == 0 || hasReportsMissed()) && mayAttempt(now) || isSuspect(now);
  }

  /** Something was received from the server. */
  public void onReceived(Moment now) {
    lastReceivedAt = now;
    testSent = false;
    failedSince = null;
    retryDelay = settings.firstRetryDelay();
    nextAttemptAt = Moment.DISTANT_PAST;
  }

  /** Returns whether to test the server now on an open connection, once per silence. */
  public boolean needsTest(Moment now) {
    boolean needed =
        !testSent && settings.silenceBeforeTest().isShorterThan(now.since(lastReceivedAt));
    testSent |= needed;
    return needed;
  }

  /** A connection attempt has failed. */
  public void onConnectFailed(Moment now) {
    failedSince = failedSince == null ? now : failedSince;
    lastFailedAt = now;
    nextAttemptAt = now.plus(retryDelay);
    retryDelay = retryDelay.times(2).min(settings.maxRetryDelay());
  }

  /** Returns whether the bounded back-off permits a connection attempt now. */
  private boolean mayAttempt(Moment now) {
    return !now.isBefore(nextAttemptAt);
  }

  /** Returns whether the silence calls for a new connection to show that the server is there. */
  private boolean isSuspect(Moment now) {
    return settings
            .silenceBeforeTest()
            .plus(settings.testTimeout())
            .isShorterThan(now.since(lastReceivedAt))
        && mayAttempt(now);
  }

  /**
   * Returns whether attempt after attempt has failed for long enough that the close of the last
   * open connection shows a restart: a path that was cut closes nothing, whereas the machine of a
   * process that died resets what led to it. A single attempt that failed long ago shows nothing.
   */
  public boolean isUnreachable() {
    return failedSince != null
        && !lastFailedAt.isBefore(failedSince.plus(settings.minFailureTime()));
  }

  /** When the connection attempts began to fail; null if the latest one has not failed. */
  public Moment failedSince() {
    return failedSince;
  }

  /** Returns whether the server must be taken for lost, as connections have failed for too long. */
  public boolean isLost(Moment now) {
    return failedSince != null
        && (!now.isBefore(failedSince.plus(settings.failureTimeout()))
            || !now.isBefore(lastReceivedAt.plus(settings.maxSilence()))
                && !now.isBefore(failedSince.plus(settings.minFailureTime())));
  }
}
