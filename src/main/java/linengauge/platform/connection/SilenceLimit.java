package linengauge.platform.connection;

import linengauge.Span;

/**
 * How long the journal service may be silent before it is asked again. The limit follows the pauses
 * that the service makes, within bounds, so that a service with few heartbeats is not asked after
 * each of them.
 */
public final class SilenceLimit {
  /** For a service with a heartbeat each second. */
  private static final Span MIN = Span.ofMillis(2200);

  /** Leaves time for an answer within the 4 s that the platform allows after a stop. */
  private static final Span MAX = Span.ofSeconds(3);

  private static final double PAUSE_FACTOR = 1.2;
  private static final double DECAY = 0.98;

  private Span limit = MIN;

  /** The service was heard after a pause of that length. */
  public void onPause(Span pause) {
    limit = pause.times(PAUSE_FACTOR).max(limit.times(DECAY)).max(MIN).min(MAX);
  }

  /** Another service is followed from now on. */
  public void reset() {
    limit = MIN;
  }

  public Span limit() {
    return limit;
  }

  /** After this time without a sign a watch does not go on that had carried frames. */
  Span longest() {
    return MAX;
  }
}
