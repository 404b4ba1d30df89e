package linengauge.work;

import linengauge.Span;

/**
 * A background job, run when the budgets allow it.
 *
 * @param name identifies the job: a submission under the name of a job that is still scheduled does
 *     not add another one
 * @param urgency 0 is the most urgent; greater numbers are less urgent
 * @param startWithin time limit for the start after the job is submitted or due; a job over its
 *     limit precedes all that are not; none: no limit
 * @param interval after which a completed job is due again; none: it runs once
 * @param maxAttempts failures in a row after which the job is abandoned; 0: no limit
 * @param loopTime estimated time on the session loop; corrected by measured times
 * @param bytes estimated bytes read or written; corrected by measured values
 * @param action performs or starts the work; must report its result to the scheduled job, at once
 *     or later
 */
public record Job(
    String name,
    int urgency,
    Span startWithin,
    Span interval,
    int maxAttempts,
    Span loopTime,
    long bytes,
    Action action) {
  /** The work to be done. */
  public interface Action {
    void run(ScheduledJob job);

    /** The job has failed for the last time, or was evicted by one of a smaller rank. */
    default void abandoned(ScheduledJob job) {
      // most actions have nothing to release
    }
  }
}
