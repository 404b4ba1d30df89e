package linengauge.platform.connection;

import java.util.ArrayDeque;
import linengauge.Moment;
import linengauge.Span;

/**
 * Chunks received on one connection and waiting to be decoded, each with its earliest possible
 * arrival.
 *
 * <p>The loop reads every connection in each turn, so a chunk arrived no earlier than the tick
 * before the last one. But the data that follows a pause, or that waited for its connection to be
 * accepted, may be as old as the beginning of that wait, and comes in several chunks. Counting a
 * client's time limit from the moment at which its request is read would be wrong: clients whose
 * requests wait behind forty hand-overs would be set up after they have left. The estimate is
 * conservative: a request that arrives right after a pause without having waited may be answered
 * earlier than necessary.
 */
public final class ReceiveQueue {
  /** Maximum number of undecoded bytes before reading from the connection is paused. */
  public static final int MAX_QUEUED_BYTES = 16 * 1024;

  /** Time after which an accepted connection delivers no more data that waited for the accept. */
  private static final Span BACKLOG_READ_TIME = Span.ofMillis(500);

  /** Received data and the moment after which it has arrived. */
  public record Chunk(byte[] data, Moment earliestArrival) {}

  private final ArrayDeque<Chunk> chunks = new ArrayDeque<>();
  private int queuedBytes;
  private Moment lastArrival;

  /** Since when incoming data may have been waiting; null if it has not waited. */
  private Moment arrivalFloor;

  /** All data that waited arrives, at the latest, in the turn of this moment. */
  private Moment arrivalFloorEnds;

  /** Creates the queue of a connection accepted now that may have waited since the given moment. */
  public ReceiveQueue(Moment earliestArrival, Moment now) {
    this.arrivalFloor = earliestArrival;
    this.arrivalFloorEnds = now.plus(BACKLOG_READ_TIME);
    this.lastArrival = earliestArrival;
  }

  /** Adds a chunk; the previous tick is the loop's tick before the last one. */
  public void add(byte[] data, Moment previousTick, Moment now) {
    if (arrivalFloor != null && arrivalFloorEnds.isBefore(previousTick)) {
      arrivalFloor = null;
    }
    lastArrival =
        arrivalFloor != null && arrivalFloor.isBefore(previousTick) ? arrivalFloor : previousTick;
    if (now.isBefore(arrivalFloorEnds)) {
      arrivalFloorEnds = now; // Data that follows immediately has waited as well.
    }
    chunks.add(new Chunk(data, lastArrival));
    queuedBytes += data.length;
  }

  /** The number of bytes that wait. */
  public int queuedBytes() {
    return queuedBytes;
  }

  /** Removes and returns the next chunk, or null. */
  public Chunk poll() {
    Chunk chunk = chunks.poll();
    queuedBytes -= chunk == null ? 0 : chunk.data().length;
    return chunk;
  }

  /** Returns whether the queue exceeds its bound, including bytes the decoder has not read yet. */
  public boolean isFull(int unreadBytes) {
    return queuedBytes + unreadBytes > MAX_QUEUED_BYTES;
  }

  /** Reading is paused: data arriving from now on is no older than the latest chunk. */
  public void onPaused() {
    arrivalFloor = lastArrival;
  }

  /** Reading continues. */
  public void onResumed(Moment now) {
    arrivalFloorEnds = now;
  }
}
