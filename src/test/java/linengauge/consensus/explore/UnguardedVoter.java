package linengauge.consensus.explore;

import java.util.EnumSet;
import java.util.Set;
import linengauge.consensus.PersistentState;
import linengauge.consensus.RaftMessage;
import linengauge.consensus.RaftNode;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.StateMachine;
import linengauge.consensus.Voters;

/** A voter with some of its safety guards removed. */
final class UnguardedVoter extends RaftNode {
  /** The guards that can be removed. */
  enum Guard {
    /** A candidate asks whether it could win before it raises its term. */
    PRE_VOTE,
    /** The state is saved before a response is sent. */
    SAVES,
    /** Messages of a voter whose store is not the known one, because it was lost, do not count. */
    STORES,
    /** A leader commits only entries of its own term by counting replicas. */
    OWN_TERM,
    /** A read is answered only if a majority has answered since it was requested. */
    FRESH,
    /** A change of voters is a single step, and starts after the previous one is committed. */
    ONE_CHANGE,
    /** A leader changes the voters only after it has committed an entry of its own term. */
    COMMIT_IN_OWN_TERM,
    /** A leader that a majority does not answer steps down. */
    CHECK_QUORUM
  }

  private final Set<Guard> removedGuards;

  private UnguardedVoter(
      Set<Guard> removedGuards,
      RaftSettings settings,
      int own,
      PersistentState saved,
      StateMachine machine,
      long seed,
      Port port) {
    super(settings, own, saved, machine, seed, port);
    this.removedGuards = removedGuards;
  }

  private UnguardedVoter(
      Set<Guard> removedGuards, RaftNode original, StateMachine machine, Port port) {
    super(original, machine, port);
    this.removedGuards = removedGuards;
  }

  static VoterFactory factory(Guard... guards) {
    Set<Guard> removedGuards = EnumSet.noneOf(Guard.class);
    removedGuards.addAll(Set.of(guards));
    return new VoterFactory() {
      @Override
      public RaftNode create(
          RaftSettings settings,
          int own,
          PersistentState saved,
          StateMachine machine,
          long seed,
          Port port) {
        return new UnguardedVoter(removedGuards, settings, own, saved, machine, seed, port);
      }

      @Override
      public RaftNode copy(RaftNode original, StateMachine machine, Port port) {
        return new UnguardedVoter(removedGuards, original, machine, port);
      }
    };
  }

  @Override
  protected boolean usesPreVote() {
    return !removedGuards.contains(Guard.PRE_VOTE);
  }

  @Override
  protected boolean save() {
    if (removedGuards.contains(Guard.SAVES)) {
      markSaved();
      return true;
    }
    return super.save();
  }

  @Override
  protected boolean isFromKnownStore(RaftMessage message) {
    return removedGuards.contains(Guard.STORES) || super.isFromKnownStore(message);
  }

  @Override
  protected boolean mayCommit(long ofTerm) {
    return removedGuards.contains(Guard.OWN_TERM) || super.mayCommit(ofTerm);
  }

  @Override
  protected boolean isFresh(long asked, long most) {
    return removedGuards.contains(Guard.FRESH) || super.isFresh(asked, most);
  }

  @Override
  protected boolean mayChange(Voters next) {
    return removedGuards.contains(Guard.ONE_CHANGE) || super.mayChange(next);
  }

  @Override
  protected boolean hasCommittedInOwnTerm() {
    return removedGuards.contains(Guard.COMMIT_IN_OWN_TERM) || super.hasCommittedInOwnTerm();
  }

  @Override
  protected boolean checksQuorum() {
    return !removedGuards.contains(Guard.CHECK_QUORUM);
  }
}
