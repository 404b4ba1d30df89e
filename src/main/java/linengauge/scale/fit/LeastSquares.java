package linengauge.scale.fit;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.linear.SingularMatrixException;
import org.apache.commons.math3.stat.regression.OLSMultipleLinearRegression;

/** Fits growth models by ordinary least squares. */
public final class LeastSquares {
  private LeastSquares() {}

  /**
   * Fits one model to the points.
   *
   * @throws IllegalArgumentException if there are not more points than coefficients, or fewer
   *     distinct sizes than coefficients
   */
  public static Fit fit(GrowthModel model, List<SizedValue> points) {
    long sizes = points.stream().mapToDouble(SizedValue::size).distinct().count();
    if (points.size() <= model.coefficients() || sizes < model.coefficients()) {
      throw new IllegalArgumentException(
          model.label() + " wants more points than " + points.size() + " at " + sizes + " sizes");
    }
    double[] values = points.stream().mapToDouble(SizedValue::value).toArray();
    if (model == GrowthModel.CONSTANT) {
      double mean = points.stream().mapToDouble(SizedValue::value).average().orElseThrow();
      return new Fit(model, List.of(mean), points);
    }
    double[][] regressors =
        points.stream().map(point -> model.regressors(point.size())).toArray(double[][]::new);
    var regression = new OLSMultipleLinearRegression();
    try {
      regression.newSampleData(values, regressors);
      List<Double> coefficients = new ArrayList<>();
      for (double coefficient : regression.estimateRegressionParameters()) {
        coefficients.add(coefficient);
      }
      return new Fit(model, coefficients, points);
    } catch (SingularMatrixException e) {
      throw new IllegalArgumentException(model.label() + " is not determined by these sizes", e);
    }
  }

  /**
   * Fits every model, simplest first, that has fewer coefficients than there are distinct sizes.
   * With as many, it could pass through the mean at each size whether or not it is right.
   */
  public static List<Fit> fitAll(List<SizedValue> points) {
    List<Fit> fits = new ArrayList<>();
    for (GrowthModel model : GrowthModel.values()) {
      long sizes = points.stream().mapToDouble(SizedValue::size).distinct().count();
      if (sizes > model.coefficients()) {
        fits.add(fit(model, points));
      }
    }
    return fits;
  }
}
