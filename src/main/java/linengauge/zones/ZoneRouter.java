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
    TOGETHER,
    LOOSENING,
    ALONE,
    TIGHTENING
  }

  /**
   * @param lease a word of the table counts in full while it is no older
   * @param over so long it takes from all newcomers by the table to none, and back
   */
  public record Terms(Span lease, Span over) {
    public static final Terms USUAL = new Terms(Span.ofSeconds(3), Span.ofSeconds(5));
  }

  /**
   * One newcomer's places.
   *
   * @param shares by place, how much each is to be preferred, in sum 1; empty where it is refused
   *     at once, or where all are allowed
   * @param alone all places are allowed, as without a table
   * @param number the table's, which it goes by
   */
  public record Choice(SortedMap<Integer, Double> shares, boolean alone, long number) {
    public boolean isRefused() {
      return !alone && shares.isEmpty();
    }

    /** Whether a box of that place may be used. */
    public boolean allows(int place) {
      return alone || shares.containsKey(place);
    }
  }

  private final Terms terms;
  private final int own;
  private final ZoneTable table;
  private final SplittableRandom chance;
  private final SortedMap<Integer, Double> rooms = new TreeMap<>();
  private Moment sureAt = Moment.DISTANT_PAST;
  private Moment lookedAt;
  private double loose = 1;

  /**
   * @param own the place that the front is in
   */
  public ZoneRouter(Terms terms, int own, ZoneTable table, SplittableRandom chance) {
    this.terms = terms;
    this.own = own;
    this.table = table;
    this.chance = chance;
  }

  /** What a place's boxes can serve, by the list; 0: it has none. */
  public void room(int place, double kb) {
    if (kb > 0) {
      rooms.put(place, kb);
    } else {
      rooms.remove(place);
    }
  }

  /** The latest moment at which, as it knows, the council was at work; it never goes back. */
  public void sure(Moment at) {
    sureAt = sureAt.orLater(at);
  }

  private boolean isAged(Moment now) {
    return terms.lease().under(now.since(sureAt));
  }

  /**
   * The share of newcomers that go by no table. A stand-still counts as one look: nobody was placed
   * in it.
   */
  public double loose(Moment now) {
    if (lookedAt != null) {
      double by =
          Math.min(
              1,
              now.since(lookedAt).orMore(Span.NONE).orLess(terms.over().times(0.25)).seconds()
                  / terms.over().seconds());
      loose = Math.max(0, Math.min(1, loose + (isAged(now) ? by : -by)));
    }
    lookedAt = now;
    return loose;
  }

  public Mode mode(Moment now) {
    double l = loose(now);
    return l <= 0
        ? Mode.TOGETHER
        : isAged(now)
            ? l >= 1 ? Mode.ALONE : Mode.LOOSENING
            : l >= 1 ? Mode.ALONE : Mode.TIGHTENING;
  }

  /** Where this newcomer may go: its own place, or elsewhere, or nowhere. */
  public Choice choice(Moment now) {
    if (chance.nextDouble() < loose(now)) {
      return new Choice(new TreeMap<>(), true, table.number());
    }
    ZoneEntry r = table.row(own);
    double drawn = chance.nextDouble();
    SortedMap<Integer, Double> to = new TreeMap<>();
    if (drawn < r.stays() && rooms.containsKey(own)) {
      to.put(own, 1.0);
    } else if (drawn < r.stays() + r.goes() || !rooms.containsKey(own)) {
      elsewhere(to);
    }
    return new Choice(to, false, table.number());
  }

  /** By their rooms, those that take in: near, or taken back so far. */
  private void elsewhere(SortedMap<Integer, Double> to) {
    double sum = 0;
    for (var room : rooms.entrySet()) {
      ZoneEntry r = table.row(room.getKey());
      if (room.getKey() != own && r.standing() == ZoneState.NEAR) {
        to.put(room.getKey(), room.getValue());
        sum += room.getValue();
      }
    }
    double all = sum;
    to.replaceAll((place, kb) -> kb / all);
  }
}
