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

  private final SlowPeerDetector watch;
  private final Peer peer;
  private final Side side;
  private final long number;
  private final Moment since;
  private final Evidence evidence;
  private double minBytesPerSecond;
  private long total;
  private long totalAtLook;
  private long queuedBytes;
  private long waitingAtLook;
  private boolean open = true;

  /** A transfer is under way: the peer may come to be owed bytes. */
  private int underWay;

  /** For a viewer: the pool has nothing more for it now. */
  private boolean held;

  /** Since when it has had nothing under way; null while it has, or had at the last look. */
  private Moment idleSince;

  /** For a box: bytes have been wanted of it since the last look without a break. */
  private boolean wanted;

  private boolean wantedThroughout;

  PeerTraffic(
      SlowPeerDetector watch, Peer peer, Side side, long number, Moment since, Span window) {
    this.watch = watch;
    this.peer = peer;
    this.side = side;
    this.number = number;
    this.since = since;
    this.evidence = new Evidence(window);
  }

  public Side side() {
    return side;
  }

  long number() {
    return number;
  }

  Peer peer() {
    return peer;
  }

  boolean isOpen() {
    return open;
  }

  boolean isIdle() {
    return underWay == 0 && queuedBytes == 0;
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
    return evidence.rate();
  }

  /** How long within the window it was owed bytes. */
  public Span owedTime() {
    return evidence.owed();
  }

  /* ---- told by the carrier ---- */

  /** A transfer begins, with what the peer must move at the least, in bytes a second. */
  public void transferStarted(double leastPerSecond) {
    minBytesPerSecond = leastPerSecond;
    underWay++;
    if (idleSince != null && open) {
      evidence.passed(watch.own().since(idleSince), false, 0);
      idleSince = null;
    }
    watch.stirs(this);
  }

  public void transferEnded() {
    underWay--;
    recount();
  }

  /**
   * Bytes are handed on for a viewer to take; true where no more may wait for it now: the other
   * side is not to be read until {@link #bytesDrained} says so or {@link Peer#resume} is called.
   */
  public boolean bytesQueued(long bytes) {
    total += bytes;
    count(queuedBytes + bytes);
    if (!watch.bufferBudget().mayWait(queuedBytes)) {
      recount(); // what was taken since the last count has not been told
      held = !watch.bufferBudget().mayWait(queuedBytes);
    }
    return held;
  }

  /** The carrier has seen bytes taken; true where more may wait now. */
  public boolean bytesDrained() {
    recount();
    held &= !watch.bufferBudget().mayWait(queuedBytes);
    return !held;
  }

  private void recount() {
    if (side == Side.VIEWER && open) {
      count(Math.max(0, peer.queuedBytes()));
    }
  }

  private void count(long bytes) {
    watch.bufferBudget().changed(queuedBytes, bytes);
    queuedBytes = bytes;
  }

  /** Bytes have come from a box. */
  public void bytesReceived(long bytes) {
    total += bytes;
  }

  /**
   * Bytes are wanted of a box from now on, or no longer: the viewer holds it back, or all has come.
   */
  public void setBytesWanted(boolean now) {
    wanted = now;
    wantedThroughout &= now;
  }

  /** Nothing more will be told; it leaves the loop's table at once. */
  public void close() {
    if (open) {
      open = false;
      count(0);
      watch.leaves(this);
    }
  }

  /* ---- the loop's looks ---- */

  /** A span of own time has gone by since the last look; did it move? */
  boolean look(Span span) {
    long moved;
    boolean owedThroughout;
    if (side == Side.VIEWER) {
      recount();
      moved = Math.max(0, total - totalAtLook + waitingAtLook - queuedBytes);
      owedThroughout =
          waitingAtLook > 0; // also where it took the last of it: the wait for it has been counted
      waitingAtLook = queuedBytes;
    } else {
      moved = total - totalAtLook;
      owedThroughout = wantedThroughout && wanted;
      wantedThroughout = wanted;
    }
    totalAtLook = total;
    evidence.passed(span, owedThroughout, moved);
    if (moved > 0) {
      peer.progressed();
    }
    return moved > 0 && moved >= minBytesPerSecond * span.seconds();
  }

  /**
   * After a look: one that was held back goes on where the pool has come to have something for it.
   */
  void mayGoOn() {
    if (held && open && bytesDrained()) {
      peer.resume();
    }
  }

  /** It leaves the looks until its next transfer. */
  void rests(Moment own) {
    idleSince = own;
  }

  /** Slow by evidence, at this moment of the loop's own time. */
  boolean isSlow(Moment own, FlowSettings terms) {
    return minBytesPerSecond > 0
        && !own.since(since).under(terms.grace())
        && !evidence.owed().under(terms.evidence())
        && evidence.rate() < minBytesPerSecond;
  }

  /** How much of what it must move it moves; the smaller, the slower. */
  double part() {
    return evidence.rate() / minBytesPerSecond;
  }
}
