package linengauge.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Outside;
import linengauge.Span;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DeskTest {
  private static final Span PATIENCE = Span.ofSeconds(3);

  private static CoreStage stage() {
    CoreStage s = new CoreStage(1, 4, false, false, false, 3);
    s.pass(Span.ofSeconds(3));
    return s;
  }

  /**
   * Thousands of steps of several fronts with boxes and fronts failing in every way; judged from
   * the record alone.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void rulesHoldThroughSeededDays(long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    CoreStage s =
        new CoreStage(1 + (int) (seed % 3), 4, seed % 2 == 0, seed % 4 == 1, seed % 5 != 0, seed);
    s.pass(Span.ofSeconds(3));
    int played = 0;
    for (int step = 0; step < 2500; step++) {
      s.pass(Span.ofMillis(5 + chance.nextInt(40)));
      CoreStage.Front f = s.fronts.get(chance.nextInt(s.fronts.size()));
      if (chance.nextInt(5) == 0) {
        f.ask(
            chance.nextInt(3),
            "t" + chance.nextInt(3),
            Span.ofMillis(500 + chance.nextInt(2500)),
            "key" + chance.nextInt(400));
      }
      CoreStage.Box box = s.boxes.get(chance.nextInt(4));
      switch (chance.nextInt(90)) {
        case 0 ->
            box.mood = CoreStage.Mood.values()[chance.nextInt(CoreStage.Mood.values().length)];
        case 1, 2, 3 -> box.mood = CoreStage.Mood.WELL;
        case 4 -> s.change(box.id, BoxTable.State.DRAINING);
        case 5, 6 -> s.change(box.id, BoxTable.State.SERVING);
        case 7 -> s.restart(box);
        case 8 -> s.change(box.id, BoxTable.State.GONE);
        case 9 -> f.stopFor(Span.ofMillis(chance.nextInt(2000)));
        default -> {}
      }
      for (CoreStage.Watcher w : List.copyOf(f.viewers)) {
        int draw = chance.nextInt(200);
        if (w.end != null || w.answer != null && !w.answer.equals("plays")) {
          f.viewers.remove(w);
        } else if (w.held == null) {
          continue;
        } else if (w.held.isPlaying() && draw < 12) {
          f.on(Span.NONE, w.held::viewerLeft);
        } else if (w.held.isPlaying() && draw < 90) {
          w.lastAsked = s.now;
        } else if (w.held.isPlaying() && draw < 92) {
          f.on(Span.NONE, () -> w.held.shareDelivered(0.7));
        }
        played += w.held != null && w.held.isPlaying() ? 1 : 0;
      }
    }
    s.pass(Span.ofSeconds(20));
    assertEquals(List.of(), s.judged().breaches());
    assertTrue(
        s.judged().checkCount("one-answer") > 100 && played > 20, "hardly anything happened");
    for (CoreStage.Front f : s.fronts) {
      assertNull(f.failure);
      assertEquals(
          0,
          f.desk.viewings() + f.desk.keys() + f.desk.titlesHeld(),
          "something is left in the registry");
    }
    assertTrue(s.boxes.stream().allMatch(b -> b.runs.isEmpty()), "something is left at a box");
  }

  @Test
  void aFullRegistryBlocksAtOnceWithAdvice() {
    CoreStage s = stage();
    s.boxes.forEach(b -> b.mood = CoreStage.Mood.SILENT);
    CoreStage.Watcher last = null;
    for (int i = 0; i <= 20; i++) {
      last = s.fronts.get(0).ask(0, "t", PATIENCE, null);
    }
    s.pass(Span.ofMillis(1));
    assertEquals("blocked", last.answer);
    assertEquals(CoreStage.BOUNDS.advice(), last.advice);
    assertEquals(1, s.fronts.get(0).desk.counts().turnedAwayFull);
  }

  /** What was chosen before a stand-still would leave together with what is chosen after it. */
  @Test
  void aSetUpChosenLongBeforeItCouldLeaveIsChosenAgain() {
    for (boolean stands : new boolean[] {false, true}) {
      CoreStage s = stage();
      CoreStage.Front f = s.fronts.get(0);
      f.holdBack = true; // as a dial does: it leaves 0.3 s after its choice
      f.ask(0, "t", PATIENCE, null);
      s.pass(Span.ofMillis(100));
      if (stands) {
        f.stopFor(Span.ofMillis(600));
      }
      s.pass(Span.ofMillis(1500));
      assertEquals(stands ? 0 : 1, s.setUpsLeft(0));
      assertEquals(stands ? 1 : 0, s.setUpsLeft(1), "chosen again, with what is known then");
    }
  }

  @Test
  void aDrainHeardWhileASetUpWaitsForItsConnectionKeepsItBack() {
    CoreStage s = stage();
    CoreStage.Front f = s.fronts.get(0);
    f.holdBack = true;
    CoreStage.Watcher w = f.ask(2, "t", PATIENCE, null);
    s.pass(Span.ofMillis(100));
    long first = w.held.box().id();
    s.change(first, BoxTable.State.DRAINING);
    s.pass(Span.ofMillis(210));
    assertTrue(
        w.held.box() != null && w.held.box().id() != first,
        "paid, yet free to go elsewhere: it never ran");
    s.pass(Span.ofSeconds(2));
    assertEquals("plays", w.answer);
    assertEquals(0, s.judged().breachCount("drains"));
  }

  /**
   * Its viewer is told before the module is: nothing of one that leaves in that very call is left,
   * here or there.
   */
  @Test
  void whoeverLeavesAsItIsToldThatItPlaysLeavesNothingBehind() {
    CoreStage s = stage();
    CoreStage.Front f = s.fronts.get(0);
    CoreStage.Watcher w = f.ask(1, "t", PATIENCE, null);
    w.leavesAsItPlays = true;
    s.pass(Span.ofSeconds(3));
    assertEquals("plays", w.answer);
    assertEquals(0, f.desk.viewings() + f.desk.titlesHeld());
    assertTrue(s.boxes.stream().allMatch(b -> b.runs.isEmpty()));
    CoreStage.Watcher next = f.ask(1, "t", PATIENCE, null);
    s.pass(Span.ofSeconds(3));
    assertEquals("plays", next.answer);
    assertTrue(next.held.isPlaying(), "its seat was given back");
    assertEquals(List.of(), s.judged().breaches());
  }

  @Test
  void aLateAnswerPlaysNoSecondTimeAndIsEndedAtItsBox() {
    CoreStage s = stage();
    s.boxes.forEach(b -> b.mood = CoreStage.Mood.LATE);
    CoreStage.Watcher w = s.fronts.get(0).ask(0, "t", PATIENCE, null);
    s.pass(Span.ofSeconds(8));
    assertTrue(List.of("blocked", "aborted").contains(w.answer), w.answer);
    assertEquals(0, s.fronts.get(0).desk.viewings());
    assertEquals(List.of(), s.judged().breaches());
  }

  @Test
  void aPaidSetUpThatBreaksIsAbortedAndNeverSentAgain() {
    CoreStage s = stage();
    s.boxes.forEach(b -> b.mood = CoreStage.Mood.RESETS);
    CoreStage.Watcher w = s.fronts.get(0).ask(2, "t", PATIENCE, null);
    s.pass(Span.ofSeconds(4));
    assertEquals("aborted", w.answer);
    assertEquals(1, s.judged().checkCount("no-double-set-up"));
  }

  @Test
  void aKeyAskedForTwiceWhileItWaitsIsBlockedAndOneThatPlaysIsReplaced() {
    CoreStage s = stage();
    CoreStage.Front f = s.fronts.get(0);
    CoreStage.Watcher first = f.ask(0, "t", PATIENCE, "me");
    CoreStage.Watcher second = f.ask(0, "t", PATIENCE, "me");
    s.pass(Span.ofMillis(500));
    assertEquals("plays", first.answer);
    assertEquals("blocked", second.answer);
    CoreStage.Watcher third = f.ask(0, "t", PATIENCE, "me");
    s.pass(Span.ofMillis(500));
    assertEquals(Viewer.End.REPLACED, first.end);
    assertEquals("plays", third.answer);
    assertEquals(1, f.desk.viewings());
    assertEquals(1, f.desk.keys());
  }

  @Test
  void aViewerThatLeavesWhileItsSetUpIsOutLeavesNothing() {
    CoreStage s = stage();
    CoreStage.Front f = s.fronts.get(0);
    CoreStage.Watcher w = f.ask(1, "t", PATIENCE, "me");
    s.pass(Span.ofMillis(5));
    f.on(Span.NONE, w.held::viewerLeft);
    s.pass(Span.ofSeconds(1));
    assertNull(w.answer);
    assertEquals(0, f.desk.viewings() + f.desk.keys() + f.desk.titlesHeld());
    assertTrue(s.boxes.stream().allMatch(b -> b.runs.isEmpty()));
  }

  @Test
  void anIdleViewingEndsAndOneThatIsAskedForDoesNot() {
    CoreStage s = stage();
    CoreStage.Watcher idle = s.fronts.get(0).ask(0, "t", PATIENCE, null);
    CoreStage.Watcher busy = s.fronts.get(0).ask(0, "t", PATIENCE, null);
    for (int i = 0; i < 14; i++) {
      s.pass(Span.ofSeconds(1));
      busy.lastAsked = s.now;
    }
    assertEquals(Viewer.End.IDLE, idle.end);
    assertNull(busy.end);
    assertTrue(busy.held.isPlaying());
  }

  @Test
  void whatIsReadAfterAStandStillCountsItAgainstThePatience() {
    CoreStage s = stage();
    CoreStage.Front f = s.fronts.get(0);
    s.boxes.forEach(b -> b.mood = CoreStage.Mood.SILENT);
    f.stopFor(Span.ofMillis(2000));
    s.pass(Span.ofMillis(10));
    CoreStage.Watcher w = f.ask(0, "t", PATIENCE, null);
    s.pass(Span.ofMillis(2990));
    assertNotNull(w.answer, "three seconds after it was asked the viewer is gone");
  }

  @Test
  void aViewerIsAnsweredInTimeEvenIfEveryOtherWakeIsLost() {
    CoreStage s = stage();
    CoreStage.Front f = s.fronts.get(0);
    s.boxes.forEach(b -> b.mood = CoreStage.Mood.SILENT);
    f.losesWakesUnder = Span.ofSeconds(2);
    CoreStage.Watcher w = f.ask(0, "t", PATIENCE, null);
    s.pass(Span.ofMillis(2990));
    assertEquals("aborted", w.answer);
    assertEquals(0, f.desk.viewings());
  }

  @Test
  void whatIsAnsweredIsNeverAnsweredAgain() {
    CoreStage s = stage();
    CoreStage.Watcher w = s.fronts.get(0).ask(0, "t", PATIENCE, null);
    s.pass(Span.ofMillis(200));
    assertEquals("plays", w.answer);
    w.held.abort();
    w.held.block(Span.NONE, Outside.Refusal.NO_SERVER);
    assertEquals("plays", w.answer);
    assertEquals(0, s.judged().breachCount("one-answer"));
  }

  @Test
  void aViewingThatIsOverLeavesNoWakeBehind() {
    CoreStage s = stage();
    CoreStage.Front f = s.fronts.get(0);
    int before = f.wakes;
    for (int i = 0; i < 10; i++) {
      CoreStage.Watcher w = f.ask(0, "t", PATIENCE, null);
      s.pass(Span.ofMillis(200));
      assertEquals("plays", w.answer);
      f.on(Span.NONE, w.held::viewerLeft);
      s.pass(Span.ofMillis(1));
    }
    assertEquals(before, f.wakes, "all called off, though the longest would have come in seconds");
  }

  @Test
  void anOrderlyStopBlocksNewcomersAndEndsThoseThatPlay() {
    CoreStage s = stage();
    CoreStage.Front f = s.fronts.get(0);
    CoreStage.Watcher plays = f.ask(0, "t", PATIENCE, null);
    s.pass(Span.ofSeconds(1));
    f.desk.stopTaking();
    CoreStage.Watcher late = f.ask(0, "t", PATIENCE, null);
    s.pass(Span.ofMillis(10));
    assertEquals("blocked", late.answer);
    assertTrue(plays.held.isPlaying());
    f.desk.endAll();
    assertEquals(Viewer.End.STOPPED, plays.end);
    s.pass(Span.ofSeconds(1));
    assertEquals(0, f.desk.viewings());
    assertTrue(s.boxes.stream().allMatch(b -> b.runs.isEmpty()));
  }

  @Test
  void aModuleThatFailsLeavesNobodyUnanswered() {
    CoreStage s = stage();
    CoreStage.Front f = s.fronts.get(0);
    CoreStage.Watcher plays = f.ask(0, "t", PATIENCE, null);
    s.pass(Span.ofSeconds(1));
    s.boxes.forEach(b -> b.mood = CoreStage.Mood.SILENT);
    CoreStage.Watcher waits = f.ask(0, "t", PATIENCE, null);
    s.pass(Span.ofMillis(100));
    f.desk.call(
        () -> {
          throw new IllegalStateException("a fault in the module");
        });
    assertNotNull(f.failure);
    assertEquals("aborted", waits.answer);
    assertEquals(Viewer.End.STOPPED, plays.end);
    assertEquals("blocked", answerOf(s, f));
  }

  private static String answerOf(CoreStage s, CoreStage.Front f) {
    CoreStage.Watcher w = f.ask(0, "t", PATIENCE, null);
    s.pass(Span.ofMillis(10));
    return w.answer;
  }

  @Test
  void changesOfTheListAreTakenInOrderAndAGapWantsTheWholeList() {
    CoreStage s = stage();
    Desk desk = s.fronts.get(0).desk;
    List<BoxTable.Row> drained = List.of(s.row(0, BoxTable.State.DRAINING, Moment.DISTANT_PAST));
    assertTrue(desk.listChanged(1, 2, drained));
    assertEquals(BoxTable.State.DRAINING, desk.boxes().get(0).state());
    assertTrue(
        desk.listChanged(0, 1, List.of(s.row(0, BoxTable.State.SERVING, Moment.DISTANT_PAST))),
        "old news");
    assertEquals(BoxTable.State.DRAINING, desk.boxes().get(0).state());
    assertFalse(desk.listChanged(3, 4, drained), "one was missed");
    assertEquals(ListFollower.NONE, desk.listRevision());
    desk.listed(9, List.of(s.row(1, BoxTable.State.SERVING, Moment.DISTANT_PAST)));
    assertEquals(9, desk.listRevision());
    assertEquals(
        1, desk.boxes().size(), "boxes not named are gone, and with no viewing there forgotten");
  }

  @Test
  void aColdBoxThatLeavesTheListAndComesBackKeepsItsPace() {
    CoreStage s = stage();
    CoreStage.Front f = s.fronts.get(0);
    s.restart(s.boxes.get(0));
    s.boxes.forEach(b -> s.change(b.id, b.id == 0 ? BoxTable.State.SERVING : BoxTable.State.GONE));
    s.pass(Span.ofMillis(3100));
    s.boxes.get(0).mood = CoreStage.Mood.ERRORS;
    for (int i = 0; i < 12; i++) {
      f.ask(0, "t", Span.ofMillis(300), null);
      s.pass(Span.ofMillis(50));
      s.change(0, BoxTable.State.GONE);
      s.pass(Span.ofMillis(50));
      s.change(0, BoxTable.State.SERVING);
    }
    s.pass(Span.ofSeconds(1));
    assertTrue(s.judged().checkCount("cold-boxes") > 0);
    assertEquals(0, s.judged().breachCount("cold-boxes"));
  }

  @Test
  void datagramsOfStrangersArePassedOver() {
    CoreStage s = new CoreStage(2, 4, true, false, false, 3);
    s.pass(Span.ofSeconds(3));
    Desk desk = s.fronts.get(0).desk;
    long heard = desk.counts().wordsHeard;
    for (byte[] d :
        new byte[][] {
          {},
          {0x4c},
          {0x4c, 0, 1},
          {0x4c, 0, 9, 0, 0, 0, 0, 1, 0, 0, 0},
          {1, 0, 1, 0, 0, 0, 0, 1, 0, 0, 0},
          {0x4c, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0},
          {0x4c, 0, 1, 0, 0, 0, 99, 1, 0, 0, 0}
        }) {
      long before = desk.counts().wordsPassedOver;
      desk.heard(d);
      assertEquals(before + 1, desk.counts().wordsPassedOver);
    }
    assertEquals(heard, desk.counts().wordsHeard);
    desk.heard(new byte[] {0x4c, 0, 1, 0, 0, 0, 2, 1, 0, 9, (byte) 200});
    assertEquals(heard + 1, desk.counts().wordsHeard);
  }

  @Test
  void pausesDoubleUpToTheMost() {
    Backoff b = new Backoff(Span.ofMillis(100), Span.ofMillis(300), new SplittableRandom(1));
    for (long whole : new long[] {100, 200, 300, 300}) {
      Span p = b.next();
      assertTrue(p.micros() >= whole * 500 && p.micros() <= whole * 1000, p.toString());
    }
    b.reset();
    assertTrue(b.next().micros() <= 100_000);
  }
}
