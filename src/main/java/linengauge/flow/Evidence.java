package linengauge.flow;

import linengauge.Span;

/**
 * How long a peer was owed bytes, and how many moved, over a window that slides in slots while it
 * has bytes on the way. What it took at once counts for it too: one that pauses and then catches up
 * has taken its part. What it took before the window does not, so that a fast start excuses no
 * later standstill.
 */
final class Evidence {
  private static final int SLOTS = 16;

  private final long slotMicros;
  private final long[] owed = new long[SLOTS];
  private final long[] moved = new long[SLOTS];
  private long owedInAll;
  private long movedInAll;
  private long passed;
  private int at;

  Evidence(Span window) {
    this.slotMicros = Math.max(1, window.micros() / SLOTS);
  }

  /** A span has gone by, in which the peer was owed bytes or not, and so many moved. */
  void passed(Span span, boolean wasOwed, long bytes) {
    moved[at] += bytes;
    movedInAll += bytes;
    if (wasOwed) {
      owed[at] += span.micros();
      owedInAll += span.micros();
    }
    passed += span.micros();
    for (int i = 0; passed >= slotMicros && i <= SLOTS; i++) {
      passed -= slotMicros;
      at = (at + 1) % SLOTS;
      owedInAll -= owed[at];
      movedInAll -= moved[at];
      owed[at] = 0;
      moved[at] = 0;
    }
    passed %= slotMicros;
  }

  Span owed() {
    return new Span(owedInAll);
  }

  /** Bytes for each second in which bytes were owed; what was never owed counts as endless. */
  double rate() {
    return owedInAll == 0 ? Double.POSITIVE_INFINITY : movedInAll * 1e6 / owedInAll;
  }
}
