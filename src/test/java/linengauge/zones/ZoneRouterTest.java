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

/** The router of a front in zone 0, beside zones 1 and 2; zone 2 has three times the capacity. */
class ZoneRouterTest {
  private final ZoneTable table = new ZoneTable();
  private final ZoneRouter router =
      new ZoneRouter(ZoneRouter.Settings.DEFAULT, 0, table, new SplittableRandom(1));
  private Moment now = new Moment(0);
  private long index;

  ZoneRouterTest() {
    router.setCapacity(0, 1000);
    router.setCapacity(1, 1000);
    router.setCapacity(2, 3000);
  }

  /** Changes the entry of one zone; its relapses, 1 here, do not affect the router. */
  private void change(int zone, ZoneState state, double localShare, double remoteShare) {
    table.apply(
        ++index,
        0,
        ZoneTable.change(
            table.version(),
            Map.of(zone, new ZoneEntry(state, localShare, remoteShare, 1, "", 0))));
  }

  private void advance(double seconds, boolean isConfirmed) {
    for (Moment end = now.plus(Span.ofMillis((long) (seconds * 1000)));
        now.isBefore(end);
        now = now.plus(Span.ofMillis(100))) {
      if (isConfirmed) {
        router.confirmTable(now);
      }
      router.updateIndependentShare(now);
    }
  }

  /**
   * The shares of 10,000 new viewers at one moment by outcome: "stays" in the own zone, "goes" with
   * the weights of the other zones, "refused" if rejected, "alone" if placed without the table.
   */
  private Map<String, Double> routeShares() {
    Map<String, Double> shares = new TreeMap<>();
    for (int i = 0; i < 10_000; i++) {
      ZoneRouter.Route route = router.route(now);
      String outcome =
          route.unrestricted()
              ? "alone"
              : route.isRejected()
                  ? "refused"
                  : route.weights().containsKey(0) ? "stays" : "goes " + route.weights();
      shares.merge(outcome, 1e-4, Double::sum);
    }
    return shares;
  }

  @Test
  void unchangedTableKeepsAllViewersLocal() {
    advance(10, true);
    assertEquals(Map.of("stays", 1.0).keySet(), routeShares().keySet());
    assertEquals(ZoneRouter.Mode.COORDINATED, router.mode(now));
  }

  @Test
  void givenUpZoneRoutesWhatFitsElsewhereAndRejectsTheRest() {
    advance(10, true);
    change(0, ZoneState.GIVEN_UP, 0, 0.7);
    Map<String, Double> shares = routeShares();
    assertEquals(0.7, shares.get("goes {1=0.25, 2=0.75}"), 0.02);
    assertEquals(0.3, shares.get("refused"), 0.02);
  }

  @Test
  void zonesGivenUpOrRecoveringReceiveNoRemoteViewers() {
    advance(10, true);
    change(0, ZoneState.SHARING, 0.6, 0.4);
    change(2, ZoneState.GIVEN_UP, 0, 0);
    Map<String, Double> shares = routeShares();
    assertEquals(0.4, shares.get("goes {1=1.0}"), 0.02);
    assertEquals(0.6, shares.get("stays"), 0.02);
    change(2, ZoneState.COMING_BACK, 0.4, 0);
    assertEquals(0.4, routeShares().get("goes {1=1.0}"), 0.02);
  }

  @Test
  void staleTableIsAbandonedAndReadoptedGradually() {
    advance(10, true);
    change(0, ZoneState.GIVEN_UP, 0, 1);
    advance(2.5, false);
    assertEquals(ZoneRouter.Mode.COORDINATED, router.mode(now));
    advance(3, false);
    assertEquals(ZoneRouter.Mode.DETACHING, router.mode(now));
    double share = routeShares().get("alone");
    assertTrue(share > 0.2 && share < 0.8, "a share of the viewers: " + share);
    advance(5, false);
    assertEquals(ZoneRouter.Mode.INDEPENDENT, router.mode(now));
    assertEquals(1, routeShares().get("alone"), 1e-9);
    advance(2.5, true);
    assertEquals(ZoneRouter.Mode.REATTACHING, router.mode(now));
    double remaining = routeShares().get("alone");
    assertTrue(remaining > 0.2 && remaining < 0.8, "a share of the viewers: " + remaining);
    advance(5, true);
    assertEquals(ZoneRouter.Mode.COORDINATED, router.mode(now));
  }

  @Test
  void frontWithoutAConfirmedTableIsIndependent() {
    advance(1, false);
    assertEquals(ZoneRouter.Mode.INDEPENDENT, router.mode(now));
    assertTrue(router.route(now).allows(2));
  }

  @Test
  void processPauseChangesTheShareByOneStepOnly() {
    advance(10, true);
    now = now.plus(Span.ofSeconds(60));
    assertTrue(router.updateIndependentShare(now) <= 0.25, "changes by one step after the pause");
  }

  @Test
  void olderConfirmationIsIgnored() {
    advance(10, true);
    router.confirmTable(now.minus(Span.ofSeconds(100)));
    assertEquals(ZoneRouter.Mode.COORDINATED, router.mode(now));
  }

  @Test
  void zoneWithoutBoxesRoutesElsewhere() {
    router.setCapacity(0, 0);
    advance(10, true);
    ZoneRouter.Route route = router.route(now);
    assertFalse(route.isRejected());
    assertFalse(route.allows(0));
  }
}
