package linengauge.scale.fit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;

/** Guards against figures at sizes that nothing measured speaks for. */
class ExtrapolationTest {
  private static final double[] SIZES = {60, 220, 440, 900};

  private static Fit line(double[] sizes, DoubleUnaryOperator curve) {
    return LeastSquares.fit(GrowthModel.LINEAR, LeastSquaresTest.points(sizes, curve));
  }

  private static void assertRefused(String why, Extrapolation at) {
    String reason = assertInstanceOf(Extrapolation.Refused.class, at).reason();
    assertTrue(reason.contains(why), reason);
  }

  @Test
  void aLineThatHoldsGivesAValueAndSaysHowFarItGoes() {
    Extrapolation at = Extrapolation.of(line(SIZES, n -> 10 + 2 * n), 1800);
    var value = assertInstanceOf(Extrapolation.Value.class, at);
    assertEquals(3610, value.value(), 1e-6);
    assertEquals(2.0, value.timesLargestMeasured(), 1e-12);
    assertTrue(value.extrapolated());
  }

  @Test
  void whatLiesWithinTheSizesIsNoExtrapolation() {
    Extrapolation at = Extrapolation.of(line(SIZES, n -> 10 + 2 * n), 500);
    assertEquals(false, assertInstanceOf(Extrapolation.Value.class, at).extrapolated());
  }

  @Test
  void aLineThroughASquareIsRefused() {
    assertRefused("misses", Extrapolation.of(line(SIZES, n -> n * n), 1800));
  }

  @Test
  void aSizeTooFarIsRefused() {
    assertRefused("times the largest", Extrapolation.of(line(SIZES, n -> 10 + 2 * n), 2251));
    assertInstanceOf(
        Extrapolation.Value.class, Extrapolation.of(line(SIZES, n -> 10 + 2 * n), 2250));
  }

  @Test
  void aSizeBelowTheSmallestIsRefused() {
    assertRefused("below", Extrapolation.of(line(SIZES, n -> 10 + 2 * n), 59));
  }

  @Test
  void threeSizesAreTooFew() {
    Fit fit = line(new double[] {60, 220, 440}, n -> 10 + 2 * n);
    assertRefused("3 sizes", Extrapolation.of(fit, 500));
  }

  @Test
  void aValueBelowNothingIsRefused() {
    assertRefused("below nothing", Extrapolation.of(line(SIZES, n -> 1000 - n), 1800));
  }

  @Test
  void thePlainestModelThatHoldsIsTaken() {
    // given: a curve that grows by the logarithm
    var points = LeastSquaresTest.points(SIZES, n -> 100 + 300 * Math.log(n));
    // when
    Extrapolation at = Extrapolation.ofPlainest(LeastSquares.fitAll(points), 1800);
    // then
    var value = assertInstanceOf(Extrapolation.Value.class, at);
    assertEquals(GrowthModel.LOGARITHMIC, value.fit().model());
    assertEquals(100 + 300 * Math.log(1800), value.value(), 1e-6);
  }

  @Test
  void whereNoModelHoldsTheReasonOfTheClosestIsGiven() {
    var points =
        List.of(
            new SizedValue(60, 10),
            new SizedValue(220, 900),
            new SizedValue(440, 20),
            new SizedValue(900, 5000));
    assertRefused("misses", Extrapolation.ofPlainest(LeastSquares.fitAll(points), 1800));
    assertRefused("too few", Extrapolation.ofPlainest(List.of(), 1800));
  }
}
