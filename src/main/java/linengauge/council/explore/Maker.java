package linengauge.council.explore;

import linengauge.council.CouncilTerms;
import linengauge.council.Machine;
import linengauge.council.Saved;
import linengauge.council.Voter;

/** Makes voters: the real ones, or ones that lack a guard, to see what it guards. */
public interface Maker {
  Maker REAL = new Maker() {};

  default Voter make(
      CouncilTerms terms, int own, Saved saved, Machine machine, long seed, Voter.Port port) {
    return new Voter(terms, own, saved, machine, seed, port);
  }

  default Voter copy(Voter of, Machine machine, Voter.Port port) {
    return new Copied(of, machine, port);
  }

  /** A voter that can be made again from another. */
  class Copied extends Voter {
    public Copied(Voter of, Machine machine, Port port) {
      super(of, machine, port);
    }
  }
}
