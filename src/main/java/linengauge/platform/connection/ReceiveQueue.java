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
  public static final int MAX_QUEUED_BYTES = 16 * 1024;

  /**
   * After so long in turn, a connection that has been taken brings nothing that had waited for
   * that.
   */
  private static final Span BACKLOG_READ_TIME = Span.ofMillis(500);

  /** What came, and after which moment. */
  public record Chunk(byte[] data, Moment earliestArrival) {}

  private final ArrayDeque<Chunk> chunks = new ArrayDeque<>();
  private int queuedBytes;
  private Moment lastArrival;

  /** What comes may have waited since then; null where it has not waited for the connection. */
  private Moment arrivalFloor;

  /** All that waited for the connection comes in the turn of this moment, at the latest. */
  private Moment arrivalFloorEnds;

  /** A connection taken now, which may have waited for that since then. */
  public ReceiveQueue(Moment earliestArrival, Moment now) {
    this.arrivalFloor = earliestArrival;
    this.arrivalFloorEnds = now.plus(BACKLOG_READ_TIME);
    this.lastArrival = earliestArrival;
  }

  /** A piece comes; the loop's beat before the last one was then. */
  public void add(byte[] data, Moment previousTick, Moment now) {
    if (arrivalFloor != null && arrivalFloorEnds.before(previousTick)) {
      arrivalFloor = null;
    }
    lastArrival =
        arrivalFloor != null && arrivalFloor.before(previousTick) ? arrivalFloor : previousTick;
    if (now.before(arrivalFloorEnds)) {
      arrivalFloorEnds = now; // what follows at once has waited as well
    }
    chunks.add(new Chunk(data, lastArrival));
    queuedBytes += data.length;
  }

  /** The next piece, or null. */
  public Chunk poll() {
    Chunk chunk = chunks.poll();
    queuedBytes -= chunk == null ? 0 : chunk.data().length;
    return chunk;
  }

  /** Whether more is waiting than may, with that much of it in the reader's hands. */
  public boolean isFull(int unreadBytes) {
    return queuedBytes + unreadBytes > MAX_QUEUED_BYTES;
  }

  /**
   * Nothing is taken from the connection from here on: what waits there now came no earlier than
   * what came last.
   */
  public void onPaused() {
    arrivalFloor = lastArrival;
  }

  /** Taken from again. */
  public void onResumed(Moment now) {
    arrivalFloorEnds = now;
  }
}
