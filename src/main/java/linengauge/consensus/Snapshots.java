package linengauge.consensus;

/** Log compaction (Raft, 7): snapshots of the own state, and those that a leader sends. */
final class Snapshots {
  private final RaftState state;
  private final Outbox outbox;

  Snapshots(RaftState state, Outbox outbox) {
    this.state = state;
    this.outbox = outbox;
  }

  /** A message of that kind that carries the snapshot. */
  RaftMessage newMessage(RaftMessage.Kind kind, long round, long age) {
    Log log = state.log();
    return state
        .newMessage(kind)
        .at(log.base(), log.baseTerm())
        .committed(state.commitIndex(), age)
        .round(round)
        .whole(state.durable().snapshot());
  }

  /**
   * 7, figure 13: an older state than what is decided here is passed over; what is held beyond a
   * newer one stays.
   */
  void onInstallSnapshot(RaftMessage message) {
    if (message.index() > state.commitIndex()) {
      CommittedLog committed = state.committed();
      committed.restore(message.index(), message.whole());
      state
          .durable()
          .install(message.index(), message.indexTerm(), message.whole(), committed.voters());
      state.refreshVoters();
      state.setCommitIndex(message.index());
    }
    outbox.send(
        message.from(),
        state
            .newMessage(RaftMessage.Kind.TAKEN)
            .round(message.round())
            .yes(true)
            .at(state.commitIndex(), 0));
  }

  /** Puts a snapshot in the place of the applied entries once they are many or long. */
  void compact() {
    Log log = state.log();
    CommittedLog committed = state.committed();
    long applied = committed.index();
    long appliedBytes = log.bytesAfter(log.base()) - log.bytesAfter(applied);
    if (applied - log.base() > state.settings().compactAt()
        || appliedBytes > RaftState.MOST_LOG_BYTES) {
      state.durable().compact(applied, log.termAt(applied), committed.whole(), committed.voters());
    }
  }
}
