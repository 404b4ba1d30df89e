package linengauge.vrrp;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import linengauge.Moment;
import linengauge.Span;

/**
 * All virtual routers of one node: verifies and decodes the datagrams received, dispatches them to
 * the router that they are for, and sends the routers' advertisements to every partner. It owns no
 * socket; the owner of the socket calls it.
 */
public final class VirtualRouters {
  /** The network as seen by this node. */
  public interface Network {
    /** Sends a datagram to one partner or to the multicast group; it may be lost. */
    void send(byte[] datagram, NodeAddress to);

    /** Makes the shared address of a virtual router this node's own. */
    void acquireAddress(int vrid);

    void announceAddress(int vrid);

    void releaseAddress(int vrid);
  }

  private final NodeAddress primaryAddress;
  private final List<NodeAddress> destinations;
  private final Set<NodeAddress> partners;
  private final PacketCodec codec;
  private final DatagramAuthenticator authenticator;
  private final Network network;

  /** The configured routers by identifier; the set is fixed. */
  private final Map<Integer, VirtualRouter> routers = new TreeMap<>();

  private final Map<DropReason, Long> drops = new EnumMap<>(DropReason.class);
  private long receivedCount;
  private long addressMismatches;
  private long intervalMismatches;

  /**
   * Datagrams are not rate-limited by sender, because without a key, invalid datagrams that claim a
   * partner's address would use up that partner's limit. Rejecting one costs less than a
   * microsecond (with a key, one digest), and the reader checks the timers in between.
   *
   * @param partners the nodes whose advertisements are accepted
   * @param multicastGroup a multicast address that reaches all partners at once (section 5.1.1.2);
   *     null: each is sent its own datagram
   * @param authenticator the authenticator with the group's key; null: packets have no trailer, as
   *     in the standard
   */
  public VirtualRouters(
      NodeAddress primaryAddress,
      List<NodeAddress> partners,
      NodeAddress multicastGroup,
      List<RouterSettings> routers,
      PacketCodec codec,
      DatagramAuthenticator authenticator,
      Network network) {
    this.primaryAddress = primaryAddress;
    this.destinations = multicastGroup == null ? List.copyOf(partners) : List.of(multicastGroup);
    this.partners = new HashSet<>(partners);
    this.codec = codec;
    this.authenticator = authenticator;
    this.network = network;
    for (RouterSettings settings : routers) {
      this.routers.put(
          settings.vrid(),
          new VirtualRouter(
              settings,
              new VirtualRouter.Port() {
                @Override
                public void send(Advertisement advertisement) {
                  VirtualRouters.this.send(advertisement);
                }

                @Override
                public void acquireAddress(int vrid) {
                  network.acquireAddress(vrid);
                }

                @Override
                public void announceAddress(int vrid) {
                  network.announceAddress(vrid);
                }

                @Override
                public void releaseAddress(int vrid) {
                  network.releaseAddress(vrid);
                }
              }));
    }
  }

  private void send(Advertisement advertisement) {
    for (NodeAddress to : destinations) {
      byte[] bytes = codec.encode(advertisement, primaryAddress, to);
      network.send(authenticator == null ? bytes : authenticator.sign(bytes, primaryAddress), to);
    }
  }

  public void start(Moment now) {
    routers.values().forEach(router -> router.start(now));
  }

  public void shutdown(Moment now) {
    routers.values().forEach(router -> router.shutdown(now));
  }

  /** Repeats the advertisements of priority 0 after a shutdown. */
  public void repeatShutdown() {
    routers.values().forEach(VirtualRouter::repeatShutdown);
  }

  /** Reports whether the front is fit to hold addresses. */
  public void setUnhealthy(boolean isUnhealthy, Moment now) {
    routers.values().forEach(router -> router.setUnhealthy(isUnhealthy, now));
  }

  /** Runs the timers of every router that is due. */
  public void runTimers(Moment now) {
    routers.values().forEach(router -> router.runTimers(now));
  }

  /** Returns when the first timer of any router expires; null: there is none. */
  public Moment nextTimer() {
    Moment first = null;
    for (VirtualRouter router : routers.values()) {
      Moment due = router.nextTimer();
      first = due != null && (first == null || due.isBefore(first)) ? due : first;
    }
    return first;
  }

  /**
   * Handles a received datagram of the given length; its destination is this node's or the group's
   * address. A datagram that is no valid advertisement for a router of this node is counted by its
   * reason.
   */
  public void receive(byte[] bytes, int length, NodeAddress from, NodeAddress to, Moment now) {
    try {
      if (from.equals(primaryAddress)) {
        throw new InvalidPacketException(DropReason.OWN);
      }
      if (!partners.contains(from)) {
        throw new InvalidPacketException(DropReason.FOREIGN_SENDER);
      }
      int packetLength = length;
      if (authenticator != null) {
        packetLength = authenticator.verify(bytes, length, from);
      }
      Advertisement advertisement = codec.decode(bytes, packetLength, from, to);
      VirtualRouter router = routers.get(advertisement.vrid());
      if (router == null) {
        throw new InvalidPacketException(DropReason.VRID);
      }
      if (router.settings().isOwner()) {
        // The owner ignores all advertisements (section 7.1).
        throw new InvalidPacketException(DropReason.OWNER);
      }
      receivedCount++;
      // A mismatch is counted for the operators; the advertisement is processed (section 7.1).
      addressMismatches +=
          sorted(advertisement.addresses()).equals(sorted(router.settings().addresses())) ? 0 : 1;
      intervalMismatches += advertisement.interval().equals(router.settings().interval()) ? 0 : 1;
      router.receive(advertisement, from, now);
    } catch (InvalidPacketException e) {
      drops.merge(e.reason(), 1L, Long::sum);
    }
  }

  private static List<NodeAddress> sorted(List<NodeAddress> addresses) {
    NodeAddress[] array = addresses.toArray(new NodeAddress[0]);
    Arrays.sort(array);
    return Arrays.asList(array);
  }

  public List<VirtualRouter> routers() {
    return new ArrayList<>(routers.values());
  }

  /** Returns the number of dropped datagrams by reason. */
  public Map<DropReason, Long> drops() {
    return Map.copyOf(drops);
  }

  public long receivedCount() {
    return receivedCount;
  }

  /** Returns the number of advertisements whose addresses differ from those configured here. */
  public long addressMismatches() {
    return addressMismatches;
  }

  /** Returns the number of advertisements whose interval differs from the one configured here. */
  public long intervalMismatches() {
    return intervalMismatches;
  }

  /** Returns the longest time for which any router here waits for a silent partner. */
  public Span maxActiveDownInterval() {
    Span longest = Span.NONE;
    for (VirtualRouter router : routers.values()) {
      longest = longest.max(router.activeDownInterval());
    }
    return longest;
  }
}
