package linengauge.consensus.explore;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import linengauge.consensus.Entry;
import linengauge.virtualtime.EventQueue;

/**
 * Checks a simulated cluster by the state that each process holds and the answers that it receives,
 * independently of how the protocol reached them: one leader per term, one committed entry per
 * index, no stale reads, equal state at equal index, and each proposal applied at most once.
 */
final class ClusterInvariants {
  private static final int MAX_VIOLATIONS = 8;

  private final EventQueue time;
  private final List<String> violations = new ArrayList<>();
  private final Map<Long, Integer> leaderOfTerm = new HashMap<>();
  private final Map<Long, Entry> committed = new HashMap<>();
  private final Map<Long, Long> valueAt = new HashMap<>();
  private final Map<Long, Integer> stateAfter = new HashMap<>();
  private final Set<Long> acknowledged = new HashSet<>();
  private long lastCommitted;

  ClusterInvariants(EventQueue time) {
    this.time = time;
  }

  void report(String what) {
    double seconds = time.now().micros() / 1e6;
    violations.add(String.format(Locale.ROOT, "%.3f s: ", seconds) + what);
  }

  List<String> violations() {
    return List.copyOf(violations);
  }

  /** Whether the run may stop: further violations add no information. */
  boolean hasEnoughViolations() {
    return violations.size() >= MAX_VIOLATIONS;
  }

  int elections() {
    return leaderOfTerm.size();
  }

  /** The highest index that any voter considers committed. */
  long lastCommitted() {
    return lastCommitted;
  }

  int acknowledgedCount() {
    return acknowledged.size();
  }

  /** The proposer of the value was notified that it is committed. */
  void onAcknowledged(long value) {
    acknowledged.add(value);
  }

  void checkLeader(long term, int number) {
    Integer other = leaderOfTerm.putIfAbsent(term, number);
    if (other != null && other != number) {
      report("two leaders in term " + term + ": " + other + " and " + number);
    }
  }

  /**
   * @param entry as that voter holds it; null if it is compacted into the snapshot
   */
  void checkCommitted(long index, Entry entry, int number) {
    Entry before = entry == null ? null : committed.putIfAbsent(index, entry);
    if (before != null && !before.equals(entry)) {
      report("entry " + index + " committed twice, at " + number + ": " + before + " and " + entry);
    }
    lastCommitted = Math.max(lastCommitted, index);
  }

  void checkApplied(long index, long value) {
    Long before = valueAt.putIfAbsent(index, value);
    if (before != null && before != value) {
      report("entry " + index + " was applied as " + before + " and as " + value);
    }
  }

  /** All processes that have applied the same index hold the same state. */
  void checkSameState(int number, long index, NumberLog machine) {
    int hash = Arrays.hashCode(machine.whole());
    Integer before = stateAfter.putIfAbsent(index, hash);
    if (before != null && before != hash) {
      report(number + " holds a different state after " + index + " entries");
    }
  }

  void checkMonotonic(int number, long before, long index) {
    if (index < before) {
      report("follower " + number + " goes back from " + before + " to " + index);
    }
  }

  /**
   * @param committedAtRequest the committed index when the follower requested the read
   */
  void checkRead(int number, long index, long committedAtRequest) {
    if (index < committedAtRequest) {
      report(
          number
              + " confirmed a read at "
              + index
              + ", and "
              + committedAtRequest
              + " was committed at the request");
    }
  }

  /* ---- after recovery from the last fault ---- */

  void checkSingleLeader(long leaders) {
    if (leaders != 1) {
      report(leaders + " leaders at the end");
    }
  }

  void checkProgress(int acknowledgedBefore) {
    if (acknowledged.size() <= acknowledgedBefore) {
      report("no proposal is committed at the end");
    }
  }

  void checkCaughtUp(int number, long index) {
    if (index < lastCommitted) {
      report(number + " knows " + index + " of " + lastCommitted);
    }
  }

  /** A proposal is applied at most once, and exactly once if it was acknowledged. */
  void checkAppliedOnce() {
    Map<Long, Integer> times = new TreeMap<>();
    valueAt.values().forEach(value -> times.merge(value, 1, Integer::sum));
    times.forEach(
        (value, count) -> {
          if (count > 1) {
            report("proposal " + value + " is applied " + count + " times");
          }
        });
    for (long value : acknowledged) {
      int count = times.getOrDefault(value, 0);
      if (count != 1) {
        report("proposal " + value + " was acknowledged and is applied " + count + " times");
      }
    }
  }
}
