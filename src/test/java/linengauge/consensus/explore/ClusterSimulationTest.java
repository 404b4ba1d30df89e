package linengauge.consensus.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import linengauge.Moment;
import linengauge.Span;
import linengauge.consensus.explore.UnguardedVoter.Guard;
import org.junit.jupiter.api.Test;

/**
 * Runs voters and followers in virtual time from seeds, with crashes, pauses, partitions, delays,
 * and full and lost disks.
 */
class ClusterSimulationTest {
  private static final Span END = Span.ofSeconds(20);

  private static ClusterSimulation.Outcome run(
      long seed, int voters, List<Fault> faults, VoterFactory factory) {
    return new ClusterSimulation(seed, voters, 4, faults, END, factory).run();
  }

  private static void assertInvariantsHold(int first, int last, int voters, int faultCount) {
    for (int seed = first; seed <= last; seed++) {
      List<Fault> faults = Fault.generate(seed, voters, 4, faultCount, END);
      ClusterSimulation.Outcome outcome = run(seed, voters, faults, VoterFactory.REAL);
      assertEquals(
          List.of(),
          outcome.violations(),
          "seed "
              + seed
              + ", minimal faults: "
              + minimize(seed, voters, faults, VoterFactory.REAL));
    }
  }

  /** Removes each fault that is not needed for a violation. */
  private static List<Fault> minimize(
      long seed, int voters, List<Fault> faults, VoterFactory factory) {
    List<Fault> remaining = new ArrayList<>(faults);
    for (Fault fault : faults) {
      List<Fault> candidate = new ArrayList<>(remaining);
      candidate.remove(fault);
      if (!run(seed, voters, candidate, factory).violations().isEmpty()) {
        remaining = candidate;
      }
    }
    return remaining;
  }

  private static Fault fault(Fault.Kind kind, int target, int peer, double from, double to) {
    return new Fault(
        kind, target, peer, new Moment((long) (from * 1e6)), new Moment((long) (to * 1e6)));
  }

  @Test
  void threeVotersAndFourFollowersKeepAllInvariants() {
    assertInvariantsHold(1, 300, 3, 6);
  }

  @Test
  void fiveVotersKeepAllInvariants() {
    assertInvariantsHold(1001, 1050, 5, 8);
  }

  /**
   * No safety invariant covers this: without the quorum check, a leader that receives no answers
   * still considers itself leader.
   */
  @Test
  void isolatedLeaderStepsDown() {
    ClusterSimulation.Outcome outcome = run(3, 3, eachVoterDeafInTurn(), VoterFactory.REAL);
    assertEquals(List.of(), outcome.violations());
    assertTrue(
        outcome.longestIsolatedLeadership().isShorterThan(Span.ofSeconds(2)), outcome.toString());
    assertFalse(
        run(3, 3, eachVoterDeafInTurn(), UnguardedVoter.factory(Guard.CHECK_QUORUM))
            .longestIsolatedLeadership()
            .isShorterThan(Span.ofSeconds(3)));
  }

  /**
   * Every voter in turn receives no messages, so that the leader is affected too; it still sends.
   */
  private static List<Fault> eachVoterDeafInTurn() {
    List<Fault> all = new ArrayList<>();
    for (int voter = 0; voter < 3; voter++) {
      all.add(fault(Fault.Kind.DEAF, voter, 0, 4 + 5 * voter, 8 + 5 * voter));
    }
    return all;
  }

  /** A voter that received no messages for a while rejoins without deposing the leader. */
  @Test
  void preVotePreventsNeedlessElections() {
    int elections = 0;
    int electionsWithoutPreVote = 0;
    for (int seed = 1; seed <= 10; seed++) {
      for (int voter = 0; voter < 3; voter++) {
        List<Fault> deaf =
            List.of(
                fault(Fault.Kind.DEAF, voter, 0, 5, 9), fault(Fault.Kind.DEAF, voter, 0, 12, 16));
        elections += run(seed, 3, deaf, VoterFactory.REAL).elections();
        electionsWithoutPreVote +=
            run(seed, 3, deaf, UnguardedVoter.factory(Guard.PRE_VOTE)).elections();
      }
    }
    assertTrue(
        electionsWithoutPreVote > elections * 1.5,
        elections + " elections, and " + electionsWithoutPreVote + " without pre-vote");
  }

  @Test
  void sameSeedGivesSameOutcome() {
    List<Fault> faults = Fault.generate(7, 3, 4, 6, END);
    assertEquals(run(7, 3, faults, VoterFactory.REAL), run(7, 3, faults, VoterFactory.REAL));
  }
}
