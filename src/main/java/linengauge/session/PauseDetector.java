package linengauge.session;

import linengauge.Moment;
import linengauge.Span;

/**
 * Detects a process pause of this front (stopped, swapped out, held up for long) from a tick that
 * comes late. Without it a viewer's time limit would count from the moment of reading, though a
 * request read in the first moments after a pause may have waited for all of it. Where only the
 * core was paused and requests came afterwards, they are answered earlier than they need be.
 */
public final class PauseDetector {
  private final Span tickInterval;
  private final Span tolerance;
  private final Span effectSpan;
  private Moment lastActivity;
  private Span pause = Span.NONE;
  private Moment detectedAt = Moment.DISTANT_PAST;

  /**
   * Pauses up to the tolerance are ignored; a longer one counts for requests read within the effect
   * span after it.
   */
  public PauseDetector(Span tickInterval, Span tolerance, Span effectSpan) {
    this.tickInterval = tickInterval;
    this.tolerance = tolerance;
    this.effectSpan = effectSpan;
  }

  /** Records a sign that the front runs. */
  public void recordActivity(Moment now) {
    if (lastActivity != null) {
      Span late = now.since(lastActivity).minus(tickInterval);
      if (tolerance.isShorterThan(late)) {
        pause = late;
        detectedAt = now;
      }
    }
    lastActivity = now;
  }

  /** How long a request read now may already have waited unread. */
  public Span recentPause(Moment now) {
    return now.since(detectedAt).isShorterThan(effectSpan) ? pause : Span.NONE;
  }
}
