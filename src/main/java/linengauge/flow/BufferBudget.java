package linengauge.flow;

/**
 * Limits the bytes queued on one loop. A floor is reserved for every peer; the rest of the budget
 * is shared. A single limit applies to all peers: the floor plus the part of the shared budget that
 * is still free. A peer above the limit receives nothing more until it has read some of its bytes,
 * and a peer below the limit may always queue more. With n greedy peers each converges to 1/(n + 1)
 * of the shared budget, and the last such part stays free for the next peer.
 *
 * <p>This prevents many peers that do not read from filling the memory. The cost: while the budget
 * is nearly used up, a fast viewer with a long round-trip time has only its floor in flight.
 */
public final class BufferBudget {
  private final FlowSettings settings;
  private final long sharedBytes;
  private long queuedBytes;
  private long usedSharedBytes;
  private long peakQueuedBytes;

  BufferBudget(FlowSettings settings) {
    this.settings = settings;
    this.sharedBytes =
        settings.maxQueuedBytes()
            - settings.maxPeers() * (settings.floorBytes() + settings.chunkBytes());
  }

  /** Whether a peer with this many queued bytes may queue another chunk. */
  boolean mayQueue(long queuedForPeer) {
    return !settings.enabled() || queuedForPeer < peerLimitBytes();
  }

  /** A peer with fewer queued bytes than this may queue another chunk. */
  public long peerLimitBytes() {
    return Math.min(
        settings.maxQueuedBytesPerPeer(),
        settings.floorBytes() + Math.max(0, sharedBytes - usedSharedBytes));
  }

  void update(long oldBytes, long newBytes) {
    queuedBytes += newBytes - oldBytes;
    usedSharedBytes += bytesOverFloor(newBytes) - bytesOverFloor(oldBytes);
    peakQueuedBytes = Math.max(peakQueuedBytes, queuedBytes);
  }

  private long bytesOverFloor(long bytes) {
    return Math.max(0, bytes - settings.floorBytes() - settings.chunkBytes());
  }

  /** Bytes queued for all peers, as of their latest updates. */
  public long queuedBytes() {
    return queuedBytes;
  }

  /** The highest value of {@link #queuedBytes} so far. */
  public long peakQueuedBytes() {
    return peakQueuedBytes;
  }
}
