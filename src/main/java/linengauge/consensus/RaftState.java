package linengauge.consensus;

import java.util.List;
import linengauge.Moment;
import linengauge.consensus.RaftNode.Role;

/**
 * What all parts of one voter share: its persistent state, and of the volatile state (figure 2) its
 * role, whom it takes for the leader, how far all is committed and applied, and who votes.
 */
final class RaftState {
  /** Stands for "no leader is known". */
  static final int NO_LEADER = -1;

  /** Bytes of entries that wait to be committed or to be compacted, at the most. */
  static final int MOST_LOG_BYTES = 512 * 1024;

  private static final int MOST_MARKED_ELECTIONS = 4;

  private final RaftSettings settings;
  private final int own;
  private final DurableState durable;
  private final CommittedLog committed;
  private Moment now;
  private Role role = Role.FOLLOWER;
  private int leader = NO_LEADER;
  private long commitIndex;
  private Voters voters;

  RaftState(RaftSettings settings, int own, PersistentState saved, StateMachine machine) {
    this.settings = settings;
    this.own = own;
    this.committed = new CommittedLog(machine);
    committed.restore(saved.baseIndex(), saved.base());
    this.durable = new DurableState(saved, committed.voters());
    this.voters = durable.voters();
    this.commitIndex = saved.baseIndex();
  }

  /** Takes over the volatile state of another that was built from the same persistent state. */
  void copyVolatile(RaftState other) {
    now = other.now;
    role = other.role;
    leader = other.leader;
    commitIndex = other.commitIndex;
    durable.copySaveMarks(other.durable);
  }

  RaftSettings settings() {
    return settings;
  }

  /** This voter's own number. */
  int own() {
    return own;
  }

  DurableState durable() {
    return durable;
  }

  Log log() {
    return durable.log();
  }

  long term() {
    return durable.term();
  }

  /** The committed entries as they are applied to the state machine (figure 2: lastApplied). */
  CommittedLog committed() {
    return committed;
  }

  Moment now() {
    return now;
  }

  void setNow(Moment moment) {
    now = moment;
  }

  Role role() {
    return role;
  }

  void setRole(Role newRole) {
    role = newRole;
  }

  boolean isLeader() {
    return role == Role.LEADER;
  }

  /** Who leads, as far as is known here, or {@link #NO_LEADER}. */
  int leader() {
    return isLeader() ? own : leader;
  }

  void setLeader(int number) {
    leader = number;
  }

  /** The highest entry known to be committed (figure 2: commitIndex). */
  long commitIndex() {
    return commitIndex;
  }

  void setCommitIndex(long index) {
    commitIndex = index;
  }

  /** Those that count now, committed or not (thesis 4.1). */
  Voters voters() {
    return voters;
  }

  /** The log has changed, and with it perhaps who votes. */
  void refreshVoters() {
    voters = durable.voters();
  }

  /** Applies what has been committed since the last call (figure 2, rules for all servers). */
  void applyCommitted() {
    for (long index = committed.index() + 1; index <= commitIndex; index++) {
      committed.apply(index, log().at(index));
    }
  }

  RaftMessage newMessage(RaftMessage.Kind kind) {
    return newMessage(kind, term());
  }

  RaftMessage newMessage(RaftMessage.Kind kind, long ofTerm) {
    return RaftMessage.of(kind, own, durable.storeId(), ofTerm);
  }

  /** All on which anything to come depends, but for the time of day; for an exploration. */
  List<Object> mark() {
    return List.of(durable.mark(), role, leader, commitIndex);
  }

  /** How long ago that was, up to where it makes no difference any more; for an exploration. */
  long boundedAge(Moment at) {
    long most = settings.election().times(MOST_MARKED_ELECTIONS).micros();
    return Math.min(now.since(at).micros(), most);
  }
}
