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
  public interface Wire {
    /** Sends to one partner, or to the group; it may be lost. */
    void send(byte[] datagram, NodeAddress to);

    /** The shared address of a virtual router is this node's. */
    void take(int vrid);

    void announce(int vrid);

    void giveUp(int vrid);
  }

  private final NodeAddress own;
  private final List<NodeAddress> destinations;
  private final Set<NodeAddress> known;
  private final Packets packets;
  private final Seal seal;
  private final Wire wire;

  /** By number, as set up; none comes or goes while it runs. */
  private final Map<Integer, VirtualRouter> routers = new TreeMap<>();

  private final Map<Drop, Long> drops = new EnumMap<>(Drop.class);
  private long heard;
  private long otherAddresses;
  private long otherIntervals;

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
      List<RouterTerms> routers,
      Packets packets,
      Seal seal,
      Wire wire) {
    this.own = own;
    this.destinations = group == null ? List.copyOf(partners) : List.of(group);
    this.known = new HashSet<>(partners);
    this.packets = packets;
    this.seal = seal;
    this.wire = wire;
    for (RouterTerms t : routers) {
      this.routers.put(
          t.vrid(),
          new VirtualRouter(
              t,
              new VirtualRouter.Port() {
                @Override
                public void send(Advert a) {
                  VirtualRouters.this.send(a);
                }

                @Override
                public void take(int vrid) {
                  wire.take(vrid);
                }

                @Override
                public void announce(int vrid) {
                  wire.announce(vrid);
                }

                @Override
                public void giveUp(int vrid) {
                  wire.giveUp(vrid);
                }
              }));
    }
  }

  private void send(Advert a) {
    for (NodeAddress to : destinations) {
      byte[] bytes = packets.encode(a, own, to);
      wire.send(seal == null ? bytes : seal.seal(bytes, own), to);
    }
  }

  public void start(Moment now) {
    routers.values().forEach(r -> r.start(now));
  }

  public void shutdown(Moment now) {
    routers.values().forEach(r -> r.shutdown(now));
  }

  /** Goodbyes said once more. */
  public void farewell() {
    routers.values().forEach(VirtualRouter::farewell);
  }

  /** The front is fit to hold addresses, or not. */
  public void unwell(boolean isUnwell, Moment now) {
    routers.values().forEach(r -> r.unwell(isUnwell, now));
  }

  /** Time has passed; every router that is due acts. */
  public void clock(Moment now) {
    routers.values().forEach(r -> r.clock(now));
  }

  /** When the first router is due; null where none ever is. */
  public Moment due() {
    Moment first = null;
    for (VirtualRouter r : routers.values()) {
      Moment due = r.due();
      first = due != null && (first == null || due.isBefore(first)) ? due : first;
    }
    return first;
  }

  /**
   * A datagram of so many bytes from an address to this node's or the group's. What is no
   * advertisement for a router here is counted by its cause.
   */
  public void heard(byte[] bytes, int length, NodeAddress from, NodeAddress to, Moment now) {
    try {
      if (from.equals(own)) {
        throw new BadPacket(Drop.OWN);
      }
      if (!known.contains(from)) {
        throw new BadPacket(Drop.FOREIGN_SENDER);
      }
      int packet = length;
      if (seal != null) {
        packet = seal.open(bytes, length, from);
      }
      Advert a = packets.decode(bytes, packet, from, to);
      VirtualRouter r = routers.get(a.vrid());
      if (r == null) {
        throw new BadPacket(Drop.VRID);
      }
      if (r.terms().isOwner()) {
        throw new BadPacket(Drop.OWNER); // 7.1: the owner hears nobody
      }
      heard++;
      // Section 7.1: told to the operators, and heard all the same.
      otherAddresses += sorted(a.addresses()).equals(sorted(r.terms().addresses())) ? 0 : 1;
      otherIntervals += a.interval().equals(r.terms().interval()) ? 0 : 1;
      r.heard(a, from, now);
    } catch (BadPacket e) {
      drops.merge(e.cause(), 1L, Long::sum);
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
  public Map<Drop, Long> drops() {
    return Map.copyOf(drops);
  }

  public long heard() {
    return heard;
  }

  /**
   * Advertisements that name other addresses, or another interval, than this node is set up with.
   */
  public long otherAddresses() {
    return otherAddresses;
  }

  public long otherIntervals() {
    return otherIntervals;
  }

  /** The longest that any router here waits for a silent partner, as things stand. */
  public Span longestDown() {
    Span most = Span.NONE;
    for (VirtualRouter r : routers.values()) {
      most = most.max(r.activeDown());
    }
    return most;
  }
}
