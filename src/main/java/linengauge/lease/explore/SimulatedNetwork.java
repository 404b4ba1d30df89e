package linengauge.lease.explore;

import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;

/**
 * The ways between parties: how long what is sent takes, whether it is lost, held up or doubled.
 * Since each datagram takes a time of its own, they overtake each other.
 */
final class SimulatedNetwork {
  private static final int NEAR_LEAST = 200;
  private static final int NEAR_MOST = 5_000;
  private static final int FAR_LEAST = 10_000;
  private static final int FAR_MOST = 40_000;

  /** One datagram in so many is lost, is doubled, or comes late, where nothing is wrong. */
  private static final int LOST_ONE_IN = 1000;

  private static final int DOUBLED_ONE_IN = 50;
  private static final int LATE_ONE_IN = 200;
  private static final int LATE_MOST = 150_000;

  /** Of a lossy party: so many in a hundred are lost. */
  private static final int LOSSY_PERCENT = 30;

  private final Conditions conditions;
  private final EventQueue events;
  private final SplittableRandom chance;

  SimulatedNetwork(Conditions conditions, EventQueue events, SplittableRandom chance) {
    this.conditions = conditions;
    this.events = events;
    this.chance = chance;
  }

  /** A datagram; it arrives once, twice or never. */
  void datagram(int from, int to, Runnable arrives) {
    if (isLost(from, to) || chance.nextInt(LOST_ONE_IN) == 0) {
      return;
    }
    events.at(arrival(from, to), arrives);
    if (chance.nextInt(DOUBLED_ONE_IN) == 0) {
      events.at(arrival(from, to), arrives);
    }
  }

  /** A message on a connection: lost only where the way is cut or lossy. */
  void message(int from, int to, Runnable arrives) {
    if (!isLost(from, to)) {
      events.at(arrival(from, to), arrives);
    }
  }

  private boolean isLost(int from, int to) {
    return conditions.isCut(from, to)
        || conditions.isLossy(from, to) && chance.nextInt(100) < LOSSY_PERCENT;
  }

  private Moment arrival(int from, int to) {
    if (from == to) {
      return events.now().plus(new Span(chance.nextInt(NEAR_LEAST)));
    }
    boolean near = Topology.region(from) == Topology.region(to);
    int delay = near ? between(NEAR_LEAST, NEAR_MOST) : between(FAR_LEAST, FAR_MOST);
    boolean late = conditions.isLossy(from, to) || chance.nextInt(LATE_ONE_IN) == 0;
    return events.now().plus(new Span(delay + (late ? chance.nextInt(LATE_MOST) : 0)));
  }

  private int between(int least, int most) {
    return least + chance.nextInt(most - least);
  }
}
