package linengauge.front;

import io.vertx.core.json.JsonObject;
import linengauge.Moment;
import linengauge.Span;
import linengauge.carry.Wall;
import linengauge.session.Carrier;
import linengauge.work.Job;
import linengauge.work.JobScheduler;
import linengauge.work.ScheduledJob;
import linengauge.work.WorkSettings;

/**
 * Background work on the desk: asks the bench for the next job, runs it, and wakes when it is to be
 * asked again.
 */
final class Chores {
  private final FrontProgram program;
  private final JobScheduler bench;
  private Carrier.Wake wake;
  private Moment wakeAt;

  Chores(FrontProgram program, WorkSettings terms, long seed) {
    this.program = program;
    this.bench = new JobScheduler(terms, seed);
  }

  /**
   * On the desk: something short to be done once after a span, when there is time for it; false
   * where there is no place for it now, and it is to be submitted again.
   *
   * @param thought what it is thought to take of the desk; measured from its first time on
   */
  boolean submit(String name, int urgency, Span after, Span thought, Runnable step) {
    Moment now = Wall.now();
    JobScheduler.Submission submission =
        bench.submit(
            new Job(name, urgency, Span.NONE, Span.NONE, 1, thought, 0, job -> run(job, step)),
            now.plus(after),
            now);
    arm(now);
    return submission.job() != null;
  }

  private static void run(ScheduledJob job, Runnable step) {
    Moment from = Wall.now();
    try {
      step.run();
    } finally { // what throws is the desk's to report, and must not keep its place
      Moment now = Wall.now();
      job.succeeded(now, now.since(from), 0);
    }
  }

  private void ask() {
    Moment now = Wall.now();
    // How late this very wake is tells how late the desk is.
    bench.setLoopDelay(now.since(wakeAt).orMore(Span.NONE));
    wake = null;
    try {
      for (ScheduledJob j = bench.nextJob(now); j != null; j = bench.nextJob(Wall.now())) {
        j.job().action().run(j);
      }
    } finally {
      arm(Wall.now());
    }
  }

  private void arm(Moment now) {
    Moment at = bench.nextPollAt();
    if (at == null || wake != null && !at.before(wakeAt)) {
      return;
    }
    if (wake != null) {
      wake.cancel();
    }
    wakeAt = at.orLater(now);
    wake = program.wakeAfter(wakeAt.since(now), this::ask);
  }

  JsonObject state() {
    JobScheduler.Counts c = bench.counts();
    return new JsonObject()
        .put("jobs", bench.jobs())
        .put("done", c.succeeded)
        .put("refused", c.rejected)
        .put("displaced", c.evicted)
        .put("heldBack", c.deferred);
  }
}
