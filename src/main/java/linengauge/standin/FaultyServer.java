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
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A server of the platform (docs/protocol/platform.md, "Boxes") behind a faulty network: each
 * connection has a latency of its own, so that what is written on two of them may be read in
 * another order than it was written; order within a connection is kept. It notes what becomes of
 * each attempt as it reads it, by the rules of the operators' page. One thread does everything but
 * reading sockets.
 */
public final class FaultyServer implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int REFUSED_FULL = 34;
  private static final int ERROR = 47;
  private static final int CUT = 41;
  private static final int OVER = 16;

  /** What becomes of attempts and connections; shares are of all attempts, drawn one by one. */
  public record Faults(
      int mostLatencyMs,
      double silentShare,
      double unreadableShare,
      double refusedShare,
      double resetShare,
      int leastAnswerMs,
      int mostAnswerMs,
      boolean confirmsEnds) {}

  /** One attempt as the server saw it. */
  public static final class Attempt {
    public final String request;
    public final long readAt;
    public long overAt = Long.MAX_VALUE;
    private final Socket by;
    private boolean stands;

    private Attempt(String request, long readAt, Socket by) {
      this.request = request;
      this.readAt = readAt;
      this.by = by;
    }
  }

  private final ServerSocket listener;
  private final SplittableRandom chance;
  private final ScheduledExecutorService loop =
      Executors.newSingleThreadScheduledExecutor(
          r -> {
            Thread thread = new Thread(r, "faulty-server");
            thread.setDaemon(true);
            return thread;
          });
  private final List<Socket> sockets = new ArrayList<>();
  private final Map<String, Attempt> open = new HashMap<>();
  private final List<Attempt> attempts = new ArrayList<>();
  private final List<String> faultsSeen = new ArrayList<>();
  private volatile Faults faults;

  public FaultyServer(long seed, Faults faults) throws IOException {
    this.listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    this.chance = new SplittableRandom(seed);
    this.faults = faults;
    start(this::accept);
  }

  public int port() {
    return listener.getLocalPort();
  }

  public void faults(Faults anew) {
    faults = anew;
  }

  /** Every attempt so far, and what broke the rule of one attempt at a time. */
  public synchronized List<Attempt> attempts() {
    return List.copyOf(attempts);
  }

  /** Attempts that were read while another one of the same request was out or stood here. */
  public synchronized List<String> overtaken() {
    return List.copyOf(faultsSeen);
  }

  /** Sessions and attempts that are open here. */
  public synchronized int open() {
    return open.size();
  }

  private static void start(Runnable job) {
    Thread thread = new Thread(job, "faulty-server-io");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        synchronized (this) {
          sockets.add(socket);
        }
        int latencyMs = drawLatency();
        start(() -> read(socket, latencyMs));
      }
    } catch (IOException e) {
      // closed
    }
  }

  private synchronized int drawLatency() {
    return chance.nextInt(faults.mostLatencyMs() + 1);
  }

  private void read(Socket socket, int latencyMs) {
    try (socket) {
      var in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        String read = line;
        after(latencyMs, () -> heard(socket, read));
      }
    } catch (IOException e) {
      // its other side has gone
    } finally {
      after(latencyMs, () -> closed(socket));
    }
  }

  private void after(int ms, Runnable step) {
    if (!loop.isShutdown()) {
      loop.schedule(step, ms, TimeUnit.MILLISECONDS);
    }
  }

  private synchronized void heard(Socket socket, String line) {
    try {
      JsonNode message = JSON.readTree(line);
      String tag = message.path("tag").asText();
      switch (message.path("verb").asText()) {
        case "START" -> started(socket, tag, message.path("blob").asText());
        case "FINISH" -> finished(socket, tag);
        case "ECHO" -> say(socket, reply("ECHOED", tag, 1));
        default -> {}
      }
    } catch (IOException e) {
      faultsSeen.add("unreadable line: " + line);
    }
  }

  private void started(Socket socket, String tag, String description) {
    long now = System.nanoTime() / 1000;
    Attempt before = open.get(tag);
    if (before != null) {
      faultsSeen.add(
          "request " + tag + " set up again " + (now - before.readAt) + " us after the last");
    }
    Attempt attempt = new Attempt(tag, now, socket);
    attempts.add(attempt);
    open.put(tag, attempt);
    double drawn = chance.nextDouble();
    Faults f = faults;
    int answerMs = f.leastAnswerMs() + chance.nextInt(f.mostAnswerMs() - f.leastAnswerMs() + 1);
    if (drawn < f.silentShare()) {
      return;
    }
    drawn -= f.silentShare();
    if (drawn < f.unreadableShare()) {
      after(answerMs, () -> spoil(socket));
      return;
    }
    drawn -= f.unreadableShare();
    if (drawn < f.refusedShare()) {
      after(answerMs, () -> refuse(attempt, drawnCause(attempt)));
      return;
    }
    drawn -= f.refusedShare();
    if (drawn < f.resetShare()) {
      after(answerMs, () -> reset(socket));
      return;
    }
    after(answerMs, () -> answer(attempt, description));
  }

  private static int drawnCause(Attempt attempt) {
    return attempt.readAt % 2 == 0 ? REFUSED_FULL : ERROR;
  }

  private synchronized void finished(Socket socket, String tag) {
    over(open.remove(tag));
    if (faults.confirmsEnds()) {
      say(socket, reply("FINISHED", tag, -1));
    }
  }

  private static void over(Attempt attempt) {
    if (attempt != null) {
      attempt.overAt = System.nanoTime() / 1000;
    }
  }

  private synchronized void spoil(Socket socket) {
    try {
      socket.getOutputStream().write("\u0001{{{ unreadable\n".getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      // its other side has gone
    }
  }

  private synchronized void refuse(Attempt attempt, int cause) {
    if (open.remove(attempt.request, attempt)) {
      over(attempt);
      say(attempt.by, reply("FINISH", attempt.request, cause));
    }
  }

  private synchronized void answer(Attempt attempt, String description) {
    if (open.get(attempt.request) == attempt) {
      attempt.stands = true;
      say(attempt.by, reply("STARTED", attempt.request, -1).put("blob", "for " + description));
    }
  }

  private synchronized void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // its other side has gone
    }
  }

  /** Attempts open on a connection that closes are given up; what stands stays. */
  private synchronized void closed(Socket socket) {
    sockets.remove(socket);
    open.values()
        .removeIf(
            attempt -> {
              boolean ends = attempt.by == socket && !attempt.stands;
              if (ends) {
                over(attempt);
              }
              return ends;
            });
  }

  /** Ends every session that stands, as at their ordinary end. */
  public synchronized void endAll() {
    for (Attempt attempt : List.copyOf(open.values())) {
      if (attempt.stands) {
        open.remove(attempt.request);
        over(attempt);
        say(attempt.by, reply("FINISH", attempt.request, chance.nextBoolean() ? OVER : CUT));
      }
    }
  }

  private static ObjectNode reply(String verb, String tag, int cause) {
    ObjectNode reply = JSON.createObjectNode().put("verb", verb).put("tag", tag);
    reply.putObject("opts");
    return cause < 0 ? reply : reply.put("rc", cause);
  }

  private static void say(Socket socket, JsonNode line) {
    try {
      socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      // its other side has gone
    }
  }

  @Override
  public synchronized void close() throws IOException {
    listener.close();
    for (Socket socket : List.copyOf(sockets)) {
      reset(socket);
    }
    loop.shutdownNow();
  }
}
