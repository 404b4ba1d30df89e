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
    CRASH,
    FREEZE,
    DISK_FULL,
    SLOW_DISK,
    EMPTIED,
    MUTE,
    DEAF,
    CUT,
    LOSS,
    LATE,
    CHANGE
  }

  /**
   * @return that many faults, generated from the seed, all of which end by {@code end}
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
