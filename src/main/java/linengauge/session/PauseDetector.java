package linengauge.session;

import linengauge.Moment;
import linengauge.Span;

/**
 * Notices that this front itself stood still (stopped, swapped out, a long pause), from a beat that
 * comes late. Guards against counting a viewer's patience from the moment of reading: what is read
 * in the first moments after a gap may have waited for all of it. It could hurt where the gap was
 * the desk's alone and requests came after it: they are answered sooner than they need be.
 */
public final class PauseDetector {
  private final Span beat;
  private final Span tolerated;
  private final Span holds;
  private Moment beaten;
  private Span gap = Span.NONE;
  private Moment noticedAt = Moment.DISTANT_PAST;

  /**
   * Gaps up to the tolerated span are no news; one over it counts for requests read within `holds`
   * after it.
   */
  public PauseDetector(Span beat, Span tolerated, Span holds) {
    this.beat = beat;
    this.tolerated = tolerated;
    this.holds = holds;
  }

  /** Any sign that the front runs. */
  public void recordActivity(Moment now) {
    if (beaten != null) {
      Span late = now.since(beaten).minus(beat);
      if (tolerated.under(late)) {
        gap = late;
        noticedAt = now;
      }
    }
    beaten = now;
  }

  /** How long a request read now may already have waited unseen. */
  public Span recentPause(Moment now) {
    return now.since(noticedAt).under(holds) ? gap : Span.NONE;
  }
}
