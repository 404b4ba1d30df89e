package linengauge.work;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.session.Backoff;

/**
 * Decides which background job runs next, if any. Viewers take precedence: in any window jobs have
 * limited budgets of session loop time and of bytes, and only the floor of both while the session
 * loop is late. Due jobs run in ascending order of their rank ({@link ScheduledJob#rank}): the most
 * urgent first. The rank falls with waiting time, so that no job starves, and a job over its own
 * start limit precedes all that are not. The scheduler has no clock, thread or timer: the caller
 * polls for the next job, and asks when to poll again.
 */
public final class JobScheduler {
  /** The result of a submission. */
  public enum Result {
    ACCEPTED,
    /** A job of the same name is waiting or running. */
    ALREADY_SUBMITTED,
    /** There are as many jobs as allowed, and the new one precedes none that is waiting. */
    FULL,
    /** The estimate exceeds a whole budget. */
    TOO_LARGE
  }

  /**
   * A submission's result, with the scheduled job; the job is null if the submission was rejected.
   */
  public record Submission(Result result, ScheduledJob job) {}

  /** Counters since the start. */
  public static final class Counts {
    public long succeeded;
    public long failed;
    public long rejected;
    public long evicted;
    public long abandoned;

    /** How often a due job was deferred by a budget. */
    public long deferred;
  }

  private final WorkSettings settings;
  private final SplittableRandom random;

  /**
   * Jobs by name, in the order of submission. A job is removed when it has ended; the size is
   * limited by {@link WorkSettings#maxJobs}.
   */
  private final Map<String, ScheduledJob> jobs = new LinkedHashMap<>();

  private final UsageWindow loopTimeUsage;
  private final UsageWindow bytesUsage;
  private final Counts counts = new Counts();
  private Span loopDelay = Span.NONE;
  private Moment now = Moment.DISTANT_PAST;
  private int running;
  private long nextId;

  public JobScheduler(WorkSettings settings, long seed) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    this.loopTimeUsage = new UsageWindow(settings.window());
    this.bytesUsage = new UsageWindow(settings.window());
  }

  public Counts counts() {
    return counts;
  }

  public int jobs() {
    return jobs.size();
  }

  public int running() {
    return running;
  }

  /** Sets how late the session loop is; none: it is on time. */
  public void setLoopDelay(Span delay) {
    loopDelay = delay;
  }

  /**
   * Submits a job that is due at {@code notBefore}. If a job of the same name is waiting or
   * running, that one is returned. If the scheduler is full, the waiting job that would run last,
   * which is the one of the greatest rank, is evicted and notified, provided that the rank of the
   * new job is smaller.
   */
  public Submission submit(Job job, Moment notBefore, Moment at) {
    advanceTo(at);
    ScheduledJob existing = jobs.get(job.name());
    if (existing != null) {
      existing.resubmitted(notBefore.max(now));
      return new Submission(Result.ALREADY_SUBMITTED, existing);
    }
    if (settings.loopTime().isShorterThan(job.loopTime()) || job.bytes() > settings.bytes()) {
      counts.rejected++;
      return new Submission(Result.TOO_LARGE, null);
    }
    if (jobs.size() >= settings.maxJobs() && !evictFor(job)) {
      counts.rejected++;
      return new Submission(Result.FULL, null);
    }
    ScheduledJob scheduled =
        new ScheduledJob(
            this,
            job,
            nextId++,
            notBefore.max(now),
            new Backoff(settings.initialBackoff(), settings.maxBackoff(), random.split()));
    jobs.put(job.name(), scheduled);
    return new Submission(Result.ACCEPTED, scheduled);
  }

  private boolean evictFor(Job job) {
    // By rank rather than by urgency alone: otherwise every new job could evict a job that has
    // been waiting for a long time. The smallest rank runs first; {@code lowest} is the job that
    // would run last, the one of the greatest rank.
    long rank = job.urgency() * settings.agingInterval().micros();
    ScheduledJob lowest = null;
    for (ScheduledJob scheduled : jobs.values()) {
      if (scheduled.state() == ScheduledJob.State.WAITING
          && scheduled.rank(now, settings.agingInterval()) > rank
          && (lowest == null
              || scheduled.rank(now, settings.agingInterval())
                  >= lowest.rank(now, settings.agingInterval()))) {
        lowest = scheduled;
      }
    }
    if (lowest == null) {
      return false;
    }
    counts.evicted++;
    jobs.remove(lowest.job().name());
    lowest.evicted();
    // Notified like a job that has failed for the last time, but counted as evicted only.
    lowest.job().action().abandoned(lowest);
    return true;
  }

  /**
   * Returns the job to run now and marks it as started; null if no job is due or the budgets allow
   * none.
   */
  public ScheduledJob nextJob(Moment at) {
    advanceTo(at);
    if (running >= settings.maxRunning()) {
      return null;
    }
    boolean isLoopTimeBlocked = false;
    boolean isBytesBlocked = false;
    for (ScheduledJob scheduled : due()) {
      boolean loopTimeFits =
          scheduled.estimatedLoopTime().micros() == 0
              || !isLoopTimeBlocked
                  && fitsBudget(
                      loopTimeUsage,
                      scheduled.estimatedLoopTime().micros(),
                      settings.loopTime().micros());
      boolean bytesFit =
          scheduled.estimatedBytes() == 0
              || !isBytesBlocked
                  && fitsBudget(bytesUsage, scheduled.estimatedBytes(), settings.bytes());
      if (loopTimeFits && bytesFit) {
        scheduled.started();
        running++;
        // Reserved at the start, so that concurrent jobs cannot use the same budget; corrected at
        // the end.
        loopTimeUsage.add(scheduled.estimatedLoopTime().micros(), now);
        bytesUsage.add(scheduled.estimatedBytes(), now);
        return scheduled;
      }
      counts.deferred++;
      // A later job may not use the budget that this one waits for: otherwise small jobs could
      // starve a large one.
      isLoopTimeBlocked |= scheduled.estimatedLoopTime().micros() > 0;
      isBytesBlocked |= scheduled.estimatedBytes() > 0;
    }
    return null;
  }

  /** Jobs that are waiting and due, by ascending rank, which is the order in which they run. */
  private List<ScheduledJob> due() {
    List<ScheduledJob> due = new ArrayList<>();
    for (ScheduledJob scheduled : jobs.values()) {
      if (scheduled.state() == ScheduledJob.State.WAITING && !now.isBefore(scheduled.dueAt())) {
        due.add(scheduled);
      }
    }
    due.sort(
        (first, second) -> {
          int byRank =
              Long.compare(
                  first.rank(now, settings.agingInterval()),
                  second.rank(now, settings.agingInterval()));
          return byRank != 0 ? byRank : Long.compare(first.id(), second.id());
        });
    return due;
  }

  /**
   * Whether the budget allows this amount. While the session loop is late, an empty window admits
   * one job of any size; otherwise a job larger than the floor would never run.
   */
  private boolean fitsBudget(UsageWindow usage, long amount, long budget) {
    long used = usage.used(now);
    if (!isLoopLate()) {
      return used + amount <= budget;
    }
    return used == 0 || used + amount <= (long) (budget * settings.floor());
  }

  private boolean isLoopLate() {
    return !loopDelay.isShorterThan(settings.lateThreshold());
  }

  /** When to poll again if nothing else happens; null: only after another event. */
  public Moment nextPollAt() {
    Moment first = null;
    boolean isAnyDue = false;
    for (ScheduledJob scheduled : jobs.values()) {
      if (scheduled.state() == ScheduledJob.State.WAITING) {
        isAnyDue |= !now.isBefore(scheduled.dueAt());
        first =
            now.isBefore(scheduled.dueAt()) && (first == null || scheduled.dueAt().isBefore(first))
                ? scheduled.dueAt()
                : first;
      }
    }
    if (isAnyDue && running < settings.maxRunning()) {
      for (UsageWindow usage : List.of(loopTimeUsage, bytesUsage)) {
        Moment expiryAt = usage.nextExpiryAt();
        first = expiryAt != null && (first == null || expiryAt.isBefore(first)) ? expiryAt : first;
      }
    }
    return first;
  }

  private void advanceTo(Moment at) {
    now = now.max(at);
  }

  /* ---- notifications from jobs ---- */

  void ended(
      ScheduledJob scheduled, Moment at, Span loopTime, long movedBytes, boolean hasSucceeded) {
    advanceTo(at);
    running--;
    // The reserved amount is used already, so only the excess is added. An amount reserved but not
    // used stays counted until it leaves the window.
    loopTimeUsage.add(Math.max(0, loopTime.minus(scheduled.reservedLoopTime()).micros()), now);
    bytesUsage.add(Math.max(0, movedBytes - scheduled.reservedBytes()), now);
    counts.succeeded += hasSucceeded ? 1 : 0;
    counts.failed += hasSucceeded ? 0 : 1;
  }

  void cancelled(ScheduledJob scheduled, boolean wasRunning) {
    running -= wasRunning ? 1 : 0;
    jobs.remove(scheduled.job().name(), scheduled);
  }

  void finished(ScheduledJob scheduled, boolean isAbandoned) {
    jobs.remove(scheduled.job().name(), scheduled);
    if (isAbandoned) {
      counts.abandoned++;
      scheduled.job().action().abandoned(scheduled);
    }
  }
}
