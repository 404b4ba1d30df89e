package linengauge.scale.fit;

import java.util.List;
import java.util.Locale;

/**
 * A model fitted to measured points.
 *
 * @param coefficients the intercept first, then one for each regressor of the model
 * @param points the points that it was fitted to
 */
public record Fit(GrowthModel model, List<Double> coefficients, List<SizedValue> points) {
  public Fit {
    coefficients = List.copyOf(coefficients);
    points = List.copyOf(points);
  }

  /**
   * What the fit gives at a size, measured or not; {@link Extrapolation} says whether to use it.
   */
  public double at(double size) {
    double value = coefficients.get(0);
    double[] regressors = model.regressors(size);
    for (int i = 0; i < regressors.length; i++) {
      value += coefficients.get(i + 1) * regressors[i];
    }
    return value;
  }

  /** Measured less fitted, one for each point in the order of the points. */
  public List<Double> residuals() {
    return points.stream().map(point -> point.value() - at(point.size())).toList();
  }

  /** The largest residual as a fraction of the value measured there. */
  public double largestRelativeResidual() {
    return points.stream().mapToDouble(this::relativeResidual).max().orElse(0);
  }

  private double relativeResidual(SizedValue point) {
    double residual = Math.abs(point.value() - at(point.size()));
    if (residual == 0) {
      return 0;
    }
    return point.value() == 0 ? Double.POSITIVE_INFINITY : residual / Math.abs(point.value());
  }

  public double smallestSize() {
    return points.stream().mapToDouble(SizedValue::size).min().orElseThrow();
  }

  public double largestSize() {
    return points.stream().mapToDouble(SizedValue::size).max().orElseThrow();
  }

  /** The fitted formula, with n for the size. */
  public String formula() {
    String[] terms =
        switch (model) {
          case CONSTANT -> new String[] {""};
          case LOGARITHMIC -> new String[] {"", " ln n"};
          case LINEAR -> new String[] {"", " n"};
          case QUADRATIC -> new String[] {"", " n", " n²"};
        };
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < terms.length; i++) {
      double coefficient = coefficients.get(i);
      String sign = coefficient < 0 ? "-" : "+";
      text.append(i == 0 ? (coefficient < 0 ? "-" : "") : " " + sign + " ");
      text.append(String.format(Locale.ROOT, "%.4g", Math.abs(coefficient))).append(terms[i]);
    }
    return text.toString();
  }
}
