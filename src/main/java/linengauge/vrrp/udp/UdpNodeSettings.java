package linengauge.vrrp.udp;

import java.net.InetSocketAddress;
import java.util.List;
import linengauge.vrrp.RouterSettings;

/**
 * How one node is carried.
 *
 * @param listen where it hears its partners; the address is its primary one
 * @param partners where they hear it, each by an address of its own
 * @param multicastGroup a multicast address and port that all of them have joined, in place of one
 *     datagram for each; null: none
 * @param multicastInterface the name of the network interface on which it is joined
 * @param announceTo who forwards viewers to the address's holder and is told of it; null: nobody
 * @param authenticationKey of the trailer; null: the standard's packet alone
 * @param maxReadsPerIteration datagrams read in a row before the timers are looked at again
 * @param receiveBufferBytes of the system's buffer for what has come
 */
public record UdpNodeSettings(
    InetSocketAddress listen,
    List<InetSocketAddress> partners,
    InetSocketAddress multicastGroup,
    String multicastInterface,
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
