package linengauge.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import linengauge.Moment;
import linengauge.Span;
import org.junit.jupiter.api.Test;

/** One front of zone 0 of three, and what it may do with its newcomers. */
class LeaningTest {
  private final ZoneTable table = new ZoneTable();
  private final ZoneRouter leaning =
      new ZoneRouter(ZoneRouter.Terms.USUAL, 0, table, new SplittableRandom(1));
  private Moment now = new Moment(0);
  private long index;

  LeaningTest() {
    leaning.room(0, 1000);
    leaning.room(1, 1000);
    leaning.room(2, 3000);
  }

  private void change(int zone, ZoneState standing, double stays, double goes) {
    table.apply(
        ++index,
        0,
        ZoneTable.change(
            table.number(), Map.of(zone, new ZoneEntry(standing, stays, goes, 1, "", 0))));
  }

  private void pass(double seconds, boolean sure) {
    for (Moment end = now.plus(Span.ofMillis((long) (seconds * 1000)));
        now.before(end);
        now = now.plus(Span.ofMillis(100))) {
      if (sure) {
        leaning.sure(now);
      }
      leaning.loose(now);
    }
  }

  /**
   * Of 10,000 newcomers at one moment: the parts that stay, go to 1, go to 2, are refused, and go
   * by no table.
   */
  private Map<String, Double> parts() {
    Map<String, Double> all = new TreeMap<>();
    for (int i = 0; i < 10_000; i++) {
      ZoneRouter.Choice c = leaning.choice(now);
      String what =
          c.alone()
              ? "alone"
              : c.isRefused()
                  ? "refused"
                  : c.shares().containsKey(0) ? "stays" : "goes " + c.shares();
      all.merge(what, 1e-4, Double::sum);
    }
    return all;
  }

  @Test
  void atRestAllStayNear() {
    pass(10, true);
    assertEquals(Map.of("stays", 1.0).keySet(), parts().keySet());
    assertEquals(ZoneRouter.Mode.TOGETHER, leaning.mode(now));
  }

  @Test
  void givenUpAllGoThatFitAndTheRestIsRefused() {
    pass(10, true);
    change(0, ZoneState.GIVEN_UP, 0, 0.7);
    Map<String, Double> p = parts();
    assertEquals(0.7, p.get("goes {1=0.25, 2=0.75}"), 0.02);
    assertEquals(0.3, p.get("refused"), 0.02);
  }

  @Test
  void whatIsGivenUpOrComingBackTakesNothingIn() {
    pass(10, true);
    change(0, ZoneState.SHARING, 0.6, 0.4);
    change(2, ZoneState.GIVEN_UP, 0, 0);
    Map<String, Double> p = parts();
    assertEquals(0.4, p.get("goes {1=1.0}"), 0.02);
    assertEquals(0.6, p.get("stays"), 0.02);
    change(2, ZoneState.COMING_BACK, 0.4, 0);
    assertEquals(0.4, parts().get("goes {1=1.0}"), 0.02);
  }

  @Test
  void withNoWordItGoesOverToAloneInStepsAndBackTheSameWay() {
    pass(10, true);
    change(0, ZoneState.GIVEN_UP, 0, 1);
    pass(2.5, false);
    assertEquals(ZoneRouter.Mode.TOGETHER, leaning.mode(now));
    pass(3, false);
    assertEquals(ZoneRouter.Mode.LOOSENING, leaning.mode(now));
    double some = parts().get("alone");
    assertTrue(some > 0.2 && some < 0.8, "a share of them: " + some);
    pass(5, false);
    assertEquals(ZoneRouter.Mode.ALONE, leaning.mode(now));
    assertEquals(1, parts().get("alone"), 1e-9);
    pass(2.5, true);
    assertEquals(ZoneRouter.Mode.TIGHTENING, leaning.mode(now));
    double left = parts().get("alone");
    assertTrue(left > 0.2 && left < 0.8, "a share of them: " + left);
    pass(5, true);
    assertEquals(ZoneRouter.Mode.TOGETHER, leaning.mode(now));
  }

  @Test
  void aFrontThatHasNeverHeardIsAlone() {
    pass(1, false);
    assertEquals(ZoneRouter.Mode.ALONE, leaning.mode(now));
    assertTrue(leaning.choice(now).allows(2));
  }

  @Test
  void aStandStillIsNoReasonToTurnAtOnce() {
    pass(10, true);
    now = now.plus(Span.ofSeconds(60));
    assertTrue(leaning.loose(now) <= 0.25, "one look after it");
  }

  @Test
  void anOlderWordMakesItNoLessSure() {
    pass(10, true);
    leaning.sure(now.minus(Span.ofSeconds(100)));
    assertEquals(ZoneRouter.Mode.TOGETHER, leaning.mode(now));
  }

  @Test
  void withoutBoxesOfItsOwnItsNewcomersGoElsewhere() {
    leaning.room(0, 0);
    pass(10, true);
    ZoneRouter.Choice c = leaning.choice(now);
    assertFalse(c.isRefused());
    assertFalse(c.allows(0));
  }
}
