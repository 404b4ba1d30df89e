package linengauge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * A front with its boxes and viewers. Checks the six rules at every tune-in and every answer: one
 * answer, before the deadline; no paid set-up repeated, and never two attempts in progress; no
 * tune-in to a box after its drain grace period; cold boxes within their limit; rungs and viewings
 * of a title within the package's bounds; retries within the budget.
 */
final class PolicyHarness implements Environment {
  private static final Span DRAIN_GRACE = Span.ofMillis(1000);

  final class Box implements BoxPort {
    final Policy.MediaBox handle;
    int cell;
    boolean isServing;
    Moment stopReportedAt = Moment.DISTANT_PAST;
    Moment startedAt = Moment.DISTANT_PAST;
    Moment lastUnreachableAt = Moment.DISTANT_PAST;
    int probeCount;
    final List<Moment> tuneInTimes = new ArrayList<>();

    final long id = nextBoxId++;

    Box(int cell) {
      this.cell = cell;
      this.handle = policy.createBox(this);
    }

    void markServing(Moment startedAt) {
      isServing = true;
      this.startedAt = startedAt;
      handle.markServing(1, cell, 0, 0, startedAt);
    }

    void markDraining() {
      stopReportedAt = isServing ? now : stopReportedAt;
      isServing = false;
      handle.markDraining();
    }

    void markGone() {
      stopReportedAt = isServing ? now : stopReportedAt;
      isServing = false;
      handle.markGone();
    }

    @Override
    public long id() {
      return id;
    }

    @Override
    public void probe() {
      assertTrue(deployment.permissions().mayProbe(), "probed without permission");
      probeCount++;
    }
  }

  final class Viewer implements ViewingPort {
    /** Attempts that have ended here without a confirmation of their servers. */
    final Map<Integer, Box> unconfirmed = new HashMap<>();

    final PackageSettings settings;
    final Policy.Title title;
    final int ceilingRung;
    final Moment deadline;
    Policy.Viewing handle;
    Box box;
    int tuneInCount;
    int rung;
    boolean playing;
    boolean mayHaveRun;
    String answer; // null while it waits; "blocked" is a rejection, "aborted" a failure
    Span timeout;

    Viewer(PackageSettings settings, Policy.Title title, int ceilingRung, Span timeLimit) {
      this.settings = settings;
      this.title = title;
      this.ceilingRung = ceilingRung;
      this.deadline = now.plus(timeLimit);
    }

    @Override
    public void tuneIn(Policy.MediaBox mediaBox, Span timeout) {
      Box target = (Box) mediaBox.port();
      Deployment.Rules rules = deployment.rules();
      assertNull(answer, "sent after the answer");
      assertNull(box, "two tune-ins in progress");
      assertFalse(settings.paidAtSetUp() && mayHaveRun, "a paid set-up is repeated");
      assertTrue(++tuneInCount <= deployment.permissions().maxTuneIns(), "too many tune-ins");
      assertTrue(
          target.isServing || now.since(target.stopReportedAt).isShorterThan(DRAIN_GRACE),
          "sent after the drain grace period");
      assertTrue(
          timeout.micros() > 0 && !deadline.isBefore(now.plus(timeout)),
          "time limit of the attempt exceeds the deadline");
      Moment coldSince = target.startedAt.max(target.lastUnreachableAt);
      target.tuneInTimes.add(now);
      if (now.isBefore(coldSince.plus(rules.coldPeriod()))) {
        target.tuneInTimes.removeIf(moment -> moment.isBefore(now.minus(rules.overloadWindow())));
        double fleetBudget =
            rules.overloadMultiple()
                * deployment.fleet().streamsByKind()[0]
                * rules.coldStartCapacity()
                * rules.overloadWindow().seconds()
                / rules.coldPeriod().seconds();
        int ownBudget = Math.max(1, (int) Math.floor(fleetBudget / deployment.frontCount()));
        assertTrue(
            target.tuneInTimes.size() <= ownBudget,
            "cold box over its limit: " + target.tuneInTimes.size() + " of " + ownBudget);
      }
      if (tuneInCount > 1 && !rules.retryWindow().equals(Span.NONE)) {
        retryTimes.add(now);
        Moment windowStart = now.minus(rules.retryWindow());
        long retries = retryTimes.stream().filter(moment -> !moment.isBefore(windowStart)).count();
        long requests =
            requestTimes.stream().filter(moment -> !moment.isBefore(windowStart)).count();
        assertTrue(
            retries <= rules.freeRetries() + rules.retriesPerRequest() * requests,
            "retries over budget");
      }
      assertFalse(
          unconfirmed.containsValue(target),
          "sent where an earlier attempt may still be in progress");
      box = target;
      this.timeout = timeout;
      int attempt = tuneInCount;
      schedule(
          timeout,
          () -> {
            if (box != null && !playing && tuneInCount == attempt) {
              endAttempt(AttemptOutcome.NO_ANSWER);
            }
          });
      if (settings.maxViewingsPerTitle() > 0) {
        long openViewings =
            viewers.stream()
                .filter(
                    viewer ->
                        viewer.box != null && viewer.title == title && viewer.settings == settings)
                .count();
        assertTrue(
            openViewings <= settings.maxViewingsPerTitle(),
            "more viewings of a title than allowed");
      }
    }

    @Override
    public void setRung(int rung) {
      assertTrue(
          rung >= settings.lowestRung() && rung <= ceilingRung, "rung " + rung + " not allowed");
      this.rung = rung;
    }

    @Override
    public void reject(Span retryAfter, Environment.RejectionReason reason) {
      assertFalse(settings.paidAtSetUp() && mayHaveRun, "rejected though an attempt may have run");
      recordAnswer("blocked");
    }

    @Override
    public void fail() {
      recordAnswer("aborted");
    }

    private void recordAnswer(String given) {
      assertNull(answer, "answered twice");
      assertFalse(deadline.isBefore(now), "answered too late");
      answer = given;
    }

    /** The server confirms that it has read the end of that attempt. */
    void endConfirmed(int attempt) {
      unconfirmed.remove(attempt);
      handle.endConfirmed(attempt);
    }

    void startPlaying() {
      recordAnswer("plays");
      playing = true;
      handle.playbackStarted();
    }

    void endAttempt(AttemptOutcome outcome) {
      boolean wasPlaying = playing;
      if (outcome == AttemptOutcome.NO_ANSWER
          || outcome == AttemptOutcome.NOT_REACHED
          || outcome == AttemptOutcome.BROKEN) {
        box.lastUnreachableAt = now;
      }
      playing = false;
      mayHaveRun |= !outcome.neverRan;
      Box target = box;
      box = null;
      if (wasPlaying || answer != null) {
        viewers.remove(this);
      }
      if (!outcome.confirmed) {
        unconfirmed.put(tuneInCount - 1, target);
      }
      handle.tuneInEnded(outcome, wasPlaying, outcome.confirmed);
    }
  }

  private record ScheduledTask(Moment at, long number, Runnable task) {}

  final Deployment deployment;
  final Policy policy;
  final List<Box> boxes = new ArrayList<>();
  final List<Viewer> viewers = new ArrayList<>();
  final List<Double> reportedRates = new ArrayList<>();
  final List<Double> reportedCapacities = new ArrayList<>();
  private final ArrayDeque<Moment> requestTimes = new ArrayDeque<>();
  private final ArrayDeque<Moment> retryTimes = new ArrayDeque<>();
  private final PriorityQueue<ScheduledTask> scheduledTasks =
      new PriorityQueue<>(
          (a, b) -> a.at.equals(b.at) ? Long.compare(a.number, b.number) : a.at.compareTo(b.at));
  private long nextTaskNumber;
  private long nextBoxId;
  Moment now;

  PolicyHarness(Deployment deployment, long seed, int boxCount) {
    this(deployment, seed, boxCount, new Moment(1_000_000_000L));
  }

  /** A front that starts at the given moment. */
  PolicyHarness(Deployment deployment, long seed, int boxCount, Moment start) {
    this.now = start;
    this.deployment = deployment;
    this.policy = new Policy(deployment, seed, this);
    policy.setTime(now);
    for (int i = 0; i < boxCount; i++) {
      Box box = new Box(i);
      boxes.add(box);
      box.markServing(Moment.DISTANT_PAST);
    }
  }

  /**
   * A small deployment: five rungs, links of 1000 kB per second, one rack with an uplink of 4000 kB
   * per second.
   *
   * @param retryWindow {@link Span#NONE}: retries are not limited
   */
  static Deployment smallDeployment(
      int frontCount,
      boolean mayMessageFronts,
      boolean mayProbe,
      Span retryWindow,
      PackageSettings... packages) {
    return new Deployment(
        frontCount,
        0,
        0,
        List.of(packages),
        new double[] {30, 60, 100, 170, 300},
        new double[] {0.25, 0.45, 0.65, 0.82, 1},
        new Deployment.Fleet(4, 1, new int[] {24}, 4000, 1000, 4000, Span.ofMillis(800)),
        new Deployment.Rules(Span.ofSeconds(10), 0.4, 2.5, Span.ofSeconds(2), 3, 0.2, retryWindow),
        new Deployment.Permissions(
            4, mayMessageFronts, mayProbe, mayProbe, 0.008, 0.01, 0, Span.ofSeconds(2)));
  }

  static PackageSettings packageSettings(
      int lowestRung, int maxViewingsPerTitle, boolean paidAtSetUp) {
    return new PackageSettings(
        1, Span.ofMillis(800), 1, lowestRung, 4, maxViewingsPerTitle, paidAtSetUp);
  }

  static Deployment withFrontNumber(Deployment deployment, int frontNumber) {
    return new Deployment(
        deployment.frontCount(),
        frontNumber,
        deployment.building(),
        deployment.packages(),
        deployment.ladderKbPerSecond(),
        deployment.rungValues(),
        deployment.fleet(),
        deployment.rules(),
        deployment.permissions());
  }

  Viewer request(PackageSettings settings, Policy.Title title, Span timeLimit) {
    requestTimes.add(now);
    Viewer viewer = new Viewer(settings, title, 4, timeLimit);
    viewers.add(viewer);
    viewer.handle = policy.requestViewing(viewer, settings, title, 4, timeLimit);
    assertNotNull(viewer.handle);
    return viewer;
  }

  /** Adds a viewing that plays at the box already. */
  Viewer addPlaying(PackageSettings settings, Policy.Title title, Box box, int rung) {
    Viewer viewer = new Viewer(settings, title, 4, Span.NONE);
    viewers.add(viewer);
    viewer.answer = "plays";
    viewer.playing = true;
    viewer.box = box;
    viewer.rung = rung;
    viewer.handle = policy.adoptViewing(viewer, settings, title, 4, box.handle);
    viewer.handle.rungReported(rung);
    return viewer;
  }

  void advance(Span span) {
    Moment until = now.plus(span);
    while (!scheduledTasks.isEmpty() && !until.isBefore(scheduledTasks.peek().at)) {
      ScheduledTask next = scheduledTasks.poll();
      now = next.at;
      policy.setTime(now);
      next.task.run();
      checkDeadlines();
    }
    now = until;
    policy.setTime(now);
    checkDeadlines();
  }

  /**
   * The front's process is paused: afterwards all tasks that became due run at once, and some
   * viewers have left.
   */
  void pauseProcess(Span span) {
    now = now.plus(span);
    policy.setTime(now);
    for (Viewer viewer : List.copyOf(viewers)) {
      if (viewer.answer == null && viewer.deadline.isBefore(now)) {
        viewer.answer = "left";
        viewer.handle.viewerLeft();
        if (viewer.box == null) {
          viewers.remove(viewer);
        }
      }
    }
    while (!scheduledTasks.isEmpty() && !now.isBefore(scheduledTasks.peek().at)) {
      scheduledTasks.poll().task.run();
    }
    checkDeadlines();
  }

  /**
   * Checks that each viewing past its deadline has been answered, or that its attempt is just
   * timing out.
   */
  void checkDeadlines() {
    for (Viewer viewer : viewers) {
      assertTrue(
          viewer.answer != null || !viewer.deadline.isBefore(now), "no answer before the deadline");
    }
    assertEquals(
        0,
        viewers.stream()
            .filter(
                viewer ->
                    viewer.answer == null
                        && viewer.box == null
                        && viewer.deadline.isBefore(now.plus(Span.ofMillis(1))))
            .count(),
        "still waiting at its deadline");
  }

  @Override
  public void schedule(Span delay, Runnable task) {
    scheduledTasks.add(new ScheduledTask(now.plus(delay), nextTaskNumber++, task));
  }

  @Override
  public void sendUsage(
      int rackOwner, Policy.MediaBox box, int viewingCount, double rate, double uplinkShare) {
    assertTrue(deployment.permissions().mayMessageFronts(), "sent a message without permission");
  }

  @Override
  public void sendRackUsage(
      int front,
      Policy.MediaBox box,
      int otherFrontsViewings,
      double otherFrontsRate,
      double rackRate,
      double rackCapacity) {
    reportedRates.add(otherFrontsRate);
    reportedCapacities.add(rackCapacity);
  }
}
