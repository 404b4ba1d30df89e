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
  private final FrontServer program;
  private final Workbench bench;
  private Carrier.Wake wake;
  private Moment wakeAt;

  BackgroundJobs(FrontServer program, WorkTerms terms, long seed) {
    this.program = program;
    this.bench = new Workbench(terms, seed);
  }

  /**
   * On the desk: something short to be done once after a span, when there is time for it; false
   * where there is no place for it now, and it is to be submitted again.
   *
   * @param thought what it is thought to take of the desk; measured from its first time on
   */
  boolean submit(String name, int urgency, Span after, Span thought, Runnable step) {
    Moment now = Wall.now();
    Workbench.Submission submission =
        bench.submit(
            new Chore(name, urgency, Span.NONE, Span.NONE, 1, thought, 0, job -> run(job, step)),
            now.plus(after),
            now);
    arm(now);
    return submission.job() != null;
  }

  private static void run(Job job, Runnable step) {
    Moment from = Wall.now();
    try {
      step.run();
    } finally { // what throws is the desk's to report, and must not keep its place
      Moment now = Wall.now();
      job.done(now, now.since(from), 0);
    }
  }

  private void ask() {
    Moment now = Wall.now();
    // How late this very wake is tells how late the desk is.
    bench.deskLate(now.since(wakeAt).orMore(Span.NONE));
    wake = null;
    try {
      for (Job j = bench.next(now); j != null; j = bench.next(Wall.now())) {
        j.chore().step().run(j);
      }
    } finally {
      arm(Wall.now());
    }
  }

  private void arm(Moment now) {
    Moment at = bench.askAt();
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
    Workbench.Counts c = bench.counts();
    return new JsonObject()
        .put("jobs", bench.jobs())
        .put("done", c.done)
        .put("refused", c.refused)
        .put("displaced", c.displaced)
        .put("heldBack", c.heldBack);
  }
}
