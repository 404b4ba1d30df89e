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
  private final Span beat;
  private final Span late;
  private Moment wall;
  private Moment own = new Moment(0);
  private Span pausedTime = Span.NONE;

  public LoopClock(Span beat, Span late) {
    this.beat = beat;
    this.late = late;
  }

  /**
   * A beat at this moment; true where the loop has run since the last one, false where it has stood
   * still.
   */
  public boolean tick(Moment now) {
    if (wall == null) {
      wall = now;
      return true;
    }
    Span since = now.since(wall).orMore(Span.NONE);
    Span most = beat.plus(late);
    wall = wall.orLater(now);
    own = own.plus(since.orLess(most));
    if (!most.under(since)) {
      return true;
    }
    pausedTime = pausedTime.plus(since.minus(most));
    return false;
  }

  /** On the loop's own clock, which starts at 0 and has nothing to do with the wall's. */
  public Moment own() {
    return own;
  }

  /** How long the loop has stood still in all. */
  public Span pausedTime() {
    return pausedTime;
  }
}
