package linengauge.zones;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import linengauge.Moment;
import linengauge.Span;

/**
 * Derives changes of the zone table from the reports of the fronts. It runs beside the table on the
 * leader of the council. Each front's report has a weight of at most one, the best and the worst
 * reports are discarded, and load is moved only to where there is capacity for it.
 */
public final class FailoverController {
  private record TimedReport(Moment receivedAt, ZoneObservation observation) {}

  /** The recent health of one zone. */
  private static final class ZoneHistory {
    private Moment unhealthySince;
    private Moment healthySince;
    private Moment servingSince;
    private Moment lastStepAt = Moment.DISTANT_PAST;
  }

  /** With fewer reports than this no zone is given up. */
  private static final int MIN_REPORTS = 3;

  private static final int MAX_FRONTS = 1024;

  private final FailoverSettings settings;
  private final ZoneTable table;

  /** By zone, then by front. Expired reports are removed with the next decision. */
  private final TreeMap<Integer, TreeMap<Integer, TimedReport>> reports = new TreeMap<>();

  private final TreeMap<Integer, ZoneHistory> histories = new TreeMap<>();

  /** Serving capacity of each zone; a zone of unknown capacity receives no load. */
  private final TreeMap<Integer, Double> capacitiesKbPerSecond = new TreeMap<>();

  private Moment lastDecisionAt = Moment.DISTANT_PAST;

  public FailoverController(FailoverSettings settings, ZoneTable table) {
    this.settings = settings;
    this.table = table;
  }

  /** Sets what the zone's boxes can serve according to discovery. */
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

  /** The entries to change now, in one decision based on the table's version; empty: none. */
  public Map<Integer, ZoneEntry> decide(Moment now) {
    reports
        .values()
        .forEach(
            reportsByFront ->
                reportsByFront
                    .values()
                    .removeIf(
                        report ->
                            settings
                                .reportLifetime()
                                .isShorterThan(now.since(report.receivedAt()))));
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
    next.entrySet().removeIf(change -> isSimilar(table.entry(change.getKey()), change.getValue()));
    if (next.entrySet().stream()
            .allMatch(change -> table.entry(change.getKey()).state() == change.getValue().state())
        && now.isBefore(lastDecisionAt.plus(settings.stepInterval()))) {
      // Oscillating demand is followed at a limited rate: each change is sent to the whole fleet.
      return Map.of();
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

  /** The next state, once the evidence has lasted; the remote shares are assigned afterwards. */
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
                  || now.isBefore(history.lastStepAt.plus(settings.stepInterval()))
              ? entry
              : nextRecoveryStep(entry);
      default ->
          settings.relapseResetTime().isShorterThan(now.since(history.servingSince))
              ? new ZoneEntry(entry.state(), entry.localShare(), entry.remoteShare(), 0, "", 0)
              : entry;
    };
  }

  /** Records since when the zone has been unhealthy, healthy, or serving its viewers. */
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

  /** Since when the condition has held; null if it does not. */
  private static Moment since(boolean isTrue, Moment previous, Moment now) {
    if (!isTrue) {
      return null;
    }
    return previous == null ? now : previous;
  }

  private static boolean hasLasted(Moment since, Span span, Moment now) {
    return since != null && !now.isBefore(since.plus(span));
  }

  /** The next recovery step: the local share doubles, up to all viewers. */
  private static ZoneEntry nextRecoveryStep(ZoneEntry entry) {
    return entry.localShare() * 2 < 1
        ? new ZoneEntry(ZoneState.COMING_BACK, entry.localShare() * 2, 0, entry.relapses(), "", 0)
        : new ZoneEntry(ZoneState.NEAR, 1, 0, entry.relapses(), "", 0);
  }

  private Span recoveryDelay(int relapses) {
    return settings
        .recoveryDelay()
        .times(1L << Math.min(10, Math.max(0, relapses - 1)))
        .min(settings.maxRecoveryDelay());
  }

  /**
   * The share of failed attempts without the best and the worst report; -1 if there are too few
   * reports. A single faulty front can therefore neither give up a zone nor keep it in service. The
   * cost: a zone that only two fronts report on is never given up.
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
   * Assigns the share of viewers that each zone serves itself, and the share of the rest that fits
   * elsewhere. A zone without spare capacity receives no load, so that failover does not overload
   * it as well. Viewers that fit nowhere are rejected by their own zone.
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
          // What fits nowhere stays in a zone that still serves, and is rejected by one that does
          // not.
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
