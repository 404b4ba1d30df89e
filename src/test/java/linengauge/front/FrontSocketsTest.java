package linengauge.front;

import static linengauge.front.FrontFixture.viewingPath;
import static linengauge.front.FrontFixture.waitUntil;
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
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import linengauge.drill.Ports;
import linengauge.standin.BoxFleet;
import linengauge.standin.FaultyLink;
import org.junit.jupiter.api.Test;

/** Failures on the front's sockets, caused by scripted boxes. */
class FrontSocketsTest {
  private static final String FAST_SETTINGS =
      "desk: { idleMs: 60000 }, stop: { playingMs: 100 }, boxes: { endRetryMs: 50 }";

  private static FrontFixture start(int boxes) throws Exception {
    return new FrontFixture(boxes, FAST_SETTINGS).start();
  }

  @Test
  void aViewingIsPlacedPlayedAndEnded() throws Exception {
    try (FrontFixture fixture = start(1)) {
      HttpResponse<String> joined = fixture.requestViewing("&ceiling=1&key=me");
      assertEquals(200, joined.statusCode());
      String media = viewingPath(joined);
      String segment = viewingPath(fixture.get(fixture.viewerPort, media));
      assertEquals("segment", fixture.get(fixture.viewerPort, segment).body());
      String id = media.substring(3, media.indexOf('/', 3));
      fixture.client.send(
          java.net.http.HttpRequest.newBuilder(
                  java.net.URI.create(
                      "http://" + Ports.HOST + ":" + fixture.viewerPort + "/v/" + id))
              .DELETE()
              .build(),
          HttpResponse.BodyHandlers.discarding());
      waitUntil(() -> fixture.boxes.get(0).countEvents("DELETE /viewings/" + id) == 1);
      assertEquals(410, fixture.get(fixture.viewerPort, segment).statusCode());
      fixture.waitUntilIdle();
    }
  }

  @Test
  void aBoxThatNeverAnswersIsCancelledBeforeTheRetry() throws Exception {
    try (FrontFixture fixture = start(2)) {
      fixture.boxes.forEach(box -> box.setUpHandler = request -> {});
      CompletableFuture<HttpResponse<String>> joined = fixture.requestViewingAsync("");
      waitUntil(() -> fixture.boxes.stream().anyMatch(box -> box.countEvents("PUT") > 0));
      fixture.boxes.forEach(box -> box.setUpHandler = box::acceptSetUp);
      assertEquals(200, joined.join().statusCode());
      FrontFixture.ScriptedBox hung =
          fixture.boxes.stream()
              .filter(box -> box.countEvents("closed") > 0)
              .findFirst()
              .orElseThrow();
      waitUntil(() -> hung.countEvents("DELETE") == 1);
      assertEquals(1, hung.countEvents("PUT"));
    }
  }

  @Test
  void anAnswerAfterTheTimeOutIsCancelledAtItsBox() throws Exception {
    try (FrontFixture fixture = start(1)) {
      FrontFixture.ScriptedBox box = fixture.boxes.get(0);
      box.setUpHandler = request -> fixture.vertx.setTimer(1500, t -> box.acceptSetUp(request));
      HttpResponse<String> answer = fixture.requestViewing("&patience=1200");
      assertTrue(
          answer.statusCode() == 503 || answer.statusCode() == 504, "" + answer.statusCode());
      waitUntil(
          () ->
              box.countEvents("DELETE") == box.countEvents("PUT")
                  && box.countEvents("closed") >= 1);
      fixture.waitUntilIdle();
      assertEquals(0, fixture.state().getInteger("routes"));
    }
  }

  @Test
  void aPaidSetUpIsNotRetriedAfterAReset() throws Exception {
    try (FrontFixture fixture = start(2)) {
      fixture.boxes.forEach(box -> box.setUpHandler = request -> request.connection().close());
      assertEquals(
          502,
          fixture
              .get(fixture.viewerPort, "/titles/t/main.m3u8?package=paid&patience=3000")
              .statusCode());
      assertEquals(
          1, fixture.boxes.get(0).countEvents("PUT") + fixture.boxes.get(1).countEvents("PUT"));
      fixture.boxes.forEach(
          box ->
              box.setUpHandler =
                  request ->
                      request.response().setStatusCode(503).putHeader("Never-Ran", "true").end());
      assertEquals(
          503,
          fixture
              .get(fixture.viewerPort, "/titles/t/main.m3u8?package=paid&patience=3000")
              .statusCode());
      assertTrue(
          fixture.boxes.get(0).countEvents("PUT") + fixture.boxes.get(1).countEvents("PUT") > 2,
          "a set-up that provably never ran is retried");
    }
  }

  @Test
  void anInvalidPlaylistFailsTheViewingAndEndsItAtItsBox() throws Exception {
    try (FrontFixture fixture = start(1)) {
      fixture.boxes.get(0).setUpHandler =
          request -> request.response().setStatusCode(201).end("<html>");
      assertEquals(503, fixture.requestViewing("").statusCode());
      waitUntil(
          () ->
              fixture.boxes.get(0).countEvents("DELETE")
                  == fixture.boxes.get(0).countEvents("PUT"));
      assertEquals(
          502,
          fixture
              .get(fixture.viewerPort, "/titles/t/main.m3u8?package=paid&patience=3000")
              .statusCode());
      fixture.waitUntilIdle();
    }
  }

  @Test
  void aDiscoveryStreamThatSkipsAChangeIsRequestedWhole() throws Exception {
    try (FrontFixture fixture = start(2)) {
      fixture.discovery.dropNextChange();
      fixture.discovery.publish(fixture.boxes.get(0).place, "s", "draining", 0);
      Thread.sleep(100); // the change is lost, and nothing shows it yet
      assertEquals(0, fixture.state().getInteger("listGaps"));
      fixture.discovery.publish(fixture.boxes.get(1).place, "s", "serving", 0);
      waitUntil(() -> fixture.state().getInteger("listGaps") == 1);
      waitUntil(() -> fixture.state().getLong("listRevision") == 5);
      fixture.discovery.interruptFor(200);
      fixture.discovery.publish(fixture.boxes.get(0).place, "s", "draining", 0);
      waitUntil(
          () ->
              fixture.state().getLong("listRevision") == 6
                  && fixture.state().getLong("listBreaks") > 0);
      for (int i = 0; i < 5; i++) {
        assertEquals(200, fixture.requestViewing("").statusCode());
      }
      assertEquals(0, fixture.boxes.get(0).countEvents("PUT"), "a draining box receives no set-up");
    }
  }

  /** Guards against a list that is never received, as each request for it is given up too early. */
  @Test
  void aDiscoveryServiceThatAnswersLateIsHeard() throws Exception {
    try (FrontFixture fixture = new FrontFixture(1, "desk: { idleMs: 60000 }")) {
      int port = Ports.free(1).get(0);
      var requests = new AtomicInteger();
      FrontFixture.await(
          fixture
              .vertx
              .createHttpServer()
              .requestHandler(
                  request -> {
                    requests.incrementAndGet();
                    HttpServerResponse response = request.response().setChunked(true);
                    response.exceptionHandler(e -> {});
                    long late =
                        fixture.vertx.setTimer(
                            900,
                            t -> {
                              response.write(
                                  "{\"whole\":true,\"revision\":9,\"boxes\":[{\"id\":1,"
                                      + "\"state\":\"serving\",\"address\":\"127.0.0.1:9\","
                                      + "\"cell\":0,\"kind\":\"s\",\"building\":\"a\"}]}\n");
                              fixture.vertx.setPeriodic(100, tick -> response.write("\n"));
                            });
                    response.closeHandler(v -> fixture.vertx.cancelTimer(late));
                  })
              .listen(port, Ports.HOST));
      fixture.start(
          site ->
              site.replace(
                  Ports.HOST + ":" + fixture.discoveryPort + "', ",
                  Ports.HOST + ":" + port + "', silenceMs: 300, "));
      waitUntil(() -> fixture.state().getLong("listRevision") == 9);
      assertTrue(requests.get() <= 4, requests.get() + " requests");
    }
  }

  @Test
  void aViewerThatDisconnectsCancelsItsSetUp() throws Exception {
    try (FrontFixture fixture = start(1)) {
      fixture.boxes.get(0).setUpHandler = request -> {};
      try (Socket socket = new Socket(Ports.HOST, fixture.viewerPort)) {
        socket
            .getOutputStream()
            .write(httpGet("/titles/t/main.m3u8?package=paid&patience=9000&key=me"));
        waitUntil(() -> fixture.boxes.get(0).countEvents("PUT") == 1);
      }
      waitUntil(
          () ->
              fixture.boxes.get(0).countEvents("closed") == 1
                  && fixture.boxes.get(0).countEvents("DELETE") == 1);
      fixture.waitUntilIdle();
      assertEquals(0, fixture.state().getInteger("keys"));
      assertEquals(1, fixture.state().getInteger("left"));
    }
  }

  private static byte[] httpGet(String path) {
    return ("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
  }

  @Test
  void twoRequestsWithTheSameKeyLeadToOneViewing() throws Exception {
    try (FrontFixture fixture = start(2)) {
      fixture.boxes.forEach(
          box ->
              box.setUpHandler =
                  request -> fixture.vertx.setTimer(200, t -> box.acceptSetUp(request)));
      CompletableFuture<HttpResponse<String>> first = fixture.requestViewingAsync("&key=me");
      waitUntil(() -> fixture.state().getInteger("held") == 1);
      HttpResponse<String> second = fixture.requestViewing("&key=me");
      assertEquals(503, second.statusCode());
      assertEquals("1", second.headers().firstValue("Retry-After").orElseThrow());
      assertEquals(200, first.join().statusCode());
      assertEquals(200, fixture.requestViewing("&key=me").statusCode());
      assertEquals(
          410,
          fixture.get(fixture.viewerPort, viewingPath(first.join())).statusCode(),
          "the earlier viewing has been replaced");
      assertEquals(1, fixture.state().getInteger("held"));
    }
  }

  @Test
  void aDrainReportedWhileASetUpWaitsForAConnectionPreventsIt() throws Exception {
    try (FrontFixture fixture =
        new FrontFixture(1, "boxes: { connections: 1, connectMs: 900 }, stop: { playingMs: 100 }")
            .start()) {
      FrontFixture.ScriptedBox box = fixture.boxes.get(0);
      box.setUpHandler = request -> fixture.vertx.setTimer(300, t -> box.acceptSetUp(request));
      CompletableFuture<HttpResponse<String>> first = fixture.requestViewingAsync("");
      waitUntil(() -> box.countEvents("PUT") == 1);
      CompletableFuture<HttpResponse<String>> queued = fixture.requestViewingAsync("");
      waitUntil(() -> fixture.state().getInteger("held") == 2);
      fixture.discovery.publish(box.place, "s", "draining", 0);
      assertEquals(200, first.join().statusCode());
      assertEquals(503, queued.join().statusCode());
      assertEquals(1, box.countEvents("PUT"));
    }
  }

  @Test
  void malformedOversizedAndSlowRequestsAreRejected() throws Exception {
    try (FrontFixture fixture =
        new FrontFixture(
                1,
                "viewers: { firstByteMs: 300, headersMs: 300, requestLineBytes: 512, headerBytes: 1024, connections: 5 }, "
                    + "stop: { playingMs: 100 }")
            .start()) {
      assertTrue(statusLine(fixture, "\u0000\u0001 garbage\r\n\r\n").matches("HTTP/1.[01] 400"));
      assertTrue(
          statusLine(fixture, "GET /" + "x".repeat(600) + " HTTP/1.1\r\n\r\n")
              .matches("HTTP/1.[01] 414"));
      assertTrue(
          statusLine(fixture, "GET / HTTP/1.1\r\nX: " + "y".repeat(2000) + "\r\n\r\n")
              .matches("HTTP/1.[01] 431"));
      assertTrue(
          statusLine(fixture, "POST /titles/t/main.m3u8 HTTP/1.1\r\nHost: x\r\n\r\n")
              .startsWith("HTTP/1.1 405"));
      assertEquals(
          "", statusLine(fixture, "GET /titles/t/ma"), "an incomplete request line times out");
      for (String bad :
          new String[] {
            "?package=none",
            "?package=plain&ceiling=-1",
            "?package=plain&patience=0",
            "?package=plain&patience=99999999999",
            "?package=plain&key=a%20b",
            ""
          }) {
        assertEquals(
            400, fixture.get(fixture.viewerPort, "/titles/t/main.m3u8" + bad).statusCode(), bad);
      }
      assertEquals(404, fixture.get(fixture.viewerPort, "/v/none/media.m3u8").statusCode());
      Socket[] idle = new Socket[12];
      for (int i = 0; i < idle.length; i++) {
        idle[i] = new Socket(Ports.HOST, fixture.viewerPort);
      }
      waitUntil(() -> fixture.state().getJsonObject("door").getInteger("turnedAway") > 0);
      waitUntil(() -> fixture.state().getInteger("viewerConnections") <= 1);
      for (Socket socket : idle) {
        socket.close();
      }
      assertEquals(200, fixture.requestViewing("").statusCode());
    }
  }

  /**
   * Sends raw bytes and returns the start of the status line, empty where the connection was
   * closed.
   */
  private static String statusLine(FrontFixture fixture, String raw) throws IOException {
    try (Socket socket = new Socket(Ports.HOST, fixture.viewerPort)) {
      socket.setSoTimeout(15_000);
      socket.getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = socket.getInputStream();
      byte[] head = in.readNBytes(12);
      return new String(head, StandardCharsets.US_ASCII);
    }
  }

  @Test
  void aStalledReaderAppliesBackPressureToItsBox() throws Exception {
    try (FrontFixture fixture = start(1)) {
      long totalBytes = 200L << 20;
      AtomicLong sent = new AtomicLong();
      fixture.boxes.get(0).segmentHandler =
          request -> {
            HttpServerResponse response =
                request.response().putHeader("Content-Length", Long.toString(totalBytes));
            writeUntilFull(response, sent, totalBytes);
          };
      String segment =
          viewingPath(fixture.get(fixture.viewerPort, viewingPath(fixture.requestViewing(""))));
      try (Socket socket = new Socket(Ports.HOST, fixture.viewerPort)) {
        socket.getOutputStream().write(httpGet(segment));
        waitUntil(() -> sent.get() > 100_000);
        long before;
        do {
          before = sent.get();
          Thread.sleep(300);
        } while (sent.get() != before); // until the buffers of the sockets are full
        assertTrue(
            sent.get() < totalBytes / 4,
            "the front read "
                + sent.get()
                + " of "
                + totalBytes
                + " bytes for a viewer that reads nothing");
        assertEquals(200, fixture.requestViewing("").statusCode(), "others are served meanwhile");
      }
      waitUntil(() -> fixture.state().getInteger("held") == 2);
    }
  }

  private static void writeUntilFull(
      HttpServerResponse response, AtomicLong sent, long totalBytes) {
    while (!response.writeQueueFull() && sent.get() < totalBytes && !response.closed()) {
      int chunkBytes = (int) Math.min(65536, totalBytes - sent.get());
      response.write(Buffer.buffer(new byte[chunkBytes]));
      sent.addAndGet(chunkBytes);
    }
    response.drainHandler(v -> writeUntilFull(response, sent, totalBytes));
  }

  @Test
  void aBoxThatReportsALaterStartThanDiscoveryIsCold() throws Exception {
    try (FrontFixture fixture =
        new FrontFixture(
                1,
                "rules: { coldMs: 60000, fallAfterMs: 5000, fallMultiple: 2.5 }, stop: { playingMs: 100 }")
            .start()) {
      FrontFixture.ScriptedBox box = fixture.boxes.get(0);
      box.setUpHandler =
          request -> {
            request.response().putHeader("Box-Age-Ms", "1000");
            box.acceptSetUp(request);
          };
      int plays = 0;
      for (int i = 0; i < 8; i++) {
        plays += fixture.requestViewing("&patience=400").statusCode() == 200 ? 1 : 0;
      }
      assertEquals(
          1,
          plays,
          "after the first response a front that has itself just started sends nothing to a cold box");
    }
  }

  @Test
  void aMediaFailureOfTheBoxIsReportedToTheViewer() throws Exception {
    try (FrontFixture fixture =
        new FrontFixture(
                1,
                "boxes: { firstByteMs: 300, mediaSilenceMs: 300, connectMs: 100 }, stop: { playingMs: 100 }")
            .start()) {
      FrontFixture.ScriptedBox box = fixture.boxes.get(0);
      String segment =
          viewingPath(fixture.get(fixture.viewerPort, viewingPath(fixture.requestViewing(""))));
      box.segmentHandler = request -> {};
      assertEquals(
          504, fixture.get(fixture.viewerPort, segment).statusCode(), "the box sends nothing");
      box.segmentHandler = request -> request.response().setStatusCode(500).end();
      assertEquals(502, fixture.get(fixture.viewerPort, segment).statusCode());
      box.segmentHandler =
          request -> request.response().putHeader("Content-Length", "1000").write("some");
      assertThrows(
          AssertionError.class,
          () -> fixture.get(fixture.viewerPort, segment),
          "a truncated body is not passed off as complete");
      box.segmentHandler = request -> request.response().end("again");
      assertEquals(
          "again",
          fixture.get(fixture.viewerPort, segment).body(),
          "one bad segment does not end the viewing");
      box.segmentHandler = request -> {};
      CompletableFuture<?>[] responses = new CompletableFuture<?>[4];
      for (int i = 0; i < 4; i++) {
        responses[i] =
            CompletableFuture.supplyAsync(() -> fixture.get(fixture.viewerPort, segment));
      }
      long before = box.countEvents("GET");
      waitUntil(() -> box.countEvents("GET") >= before + 4 || responses[0].isDone());
      CompletableFuture.allOf(responses).join();
      box.segmentHandler = request -> request.response().setStatusCode(410).end();
      assertEquals(410, fixture.get(fixture.viewerPort, segment).statusCode());
      waitUntil(() -> fixture.state().getInteger("held") == 0);
    }
  }

  @Test
  void aPlaylistOverTheSizeLimitIsRejected() throws Exception {
    try (FrontFixture fixture =
        new FrontFixture(1, "boxes: { playlistBytes: 2000 }, stop: { playingMs: 100 }").start()) {
      fixture.boxes.get(0).setUpHandler =
          request ->
              request
                  .response()
                  .setStatusCode(201)
                  .end(FrontFixture.MULTIVARIANT_PLAYLIST + "#long\n".repeat(1000));
      assertEquals(
          502,
          fixture
              .get(fixture.viewerPort, "/titles/t/main.m3u8?package=paid&patience=3000")
              .statusCode());
      waitUntil(() -> fixture.boxes.get(0).countEvents("DELETE") == 1);
      fixture.waitUntilIdle();
    }
  }

  @Test
  void anUnconfirmedEndIsRetriedALimitedNumberOfTimes() throws Exception {
    try (FrontFixture fixture =
        new FrontFixture(1, "boxes: { endTries: 3, endRetryMs: 20 }, stop: { playingMs: 100 }")
            .start()) {
      FrontFixture.ScriptedBox box = fixture.boxes.get(0);
      box.otherHandler = request -> request.response().setStatusCode(500).end();
      box.setUpHandler = request -> request.response().setStatusCode(500).end();
      String media = viewingPath(requestAccepted(fixture, box));
      fixture.client.send(
          java.net.http.HttpRequest.newBuilder(
                  java.net.URI.create(
                      "http://"
                          + Ports.HOST
                          + ":"
                          + fixture.viewerPort
                          + media.substring(0, media.indexOf('/', 3))))
              .DELETE()
              .build(),
          HttpResponse.BodyHandlers.discarding());
      waitUntil(() -> fixture.state().getLong("endsGivenUp") == 1);
      assertEquals(3, box.countEvents("DELETE"));
      fixture.waitUntilIdle();
    }
  }

  private static HttpResponse<String> requestAccepted(
      FrontFixture fixture, FrontFixture.ScriptedBox box) {
    box.setUpHandler = box::acceptSetUp;
    return fixture.requestViewing("");
  }

  @Test
  void anUnreachableBoxLosesItsViewings() throws Exception {
    try (FrontFixture fixture =
        new FrontFixture(1, "boxes: { notesRetryMs: 20, notesTries: 3 }, stop: { playingMs: 100 }")
            .start()) {
      String media = viewingPath(fixture.requestViewing(""));
      waitUntil(() -> fixture.state().getInteger("noteStreamsInUse") == 1);
      fixture.boxes.get(0).close();
      waitUntil(() -> fixture.state().getInteger("held") == 0);
      assertEquals("ended: BOX_LOST\n", fixture.get(fixture.viewerPort, media).body());
    }
  }

  @Test
  void aLinkThatDropsDelaysOrResetsDeterminesTheOutcome() throws Exception {
    try (FrontFixture fixture = start(1)) {
      FrontFixture.ScriptedBox box = fixture.boxes.get(0);
      FaultyLink link = new FaultyLink(fixture.vertx, Ports.HOST, box.port);
      fixture.discovery.publish(
          new BoxFleet.BoxLocation(1, Ports.HOST, FrontFixture.await(link.open()), 1, "a"),
          "s",
          "serving",
          0);
      waitUntil(() -> fixture.state().getLong("listRevision") == 3);
      link.dropAnswers(true);
      int status = fixture.requestViewing("&patience=1500").statusCode();
      assertTrue(status == 503 || status == 504, "" + status);
      link.dropAnswers(false);
      link.setTrickle(100);
      waitUntil(() -> fixture.requestViewing("").statusCode() == 200);
      link.setTrickle(0);
      link.resetOnAnswer(true);
      long before = box.countEvents("PUT");
      waitUntil(
          () ->
              fixture
                      .get(fixture.viewerPort, "/titles/t/main.m3u8?package=paid&patience=3000")
                      .statusCode()
                  == 502);
      assertEquals(before + 1, box.countEvents("PUT"), "a set-up that may have run is not retried");
      link.closeConnections();
    }
  }

  @Test
  void aPortInUseFailsTheStart() throws Exception {
    try (FrontFixture fixture = start(1)) {
      FrontServer second = fixture.newFront();
      Exception failure = assertThrows(Exception.class, () -> FrontFixture.await(second.start(1)));
      assertTrue(failure.getMessage().contains("in use"), failure.getMessage());
      second.stop();
      assertTrue(second.await(15_000));
      assertFalse(fixture.front.await(1), "the first front keeps running");
    }
  }
}
