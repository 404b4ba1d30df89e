package linengauge.vrrp.udp;

import java.net.InetSocketAddress;
import java.util.List;
import linengauge.vrrp.RouterSettings;

/**
 * The settings of a {@link UdpNode}.
 *
 * @param listen the address and port for advertisements from partners; the address is the primary
 *     one
 * @param partners the addresses and ports at which the partners listen, each with an address of its
 *     own
 * @param group a multicast address and port that all nodes have joined, used instead of one
 *     datagram for each partner; null: none
 * @param groupInterface the name of the network interface on which the group is joined
 * @param announceTo whoever forwards viewers to the holder of the address, notified of each change;
 *     null: nobody
 * @param authenticationKey the key of the trailer; null: packets have no trailer, as in the
 *     standard
 * @param pseudoHeaderForIpv4 whether IPv4 checksums cover a pseudo-header too
 * @param maxReadsPerIteration the maximum number of datagrams read before the timers are checked
 * @param receiveBufferBytes the size of the socket's receive buffer
 * @param routers the virtual routers of this node
 */
public record UdpNodeSettings(
    InetSocketAddress listen,
    List<InetSocketAddress> partners,
    InetSocketAddress group,
    String groupInterface,
    InetSocketAddress announceTo,
    byte[] authenticationKey,
    boolean pseudoHeaderForIpv4,
    int maxReadsPerIteration,
    int receiveBufferBytes,
    List<RouterSettings> routers) {
  public UdpNodeSettings {
    partners = List.copyOf(partners);
    routers = List.copyOf(routers);
    authenticationKey = authenticationKey == null ? null : authenticationKey.clone();
  }
}
