package linengauge.flow;

import linengauge.Moment;
import linengauge.Span;

/**
 * The time in which a loop ran. A loop that was stopped, swapped out or busy with one thing hears
 * of everything at once afterwards: by the wall everybody has been silent for that long, and nobody
 * was. Guards against letting peers go for our own stand-still. It could hurt where loops are
 * always late: waits grow by as much, at most by `beat + late` a look.
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

  /**
   * A beat at this moment; true where the loop has run since the last one, false where it has stood
   * still.
   */
  public boolean tick(Moment now) {
    if (lastTickAt == null) {
      lastTickAt = now;
      return true;
    }
    Span elapsed = now.since(lastTickAt).orMore(Span.NONE);
    Span maxElapsed = tickInterval.plus(lateTolerance);
    lastTickAt = lastTickAt.orLater(now);
    loopTime = loopTime.plus(elapsed.orLess(maxElapsed));
    if (!maxElapsed.under(elapsed)) {
      return true;
    }
    pausedTime = pausedTime.plus(elapsed.minus(maxElapsed));
    return false;
  }

  /** On the loop's own clock, which starts at 0 and has nothing to do with the wall's. */
  public Moment loopTime() {
    return loopTime;
  }

  /** How long the loop has stood still in all. */
  public Span pausedTime() {
    return pausedTime;
  }
}
