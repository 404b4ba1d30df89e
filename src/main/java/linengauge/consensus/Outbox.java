package linengauge.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * Messages that wait until all that they rest on is saved (figure 2: persistent state is updated
 * before responding). Bounded: emptied at the end of each call on the voter.
 */
final class Outbox {
  private static final int NO_VOTER = -1;
  private static final long NO_CLIENT = -1;

  private record Outgoing(int voter, long client, RaftMessage message) {}

  private final List<Outgoing> waiting = new ArrayList<>();

  /** To another voter. */
  void send(int voter, RaftMessage message) {
    waiting.add(new Outgoing(voter, NO_CLIENT, message));
  }

  /** To whoever made a request by {@link RaftNode#ask}. */
  void answer(long client, RaftMessage message) {
    waiting.add(new Outgoing(NO_VOTER, client, message));
  }

  void clear() {
    waiting.clear();
  }

  void flush(RaftNode.Port port) {
    List<Outgoing> leaving = List.copyOf(waiting);
    waiting.clear();
    for (Outgoing outgoing : leaving) {
      if (outgoing.voter >= 0) {
        port.send(outgoing.voter, outgoing.message);
      } else {
        port.answer(outgoing.client, outgoing.message);
      }
    }
  }
}
