package linengauge.membership.explore;

import java.util.ArrayList;
import java.util.List;
import linengauge.Moment;

/**
 * Counts the traffic of each participant of a simulation by virtual second.
 *
 * <p>A datagram counts as received when it reaches a participant that is up, whether or not that
 * participant ever reads it.
 */
public final class TrafficMeter {
  /**
   * Bytes that a datagram adds to its payload: the authentication trailer and UDP and IP headers.
   */
  public static final int WIRE_OVERHEAD = 24 + 28;

  /** Length in seconds of the window over which the worst traffic is determined. */
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

  /** Records that a participant sends a datagram. */
  public void recordSent(Moment now, int participant, int payloadBytes) {
    Counts counts = countsAt(now);
    counts.bytesSent[participant] += payloadBytes;
    counts.datagramsSent[participant]++;
  }

  /** Records that a datagram reaches a participant. */
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

  /** Bytes on the wire that the participant sent and received in that second. */
  public long wireBytes(int second, int participant) {
    if (second >= seconds.size()) {
      return 0;
    }
    Counts counts = seconds.get(second);
    return counts.wireSent(participant) + counts.wireReceived(participant);
  }

  /** Returns the figures of the seconds in [from, to) over all participants. */
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

  /** Mean per second of the worst window of the worst participant. */
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

  /** Mean per participant and second of the worst window of the whole fleet. */
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
