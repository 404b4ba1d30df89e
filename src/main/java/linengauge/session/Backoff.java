package linengauge.session;

import java.util.SplittableRandom;
import linengauge.Span;

/**
 * Spans between repeated attempts: doubling from the first to the most, each drawn from its upper
 * half.
 */
public final class Backoff {
  private final Span first;
  private final Span most;
  private final SplittableRandom chance;
  private Span next;

  public Backoff(Span first, Span most, SplittableRandom chance) {
    this.first = first;
    this.most = most;
    this.chance = chance;
    this.next = first;
  }

  /** How long to wait before the next attempt. */
  public Span nextDelay() {
    Span whole = next;
    next = next.times(2).orLess(most);
    return whole.times(0.5 + 0.5 * chance.nextDouble());
  }

  /** An attempt went well. */
  public void reset() {
    next = first;
  }
}
