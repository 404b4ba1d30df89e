package linengauge.lease.explore;

import java.util.Arrays;
import linengauge.Span;
import linengauge.membership.explore.DetectionFigures;

/** Delays, counted in steps of ten milliseconds, so that millions of them take little room. */
final class DelayHistogram {
  private static final int STEP_MICROS = 10_000;
  private static final int STEPS = 60_000;
  private static final double HIGH = 0.99;

  private final int[] counts = new int[STEPS];
  private int all;
  private double sum;
  private Span longest = Span.NONE;

  void clear() {
    Arrays.fill(counts, 0);
    all = 0;
    sum = 0;
    longest = Span.NONE;
  }

  void add(Span delay) {
    int step = (int) Math.min(STEPS - 1, delay.micros() / STEP_MICROS);
    counts[step]++;
    all++;
    sum += delay.seconds();
    longest = longest.max(delay);
  }

  /**
   * @param expected delays there had to be
   */
  DetectionFigures figures(int expected) {
    Span mean = Span.ofSeconds(all == 0 ? 0 : sum / all);
    return new DetectionFigures(expected, all, mean, high().min(longest), longest);
  }

  private Span high() {
    int rank = (int) Math.ceil(HIGH * all);
    int seen = 0;
    for (int step = 0; step < STEPS; step++) {
      seen += counts[step];
      if (seen >= rank) {
        return new Span((step + 1L) * STEP_MICROS);
      }
    }
    return longest;
  }
}
