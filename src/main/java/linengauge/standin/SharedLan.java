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
 * A stand-in LAN with its switch. It carries VRRP's datagrams between nodes, with loss, delay,
 * copies and cut links, and viewers' connections to whoever announced a shared address last, as a
 * switch does that has learnt from gratuitous ARP (RFC 5227) or unsolicited neighbour
 * advertisements (RFC 4861). Connections through it to a node that lost the address break. Each
 * node has a loopback address of its own, which the LAN sends from in its place at another port.
 * Everything here runs on one event loop, whose clock is the tap's.
 */
public final class SharedLan {
  private static final Pattern ASKED =
      Pattern.compile(
          "^GET /titles/([^/]+)/main\\.m3u8\\?package=([^&]+)&ceiling=(\\d+)&patience=(\\d+)&key=(\\S+) HTTP");
  private static final Pattern ASK = Pattern.compile("(?i)\r\nX-Ask: *([^\r]+)\r\n");
  private static final int LONGEST_HEAD = 16_384;

  /**
   * A node: its address, its port for datagrams, the LAN's port in its place, and where it takes
   * viewers by VRID.
   */
  public record Node(
      int number, String host, int port, int lanPort, Map<Integer, String> viewers) {}

  /** A shared address. */
  public record SharedAddress(int vrid, String host, int port) {}

  private final Vertx vertx;
  private final Tap tap;
  private final SplittableRandom chance;
  private final List<Node> nodes;
  private final List<SharedAddress> shared;
  private final List<DatagramSocket> sockets = new ArrayList<>();
  private final boolean[][] cut;
  private final String announceHost;
  private final int announcePort;
  private final NetClient client;

  /** By VRID: the node that announced last. */
  private final Map<Integer, Integer> holders = new HashMap<>();

  /**
   * By node and VRID: the number of its last announcement, so that one overtaken by another is
   * passed over.
   */
  private final Map<String, Long> announced = new HashMap<>();

  private final Map<Integer, Set<Line>> lines = new HashMap<>();
  private final Map<String, Integer> receivingNode = new ConcurrentHashMap<>();
  private double lost;
  private double copied;
  private int lateMs;
  private long relayed;

  /** One viewer's connection through the switch. */
  private final class Line {
    private final int vrid;
    private final int node;
    private final NetSocket near;
    private NetSocket far;
    private String head = "";
    private String ask;
    private boolean over;

    private Line(int vrid, int node, NetSocket near) {
      this.vrid = vrid;
      this.node = node;
      this.near = near;
    }

    private void open() {
      near.pause();
      near.exceptionHandler(e -> {});
      near.closeHandler(v -> end());
      String[] at = nodes.get(node).viewers.get(vrid).split(":");
      client
          .connect(Integer.parseInt(at[1]), at[0])
          .onFailure(e -> near.close())
          .onSuccess(
              s -> {
                far = s;
                far.exceptionHandler(e -> {});
                far.closeHandler(v -> end());
                near.handler(
                    b -> {
                      if (over) {
                        return; // nothing more is handed on, nor seen
                      }
                      look(b);
                      far.write(b);
                    });
                far.handler(
                    b -> {
                      near.write(b);
                      if (near.writeQueueFull()) {
                        far.pause();
                        near.drainHandler(v -> far.resume());
                      }
                    });
                near.resume();
              });
    }

    /** The tap: a request for a viewing is about to be handed on, to this node. */
    private void look(Buffer b) {
      if (ask != null || head.length() > LONGEST_HEAD) {
        return;
      }
      head += b.toString("ISO-8859-1");
      if (!head.contains("\r\n\r\n")) {
        return;
      }
      Matcher id = ASK.matcher(head);
      Matcher asked = ASKED.matcher(head);
      if (id.find() && asked.find()) {
        ask = id.group(1);
        receivingNode.put(ask, node);
        tap.recordEvent(
            "asked",
            "ask",
            ask,
            "front",
            node,
            "key",
            asked.group(5),
            "title",
            asked.group(1),
            "package",
            asked.group(2),
            "ceiling",
            Integer.parseInt(asked.group(3)),
            "patienceMs",
            Integer.parseInt(asked.group(4)),
            "vrid",
            vrid);
      }
      head = "";
    }

    /** The switch sends it elsewhere from now on, where nobody knows it. */
    private void breakOff() {
      if (ask != null) {
        tap.recordEvent("cut", "ask", ask, "front", node);
      }
      end();
    }

    private void end() {
      over = true;
      lines.get(vrid).remove(this);
      near.close();
      if (far != null) {
        far.close();
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
    this.chance = new SplittableRandom(seed);
    this.cut = new boolean[nodes.size()][nodes.size()];
    this.client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(1000));
  }

  /**
   * Opens all ways; to be called on the LAN's loop, as everything here but {@link #receivingNode}.
   */
  public Future<?> open() {
    List<Future<?>> open = new ArrayList<>();
    for (Node n : nodes) {
      DatagramSocket s = vertx.createDatagramSocket();
      sockets.add(s);
      open.add(hear(s, n.lanPort, n.host, (from, data) -> carry(from, n, data)));
    }
    DatagramSocket announcements = vertx.createDatagramSocket();
    open.add(hear(announcements, announcePort, announceHost, this::announced));
    for (SharedAddress a : shared) {
      open.add(openShared(a));
    }
    return Future.all(open);
  }

  /** Binds a socket; what a node sends there goes to the receiver, with the node. */
  private Future<?> hear(
      DatagramSocket socket, int port, String host, BiConsumer<Node, Buffer> receiver) {
    return socket
        .listen(port, host)
        .onSuccess(
            bound ->
                bound.handler(
                    p -> {
                      for (Node from : nodes) {
                        if (from.host.equals(p.sender().hostAddress())
                            && from.port == p.sender().port()) {
                          receiver.accept(from, p.data());
                        }
                      }
                    }));
  }

  /** Opens a shared address: its connections go to whoever holds it. */
  private Future<?> openShared(SharedAddress a) {
    lines.put(a.vrid, new HashSet<>());
    NetServer server = vertx.createNetServer(new NetServerOptions().setReusePort(false));
    server.connectHandler(
        near -> {
          Integer holder = holders.get(a.vrid);
          if (holder == null) {
            near.close();
            return;
          }
          Line l = new Line(a.vrid, holder, near);
          lines.get(a.vrid).add(l);
          l.open();
        });
    return server.listen(a.port, a.host);
  }

  /**
   * What a node sends to another, as it is on the wire; section 5.2 of RFC 9568 says where priority
   * and VRID are.
   */
  private void carry(Node from, Node to, Buffer b) {
    if (b.length() < 8) {
      return;
    }
    tap.recordEvent(
        "advert",
        "node",
        from.number,
        "to",
        to.number,
        "vrid",
        b.getUnsignedByte(1),
        "priority",
        b.getUnsignedByte(2),
        "carried",
        !cut[from.number][to.number]);
    int times = 1 + (chance.nextDouble() < copied ? 1 : 0);
    for (int i = 0; i < times; i++) {
      if (cut[from.number][to.number] || chance.nextDouble() < lost) {
        continue;
      }
      relayed++;
      DatagramSocket socket = sockets.get(from.number);
      if (lateMs == 0) {
        socket.send(b, to.port, to.host);
      } else {
        vertx.setTimer(1 + chance.nextInt(lateMs), t -> socket.send(b, to.port, to.host));
      }
    }
  }

  private void announced(Node from, Buffer b) {
    if (b.length() != 12 || b.getByte(0) != 0x4c || b.getByte(1) != 0x41) {
      return;
    }
    int vrid = b.getUnsignedByte(3);
    boolean takes = b.getByte(2) == 1;
    long number = b.getLong(4);
    if (number <= announced.getOrDefault(from.number + "/" + vrid, Long.MIN_VALUE)) {
      return;
    }
    announced.put(from.number + "/" + vrid, number);
    tap.recordEvent(takes ? "announced" : "given-up", "node", from.number, "vrid", vrid);
    Integer before = holders.get(vrid);
    if (takes && (before == null || before != from.number)) {
      holders.put(vrid, from.number);
      for (Line l : List.copyOf(lines.getOrDefault(vrid, Set.of()))) {
        l.breakOff();
      }
    }
  }

  /** The node that a request was handed to; null where it was to none. On any thread. */
  public Integer receivingNode(String ask) {
    return receivingNode.get(ask);
  }

  /** The node that announced an address last; null where none did. */
  public Integer holder(int vrid) {
    return holders.get(vrid);
  }

  public void setCut(int from, int to, boolean isCut) {
    cut[from][to] = isCut;
  }

  /**
   * From now on this part of all datagrams is lost, this part comes twice, and each up to so late,
   * out of order too.
   */
  public void setImpairments(double lose, double copy, int late) {
    lost = lose;
    copied = copy;
    lateMs = late;
  }

  public long relayed() {
    return relayed;
  }
}
