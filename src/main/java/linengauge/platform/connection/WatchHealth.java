package linengauge.platform.connection;

import linengauge.Moment;
import linengauge.Span;

/**
 * What one watch at the journal service has received, and whether something is overdue on it. An
 * overdue watch may still be answered: the service may be slow, or serve many others first.
 */
public final class WatchHealth {
  /** The service sends at least a heartbeat each second. */
  private static final Span SILENCE_LIMIT = Span.ofMillis(2200);

  /** A watch that is not answered is given up after this time, whatever the service's load. */
  private static final Span MAX_ANSWER_WAIT = Span.ofSeconds(120);

  /** A watch that has carried something and completes no frame for this long is given up. */
  private static final Span MAX_SILENCE = Span.ofSeconds(10);

  private Moment upAt;
  private Moment lastFrameAt;
  private boolean hasReceived;

  /** The connection is established. */
  public void onUp(Moment now) {
    upAt = now;
  }

  /** Something was received, be it a part of a frame. */
  public void onReceived() {
    hasReceived = true;
  }

  /** A frame was received completely. */
  public void onFrame(Moment now) {
    lastFrameAt = now;
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

  /** Whether the service has been silent for longer than its heartbeats allow. */
  public boolean isOverdue(Moment now) {
    return isUp() && SILENCE_LIMIT.isShorterThan(silence(now));
  }

  /** Whether this watch is not worth its connection any more. */
  public boolean isExpired(Moment now) {
    Span limit = hasReceived ? MAX_SILENCE : MAX_ANSWER_WAIT;
    return isUp() && limit.isShorterThan(silence(now));
  }

  private Span silence(Moment now) {
    return now.since(isHeard() ? lastFrameAt : upAt);
  }
}
