package linengauge.consensus.explore;

import linengauge.consensus.PersistentState;
import linengauge.consensus.RaftNode;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.StateMachine;

/** Makes voters: the real ones, or ones that lack a guard, to see what it guards. */
public interface Maker {
  Maker REAL = new Maker() {};

  default RaftNode make(
      RaftSettings terms,
      int own,
      PersistentState saved,
      StateMachine machine,
      long seed,
      RaftNode.Port port) {
    return new RaftNode(terms, own, saved, machine, seed, port);
  }

  default RaftNode copy(RaftNode of, StateMachine machine, RaftNode.Port port) {
    return new Copied(of, machine, port);
  }

  /** A voter that can be made again from another. */
  class Copied extends RaftNode {
    public Copied(RaftNode of, StateMachine machine, Port port) {
      super(of, machine, port);
    }
  }
}
