package linengauge.flow;

import linengauge.Moment;
import linengauge.Span;

/**
 * Measures the time during which a loop was running. A loop that was stopped, swapped out or busy
 * with one task receives all pending events at once afterwards. By the wall clock every peer then
 * seems to have been silent for that long, although none was. Loop time leaves such process pauses
 * out, so that no peer is disconnected because of them. The cost: where ticks are always late,
 * timeouts grow accordingly; one tick advances the loop time by at most {@code tickInterval +
 * lateTolerance}.
 */
public final class LoopClock {
  private final Span tickInterval;
  private final Span lateTolerance;
  private Moment lastTickAt;
  private Moment loopTime = new Moment(0);
  private Span pausedTime = Span.NONE;

  public LoopClock(Span tickInterval, Span lateTolerance) {
    this.tickInterval = tickInterval;
    this.lateTolerance = lateTolerance;
  }

  /** Advances the clock to this moment; false if the loop was paused since the last tick. */
  public boolean tick(Moment now) {
    if (lastTickAt == null) {
      lastTickAt = now;
      return true;
    }
    Span elapsed = now.since(lastTickAt).max(Span.NONE);
    Span maxElapsed = tickInterval.plus(lateTolerance);
    lastTickAt = lastTickAt.max(now);
    loopTime = loopTime.plus(elapsed.min(maxElapsed));
    if (!maxElapsed.isShorterThan(elapsed)) {
      return true;
    }
    pausedTime = pausedTime.plus(elapsed.minus(maxElapsed));
    return false;
  }

  /** The current loop time, which starts at 0 and is unrelated to the wall clock. */
  public Moment loopTime() {
    return loopTime;
  }

  /** The total time in which the loop was paused. */
  public Span pausedTime() {
    return pausedTime;
  }
}
