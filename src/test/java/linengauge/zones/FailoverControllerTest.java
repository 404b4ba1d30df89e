package linengauge.zones;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;
import linengauge.Moment;
import linengauge.Span;
import org.junit.jupiter.api.Test;

/**
 * Four zones with three fronts each, in steps of a quarter of a second. A proposed change is
 * applied with the next step.
 */
class FailoverControllerTest {
  private static final Span STEP = Span.ofMillis(250);
  private static final double CAPACITY_KB_PER_SECOND = 1000;

  private final ZoneTable table = new ZoneTable();
  private final FailoverController controller =
      new FailoverController(FailoverSettings.ZONES, table);
  private final List<String> changes = new ArrayList<>();
  private final double[] demand = {600, 600, 600, 600};
  private Moment now = new Moment(0);
  private Map<Integer, ZoneEntry> wanted = Map.of();
  private int faultyFront = -1;
  private long index;

  private void advance(double seconds, IntToDoubleFunction failureShareByZone) {
    for (Moment end = now.plus(Span.ofMillis((long) (seconds * 1000)));
        now.isBefore(end);
        now = now.plus(STEP)) {
      if (!wanted.isEmpty()) {
        table.apply(++index, 0, ZoneTable.change(table.version(), wanted));
        wanted.forEach((zone, entry) -> changes.add(zone + " " + entry.state()));
      }
      for (int zone = 0; zone < 4; zone++) {
        controller.setCapacity(zone, CAPACITY_KB_PER_SECOND);
        for (int front = 0; front < 12; front++) {
          double failureShare = front == faultyFront ? 1 : failureShareByZone.applyAsDouble(zone);
          controller.report(
              now,
              front,
              zone,
              new ZoneObservation(
                  front == faultyFront ? 1_000_000 : 20,
                  (int) Math.round((front == faultyFront ? 1_000_000 : 20) * failureShare),
                  front / 3 == zone ? demand[zone] / 3 : 0));
        }
      }
      wanted = controller.decide(now);
    }
  }

  private static IntToDoubleFunction failedZones(int... zones) {
    return zone -> {
      for (int failed : zones) {
        if (failed == zone) {
          return 1;
        }
      }
      return 0;
    };
  }

  private double servedShare(int zone) {
    return table.entry(zone).localShare() + table.entry(zone).remoteShare();
  }

  @Test
  void nothingChangesWithoutAFault() {
    advance(60, failedZones());
    assertEquals(List.of(), changes);
    assertTrue(table.isAllNear());
  }

  @Test
  void shortFaultChangesNothing() {
    advance(10, failedZones());
    advance(0.9, failedZones(1));
    advance(10, failedZones());
    assertEquals(List.of(), changes);
  }

  @Test
  void failedZoneIsGivenUpOnceAndRecoversInSteps() {
    advance(5, failedZones());
    advance(3, failedZones(1));
    assertEquals(List.of("1 GIVEN_UP"), changes);
    assertEquals(1, table.entry(1).remoteShare(), 1e-9, "600 kB/s fit elsewhere");
    advance(60, failedZones(1));
    assertEquals(1, changes.size());
    advance(4.5, failedZones());
    assertEquals(ZoneState.COMING_BACK, table.entry(1).state());
    assertEquals(0.1, table.entry(1).localShare(), 1e-9);
    advance(20, failedZones());
    assertEquals(ZoneState.NEAR, table.entry(1).state());
    assertEquals(
        List.of(
            "1 GIVEN_UP",
            "1 COMING_BACK",
            "1 COMING_BACK",
            "1 COMING_BACK",
            "1 COMING_BACK",
            "1 NEAR"),
        changes);
  }

  @Test
  void eachRelapseDoublesTheRecoveryDelay() {
    advance(2, failedZones());
    List<Double> recoverySeconds = new ArrayList<>();
    for (int round = 0; round < 4; round++) {
      advance(3, failedZones(2));
      Moment healthyAt = now;
      while (table.entry(2).state() == ZoneState.GIVEN_UP) {
        advance(0.25, failedZones());
      }
      recoverySeconds.add(now.since(healthyAt).seconds());
    }
    for (int i = 1; i < recoverySeconds.size(); i++) {
      assertTrue(
          recoverySeconds.get(i) > 1.7 * recoverySeconds.get(i - 1), recoverySeconds.toString());
    }
  }

  @Test
  void recoveryDelayIsCappedAtTwoMinutes() {
    table.apply(
        ++index,
        0,
        ZoneTable.change(0, Map.of(2, new ZoneEntry(ZoneState.GIVEN_UP, 0, 1, 9, "", 0))));
    advance(119, failedZones());
    assertEquals(ZoneState.GIVEN_UP, table.entry(2).state());
    advance(3, failedZones());
    assertEquals(ZoneState.COMING_BACK, table.entry(2).state());
  }

  @Test
  void flappingZoneCausesFewChanges() {
    advance(2, failedZones());
    for (int i = 0; i < 15; i++) {
      advance(2, failedZones(3));
      advance(2, failedZones());
    }
    assertTrue(changes.size() <= 3, changes.toString());
    assertEquals(ZoneState.GIVEN_UP, table.entry(3).state());
  }

  @Test
  void simultaneousFailuresAreOneDecision() {
    advance(5, failedZones());
    long before = table.version();
    advance(3, failedZones(0, 2));
    assertEquals(before + 1, table.version());
    assertEquals(ZoneState.GIVEN_UP, table.entry(0).state());
    assertEquals(ZoneState.GIVEN_UP, table.entry(2).state());
    // 1200 kB/s leave, and the other two zones have 600 kB/s free below 90 % utilization.
    assertEquals(0.5, table.entry(0).remoteShare(), 0.01);
    assertEquals(ZoneState.NEAR, table.entry(1).state());
  }

  @Test
  void fullZonesReceiveNoFailoverTraffic() {
    Arrays.fill(demand, 0, 3, 900);
    advance(5, failedZones());
    advance(3, failedZones(3));
    assertEquals(ZoneState.GIVEN_UP, table.entry(3).state());
    assertEquals(
        0,
        table.entry(3).remoteShare(),
        1e-9,
        "rejected by its own zone rather than sent to a full one");
  }

  @Test
  void overloadedZoneSendsOnlyItsExcessElsewhere() {
    demand[0] = 1300;
    advance(5, failedZones());
    assertEquals(ZoneState.SHARING, table.entry(0).state());
    assertEquals(400 / 1300.0, table.entry(0).remoteShare(), 0.05);
    assertEquals(1, servedShare(0), 1e-9);
    demand[0] = 600;
    advance(5, failedZones());
    assertTrue(table.isAllNear());
  }

  @Test
  void oscillatingDemandIsFollowedAtALimitedRate() {
    for (int i = 0; i < 40; i++) {
      demand[0] = i % 2 == 0 ? 1300 : 1700;
      advance(0.5, failedZones());
    }
    assertTrue(changes.size() <= 11, changes.toString());
    assertEquals(ZoneState.SHARING, table.entry(0).state());
  }

  @Test
  void twoFrontsAreTooFewToGiveUpAZone() {
    controller.setCapacity(0, CAPACITY_KB_PER_SECOND);
    for (; now.isBefore(new Moment(10_000_000)); now = now.plus(STEP)) {
      controller.report(now, 1, 0, new ZoneObservation(100, 100, 0));
      if (now.micros() > 5_000_000) {
        controller.report(now, 2, 0, new ZoneObservation(100, 100, 0));
      }
      assertEquals(Map.of(), controller.decide(now));
    }
  }

  @Test
  void relapsesAreResetAfterALongHealthyTime() {
    advance(2, failedZones());
    advance(3, failedZones(2));
    advance(30, failedZones());
    assertEquals(1, table.entry(2).relapses());
    advance(290, failedZones());
    assertEquals(ZoneEntry.DEFAULT, table.entry(2));
  }

  /** Regions use the same controller with slower settings, so that a zone fails over first. */
  @Test
  void regionsFailOverAndRecoverLaterThanZones() {
    FailoverController regions = new FailoverController(FailoverSettings.REGIONS, table);
    double givenUpAt = -1;
    double recoveringAt = -1;
    for (int i = 0; i < 400; i++, now = now.plus(STEP)) {
      double at = now.micros() / 1e6;
      for (int front = 0; front < 6; front++) {
        regions.setCapacity(0, CAPACITY_KB_PER_SECOND);
        regions.report(now, front, 0, new ZoneObservation(20, at >= 5 && at < 15 ? 20 : 0, 50));
      }
      Map<Integer, ZoneEntry> next = regions.decide(now);
      if (!next.isEmpty()) {
        table.apply(++index, 0, ZoneTable.change(table.version(), next));
        givenUpAt = givenUpAt < 0 && table.entry(0).state() == ZoneState.GIVEN_UP ? at : givenUpAt;
        recoveringAt =
            recoveringAt < 0 && table.entry(0).state() == ZoneState.COMING_BACK ? at : recoveringAt;
      }
    }
    assertTrue(givenUpAt >= 9 && givenUpAt <= 10, "given up at " + givenUpAt);
    assertTrue(recoveringAt >= 35 && recoveringAt <= 36, "recovering at " + recoveringAt);
  }

  @Test
  void singleFaultyFrontGivesUpNoZone() {
    faultyFront = 7;
    advance(30, failedZones());
    assertEquals(List.of(), changes);
  }

  @Test
  void singleFaultyFrontGivesUpNoZoneWhenOthersReportFewAttempts() {
    controller.setCapacity(0, CAPACITY_KB_PER_SECOND);
    for (; now.isBefore(new Moment(10_000_000)); now = now.plus(STEP)) {
      for (int front = 0; front < 4; front++) {
        controller.report(
            now,
            front,
            0,
            front == 0 ? new ZoneObservation(100, 100, 0) : new ZoneObservation(2, 0, 0));
      }
      assertEquals(Map.of(), controller.decide(now));
    }
  }

  @Test
  void oneFailingBoxInEightGivesUpNoZone() {
    advance(30, zone -> zone == 1 ? 0.125 : 0);
    assertEquals(List.of(), changes);
  }

  @Test
  void changeFromAnOlderVersionIsIgnored() {
    byte[] outdated =
        ZoneTable.change(
            table.version(), Map.of(0, new ZoneEntry(ZoneState.GIVEN_UP, 0, 1, 1, "", 0)));
    advance(5, failedZones());
    advance(3, failedZones(1));
    byte[] before = table.whole();
    table.apply(++index, 0, outdated);
    assertArrayEquals(before, table.whole());
  }

  @Test
  void operatorHoldLastsUntilReleased() {
    advance(1, failedZones());
    table.apply(
        ++index, 0, ZoneTable.hold(1, ZoneState.GIVEN_UP, 0, 1, "maintenance, on-call 2026-12-02"));
    advance(30, failedZones());
    assertEquals(ZoneState.GIVEN_UP, table.entry(1).state());
    table.apply(++index, 0, ZoneTable.release(1, "somebody else's"));
    assertEquals("maintenance, on-call 2026-12-02", table.entry(1).holdReason());
    table.apply(++index, 0, ZoneTable.release(1, "maintenance, on-call 2026-12-02"));
    advance(30, failedZones());
    assertEquals(
        ZoneState.NEAR, table.entry(1).state(), "recovers by the same steps as after a fault");
    assertThrows(
        IllegalArgumentException.class, () -> ZoneTable.hold(1, ZoneState.NEAR, 1, 0, " "));
  }

  /**
   * Arbitrary decisions, valid or not, leave all replicas identical. The version never decreases,
   * and every change of state is an allowed transition.
   */
  @Test
  void arbitraryDecisionsKeepReplicasIdentical() {
    SplittableRandom random = new SplittableRandom(1);
    ZoneTable replica = new ZoneTable();
    for (int i = 1; i <= 20_000; i++) {
      byte[] decision =
          random.nextInt(4) == 0
              ? new byte[random.nextInt(40)]
              : ZoneTable.change(
                  table.version() - random.nextInt(2),
                  Map.of(
                      random.nextInt(5),
                      new ZoneEntry(
                          ZoneState.values()[random.nextInt(4)],
                          0.5,
                          0.5,
                          random.nextInt(3),
                          "",
                          0)));
      if (random.nextInt(8) == 0) {
        random.nextBytes(decision);
      }
      long version = table.version();
      Map<Integer, ZoneEntry> before = Map.copyOf(table.entries());
      table.apply(i, 1, decision);
      replica.apply(i, 1, decision);
      assertTrue(table.version() == version || table.version() == version + 1);
      table
          .entries()
          .forEach(
              (zone, entry) ->
                  assertTrue(
                      before.getOrDefault(zone, ZoneEntry.DEFAULT).state().mayBecome(entry.state())
                          || before.getOrDefault(zone, ZoneEntry.DEFAULT).state()
                              == entry.state()));
      ZoneTable restored = new ZoneTable();
      restored.restore(replica.whole());
      assertArrayEquals(table.whole(), restored.whole());
    }
    assertTrue(table.version() > 1000);
  }
}
