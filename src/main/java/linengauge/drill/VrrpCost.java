package linengauge.drill;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import linengauge.Span;
import linengauge.vrrp.NodeAddress;
import linengauge.vrrp.RouterSettings;
import linengauge.vrrp.udp.UdpNode;
import linengauge.vrrp.udp.UdpNodeSettings;

/** Measures the processor time of virtual routers with two nodes in this process. */
final class VrrpCost {
  private static final int SECONDS = 5;

  private VrrpCost() {}

  /**
   * Returns the processor time of one node's thread, in microseconds for each second and virtual
   * router.
   */
  static String measure(int routers, int advertMs, byte[] key)
      throws IOException, InterruptedException {
    List<Integer> ports = Ports.free(2);
    List<InetSocketAddress> addresses =
        List.of(
            new InetSocketAddress(Ports.nodeAddress(2), ports.get(0)),
            new InetSocketAddress(Ports.nodeAddress(3), ports.get(1)));
    List<UdpNode> nodes = new ArrayList<>();
    try {
      for (int i = 0; i < 2; i++) {
        nodes.add(createNode(addresses, i, routers, advertMs, key));
      }
      nodes.forEach(UdpNode::start);
      Thread.sleep(3000 + 5L * advertMs);
      long startNanos = cpuNanos();
      Thread.sleep(1000L * SECONDS);
      long micros = (cpuNanos() - startNanos) / 1000;
      return String.format(Locale.ROOT, "%.0f", micros / 2.0 / SECONDS / routers);
    } finally {
      nodes.forEach(UdpNode::close);
    }
  }

  /**
   * Creates one of two nodes with the given number of virtual routers; the first has the higher
   * priority.
   */
  private static UdpNode createNode(
      List<InetSocketAddress> addresses, int number, int routers, int advertMs, byte[] key)
      throws IOException {
    List<RouterSettings> settings = new ArrayList<>();
    for (int router = 1; router <= routers; router++) {
      settings.add(
          new RouterSettings(
              router,
              200 - 100 * number,
              Span.ofMillis(advertMs),
              true,
              true,
              List.of(NodeAddress.of(192, 0, 2, router)),
              new NodeAddress(addresses.get(number).getAddress().getAddress()),
              RouterSettings.Extensions.NONE));
    }
    return new UdpNode(
        new UdpNodeSettings(
            addresses.get(number),
            List.of(addresses.get(1 - number)),
            null,
            null,
            null,
            key,
            false,
            256,
            1 << 20,
            settings),
        new UdpNode.OwnershipListener() {
          @Override
          public void addressAcquired(int vrid) {
            // this node serves no requests
          }

          @Override
          public void addressReleased(int vrid) {
            // this node serves no requests
          }
        },
        () -> false);
  }

  private static long cpuNanos() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (long id : threads.getAllThreadIds()) {
      var info = threads.getThreadInfo(id);
      if (info != null && info.getThreadName().equals(UdpNode.THREAD_NAME)) {
        sum += Math.max(0, threads.getThreadCpuTime(id));
      }
    }
    return sum;
  }
}
