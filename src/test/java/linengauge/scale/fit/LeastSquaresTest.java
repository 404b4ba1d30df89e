package linengauge.scale.fit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;

/** Guards against wrong coefficients and residuals. */
class LeastSquaresTest {
  private static final double[] SIZES = {60, 220, 440, 900, 1800};

  static List<SizedValue> points(double[] sizes, DoubleUnaryOperator curve) {
    List<SizedValue> points = new ArrayList<>();
    for (double size : sizes) {
      points.add(new SizedValue(size, curve.applyAsDouble(size)));
    }
    return points;
  }

  private static void assertCoefficients(Fit fit, double... expected) {
    assertEquals(expected.length, fit.coefficients().size());
    for (int i = 0; i < expected.length; i++) {
      double tolerance = 1e-7 * Math.max(1, Math.abs(expected[i]));
      assertEquals(expected[i], fit.coefficients().get(i), tolerance, "coefficient " + i);
    }
    assertTrue(fit.largestRelativeResidual() < 1e-9, "residual " + fit.largestRelativeResidual());
  }

  @Test
  void exactCurvesYieldTheirCoefficients() {
    assertCoefficients(LeastSquares.fit(GrowthModel.CONSTANT, points(SIZES, n -> 7)), 7);
    assertCoefficients(LeastSquares.fit(GrowthModel.LINEAR, points(SIZES, n -> 3 + 2 * n)), 3, 2);
    assertCoefficients(
        LeastSquares.fit(GrowthModel.LOGARITHMIC, points(SIZES, n -> 5 + 40 * Math.log(n))), 5, 40);
    assertCoefficients(
        LeastSquares.fit(GrowthModel.QUADRATIC, points(SIZES, n -> 100 + n + 0.01 * n * n)),
        100,
        1,
        0.01);
  }

  @Test
  void lineThroughFourPointsMatchesHandCalculation() {
    // given: mean size 2.5, mean value 3; slope (1.5*1.5 + 0.5*0 + 0 + 1.5*1.5) / 5 = 0.8
    var points =
        List.of(
            new SizedValue(1, 2), new SizedValue(2, 2), new SizedValue(3, 4), new SizedValue(4, 4));
    // when
    Fit line = LeastSquares.fit(GrowthModel.LINEAR, points);
    // then
    assertEquals(1.0, line.coefficients().get(0), 1e-12);
    assertEquals(0.8, line.coefficients().get(1), 1e-12);
    double[] residuals = line.residuals().stream().mapToDouble(Double::doubleValue).toArray();
    assertEquals(0.2, residuals[0], 1e-12);
    assertEquals(-0.6, residuals[1], 1e-12);
    assertEquals(0.6, residuals[2], 1e-12);
    assertEquals(-0.2, residuals[3], 1e-12);
    assertEquals(0.3, line.largestRelativeResidual(), 1e-12);
    assertEquals(9.0, line.at(10), 1e-12);
  }

  @Test
  void noisySeededLineIsRecovered() {
    // given: a hundred points with noise of up to 5% in either direction
    var random = new SplittableRandom(20261202);
    List<SizedValue> points = new ArrayList<>();
    for (int size = 10; size <= 1000; size += 10) {
      double noise = 1 + (random.nextDouble() - 0.5) / 10;
      points.add(new SizedValue(size, (50 + 3 * size) * noise));
    }
    // when
    Fit line = LeastSquares.fit(GrowthModel.LINEAR, points);
    // then
    assertEquals(3, line.coefficients().get(1), 0.1);
    assertTrue(line.largestRelativeResidual() < Extrapolation.MAX_RELATIVE_RESIDUAL);
    double sum = line.residuals().stream().mapToDouble(Double::doubleValue).sum();
    assertEquals(0, sum, 1e-6, "residuals of a fit with an intercept sum to zero");
  }

  @Test
  void tooFewPointsAreRefused() {
    var two = points(new double[] {1, 2}, n -> n);
    var oneSize = points(new double[] {5, 5, 5, 5}, n -> n);
    assertThrows(IllegalArgumentException.class, () -> LeastSquares.fit(GrowthModel.LINEAR, two));
    assertThrows(
        IllegalArgumentException.class, () -> LeastSquares.fit(GrowthModel.LINEAR, oneSize));
    assertEquals(
        List.of(GrowthModel.CONSTANT), LeastSquares.fitAll(two).stream().map(Fit::model).toList());
  }

  @Test
  void formulasShowSigns() {
    Fit line = new Fit(GrowthModel.LINEAR, List.of(-2.0, -0.5), points(SIZES, n -> n));
    assertEquals("-2.000 - 0.5000 n", line.formula());
  }
}
