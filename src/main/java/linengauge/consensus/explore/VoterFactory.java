package linengauge.consensus.explore;

import linengauge.consensus.PersistentState;
import linengauge.consensus.RaftNode;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.StateMachine;

/** Makes voters: the real ones, or ones that lack a guard, to see what it guards. */
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

  /** A voter that can be made again from another. */
  class CopiedVoter extends RaftNode {
    public CopiedVoter(RaftNode original, StateMachine machine, Port port) {
      super(original, machine, port);
    }
  }
}
