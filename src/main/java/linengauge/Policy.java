package linengauge;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Takes all decisions of one front: at which media box a viewing is set up, at which rung it plays
 * and which requests are rejected. The caller sets the time with {@link #setTime} before each round
 * of calls, creates handles for boxes and titles with {@link #createBox} and {@link #createTitle},
 * and hands over viewings with {@link #requestViewing} (new ones) or {@link #adoptViewing} (those
 * that play already). Later events of a box or a viewing are calls on its handle. The module acts
 * through {@link Environment}; {@link Deployment} holds its settings. The basic algorithm is that
 * of EVeREst (docs/design.md); each departure from it is described where it occurs.
 *
 * <p>Rates, demand, capacities and room are in kB per second; a load is demand over capacity.
 */
public final class Policy {
  /* The short and the long average of the load, and the steps that they trigger. */
  private static final Span SHORT_AVERAGE_SPAN = Span.ofSeconds(1);
  private static final Span LONG_AVERAGE_SPAN = Span.ofSeconds(5);

  /** Interval at which boxes are sampled and usage reports are checked for being due. */
  private static final Span TICK_INTERVAL = Span.ofMillis(500);

  /** Rungs step down once the short average reaches this load. */
  private static final double STEP_DOWN_LOAD = 1.0;

  /** Value of the short average after a step down, and at a box's first viewing. */
  private static final double SHORT_AVERAGE_RESET = 0.8;

  /** Load that a step down aims at. */
  private static final double STEP_DOWN_TARGET_LOAD = 0.93;

  /** Value of the long average after a step up, and at a box's first viewing. */
  private static final double LONG_AVERAGE_RESET = 0.95;

  /** Shortest time between two steps up on a box. */
  private static final Span STEP_UP_INTERVAL = Span.ofSeconds(2);

  /** Smaller delivered shares are treated as this one. */
  private static final double MIN_DELIVERED_SHARE = 0.5;

  /**
   * Share of a capacity up to which links and uplinks are filled, since true rates differ from
   * those of the ladder: where boxes are probed, where the rack owner reports the usage of other
   * fronts, and where that usage is estimated.
   */
  private static final double FILL_LIMIT_PROBED = 0.87;

  private static final double FILL_LIMIT_REPORTED = 0.95;
  private static final double FILL_LIMIT_ESTIMATED = 0.82;

  /* Reports on boxes and racks. */

  /** Age of a box's load report when it arrives. */
  private static final Span LOAD_REPORT_AGE = Span.ofMillis(400);

  /** How long a change is kept that load reports may not include yet. */
  private static final Span CHANGE_RETENTION = Span.ofSeconds(6);

  /** Time in which a lowered uplink capacity returns to its nominal value. */
  private static final Span UPLINK_RECOVERY_SPAN = Span.ofSeconds(10);

  /** Interval at which usage is reported to the rack owner where it does not change much. */
  private static final Span USAGE_REPORT_INTERVAL = Span.ofSeconds(6);

  /**
   * A front that has just started has not received the usage of all other fronts: for this long it
   * neither applies usage reports nor answers them. Reports that have not been answered are
   * repeated at this interval, and a shortage of the uplink is reported at most this often.
   */
  private static final Span SETTLING_SPAN = Span.ofMillis(1200);

  /**
   * Reports of the delivered share are smoothed: for this long, on top of their delay, they still
   * show rates that have been lowered since.
   */
  private static final Span SHARE_SMOOTHING_SPAN = Span.ofMillis(1600);

  /** How long a box counts as short after a report of a delivered share below one. */
  private static final Span SHORTAGE_VALIDITY = Span.ofMillis(1300);

  /** How long a load report counts in full; after that its weight decays exponentially. */
  private static final Span LOAD_REPORT_VALIDITY = Span.ofSeconds(3);

  /** Time constant of that decay. */
  private static final Span LOAD_REPORT_DECAY_SPAN = Span.ofSeconds(6);

  /** What probes may cost for each viewing, in the unit of the price of a probe. */
  private static final double PROBE_SPENDING_PER_VIEWING = 0.015;

  /** Unused probes that are saved for later, at most. */
  private static final double MAX_SAVED_PROBES = 20;

  /** Load up to which an estimate counts as known demand. */
  private static final double MAX_ESTIMATED_LOAD = 0.9;

  private static final double INITIAL_TYPICAL_LOAD = 0.6;

  /** Weight of one load report in the moving average of the typical load. */
  private static final double TYPICAL_LOAD_WEIGHT = 0.3;

  /** How long a new viewing waits for reports on its preferred boxes. */
  private static final Span REPORT_TIMEOUT = Span.ofMillis(80);

  /** Age up to which a report is fresh; a new one is not requested within this time. */
  private static final Span FRESH_REPORT_SPAN = Span.ofMillis(700);

  /** Time limit of an attempt that starts too late for the latency objective. */
  private static final Span LATE_ATTEMPT_TIMEOUT = Span.ofMillis(600);

  /** An attempt that is awaited for less shows nothing about its box if no answer comes. */
  public static final Span MIN_ATTEMPT_TIMEOUT = Span.ofMillis(250);

  /** How long before a viewer's deadline the answer is given. */
  public static final Span ANSWER_MARGIN = Span.ofMillis(60);

  /** The answer margin as a share of the time limit, at most. */
  public static final double ANSWER_MARGIN_SHARE = 0.1;

  /** How long a request waits before it is placed again, where no box may take it now. */
  private static final Span PLACEMENT_RETRY_INTERVAL = Span.ofMillis(100);

  /** How long a request waits for a server to confirm the end of an earlier attempt. */
  private static final Span CONFIRMATION_TIMEOUT = Span.ofMillis(250);

  /** Advice to rejected viewers on when to retry. */
  private static final Span REJECTION_RETRY_AFTER = Span.ofMillis(600);

  /** How long other boxes are preferred after a first failure. */
  private static final Span INITIAL_AVOIDANCE_SPAN = Span.ofSeconds(1);

  private static final int MAX_AVOIDANCE_DOUBLINGS = 3;

  /**
   * Share of an uplink's capacity that is left free where a new viewing takes more than its fair
   * share on the basis of old reports.
   */
  private static final double UPLINK_RESERVE_SHARE = 0.2;

  /** Uplink load that weighs as much as one point of the price of a connection. */
  private static final double UPLINK_LOAD_PER_CONNECTION_PRICE = 2;

  /** Share of the limit for a cold box that is used. */
  private static final double COLD_BUDGET_SHARE = 0.8;

  /**
   * Longest time between the choice of a box and the sending of the set-up: a connection may have
   * to be opened first, and the event loop reads before it writes.
   */
  public static final Span MAX_SEND_DELAY = Span.ofMillis(500);

  private final Deployment deployment;
  private final Environment environment;
  private final SplittableRandom random;

  /** Geometric mean of the lowest and the highest rate of the ladder. */
  private final double middleRate;

  /** Share of all fronts that the other fronts are. */
  private final double otherFrontsShare;

  /**
   * Fronts may not exchange messages and a probe costs too much for each new viewing, so boxes are
   * known by old load reports only.
   */
  private final boolean reliesOnOldReports;

  /** The listed boxes of each cell. */
  private final List<List<MediaBox>> boxesByCell = new ArrayList<>();

  /** Boxes with viewings of this front, until the last of these ends. */
  private final List<MediaBox> occupiedBoxes = new ArrayList<>();

  private final Rack[] racks;

  /** Times of requests within the window of the retry budget. Pruned as time passes. */
  private final ArrayDeque<Moment> requestTimes = new ArrayDeque<>();

  /** Times of retries within the same window. */
  private final ArrayDeque<Moment> retryTimes = new ArrayDeque<>();

  private Moment now = Moment.DISTANT_PAST;
  private Moment frontStartedAt;
  private double totalLinkShares; // of all serving boxes
  private double probesLeft = 1;

  /**
   * Load that is assumed for a link without any report: the moving average of what boxes report.
   */
  private double typicalLoad = INITIAL_TYPICAL_LOAD;

  public Policy(Deployment deployment, long seed, Environment environment) {
    this.deployment = deployment;
    this.environment = environment;
    this.random = new SplittableRandom(seed);
    double[] ladder = deployment.ladderKbPerSecond();
    this.middleRate = Math.sqrt(ladder[0] * ladder[ladder.length - 1]);
    this.otherFrontsShare = 1 - 1.0 / deployment.frontCount();
    this.reliesOnOldReports =
        !deployment.permissions().mayMessageFronts()
            && PROBE_SPENDING_PER_VIEWING < deployment.permissions().probePrice();
    for (int i = 0; i < Math.max(1, deployment.fleet().cellCount()); i++) {
      boxesByCell.add(new ArrayList<>());
    }
    this.racks = new Rack[deployment.fleet().rackCount()];
    for (int i = 0; i < racks.length; i++) {
      racks[i] = new Rack();
    }
  }

  /** Sets the time of the calls that follow. The first call starts the regular tick. */
  public void setTime(Moment moment) {
    now = moment;
    if (frontStartedAt == null) {
      frontStartedAt = moment;
      environment.schedule(TICK_INTERVAL, this::tick);
    }
  }

  public MediaBox createBox(Environment.BoxPort port) {
    return new MediaBox(port);
  }

  /** Creates the handle of a title that is held by so many cells from the first on; 0: by all. */
  public Title createTitle(int firstCell, int cellsInRow) {
    return new Title(firstCell, cellsInRow, new HashMap<>());
  }

  /** Takes a request for a new viewing, which is answered within the time limit. */
  public Viewing requestViewing(
      Environment.ViewingPort port,
      PackageSettings settings,
      Title title,
      int ceilingRung,
      Span timeLimit) {
    pruneRetryBudget();
    requestTimes.add(now);
    Viewing viewing = new Viewing(port, settings, title, ceilingRung, now.plus(timeLimit));
    viewing.requestReportsAndPlace();
    return viewing;
  }

  /** Adds a viewing that plays already. The rung in force comes with the next report. */
  public Viewing adoptViewing(
      Environment.ViewingPort port,
      PackageSettings settings,
      Title title,
      int ceilingRung,
      MediaBox box) {
    Viewing viewing = new Viewing(port, settings, title, ceilingRung, now);
    viewing.answered = true;
    viewing.playing = true;
    viewing.occupy(box, settings.lowestRung());
    return viewing;
  }

  private void tick() {
    environment.schedule(TICK_INTERVAL, this::tick);
    for (Rack rack : racks) {
      rack.recoverCapacity();
    }
    for (MediaBox box : List.copyOf(occupiedBoxes)) {
      Span interval =
          box.link.otherFrontsRateAt.isBefore(box.usageSentAt)
              ? SETTLING_SPAN
              : USAGE_REPORT_INTERVAL;
      if (Math.abs(box.link.ownRate - box.sentRate) > middleRate / 10
          || box.usageSentAt.plus(interval).isBefore(now)) {
        box.sendUsage(1);
      }
      box.sample();
    }
  }

  /* ---- state of boxes, links and racks ---- */

  private record Change(Moment at, double rateDelta) {}

  private record FrontUsage(Moment receivedAt, int viewingCount, double rate) {}

  /**
   * Demand on a link or an uplink: the last reported demand plus this front's own changes since
   * that report was measured.
   */
  private abstract class Usage {
    double ownRate;
    double reportedDemand = Double.NaN;
    Moment reportMeasuredAt = Moment.DISTANT_PAST;

    /** The rate that other fronts play here, as last reported by the rack owner. */
    double otherFrontsRate;

    Moment otherFrontsRateAt = Moment.DISTANT_PAST;

    /** Sum of all changes since the last report was measured. */
    private double deltaSinceReport;

    /** Changes that a delayed report may not include yet. They are pruned as time passes. */
    private final ArrayDeque<Change> recentChanges = new ArrayDeque<>();

    abstract double capacity();

    /** Estimated rate of the other fronts, used where no report is available. */
    abstract double estimatedOtherFrontsRate();

    void changeOwnRate(double delta, boolean isUnreported) {
      ownRate = Math.max(0, ownRate + delta);
      if (isUnreported) {
        recordUnreportedChange(delta);
      }
    }

    void recordUnreportedChange(double delta) {
      recentChanges.add(new Change(now, delta));
      deltaSinceReport += delta;
      recentChanges.removeIf(change -> change.at().isBefore(now.minus(CHANGE_RETENTION)));
    }

    void applyLoadReport(double load, Moment measuredAt) {
      if (Double.isNaN(load) || measuredAt.isBefore(reportMeasuredAt)) {
        return;
      }
      reportedDemand = load * capacity();
      reportMeasuredAt = measuredAt;
      recentChanges.removeIf(change -> change.at().isBefore(measuredAt));
      deltaSinceReport = 0;
      for (Change change : recentChanges) {
        deltaSinceReport += change.rateDelta();
      }
    }

    void applyOtherFrontsRate(double rate) {
      if (now.since(otherFrontsRateAt).isShorterThan(USAGE_REPORT_INTERVAL.times(3))) {
        recordUnreportedChange(rate - otherFrontsRate);
      }
      otherFrontsRate = rate;
      otherFrontsRateAt = now;
    }

    /** The rack owner's report counts in full for two report intervals, then fades. */
    double rackOwnerReportWeight() {
      return Math.max(
          0,
          Math.min(
              1, 3 - now.since(otherFrontsRateAt).seconds() / USAGE_REPORT_INTERVAL.seconds()));
    }

    double fillLimit() {
      return deployment.permissions().mayProbe()
          ? FILL_LIMIT_PROBED
          : FILL_LIMIT_ESTIMATED
              + (FILL_LIMIT_REPORTED - FILL_LIMIT_ESTIMATED) * rackOwnerReportWeight();
    }

    /**
     * The demand that reports support. An old load report gives way to this front's own rates alone
     * where a probe can renew it, and elsewhere to the rack owner's report and then to an estimate.
     * The estimate is limited so that it never causes a step down by itself.
     */
    double knownDemand() {
      return blend(
          deployment.permissions().mayProbe()
              ? 0
              : Math.min(
                  estimatedOtherFrontsRate(),
                  Math.max(0, MAX_ESTIMATED_LOAD * capacity() - ownRate)));
    }

    /** The known demand, with an estimate for what no report covers. */
    double likelyDemand() {
      return blend(estimatedOtherFrontsRate());
    }

    private double blend(double otherFrontsEstimate) {
      double ownerReportWeight = rackOwnerReportWeight();
      double demandWithoutReport =
          ownRate
              + ownerReportWeight * otherFrontsRate
              + (1 - ownerReportWeight) * otherFrontsEstimate;
      Span overdue = now.since(reportMeasuredAt).minus(LOAD_REPORT_VALIDITY).max(Span.NONE);
      double reportWeight = Math.exp(-overdue.seconds() / LOAD_REPORT_DECAY_SPAN.seconds());
      return Double.isNaN(reportedDemand)
          ? demandWithoutReport
          : Math.max(
              ownRate,
              reportWeight * (reportedDemand + deltaSinceReport)
                  + (1 - reportWeight) * demandWithoutReport);
    }

    double knownLoad() {
      return knownDemand() / capacity();
    }

    double likelyRoom() {
      return fillLimit() * capacity() - likelyDemand();
    }

    double knownRoom() {
      return fillLimit() * capacity() - knownDemand();
    }
  }

  /**
   * Capacity for one unit of {@link MediaBox#linkShare}, by the weights of the box list or else by
   * the streams that each kind of box serves.
   */
  private double linkCapacityPerShare() {
    Deployment.Fleet fleet = deployment.fleet();
    return fleet.linkKbPerSecondPerWeight() > 0
        ? fleet.linkKbPerSecondPerWeight()
        : fleet.totalLinkKbPerSecond() / Math.max(1, totalLinkShares);
  }

  /** The uplink that a rack's boxes share. */
  private final class Rack extends Usage {
    private double capacity = deployment.fleet().uplinkKbPerSecond();
    private Moment capacityUpdatedAt = Moment.DISTANT_PAST;

    /**
     * Demand at the time to which a shortage report refers. Without it, steps down made since then
     * would make the uplink look smaller than it is.
     */
    private double laggedDemand;

    private int servingBoxes;
    private double linkShares;
    private double reportedFrontsRate;

    @Override
    double capacity() {
      return capacity;
    }

    @Override
    double estimatedOtherFrontsRate() {
      return typicalLoad * totalLinkCapacity() * otherFrontsShare;
    }

    private double totalLinkCapacity() {
      return linkShares * linkCapacityPerShare();
    }

    /** Estimated rate of the other fronts on one of its links, where no report is available. */
    double estimatedOtherFrontsRateOnLink(double linkCapacity) {
      return Math.max(0, likelyDemand() - ownRate)
          * linkCapacity
          / Math.max(linkCapacity, totalLinkCapacity());
    }

    /**
     * N of the uplink: this front's viewings, and those of the others, which are assumed to be of
     * the middle rate.
     */
    double viewingsOnUplink() {
      double viewingCount = Math.max(0, likelyDemand() - ownRate) / middleRate;
      for (MediaBox box : occupiedBoxes) {
        viewingCount += box.rack == this ? box.viewings.size() : 0;
      }
      return viewingCount;
    }

    /**
     * A shortage of the uplink affects all its boxes, so one box that plays without a shortage
     * shows that the uplink is not short.
     */
    boolean hasUnaffectedBox() {
      for (MediaBox box : occupiedBoxes) {
        if (box.rack == this && !box.isShort() && box.viewingsBeingSetUp() < box.viewings.size()) {
          return true;
        }
      }
      return false;
    }

    /**
     * Derives the capacity from a shortage report where no report covers the uplink. The capacity
     * returns to its nominal value over time, as that of a real uplink does.
     */
    void lowerCapacity(double deliveredShare) {
      capacity = deliveredShare * Math.max(laggedDemand, knownDemand());
      capacityUpdatedAt = now;
    }

    void recoverCapacity() {
      double nominalCapacity = deployment.fleet().uplinkKbPerSecond();
      // Usage reports may be lost. Where none are known, the capacity does not recover at once.
      double recoverySeconds = UPLINK_RECOVERY_SPAN.seconds() * (reportedFrontsRate > 0 ? 1 : 6);
      double weight = Math.min(1, now.since(capacityUpdatedAt).seconds() / recoverySeconds);
      capacity += weight * (nominalCapacity - capacity);
      capacityUpdatedAt = now;
      double lagSeconds = deployment.fleet().shareReportDelay().plus(SHORT_AVERAGE_SPAN).seconds();
      laggedDemand +=
          Math.min(1, TICK_INTERVAL.seconds() / lagSeconds) * (knownDemand() - laggedDemand);
    }
  }

  /** The handle of one media box. */
  public final class MediaBox {
    private final Environment.BoxPort port;
    private final Link link = new Link();

    /** Viewings with a tune-in in progress or playing here. Each leaves when that ends. */
    private final List<Viewing> viewings = new ArrayList<>();

    private Rack rack = racks[0];
    private boolean serving;
    private boolean listed;
    private int cell;
    private int building;
    private double maxStreams = 1;
    private double weight = 1;
    private Moment startedAt = Moment.DISTANT_PAST;
    private double reportedStreams = Double.NaN;
    private Moment reportRequestedAt = Moment.DISTANT_PAST;
    private double shortAverage;
    private double longAverage;
    private Moment sampledAt;
    private Moment shortageReportedAt = Moment.DISTANT_PAST;
    private Moment steppedUpAt = Moment.DISTANT_PAST;
    private int failures;
    private Moment avoidUntil = Moment.DISTANT_PAST;
    private Moment lastUnreachableAt = Moment.DISTANT_PAST;

    /**
     * What other fronts report to play here, kept by the rack owner alone, oldest first. An entry
     * is removed with the front's last viewing or, after two report intervals without a report, at
     * the next report of any front.
     */
    private final LinkedHashMap<Integer, FrontUsage> usageByFront = new LinkedHashMap<>();

    private double reportedFrontsRate;
    private int reportedFrontsViewings;
    private int otherFrontsViewings;
    private Moment loadReportedAt = Moment.DISTANT_PAST;
    private double sentRate;
    private Moment usageSentAt = Moment.DISTANT_PAST;

    /** New viewings that wait for a report on this box. The queue is emptied when one arrives. */
    private final ArrayDeque<Viewing> awaitingReport = new ArrayDeque<>();

    /** Times of tune-ins within the window of the limit for cold boxes. Pruned as time passes. */
    private final ArrayDeque<Moment> tuneInTimes = new ArrayDeque<>();

    private MediaBox(Environment.BoxPort port) {
      this.port = port;
    }

    public Environment.BoxPort port() {
      return port;
    }

    /** How many streams a box of its kind runs at most. */
    public double maxStreams() {
      return maxStreams;
    }

    public void markServing(double weight, int cell, int kind, int building, Moment startedAt) {
      if (this.startedAt.isBefore(startedAt)) {
        failures = 0;
        avoidUntil = Moment.DISTANT_PAST;
        link.reportedDemand = Double.NaN;
        reportedStreams = Double.NaN;
      }
      setServing(false);
      setListed(false);
      this.weight = weight;
      this.cell = cell;
      int[] streamsByKind = deployment.fleet().streamsByKind();
      this.maxStreams = kind < streamsByKind.length ? streamsByKind[kind] : 1;
      this.building = building;
      this.startedAt = startedAt;
      rack.changeOwnRate(-link.ownRate, false);
      rack = racks[Math.floorMod(cell, racks.length)];
      rack.changeOwnRate(link.ownRate, false);
      setListed(true);
      setServing(true);
    }

    public void markDraining() {
      setServing(false);
      setListed(true);
    }

    public void markGone() {
      setServing(false);
      setListed(false);
    }

    /**
     * No viewing is held here and the list no longer names the box. Guards against a box that
     * returns to the list after its recent tune-ins have been discarded: if it is cold, those
     * within the window count against its limit.
     */
    public boolean isDiscardable() {
      prune(tuneInTimes, now.minus(coldLimitWindow()));
      return !listed && viewings.isEmpty() && tuneInTimes.isEmpty();
    }

    private void setListed(boolean isListed) {
      List<MediaBox> boxesOfCell = boxesByCell.get(Math.floorMod(cell, boxesByCell.size()));
      boxesOfCell.remove(this);
      listed = isListed && boxesOfCell.add(this);
    }

    /** Adds the box to the running totals of its rack and of the front, or removes it. */
    private void setServing(boolean isServing) {
      if (isServing != serving) {
        double shareDelta = isServing ? linkShare() : -linkShare();
        rack.linkShares += shareDelta;
        totalLinkShares += shareDelta;
        rack.servingBoxes += isServing ? 1 : -1;
        serving = isServing;
      }
    }

    /**
     * Its part of all link capacity, by the weights of the box list or, where the list gives none,
     * by the streams that a box of its kind serves.
     */
    private double linkShare() {
      return deployment.fleet().linkKbPerSecondPerWeight() > 0 ? weight : maxStreams;
    }

    private void applyLoads(double linkLoad, double uplinkLoad, Moment measuredAt) {
      if (!Double.isNaN(linkLoad)) {
        typicalLoad += TYPICAL_LOAD_WEIGHT * (linkLoad - typicalLoad);
        loadReportedAt = now;
      }
      link.applyLoadReport(linkLoad, measuredAt);
      rack.applyLoadReport(uplinkLoad, measuredAt);
      sample();
    }

    /** The box reports its loads and its streams; NaN for what it does not report. */
    public void loadReported(double linkLoad, double uplinkLoad, double reportedStreams) {
      this.reportedStreams = reportedStreams;
      applyLoads(linkLoad, uplinkLoad, now.minus(LOAD_REPORT_AGE));
    }

    public void probeEnded(boolean answered) {
      probeEnded(
          answered ? Environment.AttemptOutcome.FINISHED : Environment.AttemptOutcome.NO_ANSWER);
    }

    /** Reports the outcome of a probe: FINISHED where it was answered. */
    public void probeEnded(Environment.AttemptOutcome outcome) {
      if (outcome != Environment.AttemptOutcome.FINISHED
          && outcome != Environment.AttemptOutcome.HELD_UP) {
        recordFailure(outcome != Environment.AttemptOutcome.UNHEARD);
      }
      resumeAwaitingReport();
    }

    private void resumeAwaitingReport() {
      for (Viewing viewing = awaitingReport.poll();
          viewing != null;
          viewing = awaitingReport.poll()) {
        viewing.reportArrived();
      }
    }

    /**
     * Requests a report, by a probe or from the rack owner. Returns false where none was requested,
     * also because the last request is recent.
     */
    private boolean requestReport() {
      if (now.since(reportRequestedAt).isShorterThan(FRESH_REPORT_SPAN)
          || !sendProbe() && !sendUsage(1)) {
        return false;
      }
      reportRequestedAt = now;
      return true;
    }

    private boolean sendProbe() {
      if (!deployment.permissions().mayProbe() || probesLeft < 1) {
        return false;
      }
      probesLeft--;
      port.probe();
      return true;
    }

    private boolean holds(Title title) {
      int offset = Math.floorMod(cell - title.firstCell, boxesByCell.size());
      return title.cellsInRow <= 0 || offset < title.cellsInRow;
    }

    /**
     * Guards against boxes that fail set-ups in any way: no answer, errors, being full, slow or out
     * of reach. Each failure doubles the time for which other boxes are preferred, up to a limit; a
     * success halves the failure count and ends the avoidance. An event that hits many boxes at
     * once could make all of them avoided; an avoided box is still used where there is no other.
     */
    private void recordFailure(boolean mayHaveRestarted) {
      avoidUntil =
          now.plus(INITIAL_AVOIDANCE_SPAN.times(1 << Math.min(failures, MAX_AVOIDANCE_DOUBLINGS)));
      failures = Math.min(failures + 1, MAX_AVOIDANCE_DOUBLINGS + 1);
      if (mayHaveRestarted) {
        lastUnreachableAt = now;
      }
    }

    private void recordSuccess() {
      failures = Math.max(0, failures / 2);
      avoidUntil = Moment.DISTANT_PAST;
    }

    private boolean isAvoided() {
      return now.isBefore(avoidUntil) || failures > 0 && viewingsBeingSetUp() > 0;
    }

    private int viewingsBeingSetUp() {
      int count = 0;
      for (Viewing viewing : viewings) {
        count += viewing.playing ? 0 : 1;
      }
      return count;
    }

    private boolean isShort() {
      return now.since(shortageReportedAt).isShorterThan(SHORTAGE_VALIDITY);
    }

    /**
     * Treats a delivered share of the rates as a load of its reciprocal, on the link or the uplink,
     * whichever is fuller.
     */
    private void applyDeliveredShare(double deliveredShare) {
      if (deliveredShare >= 0.98) {
        return;
      }
      shortageReportedAt = now;
      Moment measuredAt =
          now.minus(deployment.fleet().shareReportDelay()).minus(SHARE_SMOOTHING_SPAN);
      double load = 1 / Math.max(MIN_DELIVERED_SHARE, deliveredShare);
      if (rack.hasUnaffectedBox() || link.knownLoad() >= rack.knownLoad()) {
        link.applyLoadReport(load, measuredAt);
      } else if (deployment.permissions().boxesReportUplink()
          || rack.rackOwnerReportWeight() < 0.5) {
        rack.applyLoadReport(load, measuredAt);
      } else {
        rack.lowerCapacity(1 / load);
        if (SETTLING_SPAN.isShorterThan(now.since(usageSentAt))) {
          sendUsage(1 / load);
        }
      }
      sample();
    }

    /** The share of its capacity that a box that has just started provides at least. */
    private double warmCapacityShare() {
      double ageSeconds = now.since(startedAt).seconds();
      double coldSeconds = deployment.rules().coldPeriod().seconds();
      double startShare = deployment.rules().coldStartCapacity();
      return ageSeconds >= coldSeconds || coldSeconds <= 0
          ? 1
          : startShare + (1 - startShare) * Math.max(0, ageSeconds) / coldSeconds;
    }

    private final class Link extends Usage {
      @Override
      double capacity() {
        return Math.max(1, linkShare() * linkCapacityPerShare()) * warmCapacityShare();
      }

      @Override
      double estimatedOtherFrontsRate() {
        return rack.estimatedOtherFrontsRateOnLink(capacity());
      }
    }

    /**
     * Guards against the last report of a front that no longer runs: it counts for no longer than
     * about two report intervals.
     */
    private void dropSilentFronts() {
      while (!usageByFront.isEmpty()) {
        var oldest = usageByFront.entrySet().iterator().next();
        if (!oldest.getValue().receivedAt().plus(USAGE_REPORT_INTERVAL.times(2.2)).isBefore(now)) {
          return;
        }
        recordUsage(oldest.getKey(), 0, 0);
      }
    }

    private void recordUsage(int front, int viewingCount, double rate) {
      FrontUsage previous = usageByFront.remove(front);
      if (viewingCount > 0) {
        usageByFront.put(front, new FrontUsage(now, viewingCount, rate));
      }
      double rateDelta = (viewingCount > 0 ? rate : 0) - (previous == null ? 0 : previous.rate());
      reportedFrontsRate = Math.max(0, reportedFrontsRate + rateDelta);
      reportedFrontsViewings += viewingCount - (previous == null ? 0 : previous.viewingCount());
      rack.reportedFrontsRate = Math.max(0, rack.reportedFrontsRate + rateDelta);
      otherFrontsViewings = reportedFrontsViewings;
      if (SETTLING_SPAN.isShorterThan(now.since(frontStartedAt))) {
        link.applyOtherFrontsRate(reportedFrontsRate);
        rack.applyOtherFrontsRate(rack.reportedFrontsRate);
      }
    }

    /**
     * Called on the rack owner when another front reports what it plays here. The answer holds what
     * all other fronts play here, what all play on the uplink, and the uplink's capacity.
     */
    public void usageReceived(int front, int viewingCount, double rate, double uplinkShare) {
      dropSilentFronts();
      recordUsage(front, viewingCount, rate);
      if (uplinkShare < 1) {
        rack.lowerCapacity(uplinkShare);
      }
      if (SETTLING_SPAN.isShorterThan(now.since(frontStartedAt))) {
        environment.sendRackUsage(
            front,
            this,
            reportedFrontsViewings - viewingCount + viewings.size(),
            reportedFrontsRate - rate + link.ownRate,
            rack.reportedFrontsRate + rack.ownRate,
            rack.capacity);
      }
    }

    /** Called when the rack owner reports what all other fronts play here and on the rack. */
    public void rackUsageReceived(
        int viewingCount, double rate, double rackRate, double rackCapacity) {
      otherFrontsViewings = viewingCount;
      link.applyOtherFrontsRate(rate);
      rack.applyOtherFrontsRate(Math.max(0, rackRate - rack.ownRate));
      rack.capacity = rackCapacity;
      sample();
      resumeAwaitingReport();
    }

    /**
     * Where fronts may exchange messages, one front per rack, the rack owner, collects what all of
     * them play there. Sending it the own usage also requests its answer. Returns whether an answer
     * is to come.
     */
    private boolean sendUsage(double uplinkShare) {
      if (!deployment.permissions().mayMessageFronts() || deployment.frontCount() < 2) {
        return false;
      }
      sentRate = link.ownRate;
      usageSentAt = now;
      int rackOwner = Math.floorMod(cell, racks.length) % deployment.frontCount();
      if (rackOwner == deployment.frontNumber()) {
        return false;
      }
      environment.sendUsage(rackOwner, this, viewings.size(), link.ownRate, uplinkShare);
      return true;
    }

    /* ---- the short and long averages and the cap ---- */

    /**
     * Samples the load and moves both averages, then steps down, steps up once, or leaves the rungs
     * as they are.
     */
    private void sample() {
      // Without reports and without a probe to request one, own rates alone would look like room.
      Moment newestReportAt = loadReportedAt.max(link.otherFrontsRateAt).max(link.reportMeasuredAt);
      boolean isFresh =
          now.since(newestReportAt)
              .isShorterThan(
                  deployment.permissions().mayProbe()
                      ? FRESH_REPORT_SPAN
                      : USAGE_REPORT_INTERVAL.times(2));
      if (viewings.isEmpty()
          || !isFresh && !deployment.permissions().mayProbe() && deployment.frontCount() > 1) {
        sampledAt = now;
        return;
      }
      double load = Math.max(link.knownLoad(), rack.knownLoad());
      double elapsedSeconds = now.since(sampledAt).seconds();
      shortAverage +=
          Math.min(1, elapsedSeconds / SHORT_AVERAGE_SPAN.seconds()) * (load - shortAverage);
      longAverage +=
          Math.min(1, elapsedSeconds / LONG_AVERAGE_SPAN.seconds()) * (load - longAverage);
      sampledAt = now;
      if (shortAverage >= STEP_DOWN_LOAD) {
        stepDown(1 - STEP_DOWN_TARGET_LOAD / Math.max(load, STEP_DOWN_TARGET_LOAD));
      } else if (!now.isBefore(steppedUpAt.plus(STEP_UP_INTERVAL))) {
        Viewing lowest = nextToStep(1);
        double stepUpLoad =
            lowest == null ? 0 : link.fillLimit() - lowest.rateDelta(1) / link.capacity();
        // A step up needs a fresh report, which is requested first.
        if (longAverage < stepUpLoad && load < stepUpLoad && !requestReport() && isFresh) {
          stepUp(lowest, link.fillLimit() / Math.max(load, 0.1) - 1);
        }
      }
    }

    /**
     * All fronts on a link act on the same report. Each one sheds only its own part of the
     * shortage, or adds only its own part of the room, and takes the last step with a probability,
     * so that the sum over all fronts meets the target: with a single front as well as with
     * hundreds that have one viewing each. Where the other fronts do not receive the report too
     * little is shed, and the next sample steps again.
     */
    private void stepDown(double excessShare) {
      Viewing highest = nextToStep(-1);
      shortAverage = highest == null ? shortAverage : SHORT_AVERAGE_RESET;
      double rateToShed = excessShare * link.ownRate;
      assumeOtherFrontsStep(-excessShare);
      List<Viewing> lowered = new ArrayList<>();
      while (highest != null && random.nextDouble() < rateToShed / -highest.rateDelta(-1)) {
        rateToShed += highest.rateDelta(-1);
        highest.moveRung(-1);
        lowered.remove(highest);
        lowered.add(highest);
        highest = nextToStep(-1);
      }
      // One call for several steps, since each change of rung has a cost.
      lowered.forEach(viewing -> viewing.port.setRung(viewing.rung));
    }

    private void stepUp(Viewing lowest, double spareShare) {
      longAverage = LONG_AVERAGE_RESET;
      steppedUpAt = now;
      double rateToAdd = spareShare * link.ownRate;
      for (;
          lowest != null && random.nextDouble() < rateToAdd / lowest.rateDelta(1);
          lowest = nextToStep(1)) {
        rateToAdd -= lowest.rateDelta(1);
        lowest.moveRung(1);
        lowest.port.setRung(lowest.rung);
      }
    }

    /**
     * The viewing that steps next: the one on the highest rung steps down, the one on the lowest
     * rung steps up within the cap. Among equals it is the one that loses the least or gains the
     * most value per kB.
     */
    private Viewing nextToStep(int direction) {
      Viewing best = null;
      for (Viewing viewing : viewings) {
        if (viewing.playing
            && viewing.mayStep(direction)
            && (best == null
                || direction * (best.rung - viewing.rung) > 0
                || best.rung == viewing.rung
                    && direction * (viewing.valuePerKb(direction) - best.valuePerKb(direction))
                        > 0)) {
          best = viewing;
        }
      }
      return best;
    }

    /**
     * Records what the other fronts are expected to do about the same load of the link or the
     * uplink.
     */
    private void assumeOtherFrontsStep(double relativeChange) {
      if (deployment.permissions().mayMessageFronts()) {
        return; // they report it soon
      }
      double linkDelta = relativeChange * Math.max(0, link.knownDemand() - link.ownRate);
      double rackDelta =
          relativeChange
              * Math.max(0, rack.knownDemand() - rack.ownRate)
              * link.ownRate
              / Math.max(1, rack.ownRate);
      boolean isUplinkFuller = rack.knownLoad() > link.knownLoad();
      link.recordUnreportedChange(linkDelta);
      rack.recordUnreportedChange(isUplinkFuller ? rackDelta : linkDelta);
    }

    /**
     * N of the link: this front's viewings plus those of others, from the box's load report or the
     * rack owner's report. Where neither is available the others' viewings are assumed to be of the
     * middle rate.
     */
    private double viewingsOnLink() {
      return viewings.size()
          + Math.max(
              0,
              !Double.isNaN(reportedStreams)
                  ? reportedStreams - viewings.size()
                  : deployment.permissions().mayMessageFronts()
                      ? otherFrontsViewings
                      : (link.likelyDemand() - link.ownRate) / middleRate);
    }

    private boolean isWithinCap(double rate, double linkRoom, double rackRoom) {
      return rate <= link.capacity() / (viewingsOnLink() + 1)
          || rate + middleRate <= linkRoom && rate + rack.servingBoxes * middleRate <= rackRoom;
    }

    private double likelyRoom() {
      return Math.min(link.likelyRoom(), rack.likelyRoom());
    }
  }

  /**
   * A title: the cells that hold it, and the number of this front's viewings of it for each package
   * with a limit. An entry is removed with its last viewing. Each request names the cells itself:
   * they decide where this request is set up, and no other.
   */
  public record Title(
      int firstCell, int cellsInRow, Map<PackageSettings, Integer> viewingsByPackage) {
    /** The same title, with the same count of viewings, as a request with these cells names it. */
    public Title withCells(int otherFirstCell, int otherCellsInRow) {
      return new Title(otherFirstCell, otherCellsInRow, viewingsByPackage);
    }
  }

  /** The handle of one viewing. */
  public final class Viewing {
    private final Environment.ViewingPort port;
    private final PackageSettings settings;
    private final Title title;
    private final int ceilingRung;
    private final Moment latencyDeadline;
    private final Moment deadline;
    private final Span answerMargin;
    private MediaBox currentBox;
    private int rung;
    private int tuneInCount;

    /** Reports that it still waits for. */
    private int awaitedReports;

    private boolean hasRequestedReports;
    private boolean playing;
    private boolean answered;
    private boolean mayHaveRun;
    private final UnconfirmedAttempts unconfirmed = new UnconfirmedAttempts();
    private Moment attemptEndedAt = Moment.DISTANT_PAST;
    private boolean isPlacementScheduled;

    /** A confirmation has been requested since its last attempt. */
    private boolean hasRequestedConfirmation;

    private Viewing(
        Environment.ViewingPort port,
        PackageSettings settings,
        Title title,
        int ceilingRung,
        Moment deadline) {
      this.port = port;
      this.settings = settings;
      this.title = title;
      this.ceilingRung =
          Math.max(settings.lowestRung(), Math.min(ceilingRung, settings.highestRung()));
      this.deadline = deadline;
      this.answerMargin = ANSWER_MARGIN.min(deadline.since(now).times(ANSWER_MARGIN_SHARE));
      this.latencyDeadline = now.plus(settings.latencyObjective());
      probesLeft =
          Math.min(
              MAX_SAVED_PROBES,
              probesLeft
                  + PROBE_SPENDING_PER_VIEWING
                      / Math.max(0.001, deployment.permissions().probePrice()));
    }

    private double rate(int rungIndex) {
      return settings.rateFactor() * deployment.ladderKbPerSecond()[rungIndex];
    }

    private boolean mayStep(int direction) {
      double currentRate = rate(rung);
      return direction < 0
          ? rung > settings.lowestRung()
          : rung < ceilingRung
              && currentBox.isWithinCap(
                  rate(rung + 1),
                  currentBox.link.knownRoom() + currentRate,
                  currentBox.rack.knownRoom() + currentRate);
    }

    /** Change of the rate when the viewing moves by so many rungs; negative for a step down. */
    private double rateDelta(int rungs) {
      return rate(rung + rungs) - rate(rung);
    }

    /** Value gained or lost for each kB per second of the step. */
    private double valuePerKb(int rungs) {
      return settings.value()
          * (deployment.rungValues()[rung + rungs] - deployment.rungValues()[rung])
          / rateDelta(rungs);
    }

    private void moveRung(int rungs) {
      changeRate(rateDelta(rungs), true);
      rung += rungs;
    }

    /**
     * Changes this front's rates. A change that has been in force already is not recorded as
     * unreported.
     */
    private void changeRate(double delta, boolean isUnreported) {
      currentBox.link.changeOwnRate(delta, isUnreported);
      currentBox.rack.changeOwnRate(delta, isUnreported);
    }

    /* ---- placement ---- */

    /**
     * Where probes or messages are allowed, reports on the two boxes that look best are requested
     * before the placement.
     */
    private void requestReportsAndPlace() {
      MediaBox first = roomiestBox(null);
      requestReport(first);
      requestReport(first == null ? null : roomiestBox(first));
      if (awaitedReports > 0) {
        environment.schedule(REPORT_TIMEOUT, this::place);
      } else {
        place();
      }
    }

    private void requestReport(MediaBox box) {
      if (box != null && box.requestReport()) {
        box.awaitingReport.add(this);
        hasRequestedReports = true;
        awaitedReports++;
      }
    }

    private void reportArrived() {
      if (--awaitedReports == 0) {
        place();
      }
    }

    private MediaBox roomiestBox(MediaBox excluded) {
      MediaBox best = null;
      double bestScore = Double.NEGATIVE_INFINITY;
      int cellCount =
          title.cellsInRow <= 0
              ? boxesByCell.size()
              : Math.min(boxesByCell.size(), title.cellsInRow);
      for (int i = 0; i < cellCount; i++) {
        for (MediaBox box :
            boxesByCell.get(Math.floorMod(title.firstCell + i, boxesByCell.size()))) {
          double score =
              box != excluded && mayTuneIn(this, box) ? score(box) : Double.NEGATIVE_INFINITY;
          if (score > bestScore) {
            bestScore = score;
            best = box;
          }
        }
      }
      return best;
    }

    private double score(MediaBox box) {
      double score =
          box.likelyRoom() + 0.2 * box.link.likelyRoom() + middleRate * random.nextDouble();
      // The front is already connected to a box that plays its viewings, and one report covers all
      // of them.
      double connectionBonus =
          deployment.permissions().connectionPrice()
              * UPLINK_LOAD_PER_CONNECTION_PRICE
              * box.rack.capacity();
      score += box.viewings.isEmpty() ? 0 : connectionBonus;
      score -=
          box.building == deployment.building()
              ? 0
              : deployment.permissions().buildingCrossingPrice() * 10 * middleRate;
      score -= box.reportedStreams + box.viewingsBeingSetUp() >= box.maxStreams ? 1e8 : 0;
      score -= box.isAvoided() ? 1e9 * (1 + box.failures) : 0;
      Moment newestReportAt = box.link.reportMeasuredAt.max(box.link.otherFrontsRateAt);
      return score
          - (hasRequestedReports && FRESH_REPORT_SPAN.isShorterThan(now.since(newestReportAt))
              ? 1e7
              : 0);
    }

    /**
     * Sends a tune-in to the box with the most room that holds the title. Where no box may take one
     * now it waits a little, and gives the final answer if that does not change.
     */
    private void place() {
      if (answered || currentBox != null) {
        return;
      }
      MediaBox best = roomiestBox(null);
      if (best != null && !wouldOverload(best)) {
        tuneIn(best);
      } else if (best == null
          && mayMakeAttempt()
          && PLACEMENT_RETRY_INTERVAL.isShorterThan(timeUntilAnswer(this))
          && (now.plus(PLACEMENT_RETRY_INTERVAL).isBefore(latencyDeadline)
              || awaitsConfirmation())) {
        requestConfirmation();
        schedulePlacement();
      } else {
        rejectOrFail(best);
      }
    }

    private void schedulePlacement() {
      if (!isPlacementScheduled) {
        isPlacementScheduled = true;
        environment.schedule(
            PLACEMENT_RETRY_INTERVAL,
            () -> {
              isPlacementScheduled = false;
              place();
            });
      }
    }

    /**
     * Requests a confirmation once after each attempt, where no other box is left. The probe is
     * taken from the budget of later ones.
     */
    private void requestConfirmation() {
      MediaBox awaited = boxAwaitingConfirmation();
      if (awaited != null && !hasRequestedConfirmation && deployment.permissions().mayProbe()) {
        hasRequestedConfirmation = true;
        probesLeft--;
        port.requestEndConfirmation(awaited.port.id());
      }
    }

    /**
     * A server could take the viewing but for an earlier attempt, whose end may be confirmed at any
     * moment.
     */
    private boolean awaitsConfirmation() {
      return boxAwaitingConfirmation() != null
          && now.since(attemptEndedAt).isShorterThan(CONFIRMATION_TIMEOUT);
    }

    private MediaBox boxAwaitingConfirmation() {
      if (unconfirmed.isEmpty()) {
        return null;
      }
      for (List<MediaBox> boxesOfCell : boxesByCell) {
        for (MediaBox box : boxesOfCell) {
          if (unconfirmed.mayBeOutAt(box.port.id()) && mayTuneInIgnoringUnconfirmed(this, box)) {
            return box;
          }
        }
      }
      return null;
    }

    /**
     * Even at its lowest rung the viewing would overload its best box, which costs the viewings
     * there more than it is worth. This protects against bursts of any size. The drawback: it also
     * rejects where the viewings there could still step down.
     */
    private boolean wouldOverload(MediaBox box) {
      double lowestRate = rate(settings.lowestRung());
      return box.link.likelyDemand() + lowestRate > box.link.capacity()
          || box.rack.likelyDemand() + lowestRate > box.rack.capacity();
    }

    private boolean mayMakeAttempt() {
      return tuneInCount < deployment.permissions().maxTuneIns()
          && (!mayHaveRun || !settings.paidAtSetUp());
    }

    /**
     * The highest rung that fits the cap and the room, or the lowest. On old reports it is also the
     * lowest where this box, or any two boxes with viewings of this front, are short: the room that
     * a step down leaves is seen by all fronts at once. The drawback: where the other boxes are not
     * short the rung is lower than necessary.
     */
    private int highestFittingRung(MediaBox box) {
      boolean isShortage =
          reliesOnOldReports
              && (box.isShort() || 1 < occupiedBoxes.stream().filter(MediaBox::isShort).count());
      for (int candidateRung = ceilingRung;
          candidateRung > settings.lowestRung() && !isShortage;
          candidateRung--) {
        double uplinkReserve = reliesOnOldReports ? UPLINK_RESERVE_SHARE * box.rack.capacity() : 0;
        if (rate(candidateRung) <= box.likelyRoom()
                && box.isWithinCap(
                    rate(candidateRung),
                    box.link.likelyRoom(),
                    box.rack.likelyRoom() - uplinkReserve)
            || reliesOnOldReports && fitsFairShare(box, candidateRung)) {
          return candidateRung;
        }
      }
      return settings.lowestRung();
    }

    /**
     * On old reports all fronts see the same room and either take it at once, or all start at the
     * lowest rung. A new viewing therefore takes the rung nearest to its fair share of the uplink,
     * as long as there is free capacity: the more viewings play already, the lower the rung. The
     * drawback: a front that fills an uplink alone could have used all of it.
     */
    private boolean fitsFairShare(MediaBox box, int candidateRung) {
      double freeCapacity =
          Math.min(
              box.link.capacity() - box.link.likelyDemand(),
              box.rack.capacity() - box.rack.likelyDemand());
      double fairShare = box.rack.capacity() / (box.rack.viewingsOnUplink() + 1);
      return rate(candidateRung) <= freeCapacity
          && rate(candidateRung) * rate(candidateRung - 1) <= fairShare * fairShare
          && box.isWithinCap(rate(candidateRung), box.link.likelyRoom(), Double.POSITIVE_INFINITY);
    }

    private void tuneIn(MediaBox box) {
      int startRung = highestFittingRung(box);
      Span timeToObjective = latencyDeadline.since(now);
      Span timeout =
          MIN_ATTEMPT_TIMEOUT.isShorterThan(timeToObjective)
              ? timeToObjective.times(0.5).max(MIN_ATTEMPT_TIMEOUT)
              : LATE_ATTEMPT_TIMEOUT;
      recordTuneIn(this, box);
      occupy(box, startRung);
      port.setRung(rung);
      port.tuneIn(box, timeout.min(timeUntilAnswer(this)));
      box.sendUsage(1);
    }

    private void occupy(MediaBox box, int startRung) {
      currentBox = box;
      rung = startRung;
      changeRate(rate(startRung), !playing);
      if (box.viewings.isEmpty()) {
        occupiedBoxes.add(box);
        box.shortAverage = SHORT_AVERAGE_RESET;
        box.longAverage = LONG_AVERAGE_RESET;
        box.sampledAt = now;
      }
      box.viewings.add(this);
      if (settings.maxViewingsPerTitle() > 0) {
        title.viewingsByPackage.merge(settings, 1, Integer::sum);
      }
    }

    private void vacate() {
      changeRate(-rate(rung), true);
      currentBox.viewings.remove(this);
      if (currentBox.viewings.isEmpty()) {
        occupiedBoxes.remove(currentBox);
        currentBox.sendUsage(1);
      }
      if (settings.maxViewingsPerTitle() > 0) {
        title.viewingsByPackage.computeIfPresent(
            settings, (key, count) -> count > 1 ? count - 1 : null);
      }
      currentBox = null;
    }

    /** Gives the final answer at once: a rejection where a retry is safe, a failure otherwise. */
    private void rejectOrFail(MediaBox best) {
      Environment.RejectionReason reason = rejectionReason(best);
      answered = true;
      if (mayHaveRun && settings.paidAtSetUp()) {
        port.fail();
      } else {
        port.reject(REJECTION_RETRY_AFTER.min(deployment.permissions().maxRetryAfter()), reason);
      }
    }

    private Environment.RejectionReason rejectionReason(MediaBox best) {
      if (best != null) {
        return Environment.RejectionReason.SERVERS_FULL;
      }
      if (!mayMakeAttempt()) {
        return Environment.RejectionReason.ATTEMPTS_USED_UP;
      }
      if (!answerMargin.isShorterThan(timeUntilAnswer(this))) {
        return Environment.RejectionReason.DEADLINE_TOO_CLOSE;
      }
      if (tuneInCount > 0 && !hasRetryBudget()) {
        return Environment.RejectionReason.RETRY_BUDGET_USED_UP;
      }
      return boxAwaitingConfirmation() != null
          ? Environment.RejectionReason.EARLIER_ATTEMPT_UNCONFIRMED
          : Environment.RejectionReason.NO_SERVER;
    }

    /* ---- events of a viewing ---- */

    public void playbackStarted() {
      if (currentBox == null) {
        return;
      }
      playing = true;
      answered = true;
      currentBox.recordSuccess();
      currentBox.sample();
    }

    /**
     * The tune-in is no longer in progress. {@code viewingEnded}: the viewing has ended with it or
     * before; {@code confirmed}: the tune-in has ended at its server too.
     */
    public void tuneInEnded(
        Environment.AttemptOutcome outcome, boolean viewingEnded, boolean confirmed) {
      if (currentBox == null) {
        return;
      }
      MediaBox box = currentBox;
      boolean wasPlaying = playing;
      playing = false;
      if (!confirmed) {
        unconfirmed.add(box.port.id(), tuneInCount - 1);
      }
      attemptEndedAt = now;
      hasRequestedConfirmation = false;
      vacate();
      mayHaveRun |= !outcome.neverRan;
      switch (outcome) {
        case ERROR, SPOILT, TURNED_AWAY, UNHEARD -> box.recordFailure(false);
        case NO_ANSWER, NOT_REACHED, BROKEN, RESET -> box.recordFailure(true);
        default -> {}
      }
      box.sample();
      answered |= viewingEnded || wasPlaying;
      if (!answered) {
        place();
      }
    }

    /** That attempt, whose end was unconfirmed, has ended at its server too. */
    public void endConfirmed(int attempt) {
      if (unconfirmed.confirm(attempt) && isPlacementScheduled) {
        place();
      }
    }

    /** The viewer has left. A tune-in in progress still ends by itself. */
    public void viewerLeft() {
      answered = true;
    }

    /** The box reports the share of the viewing's rate that it delivers. */
    public void shareDelivered(double share) {
      if (currentBox != null) {
        currentBox.applyDeliveredShare(share);
      }
    }

    /** The box reports the rung in force. */
    public void rungReported(int reportedRung) {
      if (currentBox != null
          && reportedRung != rung
          && reportedRung >= 0
          && reportedRung < deployment.ladderKbPerSecond().length) {
        changeRate(rateDelta(reportedRung - rung), false);
        rung = reportedRung;
      }
    }

    /**
     * The box reports the load of its link and uplink along with this viewing; NaN for what it does
     * not report.
     */
    public void loadsReported(double linkLoad, double uplinkLoad) {
      if (currentBox != null) {
        Span reportDelay = playing ? deployment.fleet().shareReportDelay() : Span.NONE;
        currentBox.applyLoads(linkLoad, uplinkLoad, now.minus(reportDelay));
      }
    }
  }

  /* ---- admission: every tune-in is checked here against every rule ---- */

  private boolean mayTuneIn(Viewing viewing, MediaBox box) {
    return !viewing.unconfirmed.mayBeOutAt(box.port.id())
        && !viewing.unconfirmed.mayBeOutAt(box.port.predecessorId())
        && mayTuneInIgnoringUnconfirmed(viewing, box);
  }

  private boolean mayTuneInIgnoringUnconfirmed(Viewing viewing, MediaBox box) {
    return !viewing.answered
        && viewing.currentBox == null
        && viewing.mayMakeAttempt() // one at a time, none after a paid one that may have run
        && viewing.answerMargin.isShorterThan(
            timeUntilAnswer(viewing)) // the answer comes before the viewer's deadline
        && box.serving
        && box.holds(viewing.title) // none once it drains: the grace period is not used
        && (viewing.settings.maxViewingsPerTitle() <= 0
            || viewing.title.viewingsByPackage.getOrDefault(viewing.settings, 0)
                < viewing.settings.maxViewingsPerTitle())
        && (viewing.tuneInCount == 0 || hasRetryBudget())
        && isWithinColdLimit(box);
  }

  private Span timeUntilAnswer(Viewing viewing) {
    return viewing.deadline.since(now).minus(viewing.answerMargin);
  }

  private void recordTuneIn(Viewing viewing, MediaBox box) {
    if (viewing.tuneInCount++ > 0) {
      retryTimes.add(now);
    }
    prune(box.tuneInTimes, now.minus(coldLimitWindow()));
    box.tuneInTimes.add(now);
  }

  private boolean hasRetryBudget() {
    Deployment.Rules rules = deployment.rules();
    pruneRetryBudget();
    return rules.retryWindow().equals(Span.NONE)
        || retryTimes.size() + 1
            <= rules.freeRetries() + rules.retriesPerRequest() * requestTimes.size();
  }

  /**
   * The budget applies to the time of sending, which may be this much later than the choice of the
   * box.
   */
  private void pruneRetryBudget() {
    prune(retryTimes, now.minus(deployment.rules().retryWindow()).minus(MAX_SEND_DELAY));
    prune(requestTimes, now.minus(deployment.rules().retryWindow()).plus(MAX_SEND_DELAY));
  }

  private static void prune(ArrayDeque<Moment> moments, Moment earliest) {
    while (!moments.isEmpty() && moments.peek().isBefore(earliest)) {
      moments.poll();
    }
  }

  /** The window within which tune-ins to a cold box are counted. */
  private Span coldLimitWindow() {
    return deployment.rules().overloadWindow().plus(MAX_SEND_DELAY);
  }

  /**
   * A cold box gets this front's part of what all fronts together may send it in any window,
   * computed with the capacity that it is sure to have at its start. Where that part is less than
   * one set-up the fronts take turns by their numbers, so that they stay within the limit without
   * messages. A front that has just started itself may have sent tune-ins before its start, so it
   * waits.
   */
  private boolean isWithinColdLimit(MediaBox box) {
    Deployment.Rules rules = deployment.rules();
    if (!now.isBefore(box.startedAt.max(box.lastUnreachableAt).plus(rules.coldPeriod()))) {
      return true; // it neither started nor became unreachable so recently that it may be cold
    }
    Span window = coldLimitWindow();
    prune(box.tuneInTimes, now.minus(window));
    double fleetBudget =
        COLD_BUDGET_SHARE
            * rules.overloadMultiple()
            * box.maxStreams
            * rules.coldStartCapacity()
            * rules.overloadWindow().seconds()
            / rules.coldPeriod().seconds();
    if (now.since(frontStartedAt).isShorterThan(window)) {
      return false;
    }
    double ownBudget = Math.floor(fleetBudget / deployment.frontCount());
    if (ownBudget >= 1) {
      return box.tuneInTimes.size() < ownBudget;
    }
    double turnsPerWindow = Math.floor(fleetBudget) - 1;
    long currentTurn =
        Math.floorDiv(now.micros(), Math.max(1, Math.round(window.micros() / turnsPerWindow)));
    return turnsPerWindow >= 1
        && box.tuneInTimes.isEmpty()
        && Math.floorMod(currentTurn, deployment.frontCount()) == deployment.frontNumber();
  }
}
