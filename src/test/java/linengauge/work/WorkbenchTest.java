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
  private static final WorkSettings TERMS =
      new WorkSettings(
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

  private final JobScheduler bench = new JobScheduler(TERMS, 7);
  private final List<String> givenUp = new ArrayList<>();
  private Moment now = new Moment(0);

  private Job chore(String name, int urgency, double deskMs, long bytes) {
    return chore(name, urgency, Span.NONE, Span.NONE, 0, deskMs, bytes);
  }

  private Job chore(
      String name, int urgency, Span within, Span every, int tries, double deskMs, long bytes) {
    return new Job(
        name,
        urgency,
        within,
        every,
        tries,
        Span.ofSeconds(deskMs / 1000),
        bytes,
        new Job.Action() {
          @Override
          public void run(ScheduledJob job) {
            throw new AssertionError("the bench runs nothing itself");
          }

          @Override
          public void givenUp(ScheduledJob job) {
            givenUp.add(job.job().name());
          }
        });
  }

  private ScheduledJob submit(Job c) {
    return bench.submit(c, now, now).job();
  }

  private void pass(double ms) {
    now = now.plus(Span.ofSeconds(ms / 1000));
  }

  /** Runs what comes next to its end at once; its name, or null where nothing is run. */
  private String does() {
    ScheduledJob j = bench.nextJob(now);
    if (j != null) {
      j.succeeded(now, j.deskTime(), j.bytes());
    }
    return j == null ? null : j.job().name();
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
    Moment asks = bench.nextPollAt();
    assertTrue(now.before(asks) && !now.plus(WINDOW.times(1.1)).before(asks), "ask at " + asks);
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
    bench.setLoopDelay(Span.ofMillis(50));
    submit(chore("a", 1, 4, 0));
    submit(chore("b", 1, 4, 0));
    submit(chore("c", 1, 4, 0));
    assertEquals("a", does());
    assertEquals("b", does());
    assertNull(does(), "12 ms would be over a tenth of 100");
    bench.setLoopDelay(Span.NONE);
    assertEquals("c", does());
    pass(1100);
    bench.setLoopDelay(Span.ofMillis(80));
    submit(chore("large", 1, 90, 0));
    assertEquals("large", does(), "else it would wait for as long as the desk is late");
  }

  @Test
  void oneOfANameWaitsAndAWishWhileItRunsIsDoneOnceMore() {
    ScheduledJob j = submit(chore("save", 1, 1, 0));
    assertSame(j, submit(chore("save", 1, 1, 0)));
    assertSame(j, bench.nextJob(now));
    submit(chore("save", 1, 1, 0));
    submit(chore("save", 1, 1, 0));
    assertNull(bench.nextJob(now), "not beside itself");
    j.succeeded(now, Span.NONE, 0);
    assertEquals("save", does());
    assertNull(does());
  }

  @Test
  void whatFailsPausesLongerAndLongerAndIsGivenUpAsOftenAsItMay() {
    ScheduledJob j = submit(chore("list", 1, Span.NONE, Span.NONE, 6, 0, 0));
    Span before = Span.NONE;
    for (int i = 1; i < 6; i++) {
      assertSame(j, bench.nextJob(now));
      j.failed(now, Span.NONE, 0);
      Span pause = j.dueAt().since(now);
      Span whole = Span.ofMillis(100L << i - 1);
      assertTrue(!whole.under(pause) && !pause.under(whole.times(0.5)), "pause " + pause);
      assertTrue(before.times(0.9).under(pause) || i == 1, "shorter than before");
      submit(chore("list", 1, Span.NONE, Span.NONE, 6, 0, 0));
      assertNull(bench.nextJob(now), "wishing does not cut its pause");
      now = bench.nextPollAt();
      before = pause;
    }
    bench.nextJob(now).failed(now, Span.NONE, 0);
    assertEquals(List.of("list"), givenUp);
    assertEquals(ScheduledJob.State.OVER, j.state());
    assertEquals(0, bench.jobs());
  }

  @Test
  void whatIsDoneEverySoOftenIsNotCaughtUpOn() {
    ScheduledJob j = submit(chore("sweep", 1, Span.NONE, Span.ofMillis(200), 0, 1, 0));
    assertEquals("sweep", does());
    assertNull(does());
    pass(5000);
    assertEquals("sweep", does());
    assertNull(does(), "once, however long it could not");
    now = bench.nextPollAt();
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
    assertEquals(JobScheduler.Answer.FULL, bench.submit(chore("late", 3, 1, 0), now, now).answer());
    assertEquals(
        JobScheduler.Answer.TAKEN, bench.submit(chore("urgent", 1, 1, 0), now, now).answer());
    assertEquals(List.of("j19"), givenUp);
    assertEquals(20, bench.jobs());
    assertEquals(
        JobScheduler.Answer.TOO_LARGE, bench.submit(chore("huge", 0, 101, 0), now, now).answer());
    assertEquals("urgent", does());
  }

  @Test
  void whatIsCalledOffWhileItRunsGivesItsPlaceBackAndItsEndIsPassedOver() {
    submit(chore("a", 1, 0, 0));
    submit(chore("b", 1, 0, 0));
    submit(chore("c", 1, 0, 0));
    ScheduledJob a = bench.nextJob(now);
    assertNotNull(bench.nextJob(now));
    assertNull(bench.nextJob(now), "two at once");
    a.callOff();
    a.succeeded(now, Span.NONE, 0);
    a.failed(now, Span.NONE, 0);
    assertEquals(1, bench.running());
    assertEquals("c", bench.nextJob(now).job().name());
    assertEquals(0, bench.counts().succeeded);
  }

  @Test
  void whatTakesMoreThanItSaidIsBelievedLessTheNextTime() {
    Job c = chore("save", 1, Span.NONE, Span.ofMillis(10), 0, 5, 0);
    submit(c);
    bench.nextJob(now).succeeded(now, Span.ofMillis(80), 0);
    pass(20);
    assertNull(bench.nextJob(now), "85 and 80 are over 100");
    pass(1100);
    assertNotNull(bench.nextJob(now));
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
    JobScheduler w = new JobScheduler(TERMS, seed);
    Moment at = new Moment(0);
    ArrayDeque<Begun> begun = new ArrayDeque<>();
    List<ScheduledJob> under = new ArrayList<>();
    Map<Integer, Integer> done = new HashMap<>();
    StringBuilder log = new StringBuilder();
    Job.Action none =
        job -> {
          throw new AssertionError("run by the bench");
        };
    for (int step = 0; step < 4000; step++) {
      at = at.plus(Span.ofMillis(chance.nextInt(30)));
      boolean late = step / 500 % 2 == 1;
      w.setLoopDelay(late ? Span.ofMillis(200) : Span.NONE);
      int urgency = chance.nextInt(5);
      if (chance.nextInt(8) == 0) {
        w.submit(
            new Job(
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
      for (ScheduledJob j = w.nextJob(at); j != null; j = w.nextJob(at)) {
        under.add(j);
        begun.addLast(new Begun(at, j.reservedTime(), j.reservedBytes()));
        log.append(j.job().name()).append(' ');
        while (!at.minus(WINDOW).before(begun.peekFirst().at)) {
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
        ScheduledJob j = under.remove(chance.nextInt(under.size()));
        if (chance.nextInt(4) == 0) {
          j.failed(at, j.reservedTime(), j.reservedBytes());
        } else {
          j.succeeded(at, j.reservedTime(), j.reservedBytes());
          done.merge(j.job().urgency(), 1, Integer::sum);
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
