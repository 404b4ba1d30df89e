package linengauge.consensus.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;

/**
 * One fault and the interval in which it is active.
 *
 * @param target the affected voter or follower, or the sender whose messages are lost
 * @param peer the receiver, for a fault of one direction between two processes
 */
public record Fault(Kind kind, int target, int peer, Moment from, Moment to) {
  /** Faults of one process, of one direction between two, and of all messages of a process. */
  public enum Kind {
    /** The voter ends, and restarts from its saved state at the end of the fault. */
    CRASH,
    /** The process is paused. */
    FREEZE,
    /** The voter cannot save its state. */
    DISK_FULL,
    /** The voter's messages leave 150 milliseconds late, as if each waited for a save. */
    SLOW_DISK,
    /** The voter restarts with an empty store; at the end an operator replaces it. */
    EMPTIED,
    /** Nothing that the voter sends arrives. */
    MUTE,
    /** Nothing that is sent to the voter arrives. */
    DEAF,
    /** Nothing that the target sends to the peer arrives; the other direction works. */
    CUT,
    /** Three in ten messages to and from the voter are lost. */
    LOSS,
    /** Messages to and from the voter take up to 0.9 seconds. */
    LATE,
    /** An operator removes the voter, and adds it again at the end. */
    CHANGE
  }

  /**
   * @return that many faults, generated from the seed; they begin in the first three quarters of
   *     the time until {@code end} and last up to a quarter of it, EMPTIED and CHANGE up to 3
   *     seconds
   */
  public static List<Fault> generate(long seed, int voters, int followers, int count, Span end) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Fault> all = new ArrayList<>();
    int emptied = 0;
    for (int i = 0; i < count; i++) {
      Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
      int target =
          random.nextInt(kind == Kind.FREEZE || kind == Kind.CUT ? voters + followers : voters);
      int peer = random.nextInt(voters);
      Moment from = new Moment(random.nextLong(end.micros() * 3 / 4));
      long longest = kind == Kind.EMPTIED || kind == Kind.CHANGE ? 3_000_000 : end.micros() / 4;
      Moment to = from.plus(new Span(50_000 + random.nextLong(longest)));
      if ((kind == Kind.EMPTIED || kind == Kind.CHANGE) && emptied++ > 0) {
        kind = Kind.CRASH; // three voters do not tolerate a second loss during a replacement
      }
      all.add(new Fault(kind, target, peer, from, to));
    }
    return all;
  }

  boolean isOn(Moment now) {
    return !now.isBefore(from) && now.isBefore(to);
  }

  @Override
  public String toString() {
    return String.format(
        java.util.Locale.ROOT,
        "%s %d %d %.2f-%.2f s",
        kind,
        target,
        peer,
        from.micros() / 1e6,
        to.micros() / 1e6);
  }
}
