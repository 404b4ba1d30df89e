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
 * Four zones, three fronts in each, in steps of a quarter second; a change wanted is decided with
 * the next step.
 */
class ZonesTest {
  private static final Span STEP = Span.ofMillis(250);
  private static final double ROOM = 1000;

  private final ZoneTable table = new ZoneTable();
  private final FailoverController weighing = new FailoverController(FailoverSettings.ZONES, table);
  private final List<String> moves = new ArrayList<>();
  private final double[] asked = {600, 600, 600, 600};
  private Moment now = new Moment(0);
  private Map<Integer, ZoneEntry> wanted = Map.of();
  private int sick = -1;
  private long index;

  private void pass(double seconds, IntToDoubleFunction failing) {
    for (Moment end = now.plus(Span.ofMillis((long) (seconds * 1000)));
        now.before(end);
        now = now.plus(STEP)) {
      if (!wanted.isEmpty()) {
        table.apply(++index, 0, ZoneTable.change(table.number(), wanted));
        wanted.forEach((z, r) -> moves.add(z + " " + r.standing()));
      }
      for (int zone = 0; zone < 4; zone++) {
        weighing.room(zone, ROOM);
        for (int front = 0; front < 12; front++) {
          double share = front == sick ? 1 : failing.applyAsDouble(zone);
          weighing.heard(
              now,
              front,
              zone,
              new ZoneObservation(
                  front == sick ? 1_000_000 : 20,
                  (int) Math.round((front == sick ? 1_000_000 : 20) * share),
                  front / 3 == zone ? asked[zone] / 3 : 0));
        }
      }
      wanted = weighing.look(now);
    }
  }

  private static IntToDoubleFunction lost(int... zones) {
    return z -> {
      for (int l : zones) {
        if (l == z) {
          return 1;
        }
      }
      return 0;
    };
  }

  private double staysAndGoes(int zone) {
    return table.row(zone).stays() + table.row(zone).goes();
  }

  @Test
  void withNoFaultNothingMoves() {
    pass(60, lost());
    assertEquals(List.of(), moves);
    assertTrue(table.isAtRest());
  }

  @Test
  void aBlipMovesNothing() {
    pass(10, lost());
    pass(0.9, lost(1));
    pass(10, lost());
    assertEquals(List.of(), moves);
  }

  @Test
  void aLostZoneIsGivenUpOnceAndComesBackInSteps() {
    pass(5, lost());
    pass(3, lost(1));
    assertEquals(List.of("1 GIVEN_UP"), moves);
    assertEquals(1, table.row(1).goes(), 1e-9, "there is room for 600 elsewhere");
    pass(60, lost(1));
    assertEquals(1, moves.size());
    pass(4.5, lost());
    assertEquals(ZoneState.COMING_BACK, table.row(1).standing());
    assertEquals(0.1, table.row(1).stays(), 1e-9);
    pass(20, lost());
    assertEquals(ZoneState.NEAR, table.row(1).standing());
    assertEquals(
        List.of(
            "1 GIVEN_UP",
            "1 COMING_BACK",
            "1 COMING_BACK",
            "1 COMING_BACK",
            "1 COMING_BACK",
            "1 NEAR"),
        moves);
  }

  @Test
  void eachRelapseHoldsTheWayBackOffLonger() {
    pass(2, lost());
    List<Double> away = new ArrayList<>();
    for (int round = 0; round < 4; round++) {
      pass(3, lost(2));
      Moment from = now;
      while (table.row(2).standing() == ZoneState.GIVEN_UP) {
        pass(0.25, lost());
      }
      away.add(now.since(from).seconds());
    }
    for (int i = 1; i < away.size(); i++) {
      assertTrue(away.get(i) > 1.7 * away.get(i - 1), away.toString());
    }
  }

  @Test
  void theLongestHoldOffIsTwoMinutes() {
    table.apply(
        ++index,
        0,
        ZoneTable.change(0, Map.of(2, new ZoneEntry(ZoneState.GIVEN_UP, 0, 1, 9, "", 0))));
    pass(119, lost());
    assertEquals(ZoneState.GIVEN_UP, table.row(2).standing());
    pass(3, lost());
    assertEquals(ZoneState.COMING_BACK, table.row(2).standing());
  }

  @Test
  void flappingEachTwoSecondsForAMinuteMovesLittle() {
    pass(2, lost());
    for (int i = 0; i < 15; i++) {
      pass(2, lost(3));
      pass(2, lost());
    }
    assertTrue(moves.size() <= 3, moves.toString());
    assertEquals(ZoneState.GIVEN_UP, table.row(3).standing());
  }

  @Test
  void twoZonesAtOnceAreOneDecision() {
    pass(5, lost());
    long before = table.number();
    pass(3, lost(0, 2));
    assertEquals(before + 1, table.number());
    assertEquals(ZoneState.GIVEN_UP, table.row(0).standing());
    assertEquals(ZoneState.GIVEN_UP, table.row(2).standing());
    // 1200 leave, and the two others have room for 600 under nine tenths.
    assertEquals(0.5, table.row(0).goes(), 0.01);
    assertEquals(ZoneState.NEAR, table.row(1).standing());
  }

  @Test
  void aZoneThatIsFullTakesNothingIn() {
    Arrays.fill(asked, 0, 3, 900);
    pass(5, lost());
    pass(3, lost(3));
    assertEquals(ZoneState.GIVEN_UP, table.row(3).standing());
    assertEquals(
        0, table.row(3).goes(), 1e-9, "refused where it asks, never pushed onto one that is full");
  }

  @Test
  void atAThirdOverItsRoomOnlyTheExcessLeaves() {
    asked[0] = 1300;
    pass(5, lost());
    assertEquals(ZoneState.SHARING, table.row(0).standing());
    assertEquals(400 / 1300.0, table.row(0).goes(), 0.05);
    assertEquals(1, staysAndGoes(0), 1e-9);
    asked[0] = 600;
    pass(5, lost());
    assertTrue(table.isAtRest());
  }

  @Test
  void demandThatRocksIsFollowedAtAPace() {
    for (int i = 0; i < 40; i++) {
      asked[0] = i % 2 == 0 ? 1300 : 1700;
      pass(0.5, lost());
    }
    assertTrue(moves.size() <= 11, moves.toString());
    assertEquals(ZoneState.SHARING, table.row(0).standing());
  }

  @Test
  void twoFrontsAloneCondemnNobody() {
    weighing.room(0, ROOM);
    for (; now.before(new Moment(10_000_000)); now = now.plus(STEP)) {
      weighing.heard(now, 1, 0, new ZoneObservation(100, 100, 0));
      if (now.micros() > 5_000_000) {
        weighing.heard(now, 2, 0, new ZoneObservation(100, 100, 0));
      }
      assertEquals(Map.of(), weighing.look(now));
    }
  }

  @Test
  void relapsesAreForgottenAfterALongRest() {
    pass(2, lost());
    pass(3, lost(2));
    pass(30, lost());
    assertEquals(1, table.row(2).relapses());
    pass(290, lost());
    assertEquals(ZoneEntry.AT_REST, table.row(2));
  }

  /** Regions by the same means, later and dearer: what gives a zone up leaves its region. */
  @Test
  void aRegionIsGivenUpLaterAndComesBackLater() {
    FailoverController regions = new FailoverController(FailoverSettings.REGIONS, table);
    double gone = -1;
    double back = -1;
    for (int i = 0; i < 400; i++, now = now.plus(STEP)) {
      double at = now.micros() / 1e6;
      for (int front = 0; front < 6; front++) {
        regions.room(0, ROOM);
        regions.heard(now, front, 0, new ZoneObservation(20, at >= 5 && at < 15 ? 20 : 0, 50));
      }
      Map<Integer, ZoneEntry> next = regions.look(now);
      if (!next.isEmpty()) {
        table.apply(++index, 0, ZoneTable.change(table.number(), next));
        gone = gone < 0 && table.row(0).standing() == ZoneState.GIVEN_UP ? at : gone;
        back = back < 0 && table.row(0).standing() == ZoneState.COMING_BACK ? at : back;
      }
    }
    assertTrue(gone >= 9 && gone <= 10, "given up at " + gone);
    assertTrue(back >= 35 && back <= 36, "back at " + back);
  }

  @Test
  void oneSickFrontCondemnsNobody() {
    sick = 7;
    pass(30, lost());
    assertEquals(List.of(), moves);
  }

  @Test
  void oneSickFrontCondemnsNobodyWhereTheOthersHaveLittleToSay() {
    weighing.room(0, ROOM);
    for (; now.before(new Moment(10_000_000)); now = now.plus(STEP)) {
      for (int front = 0; front < 4; front++) {
        weighing.heard(
            now,
            front,
            0,
            front == 0 ? new ZoneObservation(100, 100, 0) : new ZoneObservation(2, 0, 0));
      }
      assertEquals(Map.of(), weighing.look(now));
    }
  }

  @Test
  void oneBoxInEightThatFailsGivesNoZoneUp() {
    pass(30, z -> z == 1 ? 0.125 : 0);
    assertEquals(List.of(), moves);
  }

  @Test
  void aChangeFromAnOlderNumberDoesNothing() {
    byte[] late =
        ZoneTable.change(
            table.number(), Map.of(0, new ZoneEntry(ZoneState.GIVEN_UP, 0, 1, 1, "", 0)));
    pass(5, lost());
    pass(3, lost(1));
    byte[] before = table.whole();
    table.apply(++index, 0, late);
    assertArrayEquals(before, table.whole());
  }

  @Test
  void whatAnOperatorHoldsStaysUntilItIsReleased() {
    pass(1, lost());
    table.apply(
        ++index, 0, ZoneTable.hold(1, ZoneState.GIVEN_UP, 0, 1, "maintenance, on-call 2026-12-02"));
    pass(30, lost());
    assertEquals(ZoneState.GIVEN_UP, table.row(1).standing());
    table.apply(++index, 0, ZoneTable.release(1, "somebody else's"));
    assertEquals("maintenance, on-call 2026-12-02", table.row(1).order());
    table.apply(++index, 0, ZoneTable.release(1, "maintenance, on-call 2026-12-02"));
    pass(30, lost());
    assertEquals(ZoneState.NEAR, table.row(1).standing(), "by the same steps as after a fault");
    assertThrows(
        IllegalArgumentException.class, () -> ZoneTable.hold(1, ZoneState.NEAR, 1, 0, " "));
  }

  /**
   * Whatever is decided, sense or not: the same table everywhere, its number never falls, no way
   * round the way back.
   */
  @Test
  void anyDecisionsKeepTheTableOneAndWhole() {
    SplittableRandom chance = new SplittableRandom(1);
    ZoneTable other = new ZoneTable();
    for (int i = 1; i <= 20_000; i++) {
      byte[] d =
          chance.nextInt(4) == 0
              ? new byte[chance.nextInt(40)]
              : ZoneTable.change(
                  table.number() - chance.nextInt(2),
                  Map.of(
                      chance.nextInt(5),
                      new ZoneEntry(
                          ZoneState.values()[chance.nextInt(4)],
                          0.5,
                          0.5,
                          chance.nextInt(3),
                          "",
                          0)));
      if (chance.nextInt(8) == 0) {
        chance.nextBytes(d);
      }
      long number = table.number();
      Map<Integer, ZoneEntry> before = Map.copyOf(table.rows());
      table.apply(i, 1, d);
      other.apply(i, 1, d);
      assertTrue(table.number() == number || table.number() == number + 1);
      table
          .rows()
          .forEach(
              (z, r) ->
                  assertTrue(
                      before.getOrDefault(z, ZoneEntry.AT_REST).standing().mayBecome(r.standing())
                          || before.getOrDefault(z, ZoneEntry.AT_REST).standing() == r.standing()));
      ZoneTable again = new ZoneTable();
      again.restore(other.whole());
      assertArrayEquals(table.whole(), again.whole());
    }
    assertTrue(table.number() > 1000);
  }
}
