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
    WAITS,
    RUNS,
    OVER
  }

  private final JobScheduler bench;
  private final Job job;
  private final long number;
  private final Backoff pause;
  private State state = State.WAITS;
  private Moment dueAt;
  private int failures;

  /** Submitted again while it runs: it is due at once when it ends. */
  private boolean again;

  private Span deskTime;
  private long bytes;
  private Span reservedTime = Span.NONE;
  private long reservedBytes;

  ScheduledJob(JobScheduler bench, Job chore, long number, Moment dueAt, Backoff pause) {
    this.bench = bench;
    this.job = chore;
    this.number = number;
    this.dueAt = dueAt;
    this.pause = pause;
    this.deskTime = chore.deskTime();
    this.bytes = chore.bytes();
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

  long number() {
    return number;
  }

  Moment dueAt() {
    return dueAt;
  }

  Span deskTime() {
    return deskTime;
  }

  long bytes() {
    return bytes;
  }

  /**
   * Smaller goes first: urgency, less what it has waited; one that is late for its bound goes
   * before all that are not.
   */
  long rank(Moment now, Span ageing) {
    Span waited = now.since(dueAt).orMore(Span.NONE);
    boolean late = Span.NONE.under(job.within()) && !waited.under(job.within());
    return (late ? Long.MIN_VALUE / 2 : 0) + job.urgency() * ageing.micros() - waited.micros();
  }

  void submittedAgain(Moment now) {
    if (state == State.RUNS) {
      again = true;
    } else if (now.before(dueAt) && failures == 0) {
      dueAt = now; // one that failed keeps its pause: wishing does not make what it needs come back
    }
  }

  void begins() {
    state = State.RUNS;
    reservedTime = deskTime;
    reservedBytes = bytes;
  }

  Span reservedTime() {
    return reservedTime;
  }

  long reservedBytes() {
    return reservedBytes;
  }

  /**
   * It has been done, and took so much. What is done every so often is due again, counted from now:
   * none is caught up on.
   */
  public void succeeded(Moment now, Span took, long moved) {
    if (state != State.RUNS) {
      return;
    }
    learn(took, moved);
    failures = 0;
    pause.reset();
    bench.ended(this, now, took, moved, true);
    next(now, Span.NONE.under(job.every()) ? now.plus(job.every()) : null);
  }

  /** It has failed, and took so much; it is tried again after a pause, as often as it may. */
  public void failed(Moment now, Span took, long moved) {
    if (state != State.RUNS) {
      return;
    }
    learn(took, moved);
    bench.ended(this, now, took, moved, false);
    failures++;
    if (job.tries() > 0 && failures >= job.tries()) {
      state = State.OVER;
      bench.over(this, true);
      return;
    }
    again = false;
    next(now, now.plus(pause.next()));
  }

  private void next(Moment now, Moment then) {
    if (again) {
      again = false;
      dueAt = now;
      state = State.WAITS;
    } else if (then != null) {
      dueAt = then;
      state = State.WAITS;
    } else {
      state = State.OVER;
      bench.over(this, false);
    }
  }

  /**
   * What it took moves what it is thought to take: up at once, down slowly, so that budgets are
   * rather kept than filled.
   */
  private void learn(Span took, long moved) {
    deskTime = deskTime.under(took) ? took : deskTime.times(0.75).plus(took.times(0.25));
    bytes = Math.max(moved, (long) (0.75 * bytes + 0.25 * moved));
  }

  /** It is not wanted any more. What it has begun is not undone; its end is passed over. */
  public void callOff() {
    if (state != State.OVER) {
      boolean ran = state == State.RUNS;
      state = State.OVER;
      bench.calledOff(this, ran);
    }
  }

  void leaves() {
    state = State.OVER;
  }
}
