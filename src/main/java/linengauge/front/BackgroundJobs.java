package linengauge.front;

import io.vertx.core.json.JsonObject;
import linengauge.Moment;
import linengauge.Span;
import linengauge.carry.Wall;
import linengauge.session.Carrier;
import linengauge.work.Chore;
import linengauge.work.Job;
import linengauge.work.WorkTerms;
import linengauge.work.Workbench;

/**
 * Background jobs on the session loop: runs the jobs that are due, and sets a timer for the next.
 */
final class BackgroundJobs {
  private final FrontServer front;
  private final Workbench scheduler;
  private Carrier.Wake timer;
  private Moment timerDueAt;

  BackgroundJobs(FrontServer front, WorkTerms settings, long seed) {
    this.front = front;
    this.scheduler = new Workbench(settings, seed);
  }

  /**
   * Submits a short task that runs once after a delay, when the budget permits. Called on the
   * session loop.
   *
   * @param estimatedTime expected time on the session loop; measured from the first run on
   * @return false where the task was refused for now and has to be submitted again
   */
  boolean submit(String name, int urgency, Span delay, Span estimatedTime, Runnable task) {
    Moment now = Wall.now();
    Workbench.Submission submission =
        scheduler.submit(
            new Chore(
                name, urgency, Span.NONE, Span.NONE, 1, estimatedTime, 0, job -> runJob(job, task)),
            now.plus(delay),
            now);
    armTimer(now);
    return submission.job() != null;
  }

  private static void runJob(Job job, Runnable task) {
    Moment startedAt = Wall.now();
    try {
      task.run();
    } finally {
      // An exception is reported by the session loop, and must not leave the job in the queue.
      Moment now = Wall.now();
      job.done(now, now.since(startedAt), 0);
    }
  }

  private void runDueJobs() {
    Moment now = Wall.now();
    // The delay of this timer shows how late the session loop is.
    scheduler.deskLate(now.since(timerDueAt).orMore(Span.NONE));
    timer = null;
    try {
      for (Job job = scheduler.next(now); job != null; job = scheduler.next(Wall.now())) {
        job.chore().step().run(job);
      }
    } finally {
      armTimer(Wall.now());
    }
  }

  private void armTimer(Moment now) {
    Moment nextAt = scheduler.askAt();
    if (nextAt == null || timer != null && !nextAt.before(timerDueAt)) {
      return;
    }
    if (timer != null) {
      timer.cancel();
    }
    timerDueAt = nextAt.orLater(now);
    timer = front.wakeAfter(timerDueAt.since(now), this::runDueJobs);
  }

  JsonObject state() {
    Workbench.Counts counts = scheduler.counts();
    return new JsonObject()
        .put("jobs", scheduler.jobs())
        .put("done", counts.done)
        .put("refused", counts.refused)
        .put("displaced", counts.displaced)
        .put("heldBack", counts.heldBack);
  }
}
