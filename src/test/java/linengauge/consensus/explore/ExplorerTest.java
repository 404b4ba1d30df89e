package linengauge.consensus.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import linengauge.consensus.explore.UnguardedVoter.Guard;
import org.junit.jupiter.api.Test;

/**
 * Explores every schedule of three voters up to a depth. For each safety guard that is removed, the
 * exploration must find a violation. Most tests run without pre-vote: it makes schedules longer,
 * and no invariant depends on it.
 */
class ExplorerTest {
  private static final VoterFactory WITHOUT_PRE_VOTE = UnguardedVoter.factory(Guard.PRE_VOTE);

  /**
   * Entry 2 of term 1 is on voter 0 alone, entry 2 of term 2 on voter 2 alone, and voter 0 leads
   * term 3 (Raft paper, figure 8, c).
   */
  private static final List<String> FIGURE_8 =
      plus(
          Scenario.LEADER_ELECTED,
          "propose 0",
          "wakes 2",
          "VOTE_FOR_ME 2 to 1",
          "VOTED 1 to 2",
          "VOTE_FOR_ME 2 to 0",
          "wakes 0",
          "VOTE_FOR_ME 0 to 1",
          "VOTED 1 to 0",
          "VOTE_FOR_ME 0 to 2");

  private static List<String> plus(List<String> before, String... more) {
    List<String> all = new ArrayList<>(before);
    all.addAll(List.of(more));
    return all;
  }

  private static void assertInvariantsHold(Scenario scenario) {
    Explorer.Outcome outcome = Explorer.explore(scenario);
    assertNull(outcome.violation(), () -> outcome.violation().toString());
    assertTrue(outcome.complete(), () -> "too many states: " + outcome);
    assertTrue(outcome.states() > 1000, () -> outcome.toString());
  }

  /** A violation is found without the guard, and none in the same scenario with it. */
  private static void assertGuardIsNeeded(Guard guard, Scenario scenario, String rule) {
    Explorer.Outcome outcome =
        Explorer.explore(scenario.withFactory(UnguardedVoter.factory(Guard.PRE_VOTE, guard)));
    assertNotNull(outcome.violation(), outcome::toString);
    assertTrue(
        outcome.violation().description().startsWith(rule)
            || outcome.violation().description().contains(rule),
        outcome.violation()::toString);
    Explorer.Outcome guarded = Explorer.explore(scenario);
    assertNull(guarded.violation(), () -> guarded.violation().toString());
  }

  @Test
  void invariantsHoldFromInitialState() {
    assertInvariantsHold(
        new Scenario(3, 8, 3, 1, 1, 1, 0, false, List.of(), 2_000_000, WITHOUT_PRE_VOTE));
  }

  @Test
  void invariantsHoldWithPreVote() {
    assertInvariantsHold(
        new Scenario(3, 8, 3, 1, 0, 0, 0, false, List.of(), 2_000_000, VoterFactory.REAL));
  }

  @Test
  void invariantsHoldAfterLeaderElection() {
    assertInvariantsHold(
        new Scenario(
            3, 5, 2, 1, 1, 1, 1, true, Scenario.LEADER_ELECTED, 2_000_000, WITHOUT_PRE_VOTE));
  }

  @Test
  void voteIsSavedBeforeItIsSent() {
    assertGuardIsNeeded(
        Guard.SAVES,
        new Scenario(3, 8, 2, 1, 0, 0, 0, false, List.of(), 2_000_000, WITHOUT_PRE_VOTE),
        "two leaders in term");
  }

  @Test
  void voterWithLostDiskIsNotCounted() {
    assertGuardIsNeeded(
        Guard.STORES,
        new Scenario(3, 8, 2, 1, 0, 0, 0, true, List.of(), 2_000_000, WITHOUT_PRE_VOTE),
        "two leaders in term");
  }

  @Test
  void onlyEntriesOfCurrentTermAreCommittedByCounting() {
    assertGuardIsNeeded(
        Guard.OWN_TERM,
        new Scenario(3, 7, 1, 0, 0, 0, 0, false, FIGURE_8, 2_000_000, WITHOUT_PRE_VOTE),
        "without entry 3");
  }

  @Test
  void readIsAnsweredAfterMajorityConfirmsLeader() {
    assertGuardIsNeeded(
        Guard.FRESH,
        new Scenario(
            3, 7, 2, 0, 0, 1, 0, false, Scenario.LEADER_ELECTED, 2_000_000, WITHOUT_PRE_VOTE),
        "stale");
  }

  @Test
  void membershipChangesOneStepAtATime() {
    assertGuardIsNeeded(
        Guard.ONE_CHANGE,
        new Scenario(
            3, 6, 1, 0, 0, 0, 2, false, Scenario.LEADER_ELECTED, 2_000_000, WITHOUT_PRE_VOTE),
        "without entry");
  }

  /**
   * Four voters and a fifth to be added (Ongaro 2015): the change of voter 0 is on 0 and 4, that of
   * voter 1 on 1 and 2, and their majorities do not intersect.
   */
  private static final List<String> CONCURRENT_MEMBERSHIP_CHANGES =
      List.of(
          "wakes 0",
          "VOTE_FOR_ME 0 to 1",
          "VOTED 1 to 0",
          "VOTE_FOR_ME 0 to 2",
          "VOTED 2 to 0",
          "with 0",
          "wakes 0",
          "APPEND 0 to 4",
          "TAKEN 4 to 0",
          "INSTALL 0 to 4",
          "TAKEN 4 to 0",
          "APPEND 0 to 4",
          "TAKEN 4 to 0",
          "APPEND 0 to 4",
          "VOTE_FOR_ME 0 to 3",
          "VOTED 3 to 0",
          "wakes 1",
          "VOTE_FOR_ME 1 to 2",
          "VOTED 2 to 1",
          "VOTE_FOR_ME 1 to 3",
          "VOTED 3 to 1",
          "without 1",
          "APPEND 1 to 2",
          "TAKEN 2 to 1",
          "APPEND 1 to 2",
          "TAKEN 2 to 1",
          "VOTE_FOR_ME 1 to 0",
          "wakes 0",
          "VOTE_FOR_ME 0 to 4",
          "VOTED 4 to 0",
          "VOTE_FOR_ME 0 to 3",
          "VOTED 3 to 0");

  @Test
  void membershipChangeWaitsForCommitInCurrentTerm() {
    Scenario scenario =
        new Scenario(
            4,
            0,
            9,
            0,
            0,
            0,
            2,
            false,
            List.of(),
            0,
            UnguardedVoter.factory(Guard.PRE_VOTE, Guard.COMMIT_IN_OWN_TERM));
    assertEquals(
        "0 leads term 3 without entry 2, which was committed in term 2",
        new ModelState(scenario).play(CONCURRENT_MEMBERSHIP_CHANGES, true));
    assertNull(
        new ModelState(scenario.withFactory(WITHOUT_PRE_VOTE))
            .play(CONCURRENT_MEMBERSHIP_CHANGES, false));
  }

  @Test
  void figure8SetupIsHarmless() {
    Scenario scenario = new Scenario(3, 1, 1, 0, 0, 0, 0, false, FIGURE_8, 10, WITHOUT_PRE_VOTE);
    assertNull(new ModelState(scenario).playSetup());
  }
}
