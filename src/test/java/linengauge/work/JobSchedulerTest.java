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

/** The scheduler in virtual time: one test for each limit, and seeded simulations. */
class JobSchedulerTest {
  private static final Span WINDOW = Span.ofMillis(1000);
  private static final WorkSettings SETTINGS =
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

  private final JobScheduler scheduler = new JobScheduler(SETTINGS, 7);
  private final List<String> abandoned = new ArrayList<>();
  private Moment now = new Moment(0);

  private Job job(String name, int urgency, double loopMs, long bytes) {
    return job(name, urgency, Span.NONE, Span.NONE, 0, loopMs, bytes);
  }

  private Job job(
      String name,
      int urgency,
      Span startWithin,
      Span interval,
      int maxAttempts,
      double loopMs,
      long bytes) {
    return new Job(
        name,
        urgency,
        startWithin,
        interval,
        maxAttempts,
        Span.ofSeconds(loopMs / 1000),
        bytes,
        new Job.Action() {
          @Override
          public void run(ScheduledJob scheduled) {
            throw new AssertionError("the scheduler must not run actions");
          }

          @Override
          public void abandoned(ScheduledJob scheduled) {
            abandoned.add(scheduled.job().name());
          }
        });
  }

  private ScheduledJob submit(Job job) {
    return scheduler.submit(job, now, now).job();
  }

  private void advance(double ms) {
    now = now.plus(Span.ofSeconds(ms / 1000));
  }

  /** Runs the next job to its end; returns its name, or null if there is none. */
  private String runNext() {
    ScheduledJob scheduled = scheduler.nextJob(now);
    if (scheduled != null) {
      scheduled.succeeded(now, scheduled.estimatedLoopTime(), scheduled.estimatedBytes());
    }
    return scheduled == null ? null : scheduled.job().name();
  }

  @Test
  void mostUrgentRunsFirstAndTiesRunInSubmissionOrder() {
    submit(job("c", 2, 1, 0));
    submit(job("a", 1, 1, 0));
    submit(job("b", 1, 1, 0));
    assertEquals("a", runNext());
    assertEquals("b", runNext());
    assertEquals("c", runNext());
    assertNull(runNext());
    assertEquals(0, scheduler.jobs());
  }

  @Test
  void windowBudgetIsKeptAndFreedAtTheNextPoll() {
    for (int i = 0; i < 10; i++) {
      submit(job("j" + i, 1, 30, 0));
    }
    for (int i = 0; i < 3; i++) {
      assertNotNull(runNext());
    }
    assertNull(runNext(), "a fourth job would exceed 100 ms");
    Moment pollAt = scheduler.nextPollAt();
    assertTrue(
        now.isBefore(pollAt) && !now.plus(WINDOW.times(1.1)).isBefore(pollAt),
        "next poll at " + pollAt);
    now = pollAt;
    assertNotNull(runNext());
  }

  @Test
  void smallJobsDoNotStarveALargeOneOfItsBudget() {
    submit(job("first", 1, 60, 0));
    assertEquals("first", runNext());
    submit(job("large", 1, 90, 0));
    submit(job("small", 2, 10, 0));
    submit(job("reads", 2, 0, 500));
    assertEquals("reads", runNext(), "it uses none of the budget that the large job waits for");
    assertNull(runNext());
    advance(1100);
    assertEquals("large", runNext());
    assertEquals("small", runNext());
  }

  @Test
  void agingJobsOvertakeMoreUrgentOnes() {
    submit(job("patient", 5, 1, 0));
    for (int i = 0; i < 3; i++) {
      advance(500);
      submit(job("urgent" + i, 1, 1, 0));
      assertEquals("urgent" + i, runNext());
    }
    advance(600);
    submit(job("urgent", 1, 1, 0)); // four aging intervals have passed
    assertEquals("patient", runNext());
    submit(job("bound", 9, Span.ofMillis(300), Span.NONE, 0, 1, 0));
    advance(300);
    submit(job("other", 0, 1, 0));
    assertEquals("bound", runNext(), "it is over its start limit");
  }

  @Test
  void lateLoopLeavesTheFloorAndOneJobInAnEmptyWindow() {
    scheduler.setLoopDelay(Span.ofMillis(50));
    submit(job("a", 1, 4, 0));
    submit(job("b", 1, 4, 0));
    submit(job("c", 1, 4, 0));
    assertEquals("a", runNext());
    assertEquals("b", runNext());
    assertNull(runNext(), "12 ms would exceed a tenth of 100 ms");
    scheduler.setLoopDelay(Span.NONE);
    assertEquals("c", runNext());
    advance(1100);
    scheduler.setLoopDelay(Span.ofMillis(80));
    submit(job("large", 1, 90, 0));
    assertEquals("large", runNext(), "otherwise it would wait for as long as the loop is late");
  }

  @Test
  void resubmissionWhileRunningRunsTheJobOnceMore() {
    ScheduledJob scheduled = submit(job("save", 1, 1, 0));
    assertSame(scheduled, submit(job("save", 1, 1, 0)));
    assertSame(scheduled, scheduler.nextJob(now));
    submit(job("save", 1, 1, 0));
    submit(job("save", 1, 1, 0));
    assertNull(scheduler.nextJob(now), "the job must not run concurrently with itself");
    scheduled.succeeded(now, Span.NONE, 0);
    assertEquals("save", runNext());
    assertNull(runNext());
  }

  @Test
  void failingJobBacksOffAndIsAbandonedAfterItsAttempts() {
    ScheduledJob scheduled = submit(job("list", 1, Span.NONE, Span.NONE, 6, 0, 0));
    Span previousPause = Span.NONE;
    for (int i = 1; i < 6; i++) {
      assertSame(scheduled, scheduler.nextJob(now));
      scheduled.failed(now, Span.NONE, 0);
      Span pause = scheduled.dueAt().since(now);
      Span maxPause = Span.ofMillis(100L << i - 1);
      assertTrue(
          !maxPause.isShorterThan(pause) && !pause.isShorterThan(maxPause.times(0.5)),
          "pause " + pause);
      assertTrue(
          previousPause.times(0.9).isShorterThan(pause) || i == 1,
          "backoff is shorter than before");
      submit(job("list", 1, Span.NONE, Span.NONE, 6, 0, 0));
      assertNull(scheduler.nextJob(now), "resubmission does not shorten the backoff");
      now = scheduler.nextPollAt();
      previousPause = pause;
    }
    scheduler.nextJob(now).failed(now, Span.NONE, 0);
    assertEquals(List.of("list"), abandoned);
    assertEquals(ScheduledJob.State.ENDED, scheduled.state());
    assertEquals(0, scheduler.jobs());
  }

  @Test
  void missedPeriodicRunsAreNotCaughtUp() {
    ScheduledJob scheduled = submit(job("sweep", 1, Span.NONE, Span.ofMillis(200), 0, 1, 0));
    assertEquals("sweep", runNext());
    assertNull(runNext());
    advance(5000);
    assertEquals("sweep", runNext());
    assertNull(runNext(), "runs once, regardless of the delay");
    now = scheduler.nextPollAt();
    assertEquals("sweep", runNext());
    scheduled.cancel();
    advance(1000);
    assertNull(runNext());
    assertEquals(0, scheduler.jobs());
  }

  @Test
  void fullSchedulerEvictsTheLeastUrgentJobAndNotifiesIt() {
    for (int i = 0; i < 20; i++) {
      submit(job("j" + i, 3, 1, 0));
    }
    assertEquals(
        JobScheduler.Result.FULL, scheduler.submit(job("late", 3, 1, 0), now, now).result());
    assertEquals(
        JobScheduler.Result.ACCEPTED, scheduler.submit(job("urgent", 1, 1, 0), now, now).result());
    assertEquals(List.of("j19"), abandoned);
    assertEquals(20, scheduler.jobs());
    assertEquals(
        JobScheduler.Result.TOO_LARGE, scheduler.submit(job("huge", 0, 101, 0), now, now).result());
    assertEquals("urgent", runNext());
  }

  @Test
  void cancellingARunningJobFreesItsSlotAndIgnoresItsResult() {
    submit(job("a", 1, 0, 0));
    submit(job("b", 1, 0, 0));
    submit(job("c", 1, 0, 0));
    ScheduledJob a = scheduler.nextJob(now);
    assertNotNull(scheduler.nextJob(now));
    assertNull(scheduler.nextJob(now), "at most two run at once");
    a.cancel();
    a.succeeded(now, Span.NONE, 0);
    a.failed(now, Span.NONE, 0);
    assertEquals(1, scheduler.running());
    assertEquals("c", scheduler.nextJob(now).job().name());
    assertEquals(0, scheduler.counts().succeeded);
  }

  @Test
  void estimateIsRaisedToTheMeasuredLoopTime() {
    Job job = job("save", 1, Span.NONE, Span.ofMillis(10), 0, 5, 0);
    submit(job);
    scheduler.nextJob(now).succeeded(now, Span.ofMillis(80), 0);
    advance(20);
    assertNull(scheduler.nextJob(now), "85 ms and 80 ms exceed 100 ms");
    advance(1100);
    assertNotNull(scheduler.nextJob(now));
  }

  /**
   * A started job with its reserved amounts. Those of a window that ends now are summed here, to
   * check the budgets independently of the scheduler's own count.
   */
  private record StartedJob(Moment at, Span loopTime, long bytes) {}

  @Test
  void seededSimulationsKeepEveryBudgetAndStarveNoUrgency() {
    for (long seed = 1; seed <= 20; seed++) {
      assertEquals(simulate(seed), simulate(seed), "the same seed gave a different result");
    }
  }

  private static String simulate(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    JobScheduler scheduler = new JobScheduler(SETTINGS, seed);
    Moment now = new Moment(0);
    ArrayDeque<StartedJob> startedInWindow = new ArrayDeque<>();
    List<ScheduledJob> running = new ArrayList<>();
    Map<Integer, Integer> succeededByUrgency = new HashMap<>();
    StringBuilder log = new StringBuilder();
    Job.Action unused =
        job -> {
          throw new AssertionError("the scheduler must not run actions");
        };
    for (int step = 0; step < 4000; step++) {
      now = now.plus(Span.ofMillis(random.nextInt(30)));
      boolean isLoopLate = step / 500 % 2 == 1;
      scheduler.setLoopDelay(isLoopLate ? Span.ofMillis(200) : Span.NONE);
      int urgency = random.nextInt(5);
      if (random.nextInt(8) == 0) {
        scheduler.submit(
            new Job(
                "n" + urgency + "-" + random.nextInt(6),
                urgency,
                Span.NONE,
                Span.NONE,
                4,
                Span.ofMillis(1 + random.nextInt(40)),
                random.nextInt(300),
                unused),
            now,
            now);
      }
      assertTrue(scheduler.jobs() <= SETTINGS.maxJobs());
      for (ScheduledJob scheduled = scheduler.nextJob(now);
          scheduled != null;
          scheduled = scheduler.nextJob(now)) {
        running.add(scheduled);
        startedInWindow.addLast(
            new StartedJob(now, scheduled.reservedLoopTime(), scheduled.reservedBytes()));
        log.append(scheduled.job().name()).append(' ');
        while (!now.minus(WINDOW).isBefore(startedInWindow.peekFirst().at)) {
          startedInWindow.removeFirst();
        }
        long loopMicros =
            startedInWindow.stream().mapToLong(started -> started.loopTime.micros()).sum();
        long bytes = startedInWindow.stream().mapToLong(StartedJob::bytes).sum();
        assertTrue(
            loopMicros <= SETTINGS.loopTime().micros() && bytes <= SETTINGS.bytes(),
            "seed " + seed + " step " + step + ": " + loopMicros + " us, " + bytes + " bytes");
      }
      assertTrue(scheduler.running() <= SETTINGS.maxRunning());
      if (!running.isEmpty() && random.nextBoolean()) {
        ScheduledJob scheduled = running.remove(random.nextInt(running.size()));
        if (random.nextInt(4) == 0) {
          scheduled.failed(now, scheduled.reservedLoopTime(), scheduled.reservedBytes());
        } else {
          scheduled.succeeded(now, scheduled.reservedLoopTime(), scheduled.reservedBytes());
          succeededByUrgency.merge(scheduled.job().urgency(), 1, Integer::sum);
        }
      }
    }
    for (int level = 0; level < 5; level++) {
      assertTrue(
          succeededByUrgency.getOrDefault(level, 0) >= 5,
          "seed " + seed + ": urgency " + level + " starved: " + succeededByUrgency);
    }
    assertTrue(
        succeededByUrgency.get(0) > succeededByUrgency.get(4),
        "urgency has no effect: " + succeededByUrgency);
    return log.toString();
  }
}
