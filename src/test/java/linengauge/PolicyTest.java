package linengauge;

import static linengauge.PolicyHarness.packageSettings;
import static linengauge.PolicyHarness.smallDeployment;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import linengauge.Deployment.Permissions;
import linengauge.Environment.AttemptOutcome;
import linengauge.PolicyHarness.Box;
import linengauge.PolicyHarness.Viewer;
import org.junit.jupiter.api.Test;

/** A case for each part of the basic algorithm and for each failure that it guards against. */
class PolicyTest {
  private static final PackageSettings PLAIN = packageSettings(0, 0, false);
  private static final Span TIME_LIMIT = Span.ofSeconds(3);

  private static PolicyHarness front(int boxCount, boolean mayMessageFronts) {
    var front =
        new PolicyHarness(
            smallDeployment(2, mayMessageFronts, false, Span.NONE, PLAIN), 7, boxCount);
    front.advance(Span.ofSeconds(2));
    return front;
  }

  private static void reportLinkLoad(PolicyHarness front, double load) {
    for (Box box : front.boxes) {
      box.handle.loadReported(load, Double.NaN, Double.NaN);
    }
  }

  @Test
  void highShortAverageStepsTopRungsDownByOwnShareAndIsReset() {
    PolicyHarness front = front(1, false);
    Policy.Title title = front.policy.createTitle(0, 4);
    for (int rung : new int[] {4, 4, 2}) {
      front.addPlaying(PLAIN, title, front.boxes.get(0), rung);
    }
    front.advance(Span.ofMillis(600));
    reportLinkLoad(front, 1.2);
    front.advance(Span.ofMillis(600));
    assertEquals(10, sumOfRungs(front), "one sample is not enough");
    front.advance(Span.ofMillis(400));
    assertEquals(2, front.viewers.get(2).rung);
    int after = sumOfRungs(front);
    assertTrue(after == 9 || after == 8, "a third of 700 kB is a step of 130 kB or two: " + after);
    front.advance(Span.ofMillis(500));
    assertEquals(after, sumOfRungs(front), "the reset delays the next step");
  }

  private static int sumOfRungs(PolicyHarness front) {
    return front.viewers.stream().mapToInt(viewer -> viewer.rung).sum();
  }

  @Test
  void manyFrontsWithTheSameReportShedTheShortageTogether() {
    int steppedDown = 0;
    for (int seed = 0; seed < 80; seed++) {
      var front = new PolicyHarness(smallDeployment(80, false, false, Span.NONE, PLAIN), seed, 1);
      Viewer viewer =
          front.addPlaying(PLAIN, front.policy.createTitle(0, 4), front.boxes.get(0), 2);
      reportLinkLoad(front, 1.2);
      front.advance(Span.ofSeconds(2.5));
      steppedDown += viewer.rung < 2 ? 1 : 0;
    }
    assertTrue(
        steppedDown > 30 && steppedDown < 65,
        "over a fifth of 100 kB, half a step: " + steppedDown);
  }

  @Test
  void oldLoadReportOfALinkFades() {
    PolicyHarness front = front(2, true);
    front.boxes.get(0).handle.loadReported(0.9, Double.NaN, Double.NaN);
    front.boxes.get(1).handle.usageReceived(1, 6, 600, 1);
    Policy.Title title = front.policy.createTitle(0, 4);
    assertSame(front.boxes.get(1), front.request(PLAIN, title, TIME_LIMIT).box);
    front.viewers.get(0).endAttempt(AttemptOutcome.NEVER_SENT);
    front.advance(Span.ofSeconds(12));
    assertSame(front.boxes.get(0), front.request(PLAIN, title, TIME_LIMIT).box);
  }

  @Test
  void lowLongAverageStepsTheLowestRungUp() {
    PolicyHarness front = front(1, false);
    Policy.Title title = front.policy.createTitle(0, 4);
    Viewer high = front.addPlaying(PLAIN, title, front.boxes.get(0), 3);
    Viewer low = front.addPlaying(PLAIN, title, front.boxes.get(0), 1);
    reportLinkLoad(front, 0.6);
    front.advance(Span.ofMillis(900));
    assertEquals(1, low.rung, "not before the long average has come down");
    for (int i = 0; i < 20 && low.rung == 1; i++) {
      front.advance(Span.ofMillis(500));
    }
    assertTrue(low.rung > 1);
    assertEquals(3, high.rung);
  }

  @Test
  void aLongGapMovesAnAverageToTheSampleAndNotPastIt() {
    PolicyHarness front = front(1, false);
    Viewer viewer = front.addPlaying(PLAIN, front.policy.createTitle(0, 4), front.boxes.get(0), 2);
    front.boxes.get(0).handle.loadReported(0.9, Double.NaN, Double.NaN);
    front.now = front.now.plus(Span.ofSeconds(30));
    front.policy.setTime(front.now);
    front.boxes.get(0).handle.loadReported(0.9, Double.NaN, Double.NaN);
    assertEquals(2, viewer.rung);
  }

  @Test
  void capBoundsTheRungOfASetUp() {
    PolicyHarness front = front(1, false);
    Policy.Title title = front.policy.createTitle(0, 4);
    assertEquals(4, front.request(PLAIN, title, TIME_LIMIT).rung, "room for the top rung");
    reportLinkLoad(front, 0.7);
    front.advance(Span.ofMillis(10));
    assertTrue(front.request(PLAIN, title, TIME_LIMIT).rung < 4);
  }

  @Test
  void tuneInGoesToTheRoomiestBoxThatHoldsTheTitle() {
    PolicyHarness front = front(4, false);
    reportLinkLoad(front, 0.8);
    front.boxes.get(2).handle.loadReported(0.2, Double.NaN, Double.NaN);
    front.boxes.get(3).handle.loadReported(0.1, Double.NaN, Double.NaN);
    assertSame(
        front.boxes.get(2), front.request(PLAIN, front.policy.createTitle(0, 3), TIME_LIMIT).box);
  }

  @Test
  void afterATimeoutAnotherBoxIsTriedAndTheSilentOneAvoided() {
    PolicyHarness front = front(2, false);
    Policy.Title title = front.policy.createTitle(0, 4);
    Viewer viewer = front.request(PLAIN, title, TIME_LIMIT);
    Box silent = viewer.box;
    assertTrue(
        viewer.timeout.isShorterThan(PLAIN.latencyObjective()), "leaves time for a second attempt");
    front.advance(viewer.timeout);
    assertNotEquals(silent, viewer.box);
    viewer.startPlaying();
    assertNotEquals(silent, front.request(PLAIN, title, TIME_LIMIT).box);
  }

  @Test
  void afterAnErrorOthersArePreferred() {
    PolicyHarness front = front(2, false);
    Policy.Title title = front.policy.createTitle(0, 4);
    Viewer viewer = front.request(PLAIN, title, TIME_LIMIT);
    Box failing = viewer.box;
    viewer.endAttempt(AttemptOutcome.ERROR);
    viewer.startPlaying();
    assertNotEquals(failing, front.request(PLAIN, title, TIME_LIMIT).box);
  }

  @Test
  void whenEveryBoxIsAvoidedOneIsUsedNonetheless() {
    PolicyHarness front = front(2, false);
    front.boxes.forEach(box -> box.handle.probeEnded(false));
    front.advance(Span.ofSeconds(3));
    front.boxes.forEach(box -> box.handle.probeEnded(false));
    assertNotNull(front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT).box);
  }

  @Test
  void boxesFullAtTheLowestRungCauseRejectionAtOnce() {
    PolicyHarness front = front(1, false);
    reportLinkLoad(front, 2.5);
    assertEquals(
        "blocked", front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT).answer);
  }

  @Test
  void viewingPaidAtSetUpFailsOnceAnAttemptMayHaveRun() {
    PackageSettings paid = packageSettings(0, 0, true);
    var front = new PolicyHarness(smallDeployment(2, false, false, Span.NONE, paid), 7, 2);
    Viewer viewer = front.request(paid, front.policy.createTitle(0, 4), TIME_LIMIT);
    viewer.endAttempt(AttemptOutcome.TURNED_AWAY);
    assertNotNull(viewer.box, "an attempt that certainly never ran is retried");
    viewer.endAttempt(AttemptOutcome.ERROR);
    assertEquals("aborted", viewer.answer);
  }

  @Test
  void oneShortBoxDoesNotMakeTheUplinkShort() {
    PolicyHarness front = front(3, true);
    Policy.Title title = front.policy.createTitle(0, 4);
    Viewer affected = front.addPlaying(PLAIN, title, front.boxes.get(0), 3);
    Viewer other = front.addPlaying(PLAIN, title, front.boxes.get(1), 3);
    for (int i = 0; i < 4; i++) {
      affected.handle.shareDelivered(0.8);
      front.advance(Span.ofSeconds(1));
    }
    assertTrue(affected.rung < 3);
    assertTrue(other.rung >= 3);
  }

  @Test
  void usageOfOtherFrontsReducesTheRoom() {
    PolicyHarness front = front(2, true);
    front.boxes.get(0).handle.usageReceived(1, 9, 800, 1);
    Viewer viewer = front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT);
    assertSame(front.boxes.get(1), viewer.box);
    front.boxes.get(0).handle.usageReceived(2, 1, 60, 1);
    assertEquals(List.of(0.0, 800.0), front.reportedRates);
  }

  @Test
  void lastUsageReportOfASilentFrontExpires() {
    PolicyHarness front = front(1, true);
    front.boxes.get(0).handle.usageReceived(1, 9, 1200, 1);
    Policy.Title title = front.policy.createTitle(0, 4);
    assertEquals(0, front.request(PLAIN, title, TIME_LIMIT).rung);
    front.viewers.get(0).endAttempt(AttemptOutcome.NEVER_SENT);
    front.advance(Span.ofSeconds(20));
    assertEquals(4, front.request(PLAIN, title, TIME_LIMIT).rung);
  }

  @Test
  void anUplinkKeepsRoomForEachOfItsBoxes() {
    PolicyHarness front = front(4, true);
    for (int i = 0; i < 3; i++) {
      front.boxes.get(i).handle.usageReceived(1, 10, 1150, 1);
    }
    front.boxes.get(3).handle.usageReceived(1, 3, 60, 1);
    Viewer viewer = front.request(PLAIN, front.policy.createTitle(3, 1), TIME_LIMIT);
    assertTrue(viewer.rung > 0 && viewer.rung < 4, "rung " + viewer.rung);
  }

  @Test
  void noMoreTuneInsThanAllowed() {
    PolicyHarness front = front(4, false);
    Viewer viewer = front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT);
    while (viewer.box != null) {
      viewer.endAttempt(AttemptOutcome.TURNED_AWAY);
    }
    assertEquals(4, viewer.tuneInCount);
    assertEquals("blocked", viewer.answer);
  }

  @Test
  void drainingBoxesGetNoTuneInsAndWaitingRequestsAreAnswered() {
    PolicyHarness front = front(1, false);
    front.boxes.get(0).markDraining();
    Viewer viewer = front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT);
    assertNull(viewer.box);
    front.advance(TIME_LIMIT);
    assertEquals("blocked", viewer.answer);
  }

  @Test
  void aViewerWhoLeavesIsNotAnswered() {
    PolicyHarness front = front(1, false);
    Viewer viewer = front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT);
    viewer.handle.viewerLeft();
    viewer.answer = "left";
    viewer.endAttempt(AttemptOutcome.WITHDRAWN);
    assertEquals(1, viewer.tuneInCount);
    assertFalse(viewer.playing);
  }

  private static PolicyHarness probingFront() {
    var front = new PolicyHarness(smallDeployment(80, false, true, Span.NONE, PLAIN), 7, 3);
    front.advance(Span.ofSeconds(2));
    return front;
  }

  @Test
  void aNewViewingGoesToTheRoomierOfTheProbedBoxes() {
    PolicyHarness front = probingFront();
    Viewer viewer = front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT);
    assertNull(viewer.box, "it waits for the probe answers");
    List<Box> probed = front.boxes.stream().filter(box -> box.probeCount > 0).toList();
    assertEquals(2, probed.size());
    probed.get(0).handle.loadReported(0.9, 0.5, Double.NaN);
    probed.get(0).handle.probeEnded(true);
    probed.get(1).handle.loadReported(0.8, 0.5, Double.NaN);
    probed.get(1).handle.probeEnded(true);
    assertSame(probed.get(1), viewer.box, "a report is preferred to an estimate");
  }

  @Test
  void aNewViewingIsPlacedWithoutProbeAnswers() {
    PolicyHarness front = probingFront();
    Viewer viewer = front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT);
    assertNull(viewer.box);
    front.advance(Span.ofMillis(100));
    assertNotNull(viewer.box);
  }

  @Test
  void aStepUpProbesFirst() {
    PolicyHarness front = probingFront();
    Viewer viewer = front.addPlaying(PLAIN, front.policy.createTitle(0, 4), front.boxes.get(0), 1);
    // One more viewing adds to the budget of probes.
    front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT);
    front.advance(Span.ofSeconds(6));
    assertEquals(1, viewer.rung, "no step up without a report");
    assertTrue(front.boxes.get(0).probeCount > 0);
    for (int i = 0; i < 12; i++) {
      front.boxes.get(0).handle.loadReported(0.1, 0.1, Double.NaN);
      front.advance(Span.ofMillis(500));
    }
    assertTrue(viewer.rung > 1);
  }

  @Test
  void shortageReportsFromBeforeAStepDownCauseNoFurtherOne() {
    PolicyHarness front = front(1, false);
    Viewer viewer = front.addPlaying(PLAIN, front.policy.createTitle(0, 4), front.boxes.get(0), 4);
    Viewer other = front.addPlaying(PLAIN, front.policy.createTitle(0, 4), front.boxes.get(0), 4);
    front.advance(Span.ofSeconds(4));
    while (viewer.rung + other.rung == 8) {
      viewer.handle.shareDelivered(0.75);
      front.advance(Span.ofMillis(500));
    }
    int after = viewer.rung + other.rung;
    for (int i = 0; i < 3; i++) {
      viewer.handle.shareDelivered(0.75);
      front.advance(Span.ofMillis(500));
    }
    assertEquals(after, viewer.rung + other.rung);
  }

  @Test
  void theRackOwnerLowersTheCapacityOfAShortUplinkAndReportsIt() {
    PolicyHarness front = front(1, true);
    front.boxes.get(0).handle.usageReceived(1, 9, 3000, 1);
    front.advance(Span.ofSeconds(4));
    front.boxes.get(0).handle.usageReceived(1, 9, 3000, 0.8);
    assertEquals(4000, front.reportedCapacities.get(0), 1);
    assertEquals(2400, front.reportedCapacities.get(1), 60);
  }

  @Test
  void aRackOwnerThatHasJustStartedAnswersNobody() {
    var front = new PolicyHarness(smallDeployment(2, true, false, Span.NONE, PLAIN), 7, 1);
    front.boxes.get(0).handle.usageReceived(1, 9, 800, 1);
    assertTrue(front.reportedRates.isEmpty());
    assertNull(
        front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT).answer,
        "an incomplete sum rejects nobody");
  }

  @Test
  void aNewViewingThatWouldOverloadItsBoxIsRejected() {
    PolicyHarness front = front(1, false);
    reportLinkLoad(front, 0.99);
    assertEquals(
        "blocked", front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT).answer);
    front.boxes.get(0).handle.loadReported(0.9, Double.NaN, Double.NaN);
    assertNotNull(front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT).box);
  }

  @Test
  void retriesOfAllViewingsShareOneBudget() {
    var front = new PolicyHarness(smallDeployment(2, false, false, Span.ofSeconds(5), PLAIN), 7, 4);
    for (int i = 0; i < 10; i++) {
      Viewer viewer = front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT);
      while (viewer.box != null) {
        viewer.endAttempt(AttemptOutcome.TURNED_AWAY);
      }
    }
    assertEquals(10 + 3 + 2, front.viewers.stream().mapToInt(viewer -> viewer.tuneInCount).sum());
  }

  /**
   * A set-up may be sent half a second after the choice of its box. Guards against a retry budget
   * that holds for the choices, but not for what is sent.
   */
  @Test
  void retriesStayWithinTheirBudgetHoweverLateTheyAreSent() {
    var front = new PolicyHarness(smallDeployment(2, false, false, Span.ofSeconds(5), PLAIN), 7, 4);
    for (int i = 0; i < 4; i++) {
      turnAwayUntilAnswered(front);
    }
    int before = front.viewers.stream().mapToInt(viewer -> viewer.tuneInCount).sum();
    assertEquals(4 + 3, before, "the three free retries");
    front.advance(Span.ofMillis(5100));
    assertEquals(1, turnAwayUntilAnswered(front), "three may have been sent 100 ms ago");
    front.advance(Span.ofMillis(500));
    assertTrue(turnAwayUntilAnswered(front) > 1);
  }

  private static int turnAwayUntilAnswered(PolicyHarness front) {
    Viewer viewer = front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT);
    while (viewer.box != null) {
      viewer.endAttempt(AttemptOutcome.TURNED_AWAY);
    }
    return viewer.tuneInCount;
  }

  @Test
  void aFrontThatHasJustStartedSendsNothingToAColdBox() {
    var front = new PolicyHarness(smallDeployment(1, false, false, Span.NONE, PLAIN), 7, 1);
    front.boxes.get(0).markServing(front.now);
    assertNull(front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT).box);
    front.advance(Span.ofSeconds(3));
    assertNotNull(front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT).box);
  }

  @Test
  void ratesInForceBeforeTheFirstReportAreNotCountedTwice() {
    PolicyHarness front = front(1, false);
    Viewer viewer = front.addPlaying(PLAIN, front.policy.createTitle(0, 4), front.boxes.get(0), 4);
    reportLinkLoad(front, 0.9);
    front.advance(Span.ofSeconds(2));
    assertEquals(4, viewer.rung, "its 300 kB are included in the 900 reported");
  }

  @Test
  void whenAllUsageReportsAreLostTheEstimateAloneCausesNoStepDown() {
    PolicyHarness front = front(8, true);
    Viewer viewer = front.addPlaying(PLAIN, front.policy.createTitle(0, 4), front.boxes.get(0), 2);
    front.boxes.get(0).handle.usageReceived(1, 9, 300, 1);
    front.advance(Span.ofSeconds(20));
    for (int i = 0; i < 40; i++) {
      // Raises the typical load far above the capacity of the links.
      front.boxes.get(1).handle.loadReported(4, Double.NaN, Double.NaN);
      front.boxes.get(0).handle.loadReported(0.5, Double.NaN, Double.NaN);
      front.advance(Span.ofMillis(500));
    }
    assertTrue(viewer.rung >= 2);
  }

  /**
   * Guards against a lost answer, or a pause of the front itself, that is taken for a restart of
   * the box and limits it as a cold one for long.
   */
  @Test
  void aBoxThatMadeContactMeanwhileIsNotLimitedAsCold() {
    for (AttemptOutcome outcome :
        List.of(AttemptOutcome.NO_ANSWER, AttemptOutcome.UNHEARD, AttemptOutcome.HELD_UP)) {
      PolicyHarness front = front(1, false);
      Viewer viewer = front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT);
      viewer.endAttempt(outcome);
      assertTrue(viewer.box == null, outcome + ": the first attempt may still be in progress");
      viewer.endConfirmed(0);
      assertEquals(
          outcome == AttemptOutcome.NO_ANSWER,
          viewer.box == null,
          outcome + ": the box may have restarted");
    }
    var front = new PolicyHarness(smallDeployment(2, false, true, Span.NONE, PLAIN), 7, 1);
    front.advance(Span.ofSeconds(3));
    front.boxes.get(0).handle.probeEnded(AttemptOutcome.HELD_UP);
    front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT);
    front.advance(Span.ofMillis(100));
    front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT);
    front.advance(Span.ofMillis(100));
    assertTrue(
        front.viewers.stream().allMatch(viewer -> viewer.box != null), "two at once, as if warm");
  }

  @Test
  void onOldReportsANewViewingTakesTheRungNearestItsFairShareOfTheUplink() {
    for (double price : new double[] {0.008, 0.08}) {
      Deployment deployment = smallDeployment(200, false, true, Span.NONE, PLAIN);
      Permissions base = deployment.permissions();
      var front =
          new PolicyHarness(
              new Deployment(
                  deployment.frontCount(),
                  deployment.frontNumber(),
                  deployment.building(),
                  deployment.packages(),
                  deployment.ladderKbPerSecond(),
                  deployment.rungValues(),
                  deployment.fleet(),
                  deployment.rules(),
                  new Permissions(
                      base.maxTuneIns(), false, true, true, price, 0.01, 0, base.maxRetryAfter())),
              7,
              1);
      front.advance(Span.ofSeconds(3));
      front.boxes.get(0).handle.loadReported(0.3, 0.95, 10);
      Viewer viewer = front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT);
      front.advance(Span.ofMillis(100));
      assertEquals(price > 0.01 ? 2 : 0, viewer.rung, "4000 kB for 40 viewings of 95 kB");
    }
  }

  /**
   * Guards against new viewings of all fronts that take the room which a step down leaves: the
   * boxes are short again, and viewers leave within a second.
   */
  @Test
  void onOldReportsNewViewingsStartLowWhereTheirBoxOrAnyTwoAreShort() {
    record Case(int plays, int isShort, boolean low) {}
    for (Case situation :
        List.of(
            new Case(2, 0, false),
            new Case(1, 1, false),
            new Case(4, 1, false),
            new Case(2, 2, true),
            new Case(4, 2, true))) {
      Deployment deployment = smallDeployment(200, false, true, Span.NONE, PLAIN);
      var front =
          new PolicyHarness(
              new Deployment(
                  deployment.frontCount(),
                  deployment.frontNumber(),
                  deployment.building(),
                  deployment.packages(),
                  deployment.ladderKbPerSecond(),
                  deployment.rungValues(),
                  deployment.fleet(),
                  deployment.rules(),
                  new Permissions(4, false, true, true, 0.08, 0.01, 0, Span.ofSeconds(2))),
              7,
              5);
      front.advance(Span.ofSeconds(3));
      for (int box = 1; box <= situation.plays(); box++) {
        Viewer playing =
            front.addPlaying(PLAIN, front.policy.createTitle(box, 1), front.boxes.get(box), 1);
        // The shortage is that of the link, not of the uplink that all boxes share.
        front.boxes.get(box).handle.loadReported(0.9, 0.1, 1);
        playing.handle.shareDelivered(box <= situation.isShort() ? 0.9 : 1);
      }
      front.boxes.get(0).handle.loadReported(0.1, 0.1, 1);
      Viewer viewer = front.request(PLAIN, front.policy.createTitle(0, 1), TIME_LIMIT);
      front.advance(Span.ofMillis(100));
      assertEquals(situation.low(), viewer.rung == 0, "rung " + viewer.rung + " in " + situation);
      Viewer second = front.request(PLAIN, front.policy.createTitle(1, 1), TIME_LIMIT);
      front.advance(Span.ofMillis(100));
      assertEquals(
          situation.isShort() > 0,
          second.rung == 0,
          "rung " + second.rung + " at the short box in " + situation);
    }
  }

  @Test
  void whereConnectionsArePricedNewViewingsPreferBoxesAlreadyInUse() {
    Deployment deployment = smallDeployment(200, false, false, Span.NONE, PLAIN);
    for (double price : new double[] {0, 0.08}) {
      var front =
          new PolicyHarness(
              new Deployment(
                  deployment.frontCount(),
                  deployment.frontNumber(),
                  deployment.building(),
                  deployment.packages(),
                  deployment.ladderKbPerSecond(),
                  deployment.rungValues(),
                  deployment.fleet(),
                  deployment.rules(),
                  new Permissions(4, false, false, false, 0, 0, price, Span.ofSeconds(2))),
              7,
              4);
      front.advance(Span.ofSeconds(3));
      Policy.Title title = front.policy.createTitle(0, 4);
      front.addPlaying(PLAIN, title, front.boxes.get(3), 2);
      int placed = 0;
      for (int i = 0; i < 4; i++) {
        placed += front.request(PLAIN, title, TIME_LIMIT).box == front.boxes.get(3) ? 1 : 0;
      }
      assertTrue(price > 0 ? placed == 4 : placed < 4, placed + " of 4 at a price of " + price);
    }
  }

  /**
   * Guards against two attempts of one request in progress at a server that has not read the end of
   * the first one.
   */
  @Test
  void aServerWithAnUnconfirmedAttemptGetsNoFurtherOne() {
    for (AttemptOutcome outcome : AttemptOutcome.values()) {
      if (outcome.confirmed) {
        continue;
      }
      PolicyHarness front = front(1, false);
      Viewer viewer = front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT);
      viewer.endAttempt(outcome);
      front.advance(Span.ofMillis(200));
      assertTrue(
          viewer.box == null && viewer.answer == null, outcome + ": it waits for the confirmation");
      front.advance(TIME_LIMIT);
      assertEquals("blocked", viewer.answer, outcome + ": the wait ends");
    }
  }

  /** Guards against an unconfirmed attempt that is forgotten when its server is listed again. */
  @Test
  void anUnconfirmedAttemptIsRememberedWhileItsServerIsOffTheList() {
    PolicyHarness front = front(1, false);
    Viewer viewer = front.request(PLAIN, front.policy.createTitle(0, 4), TIME_LIMIT);
    viewer.endAttempt(AttemptOutcome.UNHEARD);
    front.boxes.get(0).markGone();
    front.boxes.get(0).markServing(Moment.DISTANT_PAST);
    front.advance(Span.ofMillis(150));
    assertTrue(viewer.box == null, "the server is recognized by its id");
  }
}
