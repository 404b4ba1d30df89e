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
 * Judges a simulated cluster by what each process holds and was told, never by their reasons: one
 * leader a term; one entry an index; reads that are not stale; the same state after as many
 * decisions; each proposal decided once.
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

  /** Enough is broken: more would say nothing new. */
  boolean hasEnoughViolations() {
    return violations.size() >= MAX_VIOLATIONS;
  }

  int elections() {
    return leaderOfTerm.size();
  }

  /** The highest index that any voter took for committed. */
  long lastCommitted() {
    return lastCommitted;
  }

  int acknowledgedCount() {
    return acknowledged.size();
  }

  /** Whoever proposed the value was told that it is decided. */
  void onAcknowledged(long value) {
    acknowledged.add(value);
  }

  void checkLeader(long term, int number) {
    Integer other = leaderOfTerm.putIfAbsent(term, number);
    if (other != null && other != number) {
      report("two led term " + term + ": " + other + " and " + number);
    }
  }

  /**
   * @param entry as that voter holds it; null where it has folded it into its snapshot
   */
  void checkCommitted(long index, Entry entry, int number) {
    Entry before = entry == null ? null : committed.putIfAbsent(index, entry);
    if (before != null && !before.equals(entry)) {
      report("entry " + index + " decided twice, at " + number + ": " + before + " and " + entry);
    }
    lastCommitted = Math.max(lastCommitted, index);
  }

  void checkApplied(long index, long value) {
    Long before = valueAt.putIfAbsent(index, value);
    if (before != null && before != value) {
      report("decision " + index + " is " + before + " and " + value);
    }
  }

  /** All that have decided as far hold the same. */
  void checkSameState(int number, long index, NumberLog machine) {
    int hash = Arrays.hashCode(machine.whole());
    Integer before = stateAfter.putIfAbsent(index, hash);
    if (before != null && before != hash) {
      report(number + " holds another state after " + index + " decisions");
    }
  }

  void checkMonotonic(int number, long before, long index) {
    if (index < before) {
      report("front " + number + " goes back from " + before + " to " + index);
    }
  }

  /**
   * @param committedThen what was committed when the front asked
   */
  void checkRead(int number, long index, long committedAtRequest) {
    if (index < committedAtRequest) {
      report(
          number
              + " is sure at "
              + index
              + ", and "
              + committedAtRequest
              + " had been decided when it asked");
    }
  }

  /* ---- long after the last fault ---- */

  void checkSingleLeader(long leaders) {
    if (leaders != 1) {
      report(leaders + " lead at the end");
    }
  }

  void checkProgress(int acknowledgedBefore) {
    if (acknowledged.size() <= acknowledgedBefore) {
      report("nothing is decided at the end");
    }
  }

  void checkCaughtUp(int number, long index) {
    if (index < lastCommitted) {
      report(number + " knows " + index + " of " + lastCommitted);
    }
  }

  /** A proposal is decided once, and who is told so finds it decided. */
  void checkAppliedOnce() {
    Map<Long, Integer> times = new TreeMap<>();
    valueAt.values().forEach(value -> times.merge(value, 1, Integer::sum));
    times.forEach(
        (value, count) -> {
          if (count > 1) {
            report("proposal " + value + " is decided " + count + " times");
          }
        });
    for (long value : acknowledged) {
      int count = times.getOrDefault(value, 0);
      if (count != 1) {
        report("proposal " + value + " was told decided, and is so " + count + " times");
      }
    }
  }
}
