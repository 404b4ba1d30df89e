package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.List;
import linengauge.Span;
import linengauge.platform.PaperNet.Line;
import linengauge.standin.PlatformViewers;
import org.junit.jupiter.api.Test;

/** What a front writes and closes, in the order in which it does so, and when. */
class PlatformFrontTest {
  private static final int BLOCKED = 12;

  /**
   * A set-up is out until its connection is closed: made elsewhere before, it would be a second
   * one.
   */
  @Test
  void theConnectionToABoxThatHasGoneIsClosedBeforeItsSetUpsAreMadeElsewhere() throws Exception {
    PaperNet net = PaperNet.front();
    String at = net.setUpOut();
    net.gone(at);
    net.onlyAfter("close " + at);
  }

  @Test
  void anAnswerThatCameTooLateIsTakenBackBeforeTheNextSetUpLeaves() throws Exception {
    PaperNet net = PaperNet.front();
    String at = net.setUpOut();
    net.standsStill(Span.ofMillis(600));
    net.answers(at, 7);
    net.pass(Span.ofMillis(60)); // it reads on before it sends
    net.onlyAfter("end " + at);
  }

  @Test
  void aConnectionThatSaysWhatCannotBeReadIsClosedBeforeItsSetUpsAreMadeElsewhere()
      throws Exception {
    PaperNet net = PaperNet.front();
    String at = net.setUpOut();
    net.box(at).comes("no such thing");
    net.pass(Span.ofMillis(1));
    net.onlyAfter("close " + at);
  }

  @Test
  void aBoxWhoseTableIsFullIsNotTakenForDeadWhileAConnectionToItIsUp() throws Exception {
    PaperNet net = PaperNet.front();
    String at = net.setUpOut();
    net.answers(at, 7);
    net.refusing.add(at);
    net.boxesAnswerTests = false;
    net.pass(Span.ofMillis(6000)); // tested in its silence, then a connection is tried
    assertFalse(net.said.contains("server lost"), net.said.toString());
    net.box(at).breaks();
    net.pass(Span.ofMillis(500));
    assertTrue(net.said.contains("server lost"), "nothing else is up, and nothing listens");
  }

  @Test
  void aSilentBoxIsTestedOnTheConnectionThatItHas() throws Exception {
    PaperNet net = PaperNet.front();
    String at = net.setUpOut();
    net.answers(at, 7);
    long before = net.opened(at);
    for (int i = 0; i < 4; i++) {
      net.done.clear();
      net.pass(Span.ofMillis(5300));
      assertEquals(
          1, net.done.stream().filter(("test " + at)::equals).count(), net.done.toString());
    }
    assertEquals(before, net.opened(at), "no connection for silence that a test has broken");
  }

  private static byte[] many(int from, int to, long leftMs) {
    var all = new ByteArrayOutputStream();
    for (int id = from; id < to; id++) {
      all.writeBytes(PlatformViewers.setUp(id, "lesson", leftMs, ""));
    }
    return all.toByteArray();
  }

  /** A piece of hundreds made everybody wait for all of it. */
  @Test
  void aPieceOfHundredsIsReadInTurnsAndOthersAreReadBetween() throws Exception {
    PaperNet net = PaperNet.front();
    net.step = Span.ofMillis(1);
    Line many = net.viewers();
    Line one = net.viewers();
    long begun = net.now().micros();
    many.comes(many(100, 300, 20_000));
    long turn = net.now().micros() - begun;
    assertTrue(turn < 25_000, turn + " us in one turn");
    assertFalse(many.paused, "its end would not be seen");
    one.comes(PlatformViewers.message(52, 1, 61, new byte[] {0}));
    assertEquals(List.of(53), one.types, "tested in between");
    assertTrue(many.types.size() < 100);
    net.pass(Span.ofSeconds(15));
    assertEquals(200, many.types.size(), "each is answered in the end");
    assertFalse(many.paused);
  }

  /**
   * Lying unread counts: while a long piece is read, and on a connection that was paused for it.
   */
  @Test
  void whatHasLainPastItsViewersPatienceIsTurnedAwayAndSentToNobody() throws Exception {
    PaperNet net = PaperNet.front();
    net.step = Span.ofMillis(1);
    Line many = net.viewers();
    many.comes(many(100, 300, 400));
    net.pass(Span.ofSeconds(3));
    assertEquals(200, many.types.size());
    assertTrue(
        net.setUps.contains(100L) && !net.setUps.contains(299L),
        "the last was read when its viewer had gone");
    assertTrue(net.setUps.stream().distinct().count() < 150, net.setUps.toString());
  }

  @Test
  void whatComesOnAPausedConnectionMayHaveLainSinceItWasPaused() throws Exception {
    PaperNet net = PaperNet.front();
    net.step = Span.ofMillis(1);
    Line many = net.viewers();
    many.comes(PlatformViewers.message(52, 1, 61, new byte[] {0}));
    var ends = new ByteArrayOutputStream();
    for (int id = 1000; ends.size() < 40 * 1024; id++) {
      ends.writeBytes(PlatformViewers.message(12, id, 61, new byte[] {16}));
    }
    long pausedAt = net.now().micros();
    many.comes(ends.toByteArray());
    assertTrue(many.paused);
    for (int i = 0; i < 2000 && many.paused; i++) {
      net.pass(Span.ofMillis(5));
    }
    assertFalse(many.paused);
    long paused =
        (net.now().micros() - pausedAt) / 1000; // over 24 KB of them; 16 KB are still to be read
    many.comes(many(500, 501, paused * 7 / 6));
    net.pass(Span.ofMillis(3 * paused));
    assertFalse(net.setUps.contains(500L), "it may have been sent as the connection was paused");
    many.comes(many(502, 503, 250));
    net.pass(Span.ofMillis(200));
    assertTrue(net.setUps.contains(502L), "all that waited has come by then");
  }

  /**
   * Reading in turns is not a pause: what comes meanwhile is kept, as old as it is, and waits for
   * what came before it.
   */
  @Test
  void whatComesBehindALongPieceIsAsOldAsItsOwnComing() throws Exception {
    PaperNet net = PaperNet.front();
    net.step = Span.ofMillis(1);
    Line many = net.viewers();
    many.comes(many(100, 160, 20_000));
    assertFalse(many.paused);
    many.comes(many(500, 501, 100));
    many.comes(many(501, 502, 3000));
    net.pass(Span.ofSeconds(2));
    assertFalse(net.setUps.contains(500L), "its viewer had gone when its turn came");
    assertTrue(net.setUps.contains(501L), "its viewer had not");
  }

  /** A piece that ends one message and begins others is not as old as that one's beginning. */
  @Test
  void whatFollowsAMessageInPiecesIsAsOldAsItsOwnPiece() throws Exception {
    PaperNet net = PaperNet.front();
    Line line = net.viewers();
    byte[] two = many(20, 22, 800);
    line.comes(java.util.Arrays.copyOf(two, 30));
    net.pass(Span.ofSeconds(1));
    line.comes(java.util.Arrays.copyOfRange(two, 30, two.length));
    net.pass(Span.ofMillis(200));
    assertTrue(net.setUps.contains(21L) && !net.setUps.contains(20L), net.setUps.toString());
  }

  @Test
  void aConnectionTakenAfterAStandStillHasLainAsLong() throws Exception {
    PaperNet net = PaperNet.front();
    net.pass(Span.ofSeconds(1));
    net.standsStill(Span.ofMillis(900));
    Line late = net.viewers(); // taken in the turn after the stand-still, and read some beats later
    net.pass(Span.ofMillis(70));
    late.comes(PlatformViewers.setUp(9, "lesson", 800, ""));
    net.settle();
    assertEquals(List.of(BLOCKED), late.types, "its viewer may have gone");
    net.pass(Span.ofSeconds(1));
    Line soon = net.viewers();
    soon.comes(PlatformViewers.setUp(10, "lesson", 800, ""));
    net.pass(Span.ofMillis(200));
    assertEquals(List.of(10L), net.setUps.stream().distinct().toList());
  }

  /** A front with one box, on which a viewing plays, and a second connection to it. */
  private static String twoConnections(PaperNet net) throws Exception {
    String at = net.setUpOut();
    net.gone(at.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    Line first = net.box(at);
    Line viewers = net.viewers();
    viewers.comes(PlatformViewers.setUp(8, "lesson", 2000, ""));
    net.pass(Span.ofMillis(100));
    assertEquals(2, net.opened(at), "the first has a set-up open");
    first.comes(started(7));
    net.box(at).comes(started(8));
    net.pass(Span.ofMillis(10));
    viewers.comes(PlatformViewers.message(12, 8, 61, new byte[] {16}));
    net.done.clear();
    return at;
  }

  private static String started(long id) {
    return "{\"verb\":\"STARTED\",\"tag\":\""
        + String.format("%016x", id)
        + "\",\"opts\":{},\"blob\":\"b\"}";
  }

  @Test
  void aSpareConnectionThatRestsIsClosedAndNotReplaced() throws Exception {
    PaperNet net = PaperNet.front();
    String at = twoConnections(net);
    net.pass(Span.ofMillis(4900));
    assertEquals(1, net.done.stream().filter(("close " + at)::equals).count(), net.done.toString());
    assertEquals(2, net.opened(at));
  }

  @Test
  void aSpareConnectionStaysWhileAViewingWithoutOneOfItsOwnStandsThere() throws Exception {
    PaperNet net = PaperNet.front();
    String at = twoConnections(net);
    net.viewers()
        .comes(
            PlatformViewers.setUp(9, "lesson", 0, ";at:s-0000000" + (at.endsWith(":3") ? 1 : 2)));
    net.pass(Span.ofMillis(4900));
    assertFalse(net.done.contains("close " + at), "its end may come on either");
  }

  private static int sentOfTen(PaperNet net) {
    net.setUps.clear();
    Line viewers = net.viewers();
    for (int id = 40; id < 50; id++) {
      viewers.comes(PlatformViewers.setUp(id, "lesson", 2000, ""));
      net.pass(Span.ofMillis(100));
      long out = net.setUps.isEmpty() ? 0 : net.setUps.get(net.setUps.size() - 1);
      List.copyOf(net.lines).stream()
          .skip(1)
          .filter(l -> !l.over)
          .forEach(l -> l.comes(started(out)));
    }
    return (int) net.setUps.stream().distinct().count();
  }

  /**
   * One box, its second connection silent with a set-up out; what else happens decides what that
   * means.
   */
  private static PaperNet unanswered(boolean heard, boolean heldUp) throws Exception {
    PaperNet net = PaperNet.front();
    String at = twoConnections(net);
    net.boxesAnswerTests = false;
    net.viewers().comes(PlatformViewers.setUp(11, "lesson", 350, ""));
    net.pass(Span.ofMillis(100));
    assertTrue(net.setUps.contains(11L), "sent once its tests had gone unanswered for a while");
    if (heldUp) {
      net.standsStill(Span.ofMillis(600));
    }
    net.pass(Span.ofMillis(10));
    if (heard) {
      net.lines.stream()
          .filter(l -> l.to.equals(at))
          .forEach(
              l ->
                  l.comes(
                      "{\"verb\":\"NOTICE\",\"tag\":\""
                          + "0".repeat(15)
                          + "7\",\"opts\":{\"note\":\"got\",\"value\":1}}"));
    }
    net.pass(Span.ofMillis(400));
    net.boxesAnswerTests = true;
    return net;
  }

  @Test
  void onlyABoxFromWhichNothingCameIsHeldToAColdPace() throws Exception {
    assertTrue(sentOfTen(unanswered(false, false)) < 10, "it may have started anew");
    assertEquals(10, sentOfTen(unanswered(true, false)), "heard meanwhile");
    assertEquals(10, sentOfTen(unanswered(false, true)), "the front stood still");
  }
}
