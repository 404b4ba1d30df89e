package linengauge;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.Environment.AttemptOutcome;
import linengauge.PolicyHarness.Viewer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What a whole fleet of fronts sends to boxes that have just started, over many seeds. Each front
 * has a burst of requests and exchanges no messages; some learn late of the start, some restart
 * without memory of what they sent, and some set-ups are sent a while after their box was chosen. A
 * window may exceed its budget N by 2 * sqrt(N) + 2 by chance.
 */
class ColdRampTest {
  private static final int BOX_COUNT = 2;
  private static final Span STEP_SPAN = Span.ofMillis(100);
  private static final int SEED_COUNT = 100;

  private record SentTuneIn(Moment at, int boxIndex) {}

  private static Deployment deployment(int frontCount, int streamsPerBox) {
    Deployment small =
        PolicyHarness.smallDeployment(
            frontCount, false, false, Span.NONE, PolicyHarness.packageSettings(0, 0, false));
    var fleet = small.fleet();
    return new Deployment(
        frontCount,
        0,
        0,
        small.packages(),
        small.ladderKbPerSecond(),
        small.rungValues(),
        new Deployment.Fleet(
            fleet.cellCount(),
            fleet.rackCount(),
            new int[] {streamsPerBox},
            4e8,
            2e8,
            4e8,
            fleet.shareReportDelay()),
        small.rules(),
        small.permissions());
  }

  private final class SimulatedFleet {
    private final Deployment deployment;
    private final SplittableRandom random;
    private final List<PolicyHarness> fronts = new ArrayList<>();
    private final List<Moment> restartReportedAt = new ArrayList<>();
    private final List<SentTuneIn> sentTuneIns = new ArrayList<>();
    private Moment now = new Moment(1_000_000_000L);
    private Moment boxesStartedAt = Moment.DISTANT_PAST;

    private SimulatedFleet(Deployment deployment, long seed) {
      this.deployment = deployment;
      this.random = new SplittableRandom(seed);
      for (int i = 0; i < deployment.frontCount(); i++) {
        fronts.add(
            new PolicyHarness(
                PolicyHarness.withFrontNumber(deployment, i), seed * 1000 + i, BOX_COUNT, now));
        restartReportedAt.add(Moment.DISTANT_PAST);
      }
    }

    private void step(boolean withFrontRestarts) {
      now = now.plus(STEP_SPAN);
      for (int i = 0; i < fronts.size(); i++) {
        if (withFrontRestarts && random.nextInt(200) == 0) {
          fronts.set(
              i,
              new PolicyHarness(
                  PolicyHarness.withFrontNumber(deployment, i),
                  random.nextLong(),
                  BOX_COUNT,
                  now.minus(STEP_SPAN)));
          // The box list that the front reads at its start includes the restart of the boxes.
          reportRestart(i);
        }
        PolicyHarness harness = fronts.get(i);
        harness.advance(now.since(harness.now));
        if (!restartReportedAt.get(i).equals(Moment.DISTANT_PAST)
            && !now.isBefore(restartReportedAt.get(i))
            && harness.boxes.get(0).startedAt.isBefore(boxesStartedAt)) {
          reportRestart(i);
        }
        requestViewing(i, harness);
      }
    }

    private void reportRestart(int front) {
      fronts.get(front).boxes.forEach(box -> box.markServing(boxesStartedAt));
    }

    private void requestViewing(int front, PolicyHarness harness) {
      harness.request(
          harness.deployment.packages().get(0),
          harness.policy.createTitle(random.nextInt(BOX_COUNT), 1),
          Span.ofMillis(900));
      for (Viewer viewer : List.copyOf(harness.viewers)) {
        if (viewer.box != null && !viewer.playing) {
          sendTuneIn(harness, viewer);
        }
      }
    }

    private void sendTuneIn(PolicyHarness harness, Viewer viewer) {
      // A set-up whose box was chosen before the front learned of the box's start is not sent:
      // Session.tryBeginSend checks this, and the box is chosen again.
      if (!viewer.box.startedAt.isBefore(boxesStartedAt)) {
        Moment sentAt =
            random.nextInt(3) == 0
                ? now.plus(Policy.MAX_SEND_DELAY.times(random.nextDouble()))
                : now;
        sentTuneIns.add(new SentTuneIn(sentAt, harness.boxes.indexOf(viewer.box)));
      }
      viewer.startPlaying();
      viewer.endAttempt(AttemptOutcome.FINISHED);
    }
  }

  @ParameterizedTest
  @CsvSource({"20,24", "20,240", "30,24", "30,240", "100,24", "100,240", "100,1000", "3,24"})
  void allFrontsTogetherStayWithinTheBudgetOfAColdBox(int frontCount, int streamsPerBox) {
    Deployment deployment = deployment(frontCount, streamsPerBox);
    Deployment.Rules rules = deployment.rules();
    double worstExcess = Double.NEGATIVE_INFINITY;
    long sent = 0;
    int seedCount = SEED_COUNT * 20 / Math.max(20, frontCount);
    for (long seed = 1; seed <= seedCount; seed++) {
      SimulatedFleet fleet = new SimulatedFleet(deployment, seed);
      for (int i = 0; i < 30; i++) {
        fleet.step(false);
      }
      fleet.boxesStartedAt = fleet.now;
      fleet.sentTuneIns.clear();
      for (int i = 0; i < frontCount; i++) {
        fleet.restartReportedAt.set(
            i,
            fleet.now.plus(
                fleet.random.nextInt(3) == 0
                    ? Span.ofMillis(fleet.random.nextInt(2000))
                    : Span.NONE));
      }
      for (int i = 0; i < 80; i++) {
        fleet.step(true);
      }
      for (int box = 0; box < BOX_COUNT; box++) {
        int boxIndex = box;
        List<SentTuneIn> tuneIns =
            fleet.sentTuneIns.stream()
                .filter(tuneIn -> tuneIn.boxIndex() == boxIndex)
                .sorted((a, b) -> a.at().compareTo(b.at()))
                .toList();
        sent += tuneIns.size();
        int first = 0;
        for (int i = 0; i < tuneIns.size(); i++) {
          while (!tuneIns
              .get(i)
              .at()
              .isBefore(tuneIns.get(first).at().plus(rules.overloadWindow()))) {
            first++;
          }
          double ageSeconds = tuneIns.get(first).at().since(fleet.boxesStartedAt).seconds();
          double warmCapacityShare =
              Math.min(
                  1,
                  rules.coldStartCapacity()
                      + (1 - rules.coldStartCapacity())
                          * ageSeconds
                          / rules.coldPeriod().seconds());
          double budget =
              rules.overloadMultiple()
                  * streamsPerBox
                  * warmCapacityShare
                  * rules.overloadWindow().seconds()
                  / rules.coldPeriod().seconds();
          worstExcess = Math.max(worstExcess, i - first + 1 - (budget + 2 * Math.sqrt(budget) + 2));
        }
      }
    }
    assertTrue(worstExcess <= 0, worstExcess + " over the budget and the allowance for chance");
    assertTrue(sent > seedCount, "too few tune-ins were sent: " + sent);
  }
}
