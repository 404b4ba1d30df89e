package linengauge.consensus.explore;

import java.util.List;

/**
 * The initial state and the bounds of an exploration.
 *
 * @param voters number of voters, usually 3
 * @param maxDepth maximum number of steps
 * @param timeouts maximum number of timer expirations
 * @param faults maximum number of crashes, pauses and lost disks
 * @param proposals maximum number of proposals to voters that consider themselves leader
 * @param reads maximum number of read requests
 * @param changes maximum number of membership changes: a voter is removed, or the spare one added
 * @param allowsDiskLoss whether a fault may also be the loss of a disk
 * @param setup steps played before the exploration, as a schedule
 * @param maxStates number of states after which the exploration is abandoned as too large
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
  /** Voter 0 leads term 1, and all voters know it. */
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
