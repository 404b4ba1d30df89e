package linengauge.flow;

import linengauge.Span;

/**
 * Measures, over a sliding window, how long a peer was owed bytes and how many were transferred.
 * The window advances only while the peer is active. Bytes transferred in a burst count fully, so
 * that a peer that pauses and then catches up is not slow. Bytes transferred before the window do
 * not count, so that a fast start does not excuse a later stall.
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

  /** Advances the window: whether the peer was owed bytes in this span, and how many moved. */
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

  /** Transferred bytes per second of owed time; infinite if no bytes were owed. */
  double bytesPerSecond() {
    return totalOwedMicros == 0
        ? Double.POSITIVE_INFINITY
        : totalMovedBytes * 1e6 / totalOwedMicros;
  }
}
