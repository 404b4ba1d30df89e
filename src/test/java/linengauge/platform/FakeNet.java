package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import linengauge.Moment;
import linengauge.Span;
import linengauge.session.Transport.Timer;
import linengauge.standin.PlatformJournal;
import linengauge.standin.PlatformViewers;

/**
 * A network in memory with virtual time: it records in order what a front writes and closes, and
 * the test determines what is received and when time passes.
 */
final class FakeNet implements Net, PlatformFront.Observer {
  /** Writes and closes, each with the peer's address; set-ups, ends and tests under these names. */
  final List<String> actions = new ArrayList<>();

  final List<FakeConnection> serverConnections = new ArrayList<>();
  final List<FakeConnection> clientConnections = new ArrayList<>();

  /** Number of tasks deferred so far. */
  long deferCount;

  /** Ids of all set-ups written. */
  final List<Long> setUpIds = new ArrayList<>();

  final List<String> logLines = new ArrayList<>();

  /** The events passed to the log. */
  final List<LogEvent> events = new ArrayList<>();

  /** Addresses that do not answer. */
  final List<String> unreachable = new ArrayList<>();

  /** Addresses that refuse connections. */
  final List<String> refusing = new ArrayList<>();

  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
  private final PriorityQueue<ScheduledCall> timers =
      new PriorityQueue<>(
          (first, second) ->
              first.dueAt.equals(second.dueAt)
                  ? Long.compare(first.number, second.number)
                  : first.dueAt.compareTo(second.dueAt));
  boolean serversAnswerTests = true;

  /** Whether servers read the connections opened from now on, and answer tests on them. */
  boolean newConnectionsAnswerTests = true;

  /** Whether peers read what is written; if not, writes never complete. */
  boolean peersRead = true;

  /** By how much the clock advances whenever it is read. */
  Span clockStep = new Span(1);

  private Moment now = new Moment(1_000_000_000L);
  private long nextTimerNumber;
  private AcceptHandler listener;
  PlatformFront front;

  /** When the process ended; null before. */
  Moment endedAt;

  /** Whether connections stay pending until {@link #completeConnects}. */
  boolean connectsHang;

  private final List<Runnable> pendingConnects = new ArrayList<>();
  private final Map<String, List<Moment>> connectTimes = new HashMap<>();

  private record ScheduledCall(Moment dueAt, long number, Runnable task) {}

  final class FakeConnection implements Connection {
    final String address;
    private final List<String> deferredActions = new ArrayList<>();
    final List<Integer> messageTypes = new ArrayList<>();
    private Consumer<byte[]> onData;
    private Runnable onClosed;
    private boolean delivering;

    /** Ids of the sessions released on this connection. */
    final List<Long> releasedIds = new ArrayList<>();

    /** Ids of the set-ups written on this connection. */
    final List<Long> setUpIds = new ArrayList<>();

    /** Ids of the ends written to a server on this connection. */
    final List<Long> endedIds = new ArrayList<>();

    /** Number of writes, each of one or several messages. */
    int writeCount;

    /** Length of the latest message written to a client, in bytes. */
    int lastMessageBytes;

    /** Whether the server reads this connection and answers tests on it. */
    boolean answersTests = newConnectionsAnswerTests;

    boolean paused;
    boolean closed;
    boolean full;

    private FakeConnection(String address) {
      this.address = address;
    }

    @Override
    public void setHandlers(Consumer<byte[]> dataHandler, Runnable closeHandler) {
      onData = dataHandler;
      onClosed = closeHandler;
    }

    @Override
    public void write(byte[] message) {
      String line = new String(message, StandardCharsets.UTF_8);
      writeCount++;
      if (address.equals("viewer")) {
        recordClientMessages(ByteBuffer.wrap(message));
      } else {
        messageTypes.add((int) message[2]);
      }
      if (line.contains("ECHO") && serversAnswerTests && answersTests) {
        String tag = line.replaceFirst("(?s).*\"tag\":\"([0-9a-f]{16})\".*", "$1");
        defer(
            () ->
                deliver(
                    "{\"verb\":\"ECHOED\",\"tag\":\""
                        + tag
                        + "\",\"opts\":{\"load\":\"x0:0.2;x1:0.2;outstanding:1\"},\"rc\":1}"));
      }
      if (line.contains("FINISH")) {
        endedIds.add(
            Long.parseLong(line.replaceFirst("(?s).*\"tag\":\"([0-9a-f]{16})\".*", "$1"), 16));
      }
      if (line.contains("START")) {
        long id = Long.parseLong(line.replaceFirst("(?s).*\"tag\":\"([0-9a-f]{16})\".*", "$1"), 16);
        setUpIds.add(id);
        FakeNet.this.setUpIds.add(id);
      }
      recordAction(
          (line.contains("START")
                  ? "set-up "
                  : line.contains("FINISH") ? "end " : line.contains("ECHO") ? "test " : "other ")
              + address);
    }

    /** A write to a client holds one or several whole messages. */
    private void recordClientMessages(ByteBuffer written) {
      while (written.hasRemaining()) {
        int start = written.position();
        int length = written.getShort();
        int type = written.get();
        messageTypes.add(type);
        lastMessageBytes = 2 + length;
        if (type == 12) {
          releasedIds.add(written.getLong());
        }
        written.position(start + 2 + length);
      }
    }

    /**
     * Like the network library, holds back what is written or closed during the delivery of data
     * until the delivery is over.
     */
    private void recordAction(String action) {
      (delivering ? deferredActions : actions).add(action);
    }

    void deliver(byte[] bytes) {
      delivering = true;
      onData.accept(bytes);
      delivering = false;
      actions.addAll(deferredActions);
      deferredActions.clear();
    }

    void deliver(String line) {
      deliver((line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** The peer closes the connection. */
    void closeByPeer() {
      closed = true;
      onClosed.run();
    }

    @Override
    public boolean isFull() {
      return full;
    }

    @Override
    public void pause() {
      paused = true;
    }

    @Override
    public void resume() {
      paused = false;
    }

    @Override
    public void close() {
      closed = true;
      recordAction("close " + address);
    }

    @Override
    public void abort() {
      close();
    }

    @Override
    public String peer() {
      return address;
    }
  }

  /** Starts a front whose configuration contains two servers at ports 3 and 4. */
  static FakeNet front() throws Exception {
    return front(text -> text);
  }

  /** Starts a front with an edited configuration. */
  static FakeNet front(UnaryOperator<String> edit) throws Exception {
    FakeNet net = new FakeNet();
    String text = edit.apply(TryOut.configuration(1, 2, 3, 4));
    net.front =
        new PlatformFront(Configuration.read(text.getBytes(StandardCharsets.UTF_8)), net, net);
    net.front.start(failed -> {});
    net.runDeferred();
    return net;
  }

  FakeConnection acceptClient() {
    FakeConnection connection = new FakeConnection("viewer");
    clientConnections.add(connection);
    listener.accepted(connection);
    return connection;
  }

  /** All pending connections come up in one turn of the loop. */
  void completeConnects() {
    connectsHang = false;
    List.copyOf(pendingConnects).forEach(Runnable::run);
    pendingConnects.clear();
  }

  /** Returns when connections to the address were attempted. */
  List<Moment> connectTimes(String address) {
    return connectTimes.getOrDefault(address, List.of());
  }

  /** Returns the latest connection to the server at the address. */
  FakeConnection latestConnection(String address) {
    return serverConnections.stream()
        .filter(connection -> connection.address.equals(address))
        .reduce((first, second) -> second)
        .orElseThrow();
  }

  long connectionCount(String address) {
    return serverConnections.stream()
        .filter(connection -> connection.address.equals(address))
        .count();
  }

  /** Sends the first set-up of session 7; returns the address of its server. */
  String sendFirstSetUp() {
    acceptClient().deliver(PlatformViewers.setUp(7, "lesson", 2000, ""));
    runDeferred();
    String firstSetUp =
        actions.stream().filter(action -> action.startsWith("set-up")).findFirst().orElseThrow();
    actions.clear();
    return firstSetUp.substring("set-up ".length());
  }

  /** The server at the address answers the set-up of the id. */
  void answerSetUp(String address, long id) {
    latestConnection(address)
        .deliver(
            "{\"verb\":\"STARTED\",\"tag\":\""
                + String.format("%016x", id)
                + "\",\"opts\":{},\"blob\":\"b\"}");
    runDeferred();
  }

  /** The journal service sends event 2 with the given server record. */
  void sendServerEvent(byte[] record) {
    sendServerEvent(2, record);
  }

  /** The journal service sends the event of that number with the given server record. */
  void sendServerEvent(long number, byte[] record) {
    latestConnection("127.0.0.1:2").deliver(PlatformJournal.changes(number, record));
    runDeferred();
  }

  /** The journal service removes the server at the address. */
  void removeServer(String address) {
    sendServerEvent(PlatformJournal.record(address.endsWith(":3") ? 1 : 2, 3, 2, 0, 0));
  }

  /** Asserts that exactly one further set-up was sent, after the given action. */
  void assertRetriedOnlyAfter(String earlierAction) {
    List<String> setUps = actions.stream().filter(action -> action.startsWith("set-up")).toList();
    assertEquals(1, setUps.size(), actions.toString());
    assertTrue(
        actions.contains(earlierAction)
            && actions.indexOf(earlierAction) < actions.indexOf(setUps.get(0)),
        actions.toString());
  }

  /** Runs the first deferred task only. */
  void runFirstDeferred() {
    deferred.poll().run();
  }

  /** Runs all deferred tasks. */
  void runDeferred() {
    while (!deferred.isEmpty()) {
      deferred.poll().run();
    }
  }

  /** Advances the clock while the front does not run. */
  void stall(Span span) {
    now = now.plus(span);
  }

  /** Runs the next timer and the tasks that it defers. */
  void runNextTimer() {
    runDeferred();
    ScheduledCall timer = timers.poll();
    now = now.max(timer.dueAt);
    timer.task.run();
    runDeferred();
  }

  /** Advances the clock and runs the timers that become due. */
  void advance(Span span) {
    runDeferred();
    Moment until = now.plus(span);
    while (!timers.isEmpty() && !until.isBefore(timers.peek().dueAt)) {
      ScheduledCall timer = timers.poll();
      now = now.max(timer.dueAt);
      timer.task.run();
      runDeferred();
    }
    now = now.max(until);
  }

  @Override
  public Moment now() {
    now = now.plus(clockStep);
    return now;
  }

  @Override
  public void connect(String address, Span timeLimit, int mostUnread, ConnectHandler then) {
    connectTimes.computeIfAbsent(address, key -> new ArrayList<>()).add(now);
    if (unreachable.contains(address)) {
      // Connections with a limit of their own are rare enough to be waited for.
      if (timeLimit.equals(Span.NONE)) {
        defer(() -> then.failed(false, "Timeout"));
      } else {
        schedule(timeLimit, () -> then.failed(false, "Timeout"));
      }
      return;
    }
    if (refusing.contains(address)) {
      defer(() -> then.failed(true, "refused"));
      return;
    }
    FakeConnection connection = new FakeConnection(address);
    serverConnections.add(connection);
    if (connectsHang) {
      pendingConnects.add(() -> then.connected(connection));
    } else {
      defer(() -> then.connected(connection));
    }
  }

  @Override
  public void listen(String address, int mostUnread, AcceptHandler accepting) {
    listener = accepting;
  }

  @Override
  public Timer schedule(Span span, Runnable task) {
    boolean[] cancelled = {false};
    timers.add(
        new ScheduledCall(
            now.plus(span),
            nextTimerNumber++,
            () -> {
              if (!cancelled[0]) {
                task.run();
              }
            }));
    return () -> cancelled[0] = true;
  }

  @Override
  public void scheduleEvery(Span span, Runnable task) {
    schedule(
        span,
        () -> {
          task.run();
          scheduleEvery(span, task);
        });
  }

  @Override
  public void defer(Runnable task) {
    deferCount++;
    deferred.add(task);
  }

  @Override
  public void whenFlushed(Span atMost, Runnable task) {
    schedule(peersRead ? Span.NONE : atMost, task);
  }

  @Override
  public void warn(String kind, Object about, String detail) {
    logLines.add(kind);
  }

  @Override
  public void info(String line) {
    logLines.add(line);
  }

  @Override
  public void event(LogEvent event) {
    events.add(event);
  }

  @Override
  public void stopped(String failed, RuntimeException cause) {
    if (!failed.isEmpty()) {
      throw new AssertionError(failed, cause);
    }
    endedAt = now;
  }
}
