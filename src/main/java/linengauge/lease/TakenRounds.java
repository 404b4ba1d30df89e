package linengauge.lease;

import java.util.BitSet;
import java.util.TreeMap;

/**
 * Which rounds of one other control machine's evidence were taken in whole, and may be confirmed to
 * it: the last one and those of the 64 before it.
 */
final class TakenRounds {
  /** Rounds of which some parts have come. */
  private static final int MOST_OPEN = 4;

  private static final class OpenRound {
    private final BitSet parts = new BitSet();
    private boolean withheld;
  }

  private final TreeMap<Long, OpenRound> open = new TreeMap<>();
  private long last;
  private long before;

  /** The last round taken in whole; 0: none. */
  long last() {
    return last;
  }

  /** Bit 0: the round just before the last was taken in whole too; and so on. */
  long before() {
    return before;
  }

  /**
   * One part of a round came.
   *
   * @param withheld the round must not be confirmed
   */
  void part(LeaseMessage.Evidence evidence, boolean withheld) {
    OpenRound round = open.computeIfAbsent(evidence.round(), number -> new OpenRound());
    round.parts.set(evidence.part());
    round.withheld |= withheld;
    if (round.parts.cardinality() >= evidence.parts()) {
      open.remove(evidence.round());
      if (!round.withheld) {
        taken(evidence.round());
      }
    }
    if (open.size() > MOST_OPEN) {
      open.pollFirstEntry();
    }
  }

  private void taken(long round) {
    long ahead = round - last;
    if (ahead == 0) {
      return;
    }
    if (ahead > 0 && ahead <= Long.SIZE && last > 0) {
      before = (ahead == Long.SIZE ? 0 : before << ahead) | 1L << (ahead - 1);
      last = round;
    } else if (ahead < 0 && -ahead <= Long.SIZE) {
      before |= 1L << (-ahead - 1);
    } else { // its process began anew, at a round drawn: nothing of the life before is confirmed
      last = round;
      before = 0;
    }
  }

  /** Whether a confirmation of that last round and those before it covers a round. */
  static boolean covers(LeaseMessage.Evidence confirmation, long round) {
    long back = confirmation.confirmed() - round;
    if (back == 0) {
      return confirmation.confirmed() > 0;
    }
    return back > 0
        && back <= Long.SIZE
        && (confirmation.confirmedBefore() >>> (back - 1) & 1) == 1;
  }
}
