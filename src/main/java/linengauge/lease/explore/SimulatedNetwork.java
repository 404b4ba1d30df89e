package linengauge.lease.explore;

import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;

/**
 * The network between processes: delays, loses and duplicates what is sent. Each datagram's delay
 * is drawn independently, so datagrams may be reordered.
 */
final class SimulatedNetwork {
  private static final int MIN_LOCAL_DELAY_MICROS = 200;
  private static final int MAX_LOCAL_DELAY_MICROS = 5_000;
  private static final int MIN_REMOTE_DELAY_MICROS = 10_000;
  private static final int MAX_REMOTE_DELAY_MICROS = 40_000;

  /**
   * Without a fault, one datagram in this many is lost. Of {@link #DUPLICATED_ONE_IN} datagrams one
   * is duplicated, and of {@link #LATE_ONE_IN} datagrams or messages one is late.
   */
  private static final int LOST_ONE_IN = 1000;

  private static final int DUPLICATED_ONE_IN = 50;
  private static final int LATE_ONE_IN = 200;
  private static final int MAX_EXTRA_DELAY_MICROS = 150_000;

  /** Loss rate of traffic from and to a lossy process. */
  private static final int LOSSY_PERCENT = 30;

  private final Conditions conditions;
  private final EventQueue events;
  private final SplittableRandom chance;

  SimulatedNetwork(Conditions conditions, EventQueue events, SplittableRandom chance) {
    this.conditions = conditions;
    this.events = events;
    this.chance = chance;
  }

  /** Sends a datagram, which arrives once, twice or never. */
  void datagram(int from, int to, Runnable onArrival) {
    if (isLost(from, to) || chance.nextInt(LOST_ONE_IN) == 0) {
      return;
    }
    events.at(arrival(from, to), onArrival);
    if (chance.nextInt(DUPLICATED_ONE_IN) == 0) {
      events.at(arrival(from, to), onArrival);
    }
  }

  /** Sends a message on a connection; it is lost only if the link is cut or lossy. */
  void message(int from, int to, Runnable onArrival) {
    if (!isLost(from, to)) {
      events.at(arrival(from, to), onArrival);
    }
  }

  private boolean isLost(int from, int to) {
    return conditions.isCut(from, to)
        || conditions.isLossy(from, to) && chance.nextInt(100) < LOSSY_PERCENT;
  }

  private Moment arrival(int from, int to) {
    if (from == to) {
      return events.now().plus(new Span(chance.nextInt(MIN_LOCAL_DELAY_MICROS)));
    }
    boolean near = Topology.region(from) == Topology.region(to);
    int delay =
        near
            ? between(MIN_LOCAL_DELAY_MICROS, MAX_LOCAL_DELAY_MICROS)
            : between(MIN_REMOTE_DELAY_MICROS, MAX_REMOTE_DELAY_MICROS);
    boolean late = conditions.isLossy(from, to) || chance.nextInt(LATE_ONE_IN) == 0;
    return events.now().plus(new Span(delay + (late ? chance.nextInt(MAX_EXTRA_DELAY_MICROS) : 0)));
  }

  private int between(int least, int most) {
    return least + chance.nextInt(most - least);
  }
}
