package linengauge.flow;

import linengauge.Span;

/**
 * How long a peer was owed bytes, and how many moved, over a window that slides in slots while it
 * has bytes on the way. What it took at once counts for it too: one that pauses and then catches up
 * has taken its part. What it took before the window does not, so that a fast start excuses no
 * later standstill.
 */
final class ThroughputWindow {
  private static final int SLOT_COUNT = 16;

  private final long slotMicros;
  private final long[] owedMicrosBySlot = new long[SLOT_COUNT];
  private final long[] movedBytesBySlot = new long[SLOT_COUNT];
  private long totalOwedMicros;
  private long totalMovedBytes;
  private long microsInSlot;
  private int currentSlot;

  ThroughputWindow(Span window) {
    this.slotMicros = Math.max(1, window.micros() / SLOT_COUNT);
  }

  /** A span has gone by, in which the peer was owed bytes or not, and so many moved. */
  void advance(Span span, boolean wasOwed, long bytes) {
    movedBytesBySlot[currentSlot] += bytes;
    totalMovedBytes += bytes;
    if (wasOwed) {
      owedMicrosBySlot[currentSlot] += span.micros();
      totalOwedMicros += span.micros();
    }
    microsInSlot += span.micros();
    for (int i = 0; microsInSlot >= slotMicros && i <= SLOT_COUNT; i++) {
      microsInSlot -= slotMicros;
      currentSlot = (currentSlot + 1) % SLOT_COUNT;
      totalOwedMicros -= owedMicrosBySlot[currentSlot];
      totalMovedBytes -= movedBytesBySlot[currentSlot];
      owedMicrosBySlot[currentSlot] = 0;
      movedBytesBySlot[currentSlot] = 0;
    }
    microsInSlot %= slotMicros;
  }

  Span owedTime() {
    return new Span(totalOwedMicros);
  }

  /** Bytes for each second in which bytes were owed; what was never owed counts as endless. */
  double bytesPerSecond() {
    return totalOwedMicros == 0
        ? Double.POSITIVE_INFINITY
        : totalMovedBytes * 1e6 / totalOwedMicros;
  }
}
