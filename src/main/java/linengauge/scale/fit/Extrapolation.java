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
  int MIN_SIZES = 4;

  /** The largest residual, as a fraction of the value measured, with which a fit still holds. */
  double MAX_RELATIVE_RESIDUAL = 0.10;

  /**
   * Sizes that a fit wants beyond its coefficients before it says anything of sizes not measured: a
   * curve that nearly passes through its points because it has nearly as many coefficients does not
   * hold by that.
   */
  int MIN_SPARE_SIZES = 2;

  /** A residual below which no less plain model is looked for. */
  double GOOD_RELATIVE_RESIDUAL = 0.02;

  /** By how much a less plain model has to come nearer to be taken. */
  double MIN_IMPROVEMENT_FACTOR = 2;

  /** The farthest size, as a multiple of the largest size measured. */
  double MAX_SIZE_MULTIPLE = 2.5;

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
    if (sizes < MIN_SIZES) {
      return refused("%d sizes measured, %d are wanted", sizes, MIN_SIZES);
    }
    if (fit.largestRelativeResidual() > MAX_RELATIVE_RESIDUAL) {
      return refused(
          "%s misses a measured value by %.0f%%, over %.0f%%",
          fit.model().label(), fit.largestRelativeResidual() * 100, MAX_RELATIVE_RESIDUAL * 100);
    }
    double times = size / fit.largestSize();
    int wanted = fit.model().coefficients() + MIN_SPARE_SIZES;
    if (times > 1 && sizes < wanted) {
      return refused("%s beyond %d sizes wants %d", fit.model().label(), sizes, wanted);
    }
    if (times > 1 && turns(fit, size)) {
      return refused("%s turns beyond the sizes measured", fit.model().label());
    }
    if (times > MAX_SIZE_MULTIPLE) {
      return refused("%.1f times the largest size measured, over %.1f", times, MAX_SIZE_MULTIPLE);
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

  /** Whether it rises within the sizes measured and falls beyond them, or the other way. */
  private static boolean turns(Fit fit, double size) {
    double within = fit.at(fit.largestSize()) - fit.at(fit.smallestSize());
    double step = (size - fit.largestSize()) / 100;
    for (int i = 1; i <= 100; i++) {
      double before = fit.at(fit.largestSize() + (i - 1) * step);
      double after = fit.at(fit.largestSize() + i * step);
      if (within * (after - before) < 0) {
        return true;
      }
    }
    return false;
  }

  /**
   * What the plainest model that holds gives at the size; of models with as many coefficients the
   * one with the smallest residual.
   */
  static Extrapolation ofSimplest(List<Fit> fits, double size) {
    Optional<Fit> plainest = simplestAcceptable(fits);
    if (plainest.isPresent()) {
      return of(plainest.get(), size);
    }
    return fits.stream()
        .min(Comparator.comparingDouble(Fit::largestRelativeResidual))
        .map(closest -> of(closest, size))
        .orElseGet(() -> refused("too few sizes for any model"));
  }

  /**
   * The plainest model within the residual's bound, where there is one; not where a less plain one
   * comes more than twice as near: a constant would hide a slope on top of a high base.
   */
  static Optional<Fit> simplestAcceptable(List<Fit> fits) {
    double nearest = fits.stream().mapToDouble(Fit::largestRelativeResidual).min().orElse(0);
    double bound =
        Math.min(
            MAX_RELATIVE_RESIDUAL,
            Math.max(GOOD_RELATIVE_RESIDUAL, MIN_IMPROVEMENT_FACTOR * nearest));
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
