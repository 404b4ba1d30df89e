package linengauge.scale.fit;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * The value that a fit predicts at a size, or the reason why it predicts none. A fit that misses
 * the measured points is not evidence for sizes that were not measured.
 */
public sealed interface Extrapolation {
  /** The minimum number of distinct measured sizes for a fit to be used. */
  int MIN_SIZES = 4;

  /** The largest residual of an acceptable fit, as a fraction of the measured value. */
  double MAX_RELATIVE_RESIDUAL = 0.10;

  /**
   * Distinct sizes required beyond the number of coefficients before a fit is extrapolated. A curve
   * with nearly as many coefficients as points passes close to them whether or not it is right.
   */
  int MIN_SPARE_SIZES = 2;

  /** Relative residual below which no more complex model is preferred. */
  double GOOD_RELATIVE_RESIDUAL = 0.02;

  /** Factor by which a more complex model must reduce the residual to be preferred. */
  double MIN_IMPROVEMENT_FACTOR = 2;

  /** The largest size for extrapolation, as a multiple of the largest measured size. */
  double MAX_SIZE_MULTIPLE = 2.5;

  /**
   * The predicted value at the size.
   *
   * @param timesLargestMeasured the size divided by the largest measured size; at most 1 when the
   *     value is interpolated
   */
  record Value(Fit fit, double size, double value, double timesLargestMeasured)
      implements Extrapolation {
    public boolean extrapolated() {
      return timesLargestMeasured > 1;
    }
  }

  /** No value is predicted; the reason is text for display. */
  record Refused(String reason) implements Extrapolation {}

  /** Evaluates the fit at the size, or gives the reason why it cannot be used there. */
  static Extrapolation of(Fit fit, double size) {
    long sizes = fit.points().stream().mapToDouble(SizedValue::size).distinct().count();
    if (sizes < MIN_SIZES) {
      return refused("%d sizes measured, %d are wanted", sizes, MIN_SIZES);
    }
    if (fit.largestRelativeResidual() > MAX_RELATIVE_RESIDUAL) {
      return refused(
          "%s misses a measured value by %.0f%%, over %.0f%%",
          fit.model().label(), fit.largestRelativeResidual() * 100, MAX_RELATIVE_RESIDUAL * 100);
    }
    double sizeMultiple = size / fit.largestSize();
    int requiredSizes = fit.model().coefficients() + MIN_SPARE_SIZES;
    if (sizeMultiple > 1 && sizes < requiredSizes) {
      return refused("%s beyond %d sizes wants %d", fit.model().label(), sizes, requiredSizes);
    }
    if (sizeMultiple > 1 && changesDirection(fit, size)) {
      return refused("%s turns beyond the sizes measured", fit.model().label());
    }
    if (sizeMultiple > MAX_SIZE_MULTIPLE) {
      return refused(
          "%.1f times the largest size measured, over %.1f", sizeMultiple, MAX_SIZE_MULTIPLE);
    }
    if (size < fit.smallestSize()) {
      return refused("below the smallest size measured, %.0f", fit.smallestSize());
    }
    double value = fit.at(size);
    if (value < 0) {
      return refused("%s gives a value below nothing", fit.model().label());
    }
    return new Value(fit, size, value, sizeMultiple);
  }

  /** Whether the fit rises over the measured sizes and falls beyond them, or the reverse. */
  private static boolean changesDirection(Fit fit, double size) {
    double measuredChange = fit.at(fit.largestSize()) - fit.at(fit.smallestSize());
    double step = (size - fit.largestSize()) / 100;
    for (int i = 1; i <= 100; i++) {
      double before = fit.at(fit.largestSize() + (i - 1) * step);
      double after = fit.at(fit.largestSize() + i * step);
      if (measuredChange * (after - before) < 0) {
        return true;
      }
    }
    return false;
  }

  /**
   * Evaluates the simplest acceptable model at the size; among models with equally many
   * coefficients, the one with the smallest residual.
   */
  static Extrapolation ofSimplest(List<Fit> fits, double size) {
    Optional<Fit> simplest = simplestAcceptable(fits);
    if (simplest.isPresent()) {
      return of(simplest.get(), size);
    }
    return fits.stream()
        .min(Comparator.comparingDouble(Fit::largestRelativeResidual))
        .map(closest -> of(closest, size))
        .orElseGet(() -> refused("too few sizes for any model"));
  }

  /**
   * The simplest model within the residual bound, if there is one. A simple model is passed over
   * when a more complex one has less than half its residual, because a constant would otherwise
   * hide a slope on top of a high base.
   */
  static Optional<Fit> simplestAcceptable(List<Fit> fits) {
    double smallestResidual =
        fits.stream().mapToDouble(Fit::largestRelativeResidual).min().orElse(0);
    double bound =
        Math.min(
            MAX_RELATIVE_RESIDUAL,
            Math.max(GOOD_RELATIVE_RESIDUAL, MIN_IMPROVEMENT_FACTOR * smallestResidual));
    return fits.stream()
        .filter(fit -> fit.largestRelativeResidual() <= bound)
        .min(
            Comparator.<Fit>comparingInt(fit -> fit.model().coefficients())
                .thenComparingDouble(Fit::largestRelativeResidual));
  }

  private static Refused refused(String reason, Object... parts) {
    return new Refused(String.format(Locale.ROOT, reason, parts));
  }
}
