package linengauge.consensus;

import java.util.List;
import linengauge.Moment;
import linengauge.Span;

/** A follower's part of log replication (Raft, 5.3): takes a leader's entries and snapshots. */
final class FollowerReplication {
  private static final Span MOST_AGE = Span.ofSeconds(3600);

  private final RaftNode node;
  private final RaftState state;
  private final Outbox outbox;
  private final Elections elections;
  private final Snapshots snapshots;

  /** The latest moment of which it knows that all decided until then is known here. */
  private Moment currentUntil = Moment.DISTANT_PAST;

  FollowerReplication(
      RaftNode node, RaftState state, Outbox outbox, Elections elections, Snapshots snapshots) {
    this.node = node;
    this.state = state;
    this.outbox = outbox;
    this.elections = elections;
    this.snapshots = snapshots;
  }

  void copyFrom(FollowerReplication other) {
    currentUntil = other.currentUntil;
  }

  /** How old what is known here may be. */
  Span age() {
    return state.now().since(currentUntil).min(MOST_AGE);
  }

  /** Entries, a heartbeat or a snapshot of whoever leads, or led. */
  void onLeaderMessage(RaftMessage message) {
    if (message.term() < state.term()) {
      outbox.send(message.from(), state.newMessage(RaftMessage.Kind.TAKEN));
      return;
    }
    if (message.term() > state.term()) {
      node.adoptTerm(message.term());
    }
    if (state.isLeader()) {
      throw new IllegalStateException(
          "two leaders of term " + state.term() + ": " + state.own() + " and " + message.from());
    }
    node.becomeFollower(message.from());
    elections.leaderHeard();
    if (message.kind() == RaftMessage.Kind.INSTALL) {
      snapshots.onInstallSnapshot(message);
    } else {
      onAppendEntries(message);
    }
    if (state.commitIndex() >= message.commit() && !node.mayReadQueuedMessages()) {
      Span age = new Span(Math.max(0, message.age()));
      currentUntil = currentUntil.max(state.now().minus(age));
    }
  }

  private void onAppendEntries(RaftMessage message) {
    Log log = state.log();
    List<Entry> entries = message.entries();
    long previous = message.index();
    long last = previous + entries.size();
    if (previous < log.base()) {
      // what is folded into the snapshot is committed, and the same there
      int covered = (int) Math.min(entries.size(), log.base() - previous);
      entries = entries.subList(covered, entries.size());
      previous = log.base();
    } else if (log.termAt(previous) != message.indexTerm()) {
      // 5.3: nothing is taken unless what is before it is the same
      refuse(message);
      return;
    }
    addToLog(entries, previous);
    state.refreshVoters();
    state.setCommitIndex(Math.max(state.commitIndex(), Math.min(message.commit(), last)));
    outbox.send(
        message.from(),
        state.newMessage(RaftMessage.Kind.TAKEN).round(message.round()).yes(true).at(last, 0));
  }

  /** Says from where on the leader should try. */
  private void refuse(RaftMessage message) {
    long last = state.log().last();
    long held = message.index() > last ? last : state.commitIndex();
    outbox.send(
        message.from(),
        state.newMessage(RaftMessage.Kind.TAKEN).round(message.round()).at(held, 0));
  }

  /** 5.3: an entry that conflicts with the leader's gives way, and all after it. */
  private void addToLog(List<Entry> entries, long previous) {
    Log log = state.log();
    long index = previous;
    for (Entry entry : entries) {
      index++;
      if (log.termAt(index) == entry.term()) {
        continue;
      }
      if (index <= state.commitIndex()) {
        throw new IllegalStateException(
            "entry "
                + index
                + " is decided, and the leader of term "
                + state.term()
                + " has another");
      }
      if (index <= log.last()) {
        log.cutFrom(index);
      }
      state.durable().append(entry);
    }
  }

  /** All on which anything to come depends, but for the time of day; for an exploration. */
  Object mark() {
    return state.boundedAge(currentUntil);
  }
}
