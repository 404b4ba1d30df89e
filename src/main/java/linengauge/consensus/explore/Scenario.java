package linengauge.consensus.explore;

import java.util.List;

/**
 * What is explored.
 *
 * @param voters how many, 3 usually
 * @param maxDepth things that happen, at the most
 * @param timeouts how often a voter's own timer may be the next thing
 * @param faults crashes, stand-stills and emptied folders, at the most
 * @param proposals decisions that are wanted of whoever takes itself for the leader
 * @param reads questions of how far all is decided
 * @param changes of voters that are wanted: one goes, a fourth comes
 * @param setup what has happened before, in the words of a schedule
 * @param maxStates after which the exploration is given up as too large
 */
public record Scenario(
    int voters,
    int maxDepth,
    int timeouts,
    int faults,
    int proposals,
    int reads,
    int changes,
    boolean allowsDiskLoss,
    List<String> setup,
    int maxStates,
    VoterFactory factory) {
  /** 0 leads term 1, and all have heard so. */
  public static final List<String> LEADER_ELECTED =
      List.of(
          "wakes 0",
          "VOTE_FOR_ME 0 to 1",
          "VOTE_FOR_ME 0 to 2",
          "VOTED 1 to 0",
          "APPEND 0 to 1",
          "TAKEN 1 to 0",
          "APPEND 0 to 2",
          "TAKEN 2 to 0",
          "APPEND 0 to 1",
          "APPEND 0 to 2");

  public Scenario withFactory(VoterFactory other) {
    return new Scenario(
        voters,
        maxDepth,
        timeouts,
        faults,
        proposals,
        reads,
        changes,
        allowsDiskLoss,
        setup,
        maxStates,
        other);
  }
}
