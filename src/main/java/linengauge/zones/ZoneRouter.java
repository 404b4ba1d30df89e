package linengauge.zones;

import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import linengauge.Moment;
import linengauge.Span;

/**
 * Selects the zones in which one front may place each new viewer, according to the zone table. When
 * the front's view of the table becomes stale, it goes over to independent operation: a rising
 * share of new viewers ignores the table. It returns in the same way, so that no fleet switches at
 * a single moment. The router only narrows the choice: the module decides among the zones that it
 * allows, and no rule depends on a zone that is left out.
 */
public final class ZoneRouter {
  /** How far the front follows the table. */
  public enum Mode {
    /** All new viewers are placed by the table. */
    COORDINATED,
    /** The table is stale: a rising share of new viewers ignores it. */
    DETACHING,
    /** No new viewer is placed by the table. */
    INDEPENDENT,
    /** The table is confirmed again: a falling share of new viewers ignores it. */
    REATTACHING
  }

  /**
   * @param maxTableAge age of the last confirmation up to which the table is fully followed
   * @param transitionTime from following the table for all new viewers to none, and back
   */
  public record Settings(Span maxTableAge, Span transitionTime) {
    public static final Settings DEFAULT = new Settings(Span.ofSeconds(3), Span.ofSeconds(5));
  }

  /**
   * The zones for one new viewer.
   *
   * @param weights preference by zone, summing to 1; empty if the viewer is rejected, or if all
   *     zones are allowed
   * @param unrestricted whether all zones are allowed, as without a table
   * @param tableVersion version of the table that was used
   */
  public record Route(SortedMap<Integer, Double> weights, boolean unrestricted, long tableVersion) {
    public boolean isRejected() {
      return !unrestricted && weights.isEmpty();
    }

    /** Whether a box of this zone may be used. */
    public boolean allows(int zone) {
      return unrestricted || weights.containsKey(zone);
    }
  }

  private final Settings settings;
  private final int ownZone;
  private final ZoneTable table;
  private final SplittableRandom random;
  private final SortedMap<Integer, Double> capacitiesKbPerSecond = new TreeMap<>();
  private Moment tableConfirmedAt = Moment.DISTANT_PAST;
  private Moment updatedAt;
  private double independentShare = 1;

  /**
   * @param ownZone the zone of the front
   */
  public ZoneRouter(Settings settings, int ownZone, ZoneTable table, SplittableRandom random) {
    this.settings = settings;
    this.ownZone = ownZone;
    this.table = table;
    this.random = random;
  }

  /** Sets what a zone's boxes can serve according to discovery; 0: it has none. */
  public void setCapacity(int zone, double kbPerSecond) {
    if (kbPerSecond > 0) {
      capacitiesKbPerSecond.put(zone, kbPerSecond);
    } else {
      capacitiesKbPerSecond.remove(zone);
    }
  }

  /** Records the latest moment at which the council is known to work; it never decreases. */
  public void confirmTable(Moment at) {
    tableConfirmedAt = tableConfirmedAt.max(at);
  }

  private boolean isTableStale(Moment now) {
    return settings.maxTableAge().isShorterThan(now.since(tableConfirmedAt));
  }

  /**
   * Updates and returns the share of new viewers that ignore the table. One update changes it by at
   * most one quarter, even after a process pause, since no viewer was placed during the pause.
   */
  public double updateIndependentShare(Moment now) {
    if (updatedAt != null) {
      double change =
          Math.min(
              1,
              now.since(updatedAt)
                      .max(Span.NONE)
                      .min(settings.transitionTime().times(0.25))
                      .seconds()
                  / settings.transitionTime().seconds());
      independentShare =
          Math.max(0, Math.min(1, independentShare + (isTableStale(now) ? change : -change)));
    }
    updatedAt = now;
    return independentShare;
  }

  public Mode mode(Moment now) {
    double share = updateIndependentShare(now);
    return share <= 0
        ? Mode.COORDINATED
        : isTableStale(now)
            ? share >= 1 ? Mode.INDEPENDENT : Mode.DETACHING
            : share >= 1 ? Mode.INDEPENDENT : Mode.REATTACHING;
  }

  /**
   * Selects the zones for a new viewer: its own zone, others, none (it is rejected), or all where
   * this viewer ignores the table.
   */
  public Route route(Moment now) {
    if (random.nextDouble() < updateIndependentShare(now)) {
      return new Route(new TreeMap<>(), true, table.version());
    }
    ZoneEntry entry = table.entry(ownZone);
    double draw = random.nextDouble();
    SortedMap<Integer, Double> weights = new TreeMap<>();
    if (draw < entry.localShare() && capacitiesKbPerSecond.containsKey(ownZone)) {
      weights.put(ownZone, 1.0);
    } else if (draw < entry.localShare() + entry.remoteShare()
        || !capacitiesKbPerSecond.containsKey(ownZone)) {
      addOtherZones(weights);
    }
    return new Route(weights, false, table.version());
  }

  /** Adds the other zones in state {@code NEAR}, weighted by capacity. */
  private void addOtherZones(SortedMap<Integer, Double> weights) {
    double sum = 0;
    for (var capacity : capacitiesKbPerSecond.entrySet()) {
      ZoneEntry entry = table.entry(capacity.getKey());
      if (capacity.getKey() != ownZone && entry.state() == ZoneState.NEAR) {
        weights.put(capacity.getKey(), capacity.getValue());
        sum += capacity.getValue();
      }
    }
    double total = sum;
    weights.replaceAll((zone, kbPerSecond) -> kbPerSecond / total);
  }
}
