package linengauge.lease.explore;

import java.util.Arrays;
import linengauge.Span;
import linengauge.membership.explore.DetectionFigures;

/**
 * Counts delays in buckets of ten milliseconds, so that millions of them take little memory. The
 * last bucket also counts all delays of more than ten minutes.
 */
final class DelayHistogram {
  private static final int BUCKET_MICROS = 10_000;
  private static final int BUCKETS = 60_000;
  private static final double HIGH_QUANTILE = 0.99;

  private final int[] counts = new int[BUCKETS];
  private int total;
  private double sum;
  private Span longest = Span.NONE;

  void clear() {
    Arrays.fill(counts, 0);
    total = 0;
    sum = 0;
    longest = Span.NONE;
  }

  void add(Span delay) {
    int bucket = (int) Math.min(BUCKETS - 1, delay.micros() / BUCKET_MICROS);
    counts[bucket]++;
    total++;
    sum += delay.seconds();
    longest = longest.max(delay);
  }

  /**
   * @param expected how many delays should have been recorded
   */
  DetectionFigures figures(int expected) {
    Span mean = Span.ofSeconds(total == 0 ? 0 : sum / total);
    return new DetectionFigures(expected, total, mean, highQuantile().min(longest), longest);
  }

  private Span highQuantile() {
    int rank = (int) Math.ceil(HIGH_QUANTILE * total);
    int seen = 0;
    for (int bucket = 0; bucket < BUCKETS; bucket++) {
      seen += counts[bucket];
      if (seen >= rank) {
        return new Span((bucket + 1L) * BUCKET_MICROS);
      }
    }
    return longest;
  }
}
