package linengauge;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Seeded random days; Stage checks the six rules at every step of them. */
class RulesTest {
  @ParameterizedTest
  @ValueSource(
      longs = {
        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24
      })
  void rulesHoldAfterEveryStep(long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    PackageSettings[] packages = {
      PolicyHarness.terms(0, 0, false),
      PolicyHarness.terms(2, 2, false),
      PolicyHarness.terms(0, 0, true)
    };
    Span ration = chance.nextBoolean() ? Span.ofSeconds(5) : Span.NONE;
    Deployment place =
        PolicyHarness.place(
            1 + chance.nextInt(seed % 2 == 0 ? 6 : 300),
            chance.nextBoolean(),
            chance.nextBoolean(),
            ration,
            packages);
    PolicyHarness stage = new PolicyHarness(place, seed, 4);
    List<Policy.Title> titles = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      titles.add(stage.policy.createTitle(i, 3));
      stage.plays(packages[0], titles.get(i), stage.boxes.get(i), chance.nextInt(5));
    }
    double trouble = chance.nextDouble() * 0.6;
    int plays = 0;
    for (int i = 0; i < 3000; i++) {
      stage.pass(Span.ofMillis(10 + chance.nextInt(40)));
      if (chance.nextInt(8) == 0) {
        stage.take(
            packages[chance.nextInt(3)],
            titles.get(chance.nextInt(3)),
            Span.ofMillis(300 + chance.nextInt(3000)));
      }
      for (PolicyHarness.Viewer v : List.copyOf(stage.viewers)) {
        plays += outcome(stage, v, chance, trouble);
      }
      PolicyHarness.Box box = stage.boxes.get(chance.nextInt(4));
      switch (chance.nextInt(120)) {
        case 0 -> box.draining();
        case 1 -> box.gone();
        case 2, 3, 4 -> box.serving(stage.now.minus(Span.ofMillis(chance.nextInt(2000))));
        case 5 -> box.handle.loadReported(chance.nextDouble() * 2, Double.NaN, 3);
        case 6 -> box.handle.loadReported(Double.NaN, chance.nextDouble() * 2, Double.NaN);
        case 7 ->
            box.handle.usageReceived(
                1 + chance.nextInt(8),
                chance.nextInt(4),
                chance.nextInt(900),
                0.5 + chance.nextDouble());
        case 8 -> {
          box.handle.probeEnded(false);
          box.witnessed = stage.now;
        }
        default -> {}
      }
      if (chance.nextInt(200) == 0) {
        stage.standStill(Span.ofMillis(300 + chance.nextInt(1700)));
      }
      stage.checkAnswersOwed();
    }
    assertTrue(plays > 2, "hardly anything played: " + plays);
  }

  /**
   * Every front with a crowd at the door, four boxes all just started, and no word between the
   * fronts.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 3, 20, 240})
  void allFrontsTogetherNeverPushAColdBoxOver(int fronts) {
    SplittableRandom chance = new SplittableRandom(fronts);
    PackageSettings plain = PolicyHarness.terms(0, 0, false);
    Deployment place = PolicyHarness.place(fronts, false, false, Span.NONE, plain);
    List<PolicyHarness> stages = new ArrayList<>();
    for (int i = 0; i < fronts; i++) {
      stages.add(new PolicyHarness(PolicyHarness.numbered(place, i), i, 4));
      stages.get(i).pass(Span.ofSeconds(3));
      stages.get(i).boxes.forEach(b -> b.serving(stages.get(0).now));
    }
    List<List<Moment>> sends =
        List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    for (int step = 0; step < 90; step++) {
      for (PolicyHarness s : stages) {
        s.pass(Span.ofMillis(100));
        PolicyHarness.Viewer v =
            s.take(plain, s.policy.createTitle(chance.nextInt(4), 1), Span.ofMillis(900));
        if (v.out != null) {
          sends.get(s.boxes.indexOf(v.out)).add(s.now);
          v.plays();
        }
      }
    }
    double most =
        place.rules().overloadMultiple() * 24 * place.rules().coldStartCapacity() * 2 / 10;
    for (List<Moment> box : sends) {
      assertTrue(fronts > 20 || !box.isEmpty(), "a cold box is never used");
      for (Moment from : box) {
        long within =
            box.stream()
                .filter(m -> !m.isBefore(from) && m.isBefore(from.plus(Span.ofSeconds(2))))
                .count();
        assertTrue(within <= most, within + " set-ups in a window of " + most);
      }
    }
  }

  private static int outcome(
      PolicyHarness stage, PolicyHarness.Viewer v, SplittableRandom chance, double trouble) {
    if (v.out == null) {
      return 0;
    }
    if (v.playing) {
      switch (chance.nextInt(400)) {
        case 0, 1, 2 -> v.ends(Environment.AttemptOutcome.FINISHED);
        case 3 -> v.ends(Environment.AttemptOutcome.BROKEN);
        case 4, 5, 6 -> v.handle.shareDelivered(chance.nextDouble());
        case 7 -> v.handle.loadsReported(chance.nextDouble() * 2, Double.NaN);
        default -> {}
      }
      return 0;
    }
    if (chance.nextDouble() < trouble / 10) {
      Environment.AttemptOutcome[] ends = {
        Environment.AttemptOutcome.ERROR,
        Environment.AttemptOutcome.TURNED_AWAY,
        Environment.AttemptOutcome.NOT_REACHED,
        Environment.AttemptOutcome.BROKEN,
        Environment.AttemptOutcome.NEVER_SENT
      };
      v.ends(ends[chance.nextInt(ends.length)]);
    } else if (chance.nextDouble() > trouble && chance.nextInt(4) == 0) {
      v.plays();
      return 1;
    }
    return 0;
  }
}
