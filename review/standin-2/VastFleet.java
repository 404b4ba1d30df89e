import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A fleet of the largest size, with the settings of lennox-films. All servers run on one thread. */
final class VastFleet {
  static final int SERVERS = 3200;
  static final int PLACES = 12;
  private static final int RACKS = 400;

  /** One address of the fleet, and the server that has it now. */
  static final class Box {
    int id;
    int cell;
    int port;
    final List<Link> links = new ArrayList<>();
  }

  static final class Link {
    Box box;
    SocketChannel channel;
    final ByteArrayOutputStream line = new ByteArrayOutputStream();
    final Set<String> tags = new HashSet<>();

    void send(String verb, String tag, String opts, int rc, String blob) {
      String text =
          "{\"verb\":\"" + verb + "\",\"tag\":\"" + tag + "\",\"opts\":{" + opts + "}"
              + (rc < 0 ? "" : ",\"rc\":" + rc) + (blob == null ? "" : ",\"blob\":\"" + blob + "\"") + "}\n";
      try {
        channel.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
      } catch (IOException e) {
        // The front has closed the connection.
      }
    }
  }

  static final List<Box> BOXES = new ArrayList<>();
  static int setUps;

  /** When a server wrote the release of a viewing that had come to its end, by the viewing. */
  static final Map<String, Long> RELEASED = new ConcurrentHashMap<>();

  private VastFleet() {}

  /** Starts the servers; returns their rows in the list of the start. */
  static List<String> start() throws IOException {
    Selector selector = Selector.open();
    List<String> rows = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      ServerSocketChannel listener = ServerSocketChannel.open();
      listener.bind(new InetSocketAddress("127.0.0.1", 0), 16);
      listener.configureBlocking(false);
      Box box = new Box();
      box.id = 0x00c40000 + i;
      box.cell = i % PLACES;
      box.port = listener.socket().getLocalPort();
      BOXES.add(box);
      listener.register(selector, SelectionKey.OP_ACCEPT, box);
      rows.add(row(box, "up", 0));
    }
    Kit.spawn(() -> {
      try {
        while (true) {
          selector.select();
          serve(selector);
        }
      } catch (IOException e) {
        Kit.log("the servers have ended: " + e);
      }
    });
    return rows;
  }

  private static synchronized void serve(Selector selector) throws IOException {
    Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
    while (keys.hasNext()) {
      SelectionKey key = keys.next();
      keys.remove();
      if (!key.isValid()) {
        continue;
      }
      if (key.attachment() instanceof Box box) {
        SocketChannel channel = ((ServerSocketChannel) key.channel()).accept();
        if (channel != null) {
          channel.configureBlocking(false);
          channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
          Link link = new Link();
          link.box = box;
          link.channel = channel;
          box.links.add(link);
          channel.register(selector, SelectionKey.OP_READ, link);
        }
      } else {
        read((Link) key.attachment(), key);
      }
    }
  }

  private static void read(Link link, SelectionKey key) throws IOException {
    ByteBuffer chunk = ByteBuffer.allocate(16384);
    int count;
    try {
      count = link.channel.read(chunk);
    } catch (IOException e) {
      count = -1;
    }
    if (count < 0) {
      key.cancel();
      link.channel.close();
      link.box.links.remove(link);
      return;
    }
    for (int i = 0; i < count; i++) {
      if (chunk.get(i) != '\n') {
        link.line.write(chunk.get(i));
      } else {
        received(link, link.line.toString(StandardCharsets.UTF_8));
        link.line.reset();
      }
    }
  }

  private static void received(Link link, String line) {
    int at = line.indexOf("\"tag\":\"") + 7;
    String tag = line.substring(at, at + 16);
    if (line.contains("\"verb\":\"START\"")) {
      setUps++;
      link.tags.add(tag);
      later(60, () -> {
        if (link.channel.isOpen() && link.tags.contains(tag)) {
          link.send("STARTED", tag, "", -1, "a-" + tag);
          later(24_000 + Math.floorMod(tag.hashCode() * 31, 19_000), () -> {
            if (link.channel.isOpen() && link.tags.remove(tag)) {
              link.send("FINISH", tag, "", 16, null);
              RELEASED.put(tag, Kit.millis());
            }
          });
        }
      });
    } else if (line.contains("\"verb\":\"FINISH\"")) {
      link.send(link.tags.remove(tag) ? "FINISH" : "FINISHED", tag, "", 31, null);
    } else if (line.contains("\"verb\":\"ECHO\"")) {
      link.send("ECHOED", tag, line.contains("\"rc\":1") ? "\"load\":\"outstanding:2;x0:0.30;x1:0.30\"" : "", 1, null);
    }
  }

  private static void later(long ms, Runnable task) {
    Kit.TIMERS.schedule(
        () -> {
          synchronized (VastFleet.class) {
            task.run();
          }
        },
        ms,
        TimeUnit.MILLISECONDS);
  }

  /** The settings of lennox-films: three packages, four rungs, four tune-ins at most. */
  static String settings() {
    String limits = Kit.LIMITS.replace("\"maxAttempts\":3", "\"maxAttempts\":4");
    String guarantees =
        "{\"answerSlackUs\":40000,\"askWithinUs\":10000000,\"coldUs\":12000000,\"drainGraceUs\":2000000,"
            + "\"fallMultiple\":3.0,\"freeResends\":5,\"furtherRatio\":0.2,\"ratioSpanUs\":10000000,"
            + "\"startCapacity\":0.4,\"tipAfterUs\":2000000}";
    String domain =
        Kit.domain(PLACES, RACKS, SERVERS)
            .replace("[false,false]", "[false,false,false]")
            .replace("\"floorByClass\":[0,0]", "\"floorByClass\":[0,0,1]")
            .replace("\"highestRung\":[4,4]", "\"highestRung\":[3,2,3]")
            .replace("[177.0,298.0,503.0,847.0,1428.0]", "[200.0,450.0,950.0,2000.0]")
            .replace("\"licenceCap\":[0,0]", "\"licenceCap\":[0,0,40]")
            .replace("[0.7,1.4]", "[0.7,1.0,1.4]")
            .replace("[0.26,0.47,0.65,0.83,1.0]", "[0.2,0.5,0.8,1.0]");
    StringBuilder classes = new StringBuilder();
    String[] names = {"brew-guide", "origin-film", "tasting-session"};
    for (int i = 0; i < 3; i++) {
      classes.append(i == 0 ? "[" : ",").append(
          "{\"aimUs\":" + (i == 0 ? 800000 : 1000000) + ",\"deadlineUs\":" + (i == 0 ? 5000000 : 3000000)
              + ",\"idempotency\":\"safe\",\"keyScope\":\"all\",\"lateWorth\":0.0,\"name\":\"" + names[i]
              + "\",\"stream\":true,\"windowUs\":5000000,\"worth\":" + (i == 2 ? 3.0 : 1.0) + "}");
    }
    return Kit.settings(100, limits, guarantees, domain, classes + "]");
  }

  static String row(Box box, String state, long bootMs) {
    return String.format(
        "{\"uid\":\"s-%08x\",\"endpoint\":\"127.0.0.1:%d\",\"az\":\"main-office\",\"model\":\"small\","
            + "\"pod_group\":%d,\"state\":\"%s\",\"capacity_hint\":2,\"boot_ms\":%d}",
        box.id, box.port, box.cell, state, bootMs);
  }

  static byte[] entry(Box box, int state, long bootMs) {
    return ByteBuffer.allocate(27).putInt(box.id).put(new byte[] {127, 0, 0, 1}).putShort((short) box.port)
        .put((byte) state).put((byte) 0).put((byte) 0).putShort((short) box.cell).putInt(2000).putLong(bootMs).array();
  }
}
