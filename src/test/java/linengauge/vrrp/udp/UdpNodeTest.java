package linengauge.vrrp.udp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import linengauge.Span;
import linengauge.drill.Ports;
import linengauge.vrrp.NodeAddress;
import linengauge.vrrp.RouterSettings;
import org.junit.jupiter.api.Test;

/** Nodes on real sockets, each with a loopback address of its own. */
class UdpNodeTest {
  private static final RouterSettings.Extensions PAUSE_DETECTION =
      new RouterSettings.Extensions(1, true, Span.NONE, Span.NONE, Span.NONE, 0, 0, 0, Span.NONE);

  /** Nodes of decreasing priority that are each other's partners. */
  private static final class Group implements AutoCloseable {
    private final List<UdpNode> nodes = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<List<String>> notifications = new ArrayList<>();
    private volatile int unhealthyNode = -1;

    private Group(int count, int routerCount, int priorityStep) throws IOException {
      this(count, routerCount, priorityStep, 50, null);
    }

    private Group(
        int count,
        int routerCount,
        int priorityStep,
        int advertisementIntervalMs,
        InetSocketAddress group)
        throws IOException {
      List<Integer> ports = Ports.free(count);
      for (int i = 0; i < count; i++) {
        addresses.add(new InetSocketAddress(Ports.nodeAddress(i), ports.get(i)));
      }
      for (int i = 0; i < count; i++) {
        List<InetSocketAddress> partners = new ArrayList<>(addresses);
        partners.remove(i);
        List<RouterSettings> routers = new ArrayList<>();
        for (int vrid = 1; vrid <= routerCount; vrid++) {
          routers.add(
              new RouterSettings(
                  vrid,
                  200 - priorityStep * i,
                  Span.ofMillis(advertisementIntervalMs),
                  true,
                  true,
                  List.of(NodeAddress.of(192, 0, 2, vrid)),
                  new NodeAddress(addresses.get(i).getAddress().getAddress()),
                  new RouterSettings.Extensions(
                      1, true, Span.NONE, Span.NONE, Span.NONE, 0, 0, 120, Span.NONE)));
        }
        List<String> own = java.util.Collections.synchronizedList(new ArrayList<>());
        notifications.add(own);
        int number = i;
        nodes.add(
            new UdpNode(
                new UdpNodeSettings(
                    addresses.get(i),
                    partners,
                    group,
                    "lo",
                    null,
                    null,
                    false,
                    64,
                    262_144,
                    routers),
                new UdpNode.OwnershipListener() {
                  @Override
                  public void addressAcquired(int vrid) {
                    own.add("took " + vrid);
                  }

                  @Override
                  public void addressReleased(int vrid) {
                    own.add("gave up " + vrid);
                  }
                },
                () -> unhealthyNode == number));
      }
    }

    private Group start() {
      nodes.forEach(UdpNode::start);
      return this;
    }

    private List<Integer> holders(int vrid) {
      List<Integer> holders = new ArrayList<>();
      for (int i = 0; i < nodes.size(); i++) {
        if (nodes.get(i).lease(vrid).isHeld()) {
          holders.add(i);
        }
      }
      return holders;
    }

    private long dropCount(int node, String reason) {
      Object drops = nodes.get(node).snapshot().get("dropped");
      return drops instanceof Map<?, ?> counts && counts.get(reason) instanceof Long count
          ? count
          : 0;
    }

    @Override
    public void close() {
      nodes.forEach(UdpNode::close);
    }
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    for (int i = 0; i < 1500; i++) {
      if (condition.getAsBoolean()) {
        return;
      }
      Thread.sleep(10);
    }
    throw new AssertionError("condition was not met in time");
  }

  @Test
  void nodesSettleOnTheHighestPriorityAndTakeOverInOrder() throws Exception {
    try (Group group = new Group(5, 1, 10).start()) {
      await(() -> group.holders(1).equals(List.of(0)));
      group.nodes.get(0).close();
      await(() -> group.holders(1).equals(List.of(1)));
      group.nodes.get(1).close();
      await(() -> group.holders(1).equals(List.of(2)));
      assertEquals(List.of("took 1", "gave up 1"), group.notifications.get(1));
      assertEquals(
          List.of(),
          group.notifications.get(4),
          "node of lowest priority must not acquire the address");
    }
  }

  @Test
  void multicastGroupReachesAllNodes() throws Exception {
    // The last two octets of the group and its port belong to this process, so that no other test
    // joins it.
    String[] hostOctets = Ports.HOST.split("[.]");
    InetSocketAddress multicastGroup =
        new InetSocketAddress(
            "239.18." + hostOctets[2] + "." + hostOctets[3], Ports.free(1).get(0));
    try (Group group = new Group(3, 1, 10, 50, multicastGroup).start()) {
      await(() -> group.holders(1).equals(List.of(0)));
      group.nodes.get(0).close();
      await(() -> group.holders(1).equals(List.of(1)));
      assertEquals(List.of(), group.notifications.get(2));
      assertEquals(0, group.dropCount(1, "OWN"));
    }
  }

  @Test
  void equalNodesSettleByAddressForAHundredRouters() throws Exception {
    try (Group group = new Group(3, 100, 0).start()) {
      await(
          () -> {
            for (int vrid = 1; vrid <= 100; vrid++) {
              if (group.holders(vrid).size() != 1) {
                return false;
              }
            }
            return true;
          });
    }
  }

  @Test
  void unhealthyNodeHandsOverAndTakesTheAddressBackOnceHealthy() throws Exception {
    try (Group group = new Group(2, 1, 100).start()) {
      await(() -> group.holders(1).equals(List.of(0)));
      group.unhealthyNode = 0;
      await(() -> group.holders(1).equals(List.of(1)));
      group.unhealthyNode = -1;
      await(() -> group.holders(1).equals(List.of(0)));
    }
  }

  @Test
  void floodOfRandomDatagramsCausesNoHandover() throws Exception {
    // The interval is longer than the pauses of a busy machine.
    try (Group group = new Group(2, 1, 100, 500, null).start()) {
      await(() -> group.holders(1).equals(List.of(0)));
      long before = group.notifications.get(1).size() + group.notifications.get(0).size();
      SplittableRandom random = new SplittableRandom(1);
      // Sent from the partner's address at another port, so that only the content tells it from
      // the partner's datagrams.
      try (DatagramSocket partnerAddressSocket =
              new DatagramSocket(0, InetAddress.getByName(Ports.nodeAddress(0)));
          DatagramSocket unknownSender = new DatagramSocket(0, InetAddress.getByName(Ports.HOST))) {
        for (int i = 0; i < 60_000; i++) {
          byte[] bytes = new byte[8 + random.nextInt(40)];
          random.nextBytes(bytes);
          DatagramPacket packet = new DatagramPacket(bytes, bytes.length, group.addresses.get(1));
          (i % 2 == 0 ? partnerAddressSocket : unknownSender).send(packet);
        }
      }
      await(
          () ->
              group.dropCount(1, "VERSION") > 1000 && group.dropCount(1, "FOREIGN_SENDER") > 1000);
      assertEquals(List.of(0), group.holders(1));
      assertEquals(
          before,
          group.notifications.get(1).size() + group.notifications.get(0).size(),
          "handover caused by random datagrams");
    }
  }

  @Test
  void leaseExpiresWhenTheNodeIsPaused() throws Exception {
    Group group = new Group(2, 1, 100);
    // Stays false: it is the lock with which the test blocks the node's thread.
    boolean[] unhealthy = {false};
    group.close();
    List<Integer> ports = Ports.free(1);
    InetSocketAddress address = new InetSocketAddress(Ports.nodeAddress(0), ports.get(0));
    try (UdpNode node =
        new UdpNode(
            new UdpNodeSettings(
                address,
                List.of(new InetSocketAddress(Ports.nodeAddress(1), 9)),
                null,
                null,
                null,
                null,
                false,
                64,
                65_536,
                List.of(
                    new RouterSettings(
                        1,
                        255,
                        Span.ofMillis(50),
                        true,
                        true,
                        List.of(NodeAddress.of(192, 0, 2, 1)),
                        new NodeAddress(address.getAddress().getAddress()),
                        PAUSE_DETECTION))),
            new UdpNode.OwnershipListener() {
              @Override
              public void addressAcquired(int vrid) {
                // Not under test.
              }

              @Override
              public void addressReleased(int vrid) {
                // Not under test.
              }
            },
            () -> {
              synchronized (unhealthy) {
                return unhealthy[0];
              }
            })) {
      node.start();
      await(() -> node.lease(1).isHeld());
      // This pauses the node: its thread asks for its health in each iteration, and the question
      // blocks while the test holds the lock.
      synchronized (unhealthy) {
        await(() -> !node.lease(1).isHeld());
      }
      await(() -> node.lease(1).isHeld());
    }
  }

  @Test
  void addressInUseIsReportedAtConstruction() throws Exception {
    try (DatagramSocket other = new DatagramSocket(0, InetAddress.getByName(Ports.HOST))) {
      InetSocketAddress address = new InetSocketAddress(Ports.HOST, other.getLocalPort());
      IOException e =
          assertThrows(
              IOException.class,
              () ->
                  new UdpNode(
                      new UdpNodeSettings(
                          address, List.of(), null, null, null, null, false, 1, 4096, List.of()),
                      null,
                      () -> false));
      assertTrue(e.getMessage().contains("vrrp cannot listen on"), e.getMessage());
      assertFalse(other.isClosed());
    }
  }
}
