package linengauge.membership.explore;

import java.util.List;
import linengauge.Span;

/**
 * How long it took until a change was known, over all pairs of a change and a party that had to
 * learn of it.
 *
 * @param expected pairs there were
 * @param known pairs where it came to be known
 * @param last the longest: when it was known everywhere
 */
public record DetectionFigures(int expected, int known, Span mean, Span p99, Span last) {
  private static final double HIGH_PERCENTILE = 0.99;

  /** The figures of those delays. */
  public static DetectionFigures of(int expected, List<Span> delays) {
    if (delays.isEmpty()) {
      return new DetectionFigures(expected, 0, Span.NONE, Span.NONE, Span.NONE);
    }
    List<Span> sorted = delays.stream().sorted().toList();
    double sum = sorted.stream().mapToDouble(Span::seconds).sum();
    int percentileIndex = (int) Math.ceil(HIGH_PERCENTILE * sorted.size()) - 1;
    return new DetectionFigures(
        expected,
        sorted.size(),
        Span.ofSeconds(sum / sorted.size()),
        sorted.get(percentileIndex),
        sorted.get(sorted.size() - 1));
  }
}
