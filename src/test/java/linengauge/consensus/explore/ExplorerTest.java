package linengauge.consensus.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import linengauge.consensus.explore.Lacking.Guard;
import org.junit.jupiter.api.Test;

/**
 * Three voters through every schedule to a depth; and guards taken out, each of which a schedule
 * must find. Voters that do not ask first whether they could win have shorter schedules; no rule
 * rests on their asking.
 */
class ExplorerTest {
  private static final Maker PLAIN = Lacking.maker(Guard.ASKS_FIRST);

  /**
   * Entry 2 of term 1 at 0 alone, entry 2 of term 2 at 2 alone, 0 leads term 3 (Raft, figure 8, c).
   */
  private static final List<String> FIGURE_8 =
      plus(
          Schedule.LED,
          "wish 0",
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

  private static void holds(Schedule plan) {
    Explorer.Outcome o = Explorer.explore(plan);
    assertNull(o.found(), () -> o.found().toString());
    assertTrue(o.whole(), () -> "too many states: " + o);
    assertTrue(o.states() > 1000, () -> o.toString());
  }

  /** Broken without the guard; and by the very schedule that breaks it nothing is with it. */
  private static void needs(Guard guard, Schedule plan, String rule) {
    Explorer.Outcome o = Explorer.explore(plan.at(Lacking.maker(Guard.ASKS_FIRST, guard)));
    assertNotNull(o.found(), o::toString);
    assertTrue(
        o.found().what().startsWith(rule) || o.found().what().contains(rule), o.found()::toString);
    Explorer.Outcome with = Explorer.explore(plan);
    assertNull(with.found(), () -> with.found().toString());
  }

  @Test
  void fromTheBeginning() {
    holds(new Schedule(3, 8, 3, 1, 1, 1, 0, false, List.of(), 2_000_000, PLAIN));
  }

  @Test
  void withAskingFirst() {
    holds(new Schedule(3, 8, 3, 1, 0, 0, 0, false, List.of(), 2_000_000, Maker.REAL));
  }

  @Test
  void whileOneLeads() {
    holds(new Schedule(3, 5, 2, 1, 1, 1, 1, true, Schedule.LED, 2_000_000, PLAIN));
  }

  @Test
  void aVoteLastsBeforeItIsGiven() {
    needs(
        Guard.SAVES,
        new Schedule(3, 8, 2, 1, 0, 0, 0, false, List.of(), 2_000_000, PLAIN),
        "two led term");
  }

  @Test
  void whoHasLostItsFolderIsNotCounted() {
    needs(
        Guard.STORES,
        new Schedule(3, 8, 2, 1, 0, 0, 0, true, List.of(), 2_000_000, PLAIN),
        "two led term");
  }

  @Test
  void onlyEntriesOfTheOwnTermAreCounted() {
    needs(
        Guard.OWN_TERM,
        new Schedule(3, 7, 1, 0, 0, 0, 0, false, FIGURE_8, 2_000_000, PLAIN),
        "without entry 3");
  }

  @Test
  void aQuestionIsAnsweredAfterAMajorityWasAsked() {
    needs(
        Guard.FRESH,
        new Schedule(3, 7, 2, 0, 0, 1, 0, false, Schedule.LED, 2_000_000, PLAIN),
        "stale");
  }

  @Test
  void votersChangeOneStepAfterAnother() {
    needs(
        Guard.ONE_CHANGE,
        new Schedule(3, 6, 1, 0, 0, 0, 2, false, Schedule.LED, 2_000_000, PLAIN),
        "without entry");
  }

  /**
   * Four voters, and a fifth that comes (Ongaro 2015): 0's step is at 0 and 4, 1's at 1 and 2, and
   * their majorities have nobody in common.
   */
  private static final List<String> TWO_STEPS_FROM_ONE_GROUND =
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
  void aStepWaitsForAnEntryOfTheOwnTerm() {
    Schedule bounds =
        new Schedule(
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
            Lacking.maker(Guard.ASKS_FIRST, Guard.OWN_DECIDED));
    assertEquals(
        "0 leads term 3 without entry 2, which was decided in term 2",
        new ModelState(bounds).play(TWO_STEPS_FROM_ONE_GROUND, true));
    assertNull(new ModelState(bounds.at(PLAIN)).play(TWO_STEPS_FROM_ONE_GROUND, false));
  }

  @Test
  void theWholeOfFigure8IsHarmless() {
    Schedule plan = new Schedule(3, 1, 1, 0, 0, 0, 0, false, FIGURE_8, 10, PLAIN);
    assertNull(new ModelState(plan).prelude());
  }
}
