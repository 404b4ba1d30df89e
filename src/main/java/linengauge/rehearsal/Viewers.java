package linengauge.rehearsal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.Net;
import linengauge.standin.PlatformViewers;

/**
 * The viewers of a fleet in virtual time (docs/protocol/platform.md, "Viewers"): their requests,
 * the answers to them, and their retries.
 */
final class Viewers {
  private static final int SET_UP_MESSAGE = 1;
  private static final int ANSWER_MESSAGE = 9;
  private static final int END_MESSAGE = 12;
  private static final int TEST_MESSAGE = 52;
  private static final int TEST_PASSED_MESSAGE = 53;

  /** For this span after the time limit an answer earns nothing but is still valid. */
  private static final Span LATE_ANSWER_WINDOW = Span.ofMillis(500);

  /**
   * A set-up whose connection closes within this span of its sending is sent again, once: the front
   * may never have read it.
   */
  private static final Span RESEND_WINDOW = Span.ofMillis(50);

  private static final Span IDLE_CLOSE_DELAY = Span.ofSeconds(4);
  private static final int USUAL_CONNECTIONS_PER_FRONT = 3;
  private static final int MAX_TRIES = 3;

  /** One connection from viewers to a front. */
  private final class FrontConnection {
    private final int front;
    private SimulatedConnection.Endpoint endpoint;
    private byte[] partialMessage = new byte[0];
    private final List<byte[]> unsent = new ArrayList<>();
    private final List<Viewer> waiting = new ArrayList<>();
    private Moment lastUsedAt = clock.now();
    private boolean closed;

    private FrontConnection(int front) {
      this.front = front;
    }

    private void open() {
      simulation
          .network()
          .connect(
              "v" + front,
              process,
              simulation.frontAddress(front),
              Span.NONE,
              new Net.ConnectHandler() {
                @Override
                public void connected(Net.Connection connection) {
                  endpoint = (SimulatedConnection.Endpoint) connection;
                  endpoint.setHandlers(
                      FrontConnection.this::receive, FrontConnection.this::connectionClosed);
                  unsent.forEach(endpoint::write);
                  unsent.clear();
                }

                @Override
                public void failed(boolean refused, String why) {
                  closed = true;
                  connections.get(front).remove(FrontConnection.this);
                  for (Viewer viewer : List.copyOf(waiting)) {
                    viewer.connectionFailed();
                  }
                }
              });
    }

    private void write(byte[] message) {
      lastUsedAt = clock.now();
      if (endpoint == null) {
        unsent.add(message);
      } else {
        endpoint.write(message);
      }
    }

    private void connectionClosed() {
      closed = true;
      connections.get(front).remove(this);
      for (Viewer viewer : List.copyOf(waiting)) {
        viewer.connectionBroke();
      }
      waiting.clear();
    }

    private void receive(byte[] data) {
      byte[] bytes = java.util.Arrays.copyOf(partialMessage, partialMessage.length + data.length);
      System.arraycopy(data, 0, bytes, partialMessage.length, data.length);
      int offset = 0;
      while (bytes.length - offset >= 2
          && bytes.length - offset - 2 >= (ByteBuffer.wrap(bytes).getShort(offset) & 0xffff)) {
        int length = ByteBuffer.wrap(bytes).getShort(offset) & 0xffff;
        handle(ByteBuffer.wrap(bytes, offset + 2, length));
        offset += 2 + length;
      }
      partialMessage = java.util.Arrays.copyOfRange(bytes, offset, bytes.length);
    }

    private void handle(ByteBuffer message) {
      int type = message.get() & 0xff;
      String tag = String.format("%016x", message.getLong());
      int cause = -1;
      long retryAfterMs = 0;
      while (message.hasRemaining()) {
        int code = message.get() & 0xff;
        byte[] value = new byte[message.getShort() & 0xffff];
        message.get(value);
        // Code 61 is the cause, 45 the time in ms to wait before a retry.
        cause = code == 61 ? value[0] & 0xff : cause;
        retryAfterMs =
            code == 45
                ? Long.parseLong(new String(value, StandardCharsets.US_ASCII))
                : retryAfterMs;
      }
      Viewer viewer = viewersByTag.get(tag);
      if (type == TEST_PASSED_MESSAGE) {
        simulation.putInService(front);
      } else if (viewer != null && type == ANSWER_MESSAGE) {
        viewer.handleAnswer("plays", 0);
      } else if (viewer != null && type == END_MESSAGE) {
        viewer.handleEnd(cause, retryAfterMs);
      }
    }
  }

  /** One viewer and the viewing it wants, from its first request on. */
  final class Viewer {
    private final String packageName;
    private final String title;
    private final int homeCell;
    private final int copyCount;
    private final double worth;
    private final double rateFactor;
    private final Moment wantedUntil;
    private String tag;
    private int front;
    private int tries;
    private int tuneIns;
    private FrontConnection connection;
    private boolean answered;
    private boolean playing;
    private Moment requestedAt;
    private byte[] sentSetUp;
    private boolean resent;
    private boolean done;
    private BoxModel currentBox;

    private Viewer(int front, int titleNumber, boolean highWorth, Span length) {
      this.front = front;
      this.title = String.format("%016x", 0x7f00L + titleNumber);
      this.homeCell = titleNumber * 7 % simulation.cellCount();
      this.copyCount = 3 + titleNumber % 4;
      this.packageName =
          highWorth ? simulation.names().highWorthClass() : simulation.names().lowWorthClass();
      this.worth = highWorth ? 3 : 1;
      this.rateFactor = highWorth ? 1.4 : 0.7;
      this.wantedUntil = clock.now().plus(length);
    }

    String tag() {
      return tag;
    }

    String title() {
      return title;
    }

    String packageName() {
      return packageName;
    }

    double worth() {
      return worth;
    }

    double rateFactor() {
      return rateFactor;
    }

    int front() {
      return front;
    }

    /** The rest of the viewing's length. */
    Span remaining() {
      return wantedUntil.since(clock.now()).max(Span.ofMillis(1));
    }

    /** The viewing's id in the traffic record: the front, its count of starts, and the tag. */
    String viewingId() {
      return front + "-" + simulation.incarnation(front) + "-" + tag;
    }

    int nextTuneIn(int servingFront) {
      front = servingFront;
      return tuneIns++;
    }

    void setCurrentBox(BoxModel box) {
      currentBox = box;
    }

    private String viewingFields(String extraFields) {
      return "home:" + homeCell + ";copies:" + copyCount + ";top:4;viewer:" + tag + extraFields;
    }

    private void request() {
      if (done || !clock.now().isBefore(wantedUntil)) {
        done = true;
        return;
      }
      tries++;
      if (tag != null) {
        viewersByTag.remove(tag);
      }
      tag = String.format("%016x", ++lastTagNumber);
      viewersByTag.put(tag, this);
      tuneIns = 0;
      answered = false;
      playing = false;
      currentBox = null;
      front = simulation.drawReachableFront(front, random);
      connection = connectionTo(front);
      connection.waiting.add(this);
      recordRequest();
      requestedAt = clock.now();
      resent = false;
      sentSetUp = setUpMessage();
      connection.write(sentSetUp);
      String requestTag = tag;
      clock.scheduleAfter(
          FleetSimulation.SET_UP_TIME_LIMIT.plus(LATE_ANSWER_WINDOW), () -> giveUp(requestTag));
    }

    private void recordRequest() {
      recorder.record(
          "asked",
          "ask",
          tag,
          "front",
          front,
          "key",
          tag,
          "title",
          title,
          "package",
          packageName,
          "ceiling",
          4,
          "patienceMs",
          FleetSimulation.SET_UP_TIME_LIMIT.micros() / 1000);
      recorder.count("asked", 1);
    }

    /**
     * Codes: 33 package, 35 time limit in ms, 41 title, 43 figures, 63 description of the stream.
     */
    private byte[] setUpMessage() {
      return PlatformViewers.message(
          SET_UP_MESSAGE,
          Long.parseUnsignedLong(tag, 16),
          33,
          packageName,
          35,
          FleetSimulation.SET_UP_TIME_LIMIT.micros() / 1000,
          41,
          title,
          43,
          viewingFields(tries > 1 ? ";again:1" : ""),
          63,
          "m=audio of " + tag);
    }

    /** Ends the request of that tag, whose time limit has passed, and retries. */
    private void giveUp(String requestTag) {
      if (!answered && requestTag.equals(tag) && !done) {
        recordFailure("gave-up");
        connection.write(
            PlatformViewers.message(
                END_MESSAGE, Long.parseUnsignedLong(requestTag, 16), 61, new byte[] {16}));
        retryAfter(Span.ofMillis(200));
      }
    }

    private void recordFailure(String event) {
      answered = true;
      connection.waiting.remove(this);
      recorder.record(event, "ask", tag, "front", front);
      recorder.count(event, 1);
    }

    private void handleAnswer(String outcome, long retryAfterMs) {
      if (answered && !playing) {
        return; // The viewer has cancelled the request.
      }
      recorder.record(
          "answered", "ask", tag, "front", front, "how", outcome, "viewing", viewingId());
      if (answered) {
        return; // The judge finds a second answer in the record.
      }
      answered = true;
      connection.waiting.remove(this);
      recorder.count(outcome, 1);
      if (outcome.equals("plays")) {
        playing = true;
        if (currentBox == null) {
          expectEndMessage(); // The box has ended the viewing meanwhile.
        }
      } else {
        retryAfter(
            outcome.equals("blocked")
                ? Span.ofMillis(Math.max(50, retryAfterMs))
                : Span.ofMillis(200));
      }
    }

    /**
     * Handles an END from the front, which ends the viewing or the request. Causes 34, 42 and 102
     * reject the request, 16 is the normal end, and all others are failures.
     */
    private void handleEnd(int cause, long retryAfterMs) {
      if (!answered) {
        handleAnswer(
            cause == 34 || cause == 42 || cause == 102 ? "blocked" : "aborted", retryAfterMs);
      } else if (playing) {
        playing = false;
        if (cause != 16) {
          retryAfter(Span.ofMillis(500));
        } else {
          forget();
        }
      }
    }

    private void retryAfter(Span delay) {
      if (tries < MAX_TRIES) {
        clock.scheduleAfter(delay, this::request);
      }
    }

    /**
     * Handles the end of the connection on which the viewer waits: the front has died or has closed
     * it. A set-up that was sent just before a close is sent again.
     */
    private void connectionBroke() {
      if (!answered
          && !resent
          && clock.now().since(requestedAt).isShorterThan(RESEND_WINDOW)
          && simulation.isInService(front)) {
        resent = true;
        connection = new FrontConnection(front);
        connections.get(front).add(connection);
        connection.waiting.add(this);
        connection.open();
        connection.write(sentSetUp);
      } else if (!answered) {
        recordFailure("broke");
        retryAfter(Span.ofMillis(300));
      }
    }

    private void connectionFailed() {
      if (!answered) {
        answered = true;
        connection.waiting.remove(this);
        recorder.record("not-reached", "ask", tag, "front", front);
        retryAfter(Span.ofMillis(300));
      }
    }

    /** The viewing has played to its end at a box; its front has to notify the viewer. */
    void viewingCompleted(BoxModel endingBox) {
      if (currentBox != endingBox) {
        return; // A former attempt at that box, which the front has ended.
      }
      currentBox = null;
      done = true;
      expectEndMessage();
    }

    /** The viewing was cut at a box. */
    void viewingCut(BoxModel endingBox) {
      if (currentBox == endingBox) {
        currentBox = null;
        if (playing) {
          expectEndMessage();
        }
      }
    }

    private void expectEndMessage() {
      recorder.record("viewing-over", "viewing", viewingId());
      String requestTag = tag;
      int incarnationThen = simulation.incarnation(front);
      clock.scheduleAfter(
          Span.ofSeconds(8.5),
          () -> {
            if (playing
                && requestTag.equals(tag)
                && simulation.incarnation(front) == incarnationThen) {
              recorder.count("left standing", 1);
              recorder.record("left-standing", "viewing", viewingId());
              forget();
            }
          });
    }

    private void forget() {
      playing = false;
      done = true;
      viewersByTag.remove(tag);
    }

    /** Hands the viewing over to a restarted front with a set-up that names its box. */
    private void handOver(FrontConnection newConnection) {
      newConnection.write(
          PlatformViewers.message(
              SET_UP_MESSAGE,
              Long.parseUnsignedLong(tag, 16),
              33,
              packageName,
              35,
              0,
              41,
              title,
              43,
              viewingFields(String.format(";at:s-%08x", currentBox.id()))));
      recorder.count("handed over", 1);
    }
  }

  private final FleetSimulation simulation;
  private final VirtualClock clock;
  private final TrafficRecorder recorder;
  private final SplittableRandom random;
  private final SimulatedProcess process;
  private final List<List<FrontConnection>> connections = new ArrayList<>();

  /** Viewers with a request or a viewing, by their latest tag; removed with the viewing's end. */
  private final Map<String, Viewer> viewersByTag = new LinkedHashMap<>();

  private final List<Viewer> wantingViewers = new ArrayList<>();
  private long lastTagNumber = 0x1000;

  Viewers(FleetSimulation simulation, int fronts) {
    this.simulation = simulation;
    this.clock = simulation.clock();
    this.recorder = simulation.recorder();
    this.random = simulation.random().split();
    this.process = SimulatedProcess.instantaneous(clock);
    for (int i = 0; i < fronts; i++) {
      connections.add(new ArrayList<>());
    }
  }

  Viewer find(String tag) {
    return viewersByTag.get(tag);
  }

  /** Whether the tag was ever assigned to a request. */
  boolean wasIssued(String tag) {
    return Long.parseUnsignedLong(tag, 16) <= lastTagNumber;
  }

  String viewingId(String tag) {
    Viewer viewer = viewersByTag.get(tag);
    return viewer == null ? "gone-" + tag : viewer.viewingId();
  }

  int lastTuneIn(String tag) {
    Viewer viewer = viewersByTag.get(tag);
    return viewer == null ? 0 : Math.max(0, viewer.tuneIns - 1);
  }

  private Viewer drawViewer(int front) {
    double draw = random.nextDouble();
    // Low numbers are requested more often.
    int title = (int) (FleetSimulation.TITLE_COUNT * draw * draw);
    Span length = Span.ofSeconds(-12 * Math.log(1 - random.nextDouble()) + 1);
    Viewer viewer = new Viewer(front, title, random.nextDouble() < 0.3, length);
    wantingViewers.add(viewer);
    return viewer;
  }

  /** A new viewer sends its request to this front. */
  void arrive(int front) {
    drawViewer(front).request();
  }

  /** Adds a viewing of this front that is playing at some holder before the start. */
  void addExistingViewing(int front, int rung) {
    Viewer viewer = drawViewer(front);
    viewer.tag = String.format("%016x", ++lastTagNumber);
    viewer.answered = true;
    viewer.playing = true;
    viewer.tries = 1;
    viewersByTag.put(viewer.tag, viewer);
    simulation
        .drawHolder(viewer.homeCell, viewer.copyCount, random)
        .addExistingViewing(viewer, rung);
  }

  private FrontConnection connectionTo(int front) {
    List<FrontConnection> frontConnections = connections.get(front);
    for (FrontConnection connection : List.copyOf(frontConnections)) {
      if (connection.waiting.isEmpty()
          && IDLE_CLOSE_DELAY.isShorterThan(clock.now().since(connection.lastUsedAt))
          && connection.endpoint != null
          && viewersByTag.values().stream()
              .noneMatch(viewer -> viewer.connection == connection && viewer.playing)) {
        frontConnections.remove(connection);
        connection.closed = true;
        connection.endpoint.close();
      }
    }
    if (frontConnections.size() < USUAL_CONNECTIONS_PER_FRONT || random.nextDouble() < 0.1) {
      FrontConnection newConnection = new FrontConnection(front);
      frontConnections.add(newConnection);
      newConnection.open();
      return newConnection;
    }
    return frontConnections.get(random.nextInt(frontConnections.size()));
  }

  /** Sends the platform's readiness test to a front that has started. */
  void testFront(int front) {
    FrontConnection connection = new FrontConnection(front);
    connections.get(front).add(connection);
    connection.open();
    connection.write(PlatformViewers.message(TEST_MESSAGE, 1, 61, new byte[] {0}));
  }

  /** Hands the viewings of this front over to its new process. */
  void handOverViewings(int front) {
    FrontConnection newConnection = connectionTo(front);
    for (Viewer viewer : List.copyOf(viewersByTag.values())) {
      if (viewer.front == front && viewer.playing && viewer.currentBox != null) {
        viewer.connection = newConnection;
        viewer.handOver(newConnection);
      } else if (viewer.front == front && viewer.playing) {
        viewer.forget();
      }
    }
  }

  /** Fails the waiting requests of a front that has died; their viewers retry. */
  void frontDied(int front) {
    for (FrontConnection connection : List.copyOf(connections.get(front))) {
      connection.closed = true;
      connection.waiting.forEach(viewer -> clock.scheduleAt(clock.now(), viewer::connectionBroke));
    }
  }

  /** Counts the demand over the span, weighted by worth. */
  void countWanted(Span span) {
    wantingViewers.removeIf(viewer -> !clock.now().isBefore(viewer.wantedUntil));
    wantingViewers.forEach(viewer -> recorder.count("wanted", span.seconds() * viewer.worth));
  }
}
