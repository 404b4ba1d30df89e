package linengauge.flow;

import linengauge.Moment;
import linengauge.Span;

/**
 * What waits for one peer and what moves: a viewer's connection, which takes, or a box's transfer,
 * which brings. On the path of bytes it only counts; everything is weighed at the loop's looks.
 */
public final class PeerTraffic {
  /** Which way the peer moves bytes. */
  public enum Side {
    VIEWER,
    BOX
  }

  /** The peer on its socket. */
  public interface Peer {
    /** Bytes that wait in this front for the peer to take them, now. */
    long queuedBytes();

    /**
     * The peer is found slow and within the budget: its bytes, places and streams are to be given
     * back now.
     */
    void disconnect(PeerTraffic account);

    /** Bytes have moved since the last look: it is not idle. */
    void progressed();

    /** A viewer that was held back may be given more: the other side is read again. */
    void resume();
  }

  private final SlowPeerDetector detector;
  private final Peer peer;
  private final Side side;
  private final long id;
  private final Moment openedAt;
  private final ThroughputWindow throughput;
  private double minBytesPerSecond;
  private long totalBytes;
  private long totalBytesAtLastTick;
  private long queuedBytes;
  private long queuedBytesAtLastTick;
  private boolean open = true;

  /** A transfer is under way: the peer may come to be owed bytes. */
  private int transfersInProgress;

  /** For a viewer: the pool has nothing more for it now. */
  private boolean paused;

  /** Since when it has had nothing under way; null while it has, or had at the last look. */
  private Moment idleSince;

  /** For a box: bytes have been wanted of it since the last look without a break. */
  private boolean bytesWanted;

  private boolean bytesWantedSinceLastTick;

  PeerTraffic(
      SlowPeerDetector detector, Peer peer, Side side, long id, Moment openedAt, Span window) {
    this.detector = detector;
    this.peer = peer;
    this.side = side;
    this.id = id;
    this.openedAt = openedAt;
    this.throughput = new ThroughputWindow(window);
  }

  public Side side() {
    return side;
  }

  long id() {
    return id;
  }

  Peer peer() {
    return peer;
  }

  boolean isOpen() {
    return open;
  }

  boolean isIdle() {
    return transfersInProgress == 0 && queuedBytes == 0;
  }

  /** Bytes that waited for it when it was last counted. */
  public long queuedBytes() {
    return queuedBytes;
  }

  /** Bytes a second that it must move while it is owed any. */
  public double minBytesPerSecond() {
    return minBytesPerSecond;
  }

  /** Bytes that it moved for each second in which it was owed any. */
  public double bytesPerSecond() {
    return throughput.bytesPerSecond();
  }

  /** How long within the window it was owed bytes. */
  public Span owedTime() {
    return throughput.owedTime();
  }

  /* ---- told by the carrier ---- */

  /** A transfer begins, with what the peer must move at the least, in bytes a second. */
  public void transferStarted(double minPerSecond) {
    minBytesPerSecond = minPerSecond;
    transfersInProgress++;
    if (idleSince != null && open) {
      throughput.advance(detector.loopTime().since(idleSince), false, 0);
      idleSince = null;
    }
    detector.activate(this);
  }

  public void transferEnded() {
    transfersInProgress--;
    refreshQueuedBytes();
  }

  /**
   * Bytes are handed on for a viewer to take; true where no more may wait for it now: the other
   * side is not to be read until {@link #bytesDrained} says so or {@link Peer#resume} is called.
   */
  public boolean bytesQueued(long bytes) {
    totalBytes += bytes;
    setQueuedBytes(queuedBytes + bytes);
    if (!detector.bufferBudget().mayQueue(queuedBytes)) {
      refreshQueuedBytes(); // what was taken since the last count has not been told
      paused = !detector.bufferBudget().mayQueue(queuedBytes);
    }
    return paused;
  }

  /** The carrier has seen bytes taken; true where more may wait now. */
  public boolean bytesDrained() {
    refreshQueuedBytes();
    paused &= !detector.bufferBudget().mayQueue(queuedBytes);
    return !paused;
  }

  private void refreshQueuedBytes() {
    if (side == Side.VIEWER && open) {
      setQueuedBytes(Math.max(0, peer.queuedBytes()));
    }
  }

  private void setQueuedBytes(long bytes) {
    detector.bufferBudget().update(queuedBytes, bytes);
    queuedBytes = bytes;
  }

  /** Bytes have come from a box. */
  public void bytesReceived(long bytes) {
    totalBytes += bytes;
  }

  /**
   * Bytes are wanted of a box from now on, or no longer: the viewer holds it back, or all has come.
   */
  public void setBytesWanted(boolean isWanted) {
    bytesWanted = isWanted;
    bytesWantedSinceLastTick &= isWanted;
  }

  /** Nothing more will be told; it leaves the loop's table at once. */
  public void close() {
    if (open) {
      open = false;
      setQueuedBytes(0);
      detector.remove(this);
    }
  }

  /* ---- the loop's looks ---- */

  /** A span of own time has gone by since the last look; did it move? */
  boolean sample(Span span) {
    long movedBytes;
    boolean wasOwed;
    if (side == Side.VIEWER) {
      refreshQueuedBytes();
      movedBytes =
          Math.max(0, totalBytes - totalBytesAtLastTick + queuedBytesAtLastTick - queuedBytes);
      wasOwed =
          queuedBytesAtLastTick
              > 0; // also where it took the last of it: the wait for it has been counted
      queuedBytesAtLastTick = queuedBytes;
    } else {
      movedBytes = totalBytes - totalBytesAtLastTick;
      wasOwed = bytesWantedSinceLastTick && bytesWanted;
      bytesWantedSinceLastTick = bytesWanted;
    }
    totalBytesAtLastTick = totalBytes;
    throughput.advance(span, wasOwed, movedBytes);
    if (movedBytes > 0) {
      peer.progressed();
    }
    return movedBytes > 0 && movedBytes >= minBytesPerSecond * span.seconds();
  }

  /**
   * After a look: one that was held back goes on where the pool has come to have something for it.
   */
  void resumeIfAllowed() {
    if (paused && open && bytesDrained()) {
      peer.resume();
    }
  }

  /** It leaves the looks until its next transfer. */
  void becameIdle(Moment loopTime) {
    idleSince = loopTime;
  }

  /** Slow by evidence, at this moment of the loop's own time. */
  boolean isSlow(Moment loopTime, FlowSettings settings) {
    return minBytesPerSecond > 0
        && !loopTime.since(openedAt).under(settings.gracePeriod())
        && !throughput.owedTime().under(settings.minOwedTime())
        && throughput.bytesPerSecond() < minBytesPerSecond;
  }

  /** How much of what it must move it moves; the smaller, the slower. */
  double fractionOfMinimum() {
    return throughput.bytesPerSecond() / minBytesPerSecond;
  }
}
