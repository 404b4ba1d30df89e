package linengauge.consensus;

import java.util.List;
import linengauge.Span;

/** Answers those who follow the committed log without a vote ({@link LogFollower}). */
final class FollowRequests {
  private final RaftNode node;
  private final RaftState state;
  private final Outbox outbox;
  private final Snapshots snapshots;

  FollowRequests(RaftNode node, RaftState state, Outbox outbox, Snapshots snapshots) {
    this.node = node;
    this.state = state;
    this.outbox = outbox;
    this.snapshots = snapshots;
  }

  /** The committed entries after the one that is named, or the snapshot that covers them. */
  void onFollowRequest(long client, RaftMessage message) {
    Span age = node.age();
    long held = message.index();
    if (held < state.log().base()) {
      outbox.answer(
          client, snapshots.newMessage(RaftMessage.Kind.REPLACED, message.round(), age.micros()));
      return;
    }
    long committedAfter = Math.max(0, state.commitIndex() - held);
    int most = (int) Math.min(state.settings().batch(), committedAfter);
    List<Entry> entries = state.log().from(held + 1, most);
    outbox.answer(
        client,
        state
            .newMessage(RaftMessage.Kind.FOLLOWED)
            .committed(state.commitIndex(), age.micros())
            .round(message.round())
            .at(held, 0)
            .with(entries));
  }
}
