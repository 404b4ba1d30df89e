package linengauge.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import linengauge.Environment;
import linengauge.Moment;
import linengauge.Span;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SessionManagerTest {
  private static final Span TIME_LIMIT = Span.ofSeconds(3);

  private static SessionSimulation simulation() {
    SessionSimulation simulation = new SessionSimulation(1, 4, false, false, false, 3);
    simulation.advance(Span.ofSeconds(3));
    return simulation;
  }

  /**
   * Runs thousands of random steps of several fronts, with boxes and fronts failing in every way;
   * judged from the record alone.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void rulesHoldInSeededRandomRuns(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    SessionSimulation simulation =
        new SessionSimulation(
            1 + (int) (seed % 3), 4, seed % 2 == 0, seed % 4 == 1, seed % 5 != 0, seed);
    simulation.advance(Span.ofSeconds(3));
    int played = 0;
    for (int step = 0; step < 2500; step++) {
      simulation.advance(Span.ofMillis(5 + random.nextInt(40)));
      SessionSimulation.Front front =
          simulation.fronts.get(random.nextInt(simulation.fronts.size()));
      if (random.nextInt(5) == 0) {
        front.request(
            random.nextInt(3),
            "t" + random.nextInt(3),
            Span.ofMillis(500 + random.nextInt(2500)),
            "key" + random.nextInt(400));
      }
      SessionSimulation.Box box = simulation.boxes.get(random.nextInt(4));
      switch (random.nextInt(90)) {
        case 0 ->
            box.behaviour =
                SessionSimulation.BoxBehaviour.values()[
                    random.nextInt(SessionSimulation.BoxBehaviour.values().length)];
        case 1, 2, 3 -> box.behaviour = SessionSimulation.BoxBehaviour.HEALTHY;
        case 4 -> simulation.changeListing(box.id, BoxTable.State.DRAINING);
        case 5, 6 -> simulation.changeListing(box.id, BoxTable.State.SERVING);
        case 7 -> simulation.restart(box);
        case 8 -> simulation.changeListing(box.id, BoxTable.State.GONE);
        case 9 -> front.pauseFor(Span.ofMillis(random.nextInt(2000)));
        default -> {}
      }
      for (SessionSimulation.RecordingViewer viewer : List.copyOf(front.viewers)) {
        int draw = random.nextInt(200);
        if (viewer.endReason != null || viewer.answer != null && !viewer.answer.equals("plays")) {
          front.viewers.remove(viewer);
        } else if (viewer.session == null) {
          continue;
        } else if (viewer.session.isPlaying() && draw < 12) {
          front.runAfter(Span.NONE, viewer.session::viewerLeft);
        } else if (viewer.session.isPlaying() && draw < 90) {
          viewer.lastRequestAt = simulation.now;
        } else if (viewer.session.isPlaying() && draw < 92) {
          front.runAfter(Span.NONE, () -> viewer.session.deliveredShareReported(0.7));
        }
        played += viewer.session != null && viewer.session.isPlaying() ? 1 : 0;
      }
    }
    simulation.advance(Span.ofSeconds(20));
    assertEquals(List.of(), simulation.judge().breaches());
    assertTrue(
        simulation.judge().checkCount("one-answer") > 100 && played > 20,
        "too few requests and viewings in this run");
    for (SessionSimulation.Front front : simulation.fronts) {
      assertNull(front.failure);
      assertEquals(
          0,
          front.manager.sessionCount() + front.manager.keyCount() + front.manager.titleCount(),
          "the registry must be empty at the end");
    }
    assertTrue(
        simulation.boxes.stream().allMatch(box -> box.running.isEmpty()),
        "no box may still run a viewing at the end");
  }

  @Test
  void aFullRegistryRejectsAtOnceWithRetryAdvice() {
    SessionSimulation simulation = simulation();
    simulation.boxes.forEach(box -> box.behaviour = SessionSimulation.BoxBehaviour.SILENT);
    SessionSimulation.RecordingViewer last = null;
    for (int i = 0; i <= 20; i++) {
      last = simulation.fronts.get(0).request(0, "t", TIME_LIMIT, null);
    }
    simulation.advance(Span.ofMillis(1));
    assertEquals("blocked", last.answer);
    assertEquals(SessionSimulation.LIMITS.retryAfter(), last.retryAfter);
    assertEquals(1, simulation.fronts.get(0).manager.counters().rejectedFull);
  }

  /**
   * Guards against a burst after a pause: what was chosen before it would leave together with what
   * is chosen after it.
   */
  @Test
  void aSetUpDelayedByAPauseIsChosenAgain() {
    for (boolean pauses : new boolean[] {false, true}) {
      SessionSimulation simulation = simulation();
      SessionSimulation.Front front = simulation.fronts.get(0);
      front.delaysSending = true; // as dialling does: it leaves 0.3 s after its choice
      front.request(0, "t", TIME_LIMIT, null);
      simulation.advance(Span.ofMillis(100));
      if (pauses) {
        front.pauseFor(Span.ofMillis(600));
      }
      simulation.advance(Span.ofMillis(1500));
      assertEquals(pauses ? 0 : 1, simulation.setUpsSent(0));
      assertEquals(
          pauses ? 1 : 0, simulation.setUpsSent(1), "the box must be chosen again after the pause");
    }
  }

  @Test
  void aBoxThatDrainsBeforeTheSetUpIsSentDoesNotGetIt() {
    SessionSimulation simulation = simulation();
    SessionSimulation.Front front = simulation.fronts.get(0);
    front.delaysSending = true;
    SessionSimulation.RecordingViewer viewer = front.request(2, "t", TIME_LIMIT, null);
    simulation.advance(Span.ofMillis(100));
    long first = viewer.session.box().id();
    simulation.changeListing(first, BoxTable.State.DRAINING);
    simulation.advance(Span.ofMillis(210));
    assertTrue(
        viewer.session.box() != null && viewer.session.box().id() != first,
        "a paid set-up that never ran may go to another box");
    simulation.advance(Span.ofSeconds(2));
    assertEquals("plays", viewer.answer);
    assertEquals(0, simulation.judge().breachCount("drains"));
  }

  /**
   * The viewer is notified before the module is. Where it leaves within that very call, nothing of
   * it remains at the front or at the box.
   */
  @Test
  void aViewerThatLeavesOnStartLeavesNothingBehind() {
    SessionSimulation simulation = simulation();
    SessionSimulation.Front front = simulation.fronts.get(0);
    SessionSimulation.RecordingViewer viewer = front.request(1, "t", TIME_LIMIT, null);
    viewer.leavesOnStart = true;
    simulation.advance(Span.ofSeconds(3));
    assertEquals("plays", viewer.answer);
    assertEquals(0, front.manager.sessionCount() + front.manager.titleCount());
    assertTrue(simulation.boxes.stream().allMatch(box -> box.running.isEmpty()));
    SessionSimulation.RecordingViewer next = front.request(1, "t", TIME_LIMIT, null);
    simulation.advance(Span.ofSeconds(3));
    assertEquals("plays", next.answer);
    assertTrue(next.session.isPlaying(), "the seat of the first viewing must be free again");
    assertEquals(List.of(), simulation.judge().breaches());
  }

  @Test
  void aLateAnswerDoesNotPlayAndIsEndedAtItsBox() {
    SessionSimulation simulation = simulation();
    simulation.boxes.forEach(box -> box.behaviour = SessionSimulation.BoxBehaviour.ANSWERS_LATE);
    SessionSimulation.RecordingViewer viewer =
        simulation.fronts.get(0).request(0, "t", TIME_LIMIT, null);
    simulation.advance(Span.ofSeconds(8));
    assertTrue(List.of("blocked", "aborted").contains(viewer.answer), viewer.answer);
    assertEquals(0, simulation.fronts.get(0).manager.sessionCount());
    assertEquals(List.of(), simulation.judge().breaches());
  }

  @Test
  void aPaidSetUpThatBreaksFailsAndIsNotRetried() {
    SessionSimulation simulation = simulation();
    simulation.boxes.forEach(
        box -> box.behaviour = SessionSimulation.BoxBehaviour.RESETS_CONNECTIONS);
    SessionSimulation.RecordingViewer viewer =
        simulation.fronts.get(0).request(2, "t", TIME_LIMIT, null);
    simulation.advance(Span.ofSeconds(4));
    assertEquals("aborted", viewer.answer);
    assertEquals(1, simulation.judge().checkCount("no-double-set-up"));
  }

  @Test
  void aRepeatedKeyIsRejectedWhileTheFirstWaitsAndReplacesOneThatPlays() {
    SessionSimulation simulation = simulation();
    SessionSimulation.Front front = simulation.fronts.get(0);
    SessionSimulation.RecordingViewer first = front.request(0, "t", TIME_LIMIT, "me");
    SessionSimulation.RecordingViewer second = front.request(0, "t", TIME_LIMIT, "me");
    simulation.advance(Span.ofMillis(500));
    assertEquals("plays", first.answer);
    assertEquals("blocked", second.answer);
    SessionSimulation.RecordingViewer third = front.request(0, "t", TIME_LIMIT, "me");
    simulation.advance(Span.ofMillis(500));
    assertEquals(Viewer.EndReason.REPLACED, first.endReason);
    assertEquals("plays", third.answer);
    assertEquals(1, front.manager.sessionCount());
    assertEquals(1, front.manager.keyCount());
  }

  @Test
  void aViewerThatLeavesDuringItsSetUpLeavesNothingBehind() {
    SessionSimulation simulation = simulation();
    SessionSimulation.Front front = simulation.fronts.get(0);
    SessionSimulation.RecordingViewer viewer = front.request(1, "t", TIME_LIMIT, "me");
    simulation.advance(Span.ofMillis(5));
    front.runAfter(Span.NONE, viewer.session::viewerLeft);
    simulation.advance(Span.ofSeconds(1));
    assertNull(viewer.answer);
    assertEquals(
        0, front.manager.sessionCount() + front.manager.keyCount() + front.manager.titleCount());
    assertTrue(simulation.boxes.stream().allMatch(box -> box.running.isEmpty()));
  }

  @Test
  void anIdleSessionEndsAndAnActiveOneDoesNot() {
    SessionSimulation simulation = simulation();
    SessionSimulation.RecordingViewer idle =
        simulation.fronts.get(0).request(0, "t", TIME_LIMIT, null);
    SessionSimulation.RecordingViewer busy =
        simulation.fronts.get(0).request(0, "t", TIME_LIMIT, null);
    for (int i = 0; i < 14; i++) {
      simulation.advance(Span.ofSeconds(1));
      busy.lastRequestAt = simulation.now;
    }
    assertEquals(Viewer.EndReason.IDLE, idle.endReason);
    assertNull(busy.endReason);
    assertTrue(busy.session.isPlaying());
  }

  @Test
  void aPauseCountsAgainstTheDeadlineOfRequestsReadAfterIt() {
    SessionSimulation simulation = simulation();
    SessionSimulation.Front front = simulation.fronts.get(0);
    simulation.boxes.forEach(box -> box.behaviour = SessionSimulation.BoxBehaviour.SILENT);
    front.pauseFor(Span.ofMillis(2000));
    simulation.advance(Span.ofMillis(10));
    SessionSimulation.RecordingViewer viewer = front.request(0, "t", TIME_LIMIT, null);
    simulation.advance(Span.ofMillis(2990));
    assertNotNull(viewer.answer, "the viewer waits for three seconds from its request only");
  }

  @Test
  void aViewerIsAnsweredInTimeEvenIfEveryOtherTimerIsLost() {
    SessionSimulation simulation = simulation();
    SessionSimulation.Front front = simulation.fronts.get(0);
    simulation.boxes.forEach(box -> box.behaviour = SessionSimulation.BoxBehaviour.SILENT);
    front.losesTimersUnder = Span.ofSeconds(2);
    SessionSimulation.RecordingViewer viewer = front.request(0, "t", TIME_LIMIT, null);
    simulation.advance(Span.ofMillis(2990));
    assertEquals("aborted", viewer.answer);
    assertEquals(0, front.manager.sessionCount());
  }

  @Test
  void aSessionIsAnsweredOnlyOnce() {
    SessionSimulation simulation = simulation();
    SessionSimulation.RecordingViewer viewer =
        simulation.fronts.get(0).request(0, "t", TIME_LIMIT, null);
    simulation.advance(Span.ofMillis(200));
    assertEquals("plays", viewer.answer);
    viewer.session.fail();
    viewer.session.reject(Span.NONE, Environment.RejectionReason.NO_SERVER);
    assertEquals("plays", viewer.answer);
    assertEquals(0, simulation.judge().breachCount("one-answer"));
  }

  @Test
  void aSessionThatIsOverLeavesNoTimerBehind() {
    SessionSimulation simulation = simulation();
    SessionSimulation.Front front = simulation.fronts.get(0);
    int before = front.openTimers;
    for (int i = 0; i < 10; i++) {
      SessionSimulation.RecordingViewer viewer = front.request(0, "t", TIME_LIMIT, null);
      simulation.advance(Span.ofMillis(200));
      assertEquals("plays", viewer.answer);
      front.runAfter(Span.NONE, viewer.session::viewerLeft);
      simulation.advance(Span.ofMillis(1));
    }
    assertEquals(
        before,
        front.openTimers,
        "all timers must be cancelled, also those that are due in seconds only");
  }

  @Test
  void anOrderlyStopRejectsNewRequestsAndEndsPlayingSessions() {
    SessionSimulation simulation = simulation();
    SessionSimulation.Front front = simulation.fronts.get(0);
    SessionSimulation.RecordingViewer plays = front.request(0, "t", TIME_LIMIT, null);
    simulation.advance(Span.ofSeconds(1));
    front.manager.stopAccepting();
    SessionSimulation.RecordingViewer late = front.request(0, "t", TIME_LIMIT, null);
    simulation.advance(Span.ofMillis(10));
    assertEquals("blocked", late.answer);
    assertTrue(plays.session.isPlaying());
    front.manager.endAll();
    assertEquals(Viewer.EndReason.STOPPED, plays.endReason);
    simulation.advance(Span.ofSeconds(1));
    assertEquals(0, front.manager.sessionCount());
    assertTrue(simulation.boxes.stream().allMatch(box -> box.running.isEmpty()));
  }

  @Test
  void aFailureOfTheModuleLeavesNoRequestUnanswered() {
    SessionSimulation simulation = simulation();
    SessionSimulation.Front front = simulation.fronts.get(0);
    SessionSimulation.RecordingViewer plays = front.request(0, "t", TIME_LIMIT, null);
    simulation.advance(Span.ofSeconds(1));
    simulation.boxes.forEach(box -> box.behaviour = SessionSimulation.BoxBehaviour.SILENT);
    SessionSimulation.RecordingViewer waits = front.request(0, "t", TIME_LIMIT, null);
    simulation.advance(Span.ofMillis(100));
    front.manager.runGuarded(
        () -> {
          throw new IllegalStateException("a fault in the module");
        });
    assertNotNull(front.failure);
    assertEquals("aborted", waits.answer);
    assertEquals(Viewer.EndReason.STOPPED, plays.endReason);
    assertEquals("blocked", answerToNewRequest(simulation, front));
  }

  private static String answerToNewRequest(
      SessionSimulation simulation, SessionSimulation.Front front) {
    SessionSimulation.RecordingViewer viewer = front.request(0, "t", TIME_LIMIT, null);
    simulation.advance(Span.ofMillis(10));
    return viewer.answer;
  }

  @Test
  void discoveryChangesApplyInOrderAndAGapNeedsTheFullList() {
    SessionSimulation simulation = simulation();
    SessionManager manager = simulation.fronts.get(0).manager;
    List<BoxTable.ListedBox> drained =
        List.of(simulation.listing(0, BoxTable.State.DRAINING, Moment.DISTANT_PAST));
    assertTrue(manager.applyDiscoveryChanges(1, 2, drained));
    assertEquals(BoxTable.State.DRAINING, manager.boxes().get(0).state());
    assertTrue(
        manager.applyDiscoveryChanges(
            0, 1, List.of(simulation.listing(0, BoxTable.State.SERVING, Moment.DISTANT_PAST))),
        "changes that are known already");
    assertEquals(BoxTable.State.DRAINING, manager.boxes().get(0).state());
    assertFalse(manager.applyDiscoveryChanges(3, 4, drained), "changes after a missed update");
    assertEquals(DiscoveryCache.NO_REVISION, manager.discoveryRevision());
    manager.applyDiscovery(
        9, List.of(simulation.listing(1, BoxTable.State.SERVING, Moment.DISTANT_PAST)));
    assertEquals(9, manager.discoveryRevision());
    assertEquals(
        1, manager.boxes().size(), "boxes that are not listed and hold no viewing must be removed");
  }

  @Test
  void aColdBoxThatIsListedAgainKeepsItsRampLimit() {
    SessionSimulation simulation = simulation();
    SessionSimulation.Front front = simulation.fronts.get(0);
    simulation.restart(simulation.boxes.get(0));
    simulation.boxes.forEach(
        box ->
            simulation.changeListing(
                box.id, box.id == 0 ? BoxTable.State.SERVING : BoxTable.State.GONE));
    simulation.advance(Span.ofMillis(3100));
    simulation.boxes.get(0).behaviour = SessionSimulation.BoxBehaviour.ANSWERS_ERROR;
    for (int i = 0; i < 12; i++) {
      front.request(0, "t", Span.ofMillis(300), null);
      simulation.advance(Span.ofMillis(50));
      simulation.changeListing(0, BoxTable.State.GONE);
      simulation.advance(Span.ofMillis(50));
      simulation.changeListing(0, BoxTable.State.SERVING);
    }
    simulation.advance(Span.ofSeconds(1));
    assertTrue(simulation.judge().checkCount("cold-boxes") > 0);
    assertEquals(0, simulation.judge().breachCount("cold-boxes"));
  }

  @Test
  void malformedAndForeignDatagramsAreIgnored() {
    SessionSimulation simulation = new SessionSimulation(2, 4, true, false, false, 3);
    simulation.advance(Span.ofSeconds(3));
    SessionManager manager = simulation.fronts.get(0).manager;
    long received = manager.counters().messagesReceived;
    for (byte[] datagram :
        new byte[][] {
          {},
          {0x4c},
          {0x4c, 0, 1},
          {0x4c, 0, 9, 0, 0, 0, 0, 1, 0, 0, 0},
          {1, 0, 1, 0, 0, 0, 0, 1, 0, 0, 0},
          {0x4c, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0},
          {0x4c, 0, 1, 0, 0, 0, 99, 1, 0, 0, 0}
        }) {
      long before = manager.counters().messagesIgnored;
      manager.datagramReceived(datagram);
      assertEquals(before + 1, manager.counters().messagesIgnored);
    }
    assertEquals(received, manager.counters().messagesReceived);
    manager.datagramReceived(new byte[] {0x4c, 0, 1, 0, 0, 0, 2, 1, 0, 9, (byte) 200});
    assertEquals(received + 1, manager.counters().messagesReceived);
  }

  @Test
  void delaysDoubleUpToTheMaximum() {
    Backoff backoff = new Backoff(Span.ofMillis(100), Span.ofMillis(300), new SplittableRandom(1));
    for (long boundMillis : new long[] {100, 200, 300, 300}) {
      Span delay = backoff.nextDelay();
      assertTrue(
          delay.micros() >= boundMillis * 500 && delay.micros() <= boundMillis * 1000,
          delay.toString());
    }
    backoff.reset();
    assertTrue(backoff.nextDelay().micros() <= 100_000);
  }
}
