package linengauge.consensus;

import linengauge.consensus.Entry.Kind;

/** Membership changes of the voters, one step at a time (thesis 4.1 and 4.2). */
final class VoterChanges {
  private final RaftNode node;
  private final RaftState state;
  private final LeaderReplication replication;

  VoterChanges(RaftNode node, RaftState state, LeaderReplication replication) {
    this.node = node;
    this.state = state;
    this.replication = replication;
  }

  /**
   * Guards (Ongaro 2015, the mend of 4.1): two leaders' steps from one ground could have majorities
   * that never meet.
   */
  boolean mayChange(Voters next) {
    return next.isOneStepFrom(state.voters())
        && state.log().lastVotersIndex() <= state.commitIndex()
        && node.hasCommittedInOwnTerm()
        && next.most(replication::isHeard); // or nothing could be decided ever after
  }

  /** The index at which the change was placed, or {@link RaftNode#NOT_PLACED}. */
  long change(Voters next) {
    if (!node.mayChange(next)) {
      return RaftNode.NOT_PLACED;
    }
    return replication.appendToLog(
        new Entry(state.term(), Kind.VOTERS, state.own(), 0, next.bytes()));
  }

  /** One that is brought up votes from when it holds all (thesis 4.2.1). */
  void promoteCaughtUp(int number) {
    Voters.Chair chair = state.voters().chairs().get(number);
    if (!chair.votes()) {
      change(state.voters().with(number, new Voters.Chair(chair.store(), chair.address(), true)));
    }
  }
}
