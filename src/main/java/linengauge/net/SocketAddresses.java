package linengauge.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Addresses as settings and other fronts give them. */
public final class SocketAddresses {
  private SocketAddresses() {}

  /**
   * An address in numbers with its port, as host:port; no name is ever looked up, as that could
   * wait.
   *
   * @throws IllegalArgumentException that it is none
   */
  public static InetSocketAddress parseNumeric(String address) {
    int colon = address == null ? -1 : address.lastIndexOf(':');
    String host = colon < 0 ? "" : address.substring(0, colon).replaceAll("[\\[\\]]", "");
    if (!host.matches("[0-9.]+|[0-9a-fA-F:]*:[0-9a-fA-F:.]*")
        || !address.substring(colon + 1).matches("[0-9]{1,5}")) {
      throw new IllegalArgumentException("no address in numbers with a port: " + address);
    }
    try {
      return new InetSocketAddress(
          InetAddress.getByName(host), Integer.parseInt(address.substring(colon + 1)));
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("no address in numbers with a port: " + address, e);
    }
  }
}
