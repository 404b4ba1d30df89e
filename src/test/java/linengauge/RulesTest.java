package linengauge;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.Environment.AttemptOutcome;
import linengauge.PolicyHarness.Box;
import linengauge.PolicyHarness.Viewer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random sequences of events by seed. {@link PolicyHarness} checks the six rules at every step. */
class RulesTest {
  @ParameterizedTest
  @ValueSource(
      longs = {
        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24
      })
  void rulesHoldAfterEveryStep(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    PackageSettings[] packages = {
      PolicyHarness.packageSettings(0, 0, false),
      PolicyHarness.packageSettings(2, 2, false),
      PolicyHarness.packageSettings(0, 0, true)
    };
    Span retryWindow = random.nextBoolean() ? Span.ofSeconds(5) : Span.NONE;
    Deployment deployment =
        PolicyHarness.smallDeployment(
            1 + random.nextInt(seed % 2 == 0 ? 6 : 300),
            random.nextBoolean(),
            random.nextBoolean(),
            retryWindow,
            packages);
    PolicyHarness harness = new PolicyHarness(deployment, seed, 4);
    List<Policy.Title> titles = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      titles.add(harness.policy.createTitle(i, 3));
      harness.addPlaying(packages[0], titles.get(i), harness.boxes.get(i), random.nextInt(5));
    }
    double faultRate = random.nextDouble() * 0.6;
    int playedCount = 0;
    for (int i = 0; i < 3000; i++) {
      harness.advance(Span.ofMillis(10 + random.nextInt(40)));
      if (random.nextInt(8) == 0) {
        harness.request(
            packages[random.nextInt(3)],
            titles.get(random.nextInt(3)),
            Span.ofMillis(300 + random.nextInt(3000)));
      }
      for (Viewer viewer : List.copyOf(harness.viewers)) {
        playedCount += simulateOutcome(harness, viewer, random, faultRate);
      }
      Box box = harness.boxes.get(random.nextInt(4));
      switch (random.nextInt(120)) {
        case 0 -> box.markDraining();
        case 1 -> box.markGone();
        case 2, 3, 4 -> box.markServing(harness.now.minus(Span.ofMillis(random.nextInt(2000))));
        case 5 -> box.handle.loadReported(random.nextDouble() * 2, Double.NaN, 3);
        case 6 -> box.handle.loadReported(Double.NaN, random.nextDouble() * 2, Double.NaN);
        case 7 ->
            box.handle.usageReceived(
                1 + random.nextInt(8),
                random.nextInt(4),
                random.nextInt(900),
                0.5 + random.nextDouble());
        case 8 -> {
          box.handle.probeEnded(false);
          box.lastUnreachableAt = harness.now;
        }
        default -> {}
      }
      if (random.nextInt(200) == 0) {
        harness.pauseProcess(Span.ofMillis(300 + random.nextInt(1700)));
      }
      harness.checkDeadlines();
    }
    assertTrue(playedCount > 2, "too few viewings played: " + playedCount);
  }

  /**
   * Each front has a burst of requests, all four boxes have just started, and the fronts exchange
   * no messages.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 3, 20, 240})
  void allFrontsTogetherNeverOverloadAColdBox(int frontCount) {
    SplittableRandom random = new SplittableRandom(frontCount);
    PackageSettings plain = PolicyHarness.packageSettings(0, 0, false);
    Deployment deployment =
        PolicyHarness.smallDeployment(frontCount, false, false, Span.NONE, plain);
    List<PolicyHarness> harnesses = new ArrayList<>();
    for (int i = 0; i < frontCount; i++) {
      harnesses.add(new PolicyHarness(PolicyHarness.withFrontNumber(deployment, i), i, 4));
      harnesses.get(i).advance(Span.ofSeconds(3));
      harnesses.get(i).boxes.forEach(box -> box.markServing(harnesses.get(0).now));
    }
    List<List<Moment>> tuneInTimesByBox =
        List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    for (int step = 0; step < 90; step++) {
      for (PolicyHarness harness : harnesses) {
        harness.advance(Span.ofMillis(100));
        Viewer viewer =
            harness.request(
                plain, harness.policy.createTitle(random.nextInt(4), 1), Span.ofMillis(900));
        if (viewer.box != null) {
          tuneInTimesByBox.get(harness.boxes.indexOf(viewer.box)).add(harness.now);
          viewer.startPlaying();
        }
      }
    }
    double maxTuneIns =
        deployment.rules().overloadMultiple()
            * 24
            * deployment.rules().coldStartCapacity()
            * 2
            / 10;
    for (List<Moment> tuneInTimes : tuneInTimesByBox) {
      assertTrue(frontCount > 20 || !tuneInTimes.isEmpty(), "a cold box is never used");
      for (Moment from : tuneInTimes) {
        long tuneInsInWindow =
            tuneInTimes.stream()
                .filter(
                    moment ->
                        !moment.isBefore(from) && moment.isBefore(from.plus(Span.ofSeconds(2))))
                .count();
        assertTrue(
            tuneInsInWindow <= maxTuneIns,
            tuneInsInWindow + " set-ups in a window of " + maxTuneIns);
      }
    }
  }

  private static int simulateOutcome(
      PolicyHarness harness, Viewer viewer, SplittableRandom random, double faultRate) {
    if (viewer.box == null) {
      return 0;
    }
    if (viewer.playing) {
      switch (random.nextInt(400)) {
        case 0, 1, 2 -> viewer.endAttempt(AttemptOutcome.FINISHED);
        case 3 -> viewer.endAttempt(AttemptOutcome.BROKEN);
        case 4, 5, 6 -> viewer.handle.shareDelivered(random.nextDouble());
        case 7 -> viewer.handle.loadsReported(random.nextDouble() * 2, Double.NaN);
        default -> {}
      }
      return 0;
    }
    if (random.nextDouble() < faultRate / 10) {
      AttemptOutcome[] outcomes = {
        AttemptOutcome.ERROR,
        AttemptOutcome.TURNED_AWAY,
        AttemptOutcome.NOT_REACHED,
        AttemptOutcome.BROKEN,
        AttemptOutcome.NEVER_SENT
      };
      viewer.endAttempt(outcomes[random.nextInt(outcomes.length)]);
    } else if (random.nextDouble() > faultRate && random.nextInt(4) == 0) {
      viewer.startPlaying();
      return 1;
    }
    return 0;
  }
}
