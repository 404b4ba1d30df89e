package linengauge.platform.connection;

import java.util.ArrayDeque;
import linengauge.Moment;
import linengauge.Span;

/**
 * Pieces that one connection has brought and that wait to be read, each with the moment after which
 * it came at the earliest. A loop reads from a connection in each of its turns, so a piece has come
 * since its beat before the last, at the earliest; but what follows a pause, or the taking of a
 * connection that waited for it, may have come as early as that began, and comes in several pieces.
 * Guards against counting a viewer's patience from the moment at which its request is read: in the
 * herd's day in virtual time (seed 11), viewers who asked behind forty viewings handed over were
 * set up after they had gone. It could hurt a viewer whose request comes right after a pause
 * without having waited: it is answered sooner than need be.
 */
public final class ReceiveQueue {
  /** Bytes that may wait before no more is taken from the connection. */
  public static final int MOST = 16 * 1024;

  /**
   * After so long in turn, a connection that has been taken brings nothing that had waited for
   * that.
   */
  private static final Span TAKEN = Span.ofMillis(500);

  /** What came, and after which moment. */
  public record Piece(byte[] data, Moment came) {}

  private final ArrayDeque<Piece> pieces = new ArrayDeque<>();
  private int bytes;
  private Moment last;

  /** What comes may have waited since then; null where it has not waited for the connection. */
  private Moment floor;

  /** All that waited for the connection comes in the turn of this moment, at the latest. */
  private Moment floorEnds;

  /** A connection taken now, which may have waited for that since then. */
  public ReceiveQueue(Moment cameAfter, Moment now) {
    this.floor = cameAfter;
    this.floorEnds = now.plus(TAKEN);
    this.last = cameAfter;
  }

  /** A piece comes; the loop's beat before the last one was then. */
  public void come(byte[] data, Moment beat, Moment now) {
    if (floor != null && floorEnds.before(beat)) {
      floor = null;
    }
    last = floor != null && floor.before(beat) ? floor : beat;
    if (now.before(floorEnds)) {
      floorEnds = now; // what follows at once has waited as well
    }
    pieces.add(new Piece(data, last));
    bytes += data.length;
  }

  /** The next piece, or null. */
  public Piece next() {
    Piece p = pieces.poll();
    bytes -= p == null ? 0 : p.data().length;
    return p;
  }

  /** Whether more is waiting than may, with that much of it in the reader's hands. */
  public boolean isFull(int inHand) {
    return bytes + inHand > MOST;
  }

  /**
   * Nothing is taken from the connection from here on: what waits there now came no earlier than
   * what came last.
   */
  public void paused() {
    floor = last;
  }

  /** Taken from again. */
  public void resumed(Moment now) {
    floorEnds = now;
  }
}
