package linengauge.vrrp.udp;

import java.net.InetSocketAddress;
import java.util.List;
import linengauge.vrrp.RouterTerms;

/**
 * How one node is carried.
 *
 * @param listen where it hears its partners; the address is its primary one
 * @param partners where they hear it, each by an address of its own
 * @param group a multicast address and port that all of them have joined, in place of one datagram
 *     for each; null: none
 * @param groupInterface the name of the network interface on which it is joined
 * @param announce who forwards viewers to the address's holder and is told of it; null: nobody
 * @param key of the trailer; null: the standard's packet alone
 * @param atOnce datagrams read in a row before the timers are looked at again
 * @param receiveBytes of the system's buffer for what has come
 */
public record UdpTerms(
    InetSocketAddress listen,
    List<InetSocketAddress> partners,
    InetSocketAddress group,
    String groupInterface,
    InetSocketAddress announce,
    byte[] key,
    boolean pseudoHeaderForIpv4,
    int atOnce,
    int receiveBytes,
    List<RouterTerms> routers) {
  public UdpTerms {
    partners = List.copyOf(partners);
    routers = List.copyOf(routers);
    key = key == null ? null : key.clone();
  }
}
