package linengauge.platform.connection;

import linengauge.Moment;
import linengauge.Span;

/**
 * One connection to a media box, as far as its use must be judged: whether it takes more set-ups,
 * and when it must go. Guards against a connection of which nothing more comes, though it stays
 * open, and against closing one on which a box may be telling of viewings that play: what was on
 * its way then is lost. It could hurt where a box answers some and not others: it is taken for well
 * as long as anything comes.
 */
public final class ConnectionHealth {
  /** A line that has begun and not gone on for so long will not: its box has spoilt it. */
  private static final Span PARTIAL_LINE_TIMEOUT = Span.ofMillis(400);

  /** What is to become of it. */
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

  /** It has come up. */
  public void onUp(Moment now) {
    upAt = now;
  }

  Moment upAt() {
    return upAt;
  }

  /** Something comes. */
  public void onReceived(Moment now) {
    lastReceivedAt = now;
  }

  /** What came was read; ended: a line ended in it; mid: another has begun since and not ended. */
  public void onRead(boolean lineCompleted, boolean partialLine, Moment now) {
    partialSince = !partialLine ? null : lineCompleted || partialSince == null ? now : partialSince;
  }

  public void onSent(Moment now) {
    lastSentAt = now;
  }

  /**
   * A set-up written then has had no answer in its time: where nothing else came either, it takes
   * nothing more.
   */
  public void onUnanswered(Moment writtenAt) {
    retired |= lastReceivedAt.before(writtenAt);
  }

  /** Viewings set up on it that play, more or less. */
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

  /** With so many set-ups and tests out on it; a bound of NONE lets it rest for ever. */
  public Verdict verdict(int outstanding, Span idleTimeout, Moment now) {
    if (partialSince != null && PARTIAL_LINE_TIMEOUT.under(now.since(partialSince))) {
      return Verdict.CLOSE_BROKEN;
    }
    boolean idleTooLong =
        Span.NONE.under(idleTimeout)
            && idleTimeout.under(now.since(lastSentAt.orLater(lastReceivedAt)));
    return outstanding == 0 && sessionCount == 0 && (retired || idleTooLong)
        ? Verdict.CLOSE_IDLE
        : Verdict.KEEP;
  }
}
