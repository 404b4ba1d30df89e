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
 * Background work on the desk: asks the bench for the next job, runs it, and wakes when it is to be
 * asked again.
 */
final class BackgroundJobs {
  private final FrontServer front;
  private final Workbench scheduler;
  private Carrier.Wake timer;
  private Moment timerDueAt;

  BackgroundJobs(FrontServer front, WorkTerms terms, long seed) {
    this.front = front;
    this.scheduler = new Workbench(terms, seed);
  }

  /**
   * On the desk: something short to be done once after a span, when there is time for it; false
   * where there is no place for it now, and it is to be submitted again.
   *
   * @param thought what it is thought to take of the desk; measured from its first time on
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
    } finally { // what throws is the desk's to report, and must not keep its place
      Moment now = Wall.now();
      job.done(now, now.since(startedAt), 0);
    }
  }

  private void runDueJobs() {
    Moment now = Wall.now();
    // How late this very wake is tells how late the desk is.
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
