package linengauge.work;

import linengauge.Moment;
import linengauge.Span;
import linengauge.session.Backoff;

/** A submitted job, from its submission until it has ended, is abandoned or is cancelled. */
public final class ScheduledJob {
  /** The lifecycle state. */
  public enum State {
    /** Not due yet, or due and not started; also between two runs or attempts. */
    WAITING,
    RUNNING,
    /** Has run for the last time, or was abandoned, evicted or cancelled. */
    ENDED
  }

  private final JobScheduler scheduler;
  private final Job job;
  private final long id;
  private final Backoff backoff;
  private State state = State.WAITING;
  private Moment dueAt;
  private int failures;

  /**
   * Submitted again while running: the job is due at once when it succeeds. A failure discards the
   * resubmission and keeps the backoff.
   */
  private boolean rerunRequested;

  private Span estimatedLoopTime;
  private long estimatedBytes;
  private Span reservedLoopTime = Span.NONE;
  private long reservedBytes;

  ScheduledJob(JobScheduler scheduler, Job job, long id, Moment dueAt, Backoff backoff) {
    this.scheduler = scheduler;
    this.job = job;
    this.id = id;
    this.dueAt = dueAt;
    this.backoff = backoff;
    this.estimatedLoopTime = job.loopTime();
    this.estimatedBytes = job.bytes();
  }

  public Job job() {
    return job;
  }

  public State state() {
    return state;
  }

  /** Consecutive failures. */
  public int failures() {
    return failures;
  }

  long id() {
    return id;
  }

  Moment dueAt() {
    return dueAt;
  }

  Span estimatedLoopTime() {
    return estimatedLoopTime;
  }

  long estimatedBytes() {
    return estimatedBytes;
  }

  /**
   * The rank in microseconds; the smallest runs first. It is the urgency number, counted in aging
   * intervals, less the waiting time. A job over its start limit precedes all that are not.
   */
  long rank(Moment now, Span agingInterval) {
    Span waited = now.since(dueAt).max(Span.NONE);
    boolean isLate =
        Span.NONE.isShorterThan(job.startWithin()) && !waited.isShorterThan(job.startWithin());
    return (isLate ? Long.MIN_VALUE / 2 : 0)
        + job.urgency() * agingInterval.micros()
        - waited.micros();
  }

  void resubmitted(Moment now) {
    if (state == State.RUNNING) {
      rerunRequested = true;
    } else if (now.isBefore(dueAt) && failures == 0) {
      // A failed job keeps its backoff: resubmission does not repair what it depends on.
      dueAt = now;
    }
  }

  void started() {
    state = State.RUNNING;
    reservedLoopTime = estimatedLoopTime;
    reservedBytes = estimatedBytes;
  }

  Span reservedLoopTime() {
    return reservedLoopTime;
  }

  long reservedBytes() {
    return reservedBytes;
  }

  /**
   * The job has succeeded, having used this loop time and these bytes. A periodic job is due one
   * interval from now: missed runs are not caught up.
   */
  public void succeeded(Moment now, Span loopTime, long bytes) {
    if (state != State.RUNNING) {
      return;
    }
    updateEstimates(loopTime, bytes);
    failures = 0;
    backoff.reset();
    scheduler.ended(this, now, loopTime, bytes, true);
    scheduleNext(now, Span.NONE.isShorterThan(job.interval()) ? now.plus(job.interval()) : null);
  }

  /** The job has failed; it is retried after a backoff, up to its maximum of attempts. */
  public void failed(Moment now, Span loopTime, long bytes) {
    if (state != State.RUNNING) {
      return;
    }
    updateEstimates(loopTime, bytes);
    scheduler.ended(this, now, loopTime, bytes, false);
    failures++;
    if (job.maxAttempts() > 0 && failures >= job.maxAttempts()) {
      state = State.ENDED;
      scheduler.finished(this, true);
      return;
    }
    rerunRequested = false;
    scheduleNext(now, now.plus(backoff.nextDelay()));
  }

  private void scheduleNext(Moment now, Moment nextDueAt) {
    if (rerunRequested) {
      rerunRequested = false;
      dueAt = now;
      state = State.WAITING;
    } else if (nextDueAt != null) {
      dueAt = nextDueAt;
      state = State.WAITING;
    } else {
      state = State.ENDED;
      scheduler.finished(this, false);
    }
  }

  /**
   * Adjusts the estimates to the measured values: up at once and down slowly, so that the budgets
   * are rather underused than exceeded.
   */
  private void updateEstimates(Span loopTime, long bytes) {
    estimatedLoopTime =
        estimatedLoopTime.isShorterThan(loopTime)
            ? loopTime
            : estimatedLoopTime.times(0.75).plus(loopTime.times(0.25));
    estimatedBytes = Math.max(bytes, (long) (0.75 * estimatedBytes + 0.25 * bytes));
  }

  /** Cancels the job. Work that has started is not undone; its result is ignored. */
  public void cancel() {
    if (state != State.ENDED) {
      boolean wasRunning = state == State.RUNNING;
      state = State.ENDED;
      scheduler.cancelled(this, wasRunning);
    }
  }

  void evicted() {
    state = State.ENDED;
  }
}
