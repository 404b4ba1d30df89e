package linengauge.session;

import java.util.SplittableRandom;
import linengauge.Span;

/**
 * Delays between retries. Each delay is drawn at random from the upper half of a bound, which
 * starts at the initial delay and doubles up to the maximum.
 */
public final class Backoff {
  private final Span initialDelay;
  private final Span maxDelay;
  private final SplittableRandom random;
  private Span upperBound;

  public Backoff(Span initialDelay, Span maxDelay, SplittableRandom random) {
    this.initialDelay = initialDelay;
    this.maxDelay = maxDelay;
    this.random = random;
    this.upperBound = initialDelay;
  }

  /** The delay before the next attempt. */
  public Span nextDelay() {
    Span bound = upperBound;
    upperBound = upperBound.times(2).min(maxDelay);
    return bound.times(0.5 + 0.5 * random.nextDouble());
  }

  /** Starts again at the initial delay, after an attempt that succeeded. */
  public void reset() {
    upperBound = initialDelay;
  }
}
