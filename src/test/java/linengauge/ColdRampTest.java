package linengauge;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What a whole fleet sends to boxes that have just started, over a hundred seeds: fronts with a
 * crowd at each door and no word between them, some told late, some started anew with no memory of
 * what they sent, and set-ups that leave some while after their choice. Beyond the budget N of any
 * window only 2 root N + 2 is chance.
 */
class ColdRampTest {
  private static final int BOXES = 2;
  private static final Span STEP = Span.ofMillis(100);
  private static final int SEEDS = 100;

  private record Send(Moment at, int box) {}

  private static Deployment place(int fronts, int streams) {
    Deployment p =
        PolicyHarness.place(fronts, false, false, Span.NONE, PolicyHarness.terms(0, 0, false));
    var f = p.fleet();
    return new Deployment(
        fronts,
        0,
        0,
        p.packages(),
        p.ladderKbPerSecond(),
        p.rungValues(),
        new Deployment.Fleet(
            f.cellCount(), f.rackCount(), new int[] {streams}, 4e8, 2e8, 4e8, f.shareReportDelay()),
        p.rules(),
        p.permissions());
  }

  private final class Fleet {
    private final Deployment place;
    private final SplittableRandom chance;
    private final List<PolicyHarness> fronts = new ArrayList<>();
    private final List<Moment> toldAt = new ArrayList<>();
    private final List<Send> sends = new ArrayList<>();
    private Moment now = new Moment(1_000_000_000L);
    private Moment startedAt = Moment.DISTANT_PAST;

    private Fleet(Deployment place, long seed) {
      this.place = place;
      this.chance = new SplittableRandom(seed);
      for (int i = 0; i < place.frontCount(); i++) {
        fronts.add(
            new PolicyHarness(PolicyHarness.numbered(place, i), seed * 1000 + i, BOXES, now));
        toldAt.add(Moment.DISTANT_PAST);
      }
    }

    private void step(boolean restarts) {
      now = now.plus(STEP);
      for (int i = 0; i < fronts.size(); i++) {
        if (restarts && chance.nextInt(200) == 0) {
          fronts.set(
              i,
              new PolicyHarness(
                  PolicyHarness.numbered(place, i), chance.nextLong(), BOXES, now.minus(STEP)));
          tell(i); // the list of its start says so
        }
        PolicyHarness s = fronts.get(i);
        s.pass(now.since(s.now));
        if (!toldAt.get(i).equals(Moment.DISTANT_PAST)
            && !now.isBefore(toldAt.get(i))
            && s.boxes.get(0).startedAt.isBefore(startedAt)) {
          tell(i);
        }
        crowd(i, s);
      }
    }

    private void tell(int front) {
      fronts.get(front).boxes.forEach(b -> b.serving(startedAt));
    }

    private void crowd(int front, PolicyHarness s) {
      s.take(
          s.headend.packages().get(0),
          s.policy.createTitle(chance.nextInt(BOXES), 1),
          Span.ofMillis(900));
      for (PolicyHarness.Viewer v : List.copyOf(s.viewers)) {
        if (v.out != null && !v.playing) {
          leaves(s, v);
        }
      }
    }

    private void leaves(PolicyHarness s, PolicyHarness.Viewer v) {
      // What was chosen before the start was heard is chosen again (Held.sendable): it does not
      // leave.
      if (!v.out.startedAt.isBefore(startedAt)) {
        Moment at =
            chance.nextInt(3) == 0
                ? now.plus(Policy.MAX_SEND_DELAY.times(chance.nextDouble()))
                : now;
        sends.add(new Send(at, s.boxes.indexOf(v.out)));
      }
      v.plays();
      v.ends(Environment.AttemptOutcome.FINISHED);
    }
  }

  @ParameterizedTest
  @CsvSource({"20,24", "20,240", "30,24", "30,240", "100,24", "100,240", "100,1000", "3,24"})
  void allFrontsTogetherStayWithinTheBudgetOfAColdBox(int fronts, int streams) {
    Deployment place = place(fronts, streams);
    Deployment.Rules rules = place.rules();
    double worst = Double.NEGATIVE_INFINITY;
    long sent = 0;
    int seeds = SEEDS * 20 / Math.max(20, fronts);
    for (long seed = 1; seed <= seeds; seed++) {
      Fleet fleet = new Fleet(place, seed);
      for (int i = 0; i < 30; i++) {
        fleet.step(false);
      }
      fleet.startedAt = fleet.now;
      fleet.sends.clear();
      for (int i = 0; i < fronts; i++) {
        fleet.toldAt.set(
            i,
            fleet.now.plus(
                fleet.chance.nextInt(3) == 0
                    ? Span.ofMillis(fleet.chance.nextInt(2000))
                    : Span.NONE));
      }
      for (int i = 0; i < 80; i++) {
        fleet.step(true);
      }
      for (int box = 0; box < BOXES; box++) {
        int of = box;
        List<Send> all =
            fleet.sends.stream()
                .filter(x -> x.box() == of)
                .sorted((a, b) -> a.at().compareTo(b.at()))
                .toList();
        sent += all.size();
        int first = 0;
        for (int i = 0; i < all.size(); i++) {
          while (!all.get(i).at().isBefore(all.get(first).at().plus(rules.overloadWindow()))) {
            first++;
          }
          double age = all.get(first).at().since(fleet.startedAt).seconds();
          double warmth =
              Math.min(
                  1,
                  rules.coldStartCapacity()
                      + (1 - rules.coldStartCapacity()) * age / rules.coldPeriod().seconds());
          double n =
              rules.overloadMultiple()
                  * streams
                  * warmth
                  * rules.overloadWindow().seconds()
                  / rules.coldPeriod().seconds();
          worst = Math.max(worst, i - first + 1 - (n + 2 * Math.sqrt(n) + 2));
        }
      }
    }
    assertTrue(worst <= 0, worst + " over the budget and what chance may add");
    assertTrue(sent > seeds, "hardly anything was sent to them: " + sent);
  }
}
