package linengauge.membership;

import java.util.ArrayList;
import java.util.List;
import linengauge.membership.Datagram.Kind;

/**
 * Sends datagrams, each with as many queued updates as it has room for (SWIM, 4.1: infection-style
 * dissemination), within what may be spent on answers in one period.
 */
final class Dissemination {
  /**
   * Sent because another asked, in one period: bounds what this front spends on a storm. Of
   * answers, the first so many carry updates and the others are bare: a front that many call at
   * once, as a seed is when the fleet starts, is not there for those whom it leaves without one.
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

  /** An update that is to be sent on. */
  void add(MemberUpdate update) {
    queue.add(update);
  }

  /** A number for a datagram, by which its answer is known. */
  int nextSequence() {
    sequence++;
    return sequence;
  }

  /** A new period's answers may be sent. */
  void startPeriod() {
    responsesSent = 0;
  }

  /** Sends a datagram of this front's own accord, these updates first. */
  void send(Kind kind, String address, int sequence, int argument, List<MemberUpdate> first) {
    int room = Datagram.maxUpdateBytes() - first.stream().mapToInt(Datagram::encodedSize).sum();
    List<MemberUpdate> updates = new ArrayList<>(first);
    updates.addAll(queue.take(room, transmissions()));
    sendWithoutGossip(kind, address, sequence, argument, updates);
  }

  /** Sends a datagram since another asked for it, as long as not too many have. */
  void respond(Kind kind, String address, int sequence, int argument, List<MemberUpdate> first) {
    responsesSent++;
    if (responsesSent <= MAX_RESPONSES_WITH_UPDATES) {
      send(kind, address, sequence, argument, first);
    } else if (responsesSent <= MAX_RESPONSES_PER_PERIOD) {
      sendWithoutGossip(kind, address, sequence, argument, first);
    }
  }

  /** Sends a datagram with these updates alone. */
  void sendWithoutGossip(
      Kind kind, String address, int sequence, int argument, List<MemberUpdate> updates) {
    port.send(address, new Datagram(kind, ownNumber, sequence, argument, updates));
  }

  /** How often each update is sent on: in proportion to the fleet's logarithm (SWIM, 4.1). */
  private int transmissions() {
    int log2 = Integer.SIZE - Integer.numberOfLeadingZeros(table.size() + 1);
    return (int) Math.ceil(settings.retellings() * log2);
  }
}
