package linengauge.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import linengauge.drill.Ports;
import linengauge.standin.BoxFleet;
import linengauge.standin.FaultyLink;
import org.junit.jupiter.api.Test;

/** The hard cases of the front's sockets, each built with scripted boxes. */
class FrontSocketsTest {
  private static final String FAST_SETTINGS =
      "desk: { idleMs: 60000 }, stop: { playingMs: 100 }, boxes: { endRetryMs: 50 }";

  private static FrontFixture startFixture(int boxes) throws Exception {
    return new FrontFixture(boxes, FAST_SETTINGS).start();
  }

  @Test
  void aViewingIsPlacedPlayedAndEnded() throws Exception {
    try (FrontFixture r = startFixture(1)) {
      HttpResponse<String> joined = r.requestViewing("&ceiling=1&key=me");
      assertEquals(200, joined.statusCode());
      String media = FrontFixture.viewingPath(joined);
      String segment = FrontFixture.viewingPath(r.get(r.viewerPort, media));
      assertEquals("segment", r.get(r.viewerPort, segment).body());
      String id = media.substring(3, media.indexOf('/', 3));
      r.client.send(
          java.net.http.HttpRequest.newBuilder(
                  java.net.URI.create("http://" + Ports.HOST + ":" + r.viewerPort + "/v/" + id))
              .DELETE()
              .build(),
          HttpResponse.BodyHandlers.discarding());
      FrontFixture.waitUntil(() -> r.boxes.get(0).countEvents("DELETE /viewings/" + id) == 1);
      assertEquals(410, r.get(r.viewerPort, segment).statusCode());
      r.waitUntilIdle();
    }
  }

  @Test
  void aBoxThatNeverAnswersIsCancelledBeforeTheRetry() throws Exception {
    try (FrontFixture r = startFixture(2)) {
      r.boxes.forEach(b -> b.setUpHandler = q -> {});
      CompletableFuture<HttpResponse<String>> joined = r.requestViewingAsync("");
      FrontFixture.waitUntil(() -> r.boxes.stream().anyMatch(b -> b.countEvents("PUT") > 0));
      r.boxes.forEach(b -> b.setUpHandler = b::acceptSetUp);
      assertEquals(200, joined.join().statusCode());
      FrontFixture.ScriptedBox hung =
          r.boxes.stream().filter(b -> b.countEvents("closed") > 0).findFirst().orElseThrow();
      FrontFixture.waitUntil(() -> hung.countEvents("DELETE") == 1);
      assertEquals(1, hung.countEvents("PUT"));
    }
  }

  @Test
  void anAnswerAfterTheTimeOutIsCancelledAtItsBox() throws Exception {
    try (FrontFixture r = startFixture(1)) {
      FrontFixture.ScriptedBox box = r.boxes.get(0);
      box.setUpHandler = q -> r.vertx.setTimer(1500, t -> box.acceptSetUp(q));
      HttpResponse<String> answer = r.requestViewing("&patience=1200");
      assertTrue(
          answer.statusCode() == 503 || answer.statusCode() == 504, "" + answer.statusCode());
      FrontFixture.waitUntil(
          () ->
              box.countEvents("DELETE") == box.countEvents("PUT")
                  && box.countEvents("closed") >= 1);
      r.waitUntilIdle();
      assertEquals(0, r.state().getInteger("routes"));
    }
  }

  @Test
  void aPaidSetUpIsNotRetriedAfterAReset() throws Exception {
    try (FrontFixture r = startFixture(2)) {
      r.boxes.forEach(b -> b.setUpHandler = q -> q.connection().close());
      assertEquals(
          502, r.get(r.viewerPort, "/titles/t/main.m3u8?package=paid&patience=3000").statusCode());
      assertEquals(1, r.boxes.get(0).countEvents("PUT") + r.boxes.get(1).countEvents("PUT"));
      r.boxes.forEach(
          b ->
              b.setUpHandler =
                  q -> q.response().setStatusCode(503).putHeader("Never-Ran", "true").end());
      assertEquals(
          503, r.get(r.viewerPort, "/titles/t/main.m3u8?package=paid&patience=3000").statusCode());
      assertTrue(
          r.boxes.get(0).countEvents("PUT") + r.boxes.get(1).countEvents("PUT") > 2,
          "a refusal proves that it never ran");
    }
  }

  @Test
  void anInvalidPlaylistFailsTheViewingAndEndsItAtItsBox() throws Exception {
    try (FrontFixture r = startFixture(1)) {
      r.boxes.get(0).setUpHandler = q -> q.response().setStatusCode(201).end("<html>");
      assertEquals(503, r.requestViewing("").statusCode());
      FrontFixture.waitUntil(
          () -> r.boxes.get(0).countEvents("DELETE") == r.boxes.get(0).countEvents("PUT"));
      assertEquals(
          502, r.get(r.viewerPort, "/titles/t/main.m3u8?package=paid&patience=3000").statusCode());
      r.waitUntilIdle();
    }
  }

  @Test
  void aDiscoveryStreamThatSkipsAChangeIsRequestedWhole() throws Exception {
    try (FrontFixture r = startFixture(2)) {
      r.discovery.skipOne();
      r.discovery.set(r.boxes.get(0).place, "s", "draining", 0);
      Thread.sleep(100); // lost on its way, and nothing to show it
      assertEquals(0, r.state().getInteger("listGaps"));
      r.discovery.set(r.boxes.get(1).place, "s", "serving", 0);
      FrontFixture.waitUntil(() -> r.state().getInteger("listGaps") == 1);
      FrontFixture.waitUntil(() -> r.state().getLong("listRevision") == 5);
      r.discovery.breakFor(200);
      r.discovery.set(r.boxes.get(0).place, "s", "draining", 0);
      FrontFixture.waitUntil(
          () -> r.state().getLong("listRevision") == 6 && r.state().getLong("listBreaks") > 0);
      for (int i = 0; i < 5; i++) {
        assertEquals(200, r.requestViewing("").statusCode());
      }
      assertEquals(0, r.boxes.get(0).countEvents("PUT"), "it drains");
    }
  }

  @Test
  void aViewerThatDisconnectsCancelsItsSetUp() throws Exception {
    try (FrontFixture r = startFixture(1)) {
      r.boxes.get(0).setUpHandler = q -> {};
      try (Socket s = new Socket(Ports.HOST, r.viewerPort)) {
        s.getOutputStream().write(httpGet("/titles/t/main.m3u8?package=paid&patience=9000&key=me"));
        FrontFixture.waitUntil(() -> r.boxes.get(0).countEvents("PUT") == 1);
      }
      FrontFixture.waitUntil(
          () ->
              r.boxes.get(0).countEvents("closed") == 1
                  && r.boxes.get(0).countEvents("DELETE") == 1);
      r.waitUntilIdle();
      assertEquals(0, r.state().getInteger("keys"));
      assertEquals(1, r.state().getInteger("left"));
    }
  }

  private static byte[] httpGet(String path) {
    return ("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
  }

  @Test
  void twoRequestsWithTheSameKeyLeadToOneViewing() throws Exception {
    try (FrontFixture r = startFixture(2)) {
      r.boxes.forEach(b -> b.setUpHandler = q -> r.vertx.setTimer(200, t -> b.acceptSetUp(q)));
      CompletableFuture<HttpResponse<String>> first = r.requestViewingAsync("&key=me");
      FrontFixture.waitUntil(() -> r.state().getInteger("held") == 1);
      HttpResponse<String> second = r.requestViewing("&key=me");
      assertEquals(503, second.statusCode());
      assertEquals("1", second.headers().firstValue("Retry-After").orElseThrow());
      assertEquals(200, first.join().statusCode());
      assertEquals(200, r.requestViewing("&key=me").statusCode());
      assertEquals(
          410,
          r.get(r.viewerPort, FrontFixture.viewingPath(first.join())).statusCode(),
          "the earlier one is over");
      assertEquals(1, r.state().getInteger("held"));
    }
  }

  @Test
  void aDrainReportedWhileASetUpWaitsForAConnectionPreventsIt() throws Exception {
    try (FrontFixture r =
        new FrontFixture(1, "boxes: { connections: 1, connectMs: 900 }, stop: { playingMs: 100 }")
            .start()) {
      FrontFixture.ScriptedBox box = r.boxes.get(0);
      box.setUpHandler = q -> r.vertx.setTimer(300, t -> box.acceptSetUp(q));
      CompletableFuture<HttpResponse<String>> first = r.requestViewingAsync("");
      FrontFixture.waitUntil(() -> box.countEvents("PUT") == 1);
      CompletableFuture<HttpResponse<String>> queued = r.requestViewingAsync("");
      FrontFixture.waitUntil(() -> r.state().getInteger("held") == 2);
      r.discovery.set(box.place, "s", "draining", 0);
      assertEquals(200, first.join().statusCode());
      assertEquals(503, queued.join().statusCode());
      assertEquals(1, box.countEvents("PUT"));
    }
  }

  @Test
  void malformedOversizedAndSlowRequestsAreRejected() throws Exception {
    try (FrontFixture r =
        new FrontFixture(
                1,
                "viewers: { firstByteMs: 300, headersMs: 300, requestLineBytes: 512, headerBytes: 1024, connections: 5 }, "
                    + "stop: { playingMs: 100 }")
            .start()) {
      assertTrue(responseHead(r, "\u0000\u0001 garbage\r\n\r\n").matches("HTTP/1.[01] 400"));
      assertTrue(
          responseHead(r, "GET /" + "x".repeat(600) + " HTTP/1.1\r\n\r\n")
              .matches("HTTP/1.[01] 414"));
      assertTrue(
          responseHead(r, "GET / HTTP/1.1\r\nX: " + "y".repeat(2000) + "\r\n\r\n")
              .matches("HTTP/1.[01] 431"));
      assertTrue(
          responseHead(r, "POST /titles/t/main.m3u8 HTTP/1.1\r\nHost: x\r\n\r\n")
              .startsWith("HTTP/1.1 405"));
      assertEquals(
          "",
          responseHead(r, "GET /titles/t/ma"),
          "half a request line, and the connection is closed");
      for (String bad :
          new String[] {
            "?package=none",
            "?package=plain&ceiling=-1",
            "?package=plain&patience=0",
            "?package=plain&patience=99999999999",
            "?package=plain&key=a%20b",
            ""
          }) {
        assertEquals(400, r.get(r.viewerPort, "/titles/t/main.m3u8" + bad).statusCode(), bad);
      }
      assertEquals(404, r.get(r.viewerPort, "/v/none/media.m3u8").statusCode());
      Socket[] idle = new Socket[12];
      for (int i = 0; i < idle.length; i++) {
        idle[i] = new Socket(Ports.HOST, r.viewerPort);
      }
      FrontFixture.waitUntil(() -> r.state().getJsonObject("door").getInteger("turnedAway") > 0);
      FrontFixture.waitUntil(() -> r.state().getInteger("viewerConnections") <= 1);
      for (Socket s : idle) {
        s.close();
      }
      assertEquals(200, r.requestViewing("").statusCode());
    }
  }

  /** What the front says to raw bytes until it closes the connection or has answered. */
  private static String responseHead(FrontFixture r, String raw) throws IOException {
    try (Socket s = new Socket(Ports.HOST, r.viewerPort)) {
      s.setSoTimeout(15_000);
      s.getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = s.getInputStream();
      byte[] head = in.readNBytes(12);
      return new String(head, StandardCharsets.US_ASCII);
    }
  }

  @Test
  void aStalledReaderAppliesBackPressureToItsBox() throws Exception {
    try (FrontFixture r = startFixture(1)) {
      long whole = 200L << 20;
      AtomicLong sent = new AtomicLong();
      r.boxes.get(0).segmentHandler =
          q -> {
            HttpServerResponse to = q.response().putHeader("Content-Length", Long.toString(whole));
            writeUntilFull(to, sent, whole);
          };
      String segment =
          FrontFixture.viewingPath(
              r.get(r.viewerPort, FrontFixture.viewingPath(r.requestViewing(""))));
      try (Socket s = new Socket(Ports.HOST, r.viewerPort)) {
        s.getOutputStream().write(httpGet(segment));
        FrontFixture.waitUntil(() -> sent.get() > 100_000);
        long before;
        do {
          before = sent.get();
          Thread.sleep(300);
        } while (sent.get() != before); // what the sockets hold is full
        assertTrue(
            sent.get() < whole / 4,
            "the front took " + sent.get() + " of " + whole + " for a reader of nothing");
        assertEquals(200, r.requestViewing("").statusCode(), "others are served meanwhile");
      }
      FrontFixture.waitUntil(() -> r.state().getInteger("held") == 2);
    }
  }

  private static void writeUntilFull(HttpServerResponse to, AtomicLong sent, long whole) {
    while (!to.writeQueueFull() && sent.get() < whole && !to.closed()) {
      int n = (int) Math.min(65536, whole - sent.get());
      to.write(Buffer.buffer(new byte[n]));
      sent.addAndGet(n);
    }
    to.drainHandler(v -> writeUntilFull(to, sent, whole));
  }

  @Test
  void aBoxThatReportsALaterStartThanDiscoveryIsCold() throws Exception {
    try (FrontFixture r =
        new FrontFixture(
                1,
                "rules: { coldMs: 60000, fallAfterMs: 5000, fallMultiple: 2.5 }, stop: { playingMs: 100 }")
            .start()) {
      FrontFixture.ScriptedBox box = r.boxes.get(0);
      box.setUpHandler =
          q -> {
            q.response().putHeader("Box-Age-Ms", "1000");
            box.acceptSetUp(q);
          };
      int plays = 0;
      for (int i = 0; i < 8; i++) {
        plays += r.requestViewing("&patience=400").statusCode() == 200 ? 1 : 0;
      }
      assertEquals(
          1,
          plays,
          "after its first answer a front that has itself just started sends nothing there");
    }
  }

  @Test
  void aMediaFailureOfTheBoxIsReportedToTheViewer() throws Exception {
    try (FrontFixture r =
        new FrontFixture(
                1,
                "boxes: { firstByteMs: 300, mediaSilenceMs: 300, connectMs: 100 }, stop: { playingMs: 100 }")
            .start()) {
      FrontFixture.ScriptedBox box = r.boxes.get(0);
      String segment =
          FrontFixture.viewingPath(
              r.get(r.viewerPort, FrontFixture.viewingPath(r.requestViewing(""))));
      box.segmentHandler = q -> {};
      assertEquals(504, r.get(r.viewerPort, segment).statusCode(), "nothing at all");
      box.segmentHandler = q -> q.response().setStatusCode(500).end();
      assertEquals(502, r.get(r.viewerPort, segment).statusCode());
      box.segmentHandler = q -> q.response().putHeader("Content-Length", "1000").write("some");
      assertThrows(
          AssertionError.class,
          () -> r.get(r.viewerPort, segment),
          "a short body is not passed off as whole");
      box.segmentHandler = q -> q.response().end("again");
      assertEquals(
          "again", r.get(r.viewerPort, segment).body(), "one bad segment does not end the viewing");
      box.segmentHandler = q -> {};
      CompletableFuture<?>[] four = new CompletableFuture<?>[4];
      for (int i = 0; i < 4; i++) {
        four[i] = CompletableFuture.supplyAsync(() -> r.get(r.viewerPort, segment));
      }
      long before = box.countEvents("GET");
      FrontFixture.waitUntil(() -> box.countEvents("GET") >= before + 4 || four[0].isDone());
      CompletableFuture.allOf(four).join();
      box.segmentHandler = q -> q.response().setStatusCode(410).end();
      assertEquals(410, r.get(r.viewerPort, segment).statusCode());
      FrontFixture.waitUntil(() -> r.state().getInteger("held") == 0);
    }
  }

  @Test
  void aPlaylistOverTheSizeLimitIsRejected() throws Exception {
    try (FrontFixture r =
        new FrontFixture(1, "boxes: { playlistBytes: 2000 }, stop: { playingMs: 100 }").start()) {
      r.boxes.get(0).setUpHandler =
          q ->
              q.response()
                  .setStatusCode(201)
                  .end(FrontFixture.MULTIVARIANT_PLAYLIST + "#long\n".repeat(1000));
      assertEquals(
          502, r.get(r.viewerPort, "/titles/t/main.m3u8?package=paid&patience=3000").statusCode());
      FrontFixture.waitUntil(() -> r.boxes.get(0).countEvents("DELETE") == 1);
      r.waitUntilIdle();
    }
  }

  @Test
  void anUnconfirmedEndIsRetriedALimitedNumberOfTimes() throws Exception {
    try (FrontFixture r =
        new FrontFixture(1, "boxes: { endTries: 3, endRetryMs: 20 }, stop: { playingMs: 100 }")
            .start()) {
      FrontFixture.ScriptedBox box = r.boxes.get(0);
      box.otherHandler = q -> q.response().setStatusCode(500).end();
      box.setUpHandler = q -> q.response().setStatusCode(500).end();
      String media = FrontFixture.viewingPath(requestAccepted(r, box));
      r.client.send(
          java.net.http.HttpRequest.newBuilder(
                  java.net.URI.create(
                      "http://"
                          + Ports.HOST
                          + ":"
                          + r.viewerPort
                          + media.substring(0, media.indexOf('/', 3))))
              .DELETE()
              .build(),
          HttpResponse.BodyHandlers.discarding());
      FrontFixture.waitUntil(() -> r.state().getLong("endsGivenUp") == 1);
      assertEquals(3, box.countEvents("DELETE"));
      r.waitUntilIdle();
    }
  }

  private static HttpResponse<String> requestAccepted(
      FrontFixture r, FrontFixture.ScriptedBox box) {
    box.setUpHandler = box::acceptSetUp;
    return r.requestViewing("");
  }

  @Test
  void anUnreachableBoxLosesItsViewings() throws Exception {
    try (FrontFixture r =
        new FrontFixture(1, "boxes: { notesRetryMs: 20, notesTries: 3 }, stop: { playingMs: 100 }")
            .start()) {
      String media = FrontFixture.viewingPath(r.requestViewing(""));
      FrontFixture.waitUntil(() -> r.state().getInteger("noteStreamsInUse") == 1);
      r.boxes.get(0).close();
      FrontFixture.waitUntil(() -> r.state().getInteger("held") == 0);
      assertEquals("ended: BOX_LOST\n", r.get(r.viewerPort, media).body());
    }
  }

  @Test
  void aLinkThatDropsDelaysOrResetsDeterminesTheOutcome() throws Exception {
    try (FrontFixture r = startFixture(1)) {
      FrontFixture.ScriptedBox box = r.boxes.get(0);
      FaultyLink link = new FaultyLink(r.vertx, Ports.HOST, box.port);
      r.discovery.set(
          new BoxFleet.Place(1, Ports.HOST, FrontFixture.await(link.open()), 1, "a"),
          "s",
          "serving",
          0);
      FrontFixture.waitUntil(() -> r.state().getLong("listRevision") == 3);
      link.swallowAnswers(true);
      int status = r.requestViewing("&patience=1500").statusCode();
      assertTrue(status == 503 || status == 504, "" + status);
      link.swallowAnswers(false);
      link.trickle(100);
      FrontFixture.waitUntil(() -> r.requestViewing("").statusCode() == 200);
      link.trickle(0);
      link.resetOnAnswer(true);
      long before = box.countEvents("PUT");
      FrontFixture.waitUntil(
          () ->
              r.get(r.viewerPort, "/titles/t/main.m3u8?package=paid&patience=3000").statusCode()
                  == 502);
      assertEquals(before + 1, box.countEvents("PUT"), "it may have run: not sent again");
      link.cut();
    }
  }

  @Test
  void aPortInUseFailsTheStart() throws Exception {
    try (FrontFixture r = startFixture(1)) {
      FrontServer second = r.newFront();
      Exception e = assertThrows(Exception.class, () -> FrontFixture.await(second.start(1)));
      assertTrue(e.getMessage().contains("in use"), e.getMessage());
      second.stop();
      assertTrue(second.await(15_000));
      assertFalse(r.front.await(1), "the first one runs on");
    }
  }
}
