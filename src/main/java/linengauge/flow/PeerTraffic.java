package linengauge.flow;

import linengauge.Moment;
import linengauge.Span;

/**
 * Counts the queued and transferred bytes of one peer: a viewer's connection, which reads, or a
 * box's transfer, which sends. The data path only updates counters; they are evaluated at the ticks
 * of the loop.
 */
public final class PeerTraffic {
  /** The kind of peer: a viewer reads bytes, a box sends them. */
  public enum Side {
    VIEWER,
    BOX
  }

  /** The connection of the peer. */
  public interface Peer {
    /** Bytes that are queued in this process for the peer to read. */
    long queuedBytes();

    /**
     * The peer is too slow, and the budget allows its disconnection: it must release its bytes,
     * connections and streams now.
     */
    void disconnect(PeerTraffic traffic);

    /** Called when bytes were transferred since the last tick: the peer is not idle. */
    void progressed();

    /** More bytes may be queued for a paused viewer: reading from the box resumes. */
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

  /** While a transfer is in progress the peer may be owed bytes. */
  private int transfersInProgress;

  /** For a viewer: whether the buffer budget allows it no further bytes. */
  private boolean paused;

  /**
   * Start of the idle time; null while a transfer is in progress, or if one was at the last tick.
   */
  private Moment idleSince;

  /** For a box: whether bytes have been wanted since the last tick without interruption. */
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

  /** Bytes queued for the peer, as of the last update. */
  public long queuedBytes() {
    return queuedBytes;
  }

  /** Minimum rate of the peer while it is owed bytes. */
  public double minBytesPerSecond() {
    return minBytesPerSecond;
  }

  /** Transferred bytes per second of owed time. */
  public double bytesPerSecond() {
    return throughput.bytesPerSecond();
  }

  /** How long within the window the peer was owed bytes. */
  public Span owedTime() {
    return throughput.owedTime();
  }

  /* ---- notifications from the transport ---- */

  /** A transfer starts, with the minimum rate in bytes per second. */
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
   * Bytes were queued for a viewer. If true, no more may be queued: nothing is to be read from the
   * box until {@link #bytesDrained} returns true or {@link Peer#resume} is called.
   */
  public boolean bytesQueued(long bytes) {
    totalBytes += bytes;
    setQueuedBytes(queuedBytes + bytes);
    if (!detector.bufferBudget().mayQueue(queuedBytes)) {
      refreshQueuedBytes(); // the viewer may have read bytes since the last update
      paused = !detector.bufferBudget().mayQueue(queuedBytes);
    }
    return paused;
  }

  /** The transport reports that the viewer has read bytes; true if more may be queued. */
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

  /** Bytes were received from a box. */
  public void bytesReceived(long bytes) {
    totalBytes += bytes;
  }

  /**
   * Sets whether bytes are wanted from the box. None are wanted while the viewer does not keep up,
   * and after the last byte.
   */
  public void setBytesWanted(boolean isWanted) {
    bytesWanted = isWanted;
    bytesWantedSinceLastTick &= isWanted;
  }

  /** Removes the peer from the loop; no further notifications follow. */
  public void close() {
    if (open) {
      open = false;
      setQueuedBytes(0);
      detector.remove(this);
    }
  }

  /* ---- ticks of the loop ---- */

  /**
   * Records the bytes transferred in the loop time since the last tick. True if bytes were
   * transferred at no less than the minimum rate, which counts as progress.
   */
  boolean sample(Span span) {
    long movedBytes;
    boolean wasOwed;
    if (side == Side.VIEWER) {
      refreshQueuedBytes();
      movedBytes =
          Math.max(0, totalBytes - totalBytesAtLastTick + queuedBytesAtLastTick - queuedBytes);
      // Also true if the peer has read everything since: it was owed those bytes until then.
      wasOwed = queuedBytesAtLastTick > 0;
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

  /** Called after a tick: resumes a paused viewer if the buffer budget has room for it again. */
  void resumeIfAllowed() {
    if (paused && open && bytesDrained()) {
      peer.resume();
    }
  }

  /** The peer is not sampled until its next transfer. */
  void becameIdle(Moment loopTime) {
    idleSince = loopTime;
  }

  /** Whether the peer is slow at this moment in loop time. */
  boolean isSlow(Moment loopTime, FlowSettings settings) {
    return minBytesPerSecond > 0
        && !loopTime.since(openedAt).isShorterThan(settings.gracePeriod())
        && !throughput.owedTime().isShorterThan(settings.minOwedTime())
        && throughput.bytesPerSecond() < minBytesPerSecond;
  }

  /** Throughput as a fraction of the minimum rate; the smaller, the slower. */
  double fractionOfMinimum() {
    return throughput.bytesPerSecond() / minBytesPerSecond;
  }
}
