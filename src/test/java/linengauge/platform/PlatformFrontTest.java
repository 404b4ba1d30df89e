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
  private static final int RELEASED = 12;

  /**
   * A set-up is out until its connection is closed: made elsewhere before, it would be a second
   * one.
   */
  @Test
  void theConnectionToARemovedServerIsClosedBeforeItsSetUpsAreRetried() throws Exception {
    FakeNet net = FakeNet.front();
    String address = net.sendFirstSetUp();
    net.removeServer(address);
    net.assertRetriedOnlyAfter("close " + address);
  }

  @Test
  void aLateAnswerIsEndedBeforeTheNextSetUpIsSent() throws Exception {
    FakeNet net = FakeNet.front();
    String address = net.sendFirstSetUp();
    net.stall(Span.ofMillis(600));
    net.answerSetUp(address, 7);
    net.advance(Span.ofMillis(60)); // it reads on before it sends
    net.assertRetriedOnlyAfter("end " + address);
  }

  @Test
  void aConnectionWithMalformedDataIsClosedBeforeItsSetUpsAreRetried() throws Exception {
    FakeNet net = FakeNet.front();
    String address = net.sendFirstSetUp();
    net.latestConnection(address).deliver("no such thing");
    net.advance(Span.ofMillis(1));
    net.assertRetriedOnlyAfter("close " + address);
  }

  @Test
  void aServerThatRefusesConnectionsIsNotLostWhileOneIsUp() throws Exception {
    FakeNet net = FakeNet.front();
    String address = net.sendFirstSetUp();
    net.answerSetUp(address, 7);
    net.refusing.add(address);
    net.serversAnswerTests = false;
    net.advance(Span.ofMillis(6000)); // tested in its silence, then a connection is tried
    assertFalse(net.logLines.contains("server lost"), net.logLines.toString());
    net.latestConnection(address).closeByPeer();
    net.advance(Span.ofMillis(500));
    assertTrue(net.logLines.contains("server lost"), "nothing else is up, and nothing listens");
  }

  @Test
  void aSilentServerIsTestedOnItsExistingConnection() throws Exception {
    FakeNet net = FakeNet.front();
    String address = net.sendFirstSetUp();
    net.answerSetUp(address, 7);
    long before = net.connectionCount(address);
    for (int i = 0; i < 4; i++) {
      net.actions.clear();
      net.advance(Span.ofMillis(5300));
      assertEquals(
          1,
          net.actions.stream().filter(("test " + address)::equals).count(),
          net.actions.toString());
    }
    assertEquals(
        before, net.connectionCount(address), "no connection for silence that a test has broken");
  }

  private static byte[] setUps(int from, int to, long timeLeftMs) {
    var all = new ByteArrayOutputStream();
    for (int id = from; id < to; id++) {
      all.writeBytes(PlatformViewers.setUp(id, "lesson", timeLeftMs, ""));
    }
    return all.toByteArray();
  }

  /** A piece of hundreds made everybody wait for all of it. */
  @Test
  void aLargeChunkIsReadInTurnsInterleavedWithOtherClients() throws Exception {
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    FakeConnection many = net.acceptClient();
    FakeConnection one = net.acceptClient();
    long begun = net.now().micros();
    many.deliver(setUps(100, 300, 20_000));
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
  void setUpsUnreadPastTheirDeadlineAreRejectedAndNotSent() throws Exception {
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    FakeConnection many = net.acceptClient();
    many.deliver(setUps(100, 300, 400));
    net.advance(Span.ofSeconds(3));
    assertEquals(200, many.messageTypes.size());
    assertTrue(
        net.setUpIds.contains(100L) && !net.setUpIds.contains(299L),
        "the last was read when its viewer had gone");
    assertTrue(net.setUpIds.stream().distinct().count() < 150, net.setUpIds.toString());
  }

  @Test
  void dataOnAPausedConnectionMayHaveWaitedSinceThePause() throws Exception {
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
    many.deliver(setUps(500, 501, paused * 7 / 6));
    net.advance(Span.ofMillis(3 * paused));
    assertFalse(net.setUpIds.contains(500L), "it may have been sent as the connection was paused");
    many.deliver(setUps(502, 503, 250));
    net.advance(Span.ofMillis(200));
    assertTrue(net.setUpIds.contains(502L), "all that waited has come by then");
  }

  /**
   * Reading in turns is not a pause: what comes meanwhile is kept, as old as it is, and waits for
   * what came before it.
   */
  @Test
  void dataBehindALargeChunkIsAsOldAsItsOwnArrival() throws Exception {
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    FakeConnection many = net.acceptClient();
    many.deliver(setUps(100, 160, 20_000));
    assertFalse(many.paused);
    many.deliver(setUps(500, 501, 100));
    many.deliver(setUps(501, 502, 3000));
    net.advance(Span.ofSeconds(2));
    assertFalse(net.setUpIds.contains(500L), "its viewer had gone when its turn came");
    assertTrue(net.setUpIds.contains(501L), "its viewer had not");
  }

  /** A piece that ends one message and begins others is not as old as that one's beginning. */
  @Test
  void aMessageBehindASplitOneIsAsOldAsItsOwnChunk() throws Exception {
    FakeNet net = FakeNet.front();
    FakeConnection line = net.acceptClient();
    byte[] two = setUps(20, 22, 800);
    line.deliver(java.util.Arrays.copyOf(two, 30));
    net.advance(Span.ofSeconds(1));
    line.deliver(java.util.Arrays.copyOfRange(two, 30, two.length));
    net.advance(Span.ofMillis(200));
    assertTrue(net.setUpIds.contains(21L) && !net.setUpIds.contains(20L), net.setUpIds.toString());
  }

  @Test
  void aConnectionAcceptedAfterAStallMayHaveWaitedAsLong() throws Exception {
    FakeNet net = FakeNet.front();
    net.advance(Span.ofSeconds(1));
    net.stall(Span.ofMillis(900));
    FakeConnection late =
        net.acceptClient(); // taken in the turn after the stand-still, and read some beats later
    net.advance(Span.ofMillis(70));
    late.deliver(PlatformViewers.setUp(9, "lesson", 800, ""));
    net.runDeferred();
    assertEquals(List.of(RELEASED), late.messageTypes, "its viewer may have gone");
    net.advance(Span.ofSeconds(1));
    FakeConnection soon = net.acceptClient();
    soon.deliver(PlatformViewers.setUp(10, "lesson", 800, ""));
    net.advance(Span.ofMillis(200));
    assertEquals(List.of(10L), net.setUpIds.stream().distinct().toList());
  }

  /** A front with one box, on which a viewing plays, and a second connection to it. */
  private static String openTwoConnections(FakeNet net) throws Exception {
    String address = net.sendFirstSetUp();
    net.removeServer(address.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    FakeConnection first = net.latestConnection(address);
    FakeConnection client = net.acceptClient();
    client.deliver(PlatformViewers.setUp(8, "lesson", 2000, ""));
    net.advance(Span.ofMillis(100));
    assertEquals(2, net.connectionCount(address), "the first has a set-up open");
    first.deliver(startedLine(7));
    net.latestConnection(address).deliver(startedLine(8));
    net.advance(Span.ofMillis(10));
    client.deliver(PlatformViewers.message(12, 8, 61, new byte[] {16}));
    net.actions.clear();
    return address;
  }

  private static String startedLine(long id) {
    return "{\"verb\":\"STARTED\",\"tag\":\""
        + String.format("%016x", id)
        + "\",\"opts\":{},\"blob\":\"b\"}";
  }

  @Test
  void anIdleSpareConnectionIsClosedAndNotReplaced() throws Exception {
    FakeNet net = FakeNet.front();
    String address = openTwoConnections(net);
    net.advance(Span.ofMillis(4900));
    assertEquals(
        1,
        net.actions.stream().filter(("close " + address)::equals).count(),
        net.actions.toString());
    assertEquals(2, net.connectionCount(address));
  }

  @Test
  void aSpareConnectionStaysWhileASessionHasNoConnectionOfItsOwn() throws Exception {
    FakeNet net = FakeNet.front();
    String address = openTwoConnections(net);
    net.acceptClient()
        .deliver(
            PlatformViewers.setUp(
                9, "lesson", 0, ";at:s-0000000" + (address.endsWith(":3") ? 1 : 2)));
    net.advance(Span.ofMillis(4900));
    assertFalse(net.actions.contains("close " + address), "its end may come on either");
  }

  private static int countSentOfTen(FakeNet net) {
    net.setUpIds.clear();
    FakeConnection client = net.acceptClient();
    for (int id = 40; id < 50; id++) {
      client.deliver(PlatformViewers.setUp(id, "lesson", 2000, ""));
      net.advance(Span.ofMillis(100));
      long out = net.setUpIds.isEmpty() ? 0 : net.setUpIds.get(net.setUpIds.size() - 1);
      List.copyOf(net.serverConnections).stream()
          .skip(1)
          .filter(connection -> !connection.closed)
          .forEach(connection -> connection.deliver(startedLine(out)));
    }
    return (int) net.setUpIds.stream().distinct().count();
  }

  /**
   * One box, its second connection silent with a set-up out; what else happens decides what that
   * means.
   */
  private static FakeNet frontWithUnansweredSetUp(boolean received, boolean stalled)
      throws Exception {
    FakeNet net = FakeNet.front();
    String address = openTwoConnections(net);
    net.serversAnswerTests = false;
    net.acceptClient().deliver(PlatformViewers.setUp(11, "lesson", 350, ""));
    net.advance(Span.ofMillis(100));
    assertTrue(net.setUpIds.contains(11L), "sent once its tests had gone unanswered for a while");
    if (stalled) {
      net.stall(Span.ofMillis(600));
    }
    net.advance(Span.ofMillis(10));
    if (received) {
      net.serverConnections.stream()
          .filter(connection -> connection.address.equals(address))
          .forEach(
              connection ->
                  connection.deliver(
                      "{\"verb\":\"NOTICE\",\"tag\":\""
                          + "0".repeat(15)
                          + "7\",\"opts\":{\"note\":\"got\",\"value\":1}}"));
    }
    net.advance(Span.ofMillis(400));
    net.serversAnswerTests = true;
    return net;
  }

  @Test
  void onlyAServerThatSentNothingIsTreatedAsCold() throws Exception {
    assertTrue(
        countSentOfTen(frontWithUnansweredSetUp(false, false)) < 10, "it may have started anew");
    assertEquals(10, countSentOfTen(frontWithUnansweredSetUp(true, false)), "heard meanwhile");
    assertEquals(
        10, countSentOfTen(frontWithUnansweredSetUp(false, true)), "the front stood still");
  }
}
