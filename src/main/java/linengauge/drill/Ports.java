package linengauge.drill;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Finds free loopback ports below the range that the system assigns to outgoing connections, so
 * that a front that is killed and restarted finds its port still free. Each drill uses a loopback
 * address of its own if the system supports this (127.0.0.0/8, RFC 1122 section 3.2.1.3), so that
 * concurrent drills cannot choose the same port.
 */
public final class Ports {
  private static final String DEFAULT_HOST = "127.0.0.1";

  /** The address of everything that this process starts. */
  public static final String HOST = ownAddress(ProcessHandle.current().pid());

  private static final int FIRST_PORT = 12_000;
  private static final int PORT_COUNT = 18_000;

  /**
   * Returns the loopback address of one of several nodes of this process. The addresses differ from
   * each other and from {@link #HOST}: the third octet of a drill's own address is below 128, that
   * of a node is not.
   *
   * @throws IOException if the system supports only one loopback address
   */
  public static String nodeAddress(int number) throws IOException {
    String[] octets = HOST.split("[.]");
    if (HOST.equals(DEFAULT_HOST)) {
      throw new IOException(
          "nodes need loopback addresses of their own, but only " + DEFAULT_HOST + " can be bound");
    }
    return "127."
        + octets[1]
        + "."
        + (128 + (Integer.parseInt(octets[2]) + 16 * number) % 128)
        + "."
        + octets[3];
  }

  private Ports() {}

  private static String ownAddress(long pid) {
    String address =
        "127." + (16 + (pid >> 14) % 128) + "." + (pid >> 7) % 128 + "." + (1 + pid % 128);
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(InetAddress.getByName(address), 0));
      return address;
    } catch (IOException onlyOneLoopbackAddress) {
      return DEFAULT_HOST;
    }
  }

  /** Returns the given number of distinct ports that are not in use. */
  public static List<Integer> free(int count) throws IOException {
    return free(count, List.of());
  }

  /** Returns the given number of distinct ports that are not in use at the address. */
  public static List<Integer> free(String host, int count) throws IOException {
    return free(host, count, List.of());
  }

  /** Returns distinct free ports, excluding those already assigned but not in use yet. */
  static List<Integer> free(int count, List<Integer> reserved) throws IOException {
    return free(HOST, count, reserved);
  }

  private static List<Integer> free(String host, int count, List<Integer> reserved)
      throws IOException {
    SplittableRandom random =
        new SplittableRandom(System.nanoTime() ^ ProcessHandle.current().pid() << 32);
    List<Integer> ports = new ArrayList<>();
    for (int attempts = 0; ports.size() < count; attempts++) {
      if (attempts > 20 * count + 200) {
        throw new IOException("no free ports on " + host);
      }
      int port = FIRST_PORT + random.nextInt(PORT_COUNT);
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress(InetAddress.getByName(host), port));
        if (!ports.contains(port) && !reserved.contains(port)) {
          ports.add(port);
        }
      } catch (IOException inUse) {
        continue;
      }
    }
    return ports;
  }
}
