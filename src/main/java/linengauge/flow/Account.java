package linengauge.flow;

import linengauge.Moment;
import linengauge.Span;

/**
 * What waits for one peer and what moves: a viewer's connection, which takes, or a box's transfer,
 * which brings. On the path of bytes it only counts; everything is weighed at the loop's looks.
 */
public final class Account {
  /** Which way the peer moves bytes. */
  public enum Side {
    VIEWER,
    BOX
  }

  /** The peer on its socket. */
  public interface Peer {
    /** Bytes that wait in this front for the peer to take them, now. */
    long waiting();

    /**
     * The peer is found slow and within the budget: its bytes, places and streams are to be given
     * back now.
     */
    void letGo(Account account);

    /** Bytes have moved since the last look: it is not idle. */
    void moved();

    /** A viewer that was held back may be given more: the other side is read again. */
    void goOn();
  }

  private final Watch watch;
  private final Peer peer;
  private final Side side;
  private final long number;
  private final Moment since;
  private final Evidence evidence;
  private double least;
  private long total;
  private long totalAtLook;
  private long waiting;
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

  Account(Watch watch, Peer peer, Side side, long number, Moment since, Span window) {
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
    return underWay == 0 && waiting == 0;
  }

  /** Bytes that waited for it when it was last counted. */
  public long waiting() {
    return waiting;
  }

  /** Bytes a second that it must move while it is owed any. */
  public double least() {
    return least;
  }

  /** Bytes that it moved for each second in which it was owed any. */
  public double rate() {
    return evidence.rate();
  }

  /** How long within the window it was owed bytes. */
  public Span owed() {
    return evidence.owed();
  }

  /* ---- told by the carrier ---- */

  /** A transfer begins, with what the peer must move at the least, in bytes a second. */
  public void begins(double leastPerSecond) {
    least = leastPerSecond;
    underWay++;
    if (idleSince != null && open) {
      evidence.passed(watch.own().since(idleSince), false, 0);
      idleSince = null;
    }
    watch.stirs(this);
  }

  public void ends() {
    underWay--;
    recount();
  }

  /**
   * Bytes are handed on for a viewer to take; true where no more may wait for it now: the other
   * side is not to be read until {@link #drained} says so or {@link Peer#goOn} is called.
   */
  public boolean queued(long bytes) {
    total += bytes;
    count(waiting + bytes);
    if (!watch.pool().mayWait(waiting)) {
      recount(); // what was taken since the last count has not been told
      held = !watch.pool().mayWait(waiting);
    }
    return held;
  }

  /** The carrier has seen bytes taken; true where more may wait now. */
  public boolean drained() {
    recount();
    held &= !watch.pool().mayWait(waiting);
    return !held;
  }

  private void recount() {
    if (side == Side.VIEWER && open) {
      count(Math.max(0, peer.waiting()));
    }
  }

  private void count(long bytes) {
    watch.pool().changed(waiting, bytes);
    waiting = bytes;
  }

  /** Bytes have come from a box. */
  public void came(long bytes) {
    total += bytes;
  }

  /**
   * Bytes are wanted of a box from now on, or no longer: the viewer holds it back, or all has come.
   */
  public void wanted(boolean now) {
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
      moved = Math.max(0, total - totalAtLook + waitingAtLook - waiting);
      owedThroughout =
          waitingAtLook > 0; // also where it took the last of it: the wait for it has been counted
      waitingAtLook = waiting;
    } else {
      moved = total - totalAtLook;
      owedThroughout = wantedThroughout && wanted;
      wantedThroughout = wanted;
    }
    totalAtLook = total;
    evidence.passed(span, owedThroughout, moved);
    if (moved > 0) {
      peer.moved();
    }
    return moved > 0 && moved >= least * span.seconds();
  }

  /**
   * After a look: one that was held back goes on where the pool has come to have something for it.
   */
  void mayGoOn() {
    if (held && open && drained()) {
      peer.goOn();
    }
  }

  /** It leaves the looks until its next transfer. */
  void rests(Moment own) {
    idleSince = own;
  }

  /** Slow by evidence, at this moment of the loop's own time. */
  boolean isSlow(Moment own, FlowTerms terms) {
    return least > 0
        && !own.since(since).under(terms.grace())
        && !evidence.owed().under(terms.evidence())
        && evidence.rate() < least;
  }

  /** How much of what it must move it moves; the smaller, the slower. */
  double part() {
    return evidence.rate() / least;
  }
}
