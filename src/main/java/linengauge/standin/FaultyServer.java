package linengauge.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A server of the platform (docs/protocol/platform.md, "Boxes") behind a faulty network. Each
 * connection has a latency of its own, so messages written on two connections may be read in
 * another order than they were written; order within a connection is kept. The server records when
 * each attempt arrived and how it ended, by the operators' rules. One thread does everything except
 * reading sockets.
 */
public final class FaultyServer implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  // Causes of a FINISH. After REJECTED_FULL the attempt never ran; after ERROR it may have run.
  private static final int REJECTED_FULL = 34;
  private static final int ERROR = 47;
  private static final int RESET = 41;
  private static final int FINISHED_NORMALLY = 16;
  private static final int ACCEPT_QUEUE = 64;
  private static final int DUPLICATE_DELAY_MS = 8;
  private static final long NEVER = Long.MAX_VALUE;

  /**
   * The faults of attempts. Shares are of all attempts and drawn for each one; the rest are
   * answered.
   *
   * @param maxLatencyMs limit of a connection's latency, which is drawn as it is accepted
   * @param silentShare attempts that get no answer
   * @param unreadableShare attempts that get a line which is not JSON
   * @param rejectedShare attempts that end with cause 34 or 47
   * @param resetShare attempts whose connection is reset in place of an answer
   * @param confirmsEnds whether the server confirms that it has read an end
   * @param duplicateShare answers that are sent twice
   */
  public record Faults(
      int maxLatencyMs,
      double silentShare,
      double unreadableShare,
      double rejectedShare,
      double resetShare,
      int minAnswerMs,
      int maxAnswerMs,
      boolean confirmsEnds,
      double duplicateShare) {}

  /**
   * Why the server ended a session: OPEN if it did not, RELEASED if it sent an end, PROCESS_DIED if
   * it closed without one.
   */
  public enum EndCause {
    OPEN,
    RELEASED,
    PROCESS_DIED
  }

  /** One attempt as the server saw it; moments are in microseconds of the monotonic clock. */
  public static final class Attempt {
    public final String request;
    public final String server;
    public final int rung;
    public final long arrivedAt;

    /** When the server answered it, the front wrote its end, or its connection closed. */
    public long pendingUntil = NEVER;

    /** When the attempt, or the session that it set up, ended at the server. */
    public long endedAt = NEVER;

    /** The server has reported, by cause 34, that it never ran. */
    public boolean neverRan;

    public boolean established;
    public EndCause endedBy = EndCause.OPEN;
    private final Socket connection;

    private Attempt(String request, String server, int rung, Socket connection) {
      this.request = request;
      this.server = server;
      this.rung = rung;
      this.arrivedAt = nowMicros();
      this.connection = connection;
    }
  }

  private final String id;
  private final ServerSocket listener;
  private final SplittableRandom random;
  private final ScheduledExecutorService loop =
      Executors.newSingleThreadScheduledExecutor(
          r -> {
            Thread thread = new Thread(r, "faulty-server");
            thread.setDaemon(true);
            return thread;
          });
  private final List<Socket> sockets = new ArrayList<>();
  private final List<Socket> fillers = new ArrayList<>();
  private final Map<String, Attempt> open = new HashMap<>();
  private final List<Attempt> attempts = new ArrayList<>();
  private final List<String> overlappingAttempts = new ArrayList<>();

  /** The steps deferred until the process resumes; null while it runs. */
  private ArrayDeque<Runnable> deferredSteps;

  private boolean accepting = true;
  private volatile Faults faults;

  public FaultyServer(String id, long seed, int port, Faults faults) throws IOException {
    this.id = id;
    this.listener = new ServerSocket();
    this.listener.setReuseAddress(true);
    this.listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), ACCEPT_QUEUE);
    this.random = new SplittableRandom(seed);
    this.faults = faults;
    start(this::accept);
  }

  public static long nowMicros() {
    return System.nanoTime() / 1000;
  }

  public String id() {
    return id;
  }

  public int port() {
    return listener.getLocalPort();
  }

  public void setFaults(Faults newFaults) {
    faults = newFaults;
  }

  /** Returns every attempt so far. */
  public synchronized List<Attempt> attempts() {
    return List.copyOf(attempts);
  }

  /**
   * Returns a description of each attempt that was read while another one of the same request was
   * pending or established here.
   */
  public synchronized List<String> overlappingAttempts() {
    return List.copyOf(overlappingAttempts);
  }

  /** Returns the requests that have an attempt or a session open here. */
  public synchronized List<String> open() {
    return List.copyOf(open.keySet());
  }

  private static void start(Runnable job) {
    Thread thread = new Thread(job, "faulty-server-io");
    thread.setDaemon(true);
    thread.start();
  }

  /* ---- connections ---- */

  private void accept() {
    try {
      while (true) {
        awaitAccepting();
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        int latencyMs;
        synchronized (this) {
          sockets.add(socket);
          latencyMs = random.nextInt(faults.maxLatencyMs() + 1);
        }
        start(() -> read(socket, latencyMs));
      }
    } catch (IOException | InterruptedException e) {
      // The server has been closed.
    }
  }

  private synchronized void awaitAccepting() throws InterruptedException {
    while (!accepting) {
      wait();
    }
  }

  private void read(Socket socket, int latencyMs) {
    try (socket) {
      var in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        JsonNode message = JSON.readTree(line);
        Runnable step = onMessageArrived(socket, message);
        schedule(latencyMs, step);
      }
    } catch (IOException e) {
      // The peer has closed the connection.
    } finally {
      onCloseArrived(socket);
      schedule(latencyMs, () -> onClosed(socket));
    }
  }

  /** Records the arrival of a message and returns the step that runs once it is read. */
  private synchronized Runnable onMessageArrived(Socket socket, JsonNode message) {
    String tag = message.path("tag").asText();
    return switch (message.path("verb").asText()) {
      case "START" -> {
        int rung = message.path("opts").path("rung").asInt();
        Attempt attempt = new Attempt(tag, id, rung, socket);
        attempts.add(attempt);
        yield () -> onStart(attempt, message.path("blob").asText());
      }
      case "FINISH" -> {
        attempts.stream()
            .filter(a -> a.request.equals(tag))
            .forEach(FaultyServer::markNoLongerPending);
        yield () -> onFinish(socket, tag);
      }
      case "ECHO" -> () -> send(socket, probeReply(tag));
      default -> () -> {};
    };
  }

  private static void markNoLongerPending(Attempt attempt) {
    attempt.pendingUntil = Math.min(attempt.pendingUntil, nowMicros());
  }

  private synchronized void onCloseArrived(Socket socket) {
    attempts.stream()
        .filter(a -> a.connection == socket)
        .forEach(FaultyServer::markNoLongerPending);
  }

  private void schedule(int ms, Runnable step) {
    if (!loop.isShutdown()) {
      loop.schedule(() -> runOrDefer(step), ms, TimeUnit.MILLISECONDS);
    }
  }

  private synchronized void runOrDefer(Runnable step) {
    if (deferredSteps != null) {
      deferredSteps.add(step);
    } else {
      step.run();
    }
  }

  /* ---- faults of the whole server ---- */

  /** Stops reading and writing until resumed; connections stay open and new ones are accepted. */
  public synchronized void hang() {
    deferredSteps = deferredSteps == null ? new ArrayDeque<>() : deferredSteps;
  }

  /** Hangs and accepts no new connection, because the accept queue is full. */
  public void becomeUnreachable() throws IOException {
    synchronized (this) {
      accepting = false;
    }
    hang();
    for (int i = 0; i < ACCEPT_QUEUE + 2; i++) {
      Socket filler = new Socket();
      fillers.add(filler);
      try {
        filler.connect(listener.getLocalSocketAddress(), 20);
      } catch (IOException e) {
        return; // The accept queue is full.
      }
    }
  }

  /** Resumes and runs the deferred steps. */
  public synchronized void resume() throws IOException {
    for (Socket filler : fillers) {
      filler.close();
    }
    fillers.clear();
    accepting = true;
    notifyAll();
    ArrayDeque<Runnable> deferred = deferredSteps == null ? new ArrayDeque<>() : deferredSteps;
    deferredSteps = null;
    deferred.forEach(Runnable::run);
  }

  /** Resets every connection. */
  public synchronized void resetAll() {
    List.copyOf(sockets).forEach(this::reset);
  }

  /* ---- attempts ---- */

  private void onStart(Attempt attempt, String description) {
    if (open.put(attempt.request, attempt) != null) {
      overlappingAttempts.add(
          "request " + attempt.request + " set up at " + id + " while one was open");
    }
    Faults currentFaults = faults;
    double drawn = random.nextDouble();
    int answerMs =
        currentFaults.minAnswerMs()
            + random.nextInt(currentFaults.maxAnswerMs() - currentFaults.minAnswerMs() + 1);
    int cause = random.nextBoolean() ? REJECTED_FULL : ERROR;
    double unreadable = currentFaults.silentShare() + currentFaults.unreadableShare();
    double rejected = unreadable + currentFaults.rejectedShare();
    if (drawn < currentFaults.silentShare()) {
      return;
    }
    if (drawn < unreadable) {
      schedule(answerMs, () -> write(attempt.connection, "\u0001{{{ unreadable\n"));
    } else if (drawn < rejected) {
      schedule(answerMs, () -> reject(attempt, cause));
    } else if (drawn < rejected + currentFaults.resetShare()) {
      schedule(answerMs, () -> reset(attempt.connection));
    } else {
      schedule(answerMs, () -> answer(attempt, description));
    }
  }

  private void onFinish(Socket socket, String tag) {
    markEnded(open.remove(tag));
    if (faults.confirmsEnds()) {
      send(socket, reply("FINISHED", tag, -1));
    }
  }

  private static void markEnded(Attempt attempt) {
    if (attempt != null) {
      attempt.endedAt = nowMicros();
    }
  }

  private void reject(Attempt attempt, int cause) {
    if (open.remove(attempt.request, attempt)) {
      markEnded(attempt);
      markNoLongerPending(attempt);
      attempt.neverRan = cause == REJECTED_FULL;
      send(attempt.connection, reply("FINISH", attempt.request, cause));
    }
  }

  private void answer(Attempt attempt, String description) {
    if (open.get(attempt.request) != attempt) {
      return;
    }
    attempt.established = true;
    markNoLongerPending(attempt);
    ObjectNode answer =
        reply("STARTED", attempt.request, -1).put("blob", description + "at " + id + "\r\n");
    send(attempt.connection, answer);
    if (random.nextDouble() < faults.duplicateShare()) {
      schedule(DUPLICATE_DELAY_MS, () -> send(attempt.connection, answer));
    }
  }

  private void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // The peer has closed the connection.
    }
  }

  /** Cancels the pending attempts of a closed connection; established sessions stay. */
  private void onClosed(Socket socket) {
    sockets.remove(socket);
    open.values()
        .removeIf(
            attempt -> {
              boolean ends = attempt.connection == socket && !attempt.established;
              if (ends) {
                markEnded(attempt);
              }
              return ends;
            });
  }

  /**
   * Ends some of the established sessions with the cause of a normal end or of a cut session. If a
   * session's connection is closed, its end goes out on another one that is open.
   */
  public synchronized void endSome(double share) {
    if (deferredSteps != null) {
      return;
    }
    for (Attempt attempt : List.copyOf(open.values())) {
      Socket connection =
          attempt.connection.isClosed() && !sockets.isEmpty() ? sockets.get(0) : attempt.connection;
      if (attempt.established && !connection.isClosed() && random.nextDouble() < share) {
        open.remove(attempt.request);
        markEnded(attempt);
        attempt.endedBy = EndCause.RELEASED;
        send(
            connection,
            reply("FINISH", attempt.request, random.nextBoolean() ? FINISHED_NORMALLY : RESET));
      }
    }
  }

  private static ObjectNode reply(String verb, String tag, int cause) {
    ObjectNode reply = JSON.createObjectNode().put("verb", verb).put("tag", tag);
    reply.putObject("opts");
    return cause < 0 ? reply : reply.put("rc", cause);
  }

  /** Cause 1: the probe has passed. The report gives the load of link (x0) and uplink (x1). */
  private static ObjectNode probeReply(String tag) {
    ObjectNode reply = reply("ECHOED", tag, 1);
    reply.withObject("/opts").put("load", "x0:0.2;x1:0.2;outstanding:1");
    return reply;
  }

  private void send(Socket socket, JsonNode line) {
    write(socket, line + "\n");
  }

  /** Writes a line; one line in ten is sent in two pieces. */
  private void write(Socket socket, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    int first = random.nextInt(10) == 0 ? random.nextInt(bytes.length) : bytes.length;
    try {
      socket.getOutputStream().write(bytes, 0, first);
      if (first < bytes.length) {
        TimeUnit.MILLISECONDS.sleep(2);
        socket.getOutputStream().write(bytes, first, bytes.length - first);
      }
    } catch (IOException e) {
      // The peer has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Simulates the death of the process: connections are reset, sessions end, and new connections
   * are refused.
   */
  @Override
  public synchronized void close() throws IOException {
    listener.close();
    for (Socket filler : fillers) {
      filler.close();
    }
    resetAll();
    open.values().forEach(FaultyServer::markEnded);
    open.values().stream()
        .filter(a -> a.established)
        .forEach(a -> a.endedBy = EndCause.PROCESS_DIED);
    open.clear();
    attempts.forEach(FaultyServer::markNoLongerPending);
    accepting = true;
    notifyAll();
    loop.shutdownNow();
  }
}
