package linengauge.scale.fit;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * What a fit gives at a size, or why it gives nothing there. A fit that misses the measured points
 * says nothing about sizes that were not measured.
 */
public sealed interface Extrapolation {
  /** The fewest different sizes that a fit has to be made of. */
  int FEWEST_SIZES = 4;

  /** The largest residual, as a fraction of the value measured, with which a fit still holds. */
  double LARGEST_RELATIVE_RESIDUAL = 0.10;

  /** The farthest size, as a multiple of the largest size measured. */
  double FARTHEST = 2.5;

  /**
   * The value at the size.
   *
   * @param timesLargestMeasured the size over the largest measured one; at most 1 where the value
   *     is interpolated
   */
  record Value(Fit fit, double size, double value, double timesLargestMeasured)
      implements Extrapolation {
    public boolean extrapolated() {
      return timesLargestMeasured > 1;
    }
  }

  /** No value: the reason, for people. */
  record Refused(String reason) implements Extrapolation {}

  /** What this fit gives at the size. */
  static Extrapolation of(Fit fit, double size) {
    long sizes = fit.points().stream().mapToDouble(SizedValue::size).distinct().count();
    if (sizes < FEWEST_SIZES) {
      return refused("%d sizes measured, %d are wanted", sizes, FEWEST_SIZES);
    }
    if (fit.largestRelativeResidual() > LARGEST_RELATIVE_RESIDUAL) {
      return refused(
          "%s misses a measured value by %.0f%%, over %.0f%%",
          fit.model().label(),
          fit.largestRelativeResidual() * 100,
          LARGEST_RELATIVE_RESIDUAL * 100);
    }
    double times = size / fit.largestSize();
    if (times > FARTHEST) {
      return refused("%.1f times the largest size measured, over %.1f", times, FARTHEST);
    }
    if (size < fit.smallestSize()) {
      return refused("below the smallest size measured, %.0f", fit.smallestSize());
    }
    double value = fit.at(size);
    if (value < 0) {
      return refused("%s gives a value below nothing", fit.model().label());
    }
    return new Value(fit, size, value, times);
  }

  /**
   * What the plainest model that holds gives at the size; of models with as many coefficients the
   * one with the smallest residual.
   */
  static Extrapolation ofPlainest(List<Fit> fits, double size) {
    Optional<Fit> plainest = plainestThatHolds(fits);
    if (plainest.isPresent()) {
      return of(plainest.get(), size);
    }
    return fits.stream()
        .min(Comparator.comparingDouble(Fit::largestRelativeResidual))
        .map(closest -> of(closest, size))
        .orElseGet(() -> refused("too few sizes for any model"));
  }

  /** The plainest model within the residual's bound, where there is one. */
  static Optional<Fit> plainestThatHolds(List<Fit> fits) {
    return fits.stream()
        .filter(fit -> fit.largestRelativeResidual() <= LARGEST_RELATIVE_RESIDUAL)
        .min(
            Comparator.<Fit>comparingInt(fit -> fit.model().coefficients())
                .thenComparingDouble(Fit::largestRelativeResidual));
  }

  private static Refused refused(String reason, Object... parts) {
    return new Refused(String.format(Locale.ROOT, reason, parts));
  }
}
