package linengauge.front;

import static linengauge.front.FrontFixture.viewingPath;
import static linengauge.front.FrontFixture.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.net.impl.ConnectionBase;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import linengauge.drill.Ports;
import org.junit.jupiter.api.Test;

/** Slow peers on sockets, with scripted boxes and raw client connections. */
class SlowSocketsTest {
  /**
   * Short spans, so that a slow peer is found within seconds. {@code lateMs} is long, so that a
   * tick delayed by a busy machine does not count as a process pause: no peer is disconnected in
   * the tick after one.
   */
  private static final String FAST_SETTINGS =
      "stop: { playingMs: 100 }, flow: { beatMs: 50, lateMs: 5000, windowMs: 1600, "
          + "evidenceMs: 800, graceMs: 400 }, ";

  private static FrontFixture start(String extraSettings) throws Exception {
    return new FrontFixture(1, FAST_SETTINGS + extraSettings).start();
  }

  private static String segmentPath(FrontFixture fixture) {
    return viewingPath(fixture.get(fixture.viewerPort, viewingPath(fixture.requestViewing(""))));
  }

  private static byte[] httpGet(String path) {
    return ("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Opens a connection that requests the path and reads nothing. */
  private static Socket openStalledReader(FrontFixture fixture, String path) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(8192);
    socket.connect(new InetSocketAddress(Ports.HOST, fixture.viewerPort));
    socket.getOutputStream().write(httpGet(path));
    return socket;
  }

  private static void writeEndlessly(HttpServerResponse response) {
    response.setChunked(true);
    writeUntilFull(response);
  }

  private static void writeUntilFull(HttpServerResponse response) {
    while (!response.writeQueueFull() && !response.closed()) {
      response.write(Buffer.buffer(new byte[16_384]));
    }
    response.drainHandler(v -> writeUntilFull(response));
  }

  private static String read(Socket socket, int bytes) throws IOException {
    socket.setSoTimeout(15_000);
    InputStream in = socket.getInputStream();
    return new String(in.readNBytes(bytes), StandardCharsets.ISO_8859_1);
  }

  @Test
  void aStalledReaderIsClosedAndOthersOnTheSameBoxAndLoopAreServed() throws Exception {
    try (FrontFixture fixture = start("viewers: { loops: 1 }, desk: { idleMs: 60000 }")) {
      FrontFixture.ScriptedBox box = fixture.boxes.get(0);
      String slow = segmentPath(fixture);
      String healthy = segmentPath(fixture);
      box.segmentHandler =
          request -> {
            if (request.path().contains(slow.substring(3, slow.indexOf('/', 3)))) {
              writeEndlessly(request.response());
            } else {
              request.response().end("segment");
            }
          };
      try (Socket socket = openStalledReader(fixture, slow)) {
        assertTrue(socket.isConnected());
        while (fixture.state().getInteger("letGo") == 0) {
          assertEquals("segment", fixture.get(fixture.viewerPort, healthy).body());
          assertTrue(fixture.state().getJsonObject("flow").getLong("waitingBytes") < 300_000);
        }
      }
      assertEquals("ended: LET_GO\n", fixture.get(fixture.viewerPort, slow).body());
      waitUntil(() -> box.countEvents("DELETE") == 1);
      assertEquals("segment", fixture.get(fixture.viewerPort, healthy).body());
      assertEquals(1, fixture.state().getInteger("held"));
    }
  }

  @Test
  void stalledReadersOfABoxLeaveCapacityForOthers() throws Exception {
    try (FrontFixture fixture =
        start(
            "viewers: { loops: 1, atOnce: 2 }, boxes: { mediaConnections: 40 }, desk: { idleMs: 60000 }")) {
      FrontFixture.ScriptedBox box = fixture.boxes.get(0);
      String healthy = segmentPath(fixture);
      List<Socket> stalledReaders = new ArrayList<>();
      try {
        box.segmentHandler = request -> writeEndlessly(request.response());
        for (int i = 0; i < 12; i++) {
          String slow = segmentPath(fixture);
          stalledReaders.add(openStalledReader(fixture, slow));
          stalledReaders.add(openStalledReader(fixture, slow));
        }
        waitUntil(() -> box.countEvents("GET /viewings/") >= 37);
        box.segmentHandler = request -> request.response().end("segment");
        for (int i = 0; i < 20; i++) {
          assertEquals("segment", fixture.get(fixture.viewerPort, healthy).body());
        }
        waitUntil(() -> fixture.state().getInteger("letGo") == 12);
      } finally {
        for (Socket socket : stalledReaders) {
          socket.close();
        }
      }
      assertEquals("segment", fixture.get(fixture.viewerPort, healthy).body());
    }
  }

  @Test
  void aBoxThatSendsTooSlowlyIsReportedAsLost() throws Exception {
    try (FrontFixture fixture = start("desk: { idleMs: 60000 }")) {
      FrontFixture.ScriptedBox box = fixture.boxes.get(0);
      String segment = segmentPath(fixture);
      box.segmentHandler =
          request -> {
            request.response().putHeader("Content-Length", "100000");
            long timer = fixture.vertx.setPeriodic(50, t -> request.response().write("x"));
            request.response().closeHandler(v -> fixture.vertx.cancelTimer(timer));
          };
      try (Socket socket = new Socket(Ports.HOST, fixture.viewerPort)) {
        socket.getOutputStream().write(httpGet(segment));
        assertTrue(
            read(socket, 100_000).length() < 1000,
            "the response breaks off and is not passed off as complete");
      }
      // The session manager is notified on another event loop than the one that ended the transfer.
      waitUntil(() -> box.countEvents("DELETE") == 1);
      assertEquals("ended: BOX_LOST\n", fixture.get(fixture.viewerPort, segment).body());
      assertEquals(1, fixture.state().getJsonObject("flow").getInteger("boxesLetGo"));
      fixture.waitUntilIdle();
    }
  }

  @Test
  void surplusBytesOfABoxReachNoOtherViewer() throws Exception {
    try (FrontFixture fixture = start("viewers: { loops: 1 }, desk: { idleMs: 60000 }")) {
      FrontFixture.ScriptedBox box = fixture.boxes.get(0);
      String segment = segmentPath(fixture);
      box.segmentHandler =
          request ->
              ((ConnectionBase) request.connection())
                  .channel()
                  .pipeline()
                  .firstContext()
                  .writeAndFlush(
                      Unpooled.copiedBuffer(
                          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nrightHTTP/1.1 200 OK\r\n"
                              + "Content-Length: 5\r\n\r\nwrong",
                          StandardCharsets.ISO_8859_1));
      assertEquals("right", fixture.get(fixture.viewerPort, segment).body());
      box.segmentHandler = request -> request.response().end("segment");
      for (int i = 0; i < 3; i++) {
        HttpResponse<String> next = fixture.get(fixture.viewerPort, segment);
        assertTrue(
            next.statusCode() == 502 || next.body().equals("segment"),
            "no bytes of another response: " + next.body());
      }
      assertEquals("segment", fixture.get(fixture.viewerPort, segment).body());
    }
  }

  @Test
  void aBoxThatNeverEndsItsResponseTimesOut() throws Exception {
    try (FrontFixture fixture = start("boxes: { mediaSilenceMs: 300 }, desk: { idleMs: 60000 }")) {
      String segment = segmentPath(fixture);
      fixture.boxes.get(0).segmentHandler =
          request -> request.response().setChunked(true).write("all there is");
      try (Socket socket = new Socket(Ports.HOST, fixture.viewerPort)) {
        socket.getOutputStream().write(httpGet(segment));
        String response = read(socket, 10_000);
        assertTrue(
            response.contains("all there is") && !response.endsWith("0\r\n\r\n"),
            "no last chunk where the box sent none");
      }
    }
  }

  @Test
  void silentSlowAndIdleConnectionsAreClosedAndCountedSeparately() throws Exception {
    try (FrontFixture fixture =
        start("viewers: { firstByteMs: 300, headersMs: 600, keepAliveMs: 900 }")) {
      try (Socket silent = new Socket(Ports.HOST, fixture.viewerPort);
          Socket slow = new Socket(Ports.HOST, fixture.viewerPort);
          Socket idle = new Socket(Ports.HOST, fixture.viewerPort)) {
        idle.getOutputStream().write(httpGet("/v/none/x"));
        CompletableFuture<Void> slowSender =
            CompletableFuture.runAsync(
                () -> {
                  try {
                    for (byte b :
                        "GET /titles/t/main.m3u8?package=plain HTTP/1.1\r\nX: yyyyyyyyyy"
                            .getBytes(StandardCharsets.US_ASCII)) {
                      slow.getOutputStream().write(b);
                      Thread.sleep(60);
                    }
                  } catch (IOException | InterruptedException closed) {
                    return;
                  }
                });
        assertEquals("", read(silent, 10));
        assertTrue(read(idle, 10_000).startsWith("HTTP/1.1 404"));
        slowSender.join();
      }
      waitUntil(
          () -> {
            var flow = fixture.state().getJsonObject("flow");
            return flow.getInteger("noFirstByte") == 1
                && flow.getInteger("headersTooSlow") == 1
                && flow.getInteger("restedTooLong") >= 1;
          });
      waitUntil(() -> fixture.state().getJsonObject("flow").getInteger("callersWaiting") == 0);
    }
  }

  @Test
  void aFullListenerRejectsNewConnectionsAndKeepsCapacityForOtherAddresses() throws Exception {
    try (FrontFixture fixture =
        start("viewers: { connections: 40, perAddress: 30, turningAway: 2, firstByteMs: 20000 }")) {
      List<Socket> connections = new ArrayList<>();
      try {
        for (int i = 0; i < 30; i++) {
          connections.add(new Socket(Ports.HOST, fixture.viewerPort));
        }
        waitUntil(() -> fixture.state().getJsonObject("door").getInteger("served") == 30);
        for (int i = 0; i < 2; i++) {
          Socket socket = new Socket(Ports.HOST, fixture.viewerPort);
          connections.add(socket);
          waitUntil(() -> fixture.state().getJsonObject("door").getInteger("turningAway") > 0);
        }
        for (Socket socket : connections.subList(30, 32)) {
          socket.getOutputStream().write(httpGet("/titles/t/main.m3u8?package=plain"));
          String reply = read(socket, 10_000);
          assertTrue(reply.startsWith("HTTP/1.1 503") && reply.contains("Retry-After: 1"), reply);
        }
        waitUntil(() -> fixture.state().getJsonObject("door").getInteger("turningAway") == 0);
        for (int i = 0; i < 2; i++) {
          connections.add(new Socket(Ports.HOST, fixture.viewerPort));
        }
        waitUntil(() -> fixture.state().getJsonObject("door").getInteger("turningAway") == 2);
        Socket refused = new Socket(Ports.HOST, fixture.viewerPort);
        connections.add(refused);
        assertEquals("", read(refused, 10), "no capacity even for a rejection");
        try (Socket other =
            new Socket(
                InetAddress.getByName(Ports.HOST),
                fixture.viewerPort,
                InetAddress.getByName("127.99.0.1"),
                0)) {
          other.getOutputStream().write(httpGet("/titles/t/main.m3u8?package=plain&patience=3000"));
          assertTrue(read(other, 12).endsWith("200"));
        }
      } finally {
        for (Socket socket : connections) {
          socket.close();
        }
      }
      waitUntil(() -> fixture.state().getJsonObject("door").getInteger("served") == 0);
      assertEquals(200, fixture.requestViewing("").statusCode());
    }
  }

  @Test
  void tooManyHeadersAndTooManyRequestsOfOneKeyAreRejected() throws Exception {
    try (FrontFixture fixture = start("viewers: { headerCount: 8, keyAsks: 2 }")) {
      try (Socket socket = new Socket(Ports.HOST, fixture.viewerPort)) {
        socket
            .getOutputStream()
            .write(
                ("GET /v/x HTTP/1.1\r\n" + "A: b\r\n".repeat(9) + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
        assertTrue(read(socket, 12).endsWith("431"));
      }
      assertEquals(200, fixture.requestViewing("&key=k").statusCode());
      assertEquals(200, fixture.requestViewing("&key=k").statusCode());
      HttpResponse<String> third = fixture.requestViewing("&key=k");
      assertEquals(503, third.statusCode());
      assertTrue(third.headers().firstValue("Retry-After").isPresent());
      assertEquals(200, fixture.requestViewing("&key=other").statusCode());
    }
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrderOrTheConnectionEnds() throws Exception {
    try (FrontFixture fixture = start("viewers: { pipelined: 2 }, desk: { idleMs: 60000 }")) {
      String segment = segmentPath(fixture);
      try (Socket socket = new Socket(Ports.HOST, fixture.viewerPort)) {
        byte[] request = httpGet(segment);
        for (int i = 0; i < 50; i++) {
          socket.getOutputStream().write(request);
        }
        socket.shutdownOutput();
        String response = read(socket, 100_000);
        assertTrue(response.startsWith("HTTP/1.1 200") && response.contains("segment"), response);
        assertEquals(
            0, response.split("HTTP/1.1 200", -1).length - response.split("segment", -1).length);
      }
      assertEquals("segment", fixture.get(fixture.viewerPort, segment).body());
    }
  }

  @Test
  void aRequestPipelinedBehindAStalledReadLeavesNoOpenViewing() throws Exception {
    try (FrontFixture fixture = start("desk: { idleMs: 60000 }")) {
      String slow = segmentPath(fixture);
      fixture.boxes.get(0).segmentHandler = request -> writeEndlessly(request.response());
      try (Socket socket = openStalledReader(fixture, slow)) {
        // Pipelined behind the segment.
        socket.getOutputStream().write(httpGet("/titles/t/main.m3u8?package=paid&patience=3000"));
        waitUntil(() -> fixture.state().getInteger("letGo") == 1);
      }
      fixture.waitUntilIdle();
      assertEquals(fixture.state().getLong("taken"), fixture.state().getLong("played"));
    }
  }

  @Test
  void aWaitingByteLimitOverTheDirectMemoryFailsTheStart() throws Exception {
    try (FrontFixture fixture = new FrontFixture(1, "flow: { waitingBytes: 1000000000000 }")) {
      Throwable e = org.junit.jupiter.api.Assertions.assertThrows(Exception.class, fixture::start);
      assertTrue(e.toString().contains("-XX:MaxDirectMemorySize"), e.toString());
      fixture.front = null;
    }
  }

  @Test
  void controlConnectionsAreLimitedSeparately() throws Exception {
    try (FrontFixture fixture =
        start("control: { connections: 3 }, viewers: { connections: 2, firstByteMs: 20000 }")) {
      List<Socket> connections = new ArrayList<>();
      try {
        for (int i = 0; i < 300; i++) {
          connections.add(new Socket(Ports.HOST, fixture.viewerPort));
        }
        waitUntil(() -> fixture.state().getJsonObject("door").getInteger("shutOut") > 0);
        for (int i = 0; i < 5; i++) {
          connections.add(new Socket(Ports.HOST, fixture.controlPort));
        }
        assertEquals(
            "",
            read(connections.get(connections.size() - 1), 1),
            "the fourth and later connections are closed");
        assertTrue(fixture.state().getBoolean("ready"), "the earlier connection is kept");
      } finally {
        for (Socket socket : connections) {
          socket.close();
        }
      }
    }
  }

  @Test
  void requestsOverTheQueueLimitAreRejectedAndTheRestAreAnswered() throws Exception {
    try (FrontFixture fixture = start("desk: { waitingAsks: 1, idleMs: 60000 }")) {
      List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
      for (int i = 0; i < 150; i++) {
        responses.add(
            fixture.client.sendAsync(
                java.net.http.HttpRequest.newBuilder(
                        java.net.URI.create(
                            "http://"
                                + Ports.HOST
                                + ":"
                                + fixture.viewerPort
                                + "/titles/t/main.m3u8?package=plain&patience=3000"))
                    .build(),
                HttpResponse.BodyHandlers.ofString()));
      }
      int rejected = 0;
      for (CompletableFuture<HttpResponse<String>> response : responses) {
        int status = response.join().statusCode();
        assertTrue(status == 200 || status == 503, "" + status);
        rejected += response.join().body().equals("blocked: too many ask at once\n") ? 1 : 0;
      }
      assertEquals(rejected, fixture.state().getJsonObject("door").getInteger("asksTurnedAway"));
      waitUntil(() -> fixture.state().getJsonObject("door").getInteger("asksWaiting") == 0);
    }
  }
}
