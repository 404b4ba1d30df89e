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
  private static final String QUICK =
      "desk: { idleMs: 60000 }, stop: { playingMs: 100 }, boxes: { endRetryMs: 50 }";

  private static Rig rig(int boxes) throws Exception {
    return new Rig(boxes, QUICK).start();
  }

  @Test
  void aViewingIsPlacedPlayedAndEnded() throws Exception {
    try (Rig r = rig(1)) {
      HttpResponse<String> joined = r.join("&ceiling=1&key=me");
      assertEquals(200, joined.statusCode());
      String media = Rig.path(joined);
      String segment = Rig.path(r.get(r.viewers, media));
      assertEquals("segment", r.get(r.viewers, segment).body());
      String id = media.substring(3, media.indexOf('/', 3));
      r.client.send(
          java.net.http.HttpRequest.newBuilder(
                  java.net.URI.create("http://" + Ports.HOST + ":" + r.viewers + "/v/" + id))
              .DELETE()
              .build(),
          HttpResponse.BodyHandlers.discarding());
      Rig.until(() -> r.boxes.get(0).saw("DELETE /viewings/" + id) == 1);
      assertEquals(410, r.get(r.viewers, segment).statusCode());
      r.untilEmpty();
    }
  }

  @Test
  void aBoxThatNeverAnswersCostsATryAndIsGivenUpFirst() throws Exception {
    try (Rig r = rig(2)) {
      r.boxes.forEach(b -> b.setUps = q -> {});
      CompletableFuture<HttpResponse<String>> joined = r.joins("");
      Rig.until(() -> r.boxes.stream().anyMatch(b -> b.saw("PUT") > 0));
      r.boxes.forEach(b -> b.setUps = b::plays);
      assertEquals(200, joined.join().statusCode());
      Rig.Box hung = r.boxes.stream().filter(b -> b.saw("closed") > 0).findFirst().orElseThrow();
      Rig.until(() -> hung.saw("DELETE") == 1);
      assertEquals(1, hung.saw("PUT"));
    }
  }

  @Test
  void anAnswerAfterTheTimeOutIsCancelledAtItsBoxAndPlaysNothing() throws Exception {
    try (Rig r = rig(1)) {
      Rig.Box box = r.boxes.get(0);
      box.setUps = q -> r.vertx.setTimer(1500, t -> box.plays(q));
      HttpResponse<String> answer = r.join("&patience=1200");
      assertTrue(
          answer.statusCode() == 503 || answer.statusCode() == 504, "" + answer.statusCode());
      Rig.until(() -> box.saw("DELETE") == box.saw("PUT") && box.saw("closed") >= 1);
      r.untilEmpty();
      assertEquals(0, r.state().getInteger("routes"));
    }
  }

  @Test
  void aPaidSetUpThatIsResetIsNeverSentAgain() throws Exception {
    try (Rig r = rig(2)) {
      r.boxes.forEach(b -> b.setUps = q -> q.connection().close());
      assertEquals(
          502, r.get(r.viewers, "/titles/t/main.m3u8?package=paid&patience=3000").statusCode());
      assertEquals(1, r.boxes.get(0).saw("PUT") + r.boxes.get(1).saw("PUT"));
      r.boxes.forEach(
          b ->
              b.setUps = q -> q.response().setStatusCode(503).putHeader("Never-Ran", "true").end());
      assertEquals(
          503, r.get(r.viewers, "/titles/t/main.m3u8?package=paid&patience=3000").statusCode());
      assertTrue(
          r.boxes.get(0).saw("PUT") + r.boxes.get(1).saw("PUT") > 2,
          "a refusal proves that it never ran");
    }
  }

  @Test
  void aBrokenPlaylistIsAnAbortedViewingThatEndsAtItsBox() throws Exception {
    try (Rig r = rig(1)) {
      r.boxes.get(0).setUps = q -> q.response().setStatusCode(201).end("<html>");
      assertEquals(503, r.join("").statusCode());
      Rig.until(() -> r.boxes.get(0).saw("DELETE") == r.boxes.get(0).saw("PUT"));
      assertEquals(
          502, r.get(r.viewers, "/titles/t/main.m3u8?package=paid&patience=3000").statusCode());
      r.untilEmpty();
    }
  }

  @Test
  void aListThatBreaksAndSkipsAChangeIsAskedForWhole() throws Exception {
    try (Rig r = rig(2)) {
      r.list.dropNextChange();
      r.list.publish(r.boxes.get(0).place, "s", "draining", 0);
      Thread.sleep(100); // lost on its way, and nothing to show it
      assertEquals(0, r.state().getInteger("listGaps"));
      r.list.publish(r.boxes.get(1).place, "s", "serving", 0);
      Rig.until(() -> r.state().getInteger("listGaps") == 1);
      Rig.until(() -> r.state().getLong("listRevision") == 5);
      r.list.interruptFor(200);
      r.list.publish(r.boxes.get(0).place, "s", "draining", 0);
      Rig.until(
          () -> r.state().getLong("listRevision") == 6 && r.state().getLong("listBreaks") > 0);
      for (int i = 0; i < 5; i++) {
        assertEquals(200, r.join("").statusCode());
      }
      assertEquals(0, r.boxes.get(0).saw("PUT"), "it drains");
    }
  }

  @Test
  void aViewerThatBreaksOffTakesItsSetUpAlong() throws Exception {
    try (Rig r = rig(1)) {
      r.boxes.get(0).setUps = q -> {};
      try (Socket s = new Socket(Ports.HOST, r.viewers)) {
        s.getOutputStream().write(request("/titles/t/main.m3u8?package=paid&patience=9000&key=me"));
        Rig.until(() -> r.boxes.get(0).saw("PUT") == 1);
      }
      Rig.until(() -> r.boxes.get(0).saw("closed") == 1 && r.boxes.get(0).saw("DELETE") == 1);
      r.untilEmpty();
      assertEquals(0, r.state().getInteger("keys"));
      assertEquals(1, r.state().getInteger("left"));
    }
  }

  private static byte[] request(String path) {
    return ("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
  }

  @Test
  void twoRequestsWithOneKeyGiveOneAnswerEachAndOneViewing() throws Exception {
    try (Rig r = rig(2)) {
      r.boxes.forEach(b -> b.setUps = q -> r.vertx.setTimer(200, t -> b.plays(q)));
      CompletableFuture<HttpResponse<String>> first = r.joins("&key=me");
      Rig.until(() -> r.state().getInteger("held") == 1);
      HttpResponse<String> second = r.join("&key=me");
      assertEquals(503, second.statusCode());
      assertEquals("1", second.headers().firstValue("Retry-After").orElseThrow());
      assertEquals(200, first.join().statusCode());
      assertEquals(200, r.join("&key=me").statusCode());
      assertEquals(
          410, r.get(r.viewers, Rig.path(first.join())).statusCode(), "the earlier one is over");
      assertEquals(1, r.state().getInteger("held"));
    }
  }

  @Test
  void aDrainHeardWhileASetUpQueuesForAConnectionKeepsItBack() throws Exception {
    try (Rig r =
        new Rig(1, "boxes: { connections: 1, connectMs: 900 }, stop: { playingMs: 100 }").start()) {
      Rig.Box box = r.boxes.get(0);
      box.setUps = q -> r.vertx.setTimer(300, t -> box.plays(q));
      CompletableFuture<HttpResponse<String>> first = r.joins("");
      Rig.until(() -> box.saw("PUT") == 1);
      CompletableFuture<HttpResponse<String>> queued = r.joins("");
      Rig.until(() -> r.state().getInteger("held") == 2);
      r.list.publish(box.place, "s", "draining", 0);
      assertEquals(200, first.join().statusCode());
      assertEquals(503, queued.join().statusCode());
      assertEquals(1, box.saw("PUT"));
    }
  }

  @Test
  void garbageOversizedAndSlowRequestsAreTurnedAwayAndHarmNobody() throws Exception {
    try (Rig r =
        new Rig(
                1,
                "viewers: { firstByteMs: 300, headersMs: 300, requestLineBytes: 512, headerBytes: 1024, connections: 5 }, "
                    + "stop: { playingMs: 100 }")
            .start()) {
      assertTrue(said(r, "\u0000\u0001 garbage\r\n\r\n").matches("HTTP/1.[01] 400"));
      assertTrue(
          said(r, "GET /" + "x".repeat(600) + " HTTP/1.1\r\n\r\n").matches("HTTP/1.[01] 414"));
      assertTrue(
          said(r, "GET / HTTP/1.1\r\nX: " + "y".repeat(2000) + "\r\n\r\n")
              .matches("HTTP/1.[01] 431"));
      assertTrue(
          said(r, "POST /titles/t/main.m3u8 HTTP/1.1\r\nHost: x\r\n\r\n")
              .startsWith("HTTP/1.1 405"));
      assertEquals(
          "", said(r, "GET /titles/t/ma"), "half a request line, and the connection is closed");
      for (String bad :
          new String[] {
            "?package=none",
            "?package=plain&ceiling=-1",
            "?package=plain&patience=0",
            "?package=plain&patience=99999999999",
            "?package=plain&key=a%20b",
            ""
          }) {
        assertEquals(400, r.get(r.viewers, "/titles/t/main.m3u8" + bad).statusCode(), bad);
      }
      assertEquals(404, r.get(r.viewers, "/v/none/media.m3u8").statusCode());
      Socket[] idle = new Socket[12];
      for (int i = 0; i < idle.length; i++) {
        idle[i] = new Socket(Ports.HOST, r.viewers);
      }
      Rig.until(() -> r.state().getJsonObject("door").getInteger("turnedAway") > 0);
      Rig.until(() -> r.state().getInteger("viewerConnections") <= 1);
      for (Socket s : idle) {
        s.close();
      }
      assertEquals(200, r.join("").statusCode());
    }
  }

  /** What the front says to raw bytes until it closes the connection or has answered. */
  private static String said(Rig r, String raw) throws IOException {
    try (Socket s = new Socket(Ports.HOST, r.viewers)) {
      s.setSoTimeout(15_000);
      s.getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = s.getInputStream();
      byte[] head = in.readNBytes(12);
      return new String(head, StandardCharsets.US_ASCII);
    }
  }

  @Test
  void aSlowReaderHoldsItsBoxBackAndNothingIsHeldWhole() throws Exception {
    try (Rig r = rig(1)) {
      long whole = 200L << 20;
      AtomicLong sent = new AtomicLong();
      r.boxes.get(0).segments =
          q -> {
            HttpServerResponse to = q.response().putHeader("Content-Length", Long.toString(whole));
            pour(to, sent, whole);
          };
      String segment = Rig.path(r.get(r.viewers, Rig.path(r.join(""))));
      try (Socket s = new Socket(Ports.HOST, r.viewers)) {
        s.getOutputStream().write(request(segment));
        Rig.until(() -> sent.get() > 100_000);
        long before;
        do {
          before = sent.get();
          Thread.sleep(300);
        } while (sent.get() != before); // what the sockets hold is full
        assertTrue(
            sent.get() < whole / 4,
            "the front took " + sent.get() + " of " + whole + " for a reader of nothing");
        assertEquals(200, r.join("").statusCode(), "others are served meanwhile");
      }
      Rig.until(() -> r.state().getInteger("held") == 2);
    }
  }

  private static void pour(HttpServerResponse to, AtomicLong sent, long whole) {
    while (!to.writeQueueFull() && sent.get() < whole && !to.closed()) {
      int n = (int) Math.min(65536, whole - sent.get());
      to.write(Buffer.buffer(new byte[n]));
      sent.addAndGet(n);
    }
    to.drainHandler(v -> pour(to, sent, whole));
  }

  @Test
  void aBoxThatTellsOfALaterStartThanTheListIsCold() throws Exception {
    try (Rig r =
        new Rig(
                1,
                "rules: { coldMs: 60000, fallAfterMs: 5000, fallMultiple: 2.5 }, stop: { playingMs: 100 }")
            .start()) {
      Rig.Box box = r.boxes.get(0);
      box.setUps =
          q -> {
            q.response().putHeader("Box-Age-Ms", "1000");
            box.plays(q);
          };
      int plays = 0;
      for (int i = 0; i < 8; i++) {
        plays += r.join("&patience=400").statusCode() == 200 ? 1 : 0;
      }
      assertEquals(
          1,
          plays,
          "after its first answer a front that has itself just started sends nothing there");
    }
  }

  @Test
  void aBoxThatSendsNoMediaOrBreaksOffIsToldToTheViewerAsSuch() throws Exception {
    try (Rig r =
        new Rig(
                1,
                "boxes: { firstByteMs: 300, mediaSilenceMs: 300, connectMs: 100 }, stop: { playingMs: 100 }")
            .start()) {
      Rig.Box box = r.boxes.get(0);
      String segment = Rig.path(r.get(r.viewers, Rig.path(r.join(""))));
      box.segments = q -> {};
      assertEquals(504, r.get(r.viewers, segment).statusCode(), "nothing at all");
      box.segments = q -> q.response().setStatusCode(500).end();
      assertEquals(502, r.get(r.viewers, segment).statusCode());
      box.segments = q -> q.response().putHeader("Content-Length", "1000").write("some");
      assertThrows(
          AssertionError.class,
          () -> r.get(r.viewers, segment),
          "a short body is not passed off as whole");
      box.segments = q -> q.response().end("again");
      assertEquals(
          "again", r.get(r.viewers, segment).body(), "one bad segment does not end the viewing");
      box.segments = q -> {};
      CompletableFuture<?>[] four = new CompletableFuture<?>[4];
      for (int i = 0; i < 4; i++) {
        four[i] = CompletableFuture.supplyAsync(() -> r.get(r.viewers, segment));
      }
      long before = box.saw("GET");
      Rig.until(() -> box.saw("GET") >= before + 4 || four[0].isDone());
      CompletableFuture.allOf(four).join();
      box.segments = q -> q.response().setStatusCode(410).end();
      assertEquals(410, r.get(r.viewers, segment).statusCode());
      Rig.until(() -> r.state().getInteger("held") == 0);
    }
  }

  @Test
  void aPlaylistOverItsBoundIsRefusedAndNotHeldWhole() throws Exception {
    try (Rig r = new Rig(1, "boxes: { playlistBytes: 2000 }, stop: { playingMs: 100 }").start()) {
      r.boxes.get(0).setUps =
          q -> q.response().setStatusCode(201).end(Rig.MULTI + "#long\n".repeat(1000));
      assertEquals(
          502, r.get(r.viewers, "/titles/t/main.m3u8?package=paid&patience=3000").statusCode());
      Rig.until(() -> r.boxes.get(0).saw("DELETE") == 1);
      r.untilEmpty();
    }
  }

  @Test
  void anEndThatABoxWillNotHearIsTriedABoundedNumberOfTimes() throws Exception {
    try (Rig r =
        new Rig(1, "boxes: { endTries: 3, endRetryMs: 20 }, stop: { playingMs: 100 }").start()) {
      Rig.Box box = r.boxes.get(0);
      box.others = q -> q.response().setStatusCode(500).end();
      box.setUps = q -> q.response().setStatusCode(500).end();
      String media = Rig.path(joined(r, box));
      r.client.send(
          java.net.http.HttpRequest.newBuilder(
                  java.net.URI.create(
                      "http://"
                          + Ports.HOST
                          + ":"
                          + r.viewers
                          + media.substring(0, media.indexOf('/', 3))))
              .DELETE()
              .build(),
          HttpResponse.BodyHandlers.discarding());
      Rig.until(() -> r.state().getLong("endsGivenUp") == 1);
      assertEquals(3, box.saw("DELETE"));
      r.untilEmpty();
    }
  }

  private static HttpResponse<String> joined(Rig r, Rig.Box box) {
    box.setUps = box::plays;
    return r.join("");
  }

  @Test
  void aBoxThatCannotBeHeardAnyMoreHasLostItsViewings() throws Exception {
    try (Rig r =
        new Rig(1, "boxes: { notesRetryMs: 20, notesTries: 3 }, stop: { playingMs: 100 }")
            .start()) {
      String media = Rig.path(r.join(""));
      Rig.until(() -> r.state().getInteger("noteStreamsInUse") == 1);
      r.boxes.get(0).close();
      Rig.until(() -> r.state().getInteger("held") == 0);
      assertEquals("ended: BOX_LOST\n", r.get(r.viewers, media).body());
    }
  }

  @Test
  void aBoxBehindALinkThatSwallowsTricklesOrResetsIsTakenForWhatItShows() throws Exception {
    try (Rig r = rig(1)) {
      Rig.Box box = r.boxes.get(0);
      FaultyLink link = new FaultyLink(r.vertx, Ports.HOST, box.port);
      r.list.publish(
          new BoxFleet.BoxLocation(1, Ports.HOST, Rig.await(link.open()), 1, "a"),
          "s",
          "serving",
          0);
      Rig.until(() -> r.state().getLong("listRevision") == 3);
      link.dropAnswers(true);
      int status = r.join("&patience=1500").statusCode();
      assertTrue(status == 503 || status == 504, "" + status);
      link.dropAnswers(false);
      link.setTrickle(100);
      Rig.until(() -> r.join("").statusCode() == 200);
      link.setTrickle(0);
      link.resetOnAnswer(true);
      long before = box.saw("PUT");
      Rig.until(
          () ->
              r.get(r.viewers, "/titles/t/main.m3u8?package=paid&patience=3000").statusCode()
                  == 502);
      assertEquals(before + 1, box.saw("PUT"), "it may have run: not sent again");
      link.closeConnections();
    }
  }

  @Test
  void aPortInUseIsSaidAtStart() throws Exception {
    try (Rig r = rig(1)) {
      FrontProgram second = r.program();
      Exception e = assertThrows(Exception.class, () -> Rig.await(second.start(1)));
      assertTrue(e.getMessage().contains("in use"), e.getMessage());
      second.stop();
      assertTrue(second.await(15_000));
      assertFalse(r.front.await(1), "the first one runs on");
    }
  }
}
