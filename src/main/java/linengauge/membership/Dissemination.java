package linengauge.membership;

import java.util.ArrayList;
import java.util.List;
import linengauge.membership.Datagram.Kind;

/**
 * Sends datagrams and fills the space left in each with queued updates (infection-style
 * dissemination, SWIM 4.1). Limits the responses that are sent in one protocol period.
 */
final class Dissemination {
  /**
   * Limits the work and traffic spent on responses in one period during a burst of requests. Beyond
   * {@link #MAX_RESPONSES_WITH_UPDATES}, responses carry no gossip but are still sent: a front that
   * many others ping at once, such as a seed while the fleet starts, appears dead to every
   * requester that gets no response.
   */
  private static final int MAX_RESPONSES_PER_PERIOD = 2048;

  private static final int MAX_RESPONSES_WITH_UPDATES = 32;

  private final MembershipSettings settings;
  private final int ownNumber;
  private final Membership.Port port;
  private final MemberTable table;
  private final GossipQueue queue = new GossipQueue();
  private int sequence;
  private int responsesSent;

  Dissemination(
      MembershipSettings settings, int ownNumber, Membership.Port port, MemberTable table) {
    this.settings = settings;
    this.ownNumber = ownNumber;
    this.port = port;
    this.table = table;
  }

  /** Queues an update for dissemination. */
  void add(MemberUpdate update) {
    queue.add(update);
  }

  /** Returns a new sequence number, which matches a response to its request. */
  int nextSequence() {
    sequence++;
    return sequence;
  }

  /** Resets the limit on responses for a new period. */
  void startPeriod() {
    responsesSent = 0;
  }

  /** Sends a datagram that starts with the given updates and is filled up with queued ones. */
  void send(Kind kind, String address, int sequence, int argument, List<MemberUpdate> first) {
    int room = Datagram.maxUpdateBytes() - first.stream().mapToInt(Datagram::encodedSize).sum();
    List<MemberUpdate> updates = new ArrayList<>(first);
    updates.addAll(queue.take(room, transmissions()));
    sendWithoutGossip(kind, address, sequence, argument, updates);
  }

  /** Sends a response to a request unless the limit for this period is reached. */
  void respond(Kind kind, String address, int sequence, int argument, List<MemberUpdate> first) {
    responsesSent++;
    if (responsesSent <= MAX_RESPONSES_WITH_UPDATES) {
      send(kind, address, sequence, argument, first);
    } else if (responsesSent <= MAX_RESPONSES_PER_PERIOD) {
      sendWithoutGossip(kind, address, sequence, argument, first);
    }
  }

  /** Sends a datagram with the given updates only. */
  void sendWithoutGossip(
      Kind kind, String address, int sequence, int argument, List<MemberUpdate> updates) {
    port.send(address, new Datagram(kind, ownNumber, sequence, argument, updates));
  }

  /** Number of times each update is sent, proportional to the log of the fleet size (SWIM, 4.1). */
  private int transmissions() {
    int log2 = Integer.SIZE - Integer.numberOfLeadingZeros(table.size() + 1);
    return (int) Math.ceil(settings.retellings() * log2);
  }
}
