package linengauge.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import org.junit.jupiter.api.Test;

/**
 * Background jobs in virtual time: each bound by the trouble that would pass it, and seeded days.
 */
class WorkbenchTest {
  private static final Span WINDOW = Span.ofMillis(1000);
  private static final WorkTerms TERMS =
      new WorkTerms(
          WINDOW,
          Span.ofMillis(100),
          1000,
          0.1,
          Span.ofMillis(50),
          20,
          2,
          Span.ofMillis(500),
          Span.ofMillis(100),
          Span.ofMillis(1600));

  private final Workbench bench = new Workbench(TERMS, 7);
  private final List<String> givenUp = new ArrayList<>();
  private Moment now = new Moment(0);

  private Chore chore(String name, int urgency, double deskMs, long bytes) {
    return chore(name, urgency, Span.NONE, Span.NONE, 0, deskMs, bytes);
  }

  private Chore chore(
      String name, int urgency, Span within, Span every, int tries, double deskMs, long bytes) {
    return new Chore(
        name,
        urgency,
        within,
        every,
        tries,
        Span.ofSeconds(deskMs / 1000),
        bytes,
        new Chore.Step() {
          @Override
          public void run(Job job) {
            throw new AssertionError("the bench runs nothing itself");
          }

          @Override
          public void givenUp(Job job) {
            givenUp.add(job.chore().name());
          }
        });
  }

  private Job submit(Chore c) {
    return bench.submit(c, now, now).job();
  }

  private void pass(double ms) {
    now = now.plus(Span.ofSeconds(ms / 1000));
  }

  /** Runs what comes next to its end at once; its name, or null where nothing is run. */
  private String does() {
    Job j = bench.next(now);
    if (j != null) {
      j.done(now, j.deskTime(), j.bytes());
    }
    return j == null ? null : j.chore().name();
  }

  @Test
  void theMostUrgentGoesFirstAndEqualOnesInTheirOrder() {
    submit(chore("c", 2, 1, 0));
    submit(chore("a", 1, 1, 0));
    submit(chore("b", 1, 1, 0));
    assertEquals("a", does());
    assertEquals("b", does());
    assertEquals("c", does());
    assertNull(does());
    assertEquals(0, bench.jobs());
  }

  @Test
  void theBudgetOfAnyWindowIsKeptAndEasesWhenItSaid() {
    for (int i = 0; i < 10; i++) {
      submit(chore("j" + i, 1, 30, 0));
    }
    for (int i = 0; i < 3; i++) {
      assertNotNull(does());
    }
    assertNull(does(), "a fourth would be over 100 ms");
    Moment asks = bench.askAt();
    assertTrue(now.isBefore(asks) && !now.plus(WINDOW.times(1.1)).isBefore(asks), "ask at " + asks);
    now = asks;
    assertNotNull(does());
  }

  @Test
  void aLargeJobIsNotPassedByAndByBySmallOnesThatUseWhatItWaitsFor() {
    submit(chore("first", 1, 60, 0));
    assertEquals("first", does());
    submit(chore("large", 1, 90, 0));
    submit(chore("small", 2, 10, 0));
    submit(chore("reads", 2, 0, 500));
    assertEquals("reads", does(), "it takes nothing that the large one waits for");
    assertNull(does());
    pass(1100);
    assertEquals("large", does());
    assertEquals("small", does());
  }

  @Test
  void whatWaitsLongGoesBeforeWhatIsMoreUrgentAndLate() {
    submit(chore("patient", 5, 1, 0));
    for (int i = 0; i < 3; i++) {
      pass(500);
      submit(chore("urgent" + i, 1, 1, 0));
      assertEquals("urgent" + i, does());
    }
    pass(600);
    submit(chore("urgent", 1, 1, 0)); // four steps are over
    assertEquals("patient", does());
    submit(chore("bound", 9, Span.ofMillis(300), Span.NONE, 0, 1, 0));
    pass(300);
    submit(chore("other", 0, 1, 0));
    assertEquals("bound", does(), "it is late for its own bound");
  }

  @Test
  void aLateDeskLeavesTheFloorAndAnEmptyWindowOneJob() {
    bench.deskLate(Span.ofMillis(50));
    submit(chore("a", 1, 4, 0));
    submit(chore("b", 1, 4, 0));
    submit(chore("c", 1, 4, 0));
    assertEquals("a", does());
    assertEquals("b", does());
    assertNull(does(), "12 ms would be over a tenth of 100");
    bench.deskLate(Span.NONE);
    assertEquals("c", does());
    pass(1100);
    bench.deskLate(Span.ofMillis(80));
    submit(chore("large", 1, 90, 0));
    assertEquals("large", does(), "else it would wait for as long as the desk is late");
  }

  @Test
  void oneOfANameWaitsAndAWishWhileItRunsIsDoneOnceMore() {
    Job j = submit(chore("save", 1, 1, 0));
    assertSame(j, submit(chore("save", 1, 1, 0)));
    assertSame(j, bench.next(now));
    submit(chore("save", 1, 1, 0));
    submit(chore("save", 1, 1, 0));
    assertNull(bench.next(now), "not beside itself");
    j.done(now, Span.NONE, 0);
    assertEquals("save", does());
    assertNull(does());
  }

  @Test
  void whatFailsPausesLongerAndLongerAndIsGivenUpAsOftenAsItMay() {
    Job j = submit(chore("list", 1, Span.NONE, Span.NONE, 6, 0, 0));
    Span before = Span.NONE;
    for (int i = 1; i < 6; i++) {
      assertSame(j, bench.next(now));
      j.failed(now, Span.NONE, 0);
      Span pause = j.dueAt().since(now);
      Span whole = Span.ofMillis(100L << i - 1);
      assertTrue(
          !whole.isShorterThan(pause) && !pause.isShorterThan(whole.times(0.5)), "pause " + pause);
      assertTrue(before.times(0.9).isShorterThan(pause) || i == 1, "shorter than before");
      submit(chore("list", 1, Span.NONE, Span.NONE, 6, 0, 0));
      assertNull(bench.next(now), "wishing does not cut its pause");
      now = bench.askAt();
      before = pause;
    }
    bench.next(now).failed(now, Span.NONE, 0);
    assertEquals(List.of("list"), givenUp);
    assertEquals(Job.State.OVER, j.state());
    assertEquals(0, bench.jobs());
  }

  @Test
  void whatIsDoneEverySoOftenIsNotCaughtUpOn() {
    Job j = submit(chore("sweep", 1, Span.NONE, Span.ofMillis(200), 0, 1, 0));
    assertEquals("sweep", does());
    assertNull(does());
    pass(5000);
    assertEquals("sweep", does());
    assertNull(does(), "once, however long it could not");
    now = bench.askAt();
    assertEquals("sweep", does());
    j.callOff();
    pass(1000);
    assertNull(does());
    assertEquals(0, bench.jobs());
  }

  @Test
  void aFullBenchKeepsTheMoreUrgentAndSaysSoToTheOther() {
    for (int i = 0; i < 20; i++) {
      submit(chore("j" + i, 3, 1, 0));
    }
    assertEquals(Workbench.Answer.FULL, bench.submit(chore("late", 3, 1, 0), now, now).answer());
    assertEquals(Workbench.Answer.TAKEN, bench.submit(chore("urgent", 1, 1, 0), now, now).answer());
    assertEquals(List.of("j19"), givenUp);
    assertEquals(20, bench.jobs());
    assertEquals(
        Workbench.Answer.TOO_LARGE, bench.submit(chore("huge", 0, 101, 0), now, now).answer());
    assertEquals("urgent", does());
  }

  @Test
  void whatIsCalledOffWhileItRunsGivesItsPlaceBackAndItsEndIsPassedOver() {
    submit(chore("a", 1, 0, 0));
    submit(chore("b", 1, 0, 0));
    submit(chore("c", 1, 0, 0));
    Job a = bench.next(now);
    assertNotNull(bench.next(now));
    assertNull(bench.next(now), "two at once");
    a.callOff();
    a.done(now, Span.NONE, 0);
    a.failed(now, Span.NONE, 0);
    assertEquals(1, bench.running());
    assertEquals("c", bench.next(now).chore().name());
    assertEquals(0, bench.counts().done);
  }

  @Test
  void whatTakesMoreThanItSaidIsBelievedLessTheNextTime() {
    Chore c = chore("save", 1, Span.NONE, Span.ofMillis(10), 0, 5, 0);
    submit(c);
    bench.next(now).done(now, Span.ofMillis(80), 0);
    pass(20);
    assertNull(bench.next(now), "85 and 80 are over 100");
    pass(1100);
    assertNotNull(bench.next(now));
  }

  /** What a window that ends now held, by what was really begun. */
  private record Begun(Moment at, Span took, long bytes) {}

  @Test
  void seededDaysKeepEveryBudgetInEveryWindowAndNothingStarves() {
    for (long seed = 1; seed <= 20; seed++) {
      assertEquals(day(seed), day(seed), "the same seed, another day");
    }
  }

  private static String day(long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    Workbench w = new Workbench(TERMS, seed);
    Moment at = new Moment(0);
    ArrayDeque<Begun> begun = new ArrayDeque<>();
    List<Job> under = new ArrayList<>();
    Map<Integer, Integer> done = new HashMap<>();
    StringBuilder log = new StringBuilder();
    Chore.Step none =
        job -> {
          throw new AssertionError("run by the bench");
        };
    for (int step = 0; step < 4000; step++) {
      at = at.plus(Span.ofMillis(chance.nextInt(30)));
      boolean late = step / 500 % 2 == 1;
      w.deskLate(late ? Span.ofMillis(200) : Span.NONE);
      int urgency = chance.nextInt(5);
      if (chance.nextInt(8) == 0) {
        w.submit(
            new Chore(
                "n" + urgency + "-" + chance.nextInt(6),
                urgency,
                Span.NONE,
                Span.NONE,
                4,
                Span.ofMillis(1 + chance.nextInt(40)),
                chance.nextInt(300),
                none),
            at,
            at);
      }
      assertTrue(w.jobs() <= TERMS.jobs());
      for (Job j = w.next(at); j != null; j = w.next(at)) {
        under.add(j);
        begun.addLast(new Begun(at, j.reservedTime(), j.reservedBytes()));
        log.append(j.chore().name()).append(' ');
        while (!at.minus(WINDOW).isBefore(begun.peekFirst().at)) {
          begun.removeFirst();
        }
        long took = begun.stream().mapToLong(b -> b.took.micros()).sum();
        long bytes = begun.stream().mapToLong(Begun::bytes).sum();
        assertTrue(
            took <= TERMS.deskTime().micros() && bytes <= TERMS.bytes(),
            "seed " + seed + " step " + step + ": " + took + " us, " + bytes + " bytes");
      }
      assertTrue(w.running() <= TERMS.atOnce());
      if (!under.isEmpty() && chance.nextBoolean()) {
        Job j = under.remove(chance.nextInt(under.size()));
        if (chance.nextInt(4) == 0) {
          j.failed(at, j.reservedTime(), j.reservedBytes());
        } else {
          j.done(at, j.reservedTime(), j.reservedBytes());
          done.merge(j.chore().urgency(), 1, Integer::sum);
        }
      }
    }
    for (int u = 0; u < 5; u++) {
      assertTrue(
          done.getOrDefault(u, 0) >= 5, "seed " + seed + ": urgency " + u + " starved: " + done);
    }
    assertTrue(done.get(0) > done.get(4), "urgency counts for nothing: " + done);
    return log.toString();
  }
}
