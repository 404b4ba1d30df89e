package linengauge.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in LAN with its switch. It forwards VRRP datagrams between nodes, with loss, delay,
 * duplicates and cut links. It forwards viewers' connections to the node that announced a shared
 * address last, as a switch does that has learnt from gratuitous ARP (RFC 5227) or unsolicited
 * neighbour advertisements (RFC 4861). Connections to a node that loses the address break. Each
 * node has a loopback address of its own, from which the LAN sends on the node's behalf at another
 * port. Everything here runs on one event loop, and times are those of the tap.
 */
public final class SharedLan {
  private static final Pattern VIEWING_REQUEST =
      Pattern.compile(
          "^GET /titles/([^/]+)/main\\.m3u8\\?package=([^&]+)&ceiling=(\\d+)&patience=(\\d+)&key=(\\S+) HTTP");
  private static final Pattern REQUEST_ID = Pattern.compile("(?i)\r\nX-Ask: *([^\r]+)\r\n");
  private static final int MAX_HEAD_CHARS = 16_384;

  /**
   * A node: its address, its port for datagrams, the port at which the LAN acts for it, and its
   * viewer address by VRID.
   */
  public record Node(
      int number, String host, int port, int lanPort, Map<Integer, String> viewers) {}

  /** A shared address. */
  public record SharedAddress(int vrid, String host, int port) {}

  private final Vertx vertx;
  private final Tap tap;
  private final SplittableRandom random;
  private final List<Node> nodes;
  private final List<SharedAddress> shared;
  private final List<DatagramSocket> sockets = new ArrayList<>();
  private final boolean[][] cut;
  private final String announceHost;
  private final int announcePort;
  private final NetClient client;

  /** By VRID: the node that announced last. */
  private final Map<Integer, Integer> owners = new HashMap<>();

  /**
   * By node and VRID: the number of the last announcement, so that one that arrives out of order is
   * ignored.
   */
  private final Map<String, Long> lastAnnouncements = new HashMap<>();

  private final Map<Integer, Set<Connection>> connections = new HashMap<>();
  private final Map<String, Integer> receivingNode = new ConcurrentHashMap<>();
  private double lossRate;
  private double duplicationRate;
  private int maxDelayMs;
  private long relayed;

  /** One viewer's connection through the switch. */
  private final class Connection {
    private final int vrid;
    private final int node;
    private final NetSocket viewerSide;
    private NetSocket nodeSide;
    private String head = "";
    private String requestId;
    private boolean closed;

    private Connection(int vrid, int node, NetSocket viewerSide) {
      this.vrid = vrid;
      this.node = node;
      this.viewerSide = viewerSide;
    }

    private void open() {
      viewerSide.pause();
      viewerSide.exceptionHandler(e -> {});
      viewerSide.closeHandler(v -> end());
      String[] hostAndPort = nodes.get(node).viewers.get(vrid).split(":");
      client
          .connect(Integer.parseInt(hostAndPort[1]), hostAndPort[0])
          .onFailure(e -> viewerSide.close())
          .onSuccess(
              socket -> {
                nodeSide = socket;
                nodeSide.exceptionHandler(e -> {});
                nodeSide.closeHandler(v -> end());
                viewerSide.handler(
                    received -> {
                      if (closed) {
                        return; // Late data is neither forwarded nor recorded.
                      }
                      inspect(received);
                      nodeSide.write(received);
                    });
                nodeSide.handler(
                    received -> {
                      viewerSide.write(received);
                      if (viewerSide.writeQueueFull()) {
                        nodeSide.pause();
                        viewerSide.drainHandler(v -> nodeSide.resume());
                      }
                    });
                viewerSide.resume();
              });
    }

    /** Records a request for a viewing before it is forwarded to this node. */
    private void inspect(Buffer data) {
      if (requestId != null || head.length() > MAX_HEAD_CHARS) {
        return;
      }
      head += data.toString("ISO-8859-1");
      if (!head.contains("\r\n\r\n")) {
        return;
      }
      Matcher idMatch = REQUEST_ID.matcher(head);
      Matcher requestMatch = VIEWING_REQUEST.matcher(head);
      if (idMatch.find() && requestMatch.find()) {
        requestId = idMatch.group(1);
        receivingNode.put(requestId, node);
        tap.recordEvent(
            "asked",
            "ask",
            requestId,
            "front",
            node,
            "key",
            requestMatch.group(5),
            "title",
            requestMatch.group(1),
            "package",
            requestMatch.group(2),
            "ceiling",
            Integer.parseInt(requestMatch.group(3)),
            "patienceMs",
            Integer.parseInt(requestMatch.group(4)),
            "vrid",
            vrid);
      }
      head = "";
    }

    /**
     * Closes the connection because the switch now forwards to another node, which does not know
     * it.
     */
    private void cutByHandover() {
      if (requestId != null) {
        tap.recordEvent("cut", "ask", requestId, "front", node);
      }
      end();
    }

    private void end() {
      closed = true;
      connections.get(vrid).remove(this);
      viewerSide.close();
      if (nodeSide != null) {
        nodeSide.close();
      }
    }
  }

  public SharedLan(
      Vertx vertx,
      List<Node> nodes,
      List<SharedAddress> shared,
      String announceHost,
      int announcePort,
      long seed,
      Tap tap) {
    this.vertx = vertx;
    this.nodes = List.copyOf(nodes);
    this.shared = List.copyOf(shared);
    this.announceHost = announceHost;
    this.announcePort = announcePort;
    this.tap = tap;
    this.random = new SplittableRandom(seed);
    this.cut = new boolean[nodes.size()][nodes.size()];
    this.client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(1000));
  }

  /**
   * Opens all sockets; runs on the LAN's loop, as everything here except {@link #receivingNode}.
   */
  public Future<?> open() {
    List<Future<?>> open = new ArrayList<>();
    for (Node node : nodes) {
      DatagramSocket socket = vertx.createDatagramSocket();
      sockets.add(socket);
      open.add(bind(socket, node.lanPort, node.host, (from, data) -> forward(from, node, data)));
    }
    DatagramSocket announcements = vertx.createDatagramSocket();
    open.add(bind(announcements, announcePort, announceHost, this::onAnnouncement));
    for (SharedAddress address : shared) {
      open.add(openShared(address));
    }
    return Future.all(open);
  }

  /** Binds a socket; datagrams of a node go to the receiver together with that node. */
  private Future<?> bind(
      DatagramSocket socket, int port, String host, BiConsumer<Node, Buffer> receiver) {
    return socket
        .listen(port, host)
        .onSuccess(
            bound ->
                bound.handler(
                    packet -> {
                      for (Node from : nodes) {
                        if (from.host.equals(packet.sender().hostAddress())
                            && from.port == packet.sender().port()) {
                          receiver.accept(from, packet.data());
                        }
                      }
                    }));
  }

  /** Opens a shared address; its connections go to the node that owns it. */
  private Future<?> openShared(SharedAddress address) {
    connections.put(address.vrid, new HashSet<>());
    NetServer server = vertx.createNetServer(new NetServerOptions().setReusePort(false));
    server.connectHandler(
        viewerSide -> {
          Integer owner = owners.get(address.vrid);
          if (owner == null) {
            viewerSide.close();
            return;
          }
          Connection connection = new Connection(address.vrid, owner, viewerSide);
          connections.get(address.vrid).add(connection);
          connection.open();
        });
    return server.listen(address.port, address.host);
  }

  /**
   * Forwards a datagram from one node to another as it is on the wire; section 5.2 of RFC 9568
   * gives the positions of priority and VRID.
   */
  private void forward(Node from, Node to, Buffer data) {
    if (data.length() < 8) {
      return;
    }
    tap.recordEvent(
        "advert",
        "node",
        from.number,
        "to",
        to.number,
        "vrid",
        data.getUnsignedByte(1),
        "priority",
        data.getUnsignedByte(2),
        "carried",
        !cut[from.number][to.number]);
    int times = 1 + (random.nextDouble() < duplicationRate ? 1 : 0);
    for (int i = 0; i < times; i++) {
      if (cut[from.number][to.number] || random.nextDouble() < lossRate) {
        continue;
      }
      relayed++;
      DatagramSocket socket = sockets.get(from.number);
      if (maxDelayMs == 0) {
        socket.send(data, to.port, to.host);
      } else {
        vertx.setTimer(1 + random.nextInt(maxDelayMs), t -> socket.send(data, to.port, to.host));
      }
    }
  }

  private void onAnnouncement(Node from, Buffer data) {
    if (data.length() != 12 || data.getByte(0) != 0x4c || data.getByte(1) != 0x41) {
      return;
    }
    int vrid = data.getUnsignedByte(3);
    boolean takes = data.getByte(2) == 1;
    long number = data.getLong(4);
    if (number <= lastAnnouncements.getOrDefault(from.number + "/" + vrid, Long.MIN_VALUE)) {
      return;
    }
    lastAnnouncements.put(from.number + "/" + vrid, number);
    tap.recordEvent(takes ? "announced" : "given-up", "node", from.number, "vrid", vrid);
    Integer previous = owners.get(vrid);
    if (takes && (previous == null || previous != from.number)) {
      owners.put(vrid, from.number);
      for (Connection connection : List.copyOf(connections.getOrDefault(vrid, Set.of()))) {
        connection.cutByHandover();
      }
    }
  }

  /** Returns the node that received a request, or null if none did. May be called on any thread. */
  public Integer receivingNode(String request) {
    return receivingNode.get(request);
  }

  /** Returns the node that announced an address last, or null if none did. */
  public Integer owner(int vrid) {
    return owners.get(vrid);
  }

  /** Drops the datagrams from one node to another, or stops doing so; viewers' connections stay. */
  public void setCut(int from, int to, boolean isCut) {
    cut[from][to] = isCut;
  }

  /**
   * Sets the probabilities that a datagram is lost or duplicated, and the maximum delay in
   * milliseconds; datagrams may be reordered.
   */
  public void setImpairments(double loss, double duplication, int delayMs) {
    lossRate = loss;
    duplicationRate = duplication;
    maxDelayMs = delayMs;
  }

  public long relayed() {
    return relayed;
  }
}
