package linengauge.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A media box as the platform speaks with it (docs/protocol/platform.md, "Boxes"), on loopback; for
 * tests and try-outs.
 */
public final class PlatformBox implements AutoCloseable {
  /** What becomes of set-ups. */
  public enum Behavior {
    NORMAL,
    ERROR,
    FULL,
    SILENT,
    GARBAGE,
    TRUNCATED,
    ENDLESS,
    RESET,
    DUPLICATE,
    NO_DESCRIPTION,
    LATE
  }

  private static final ObjectMapper JSON = new ObjectMapper();

  private final ServerSocket listener;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  /** Viewings that play here, with the connection that they were set up on. */
  private final Map<String, Socket> playing = new ConcurrentHashMap<>();

  private final List<JsonNode> received = new CopyOnWriteArrayList<>();
  private final java.util.concurrent.atomic.AtomicLong accepted =
      new java.util.concurrent.atomic.AtomicLong();
  public volatile Behavior behavior = Behavior.NORMAL;

  public PlatformBox() throws IOException {
    listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  public int port() {
    return listener.getLocalPort();
  }

  /** Every line heard, in order of its coming. */
  public List<JsonNode> received() {
    return received;
  }

  /** How many connections have come so far. */
  public long connections() {
    return accepted.get();
  }

  public long receivedCount(String verb) {
    return received.stream().filter(n -> n.path("verb").asText().equals(verb)).count();
  }

  public Map<String, Socket> playing() {
    return playing;
  }

  /** Ends a viewing that plays. */
  public void end(String tag, int cause) throws IOException {
    Socket by = playing.remove(tag);
    say(by, line("FINISH", tag, cause, null));
  }

  /** A note on a viewing that plays. */
  public void sendNote(String tag, String kind, double value) throws IOException {
    ObjectNode n = line("NOTICE", tag, -1, null);
    n.putObject("opts").put("note", kind).put("value", value);
    say(playing.get(tag), n);
  }

  /** Writes anything on all connections. */
  public void sendToAll(byte[] bytes) throws IOException {
    for (Socket s : sockets) {
      s.getOutputStream().write(bytes);
    }
  }

  private static void start(Runnable job) {
    Thread t = new Thread(job, "platform-box");
    t.setDaemon(true);
    t.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket s = listener.accept();
        s.setTcpNoDelay(true);
        sockets.add(s);
        accepted.incrementAndGet();
        start(() -> serve(s));
      }
    } catch (IOException e) {
      // closed
    }
  }

  private void serve(Socket s) {
    try (s) {
      var in =
          new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        JsonNode n = JSON.readTree(line);
        received.add(n);
        String tag = n.path("tag").asText();
        switch (n.path("verb").asText()) {
          case "START" -> setUp(s, n, tag);
          case "FINISH" -> playing.remove(tag);
          case "ECHO" -> {
            ObjectNode answer = line("ECHOED", tag, 1, null);
            if (n.path("rc").asInt() == 1) { // a report comes to a test of cause 1 alone
              answer
                  .putObject("opts")
                  .put("load", "outstanding:" + playing.size() + ";x0:0.2;x1:0.3");
            }
            say(s, answer);
          }
          default -> {}
        }
      }
    } catch (IOException e) {
      // its other side has gone
    } finally {
      sockets.remove(s);
    }
  }

  private void setUp(Socket s, JsonNode asked, String tag) throws IOException {
    ObjectNode stands =
        line("STARTED", tag, -1, "made for " + tag + "\r\n" + asked.path("blob").asText());
    switch (behavior) {
      case NORMAL -> {
        playing.put(tag, s);
        say(s, stands);
      }
      case ERROR -> say(s, line("FINISH", tag, 47, null));
      case FULL -> say(s, line("FINISH", tag, 34, null));
      case GARBAGE ->
          s.getOutputStream().write("\u0001{{{ no such thing\n".getBytes(StandardCharsets.UTF_8));
      case TRUNCATED ->
          s.getOutputStream()
              .write(stands.toString().substring(0, 40).getBytes(StandardCharsets.UTF_8));
      case ENDLESS -> {
        byte[] much =
            "{\"verb\":\"STARTED\",\"x\":\""
                .concat("y".repeat(8000))
                .getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < 1000; i++) {
          s.getOutputStream().write(much);
        }
      }
      case RESET -> {
        s.setSoLinger(true, 0);
        s.close();
      }
      case DUPLICATE -> {
        playing.put(tag, s);
        say(s, line("STARTED", "00000000000000aa", -1, "of nobody"));
        say(s, stands);
        say(s, stands);
      }
      case NO_DESCRIPTION -> say(s, line("STARTED", tag, -1, null));
      default -> {
        // no answer
      }
    }
  }

  private static ObjectNode line(String verb, String tag, int cause, String blob) {
    ObjectNode n = JSON.createObjectNode().put("verb", verb).put("tag", tag);
    n.putObject("opts");
    if (cause >= 0) {
      n.put("rc", cause);
    }
    return blob == null ? n : n.put("blob", blob);
  }

  private static synchronized void say(Socket s, JsonNode line) throws IOException {
    s.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Its process dies: nothing listens any more, and connections are reset. */
  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket s : sockets) {
      try {
        s.setSoLinger(true, 0);
      } catch (SocketException e) {
        // its other side has closed it meanwhile
      }
      s.close();
    }
  }
}
