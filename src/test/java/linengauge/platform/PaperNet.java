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
final class PaperNet implements Net, PlatformFront.Observer {
  /** What was written or closed, each with where to; ends and set-ups by these names. */
  final List<String> done = new ArrayList<>();

  final List<Line> lines = new ArrayList<>();
  final List<Line> viewersLines = new ArrayList<>();

  /** Ids of the set-ups written. */
  final List<Long> setUps = new ArrayList<>();

  final List<String> said = new ArrayList<>();

  /** What was told to the log. */
  final List<LogEvent> events = new ArrayList<>();

  /** Addresses that nothing comes up from. */
  final List<String> unreachable = new ArrayList<>();

  /** Addresses that refuse. */
  final List<String> refusing = new ArrayList<>();

  private final ArrayDeque<Runnable> later = new ArrayDeque<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) -> a.at.equals(b.at) ? Long.compare(a.number, b.number) : a.at.compareTo(b.at));
  boolean boxesAnswerTests = true;

  /** What is written leaves at once; else it is never read. */
  boolean writesLeave = true;

  /** What a look at the time costs. */
  Span step = new Span(1);

  private Moment now = new Moment(1_000_000_000L);
  private long number;
  private AcceptHandler listener;
  PlatformFront front;

  /** When the process ended; null before. */
  Moment endedAt;

  /** Connections tried are not there before {@link #dialsComeUp}. */
  boolean dialsHang;

  private final List<Runnable> dialled = new ArrayList<>();
  private final Map<String, List<Moment>> tried = new HashMap<>();

  private record Timer(Moment at, long number, Runnable deed) {}

  final class Line implements Connection {
    final String to;
    private final List<String> held = new ArrayList<>();
    final List<Integer> types = new ArrayList<>();
    private Consumer<byte[]> data;
    private Runnable closed;
    private boolean reading;

    /** Ids of what was released on it. */
    final List<Long> released = new ArrayList<>();

    /** Ids of the set-ups written on it. */
    final List<Long> setUps = new ArrayList<>();

    /** Ids of what a server was told to be over on it. */
    final List<Long> ended = new ArrayList<>();

    /** Bytes of what was written last. */
    int lastLength;

    boolean paused;
    boolean over;
    boolean full;

    private Line(String to) {
      this.to = to;
    }

    @Override
    public void setHandlers(Consumer<byte[]> d, Runnable c) {
      data = d;
      closed = c;
    }

    @Override
    public void write(byte[] message) {
      String line = new String(message, StandardCharsets.UTF_8);
      types.add((int) message[2]);
      lastLength = message.length;
      if (to.equals("viewer") && message[2] == 12) {
        released.add(ByteBuffer.wrap(message).getLong(3));
      }
      if (line.contains("ECHO") && boxesAnswerTests) {
        String tag = line.replaceFirst("(?s).*\"tag\":\"([0-9a-f]{16})\".*", "$1");
        defer(
            () ->
                comes(
                    "{\"verb\":\"ECHOED\",\"tag\":\""
                        + tag
                        + "\",\"opts\":{\"load\":\"x0:0.2;x1:0.2;outstanding:1\"},\"rc\":1}"));
      }
      if (line.contains("FINISH")) {
        ended.add(
            Long.parseLong(line.replaceFirst("(?s).*\"tag\":\"([0-9a-f]{16})\".*", "$1"), 16));
      }
      if (line.contains("START")) {
        long id = Long.parseLong(line.replaceFirst("(?s).*\"tag\":\"([0-9a-f]{16})\".*", "$1"), 16);
        setUps.add(id);
        PaperNet.this.setUps.add(id);
      }
      leave(
          (line.contains("START")
                  ? "set-up "
                  : line.contains("FINISH") ? "end " : line.contains("ECHO") ? "test " : "other ")
              + to);
    }

    /**
     * As the library does it: what is written or closed while it is being read leaves as the
     * reading ends.
     */
    private void leave(String what) {
      (reading ? held : done).add(what);
    }

    void comes(byte[] bytes) {
      reading = true;
      data.accept(bytes);
      reading = false;
      done.addAll(held);
      held.clear();
    }

    void comes(String line) {
      comes((line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** Its other side closes it. */
    void breaks() {
      over = true;
      closed.run();
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
      over = true;
      leave("close " + to);
    }

    @Override
    public String peer() {
      return to;
    }
  }

  /** A front with two boxes at ports 3 and 4 that knows these by its configuration. */
  static PaperNet front() throws Exception {
    return front(text -> text);
  }

  /** The same, with another configuration. */
  static PaperNet front(UnaryOperator<String> edited) throws Exception {
    PaperNet net = new PaperNet();
    String text = edited.apply(TryOut.configuration(1, 2, 3, 4));
    net.front =
        new PlatformFront(Configuration.read(text.getBytes(StandardCharsets.UTF_8)), net, net);
    net.front.start(failed -> {});
    net.settle();
    return net;
  }

  Line viewers() {
    Line line = new Line("viewer");
    viewersLines.add(line);
    listener.accepted(line);
    return line;
  }

  /** What was dialled comes up, in one turn of the loop. */
  void dialsComeUp() {
    dialsHang = false;
    List.copyOf(dialled).forEach(Runnable::run);
    dialled.clear();
  }

  /** When connections to that address were tried. */
  List<Moment> tries(String address) {
    return tried.getOrDefault(address, List.of());
  }

  /** The latest connection to the box of that port. */
  Line box(String at) {
    return lines.stream().filter(l -> l.to.equals(at)).reduce((a, b) -> b).orElseThrow();
  }

  long opened(String at) {
    return lines.stream().filter(l -> l.to.equals(at)).count();
  }

  /** Viewing 7 with its first set-up out; returns the address of its box. */
  String setUpOut() {
    viewers().comes(PlatformViewers.setUp(7, "lesson", 2000, ""));
    settle();
    String first = done.stream().filter(d -> d.startsWith("set-up")).findFirst().orElseThrow();
    done.clear();
    return first.substring("set-up ".length());
  }

  void answers(String at, long id) {
    box(at)
        .comes(
            "{\"verb\":\"STARTED\",\"tag\":\""
                + String.format("%016x", id)
                + "\",\"opts\":{},\"blob\":\"b\"}");
    settle();
  }

  void listSays(byte[] record) {
    box("127.0.0.1:2")
        .comes(
            ByteBuffer.allocate(13 + record.length)
                .putInt(9 + record.length)
                .putLong(2)
                .put((byte) 2)
                .put(record)
                .array());
    settle();
  }

  void gone(String at) {
    listSays(PlatformJournal.record(at.endsWith(":3") ? 1 : 2, 3, 2, 0, 0));
  }

  /** One further set-up was made, and only after that. */
  void onlyAfter(String end) {
    List<String> setUps = done.stream().filter(d -> d.startsWith("set-up")).toList();
    assertEquals(1, setUps.size(), done.toString());
    assertTrue(
        done.contains(end) && done.indexOf(end) < done.indexOf(setUps.get(0)), done.toString());
  }

  /** What was put off first runs, and nothing else. */
  void settleOne() {
    later.poll().run();
  }

  /** What was put off runs. */
  void settle() {
    while (!later.isEmpty()) {
      later.poll().run();
    }
  }

  /** Time goes by without the front's running. */
  void standsStill(Span span) {
    now = now.plus(span);
  }

  /** The next timer that is due runs, with what it puts off. */
  void passOne() {
    settle();
    Timer t = timers.poll();
    now = now.orLater(t.at);
    t.deed.run();
    settle();
  }

  /** Time goes by, and what is due runs. */
  void pass(Span span) {
    settle();
    Moment until = now.plus(span);
    while (!timers.isEmpty() && !until.before(timers.peek().at)) {
      Timer t = timers.poll();
      now = now.orLater(t.at);
      t.deed.run();
      settle();
    }
    now = now.orLater(until);
  }

  @Override
  public Moment now() {
    now = now.plus(step);
    return now;
  }

  @Override
  public void connect(String address, int mostUnread, ConnectHandler then) {
    tried.computeIfAbsent(address, a -> new ArrayList<>()).add(now);
    if (unreachable.contains(address)) {
      defer(() -> then.failed(false, "Timeout"));
      return;
    }
    if (refusing.contains(address)) {
      defer(() -> then.failed(true, "refused"));
      return;
    }
    Line line = new Line(address);
    lines.add(line);
    if (dialsHang) {
      dialled.add(() -> then.connected(line));
    } else {
      defer(() -> then.connected(line));
    }
  }

  @Override
  public void listen(String address, int mostUnread, AcceptHandler l) {
    listener = l;
  }

  @Override
  public Wake schedule(Span span, Runnable deed) {
    boolean[] off = {false};
    timers.add(
        new Timer(
            now.plus(span),
            number++,
            () -> {
              if (!off[0]) {
                deed.run();
              }
            }));
    return () -> off[0] = true;
  }

  @Override
  public void scheduleEvery(Span span, Runnable deed) {
    schedule(
        span,
        () -> {
          deed.run();
          scheduleEvery(span, deed);
        });
  }

  @Override
  public void defer(Runnable deed) {
    later.add(deed);
  }

  @Override
  public void whenFlushed(Span atMost, Runnable deed) {
    schedule(writesLeave ? Span.NONE : atMost, deed);
  }

  @Override
  public void warn(String kind, Object about, String detail) {
    said.add(kind);
  }

  @Override
  public void info(String line) {
    said.add(line);
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
