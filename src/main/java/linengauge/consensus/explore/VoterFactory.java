package linengauge.consensus.explore;

import linengauge.consensus.PersistentState;
import linengauge.consensus.RaftNode;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.StateMachine;

/** Creates voters: real ones, or ones without a safety guard, to show what it prevents. */
public interface VoterFactory {
  VoterFactory REAL = new VoterFactory() {};

  default RaftNode create(
      RaftSettings settings,
      int own,
      PersistentState saved,
      StateMachine machine,
      long seed,
      RaftNode.Port port) {
    return new RaftNode(settings, own, saved, machine, seed, port);
  }

  default RaftNode copy(RaftNode original, StateMachine machine, RaftNode.Port port) {
    return new CopiedVoter(original, machine, port);
  }

  /** A voter created as a copy of another. */
  class CopiedVoter extends RaftNode {
    public CopiedVoter(RaftNode original, StateMachine machine, Port port) {
      super(original, machine, port);
    }
  }
}
