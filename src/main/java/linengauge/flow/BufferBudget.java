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
  private final FlowSettings terms;
  private final long shared;
  private long queuedBytes;
  private long over;
  private long peakQueuedBytes;

  BufferBudget(FlowSettings terms) {
    this.terms = terms;
    this.shared = terms.waitingBytes() - terms.peers() * (terms.floorBytes() + terms.chunkBytes());
  }

  /** Whether a peer for which so much waits may be given another chunk. */
  boolean mayWait(long waitingForIt) {
    return !terms.guards() || waitingForIt < limit();
  }

  /** Bytes up to which any one peer may have more waiting now. */
  public long limit() {
    return Math.min(terms.peerBytes(), terms.floorBytes() + Math.max(0, shared - over));
  }

  void changed(long from, long to) {
    queuedBytes += to - from;
    over += overFloor(to) - overFloor(from);
    peakQueuedBytes = Math.max(peakQueuedBytes, queuedBytes);
  }

  private long overFloor(long bytes) {
    return Math.max(0, bytes - terms.floorBytes() - terms.chunkBytes());
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
