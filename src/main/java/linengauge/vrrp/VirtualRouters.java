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
 * All virtual routers of one node behind one door: what comes in a datagram is proved, read and
 * given to the router that it is for, and what a router says goes out to every partner. It holds no
 * socket; whoever does calls it.
 */
public final class VirtualRouters {
  /** The node on its wire. */
  public interface Network {
    /** Sends to one partner, or to the group; it may be lost. */
    void send(byte[] datagram, NodeAddress to);

    /** The shared address of a virtual router is this node's. */
    void acquireAddress(int vrid);

    void announceAddress(int vrid);

    void releaseAddress(int vrid);
  }

  private final NodeAddress own;
  private final List<NodeAddress> destinations;
  private final Set<NodeAddress> known;
  private final PacketCodec packets;
  private final DatagramAuthenticator seal;
  private final Network wire;

  /** By number, as set up; none comes or goes while it runs. */
  private final Map<Integer, VirtualRouter> routers = new TreeMap<>();

  private final Map<DropReason, Long> drops = new EnumMap<>(DropReason.class);
  private long receivedCount;
  private long addressMismatches;
  private long intervalMismatches;

  /**
   * Datagrams are not rationed by sender: without a key, garbage in a partner's name would use up
   * its ration. Each costs less than a microsecond to turn down (with a key, one digest), and
   * whoever reads them looks at the timers between.
   *
   * @param partners who is heard
   * @param group a multicast address by which all partners are reached at once (section 5.1.1.2);
   *     null: each by its own
   * @param seal the group's key, or null for the standard's packet alone
   */
  public VirtualRouters(
      NodeAddress own,
      List<NodeAddress> partners,
      NodeAddress group,
      List<RouterSettings> routers,
      PacketCodec packets,
      DatagramAuthenticator seal,
      Network wire) {
    this.own = own;
    this.destinations = group == null ? List.copyOf(partners) : List.of(group);
    this.known = new HashSet<>(partners);
    this.packets = packets;
    this.seal = seal;
    this.wire = wire;
    for (RouterSettings t : routers) {
      this.routers.put(
          t.vrid(),
          new VirtualRouter(
              t,
              new VirtualRouter.Port() {
                @Override
                public void send(Advertisement a) {
                  VirtualRouters.this.send(a);
                }

                @Override
                public void acquireAddress(int vrid) {
                  wire.acquireAddress(vrid);
                }

                @Override
                public void announceAddress(int vrid) {
                  wire.announceAddress(vrid);
                }

                @Override
                public void releaseAddress(int vrid) {
                  wire.releaseAddress(vrid);
                }
              }));
    }
  }

  private void send(Advertisement a) {
    for (NodeAddress to : destinations) {
      byte[] bytes = packets.encode(a, own, to);
      wire.send(seal == null ? bytes : seal.sign(bytes, own), to);
    }
  }

  public void start(Moment now) {
    routers.values().forEach(r -> r.start(now));
  }

  public void shutdown(Moment now) {
    routers.values().forEach(r -> r.shutdown(now));
  }

  /** Goodbyes said once more. */
  public void repeatShutdown() {
    routers.values().forEach(VirtualRouter::repeatShutdown);
  }

  /** The front is fit to hold addresses, or not. */
  public void setUnhealthy(boolean isUnwell, Moment now) {
    routers.values().forEach(r -> r.setUnhealthy(isUnwell, now));
  }

  /** Time has passed; every router that is due acts. */
  public void runTimers(Moment now) {
    routers.values().forEach(r -> r.runTimers(now));
  }

  /** When the first router is due; null where none ever is. */
  public Moment nextTimer() {
    Moment first = null;
    for (VirtualRouter r : routers.values()) {
      Moment due = r.nextTimer();
      first = due != null && (first == null || due.before(first)) ? due : first;
    }
    return first;
  }

  /**
   * A datagram of so many bytes from an address to this node's or the group's. What is no
   * advertisement for a router here is counted by its cause.
   */
  public void receive(byte[] bytes, int length, NodeAddress from, NodeAddress to, Moment now) {
    try {
      if (from.equals(own)) {
        throw new InvalidPacketException(DropReason.OWN);
      }
      if (!known.contains(from)) {
        throw new InvalidPacketException(DropReason.FOREIGN_SENDER);
      }
      int packet = length;
      if (seal != null) {
        packet = seal.verify(bytes, length, from);
      }
      Advertisement a = packets.decode(bytes, packet, from, to);
      VirtualRouter r = routers.get(a.vrid());
      if (r == null) {
        throw new InvalidPacketException(DropReason.VRID);
      }
      if (r.settings().isOwner()) {
        throw new InvalidPacketException(DropReason.OWNER); // 7.1: the owner hears nobody
      }
      receivedCount++;
      // Section 7.1: told to the operators, and heard all the same.
      addressMismatches += sorted(a.addresses()).equals(sorted(r.settings().addresses())) ? 0 : 1;
      intervalMismatches += a.interval().equals(r.settings().interval()) ? 0 : 1;
      r.receive(a, from, now);
    } catch (InvalidPacketException e) {
      drops.merge(e.reason(), 1L, Long::sum);
    }
  }

  private static List<NodeAddress> sorted(List<NodeAddress> addresses) {
    NodeAddress[] all = addresses.toArray(new NodeAddress[0]);
    Arrays.sort(all);
    return Arrays.asList(all);
  }

  public List<VirtualRouter> routers() {
    return new ArrayList<>(routers.values());
  }

  /** Datagrams that were no advertisement, by cause. */
  public Map<DropReason, Long> drops() {
    return Map.copyOf(drops);
  }

  public long receivedCount() {
    return receivedCount;
  }

  /**
   * Advertisements that name other addresses, or another interval, than this node is set up with.
   */
  public long addressMismatches() {
    return addressMismatches;
  }

  public long intervalMismatches() {
    return intervalMismatches;
  }

  /** The longest that any router here waits for a silent partner, as things stand. */
  public Span maxActiveDownInterval() {
    Span most = Span.NONE;
    for (VirtualRouter r : routers.values()) {
      most = most.orMore(r.activeDownInterval());
    }
    return most;
  }
}
