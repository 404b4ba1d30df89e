package linengauge.scale.fit;

import java.util.List;
import java.util.Locale;

/**
 * A model fitted to measured points.
 *
 * @param coefficients the intercept first, then one for each regressor of the model
 * @param points the points to which the model was fitted
 */
public record Fit(GrowthModel model, List<Double> coefficients, List<SizedValue> points) {
  public Fit {
    coefficients = List.copyOf(coefficients);
    points = List.copyOf(points);
  }

  /** Evaluates the fit at any size; {@link Extrapolation} decides whether the value is usable. */
  public double at(double size) {
    double value = coefficients.get(0);
    double[] regressors = model.regressors(size);
    for (int i = 0; i < regressors.length; i++) {
      value += coefficients.get(i + 1) * regressors[i];
    }
    return value;
  }

  /** Measured value minus fitted value for each point, in the order of the points. */
  public List<Double> residuals() {
    return points.stream().map(point -> point.value() - at(point.size())).toList();
  }

  /** The largest residual as a fraction of the measured value at its point. */
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

  /** The fitted formula as text, in which n is the size. */
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
