package linengauge.flow;

/**
 * The budget of bytes that wait on one loop. Every peer has a floor that is kept for it; what is
 * over is shared by one limit for all, the part of the pool that is still free: a peer over the
 * limit gets nothing more until it takes, one under it always may. With n greedy peers each comes
 * to hold a part in n + 1 of it, and the last part stays free for the next peer that comes. Guards
 * against memory filled by many peers that do not read; it could hurt a fast viewer with a long
 * round trip while the pool is nearly full, which then has only its floor on the way.
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

  /** Whether a peer for which so much waits may be given another chunk. */
  boolean mayQueue(long queuedForPeer) {
    return !settings.enabled() || queuedForPeer < peerLimitBytes();
  }

  /** Bytes up to which any one peer may have more waiting now. */
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

  /** Bytes that wait, by the last counts. */
  public long queuedBytes() {
    return queuedBytes;
  }

  /** The most that ever waited. */
  public long peakQueuedBytes() {
    return peakQueuedBytes;
  }
}
