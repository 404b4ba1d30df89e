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
 * Decides which background job is done next, and when none is. Viewers come first: jobs have a
 * budget of the desk's time and of bytes in any window, and only a floor of both while the desk is
 * late. Among those that are due the most urgent goes first; each grows more urgent as it waits, so
 * none waits for ever, and one that is late for its own bound goes before all that are not. It
 * holds no clock, thread or timer: the carrier asks for the next job, and when to ask again.
 */
public final class JobScheduler {
  /** Why a submission was not taken up. */
  public enum Result {
    ACCEPTED,
    ALREADY_SUBMITTED,
    FULL,
    TOO_LARGE
  }

  /** What became of a submission: the job that stands for it, or null where it was refused. */
  public record Submission(Result result, ScheduledJob job) {}

  /** Counts since the start. */
  public static final class Counts {
    public long succeeded;
    public long failed;
    public long rejected;
    public long evicted;
    public long abandoned;

    /** Times that something due was held back by a budget. */
    public long deferred;
  }

  private final WorkSettings settings;
  private final SplittableRandom random;

  /**
   * By name, in the order taken up; a job leaves when it is over, and there are never more than the
   * terms say.
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

  /** The desk is so late now; none: it keeps up. */
  public void setLoopDelay(Span delay) {
    loopDelay = delay;
  }

  /**
   * Submits a chore to be done, from a moment on. One of the same name that waits or runs already
   * stands for it. Where all places are taken, the last in rank that is not running leaves for it,
   * if outranked, and is told so.
   */
  public Submission submit(Job job, Moment notBefore, Moment at) {
    advanceTo(at);
    ScheduledJob existing = jobs.get(job.name());
    if (existing != null) {
      existing.resubmitted(notBefore.orLater(now));
      return new Submission(Result.ALREADY_SUBMITTED, existing);
    }
    if (settings.loopTime().under(job.loopTime()) || job.bytes() > settings.bytes()) {
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
            notBefore.orLater(now),
            new Backoff(settings.initialBackoff(), settings.maxBackoff(), random.split()));
    jobs.put(job.name(), scheduled);
    return new Submission(Result.ACCEPTED, scheduled);
  }

  private boolean evictFor(Job job) {
    // By rank and not by urgency alone: one that has waited long enough is not put out by each
    // newcomer.
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
    lowest.job().action().abandoned(lowest);
    return true;
  }

  /**
   * The job to be run now, which counts as begun; null where none is due, or there is no budget for
   * it.
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
        // Reserved now, so that those at once cannot spend the same; set right when it ends.
        loopTimeUsage.add(scheduled.estimatedLoopTime().micros(), now);
        bytesUsage.add(scheduled.estimatedBytes(), now);
        return scheduled;
      }
      counts.deferred++;
      // What comes after it may not use up what it waits for, or a large job would wait for ever
      // behind small ones.
      isLoopTimeBlocked |= scheduled.estimatedLoopTime().micros() > 0;
      isBytesBlocked |= scheduled.estimatedBytes() > 0;
    }
    return null;
  }

  /** Those that wait and are due, the first to go in front. */
  private List<ScheduledJob> due() {
    List<ScheduledJob> due = new ArrayList<>();
    for (ScheduledJob scheduled : jobs.values()) {
      if (scheduled.state() == ScheduledJob.State.WAITING && !now.before(scheduled.dueAt())) {
        due.add(scheduled);
      }
    }
    due.sort(
        (a, b) -> {
          int byRank =
              Long.compare(
                  a.rank(now, settings.agingInterval()), b.rank(now, settings.agingInterval()));
          return byRank != 0 ? byRank : Long.compare(a.id(), b.id());
        });
    return due;
  }

  /**
   * Whether so much may be spent. While the desk is late a window that holds nothing may take one
   * job, however large.
   */
  private boolean fitsBudget(UsageWindow usage, long amount, long budget) {
    long used = usage.used(now);
    if (!isLoopLate()) {
      return used + amount <= budget;
    }
    return used == 0 || used + amount <= (long) (budget * settings.floor());
  }

  private boolean isLoopLate() {
    return !loopDelay.under(settings.lateThreshold());
  }

  /** When to ask again, where nothing else happens; null: not before something does. */
  public Moment nextPollAt() {
    Moment first = null;
    boolean isAnyDue = false;
    for (ScheduledJob scheduled : jobs.values()) {
      if (scheduled.state() == ScheduledJob.State.WAITING) {
        isAnyDue |= !now.before(scheduled.dueAt());
        first =
            now.before(scheduled.dueAt()) && (first == null || scheduled.dueAt().before(first))
                ? scheduled.dueAt()
                : first;
      }
    }
    if (isAnyDue && running < settings.maxRunning()) {
      for (UsageWindow usage : List.of(loopTimeUsage, bytesUsage)) {
        Moment expiryAt = usage.nextExpiryAt();
        first = expiryAt != null && (first == null || expiryAt.before(first)) ? expiryAt : first;
      }
    }
    return first;
  }

  private void advanceTo(Moment at) {
    now = now.orLater(at);
  }

  /* ---- what jobs tell ---- */

  void ended(
      ScheduledJob scheduled, Moment at, Span loopTime, long movedBytes, boolean hasSucceeded) {
    advanceTo(at);
    running--;
    // What was reserved is spent; what it took over that is spent now. What it took less stays
    // spent till it leaves.
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
