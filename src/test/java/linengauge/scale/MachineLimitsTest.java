package linengauge.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import linengauge.scale.MachineLimits.Wanted;
import org.junit.jupiter.api.Test;

/** Guards against runs that the machine cannot bear. */
class MachineLimitsTest {
  private static final MachineLimits LIMITS = new MachineLimits(1000, 500, 100, 10);

  @Test
  void whatFitsPasses() {
    assertEquals(List.of(), LIMITS.passedBy(new Wanted(1000, 500, 100, 10)));
  }

  @Test
  void eachLimitIsNamed() {
    assertTrue(LIMITS.passedBy(new Wanted(1001, 0, 0, 0)).toString().contains("of memory"));
    assertTrue(LIMITS.passedBy(new Wanted(0, 501, 0, 0)).toString().contains("heap"));
    assertTrue(LIMITS.passedBy(new Wanted(0, 0, 101, 0)).toString().contains("descriptors"));
    assertTrue(LIMITS.passedBy(new Wanted(0, 0, 0, 11)).toString().contains("processes"));
    assertEquals(4, LIMITS.passedBy(new Wanted(1001, 501, 101, 11)).size());
  }

  @Test
  void theMachineHasSome() {
    assertEquals(List.of(), MachineLimits.here().passedBy(new Wanted(1, 1, 1, 1)));
  }
}
