package linengauge.scale.hollow;

import java.util.List;
import java.util.Map;

/**
 * What a process says of itself, some times a second, as one line of JSON.
 *
 * @param at by the wall's clock in milliseconds
 * @param processorMillis of the process so far
 * @param heapKb used after a collection, where one was asked for; else -1
 * @param traffic of all its lease or gossip sockets so far
 * @param logBytes of its log connections so far, TCP payload
 * @param fronts that it holds
 * @param followers of them that follow the log
 * @param highestFrontBytes on the wire, of any one front since the last sample
 * @param views how many of its fronts hold a set of members, by that set's sum; only where asked
 * @param ownSum the sum of its own fronts, as it would be in a view
 * @param gone numbers that any of its fronts gave up since the last sample
 * @param leader the control machine that leads as this one knows; -1 of fronts
 * @param drops so far, by cause
 */
record HollowSample(
    long at,
    double processorMillis,
    long residentKb,
    long heapKb,
    Traffic traffic,
    long logBytes,
    int fronts,
    int followers,
    long highestFrontBytes,
    Map<Long, Integer> views,
    long ownSum,
    List<Integer> gone,
    int leader,
    Map<String, Long> drops) {
  /** Datagrams and their payload with the trailer. */
  record Traffic(long sent, long sentBytes, long received, long receivedBytes) {
    /** IPv4 and UDP headers of one datagram. */
    private static final int HEADERS = 28;

    static final Traffic NONE = new Traffic(0, 0, 0, 0);

    long wireBytes() {
      return sentBytes + receivedBytes + HEADERS * (sent + received);
    }

    Traffic plus(Traffic other) {
      return new Traffic(
          sent + other.sent,
          sentBytes + other.sentBytes,
          received + other.received,
          receivedBytes + other.receivedBytes);
    }

    Traffic minus(Traffic other) {
      return new Traffic(
          sent - other.sent,
          sentBytes - other.sentBytes,
          received - other.received,
          receivedBytes - other.receivedBytes);
    }
  }
}
