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

  private static final long MICROS_A_SECOND = 1_000_000;

  private static final class Counts {
    private final int[] bytesSent;
    private final int[] datagramsSent;
    private final int[] bytesReceived;
    private final int[] datagramsReceived;

    private Counts(int parties) {
      bytesSent = new int[parties];
      datagramsSent = new int[parties];
      bytesReceived = new int[parties];
      datagramsReceived = new int[parties];
    }

    private long wireSent(int party) {
      return bytesSent[party] + (long) WIRE_OVERHEAD * datagramsSent[party];
    }

    private long wireReceived(int party) {
      return bytesReceived[party] + (long) WIRE_OVERHEAD * datagramsReceived[party];
    }
  }

  private interface Quantity {
    long of(Counts counts, int party);
  }

  private final int parties;
  private final List<Counts> seconds = new ArrayList<>();

  public TrafficMeter(int parties) {
    this.parties = parties;
  }

  /** A party sends a datagram of so many bytes of payload. */
  public void recordSent(Moment now, int party, int payload) {
    Counts counts = at(now);
    counts.bytesSent[party] += payload;
    counts.datagramsSent[party]++;
  }

  /** A datagram of so many bytes of payload reaches a party. */
  public void recordReceived(Moment now, int party, int payload) {
    Counts counts = at(now);
    counts.bytesReceived[party] += payload;
    counts.datagramsReceived[party]++;
  }

  private Counts at(Moment now) {
    int second = (int) (now.micros() / MICROS_A_SECOND);
    while (seconds.size() <= second) {
      seconds.add(new Counts(parties));
    }
    return seconds.get(second);
  }

  /** Bytes on the wire that the party sent and received within that second. */
  public long wireBytes(int second, int party) {
    if (second >= seconds.size()) {
      return 0;
    }
    Counts counts = seconds.get(second);
    return counts.wireSent(party) + counts.wireReceived(party);
  }

  /** The figures of the seconds from the one to before the other, over all parties. */
  public TrafficFigures figures(int from, int to) {
    int end = Math.min(to, seconds.size());
    return new TrafficFigures(
        from,
        to,
        mean(from, to, Counts::wireSent),
        mean(from, to, Counts::wireReceived),
        mean(from, to, (c, p) -> c.bytesSent[p]),
        mean(from, to, (c, p) -> c.bytesReceived[p]),
        mean(from, to, (c, p) -> c.datagramsSent[p]),
        mean(from, to, (c, p) -> c.datagramsReceived[p]),
        worst(from, end, Counts::wireSent),
        worst(from, end, Counts::wireReceived),
        worst(from, end, (c, p) -> c.wireSent(p) + c.wireReceived(p)),
        worst(from, end, (c, p) -> c.bytesSent[p]),
        worstOfAll(from, end));
  }

  private double mean(int from, int to, Quantity quantity) {
    long sum = 0;
    for (int s = from; s < Math.min(to, seconds.size()); s++) {
      for (int p = 0; p < parties; p++) {
        sum += quantity.of(seconds.get(s), p);
      }
    }
    return (double) sum / parties / (to - from);
  }

  /** A second of the worst ten in a row of the party that is worst off. */
  private double worst(int from, int to, Quantity quantity) {
    long most = 0;
    for (int p = 0; p < parties; p++) {
      long sum = 0;
      for (int s = from; s < to; s++) {
        sum += quantity.of(seconds.get(s), p);
        sum -=
            s - from >= WORST_WINDOW_SECONDS
                ? quantity.of(seconds.get(s - WORST_WINDOW_SECONDS), p)
                : 0;
        most = Math.max(most, sum);
      }
    }
    return (double) most / WORST_WINDOW_SECONDS;
  }

  /** A second of the worst ten in a row of the mean party. */
  private double worstOfAll(int from, int to) {
    double most = 0;
    for (int s = from; s + WORST_WINDOW_SECONDS <= to; s++) {
      most =
          Math.max(
              most, mean(s, s + WORST_WINDOW_SECONDS, (c, p) -> c.wireSent(p) + c.wireReceived(p)));
    }
    return most;
  }
}
