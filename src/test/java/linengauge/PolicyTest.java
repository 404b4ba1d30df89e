package linengauge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Plain cases, one for each part of the ordinary path and one for each failure met. */
class PolicyTest {
  private static final PackageSettings PLAIN = PolicyHarness.terms(0, 0, false);
  private static final Span PATIENCE = Span.ofSeconds(3);

  private static PolicyHarness stage(int boxes, boolean messages) {
    PolicyHarness s =
        new PolicyHarness(PolicyHarness.place(2, messages, false, Span.NONE, PLAIN), 7, boxes);
    s.pass(Span.ofSeconds(2));
    return s;
  }

  private static void report(PolicyHarness s, double load) {
    for (PolicyHarness.Box b : s.boxes) {
      b.handle.loadReported(load, Double.NaN, Double.NaN);
    }
  }

  @Test
  void highShortAverageStepsTopRungsDownByOwnPartAndIsReset() {
    PolicyHarness s = stage(1, false);
    Policy.Title t = s.policy.createTitle(0, 4);
    for (int rung : new int[] {4, 4, 2}) {
      s.plays(PLAIN, t, s.boxes.get(0), rung);
    }
    s.pass(Span.ofMillis(600));
    report(s, 1.2);
    s.pass(Span.ofMillis(600));
    assertEquals(10, rungs(s), "one sample is not enough");
    s.pass(Span.ofMillis(400));
    assertEquals(2, s.viewers.get(2).rung);
    int after = rungs(s);
    assertTrue(
        after == 9 || after == 8,
        "a third of 700 kB is a step of 130 and by chance one more: " + after);
    s.pass(Span.ofMillis(500));
    assertEquals(after, rungs(s), "the reset holds the next step back");
  }

  private static int rungs(PolicyHarness s) {
    return s.viewers.stream().mapToInt(v -> v.rung).sum();
  }

  @Test
  void manyFrontsOnTheSameNewsShedTogetherWhatIsShort() {
    int stepped = 0;
    for (int seed = 0; seed < 80; seed++) {
      PolicyHarness s =
          new PolicyHarness(PolicyHarness.place(80, false, false, Span.NONE, PLAIN), seed, 1);
      PolicyHarness.Viewer v = s.plays(PLAIN, s.policy.createTitle(0, 4), s.boxes.get(0), 2);
      report(s, 1.2);
      s.pass(Span.ofSeconds(2.5));
      stepped += v.rung < 2 ? 1 : 0;
    }
    assertTrue(
        stepped > 30 && stepped < 65,
        "a fifth and more of 100 kB is about half a step: " + stepped);
  }

  @Test
  void oldNewsOfALinkFades() {
    PolicyHarness s = stage(2, true);
    s.boxes.get(0).handle.loadReported(0.9, Double.NaN, Double.NaN);
    s.boxes.get(1).handle.usageReceived(1, 6, 600, 1);
    Policy.Title t = s.policy.createTitle(0, 4);
    assertSame(s.boxes.get(1), s.take(PLAIN, t, PATIENCE).out);
    s.viewers.get(0).ends(Environment.AttemptOutcome.NEVER_SENT);
    s.pass(Span.ofSeconds(12));
    assertSame(s.boxes.get(0), s.take(PLAIN, t, PATIENCE).out);
  }

  @Test
  void lowLongAverageStepsTheLowestRungUp() {
    PolicyHarness s = stage(1, false);
    Policy.Title t = s.policy.createTitle(0, 4);
    PolicyHarness.Viewer high = s.plays(PLAIN, t, s.boxes.get(0), 3);
    PolicyHarness.Viewer low = s.plays(PLAIN, t, s.boxes.get(0), 1);
    report(s, 0.6);
    s.pass(Span.ofMillis(900));
    assertEquals(1, low.rung, "not before the long average has come down");
    for (int i = 0; i < 20 && low.rung == 1; i++) {
      s.pass(Span.ofMillis(500));
    }
    assertTrue(low.rung > 1);
    assertEquals(3, high.rung);
  }

  @Test
  void aLongGapMovesAnAverageToTheSampleAndNotPastIt() {
    PolicyHarness s = stage(1, false);
    PolicyHarness.Viewer v = s.plays(PLAIN, s.policy.createTitle(0, 4), s.boxes.get(0), 2);
    s.boxes.get(0).handle.loadReported(0.9, Double.NaN, Double.NaN);
    s.now = s.now.plus(Span.ofSeconds(30));
    s.policy.setTime(s.now);
    s.boxes.get(0).handle.loadReported(0.9, Double.NaN, Double.NaN);
    assertEquals(2, v.rung);
  }

  @Test
  void capBoundsTheRungOfASetUp() {
    PolicyHarness s = stage(1, false);
    Policy.Title t = s.policy.createTitle(0, 4);
    assertEquals(4, s.take(PLAIN, t, PATIENCE).rung, "an empty link leaves room for the top rung");
    report(s, 0.7);
    s.pass(Span.ofMillis(10));
    assertTrue(s.take(PLAIN, t, PATIENCE).rung < 4);
  }

  @Test
  void goesToTheRoomiestHolder() {
    PolicyHarness s = stage(4, false);
    report(s, 0.8);
    s.boxes.get(2).handle.loadReported(0.2, Double.NaN, Double.NaN);
    s.boxes.get(3).handle.loadReported(0.1, Double.NaN, Double.NaN);
    assertSame(s.boxes.get(2), s.take(PLAIN, s.policy.createTitle(0, 3), PATIENCE).out);
  }

  @Test
  void afterSilenceAnotherBoxIsTriedAndTheSilentOneAvoided() {
    PolicyHarness s = stage(2, false);
    Policy.Title t = s.policy.createTitle(0, 4);
    PolicyHarness.Viewer v = s.take(PLAIN, t, PATIENCE);
    PolicyHarness.Box silent = v.out;
    assertTrue(
        v.timeout.isShorterThan(PLAIN.latencyObjective()),
        "room for another within the join target");
    s.pass(v.timeout);
    assertNotEquals(silent, v.out);
    v.plays();
    assertNotEquals(silent, s.take(PLAIN, t, PATIENCE).out);
  }

  @Test
  void afterAnErrorOthersArePreferred() {
    PolicyHarness s = stage(2, false);
    Policy.Title t = s.policy.createTitle(0, 4);
    PolicyHarness.Viewer v = s.take(PLAIN, t, PATIENCE);
    PolicyHarness.Box failing = v.out;
    v.ends(Environment.AttemptOutcome.ERROR);
    v.plays();
    assertNotEquals(failing, s.take(PLAIN, t, PATIENCE).out);
  }

  @Test
  void whenEveryBoxIsUnderSuspicionOneIsUsedAllTheSame() {
    PolicyHarness s = stage(2, false);
    s.boxes.forEach(b -> b.handle.probeEnded(false));
    s.pass(Span.ofSeconds(3));
    s.boxes.forEach(b -> b.handle.probeEnded(false));
    assertNotNull(s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE).out);
  }

  @Test
  void fullToTheFloorBlocksAtOnceAndSaysWhenToComeBack() {
    PolicyHarness s = stage(1, false);
    report(s, 2.5);
    assertEquals("blocked", s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE).answer);
  }

  @Test
  void paidAtSetUpIsAbortedOnceItMayHaveRun() {
    PackageSettings paid = PolicyHarness.terms(0, 0, true);
    PolicyHarness s =
        new PolicyHarness(PolicyHarness.place(2, false, false, Span.NONE, paid), 7, 2);
    PolicyHarness.Viewer v = s.take(paid, s.policy.createTitle(0, 4), PATIENCE);
    v.ends(Environment.AttemptOutcome.TURNED_AWAY);
    assertNotNull(v.out, "what provably never ran is sent again");
    v.ends(Environment.AttemptOutcome.ERROR);
    assertEquals("aborted", v.answer);
  }

  @Test
  void oneShortBoxDoesNotBlameTheUplink() {
    PolicyHarness s = stage(3, true);
    Policy.Title t = s.policy.createTitle(0, 4);
    PolicyHarness.Viewer hit = s.plays(PLAIN, t, s.boxes.get(0), 3);
    PolicyHarness.Viewer other = s.plays(PLAIN, t, s.boxes.get(1), 3);
    for (int i = 0; i < 4; i++) {
      hit.handle.shareDelivered(0.8);
      s.pass(Span.ofSeconds(1));
    }
    assertTrue(hit.rung < 3);
    assertTrue(other.rung >= 3);
  }

  @Test
  void whatOtherFrontsPlayFillsTheRoom() {
    PolicyHarness s = stage(2, true);
    s.boxes.get(0).handle.usageReceived(1, 9, 800, 1);
    PolicyHarness.Viewer v = s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE);
    assertSame(s.boxes.get(1), v.out);
    s.boxes.get(0).handle.usageReceived(2, 1, 60, 1);
    assertEquals(List.of(0.0, 800.0), s.answered);
  }

  @Test
  void aSilentFrontsLastWordIsForgotten() {
    PolicyHarness s = stage(1, true);
    s.boxes.get(0).handle.usageReceived(1, 9, 1200, 1);
    Policy.Title t = s.policy.createTitle(0, 4);
    assertEquals(0, s.take(PLAIN, t, PATIENCE).rung);
    s.viewers.get(0).ends(Environment.AttemptOutcome.NEVER_SENT);
    s.pass(Span.ofSeconds(20));
    assertEquals(4, s.take(PLAIN, t, PATIENCE).rung);
  }

  @Test
  void anUplinkKeepsRoomForEachOfItsBoxes() {
    PolicyHarness s = stage(4, true);
    for (int i = 0; i < 3; i++) {
      s.boxes.get(i).handle.usageReceived(1, 10, 1150, 1);
    }
    s.boxes.get(3).handle.usageReceived(1, 3, 60, 1);
    PolicyHarness.Viewer v = s.take(PLAIN, s.policy.createTitle(3, 1), PATIENCE);
    assertTrue(v.rung > 0 && v.rung < 4, "rung " + v.rung);
  }

  @Test
  void noMoreTuneInsThanAllowed() {
    PolicyHarness s = stage(4, false);
    PolicyHarness.Viewer v = s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE);
    while (v.out != null) {
      v.ends(Environment.AttemptOutcome.TURNED_AWAY);
    }
    assertEquals(4, v.tuneIns);
    assertEquals("blocked", v.answer);
  }

  @Test
  void drainingBoxesGetNothingAndHeldViewingsAreAnswered() {
    PolicyHarness s = stage(1, false);
    s.boxes.get(0).draining();
    PolicyHarness.Viewer v = s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE);
    assertNull(v.out);
    s.pass(PATIENCE);
    assertEquals("blocked", v.answer);
  }

  @Test
  void aViewerWhoLeavesIsNotAnswered() {
    PolicyHarness s = stage(1, false);
    PolicyHarness.Viewer v = s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE);
    v.handle.viewerLeft();
    v.answer = "left";
    v.ends(Environment.AttemptOutcome.WITHDRAWN);
    assertEquals(1, v.tuneIns);
    assertFalse(v.playing);
  }

  private static PolicyHarness probing() {
    PolicyHarness s =
        new PolicyHarness(PolicyHarness.place(80, false, true, Span.NONE, PLAIN), 7, 3);
    s.pass(Span.ofSeconds(2));
    return s;
  }

  @Test
  void aNewcomerGoesToTheRoomierOfTheBoxesAsked() {
    PolicyHarness s = probing();
    PolicyHarness.Viewer v = s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE);
    assertNull(v.out, "it waits for the answers");
    List<PolicyHarness.Box> asked = s.boxes.stream().filter(b -> b.probes > 0).toList();
    assertEquals(2, asked.size());
    asked.get(0).handle.loadReported(0.9, 0.5, Double.NaN);
    asked.get(0).handle.probeEnded(true);
    asked.get(1).handle.loadReported(0.8, 0.5, Double.NaN);
    asked.get(1).handle.probeEnded(true);
    assertSame(asked.get(1), v.out, "heard of, it comes before the third that is only guessed at");
  }

  @Test
  void withNoAnswerANewcomerIsSentAllTheSame() {
    PolicyHarness s = probing();
    PolicyHarness.Viewer v = s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE);
    assertNull(v.out);
    s.pass(Span.ofMillis(100));
    assertNotNull(v.out);
  }

  @Test
  void aStepUpAsksFirst() {
    PolicyHarness s = probing();
    PolicyHarness.Viewer v = s.plays(PLAIN, s.policy.createTitle(0, 4), s.boxes.get(0), 1);
    s.take(
        PLAIN,
        s.policy.createTitle(0, 4),
        PATIENCE); // a viewing more: the price of probes is earned
    s.pass(Span.ofSeconds(6));
    assertEquals(1, v.rung, "nothing heard, nothing stepped");
    assertTrue(s.boxes.get(0).probes > 0);
    for (int i = 0; i < 12; i++) {
      s.boxes.get(0).handle.loadReported(0.1, 0.1, Double.NaN);
      s.pass(Span.ofMillis(500));
    }
    assertTrue(v.rung > 1);
  }

  @Test
  void shortNotesThatStillShowWhatWasShedShedNoMore() {
    PolicyHarness s = stage(1, false);
    PolicyHarness.Viewer v = s.plays(PLAIN, s.policy.createTitle(0, 4), s.boxes.get(0), 4);
    PolicyHarness.Viewer w = s.plays(PLAIN, s.policy.createTitle(0, 4), s.boxes.get(0), 4);
    s.pass(Span.ofSeconds(4));
    while (v.rung + w.rung == 8) {
      v.handle.shareDelivered(0.75);
      s.pass(Span.ofMillis(500));
    }
    int after = v.rung + w.rung;
    for (int i = 0; i < 3; i++) {
      v.handle.shareDelivered(0.75);
      s.pass(Span.ofMillis(500));
    }
    assertEquals(after, v.rung + w.rung);
  }

  @Test
  void theKeeperSizesAShortUplinkAndTellsIt() {
    PolicyHarness s = stage(1, true);
    s.boxes.get(0).handle.usageReceived(1, 9, 3000, 1);
    s.pass(Span.ofSeconds(4));
    s.boxes.get(0).handle.usageReceived(1, 9, 3000, 0.8);
    assertEquals(4000, s.sizes.get(0), 1);
    assertEquals(2400, s.sizes.get(1), 60);
  }

  @Test
  void aKeeperThatHasJustStartedAnswersNobody() {
    PolicyHarness s =
        new PolicyHarness(PolicyHarness.place(2, true, false, Span.NONE, PLAIN), 7, 1);
    s.boxes.get(0).handle.usageReceived(1, 9, 800, 1);
    assertTrue(s.answered.isEmpty());
    assertNull(
        s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE).answer, "a partial sum blocks nobody");
  }

  @Test
  void aNewcomerThatWouldMakeItsBoxShortIsBlocked() {
    PolicyHarness s = stage(1, false);
    report(s, 0.99);
    assertEquals("blocked", s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE).answer);
    s.boxes.get(0).handle.loadReported(0.9, Double.NaN, Double.NaN);
    assertNotNull(s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE).out);
  }

  @Test
  void furtherTuneInsAreRationedAcrossViewings() {
    PolicyHarness s =
        new PolicyHarness(PolicyHarness.place(2, false, false, Span.ofSeconds(5), PLAIN), 7, 4);
    for (int i = 0; i < 10; i++) {
      PolicyHarness.Viewer v = s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE);
      while (v.out != null) {
        v.ends(Environment.AttemptOutcome.TURNED_AWAY);
      }
    }
    assertEquals(10 + 3 + 2, s.viewers.stream().mapToInt(v -> v.tuneIns).sum());
  }

  /**
   * A set-up may leave half a second after its choice: the window of what has left must hold, not
   * that of the choices.
   */
  @Test
  void furtherTuneInsStayWithinTheirBudgetHoweverLateTheyLeave() {
    PolicyHarness s =
        new PolicyHarness(PolicyHarness.place(2, false, false, Span.ofSeconds(5), PLAIN), 7, 4);
    for (int i = 0; i < 4; i++) {
      refused(s);
    }
    int before = s.viewers.stream().mapToInt(v -> v.tuneIns).sum();
    assertEquals(4 + 3, before, "the three that are free");
    s.pass(Span.ofMillis(5100));
    assertEquals(1, refused(s), "those three may have left a tenth of a second ago");
    s.pass(Span.ofMillis(500));
    assertTrue(refused(s) > 1);
  }

  private static int refused(PolicyHarness s) {
    PolicyHarness.Viewer v = s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE);
    while (v.out != null) {
      v.ends(Environment.AttemptOutcome.TURNED_AWAY);
    }
    return v.tuneIns;
  }

  @Test
  void aFrontThatHasJustStartedSendsNothingToAColdBox() {
    PolicyHarness s =
        new PolicyHarness(PolicyHarness.place(1, false, false, Span.NONE, PLAIN), 7, 1);
    s.boxes.get(0).serving(s.now);
    assertNull(s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE).out);
    s.pass(Span.ofSeconds(3));
    assertNotNull(s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE).out);
  }

  @Test
  void ratesInForceBeforeTheFirstReportAreNoNews() {
    PolicyHarness s = stage(1, false);
    PolicyHarness.Viewer v = s.plays(PLAIN, s.policy.createTitle(0, 4), s.boxes.get(0), 4);
    report(s, 0.9);
    s.pass(Span.ofSeconds(2));
    assertEquals(4, v.rung, "its 300 kB are in the 900 reported");
  }

  @Test
  void whenAllWordsAreLostTheGuessAloneShedsNothing() {
    PolicyHarness s = stage(8, true);
    PolicyHarness.Viewer v = s.plays(PLAIN, s.policy.createTitle(0, 4), s.boxes.get(0), 2);
    s.boxes.get(0).handle.usageReceived(1, 9, 300, 1);
    s.pass(Span.ofSeconds(20));
    for (int i = 0; i < 40; i++) {
      s.boxes
          .get(1)
          .handle
          .loadReported(4, Double.NaN, Double.NaN); // a usual load far over all links
      s.boxes.get(0).handle.loadReported(0.5, Double.NaN, Double.NaN);
      s.pass(Span.ofMillis(500));
    }
    assertTrue(v.rung >= 2);
  }

  /**
   * Taken for a restart, a lost answer or the front's own stand-still held a box to a cold one's
   * pace for long.
   */
  @Test
  void aBoxThatWasHeardMeanwhileIsHeldToNoColdPace() {
    for (Environment.AttemptOutcome how :
        List.of(
            Environment.AttemptOutcome.NO_ANSWER,
            Environment.AttemptOutcome.UNHEARD,
            Environment.AttemptOutcome.HELD_UP)) {
      PolicyHarness s = stage(1, false);
      PolicyHarness.Viewer v = s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE);
      v.ends(how);
      assertTrue(v.out == null, how + ": the first may still be out there");
      v.endConfirmed(0);
      assertEquals(
          how == Environment.AttemptOutcome.NO_ANSWER,
          v.out == null,
          how + ": it may have started anew");
    }
    PolicyHarness s =
        new PolicyHarness(PolicyHarness.place(2, false, true, Span.NONE, PLAIN), 7, 1);
    s.pass(Span.ofSeconds(3));
    s.boxes.get(0).handle.probeEnded(Environment.AttemptOutcome.HELD_UP);
    s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE);
    s.pass(Span.ofMillis(100));
    s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE);
    s.pass(Span.ofMillis(100));
    assertTrue(
        s.viewers.stream().allMatch(v -> v.out != null),
        "two within the window, as at any warm box");
  }

  @Test
  void onOldNewsANewcomerTakesTheRungNearestItsPartOfTheUplink() {
    for (double price : new double[] {0.008, 0.08}) {
      Deployment h = PolicyHarness.place(200, false, true, Span.NONE, PLAIN);
      Deployment.Permissions p = h.permissions();
      PolicyHarness s =
          new PolicyHarness(
              new Deployment(
                  h.frontCount(),
                  h.frontNumber(),
                  h.building(),
                  h.packages(),
                  h.ladderKbPerSecond(),
                  h.rungValues(),
                  h.fleet(),
                  h.rules(),
                  new Deployment.Permissions(
                      p.maxTuneIns(), false, true, true, price, 0.01, 0, p.maxRetryAfter())),
              7,
              1);
      s.pass(Span.ofSeconds(3));
      s.boxes.get(0).handle.loadReported(0.3, 0.95, 10);
      PolicyHarness.Viewer v = s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE);
      s.pass(Span.ofMillis(100));
      assertEquals(
          price > 0.01 ? 2 : 0,
          v.rung,
          "4000 kB over the 40 viewings of 95 kB that seem to be there");
    }
  }

  /**
   * Rungs that step down look like room; newcomers of all fronts took it, and viewers left within a
   * second.
   */
  @Test
  void onOldNewsNewcomersBeginLowWhereTheirBoxOrAnyTwoAreShort() {
    record Case(int plays, int isShort, boolean low) {}
    for (Case c :
        List.of(
            new Case(2, 0, false),
            new Case(1, 1, false),
            new Case(4, 1, false),
            new Case(2, 2, true),
            new Case(4, 2, true))) {
      Deployment h = PolicyHarness.place(200, false, true, Span.NONE, PLAIN);
      PolicyHarness s =
          new PolicyHarness(
              new Deployment(
                  h.frontCount(),
                  h.frontNumber(),
                  h.building(),
                  h.packages(),
                  h.ladderKbPerSecond(),
                  h.rungValues(),
                  h.fleet(),
                  h.rules(),
                  new Deployment.Permissions(
                      4, false, true, true, 0.08, 0.01, 0, Span.ofSeconds(2))),
              7,
              5);
      s.pass(Span.ofSeconds(3));
      for (int box = 1; box <= c.plays(); box++) {
        PolicyHarness.Viewer there =
            s.plays(PLAIN, s.policy.createTitle(box, 1), s.boxes.get(box), 1);
        s.boxes
            .get(box)
            .handle
            .loadReported(0.9, 0.1, 1); // it is the link there, not the uplink of all
        there.handle.shareDelivered(box <= c.isShort() ? 0.9 : 1);
      }
      s.boxes.get(0).handle.loadReported(0.1, 0.1, 1);
      PolicyHarness.Viewer v = s.take(PLAIN, s.policy.createTitle(0, 1), PATIENCE);
      s.pass(Span.ofMillis(100));
      assertEquals(c.low(), v.rung == 0, "rung " + v.rung + " in " + c);
      PolicyHarness.Viewer beside = s.take(PLAIN, s.policy.createTitle(1, 1), PATIENCE);
      s.pass(Span.ofMillis(100));
      assertEquals(
          c.isShort() > 0,
          beside.rung == 0,
          "rung " + beside.rung + " at the box that is short in " + c);
    }
  }

  @Test
  void whereConnectionsArePricedNewcomersKeepToBoxesThatTheFrontPlaysOn() {
    Deployment h = PolicyHarness.place(200, false, false, Span.NONE, PLAIN);
    for (double price : new double[] {0, 0.08}) {
      PolicyHarness s =
          new PolicyHarness(
              new Deployment(
                  h.frontCount(),
                  h.frontNumber(),
                  h.building(),
                  h.packages(),
                  h.ladderKbPerSecond(),
                  h.rungValues(),
                  h.fleet(),
                  h.rules(),
                  new Deployment.Permissions(
                      4, false, false, false, 0, 0, price, Span.ofSeconds(2))),
              7,
              4);
      s.pass(Span.ofSeconds(3));
      Policy.Title t = s.policy.createTitle(0, 4);
      s.plays(PLAIN, t, s.boxes.get(3), 2);
      int there = 0;
      for (int i = 0; i < 4; i++) {
        there += s.take(PLAIN, t, PATIENCE).out == s.boxes.get(3) ? 1 : 0;
      }
      assertTrue(price > 0 ? there == 4 : there < 4, there + " of 4 at a price of " + price);
    }
  }

  /**
   * Guards against two attempts of one request out at a server that has not read the first's end.
   */
  @Test
  void aServerThatMayStillHaveAnAttemptGetsNoFurtherOneUntilItIsConfirmed() {
    for (Environment.AttemptOutcome how : Environment.AttemptOutcome.values()) {
      if (how.confirmed) {
        continue;
      }
      PolicyHarness s = stage(1, false);
      PolicyHarness.Viewer v = s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE);
      v.ends(how);
      s.pass(Span.ofMillis(200));
      assertTrue(v.out == null && v.answer == null, how + ": it waits for the confirmation");
      s.pass(PATIENCE);
      assertEquals("blocked", v.answer, how + ": and not for ever");
    }
  }

  /** Guards against an attempt that is forgotten as its server leaves the list and comes back. */
  @Test
  void aServerThatLeavesTheListAndComesBackIsStillTheOneThatMayHaveAnAttempt() {
    PolicyHarness s = stage(1, false);
    PolicyHarness.Viewer v = s.take(PLAIN, s.policy.createTitle(0, 4), PATIENCE);
    v.ends(Environment.AttemptOutcome.UNHEARD);
    s.boxes.get(0).gone();
    s.boxes.get(0).serving(Moment.DISTANT_PAST);
    s.pass(Span.ofMillis(150));
    assertTrue(v.out == null, "the same server, by its id");
  }
}
