package linengauge.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses socket addresses given in settings and by other fronts. */
public final class SocketAddresses {
  private SocketAddresses() {}

  /**
   * Parses an address of the form host:port whose host is a literal IP address. Host names are
   * rejected, as resolving them would block.
   *
   * @throws IllegalArgumentException if the text is not such an address
   */
  public static InetSocketAddress parseNumeric(String address) {
    int colon = address == null ? -1 : address.lastIndexOf(':');
    String host = colon < 0 ? "" : address.substring(0, colon).replaceAll("[\\[\\]]", "");
    if (!host.matches("[0-9.]+|[0-9a-fA-F:]*:[0-9a-fA-F:.]*")
        || !address.substring(colon + 1).matches("[0-9]{1,5}")) {
      throw new IllegalArgumentException("not a numeric address with a port: " + address);
    }
    try {
      return new InetSocketAddress(
          InetAddress.getByName(host), Integer.parseInt(address.substring(colon + 1)));
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("not a numeric address with a port: " + address, e);
    }
  }
}
