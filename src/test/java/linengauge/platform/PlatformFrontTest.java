package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.List;
import linengauge.Span;
import linengauge.platform.FakeNet.FakeConnection;
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
    FakeNet net = FakeNet.front();
    String at = net.sendFirstSetUp();
    net.removeServer(at);
    net.assertRetriedOnlyAfter("close " + at);
  }

  @Test
  void anAnswerThatCameTooLateIsTakenBackBeforeTheNextSetUpLeaves() throws Exception {
    FakeNet net = FakeNet.front();
    String at = net.sendFirstSetUp();
    net.stall(Span.ofMillis(600));
    net.answerSetUp(at, 7);
    net.advance(Span.ofMillis(60)); // it reads on before it sends
    net.assertRetriedOnlyAfter("end " + at);
  }

  @Test
  void aConnectionThatSaysWhatCannotBeReadIsClosedBeforeItsSetUpsAreMadeElsewhere()
      throws Exception {
    FakeNet net = FakeNet.front();
    String at = net.sendFirstSetUp();
    net.latestConnection(at).deliver("no such thing");
    net.advance(Span.ofMillis(1));
    net.assertRetriedOnlyAfter("close " + at);
  }

  @Test
  void aBoxWhoseTableIsFullIsNotTakenForDeadWhileAConnectionToItIsUp() throws Exception {
    FakeNet net = FakeNet.front();
    String at = net.sendFirstSetUp();
    net.answerSetUp(at, 7);
    net.refusing.add(at);
    net.serversAnswerTests = false;
    net.advance(Span.ofMillis(6000)); // tested in its silence, then a connection is tried
    assertFalse(net.logLines.contains("server lost"), net.logLines.toString());
    net.latestConnection(at).closeByPeer();
    net.advance(Span.ofMillis(500));
    assertTrue(net.logLines.contains("server lost"), "nothing else is up, and nothing listens");
  }

  @Test
  void aSilentBoxIsTestedOnTheConnectionThatItHas() throws Exception {
    FakeNet net = FakeNet.front();
    String at = net.sendFirstSetUp();
    net.answerSetUp(at, 7);
    long before = net.connectionCount(at);
    for (int i = 0; i < 4; i++) {
      net.actions.clear();
      net.advance(Span.ofMillis(5300));
      assertEquals(
          1, net.actions.stream().filter(("test " + at)::equals).count(), net.actions.toString());
    }
    assertEquals(
        before, net.connectionCount(at), "no connection for silence that a test has broken");
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
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    FakeConnection many = net.acceptClient();
    FakeConnection one = net.acceptClient();
    long begun = net.now().micros();
    many.deliver(many(100, 300, 20_000));
    long turn = net.now().micros() - begun;
    assertTrue(turn < 25_000, turn + " us in one turn");
    assertFalse(many.paused, "its end would not be seen");
    one.deliver(PlatformViewers.message(52, 1, 61, new byte[] {0}));
    assertEquals(List.of(53), one.messageTypes, "tested in between");
    assertTrue(many.messageTypes.size() < 100);
    net.advance(Span.ofSeconds(15));
    assertEquals(200, many.messageTypes.size(), "each is answered in the end");
    assertFalse(many.paused);
  }

  /**
   * Lying unread counts: while a long piece is read, and on a connection that was paused for it.
   */
  @Test
  void whatHasLainPastItsViewersPatienceIsTurnedAwayAndSentToNobody() throws Exception {
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    FakeConnection many = net.acceptClient();
    many.deliver(many(100, 300, 400));
    net.advance(Span.ofSeconds(3));
    assertEquals(200, many.messageTypes.size());
    assertTrue(
        net.setUpIds.contains(100L) && !net.setUpIds.contains(299L),
        "the last was read when its viewer had gone");
    assertTrue(net.setUpIds.stream().distinct().count() < 150, net.setUpIds.toString());
  }

  @Test
  void whatComesOnAPausedConnectionMayHaveLainSinceItWasPaused() throws Exception {
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    FakeConnection many = net.acceptClient();
    many.deliver(PlatformViewers.message(52, 1, 61, new byte[] {0}));
    var ends = new ByteArrayOutputStream();
    for (int id = 1000; ends.size() < 40 * 1024; id++) {
      ends.writeBytes(PlatformViewers.message(12, id, 61, new byte[] {16}));
    }
    long pausedAt = net.now().micros();
    many.deliver(ends.toByteArray());
    assertTrue(many.paused);
    for (int i = 0; i < 2000 && many.paused; i++) {
      net.advance(Span.ofMillis(5));
    }
    assertFalse(many.paused);
    long paused =
        (net.now().micros() - pausedAt) / 1000; // over 24 KB of them; 16 KB are still to be read
    many.deliver(many(500, 501, paused * 7 / 6));
    net.advance(Span.ofMillis(3 * paused));
    assertFalse(net.setUpIds.contains(500L), "it may have been sent as the connection was paused");
    many.deliver(many(502, 503, 250));
    net.advance(Span.ofMillis(200));
    assertTrue(net.setUpIds.contains(502L), "all that waited has come by then");
  }

  /**
   * Reading in turns is not a pause: what comes meanwhile is kept, as old as it is, and waits for
   * what came before it.
   */
  @Test
  void whatComesBehindALongPieceIsAsOldAsItsOwnComing() throws Exception {
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    FakeConnection many = net.acceptClient();
    many.deliver(many(100, 160, 20_000));
    assertFalse(many.paused);
    many.deliver(many(500, 501, 100));
    many.deliver(many(501, 502, 3000));
    net.advance(Span.ofSeconds(2));
    assertFalse(net.setUpIds.contains(500L), "its viewer had gone when its turn came");
    assertTrue(net.setUpIds.contains(501L), "its viewer had not");
  }

  /** A piece that ends one message and begins others is not as old as that one's beginning. */
  @Test
  void whatFollowsAMessageInPiecesIsAsOldAsItsOwnPiece() throws Exception {
    FakeNet net = FakeNet.front();
    FakeConnection line = net.acceptClient();
    byte[] two = many(20, 22, 800);
    line.deliver(java.util.Arrays.copyOf(two, 30));
    net.advance(Span.ofSeconds(1));
    line.deliver(java.util.Arrays.copyOfRange(two, 30, two.length));
    net.advance(Span.ofMillis(200));
    assertTrue(net.setUpIds.contains(21L) && !net.setUpIds.contains(20L), net.setUpIds.toString());
  }

  @Test
  void aConnectionTakenAfterAStandStillHasLainAsLong() throws Exception {
    FakeNet net = FakeNet.front();
    net.advance(Span.ofSeconds(1));
    net.stall(Span.ofMillis(900));
    FakeConnection late =
        net.acceptClient(); // taken in the turn after the stand-still, and read some beats later
    net.advance(Span.ofMillis(70));
    late.deliver(PlatformViewers.setUp(9, "lesson", 800, ""));
    net.runDeferred();
    assertEquals(List.of(BLOCKED), late.messageTypes, "its viewer may have gone");
    net.advance(Span.ofSeconds(1));
    FakeConnection soon = net.acceptClient();
    soon.deliver(PlatformViewers.setUp(10, "lesson", 800, ""));
    net.advance(Span.ofMillis(200));
    assertEquals(List.of(10L), net.setUpIds.stream().distinct().toList());
  }

  /** A front with one box, on which a viewing plays, and a second connection to it. */
  private static String twoConnections(FakeNet net) throws Exception {
    String at = net.sendFirstSetUp();
    net.removeServer(at.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    FakeConnection first = net.latestConnection(at);
    FakeConnection viewers = net.acceptClient();
    viewers.deliver(PlatformViewers.setUp(8, "lesson", 2000, ""));
    net.advance(Span.ofMillis(100));
    assertEquals(2, net.connectionCount(at), "the first has a set-up open");
    first.deliver(started(7));
    net.latestConnection(at).deliver(started(8));
    net.advance(Span.ofMillis(10));
    viewers.deliver(PlatformViewers.message(12, 8, 61, new byte[] {16}));
    net.actions.clear();
    return at;
  }

  private static String started(long id) {
    return "{\"verb\":\"STARTED\",\"tag\":\""
        + String.format("%016x", id)
        + "\",\"opts\":{},\"blob\":\"b\"}";
  }

  @Test
  void aSpareConnectionThatRestsIsClosedAndNotReplaced() throws Exception {
    FakeNet net = FakeNet.front();
    String at = twoConnections(net);
    net.advance(Span.ofMillis(4900));
    assertEquals(
        1, net.actions.stream().filter(("close " + at)::equals).count(), net.actions.toString());
    assertEquals(2, net.connectionCount(at));
  }

  @Test
  void aSpareConnectionStaysWhileAViewingWithoutOneOfItsOwnStandsThere() throws Exception {
    FakeNet net = FakeNet.front();
    String at = twoConnections(net);
    net.acceptClient()
        .deliver(
            PlatformViewers.setUp(9, "lesson", 0, ";at:s-0000000" + (at.endsWith(":3") ? 1 : 2)));
    net.advance(Span.ofMillis(4900));
    assertFalse(net.actions.contains("close " + at), "its end may come on either");
  }

  private static int sentOfTen(FakeNet net) {
    net.setUpIds.clear();
    FakeConnection viewers = net.acceptClient();
    for (int id = 40; id < 50; id++) {
      viewers.deliver(PlatformViewers.setUp(id, "lesson", 2000, ""));
      net.advance(Span.ofMillis(100));
      long out = net.setUpIds.isEmpty() ? 0 : net.setUpIds.get(net.setUpIds.size() - 1);
      List.copyOf(net.serverConnections).stream()
          .skip(1)
          .filter(l -> !l.closed)
          .forEach(l -> l.deliver(started(out)));
    }
    return (int) net.setUpIds.stream().distinct().count();
  }

  /**
   * One box, its second connection silent with a set-up out; what else happens decides what that
   * means.
   */
  private static FakeNet unanswered(boolean heard, boolean heldUp) throws Exception {
    FakeNet net = FakeNet.front();
    String at = twoConnections(net);
    net.serversAnswerTests = false;
    net.acceptClient().deliver(PlatformViewers.setUp(11, "lesson", 350, ""));
    net.advance(Span.ofMillis(100));
    assertTrue(net.setUpIds.contains(11L), "sent once its tests had gone unanswered for a while");
    if (heldUp) {
      net.stall(Span.ofMillis(600));
    }
    net.advance(Span.ofMillis(10));
    if (heard) {
      net.serverConnections.stream()
          .filter(l -> l.address.equals(at))
          .forEach(
              l ->
                  l.deliver(
                      "{\"verb\":\"NOTICE\",\"tag\":\""
                          + "0".repeat(15)
                          + "7\",\"opts\":{\"note\":\"got\",\"value\":1}}"));
    }
    net.advance(Span.ofMillis(400));
    net.serversAnswerTests = true;
    return net;
  }

  @Test
  void onlyABoxFromWhichNothingCameIsHeldToAColdPace() throws Exception {
    assertTrue(sentOfTen(unanswered(false, false)) < 10, "it may have started anew");
    assertEquals(10, sentOfTen(unanswered(true, false)), "heard meanwhile");
    assertEquals(10, sentOfTen(unanswered(false, true)), "the front stood still");
  }
}
