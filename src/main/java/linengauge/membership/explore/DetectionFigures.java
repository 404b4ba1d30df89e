package linengauge.membership.explore;

import java.util.List;
import linengauge.Span;

/**
 * Delay between a change and its detection, over all pairs of a change and an observer.
 *
 * @param expected number of pairs
 * @param known number of pairs in which the change was detected
 * @param last longest delay, after which every observer had detected the change
 */
public record DetectionFigures(int expected, int known, Span mean, Span p99, Span last) {
  private static final double HIGH_PERCENTILE = 0.99;

  /** Summarizes the delays of the pairs in which the change was detected. */
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
