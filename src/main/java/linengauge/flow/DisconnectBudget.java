package linengauge.flow;

import java.util.LinkedHashMap;
import linengauge.Moment;
import linengauge.Span;

/**
 * How many peers may be let go in a window: a least number, and more for each peer that moves. A
 * peer counts as moving for half the span that evidence takes, so that by the time anybody is found
 * slow for a fault of ours, those who moved before it are forgotten. Guards against emptying the
 * house for a fault of our own: where our uplink is full or our machine starved nobody moves, and
 * hardly anybody is let go. It could hurt where nobody but slow peers is there: they are then let
 * go no faster than the least number.
 */
final class DisconnectBudget {
  private static final int SLOT_COUNT = 16;

  private final long slotMicros;
  private final int baseDisconnects;
  private final double disconnectsPerProgressingPeer;
  private final Span progressLifetime;
  private final int maxPeers;
  private final int[] disconnectsBySlot = new int[SLOT_COUNT];
  private long microsInSlot;
  private int currentSlot;

  /**
   * When each peer last moved, the latest last; each leaves after its span, and the first where
   * there are too many.
   */
  private final LinkedHashMap<Long, Moment> lastProgressByPeer = new LinkedHashMap<>();

  DisconnectBudget(FlowSettings settings) {
    this.slotMicros =
        Math.max(
            1,
            settings.disconnectWindow().micros()
                / (SLOT_COUNT - 1)); // the present slot is not whole
    this.baseDisconnects = settings.baseDisconnects();
    this.disconnectsPerProgressingPeer = settings.disconnectsPerProgressingPeer();
    this.progressLifetime = settings.minOwedTime().times(0.5);
    this.maxPeers = settings.maxPeers();
  }

  void recordProgress(long peer, Moment loopTime) {
    lastProgressByPeer.remove(peer);
    lastProgressByPeer.put(peer, loopTime);
    if (lastProgressByPeer.size() > maxPeers) {
      lastProgressByPeer.remove(lastProgressByPeer.keySet().iterator().next());
    }
  }

  /** A span has gone by, up to this moment of the loop's own time. */
  void advance(Span span, Moment loopTime) {
    lastProgressByPeer
        .values()
        .removeIf(lastProgress -> progressLifetime.under(loopTime.since(lastProgress)));
    microsInSlot += span.micros();
    for (int i = 0; microsInSlot >= slotMicros && i <= SLOT_COUNT; i++) {
      microsInSlot -= slotMicros;
      currentSlot = (currentSlot + 1) % SLOT_COUNT;
      disconnectsBySlot[currentSlot] = 0;
    }
    microsInSlot %= slotMicros;
  }

  int progressingPeers() {
    return lastProgressByPeer.size();
  }

  int remaining() {
    int used = 0;
    for (int disconnects : disconnectsBySlot) {
      used += disconnects;
    }
    return Math.max(
        0,
        baseDisconnects + (int) (disconnectsPerProgressingPeer * lastProgressByPeer.size()) - used);
  }

  void recordDisconnect() {
    disconnectsBySlot[currentSlot]++;
  }
}
