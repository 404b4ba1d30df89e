package linengauge.membership.explore;

import java.util.ArrayList;
import java.util.List;
import linengauge.Moment;

/**
 * Counts what each party of a simulation sends and receives, by virtual second.
 *
 * <p>A datagram is counted as received where it reaches a party that is up, whether or not that
 * party gets to read it.
 */
public final class TrafficMeter {
  /**
   * What a datagram has on the wire beside its payload: a keyed trailer, and UDP's and IP's heads.
   */
  public static final int WIRE_OVERHEAD = 24 + 28;

  /** Of so many seconds the worst is looked for. */
  public static final int WORST_WINDOW_SECONDS = 10;

  private static final long MICROS_PER_SECOND = 1_000_000;

  private static final class Counts {
    private final int[] bytesSent;
    private final int[] datagramsSent;
    private final int[] bytesReceived;
    private final int[] datagramsReceived;

    private Counts(int participants) {
      bytesSent = new int[participants];
      datagramsSent = new int[participants];
      bytesReceived = new int[participants];
      datagramsReceived = new int[participants];
    }

    private long wireSent(int participant) {
      return bytesSent[participant] + (long) WIRE_OVERHEAD * datagramsSent[participant];
    }

    private long wireReceived(int participant) {
      return bytesReceived[participant] + (long) WIRE_OVERHEAD * datagramsReceived[participant];
    }
  }

  private interface Quantity {
    long of(Counts counts, int participant);
  }

  private final int participants;
  private final List<Counts> seconds = new ArrayList<>();

  public TrafficMeter(int participants) {
    this.participants = participants;
  }

  /** A party sends a datagram of so many bytes of payload. */
  public void recordSent(Moment now, int participant, int payloadBytes) {
    Counts counts = countsAt(now);
    counts.bytesSent[participant] += payloadBytes;
    counts.datagramsSent[participant]++;
  }

  /** A datagram of so many bytes of payload reaches a party. */
  public void recordReceived(Moment now, int participant, int payloadBytes) {
    Counts counts = countsAt(now);
    counts.bytesReceived[participant] += payloadBytes;
    counts.datagramsReceived[participant]++;
  }

  private Counts countsAt(Moment now) {
    int second = (int) (now.micros() / MICROS_PER_SECOND);
    while (seconds.size() <= second) {
      seconds.add(new Counts(participants));
    }
    return seconds.get(second);
  }

  /** Bytes on the wire that the party sent and received within that second. */
  public long wireBytes(int second, int participant) {
    if (second >= seconds.size()) {
      return 0;
    }
    Counts counts = seconds.get(second);
    return counts.wireSent(participant) + counts.wireReceived(participant);
  }

  /** The figures of the seconds from the one to before the other, over all parties. */
  public TrafficFigures figures(int from, int to) {
    int end = Math.min(to, seconds.size());
    return new TrafficFigures(
        from,
        to,
        mean(from, to, Counts::wireSent),
        mean(from, to, Counts::wireReceived),
        mean(from, to, (counts, participant) -> counts.bytesSent[participant]),
        mean(from, to, (counts, participant) -> counts.bytesReceived[participant]),
        mean(from, to, (counts, participant) -> counts.datagramsSent[participant]),
        mean(from, to, (counts, participant) -> counts.datagramsReceived[participant]),
        worst(from, end, Counts::wireSent),
        worst(from, end, Counts::wireReceived),
        worst(
            from,
            end,
            (counts, participant) ->
                counts.wireSent(participant) + counts.wireReceived(participant)),
        worst(from, end, (counts, participant) -> counts.bytesSent[participant]),
        worstOfAll(from, end));
  }

  private double mean(int from, int to, Quantity quantity) {
    long sum = 0;
    for (int second = from; second < Math.min(to, seconds.size()); second++) {
      for (int participant = 0; participant < participants; participant++) {
        sum += quantity.of(seconds.get(second), participant);
      }
    }
    return (double) sum / participants / (to - from);
  }

  /** A second of the worst ten in a row of the party that is worst off. */
  private double worst(int from, int to, Quantity quantity) {
    long maxSum = 0;
    for (int participant = 0; participant < participants; participant++) {
      long sum = 0;
      for (int second = from; second < to; second++) {
        sum += quantity.of(seconds.get(second), participant);
        sum -=
            second - from >= WORST_WINDOW_SECONDS
                ? quantity.of(seconds.get(second - WORST_WINDOW_SECONDS), participant)
                : 0;
        maxSum = Math.max(maxSum, sum);
      }
    }
    return (double) maxSum / WORST_WINDOW_SECONDS;
  }

  /** A second of the worst ten in a row of the mean party. */
  private double worstOfAll(int from, int to) {
    double maxMean = 0;
    for (int second = from; second + WORST_WINDOW_SECONDS <= to; second++) {
      maxMean =
          Math.max(
              maxMean,
              mean(
                  second,
                  second + WORST_WINDOW_SECONDS,
                  (counts, participant) ->
                      counts.wireSent(participant) + counts.wireReceived(participant)));
    }
    return maxMean;
  }
}
