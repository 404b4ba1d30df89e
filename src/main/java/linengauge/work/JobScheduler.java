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
  public enum Answer {
    TAKEN,
    ONE_WAITS,
    FULL,
    TOO_LARGE
  }

  /** What became of a submission: the job that stands for it, or null where it was refused. */
  public record Submission(Answer answer, ScheduledJob job) {}

  /** Counts since the start. */
  public static final class Counts {
    public long succeeded;
    public long failed;
    public long rejected;
    public long evicted;
    public long givenUp;

    /** Times that something due was held back by a budget. */
    public long deferred;
  }

  private final WorkSettings terms;
  private final SplittableRandom chance;

  /**
   * By name, in the order taken up; a job leaves when it is over, and there are never more than the
   * terms say.
   */
  private final Map<String, ScheduledJob> jobs = new LinkedHashMap<>();

  private final Spending desk;
  private final Spending bytes;
  private final Counts counts = new Counts();
  private Span late = Span.NONE;
  private Moment now = Moment.DISTANT_PAST;
  private int running;
  private long number;

  public JobScheduler(WorkSettings terms, long seed) {
    this.terms = terms;
    this.chance = new SplittableRandom(seed);
    this.desk = new Spending(terms.window());
    this.bytes = new Spending(terms.window());
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
  public void setLoopDelay(Span by) {
    late = by;
  }

  /**
   * Submits a chore to be done, from a moment on. One of the same name that waits or runs already
   * stands for it. Where all places are taken, the last in rank that is not running leaves for it,
   * if outranked, and is told so.
   */
  public Submission submit(Job chore, Moment from, Moment at) {
    tell(at);
    ScheduledJob same = jobs.get(chore.name());
    if (same != null) {
      same.submittedAgain(from.orLater(now));
      return new Submission(Answer.ONE_WAITS, same);
    }
    if (terms.deskTime().under(chore.deskTime()) || chore.bytes() > terms.bytes()) {
      counts.rejected++;
      return new Submission(Answer.TOO_LARGE, null);
    }
    if (jobs.size() >= terms.jobs() && !makeRoom(chore)) {
      counts.rejected++;
      return new Submission(Answer.FULL, null);
    }
    ScheduledJob j =
        new ScheduledJob(
            this,
            chore,
            number++,
            from.orLater(now),
            new Backoff(terms.firstPause(), terms.mostPause(), chance.split()));
    jobs.put(chore.name(), j);
    return new Submission(Answer.TAKEN, j);
  }

  private boolean makeRoom(Job newcomer) {
    // By rank and not by urgency alone: one that has waited long enough is not put out by each
    // newcomer.
    long rank = newcomer.urgency() * terms.ageing().micros();
    ScheduledJob least = null;
    for (ScheduledJob j : jobs.values()) {
      if (j.state() == ScheduledJob.State.WAITS
          && j.rank(now, terms.ageing()) > rank
          && (least == null || j.rank(now, terms.ageing()) >= least.rank(now, terms.ageing()))) {
        least = j;
      }
    }
    if (least == null) {
      return false;
    }
    counts.evicted++;
    jobs.remove(least.job().name());
    least.leaves();
    least.job().action().givenUp(least);
    return true;
  }

  /**
   * The job to be run now, which counts as begun; null where none is due, or there is no budget for
   * it.
   */
  public ScheduledJob nextJob(Moment at) {
    tell(at);
    if (running >= terms.atOnce()) {
      return null;
    }
    boolean deskBlocked = false;
    boolean bytesBlocked = false;
    for (ScheduledJob j : due()) {
      boolean deskFits =
          j.deskTime().micros() == 0
              || !deskBlocked && fits(desk, j.deskTime().micros(), terms.deskTime().micros());
      boolean bytesFit = j.bytes() == 0 || !bytesBlocked && fits(bytes, j.bytes(), terms.bytes());
      if (deskFits && bytesFit) {
        j.begins();
        running++;
        // Reserved now, so that those at once cannot spend the same; set right when it ends.
        desk.spend(j.deskTime().micros(), now);
        bytes.spend(j.bytes(), now);
        return j;
      }
      counts.deferred++;
      // What comes after it may not use up what it waits for, or a large job would wait for ever
      // behind small ones.
      deskBlocked |= j.deskTime().micros() > 0;
      bytesBlocked |= j.bytes() > 0;
    }
    return null;
  }

  /** Those that wait and are due, the first to go in front. */
  private List<ScheduledJob> due() {
    List<ScheduledJob> due = new ArrayList<>();
    for (ScheduledJob j : jobs.values()) {
      if (j.state() == ScheduledJob.State.WAITS && !now.before(j.dueAt())) {
        due.add(j);
      }
    }
    due.sort(
        (a, b) -> {
          int byRank = Long.compare(a.rank(now, terms.ageing()), b.rank(now, terms.ageing()));
          return byRank != 0 ? byRank : Long.compare(a.number(), b.number());
        });
    return due;
  }

  /**
   * Whether so much may be spent. While the desk is late a window that holds nothing may take one
   * job, however large.
   */
  private boolean fits(Spending spending, long much, long budget) {
    long spent = spending.spent(now);
    if (!isLate()) {
      return spent + much <= budget;
    }
    return spent == 0 || spent + much <= (long) (budget * terms.floor());
  }

  private boolean isLate() {
    return !late.under(terms.lateFrom());
  }

  /** When to ask again, where nothing else happens; null: not before something does. */
  public Moment nextPollAt() {
    Moment first = null;
    boolean held = false;
    for (ScheduledJob j : jobs.values()) {
      if (j.state() == ScheduledJob.State.WAITS) {
        held |= !now.before(j.dueAt());
        first =
            now.before(j.dueAt()) && (first == null || j.dueAt().before(first)) ? j.dueAt() : first;
      }
    }
    if (held && running < terms.atOnce()) {
      for (Spending s : List.of(desk, bytes)) {
        Moment eases = s.easesAt();
        first = eases != null && (first == null || eases.before(first)) ? eases : first;
      }
    }
    return first;
  }

  private void tell(Moment at) {
    now = now.orLater(at);
  }

  /* ---- what jobs tell ---- */

  void ended(ScheduledJob j, Moment at, Span took, long moved, boolean well) {
    tell(at);
    running--;
    // What was reserved is spent; what it took over that is spent now. What it took less stays
    // spent till it leaves.
    desk.spend(Math.max(0, took.minus(j.reservedTime()).micros()), now);
    bytes.spend(Math.max(0, moved - j.reservedBytes()), now);
    counts.succeeded += well ? 1 : 0;
    counts.failed += well ? 0 : 1;
  }

  void calledOff(ScheduledJob j, boolean ran) {
    running -= ran ? 1 : 0;
    jobs.remove(j.job().name(), j);
  }

  void over(ScheduledJob j, boolean givenUp) {
    jobs.remove(j.job().name(), j);
    if (givenUp) {
      counts.givenUp++;
      j.job().action().givenUp(j);
    }
  }
}
