package linengauge.platform;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import linengauge.Moment;
import linengauge.platform.codec.ClientMessageCodec.Message;
import linengauge.platform.connection.HeapBudget;

/**
 * The requests received on one connection that wait to be started, and the heap occupied by all
 * that the connection's clients have sent: unparsed data, queued requests and open ones.
 */
final class RequestQueue {
  /**
   * Bytes of requests that may wait on one connection, started or not; requests beyond that are
   * rejected at once.
   */
  private static final int MAX_REQUEST_BYTES = 48 * 1024;

  /**
   * Bytes of handed-over sessions that wait to be started; beyond that nothing more is read from
   * the connection.
   */
  private static final int MAX_HAND_OVER_BYTES = 128 * 1024;

  /** Heap that a request occupies beside its bytes while it waits to be started. */
  private static final int QUEUED_REQUEST_HEAP_BYTES = 240;

  /** Heap that a request occupies beside its description from its start to its answer. */
  private static final int OPEN_REQUEST_HEAP_BYTES = 2048;

  /** A request that waits to be started, and the earliest moment at which it may have arrived. */
  record QueuedRequest(Message message, Moment earliestArrival) {
    private int heapBytes() {
      return QUEUED_REQUEST_HEAP_BYTES + message.length();
    }
  }

  private final HeapBudget.Account heap;

  /** Requests by id; removed when they are started, by their ends and by the close. */
  private final Map<Long, QueuedRequest> requests = new LinkedHashMap<>();

  /**
   * Handed-over sessions by id: they belong to no connection, and are started even if this one
   * closes.
   */
  private final Map<Long, QueuedRequest> handOvers = new LinkedHashMap<>();

  private int handOverBytes;

  /** Bytes of the requests that wait here, started or not. */
  private int requestBytes;

  /** Bytes received and not parsed yet, as last added to the account. */
  private int unparsedBytes;

  RequestQueue(HeapBudget.Account heap) {
    this.heap = heap;
  }

  boolean isEmpty() {
    return requests.isEmpty() && handOvers.isEmpty();
  }

  boolean hasHandOvers() {
    return !handOvers.isEmpty();
  }

  boolean hasRequest(long id) {
    return requests.containsKey(id);
  }

  /** The number of requests, without the handed-over sessions. */
  int requestCount() {
    return requests.size();
  }

  /** Adds a request; false if there is no room for it. */
  boolean addRequest(Message message, Moment earliestArrival) {
    QueuedRequest queued = new QueuedRequest(message.copy(), earliestArrival);
    if (requestBytes + message.length() > MAX_REQUEST_BYTES
        || !heap.hasRoomFor(queued.heapBytes())) {
      return false;
    }
    requests.put(message.id(), queued);
    requestBytes += message.length();
    heap.add(queued.heapBytes());
    return true;
  }

  /** Adds a handed-over session; false if one of that id waits already. */
  boolean addHandOver(Message message, Moment earliestArrival) {
    QueuedRequest queued = new QueuedRequest(message.copy(), earliestArrival);
    if (handOvers.putIfAbsent(message.id(), queued) != null) {
      return false;
    }
    handOverBytes += message.length();
    heap.add(queued.heapBytes());
    return true;
  }

  /** Whether further handed-over sessions may be taken; they are never rejected. */
  boolean mayAddHandOver() {
    return handOverBytes <= MAX_HAND_OVER_BYTES && (handOvers.isEmpty() || !heap.isOverShare());
  }

  /**
   * Removes and returns the next to start: handed-over sessions first, as they are established
   * already and the rules count them as such.
   */
  QueuedRequest takeNext() {
    return handOvers.isEmpty()
        ? takeRequest(requests.keySet().iterator().next())
        : takeHandOver(handOvers.keySet().iterator().next());
  }

  /** Removes and returns the request of that id, or null. */
  QueuedRequest takeRequest(long id) {
    QueuedRequest queued = requests.remove(id);
    if (queued != null) {
      requestBytes -= queued.message().length();
      heap.add(-queued.heapBytes());
    }
    return queued;
  }

  /** Removes and returns the handed-over session of that id, or null. */
  QueuedRequest takeHandOver(long id) {
    QueuedRequest queued = handOvers.remove(id);
    if (queued != null) {
      handOverBytes -= queued.message().length();
      heap.add(-queued.heapBytes());
    }
    return queued;
  }

  /** Removes all requests, but not the handed-over sessions, and returns their ids. */
  List<Long> dropRequests() {
    List<Long> ids = List.copyOf(requests.keySet());
    ids.forEach(this::takeRequest);
    return ids;
  }

  /* ---- the heap that is occupied beside the queue ---- */

  /** Whether a request with a description of that length may be opened. */
  boolean hasRoomForOpen(int descriptionLength) {
    return heap.hasRoomFor(OPEN_REQUEST_HEAP_BYTES + descriptionLength);
  }

  void requestOpened(int descriptionLength) {
    requestBytes += descriptionLength;
    heap.add(OPEN_REQUEST_HEAP_BYTES + descriptionLength);
  }

  void requestSettled(int descriptionLength) {
    requestBytes -= descriptionLength;
    heap.add(-OPEN_REQUEST_HEAP_BYTES - descriptionLength);
  }

  void setUnparsedBytes(int bytes) {
    heap.add(bytes - unparsedBytes);
    unparsedBytes = bytes;
  }

  /** Whether all connections occupy too much, and this one more than its share. */
  boolean isOverShare() {
    return heap.isOverShare();
  }

  /** The connection has closed: nothing that is still here counts any more. */
  void closeAccount() {
    heap.close();
  }
}
