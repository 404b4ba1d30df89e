package linengauge.consensus.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import linengauge.Moment;
import linengauge.Span;
import linengauge.consensus.explore.Lacking.Guard;
import org.junit.jupiter.api.Test;

/**
 * Voters and followers in virtual time, from seeds: crashed, frozen, cut off, late, with full and
 * emptied disks.
 */
class ClusterSimulationTest {
  private static final Span END = Span.ofSeconds(20);

  private static ClusterSimulation.Outcome play(
      long seed, int voters, List<Fault> faults, Maker maker) {
    return new ClusterSimulation(seed, voters, 4, faults, END, maker).play();
  }

  private static void holds(int first, int last, int voters, int many) {
    for (int seed = first; seed <= last; seed++) {
      List<Fault> faults = Fault.drawn(seed, voters, 4, many, END);
      ClusterSimulation.Outcome o = play(seed, voters, faults, Maker.REAL);
      assertEquals(
          List.of(),
          o.broken(),
          "seed " + seed + ", shortest: " + shortest(seed, voters, faults, Maker.REAL));
    }
  }

  /** With each fault left out that is not needed for a rule to break. */
  private static List<Fault> shortest(long seed, int voters, List<Fault> faults, Maker maker) {
    List<Fault> left = new ArrayList<>(faults);
    for (Fault m : faults) {
      List<Fault> less = new ArrayList<>(left);
      less.remove(m);
      if (!play(seed, voters, less, maker).broken().isEmpty()) {
        left = less;
      }
    }
    return left;
  }

  private static Fault fault(Fault.Kind kind, int a, int b, double from, double to) {
    return new Fault(kind, a, b, new Moment((long) (from * 1e6)), new Moment((long) (to * 1e6)));
  }

  @Test
  void threeVotersAndFourFollowersKeepEveryRule() {
    holds(1, 300, 3, 6);
  }

  @Test
  void fiveVotersKeepEveryRule() {
    holds(1001, 1050, 5, 8);
  }

  /**
   * Not shown by a rule of safety: without it a leader that nobody hears goes on taking itself for
   * one.
   */
  @Test
  void aLeaderThatIsCutOffLeadsNobody() {
    ClusterSimulation.Outcome o = play(3, 3, leaderCutOff(), Maker.REAL);
    assertEquals(List.of(), o.broken());
    assertTrue(o.longestAlone().isShorterThan(Span.ofSeconds(2)), o.toString());
    assertFalse(
        play(3, 3, leaderCutOff(), Lacking.maker(Guard.MOST))
            .longestAlone()
            .isShorterThan(Span.ofSeconds(3)));
  }

  /** Every voter mute in turn, so that whoever leads is too; it hears all the same. */
  private static List<Fault> leaderCutOff() {
    List<Fault> all = new ArrayList<>();
    for (int v = 0; v < 3; v++) {
      all.add(fault(Fault.Kind.DEAF, v, 0, 4 + 5 * v, 8 + 5 * v));
    }
    return all;
  }

  /** One that hears nobody for a while comes back without deposing whoever leads. */
  @Test
  void whoAsksFirstDeposesNobody() {
    int real = 0;
    int without = 0;
    for (int seed = 1; seed <= 10; seed++) {
      for (int v = 0; v < 3; v++) {
        List<Fault> deaf =
            List.of(fault(Fault.Kind.DEAF, v, 0, 5, 9), fault(Fault.Kind.DEAF, v, 0, 12, 16));
        real += play(seed, 3, deaf, Maker.REAL).elections();
        without += play(seed, 3, deaf, Lacking.maker(Guard.ASKS_FIRST)).elections();
      }
    }
    assertTrue(without > real * 1.5, real + " elections, and " + without + " without asking first");
  }

  /** The same seed plays the same. */
  @Test
  void theSameSeedPlaysTheSame() {
    List<Fault> faults = Fault.drawn(7, 3, 4, 6, END);
    assertEquals(play(7, 3, faults, Maker.REAL), play(7, 3, faults, Maker.REAL));
  }
}
