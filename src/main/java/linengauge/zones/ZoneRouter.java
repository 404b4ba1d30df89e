package linengauge.zones;

import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import linengauge.Moment;
import linengauge.Span;

/**
 * Where one front may place each of its newcomers by the table, and how it goes over to deciding
 * alone when its word of the table is too old: newcomer by newcomer, a rising share of them, and
 * back the same way, so that no fleet turns at one moment. It only narrows: whatever it allows, the
 * module decides, and a place that it forgets to name was never needed for a rule.
 */
public final class ZoneRouter {
  /** How the front stands to the table. */
  public enum Mode {
    COORDINATED,
    DETACHING,
    INDEPENDENT,
    REATTACHING
  }

  /**
   * @param maxTableAge a word of the table counts in full while it is no older
   * @param transitionTime so long it takes from all newcomers by the table to none, and back
   */
  public record Settings(Span maxTableAge, Span transitionTime) {
    public static final Settings DEFAULT = new Settings(Span.ofSeconds(3), Span.ofSeconds(5));
  }

  /**
   * One newcomer's places.
   *
   * @param weights by place, how much each is to be preferred, in sum 1; empty where it is refused
   *     at once, or where all are allowed
   * @param unrestricted all places are allowed, as without a table
   * @param tableVersion the table's, which it goes by
   */
  public record Route(SortedMap<Integer, Double> weights, boolean unrestricted, long tableVersion) {
    public boolean isRejected() {
      return !unrestricted && weights.isEmpty();
    }

    /** Whether a box of that place may be used. */
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
   * @param ownZone the place that the front is in
   */
  public ZoneRouter(Settings settings, int ownZone, ZoneTable table, SplittableRandom random) {
    this.settings = settings;
    this.ownZone = ownZone;
    this.table = table;
    this.random = random;
  }

  /** What a place's boxes can serve, by the list; 0: it has none. */
  public void setCapacity(int zone, double kbPerSecond) {
    if (kbPerSecond > 0) {
      capacitiesKbPerSecond.put(zone, kbPerSecond);
    } else {
      capacitiesKbPerSecond.remove(zone);
    }
  }

  /** The latest moment at which, as it knows, the council was at work; it never goes back. */
  public void confirmTable(Moment at) {
    tableConfirmedAt = tableConfirmedAt.orLater(at);
  }

  private boolean isTableStale(Moment now) {
    return settings.maxTableAge().under(now.since(tableConfirmedAt));
  }

  /**
   * The share of newcomers that go by no table. A stand-still counts as one look: nobody was placed
   * in it.
   */
  public double updateIndependentShare(Moment now) {
    if (updatedAt != null) {
      double change =
          Math.min(
              1,
              now.since(updatedAt)
                      .orMore(Span.NONE)
                      .orLess(settings.transitionTime().times(0.25))
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

  /** Where this newcomer may go: its own place, or elsewhere, or nowhere. */
  public Route route(Moment now) {
    if (random.nextDouble() < updateIndependentShare(now)) {
      return new Route(new TreeMap<>(), true, table.version());
    }
    ZoneEntry entry = table.entry(ownZone);
    double drawn = random.nextDouble();
    SortedMap<Integer, Double> weights = new TreeMap<>();
    if (drawn < entry.localShare() && capacitiesKbPerSecond.containsKey(ownZone)) {
      weights.put(ownZone, 1.0);
    } else if (drawn < entry.localShare() + entry.remoteShare()
        || !capacitiesKbPerSecond.containsKey(ownZone)) {
      addOtherZones(weights);
    }
    return new Route(weights, false, table.version());
  }

  /** By their rooms, those that take in: near, or taken back so far. */
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
