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
  private record TimedReport(Moment receivedAt, ZoneObservation observation) {}

  /** How one place has been of late. */
  private static final class ZoneHistory {
    private Moment unhealthySince;
    private Moment healthySince;
    private Moment servingSince;
    private Moment lastStepAt = Moment.DISTANT_PAST;
  }

  /** Fewer reports than this condemn nobody. */
  private static final int MIN_REPORTS = 3;

  private static final int MAX_FRONTS = 1024;

  private final FailoverSettings settings;
  private final ZoneTable table;

  /** By place, then by front; what is older than it counts leaves with the next look. */
  private final TreeMap<Integer, TreeMap<Integer, TimedReport>> reports = new TreeMap<>();

  private final TreeMap<Integer, ZoneHistory> histories = new TreeMap<>();

  /** What each place can serve, kB a second; one without room known takes nothing in. */
  private final TreeMap<Integer, Double> capacitiesKbPerSecond = new TreeMap<>();

  private Moment lastDecisionAt = Moment.DISTANT_PAST;

  public FailoverController(FailoverSettings settings, ZoneTable table) {
    this.settings = settings;
    this.table = table;
  }

  /** What the place's boxes can serve, by the list. */
  public void setCapacity(int zone, double kbPerSecond) {
    if (zone >= 0 && zone < ZoneTable.MAX_ZONES && kbPerSecond >= 0) {
      capacitiesKbPerSecond.put(zone, kbPerSecond);
    }
  }

  public void report(Moment now, int front, int zone, ZoneObservation observation) {
    if (zone < 0 || zone >= ZoneTable.MAX_ZONES) {
      return;
    }
    TreeMap<Integer, TimedReport> reportsByFront =
        reports.computeIfAbsent(zone, newZone -> new TreeMap<>());
    if (reportsByFront.size() < MAX_FRONTS || reportsByFront.containsKey(front)) {
      reportsByFront.put(front, new TimedReport(now, observation));
    }
  }

  /** The rows that are to change now, all in one decision from the table's number; empty: none. */
  public Map<Integer, ZoneEntry> decide(Moment now) {
    reports
        .values()
        .forEach(
            reportsByFront ->
                reportsByFront
                    .values()
                    .removeIf(
                        report -> settings.reportLifetime().under(now.since(report.receivedAt()))));
    TreeMap<Integer, ZoneEntry> next = new TreeMap<>();
    for (int zone : capacitiesKbPerSecond.keySet()) {
      ZoneEntry entry = table.entry(zone);
      if (entry.holdReason().isEmpty()) {
        ZoneEntry wanted =
            nextEntry(
                zone, entry, histories.computeIfAbsent(zone, newZone -> new ZoneHistory()), now);
        next.put(zone, wanted);
      }
    }
    assignShares(next);
    next.entrySet()
        .removeIf(
            observation -> isSimilar(table.entry(observation.getKey()), observation.getValue()));
    if (next.entrySet().stream()
            .allMatch(
                observation ->
                    table.entry(observation.getKey()).state() == observation.getValue().state())
        && now.before(lastDecisionAt.plus(settings.stepInterval()))) {
      return Map
          .of(); // demand that rocks is followed at a pace: each change is news to the whole fleet
    }
    lastDecisionAt = next.isEmpty() ? lastDecisionAt : now;
    next.forEach(
        (zone, entry) -> {
          if (entry.state() == ZoneState.COMING_BACK) {
            histories.get(zone).lastStepAt = now;
          }
        });
    return next;
  }

  private boolean isSimilar(ZoneEntry current, ZoneEntry wanted) {
    return current.state() == wanted.state()
        && current.relapses() == wanted.relapses()
        && Math.abs(current.localShare() - wanted.localShare()) < settings.minShareChange()
        && Math.abs(current.remoteShare() - wanted.remoteShare()) < settings.minShareChange();
  }

  /** Where it is to stand, by evidence that has held; how much of it goes where comes after. */
  private ZoneEntry nextEntry(int zone, ZoneEntry entry, ZoneHistory history, Moment now) {
    updateHistory(history, failureShare(zone), entry, now);
    if (entry.state() != ZoneState.GIVEN_UP
        && hasLasted(history.unhealthySince, settings.failoverDelay(), now)) {
      boolean hasRelapsed = entry.state() == ZoneState.COMING_BACK || entry.relapses() > 0;
      return new ZoneEntry(ZoneState.GIVEN_UP, 0, 0, hasRelapsed ? entry.relapses() + 1 : 1, "", 0);
    }
    return switch (entry.state()) {
      case GIVEN_UP ->
          hasLasted(history.healthySince, recoveryDelay(entry.relapses()), now)
              ? new ZoneEntry(
                  ZoneState.COMING_BACK,
                  settings.initialRecoveryShare(),
                  0,
                  entry.relapses(),
                  "",
                  0)
              : entry;
      case COMING_BACK ->
          history.healthySince == null
                  || now.before(history.lastStepAt.plus(settings.stepInterval()))
              ? entry
              : nextRecoveryStep(entry);
      default ->
          settings.relapseResetTime().under(now.since(history.servingSince))
              ? new ZoneEntry(entry.state(), entry.localShare(), entry.remoteShare(), 0, "", 0)
              : entry;
    };
  }

  /** Notes since when the place is bad, well, or near. */
  private void updateHistory(
      ZoneHistory history, double failureShare, ZoneEntry entry, Moment now) {
    boolean isServing = entry.state() == ZoneState.NEAR || entry.state() == ZoneState.SHARING;
    history.unhealthySince =
        since(failureShare >= settings.unhealthyFailureShare(), history.unhealthySince, now);
    history.healthySince =
        since(
            failureShare >= 0 && failureShare < settings.healthyFailureShare(),
            history.healthySince,
            now);
    history.servingSince = since(isServing, history.servingSince, now);
  }

  /** Since when that is so; null where it is not. */
  private static Moment since(boolean isTrue, Moment previous, Moment now) {
    if (!isTrue) {
      return null;
    }
    return previous == null ? now : previous;
  }

  private static boolean hasLasted(Moment since, Span span, Moment now) {
    return since != null && !now.before(since.plus(span));
  }

  /** The next step of one that comes back: twice as much stays, up to all of it. */
  private static ZoneEntry nextRecoveryStep(ZoneEntry entry) {
    return entry.localShare() * 2 < 1
        ? new ZoneEntry(ZoneState.COMING_BACK, entry.localShare() * 2, 0, entry.relapses(), "", 0)
        : new ZoneEntry(ZoneState.NEAR, 1, 0, entry.relapses(), "", 0);
  }

  private Span recoveryDelay(int relapses) {
    return settings
        .recoveryDelay()
        .times(1L << Math.min(10, Math.max(0, relapses - 1)))
        .orLess(settings.maxRecoveryDelay());
  }

  /**
   * The share of failures, the worst and the best report left out; -1 where too few speak. Guards
   * against one sick front that condemns a place, or one that praises it. It could hurt where two
   * alone see a place: it is never given up for them.
   */
  private double failureShare(int zone) {
    List<double[]> weightedShares = new ArrayList<>();
    for (TimedReport report : reports.getOrDefault(zone, new TreeMap<>()).values()) {
      ZoneObservation observation = report.observation();
      if (observation.attempts() > 0) {
        weightedShares.add(
            new double[] {
              (double) observation.failed() / observation.attempts(),
              Math.min(1, observation.attempts() / settings.fullWeightAttempts())
            });
      }
    }
    if (weightedShares.size() < MIN_REPORTS) {
      return -1;
    }
    weightedShares.sort((a, b) -> Double.compare(a[0], b[0]));
    double weightedFailures = 0;
    double totalWeight = 0;
    for (double[] weighted : weightedShares.subList(1, weightedShares.size() - 1)) {
      weightedFailures += weighted[0] * weighted[1];
      totalWeight += weighted[1];
    }
    return totalWeight > 0 ? weightedFailures / totalWeight : -1;
  }

  private double demandKbPerSecond(int zone) {
    double sum = 0;
    for (TimedReport report : reports.getOrDefault(zone, new TreeMap<>()).values()) {
      sum += report.observation().demandKbPerSecond();
    }
    return sum;
  }

  /**
   * Who keeps what, and how much of the rest fits elsewhere: a place that has no room over takes
   * nothing in, so that what fails over does not push it over as well. What fits nowhere is refused
   * where it asks.
   */
  private void assignShares(TreeMap<Integer, ZoneEntry> next) {
    double spareKbPerSecond = 0;
    double leavingKbPerSecond = 0;
    for (Map.Entry<Integer, Double> capacity : capacitiesKbPerSecond.entrySet()) {
      ZoneEntry entry = next.getOrDefault(capacity.getKey(), table.entry(capacity.getKey()));
      double demand = demandKbPerSecond(capacity.getKey());
      double keptShare = localShare(entry, demand, capacity.getValue());
      leavingKbPerSecond += demand * (1 - keptShare);
      if (entry.state() == ZoneState.NEAR || entry.state() == ZoneState.SHARING) {
        spareKbPerSecond += Math.max(0, settings.maxUtilization() * capacity.getValue() - demand);
      }
    }
    double fittingShare =
        leavingKbPerSecond > 0 ? Math.min(1, spareKbPerSecond / leavingKbPerSecond) : 1;
    next.replaceAll(
        (zone, entry) -> {
          double keptShare =
              localShare(entry, demandKbPerSecond(zone), capacitiesKbPerSecond.get(zone));
          ZoneState state =
              entry.state() != ZoneState.NEAR && entry.state() != ZoneState.SHARING
                  ? entry.state()
                  : keptShare < 1 - settings.minShareChange() ? ZoneState.SHARING : ZoneState.NEAR;
          boolean servesAll = state == ZoneState.NEAR;
          // What fits nowhere stays where a place still serves, and is refused where it does not.
          double remoteShare = servesAll ? 0 : (1 - keptShare) * fittingShare;
          return new ZoneEntry(
              state,
              servesAll ? 1 : state == ZoneState.SHARING ? 1 - remoteShare : keptShare,
              remoteShare,
              entry.relapses(),
              "",
              entry.stateSinceVersion());
        });
  }

  private double localShare(ZoneEntry entry, double demand, double capacity) {
    if (!entry.holdReason().isEmpty()) {
      return entry.localShare();
    }
    return switch (entry.state()) {
      case GIVEN_UP -> 0;
      case COMING_BACK -> entry.localShare();
      default ->
          demand <= capacity * settings.maxUtilization()
              ? 1
              : capacity * settings.maxUtilization() / demand;
    };
  }
}
