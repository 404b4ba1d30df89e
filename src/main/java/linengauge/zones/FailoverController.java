package linengauge.zones;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import linengauge.Moment;
import linengauge.Span;

/**
 * From what fronts tell to the change that is wanted: whoever leads the council runs it beside the
 * table. Each front's word counts as one at the most, the worst and the best are left out, and
 * nothing is moved that has no room where it would go.
 */
public final class FailoverController {
  private record Report(Moment at, ZoneObservation evidence) {}

  /** How one place has been of late. */
  private static final class Course {
    private Moment badSince;
    private Moment wellSince;
    private Moment nearSince;
    private Moment steppedAt = Moment.DISTANT_PAST;
  }

  /** Fewer reports than this condemn nobody. */
  private static final int LEAST_REPORTS = 3;

  private static final int MOST_FRONTS = 1024;

  private final FailoverSettings terms;
  private final ZoneTable table;

  /** By place, then by front; what is older than it counts leaves with the next look. */
  private final TreeMap<Integer, TreeMap<Integer, Report>> reports = new TreeMap<>();

  private final TreeMap<Integer, Course> courses = new TreeMap<>();

  /** What each place can serve, kB a second; one without room known takes nothing in. */
  private final TreeMap<Integer, Double> rooms = new TreeMap<>();

  private Moment sharedAt = Moment.DISTANT_PAST;

  public FailoverController(FailoverSettings terms, ZoneTable table) {
    this.terms = terms;
    this.table = table;
  }

  /** What the place's boxes can serve, by the list. */
  public void room(int place, double kb) {
    if (place >= 0 && place < ZoneTable.MOST_PLACES && kb >= 0) {
      rooms.put(place, kb);
    }
  }

  public void heard(Moment now, int front, int place, ZoneObservation e) {
    if (place < 0 || place >= ZoneTable.MOST_PLACES) {
      return;
    }
    TreeMap<Integer, Report> ofPlace = reports.computeIfAbsent(place, p -> new TreeMap<>());
    if (ofPlace.size() < MOST_FRONTS || ofPlace.containsKey(front)) {
      ofPlace.put(front, new Report(now, e));
    }
  }

  /** The rows that are to change now, all in one decision from the table's number; empty: none. */
  public Map<Integer, ZoneEntry> look(Moment now) {
    reports
        .values()
        .forEach(ofPlace -> ofPlace.values().removeIf(t -> terms.holds().under(now.since(t.at()))));
    TreeMap<Integer, ZoneEntry> next = new TreeMap<>();
    for (int place : rooms.keySet()) {
      ZoneEntry r = table.row(place);
      if (r.order().isEmpty()) {
        ZoneEntry wanted =
            standing(place, r, courses.computeIfAbsent(place, p -> new Course()), now);
        next.put(place, wanted);
      }
    }
    shares(next);
    next.entrySet().removeIf(e -> isAlike(table.row(e.getKey()), e.getValue()));
    if (next.entrySet().stream()
            .allMatch(e -> table.row(e.getKey()).standing() == e.getValue().standing())
        && now.before(sharedAt.plus(terms.step()))) {
      return Map
          .of(); // demand that rocks is followed at a pace: each change is news to the whole fleet
    }
    sharedAt = next.isEmpty() ? sharedAt : now;
    next.forEach(
        (place, r) -> {
          if (r.standing() == ZoneState.COMING_BACK) {
            courses.get(place).steppedAt = now;
          }
        });
    return next;
  }

  private boolean isAlike(ZoneEntry a, ZoneEntry b) {
    return a.standing() == b.standing()
        && a.relapses() == b.relapses()
        && Math.abs(a.stays() - b.stays()) < terms.worth()
        && Math.abs(a.goes() - b.goes()) < terms.worth();
  }

  /** Where it is to stand, by evidence that has held; how much of it goes where comes after. */
  private ZoneEntry standing(int place, ZoneEntry r, Course c, Moment now) {
    follow(c, illness(place), r, now);
    if (r.standing() != ZoneState.GIVEN_UP && hasLasted(c.badSince, terms.after(), now)) {
      boolean relapsed = r.standing() == ZoneState.COMING_BACK || r.relapses() > 0;
      return new ZoneEntry(ZoneState.GIVEN_UP, 0, 0, relapsed ? r.relapses() + 1 : 1, "", 0);
    }
    return switch (r.standing()) {
      case GIVEN_UP ->
          hasLasted(c.wellSince, holdOff(r.relapses()), now)
              ? new ZoneEntry(ZoneState.COMING_BACK, terms.first(), 0, r.relapses(), "", 0)
              : r;
      case COMING_BACK ->
          c.wellSince == null || now.before(c.steppedAt.plus(terms.step())) ? r : stepBack(r);
      default ->
          terms.rested().under(now.since(c.nearSince))
              ? new ZoneEntry(r.standing(), r.stays(), r.goes(), 0, "", 0)
              : r;
    };
  }

  /** Notes since when the place is bad, well, or near. */
  private void follow(Course c, double ill, ZoneEntry r, Moment now) {
    boolean near = r.standing() == ZoneState.NEAR || r.standing() == ZoneState.SHARING;
    c.badSince = since(ill >= terms.bad(), c.badSince, now);
    c.wellSince = since(ill >= 0 && ill < terms.well(), c.wellSince, now);
    c.nearSince = since(near, c.nearSince, now);
  }

  /** Since when that is so; null where it is not. */
  private static Moment since(boolean so, Moment before, Moment now) {
    if (!so) {
      return null;
    }
    return before == null ? now : before;
  }

  private static boolean hasLasted(Moment since, Span span, Moment now) {
    return since != null && !now.before(since.plus(span));
  }

  /** The next step of one that comes back: twice as much stays, up to all of it. */
  private static ZoneEntry stepBack(ZoneEntry r) {
    return r.stays() * 2 < 1
        ? new ZoneEntry(ZoneState.COMING_BACK, r.stays() * 2, 0, r.relapses(), "", 0)
        : new ZoneEntry(ZoneState.NEAR, 1, 0, r.relapses(), "", 0);
  }

  private Span holdOff(int relapses) {
    return terms
        .back()
        .times(1L << Math.min(10, Math.max(0, relapses - 1)))
        .orLess(terms.backAtMost());
  }

  /**
   * The share of failures, the worst and the best report left out; -1 where too few speak. Guards
   * against one sick front that condemns a place, or one that praises it. It could hurt where two
   * alone see a place: it is never given up for them.
   */
  private double illness(int place) {
    List<double[]> sharesOfFailures = new ArrayList<>();
    for (Report t : reports.getOrDefault(place, new TreeMap<>()).values()) {
      ZoneObservation e = t.evidence();
      if (e.tries() > 0) {
        sharesOfFailures.add(
            new double[] {(double) e.failed() / e.tries(), Math.min(1, e.tries() / terms.full())});
      }
    }
    if (sharesOfFailures.size() < LEAST_REPORTS) {
      return -1;
    }
    sharesOfFailures.sort((a, b) -> Double.compare(a[0], b[0]));
    double bad = 0;
    double all = 0;
    for (double[] w : sharesOfFailures.subList(1, sharesOfFailures.size() - 1)) {
      bad += w[0] * w[1];
      all += w[1];
    }
    return all > 0 ? bad / all : -1;
  }

  private double asked(int place) {
    double sum = 0;
    for (Report t : reports.getOrDefault(place, new TreeMap<>()).values()) {
      sum += t.evidence().asked();
    }
    return sum;
  }

  /**
   * Who keeps what, and how much of the rest fits elsewhere: a place that has no room over takes
   * nothing in, so that what fails over does not push it over as well. What fits nowhere is refused
   * where it asks.
   */
  private void shares(TreeMap<Integer, ZoneEntry> next) {
    double spare = 0;
    double leaves = 0;
    for (Map.Entry<Integer, Double> room : rooms.entrySet()) {
      ZoneEntry r = next.getOrDefault(room.getKey(), table.row(room.getKey()));
      double asked = asked(room.getKey());
      double kept = keeps(r, asked, room.getValue());
      leaves += asked * (1 - kept);
      if (r.standing() == ZoneState.NEAR || r.standing() == ZoneState.SHARING) {
        spare += Math.max(0, terms.fill() * room.getValue() - asked);
      }
    }
    double fits = leaves > 0 ? Math.min(1, spare / leaves) : 1;
    next.replaceAll(
        (place, r) -> {
          double kept = keeps(r, asked(place), rooms.get(place));
          ZoneState s =
              r.standing() != ZoneState.NEAR && r.standing() != ZoneState.SHARING
                  ? r.standing()
                  : kept < 1 - terms.worth() ? ZoneState.SHARING : ZoneState.NEAR;
          boolean all = s == ZoneState.NEAR;
          // What fits nowhere stays where a place still serves, and is refused where it does not.
          double goes = all ? 0 : (1 - kept) * fits;
          return new ZoneEntry(
              s,
              all ? 1 : s == ZoneState.SHARING ? 1 - goes : kept,
              goes,
              r.relapses(),
              "",
              r.since());
        });
  }

  private double keeps(ZoneEntry r, double asked, double room) {
    if (!r.order().isEmpty()) {
      return r.stays();
    }
    return switch (r.standing()) {
      case GIVEN_UP -> 0;
      case COMING_BACK -> r.stays();
      default -> asked <= room * terms.fill() ? 1 : room * terms.fill() / asked;
    };
  }
}
