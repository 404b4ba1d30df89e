package linengauge.front;

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

/** Slow peers on sockets, each built with scripted boxes and raw callers. */
class SlowSocketsTest {
  private static final String FAST_SETTINGS =
      "stop: { playingMs: 100 }, flow: { beatMs: 50, lateMs: 5000, windowMs: 1600, "
          + "evidenceMs: 800, graceMs: 400 }, ";

  private static FrontFixture startFixture(String more) throws Exception {
    return new FrontFixture(1, FAST_SETTINGS + more).start();
  }

  private static String segmentPath(FrontFixture r) {
    return FrontFixture.viewingPath(
        r.get(r.viewerPort, FrontFixture.viewingPath(r.requestViewing(""))));
  }

  private static byte[] httpGet(String path) {
    return ("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
  }

  /** A caller that has asked for this and reads nothing. */
  private static Socket openStalledReader(FrontFixture r, String path) throws IOException {
    Socket s = new Socket();
    s.setReceiveBufferSize(8192);
    s.connect(new InetSocketAddress(Ports.HOST, r.viewerPort));
    s.getOutputStream().write(httpGet(path));
    return s;
  }

  private static void writeEndlessly(HttpServerResponse to) {
    to.setChunked(true);
    writeUntilFull(to);
  }

  private static void writeUntilFull(HttpServerResponse to) {
    while (!to.writeQueueFull() && !to.closed()) {
      to.write(Buffer.buffer(new byte[16_384]));
    }
    to.drainHandler(v -> writeUntilFull(to));
  }

  private static String read(Socket s, int bytes) throws IOException {
    s.setSoTimeout(15_000);
    InputStream in = s.getInputStream();
    return new String(in.readNBytes(bytes), StandardCharsets.ISO_8859_1);
  }

  @Test
  void aStalledReaderIsClosedAndOthersOnTheSameBoxAndLoopAreServed() throws Exception {
    try (FrontFixture r = startFixture("viewers: { loops: 1 }, desk: { idleMs: 60000 }")) {
      FrontFixture.ScriptedBox box = r.boxes.get(0);
      String slow = segmentPath(r);
      String healthy = segmentPath(r);
      box.segmentHandler =
          q -> {
            if (q.path().contains(slow.substring(3, slow.indexOf('/', 3)))) {
              writeEndlessly(q.response());
            } else {
              q.response().end("segment");
            }
          };
      try (Socket s = openStalledReader(r, slow)) {
        assertTrue(s.isConnected());
        while (r.state().getInteger("letGo") == 0) {
          assertEquals("segment", r.get(r.viewerPort, healthy).body());
          assertTrue(r.state().getJsonObject("flow").getLong("waitingBytes") < 300_000);
        }
      }
      assertEquals("ended: LET_GO\n", r.get(r.viewerPort, slow).body());
      FrontFixture.waitUntil(() -> box.countEvents("DELETE") == 1);
      assertEquals("segment", r.get(r.viewerPort, healthy).body());
      assertEquals(1, r.state().getInteger("held"));
    }
  }

  @Test
  void stalledReadersOfABoxLeaveCapacityForOthers() throws Exception {
    try (FrontFixture r =
        startFixture(
            "viewers: { loops: 1, atOnce: 2 }, boxes: { mediaConnections: 40 }, desk: { idleMs: 60000 }")) {
      FrontFixture.ScriptedBox box = r.boxes.get(0);
      String healthy = segmentPath(r);
      List<Socket> deaf = new ArrayList<>();
      try {
        box.segmentHandler = q -> writeEndlessly(q.response());
        for (int i = 0; i < 12; i++) {
          String slow = segmentPath(r);
          deaf.add(openStalledReader(r, slow));
          deaf.add(openStalledReader(r, slow));
        }
        FrontFixture.waitUntil(() -> box.countEvents("GET /viewings/") >= 37);
        box.segmentHandler = q -> q.response().end("segment");
        for (int i = 0; i < 20; i++) {
          assertEquals("segment", r.get(r.viewerPort, healthy).body());
        }
        FrontFixture.waitUntil(() -> r.state().getInteger("letGo") == 12);
      } finally {
        for (Socket s : deaf) {
          s.close();
        }
      }
      assertEquals("segment", r.get(r.viewerPort, healthy).body());
    }
  }

  @Test
  void aBoxThatSendsTooSlowlyIsReportedAsLost() throws Exception {
    try (FrontFixture r = startFixture("desk: { idleMs: 60000 }")) {
      FrontFixture.ScriptedBox box = r.boxes.get(0);
      String segment = segmentPath(r);
      box.segmentHandler =
          q -> {
            q.response().putHeader("Content-Length", "100000");
            long timer = r.vertx.setPeriodic(50, t -> q.response().write("x"));
            q.response().closeHandler(v -> r.vertx.cancelTimer(timer));
          };
      try (Socket s = new Socket(Ports.HOST, r.viewerPort)) {
        s.getOutputStream().write(httpGet(segment));
        assertTrue(
            read(s, 100_000).length() < 1000, "it breaks off, and is not passed off as whole");
      }
      FrontFixture.waitUntil(
          () ->
              box.countEvents("DELETE")
                  == 1); // the core hears of it on another loop than the one that broke off
      assertEquals("ended: BOX_LOST\n", r.get(r.viewerPort, segment).body());
      assertEquals(1, r.state().getJsonObject("flow").getInteger("boxesLetGo"));
      r.waitUntilIdle();
    }
  }

  @Test
  void surplusBytesOfABoxReachNoOtherViewer() throws Exception {
    try (FrontFixture r = startFixture("viewers: { loops: 1 }, desk: { idleMs: 60000 }")) {
      FrontFixture.ScriptedBox box = r.boxes.get(0);
      String segment = segmentPath(r);
      box.segmentHandler =
          q ->
              ((ConnectionBase) q.connection())
                  .channel()
                  .pipeline()
                  .firstContext()
                  .writeAndFlush(
                      Unpooled.copiedBuffer(
                          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nrightHTTP/1.1 200 OK\r\n"
                              + "Content-Length: 5\r\n\r\nwrong",
                          StandardCharsets.ISO_8859_1));
      assertEquals("right", r.get(r.viewerPort, segment).body());
      box.segmentHandler = q -> q.response().end("segment");
      for (int i = 0; i < 3; i++) {
        HttpResponse<String> next = r.get(r.viewerPort, segment);
        assertTrue(
            next.statusCode() == 502 || next.body().equals("segment"),
            "never another's bytes: " + next.body());
      }
      assertEquals("segment", r.get(r.viewerPort, segment).body());
    }
  }

  @Test
  void aBoxThatNeverEndsItsResponseTimesOut() throws Exception {
    try (FrontFixture r = startFixture("boxes: { mediaSilenceMs: 300 }, desk: { idleMs: 60000 }")) {
      String segment = segmentPath(r);
      r.boxes.get(0).segmentHandler = q -> q.response().setChunked(true).write("all there is");
      try (Socket s = new Socket(Ports.HOST, r.viewerPort)) {
        s.getOutputStream().write(httpGet(segment));
        String all = read(s, 10_000);
        assertTrue(
            all.contains("all there is") && !all.endsWith("0\r\n\r\n"),
            "no end where the box gave none");
      }
    }
  }

  @Test
  void silentSlowAndIdleConnectionsAreClosedAndCountedSeparately() throws Exception {
    try (FrontFixture r =
        startFixture("viewers: { firstByteMs: 300, headersMs: 600, keepAliveMs: 900 }")) {
      try (Socket silent = new Socket(Ports.HOST, r.viewerPort);
          Socket drips = new Socket(Ports.HOST, r.viewerPort);
          Socket rests = new Socket(Ports.HOST, r.viewerPort)) {
        rests.getOutputStream().write(httpGet("/v/none/x"));
        CompletableFuture<Void> dripping =
            CompletableFuture.runAsync(
                () -> {
                  try {
                    for (byte b :
                        "GET /titles/t/main.m3u8?package=plain HTTP/1.1\r\nX: yyyyyyyyyy"
                            .getBytes(StandardCharsets.US_ASCII)) {
                      drips.getOutputStream().write(b);
                      Thread.sleep(60);
                    }
                  } catch (IOException | InterruptedException closed) {
                    return;
                  }
                });
        assertEquals("", read(silent, 10));
        assertTrue(read(rests, 10_000).startsWith("HTTP/1.1 404"));
        dripping.join();
      }
      FrontFixture.waitUntil(
          () -> {
            var f = r.state().getJsonObject("flow");
            return f.getInteger("noFirstByte") == 1
                && f.getInteger("headersTooSlow") == 1
                && f.getInteger("restedTooLong") >= 1;
          });
      FrontFixture.waitUntil(
          () -> r.state().getJsonObject("flow").getInteger("callersWaiting") == 0);
    }
  }

  @Test
  void aFullListenerRejectsNewConnectionsAndKeepsCapacityForOtherAddresses() throws Exception {
    try (FrontFixture r =
        startFixture(
            "viewers: { connections: 40, perAddress: 30, turningAway: 2, firstByteMs: 20000 }")) {
      List<Socket> crowd = new ArrayList<>();
      try {
        for (int i = 0; i < 30; i++) {
          crowd.add(new Socket(Ports.HOST, r.viewerPort));
        }
        FrontFixture.waitUntil(() -> r.state().getJsonObject("door").getInteger("served") == 30);
        for (int i = 0; i < 2; i++) {
          Socket s = new Socket(Ports.HOST, r.viewerPort);
          crowd.add(s);
          FrontFixture.waitUntil(
              () -> r.state().getJsonObject("door").getInteger("turningAway") > 0);
        }
        for (Socket s : crowd.subList(30, 32)) {
          s.getOutputStream().write(httpGet("/titles/t/main.m3u8?package=plain"));
          String all = read(s, 10_000);
          assertTrue(all.startsWith("HTTP/1.1 503") && all.contains("Retry-After: 1"), all);
        }
        FrontFixture.waitUntil(
            () -> r.state().getJsonObject("door").getInteger("turningAway") == 0);
        for (int i = 0; i < 2; i++) {
          crowd.add(new Socket(Ports.HOST, r.viewerPort));
        }
        FrontFixture.waitUntil(
            () -> r.state().getJsonObject("door").getInteger("turningAway") == 2);
        Socket shutOut = new Socket(Ports.HOST, r.viewerPort);
        crowd.add(shutOut);
        assertEquals("", read(shutOut, 10), "no place even to be told");
        try (Socket other =
            new Socket(
                InetAddress.getByName(Ports.HOST),
                r.viewerPort,
                InetAddress.getByName("127.99.0.1"),
                0)) {
          other.getOutputStream().write(httpGet("/titles/t/main.m3u8?package=plain&patience=3000"));
          assertTrue(read(other, 12).endsWith("200"));
        }
      } finally {
        for (Socket s : crowd) {
          s.close();
        }
      }
      FrontFixture.waitUntil(() -> r.state().getJsonObject("door").getInteger("served") == 0);
      assertEquals(200, r.requestViewing("").statusCode());
    }
  }

  @Test
  void tooManyHeadersAndTooManyRequestsOfOneKeyAreRejected() throws Exception {
    try (FrontFixture r = startFixture("viewers: { headerCount: 8, keyAsks: 2 }")) {
      try (Socket s = new Socket(Ports.HOST, r.viewerPort)) {
        s.getOutputStream()
            .write(
                ("GET /v/x HTTP/1.1\r\n" + "A: b\r\n".repeat(9) + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
        assertTrue(read(s, 12).endsWith("431"));
      }
      assertEquals(200, r.requestViewing("&key=k").statusCode());
      assertEquals(200, r.requestViewing("&key=k").statusCode());
      HttpResponse<String> third = r.requestViewing("&key=k");
      assertEquals(503, third.statusCode());
      assertTrue(third.headers().firstValue("Retry-After").isPresent());
      assertEquals(200, r.requestViewing("&key=other").statusCode());
    }
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrderOrTheConnectionEnds() throws Exception {
    try (FrontFixture r = startFixture("viewers: { pipelined: 2 }, desk: { idleMs: 60000 }")) {
      String segment = segmentPath(r);
      try (Socket s = new Socket(Ports.HOST, r.viewerPort)) {
        byte[] ask = httpGet(segment);
        for (int i = 0; i < 50; i++) {
          s.getOutputStream().write(ask);
        }
        s.shutdownOutput();
        String all = read(s, 100_000);
        assertTrue(all.startsWith("HTTP/1.1 200") && all.contains("segment"), all);
        assertEquals(0, all.split("HTTP/1.1 200", -1).length - all.split("segment", -1).length);
      }
      assertEquals("segment", r.get(r.viewerPort, segment).body());
    }
  }

  @Test
  void aRequestPipelinedBehindAStalledReadLeavesNoOpenViewing() throws Exception {
    try (FrontFixture r = startFixture("desk: { idleMs: 60000 }")) {
      String slow = segmentPath(r);
      r.boxes.get(0).segmentHandler = q -> writeEndlessly(q.response());
      try (Socket s = openStalledReader(r, slow)) {
        s.getOutputStream()
            .write(httpGet("/titles/t/main.m3u8?package=paid&patience=3000")); // behind the segment
        FrontFixture.waitUntil(() -> r.state().getInteger("letGo") == 1);
      }
      r.waitUntilIdle();
      assertEquals(r.state().getLong("taken"), r.state().getLong("played"));
    }
  }

  @Test
  void aWaitingByteLimitOverTheDirectMemoryFailsTheStart() throws Exception {
    try (FrontFixture r = new FrontFixture(1, "flow: { waitingBytes: 1000000000000 }")) {
      Throwable e = org.junit.jupiter.api.Assertions.assertThrows(Exception.class, r::start);
      assertTrue(e.toString().contains("-XX:MaxDirectMemorySize"), e.toString());
      r.front = null;
    }
  }

  @Test
  void controlConnectionsAreLimitedSeparately() throws Exception {
    try (FrontFixture r =
        startFixture(
            "control: { connections: 3 }, viewers: { connections: 2, firstByteMs: 20000 }")) {
      List<Socket> crowd = new ArrayList<>();
      try {
        for (int i = 0; i < 300; i++) {
          crowd.add(new Socket(Ports.HOST, r.viewerPort));
        }
        FrontFixture.waitUntil(() -> r.state().getJsonObject("door").getInteger("shutOut") > 0);
        for (int i = 0; i < 5; i++) {
          crowd.add(new Socket(Ports.HOST, r.controlPort));
        }
        assertEquals("", read(crowd.get(crowd.size() - 1), 1), "the fourth and later are closed");
        assertTrue(r.state().getBoolean("ready"), "the one that asked before keeps its place");
      } finally {
        for (Socket s : crowd) {
          s.close();
        }
      }
    }
  }

  @Test
  void requestsOverTheQueueLimitAreRejectedAndTheRestAreAnswered() throws Exception {
    try (FrontFixture r = startFixture("desk: { waitingAsks: 1, idleMs: 60000 }")) {
      List<CompletableFuture<HttpResponse<String>>> all = new ArrayList<>();
      for (int i = 0; i < 150; i++) {
        all.add(
            r.client.sendAsync(
                java.net.http.HttpRequest.newBuilder(
                        java.net.URI.create(
                            "http://"
                                + Ports.HOST
                                + ":"
                                + r.viewerPort
                                + "/titles/t/main.m3u8?package=plain&patience=3000"))
                    .build(),
                HttpResponse.BodyHandlers.ofString()));
      }
      int turnedAway = 0;
      for (CompletableFuture<HttpResponse<String>> a : all) {
        int status = a.join().statusCode();
        assertTrue(status == 200 || status == 503, "" + status);
        turnedAway += a.join().body().equals("blocked: too many ask at once\n") ? 1 : 0;
      }
      assertEquals(turnedAway, r.state().getJsonObject("door").getInteger("asksTurnedAway"));
      FrontFixture.waitUntil(() -> r.state().getJsonObject("door").getInteger("asksWaiting") == 0);
    }
  }
}
