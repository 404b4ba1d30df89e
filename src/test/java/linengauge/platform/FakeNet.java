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
import linengauge.session.Carrier.Wake;
import linengauge.standin.PlatformJournal;
import linengauge.standin.PlatformViewers;

/**
 * A net on paper: what a front writes and closes is noted in order, and a test says what comes and
 * when time passes.
 */
final class FakeNet implements Net, PlatformFront.Told {
  /** What was written or closed, each with where to; ends and set-ups by these names. */
  final List<String> actions = new ArrayList<>();

  final List<FakeConnection> serverConnections = new ArrayList<>();
  final List<FakeConnection> clientConnections = new ArrayList<>();

  /** Ids of the set-ups written. */
  final List<Long> setUpIds = new ArrayList<>();

  final List<String> logLines = new ArrayList<>();

  /** What was told to the log. */
  final List<LogEvent> events = new ArrayList<>();

  /** Addresses that nothing comes up from. */
  final List<String> unreachable = new ArrayList<>();

  /** Addresses that refuse. */
  final List<String> refusing = new ArrayList<>();

  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) ->
              a.dueAt.equals(b.dueAt)
                  ? Long.compare(a.number, b.number)
                  : a.dueAt.compareTo(b.dueAt));
  boolean serversAnswerTests = true;

  /** What is written leaves at once; else it is never read. */
  boolean peersRead = true;

  /** What a look at the time costs. */
  Span clockStep = new Span(1);

  private Moment now = new Moment(1_000_000_000L);
  private long nextTimerNumber;
  private Listener listener;
  PlatformFront front;

  /** When the process ended; null before. */
  Moment endedAt;

  /** Connections tried are not there before {@link #completeConnects}. */
  boolean connectsHang;

  private final List<Runnable> pendingConnects = new ArrayList<>();
  private final Map<String, List<Moment>> connectTimes = new HashMap<>();

  private record Timer(Moment dueAt, long number, Runnable task) {}

  final class FakeConnection implements Connection {
    final String address;
    private final List<String> deferredActions = new ArrayList<>();
    final List<Integer> messageTypes = new ArrayList<>();
    private Consumer<byte[]> onData;
    private Runnable onClosed;
    private boolean delivering;

    /** Ids of what was released on it. */
    final List<Long> releasedIds = new ArrayList<>();

    /** Ids of the set-ups written on it. */
    final List<Long> setUpIds = new ArrayList<>();

    /** Ids of what a server was told to be over on it. */
    final List<Long> endedIds = new ArrayList<>();

    /** Bytes of what was written last. */
    int lastMessageBytes;

    boolean paused;
    boolean closed;
    boolean full;

    private FakeConnection(String address) {
      this.address = address;
    }

    @Override
    public void hears(Consumer<byte[]> action, Runnable c) {
      onData = action;
      onClosed = c;
    }

    @Override
    public void write(byte[] message) {
      String line = new String(message, StandardCharsets.UTF_8);
      messageTypes.add((int) message[2]);
      lastMessageBytes = message.length;
      if (address.equals("viewer") && message[2] == 12) {
        releasedIds.add(ByteBuffer.wrap(message).getLong(3));
      }
      if (line.contains("ECHO") && serversAnswerTests) {
        String tag = line.replaceFirst("(?s).*\"tag\":\"([0-9a-f]{16})\".*", "$1");
        later(
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

    /**
     * As the library does it: what is written or closed while it is being read leaves as the
     * reading ends.
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

    /** Its other side closes it. */
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
    public String peer() {
      return address;
    }
  }

  /** A front with two boxes at ports 3 and 4 that knows these by its configuration. */
  static FakeNet front() throws Exception {
    return front(text -> text);
  }

  /** The same, with another configuration. */
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
    listener.arrived(connection);
    return connection;
  }

  /** What was dialled comes up, in one turn of the loop. */
  void completeConnects() {
    connectsHang = false;
    List.copyOf(pendingConnects).forEach(Runnable::run);
    pendingConnects.clear();
  }

  /** When connections to that address were tried. */
  List<Moment> connectTimes(String address) {
    return connectTimes.getOrDefault(address, List.of());
  }

  /** The latest connection to the box of that port. */
  FakeConnection latestConnection(String address) {
    return serverConnections.stream()
        .filter(connection -> connection.address.equals(address))
        .reduce((a, b) -> b)
        .orElseThrow();
  }

  long connectionCount(String address) {
    return serverConnections.stream()
        .filter(connection -> connection.address.equals(address))
        .count();
  }

  /** Viewing 7 with its first set-up out; returns the address of its box. */
  String sendFirstSetUp() {
    acceptClient().deliver(PlatformViewers.setUp(7, "lesson", 2000, ""));
    runDeferred();
    String first =
        actions.stream().filter(action -> action.startsWith("set-up")).findFirst().orElseThrow();
    actions.clear();
    return first.substring("set-up ".length());
  }

  void answerSetUp(String address, long id) {
    latestConnection(address)
        .deliver(
            "{\"verb\":\"STARTED\",\"tag\":\""
                + String.format("%016x", id)
                + "\",\"opts\":{},\"blob\":\"b\"}");
    runDeferred();
  }

  void sendServerEvent(byte[] record) {
    latestConnection("127.0.0.1:2")
        .deliver(
            ByteBuffer.allocate(13 + record.length)
                .putInt(9 + record.length)
                .putLong(2)
                .put((byte) 2)
                .put(record)
                .array());
    runDeferred();
  }

  void removeServer(String address) {
    sendServerEvent(PlatformJournal.record(address.endsWith(":3") ? 1 : 2, 3, 2, 0, 0));
  }

  /** One further set-up was made, and only after that. */
  void assertRetriedOnlyAfter(String earlierAction) {
    List<String> setUps = actions.stream().filter(action -> action.startsWith("set-up")).toList();
    assertEquals(1, setUps.size(), actions.toString());
    assertTrue(
        actions.contains(earlierAction)
            && actions.indexOf(earlierAction) < actions.indexOf(setUps.get(0)),
        actions.toString());
  }

  /** What was put off first runs, and nothing else. */
  void runFirstDeferred() {
    deferred.poll().run();
  }

  /** What was put off runs. */
  void runDeferred() {
    while (!deferred.isEmpty()) {
      deferred.poll().run();
    }
  }

  /** Time goes by without the front's running. */
  void stall(Span span) {
    now = now.plus(span);
  }

  /** The next timer that is due runs, with what it puts off. */
  void runNextTimer() {
    runDeferred();
    Timer timer = timers.poll();
    now = now.orLater(timer.dueAt);
    timer.task.run();
    runDeferred();
  }

  /** Time goes by, and what is due runs. */
  void advance(Span span) {
    runDeferred();
    Moment until = now.plus(span);
    while (!timers.isEmpty() && !until.before(timers.peek().dueAt)) {
      Timer timer = timers.poll();
      now = now.orLater(timer.dueAt);
      timer.task.run();
      runDeferred();
    }
    now = now.orLater(until);
  }

  @Override
  public Moment now() {
    now = now.plus(clockStep);
    return now;
  }

  @Override
  public void connect(String address, int mostUnread, Tried then) {
    connectTimes.computeIfAbsent(address, a -> new ArrayList<>()).add(now);
    if (unreachable.contains(address)) {
      later(() -> then.failed(false, "Timeout"));
      return;
    }
    if (refusing.contains(address)) {
      later(() -> then.failed(true, "refused"));
      return;
    }
    FakeConnection connection = new FakeConnection(address);
    serverConnections.add(connection);
    if (connectsHang) {
      pendingConnects.add(() -> then.up(connection));
    } else {
      later(() -> then.up(connection));
    }
  }

  @Override
  public void listen(String address, int mostUnread, Listener accepting) {
    listener = accepting;
  }

  @Override
  public Wake after(Span span, Runnable task) {
    boolean[] cancelled = {false};
    timers.add(
        new Timer(
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
  public void every(Span span, Runnable task) {
    after(
        span,
        () -> {
          task.run();
          every(span, task);
        });
  }

  @Override
  public void later(Runnable task) {
    deferred.add(task);
  }

  @Override
  public void written(Span atMost, Runnable task) {
    after(peersRead ? Span.NONE : atMost, task);
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
  public void over(String failed, RuntimeException cause) {
    if (!failed.isEmpty()) {
      throw new AssertionError(failed, cause);
    }
    endedAt = now;
  }
}
