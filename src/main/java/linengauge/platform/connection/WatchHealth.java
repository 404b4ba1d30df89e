package linengauge.platform.connection;

import linengauge.Moment;
import linengauge.Span;

/**
 * What one watch at the journal service has received, and whether something is overdue on it. An
 * overdue watch may still be answered: the service may be slow, or serve many others first.
 */
public final class WatchHealth {
  /** A connection that takes longer to come up may be lost. */
  private static final Span CONNECT_OVERDUE_AFTER = Span.ofMillis(400);

  /** A watch that is not answered is given up after this time, whatever the service's load. */
  private static final Span MAX_ANSWER_WAIT = Span.ofSeconds(120);

  /** A watch that has carried something and is silent for this long is given up. */
  private static final Span MAX_SILENCE = Span.ofSeconds(10);

  /** A frame that takes longer than this is asked for on another watch too. */
  private static final Span FRAME_TIME_LIMIT = Span.ofSeconds(15);

  /** A frame that takes longer than this is given up, even if some of it arrives all the time. */
  private static final Span MAX_FRAME_TIME = Span.ofSeconds(120);

  /** Fewer bytes of a frame within the silence limit are no sign of life. */
  private static final int MIN_PROGRESS_BYTES = 27;

  private final SilenceLimit silenceLimit;
  private final Moment openedAt;
  private Moment upAt;
  private Moment lastFrameAt;
  private boolean hasReceived;

  /** When a frame was completed, or enough of one received. */
  private Moment lastProgressAt;

  /** The bytes received since a moment that is at most the silence limit ago. */
  private int recentBytes;

  private Moment recentSince;

  /** When the frame that is being received began; null between frames. */
  private Moment frameBegunAt;

  public WatchHealth(SilenceLimit silenceLimit, Moment openedAt) {
    this.silenceLimit = silenceLimit;
    this.openedAt = openedAt;
  }

  /** The connection is established. */
  public void onUp(Moment now) {
    upAt = now;
    lastProgressAt = now;
    recentSince = now;
  }

  /**
   * Bytes were received.
   *
   * @param frameCompleted whether they completed a frame
   * @param hasPartialFrame whether a frame has been received in part after them
   */
  public void onReceived(int bytes, boolean frameCompleted, boolean hasPartialFrame, Moment now) {
    hasReceived = true;
    countRecent(bytes, now);
    if (frameCompleted || recentBytes >= MIN_PROGRESS_BYTES) {
      if (isHeard()) {
        silenceLimit.onPause(now.since(lastProgressAt));
      }
      lastProgressAt = now;
    }
    if (frameCompleted) {
      lastFrameAt = now;
      frameBegunAt = null;
    }
    if (hasPartialFrame && frameBegunAt == null) {
      frameBegunAt = now;
    }
  }

  /** The time since the connection was begun. */
  public Span age(Moment now) {
    return now.since(openedAt);
  }

  private void countRecent(int bytes, Moment now) {
    if (silenceLimit.limit().isShorterThan(now.since(recentSince))) {
      recentSince = now;
      recentBytes = 0;
    }
    recentBytes += bytes;
  }

  public boolean isUp() {
    return upAt != null;
  }

  /** Whether a frame has been received. */
  public boolean isHeard() {
    return lastFrameAt != null;
  }

  /** Whether the service has been asked and has not begun to answer. */
  public boolean isUnanswered() {
    return isUp() && !hasReceived;
  }

  /** How long this watch has carried frames. */
  public Span heardFor() {
    return isHeard() ? lastFrameAt.since(upAt) : Span.NONE;
  }

  /**
   * Whether the service takes too long to come up or for a frame, or has sent less than it should.
   */
  public boolean isOverdue(Moment now) {
    return isUp()
        ? isSilent(now) || FRAME_TIME_LIMIT.isShorterThan(frameTime(now))
        : CONNECT_OVERDUE_AFTER.isShorterThan(now.since(openedAt));
  }

  /** Whether parts of a frame keep arriving. */
  public boolean isReceivingFrame(Moment now) {
    return frameBegunAt != null && !isSilent(now);
  }

  /**
   * Whether this watch, although silent, may go on soon: that would show that the service is not
   * gone, but makes long pauses.
   */
  public boolean mayGoOn(Moment now) {
    return isHeard() && now.since(lastProgressAt).isShorterThan(silenceLimit.longest());
  }

  /** Whether this watch is not worth its connection any more. */
  public boolean isExpired(Moment now) {
    Span maxSilence = hasReceived ? MAX_SILENCE : MAX_ANSWER_WAIT;
    return isUp()
        && (maxSilence.isShorterThan(now.since(lastProgressAt))
            || MAX_FRAME_TIME.isShorterThan(frameTime(now)));
  }

  private boolean isSilent(Moment now) {
    return silenceLimit.limit().isShorterThan(now.since(lastProgressAt));
  }

  private Span frameTime(Moment now) {
    return frameBegunAt == null ? Span.NONE : now.since(frameBegunAt);
  }
}
