package linengauge.flow;

import java.util.LinkedHashMap;
import linengauge.Moment;
import linengauge.Span;

/**
 * Limits how many slow peers may be disconnected within a window: a base number, plus a number for
 * each peer that makes progress. Progress counts for half of the owed time after which a peer can
 * be found slow. When peers are found slow because of a local fault, the progress made before that
 * fault has therefore expired.
 *
 * <p>This prevents a local fault from disconnecting everybody: when the uplink is saturated or the
 * machine is starved, no peer makes progress and hardly any peer is disconnected. The cost: where
 * all peers are slow, they are disconnected no faster than the base number allows.
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
   * When each peer last made progress, latest last. An entry expires after {@code
   * progressLifetime}; the oldest is removed when there are too many.
   */
  private final LinkedHashMap<Long, Moment> lastProgressByPeer = new LinkedHashMap<>();

  DisconnectBudget(FlowSettings settings) {
    // One slot less, since the current slot is incomplete.
    this.slotMicros = Math.max(1, settings.disconnectWindow().micros() / (SLOT_COUNT - 1));
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

  /** Advances the window by the elapsed time, up to this moment in loop time. */
  void advance(Span span, Moment loopTime) {
    lastProgressByPeer
        .values()
        .removeIf(lastProgress -> progressLifetime.isShorterThan(loopTime.since(lastProgress)));
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
