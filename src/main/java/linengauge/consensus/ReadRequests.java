package linengauge.consensus;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * Linearizable reads (thesis 6.4, ReadIndex), never stale: a majority has to answer after it was
 * asked, and an entry of the leader's own term be committed before.
 */
final class ReadRequests {
  private static final int MOST_WAITING = 256;

  /** Somebody wants to know that all decided before now is known. */
  private record Read(long client, long requestId, long index, long round) {}

  private final RaftNode node;
  private final RaftState state;
  private final Outbox outbox;
  private final LeaderReplication replication;
  private final List<Read> waiting = new ArrayList<>();

  ReadRequests(RaftNode node, RaftState state, Outbox outbox, LeaderReplication replication) {
    this.node = node;
    this.state = state;
    this.outbox = outbox;
    this.replication = replication;
  }

  void copyFrom(ReadRequests other) {
    waiting.addAll(other.waiting);
  }

  void onReadRequest(long client, RaftMessage message) {
    if (!state.isLeader()
        || !replication.hasCommittedInOwnTerm()
        || waiting.size() >= MOST_WAITING) {
      refuse(client, message.round(), state.leader());
      return;
    }
    long round = replication.startRound();
    waiting.add(new Read(client, message.round(), state.commitIndex(), round));
    replication.sendHeartbeats();
  }

  /** Answers those whose round of heartbeats a majority has answered. */
  void answerReads() {
    long answered = waiting.isEmpty() ? 0 : replication.quorumRound();
    for (Iterator<Read> reads = waiting.iterator(); reads.hasNext(); ) {
      Read read = reads.next();
      if (node.isFresh(read.round, answered)) {
        reads.remove();
        outbox.answer(
            read.client,
            state
                .newMessage(RaftMessage.Kind.READABLE)
                .round(read.requestId)
                .at(read.index, 0)
                .yes(true));
      }
    }
  }

  /** It leads no more: whoever waits is to ask that one, or whom it finds. */
  void refuseAll(int leader) {
    waiting.forEach(read -> refuse(read.client, read.requestId, leader));
    waiting.clear();
  }

  private void refuse(long client, long requestId, int leader) {
    outbox.answer(
        client, state.newMessage(RaftMessage.Kind.READABLE).round(requestId).at(leader, 0));
  }

  /** All on which anything to come depends; for an exploration. */
  Object mark() {
    return List.copyOf(waiting);
  }
}
