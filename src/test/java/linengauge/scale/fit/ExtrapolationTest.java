package linengauge.scale.fit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;

/** Guards against predictions at sizes that the measurements do not support. */
class ExtrapolationTest {
  private static final double[] SIZES = {60, 220, 440, 900};

  private static Fit fitLine(double[] sizes, DoubleUnaryOperator curve) {
    return LeastSquares.fit(GrowthModel.LINEAR, LeastSquaresTest.points(sizes, curve));
  }

  private static void assertRefused(String why, Extrapolation at) {
    String reason = assertInstanceOf(Extrapolation.Refused.class, at).reason();
    assertTrue(reason.contains(why), reason);
  }

  @Test
  void acceptableLineGivesValueAndSizeMultiple() {
    Extrapolation at = Extrapolation.of(fitLine(SIZES, n -> 10 + 2 * n), 1800);
    var value = assertInstanceOf(Extrapolation.Value.class, at);
    assertEquals(3610, value.value(), 1e-6);
    assertEquals(2.0, value.timesLargestMeasured(), 1e-12);
    assertTrue(value.extrapolated());
  }

  @Test
  void sizeWithinMeasuredRangeIsInterpolated() {
    Extrapolation at = Extrapolation.of(fitLine(SIZES, n -> 10 + 2 * n), 500);
    assertEquals(false, assertInstanceOf(Extrapolation.Value.class, at).extrapolated());
  }

  @Test
  void lineThroughQuadraticIsRefused() {
    assertRefused("misses", Extrapolation.of(fitLine(SIZES, n -> n * n), 1800));
  }

  @Test
  void sizeBeyondMaximumMultipleIsRefused() {
    assertRefused("times the largest", Extrapolation.of(fitLine(SIZES, n -> 10 + 2 * n), 2251));
    assertInstanceOf(
        Extrapolation.Value.class, Extrapolation.of(fitLine(SIZES, n -> 10 + 2 * n), 2250));
  }

  @Test
  void sizeBelowSmallestIsRefused() {
    assertRefused("below", Extrapolation.of(fitLine(SIZES, n -> 10 + 2 * n), 59));
  }

  @Test
  void threeSizesAreTooFew() {
    Fit fit = fitLine(new double[] {60, 220, 440}, n -> 10 + 2 * n);
    assertRefused("3 sizes", Extrapolation.of(fit, 500));
  }

  @Test
  void quadraticThroughFourSizesIsNotExtrapolated() {
    // given: an exact quadratic with only one more point than coefficients
    var four = LeastSquaresTest.points(SIZES, n -> 5 + n + n * n);
    var five = LeastSquaresTest.points(new double[] {60, 220, 440, 650, 900}, n -> 5 + n + n * n);
    // then
    Fit square = LeastSquares.fit(GrowthModel.QUADRATIC, four);
    assertRefused("wants 5", Extrapolation.of(square, 1800));
    assertInstanceOf(Extrapolation.Value.class, Extrapolation.of(square, 500));
    Fit better = LeastSquares.fit(GrowthModel.QUADRATIC, five);
    assertInstanceOf(Extrapolation.Value.class, Extrapolation.of(better, 1800));
  }

  @Test
  void curveThatChangesDirectionBeyondMeasuredSizesIsRefused() {
    // given: a cost that appears to fall again above 1,200
    var points =
        LeastSquaresTest.points(
            new double[] {60, 220, 440, 650, 900}, n -> 1500 * 1500 - (n - 1200) * (n - 1200));
    Fit square = LeastSquares.fit(GrowthModel.QUADRATIC, points);
    assertRefused("turns", Extrapolation.of(square, 1800));
    assertInstanceOf(Extrapolation.Value.class, Extrapolation.of(square, 1100));
  }

  @Test
  void negativeValueIsRefused() {
    assertRefused("below nothing", Extrapolation.of(fitLine(SIZES, n -> 1000 - n), 1800));
  }

  @Test
  void simplestAcceptableModelIsChosen() {
    // given: a curve that grows logarithmically
    var points = LeastSquaresTest.points(SIZES, n -> 100 + 300 * Math.log(n));
    // when
    Extrapolation at = Extrapolation.ofSimplest(LeastSquares.fitAll(points), 1800);
    // then
    var value = assertInstanceOf(Extrapolation.Value.class, at);
    assertEquals(GrowthModel.LOGARITHMIC, value.fit().model());
    assertEquals(100 + 300 * Math.log(1800), value.value(), 1e-6);
  }

  @Test
  void slopeOnHighBaseIsNotFittedAsConstant() {
    // given: a constant misses by 9%, and the line fits exactly
    var points = LeastSquaresTest.points(SIZES, n -> 1000 + 0.2 * n);
    var value =
        assertInstanceOf(
            Extrapolation.Value.class, Extrapolation.ofSimplest(LeastSquares.fitAll(points), 1800));
    assertEquals(GrowthModel.LINEAR, value.fit().model());
    // a constant with a residual within 2% is preferred
    var flat = LeastSquaresTest.points(SIZES, n -> 1000 + 0.02 * n);
    var constant =
        assertInstanceOf(
            Extrapolation.Value.class, Extrapolation.ofSimplest(LeastSquares.fitAll(flat), 1800));
    assertEquals(GrowthModel.CONSTANT, constant.fit().model());
  }

  @Test
  void withoutAcceptableModelClosestReasonIsGiven() {
    var points =
        List.of(
            new SizedValue(60, 10),
            new SizedValue(220, 900),
            new SizedValue(440, 20),
            new SizedValue(900, 5000));
    assertRefused("misses", Extrapolation.ofSimplest(LeastSquares.fitAll(points), 1800));
    assertRefused("too few", Extrapolation.ofSimplest(List.of(), 1800));
  }
}
