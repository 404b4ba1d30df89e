package linengauge.work;

import linengauge.Moment;
import linengauge.Span;
import linengauge.session.Backoff;

/**
 * One submission of a chore, from being taken up until it is done for good, given up or called off.
 */
public final class ScheduledJob {
  /** Where it stands. */
  public enum State {
    WAITING,
    RUNNING,
    ENDED
  }

  private final JobScheduler scheduler;
  private final Job job;
  private final long id;
  private final Backoff backoff;
  private State state = State.WAITING;
  private Moment dueAt;
  private int failures;

  /** Submitted again while it runs: it is due at once when it ends. */
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

  /** Failures in a row. */
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
   * Smaller goes first: urgency, less what it has waited; one that is late for its bound goes
   * before all that are not.
   */
  long rank(Moment now, Span ageing) {
    Span waited = now.since(dueAt).orMore(Span.NONE);
    boolean isLate = Span.NONE.under(job.startWithin()) && !waited.under(job.startWithin());
    return (isLate ? Long.MIN_VALUE / 2 : 0) + job.urgency() * ageing.micros() - waited.micros();
  }

  void resubmitted(Moment now) {
    if (state == State.RUNNING) {
      rerunRequested = true;
    } else if (now.before(dueAt) && failures == 0) {
      dueAt = now; // one that failed keeps its pause: wishing does not make what it needs come back
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
   * It has been done, and took so much. What is done every so often is due again, counted from now:
   * none is caught up on.
   */
  public void succeeded(Moment now, Span loopTime, long bytes) {
    if (state != State.RUNNING) {
      return;
    }
    updateEstimates(loopTime, bytes);
    failures = 0;
    backoff.reset();
    scheduler.ended(this, now, loopTime, bytes, true);
    scheduleNext(now, Span.NONE.under(job.interval()) ? now.plus(job.interval()) : null);
  }

  /** It has failed, and took so much; it is tried again after a pause, as often as it may. */
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
    scheduleNext(now, now.plus(backoff.next()));
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
   * What it took moves what it is thought to take: up at once, down slowly, so that budgets are
   * rather kept than filled.
   */
  private void updateEstimates(Span loopTime, long bytes) {
    estimatedLoopTime =
        estimatedLoopTime.under(loopTime)
            ? loopTime
            : estimatedLoopTime.times(0.75).plus(loopTime.times(0.25));
    estimatedBytes = Math.max(bytes, (long) (0.75 * estimatedBytes + 0.25 * bytes));
  }

  /** It is not wanted any more. What it has begun is not undone; its end is passed over. */
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
