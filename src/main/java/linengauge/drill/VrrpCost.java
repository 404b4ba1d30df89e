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

/**
 * What virtual routers cost: two nodes in this process with so many of them, and the time that
 * their threads take.
 */
final class VrrpCost {
  private static final int SECONDS = 5;

  private VrrpCost() {}

  /** Processor time of one node's thread, in microseconds for each second and virtual router. */
  static String measure(int routers, int advertMs, byte[] key)
      throws IOException, InterruptedException {
    List<Integer> ports = Ports.free(2);
    List<InetSocketAddress> at =
        List.of(
            new InetSocketAddress(Ports.node(2), ports.get(0)),
            new InetSocketAddress(Ports.node(3), ports.get(1)));
    List<UdpNode> nodes = new ArrayList<>();
    try {
      for (int i = 0; i < 2; i++) {
        nodes.add(node(at, i, routers, advertMs, key));
      }
      nodes.forEach(UdpNode::start);
      Thread.sleep(3000 + 5L * advertMs);
      long from = cpu();
      Thread.sleep(1000L * SECONDS);
      long micros = (cpu() - from) / 1000;
      return String.format(Locale.ROOT, "%.0f", micros / 2.0 / SECONDS / routers);
    } finally {
      nodes.forEach(UdpNode::close);
    }
  }

  /** One of two nodes, with so many virtual routers; the first has the higher priority. */
  private static UdpNode node(
      List<InetSocketAddress> at, int number, int routers, int advertMs, byte[] key)
      throws IOException {
    List<RouterSettings> terms = new ArrayList<>();
    for (int v = 1; v <= routers; v++) {
      terms.add(
          new RouterSettings(
              v,
              200 - 100 * number,
              Span.ofMillis(advertMs),
              true,
              true,
              List.of(NodeAddress.of(192, 0, 2, v)),
              new NodeAddress(at.get(number).getAddress().getAddress()),
              RouterSettings.Extensions.NONE));
    }
    return new UdpNode(
        new UdpNodeSettings(
            at.get(number),
            List.of(at.get(1 - number)),
            null,
            null,
            null,
            key,
            false,
            256,
            1 << 20,
            terms),
        new UdpNode.OwnershipListener() {
          @Override
          public void addressAcquired(int vrid) {
            // nobody serves here
          }

          @Override
          public void addressReleased(int vrid) {
            // nobody serves here
          }
        },
        () -> false);
  }

  private static long cpu() {
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
