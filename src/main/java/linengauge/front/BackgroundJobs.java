package linengauge.front;

import io.vertx.core.json.JsonObject;
import linengauge.Moment;
import linengauge.Span;
import linengauge.net.WallClock;
import linengauge.session.Transport;
import linengauge.work.Job;
import linengauge.work.JobScheduler;
import linengauge.work.ScheduledJob;
import linengauge.work.WorkSettings;

/**
 * Background jobs on the session loop: runs the jobs that are due, and sets a timer for the next.
 */
final class BackgroundJobs {
  private final FrontServer front;
  private final JobScheduler scheduler;
  private Transport.Timer timer;
  private Moment timerDueAt;

  BackgroundJobs(FrontServer front, WorkSettings settings, long seed) {
    this.front = front;
    this.scheduler = new JobScheduler(settings, seed);
  }

  /**
   * Submits a short task that runs once after a delay, when the budget permits. Called on the
   * session loop.
   *
   * @param estimatedTime expected time on the session loop, reserved at the start; if the run takes
   *     longer, the excess is charged at its end
   * @return false where the task was refused for now and has to be submitted again
   */
  boolean submit(String name, int urgency, Span delay, Span estimatedTime, Runnable task) {
    Moment now = WallClock.now();
    JobScheduler.Submission submission =
        scheduler.submit(
            new Job(
                name, urgency, Span.NONE, Span.NONE, 1, estimatedTime, 0, job -> runJob(job, task)),
            now.plus(delay),
            now);
    armTimer(now);
    return submission.job() != null;
  }

  private static void runJob(ScheduledJob job, Runnable task) {
    Moment startedAt = WallClock.now();
    try {
      task.run();
    } finally {
      // An exception is reported by the session loop, and must not leave the job in the queue.
      Moment now = WallClock.now();
      job.succeeded(now, now.since(startedAt), 0);
    }
  }

  private void runDueJobs() {
    Moment now = WallClock.now();
    // The delay of this timer shows how late the session loop is.
    scheduler.setLoopDelay(now.since(timerDueAt).max(Span.NONE));
    timer = null;
    try {
      for (ScheduledJob job = scheduler.nextJob(now);
          job != null;
          job = scheduler.nextJob(WallClock.now())) {
        job.job().action().run(job);
      }
    } finally {
      armTimer(WallClock.now());
    }
  }

  private void armTimer(Moment now) {
    Moment nextAt = scheduler.nextPollAt();
    if (nextAt == null || timer != null && !nextAt.isBefore(timerDueAt)) {
      return;
    }
    if (timer != null) {
      timer.cancel();
    }
    timerDueAt = nextAt.max(now);
    timer = front.schedule(timerDueAt.since(now), this::runDueJobs);
  }

  JsonObject state() {
    JobScheduler.Counts counts = scheduler.counts();
    return new JsonObject()
        .put("jobs", scheduler.jobs())
        .put("done", counts.succeeded)
        .put("refused", counts.rejected)
        .put("displaced", counts.evicted)
        .put("heldBack", counts.deferred);
  }
}
