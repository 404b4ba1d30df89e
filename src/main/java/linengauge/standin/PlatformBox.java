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
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A media box that speaks the platform's protocol (docs/protocol/platform.md, "Boxes") on loopback;
 * for tests and trial runs.
 */
public final class PlatformBox implements AutoCloseable {
  /**
   * How the box reacts to set-ups. ERROR and FULL end them with cause 47 and 34; DUPLICATE sends an
   * answer for an unknown tag, then its answer twice; SILENT and LATE send none.
   */
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

  /** The viewings that play here, with the connection on which each was set up. */
  private final Map<String, Socket> playing = new ConcurrentHashMap<>();

  /** Connections that stay open and carry nothing any more, in either direction. */
  private final Set<Socket> silent = ConcurrentHashMap.newKeySet();

  /** Ends written to silent connections, to be repeated on the next one that is opened. */
  private final Queue<JsonNode> unheardEnds = new ConcurrentLinkedQueue<>();

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

  /** Returns every message received, in order of arrival. */
  public List<JsonNode> received() {
    return received;
  }

  /** Returns the number of connections accepted so far. */
  public long connections() {
    return accepted.get();
  }

  public long receivedCount(String verb) {
    return received.stream().filter(message -> message.path("verb").asText().equals(verb)).count();
  }

  public Map<String, Socket> playing() {
    return playing;
  }

  /** Ends a viewing that plays. */
  public void end(String tag, int cause) throws IOException {
    Socket connection = playing.remove(tag);
    JsonNode end = message("FINISH", tag, cause, null);
    if (silent.contains(connection)) {
      unheardEnds.add(end);
    } else {
      send(connection, end);
    }
  }

  /** The connection on which the viewing was set up carries nothing any more, and stays open. */
  public void silenceConnectionOf(String tag) {
    silent.add(playing.get(tag));
  }

  /** Sends a note about a viewing that plays. */
  public void sendNote(String tag, String kind, double value) throws IOException {
    ObjectNode message = message("NOTICE", tag, -1, null);
    message.putObject("opts").put("note", kind).put("value", value);
    send(playing.get(tag), message);
  }

  /** Writes the given bytes on all connections. */
  public void sendToAll(byte[] bytes) throws IOException {
    for (Socket socket : sockets) {
      socket.getOutputStream().write(bytes);
    }
  }

  private static void start(Runnable job) {
    Thread thread = new Thread(job, "platform-box");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        accepted.incrementAndGet();
        for (JsonNode end = unheardEnds.poll(); end != null; end = unheardEnds.poll()) {
          send(socket, end);
        }
        start(() -> serve(socket));
      }
    } catch (IOException e) {
      // The box has been closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      var in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (silent.contains(socket)) {
          continue;
        }
        JsonNode message = JSON.readTree(line);
        received.add(message);
        String tag = message.path("tag").asText();
        switch (message.path("verb").asText()) {
          case "START" -> setUp(socket, message, tag);
          case "FINISH" -> playing.remove(tag);
          case "ECHO" -> {
            ObjectNode answer = message("ECHOED", tag, 1, null);
            if (message.path("rc").asInt() == 1) { // Only a probe of cause 1 gets a report.
              answer
                  .putObject("opts")
                  .put("load", "outstanding:" + playing.size() + ";x0:0.2;x1:0.3");
            }
            send(socket, answer);
          }
          default -> {}
        }
      }
    } catch (IOException e) {
      // The peer has closed the connection.
    } finally {
      sockets.remove(socket);
    }
  }

  private void setUp(Socket socket, JsonNode request, String tag) throws IOException {
    ObjectNode answer =
        message("STARTED", tag, -1, "made for " + tag + "\r\n" + request.path("blob").asText());
    switch (behavior) {
      case NORMAL -> {
        playing.put(tag, socket);
        send(socket, answer);
      }
      case ERROR -> send(socket, message("FINISH", tag, 47, null));
      case FULL -> send(socket, message("FINISH", tag, 34, null));
      case GARBAGE ->
          socket
              .getOutputStream()
              .write("\u0001{{{ no such thing\n".getBytes(StandardCharsets.UTF_8));
      case TRUNCATED ->
          socket
              .getOutputStream()
              .write(answer.toString().substring(0, 40).getBytes(StandardCharsets.UTF_8));
      case ENDLESS -> {
        byte[] chunk =
            "{\"verb\":\"STARTED\",\"x\":\""
                .concat("y".repeat(8000))
                .getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < 1000; i++) {
          socket.getOutputStream().write(chunk);
        }
      }
      case RESET -> {
        socket.setSoLinger(true, 0);
        socket.close();
      }
      case DUPLICATE -> {
        playing.put(tag, socket);
        send(socket, message("STARTED", "00000000000000aa", -1, "of nobody"));
        send(socket, answer);
        send(socket, answer);
      }
      case NO_DESCRIPTION -> send(socket, message("STARTED", tag, -1, null));
      default -> {
        // Sends no answer.
      }
    }
  }

  private static ObjectNode message(String verb, String tag, int cause, String blob) {
    ObjectNode message = JSON.createObjectNode().put("verb", verb).put("tag", tag);
    message.putObject("opts");
    if (cause >= 0) {
      message.put("rc", cause);
    }
    return blob == null ? message : message.put("blob", blob);
  }

  private static synchronized void send(Socket socket, JsonNode message) throws IOException {
    socket.getOutputStream().write((message + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Simulates the death of the process: the port is closed and connections are reset. */
  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      try {
        socket.setSoLinger(true, 0);
      } catch (SocketException e) {
        // The connection has been closed in the meantime.
      }
      socket.close();
    }
  }
}
