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

/** What a front writes and closes, in which order and when. */
class PlatformFrontTest {
  private static final int RELEASED = 12;

  /**
   * A set-up is outstanding until its connection is closed: with a retry elsewhere before that, two
   * would be outstanding at once.
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
    net.advance(Span.ofMillis(60)); // It continues to read before it sends.
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
    // The silent server is tested, then a connection is attempted.
    net.advance(Span.ofMillis(6000));
    assertFalse(net.logLines.contains("server lost"), net.logLines.toString());
    net.latestConnection(address).closeByPeer();
    net.advance(Span.ofMillis(500));
    assertTrue(
        net.logLines.contains("server lost"), "no other connection is up, and nothing listens");
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
        before,
        net.connectionCount(address),
        "an answered test ends the silence, so no connection is opened");
  }

  private static byte[] setUps(int from, int to, long timeLeftMs) {
    var all = new ByteArrayOutputStream();
    for (int id = from; id < to; id++) {
      all.writeBytes(PlatformViewers.setUp(id, "lesson", timeLeftMs, ""));
    }
    return all.toByteArray();
  }

  /** Guards against a large chunk that delays all other clients until it has been processed. */
  @Test
  void aLargeChunkIsReadInTurnsInterleavedWithOtherClients() throws Exception {
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    FakeConnection sender = net.acceptClient();
    FakeConnection other = net.acceptClient();
    long beginMicros = net.now().micros();
    sender.deliver(setUps(100, 300, 20_000));
    long turnMicros = net.now().micros() - beginMicros;
    assertTrue(turnMicros < 25_000, turnMicros + " us in one turn");
    assertFalse(sender.paused, "its end would not be noticed");
    other.deliver(PlatformViewers.message(52, 1, 61, new byte[] {0}));
    assertEquals(List.of(53), other.messageTypes, "the test is answered in between");
    assertTrue(sender.messageTypes.size() < 100);
    net.advance(Span.ofSeconds(15));
    assertEquals(200, sender.messageTypes.size(), "each is answered in the end");
    assertFalse(sender.paused);
  }

  /**
   * Time unread counts towards the limit: while a large chunk is processed, and on a connection
   * that was paused for it.
   */
  @Test
  void setUpsUnreadPastTheirDeadlineAreRejectedAndNotSent() throws Exception {
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    FakeConnection sender = net.acceptClient();
    sender.deliver(setUps(100, 300, 400));
    net.advance(Span.ofSeconds(3));
    assertEquals(200, sender.messageTypes.size());
    assertTrue(
        net.setUpIds.contains(100L) && !net.setUpIds.contains(299L),
        "the last one was read after its client had left");
    assertTrue(net.setUpIds.stream().distinct().count() < 150, net.setUpIds.toString());
  }

  @Test
  void dataOnAPausedConnectionMayHaveWaitedSinceThePause() throws Exception {
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    FakeConnection sender = net.acceptClient();
    sender.deliver(PlatformViewers.message(52, 1, 61, new byte[] {0}));
    var ends = new ByteArrayOutputStream();
    for (int id = 1000; ends.size() < 40 * 1024; id++) {
      ends.writeBytes(PlatformViewers.message(12, id, 61, new byte[] {16}));
    }
    long pausedAtMicros = net.now().micros();
    sender.deliver(ends.toByteArray());
    assertTrue(sender.paused);
    for (int i = 0; i < 2000 && sender.paused; i++) {
      net.advance(Span.ofMillis(5));
    }
    assertFalse(sender.paused);
    // More than 24 KB have been read; 16 KB are pending.
    long pausedMs = (net.now().micros() - pausedAtMicros) / 1000;
    sender.deliver(setUps(500, 501, pausedMs * 7 / 6));
    net.advance(Span.ofMillis(3 * pausedMs));
    assertFalse(net.setUpIds.contains(500L), "it may have been sent as the connection was paused");
    sender.deliver(setUps(502, 503, 250));
    net.advance(Span.ofMillis(200));
    assertTrue(net.setUpIds.contains(502L), "all data that waited has arrived by then");
  }

  /**
   * Reading over several turns is not a pause: data that arrives meanwhile is queued with its own
   * arrival time, and waits for what arrived before it.
   */
  @Test
  void dataBehindALargeChunkIsAsOldAsItsOwnArrival() throws Exception {
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    FakeConnection sender = net.acceptClient();
    sender.deliver(setUps(100, 160, 20_000));
    assertFalse(sender.paused);
    sender.deliver(setUps(500, 501, 100));
    sender.deliver(setUps(501, 502, 3000));
    net.advance(Span.ofSeconds(2));
    assertFalse(net.setUpIds.contains(500L), "its client had left when it was started");
    assertTrue(net.setUpIds.contains(501L), "its client was still waiting");
  }

  /**
   * Messages that begin in the chunk which completes an earlier one are not as old as the beginning
   * of that other.
   */
  @Test
  void aMessageBehindASplitOneIsAsOldAsItsOwnChunk() throws Exception {
    FakeNet net = FakeNet.front();
    FakeConnection client = net.acceptClient();
    byte[] twoSetUps = setUps(20, 22, 800);
    client.deliver(java.util.Arrays.copyOf(twoSetUps, 30));
    net.advance(Span.ofSeconds(1));
    client.deliver(java.util.Arrays.copyOfRange(twoSetUps, 30, twoSetUps.length));
    net.advance(Span.ofMillis(200));
    assertTrue(net.setUpIds.contains(21L) && !net.setUpIds.contains(20L), net.setUpIds.toString());
  }

  @Test
  void aConnectionAcceptedAfterAStallMayHaveWaitedAsLong() throws Exception {
    FakeNet net = FakeNet.front();
    net.advance(Span.ofSeconds(1));
    net.stall(Span.ofMillis(900));
    // Accepted in the turn after the stall, and read some ticks later.
    FakeConnection late = net.acceptClient();
    net.advance(Span.ofMillis(70));
    late.deliver(PlatformViewers.setUp(9, "lesson", 800, ""));
    net.runDeferred();
    assertEquals(List.of(RELEASED), late.messageTypes, "its client may have left");
    net.advance(Span.ofSeconds(1));
    FakeConnection soon = net.acceptClient();
    soon.deliver(PlatformViewers.setUp(10, "lesson", 800, ""));
    net.advance(Span.ofMillis(200));
    assertEquals(List.of(10L), net.setUpIds.stream().distinct().toList());
  }

  /** Leaves the front one server, with an established session and a second connection to it. */
  private static String openTwoConnections(FakeNet net) throws Exception {
    String address = net.sendFirstSetUp();
    net.removeServer(address.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    FakeConnection first = net.latestConnection(address);
    FakeConnection client = net.acceptClient();
    client.deliver(PlatformViewers.setUp(8, "lesson", 2000, ""));
    net.advance(Span.ofMillis(100));
    assertEquals(2, net.connectionCount(address), "the first connection has an outstanding set-up");
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
    assertFalse(
        net.actions.contains("close " + address),
        "the end of the session may arrive on either connection");
  }

  private static int countSentOfTen(FakeNet net) {
    net.setUpIds.clear();
    FakeConnection client = net.acceptClient();
    for (int id = 40; id < 50; id++) {
      client.deliver(PlatformViewers.setUp(id, "lesson", 2000, ""));
      net.advance(Span.ofMillis(100));
      long outstanding = net.setUpIds.isEmpty() ? 0 : net.setUpIds.get(net.setUpIds.size() - 1);
      List.copyOf(net.serverConnections).stream()
          .skip(1)
          .filter(connection -> !connection.closed)
          .forEach(connection -> connection.deliver(startedLine(outstanding)));
    }
    return (int) net.setUpIds.stream().distinct().count();
  }

  /**
   * One server whose second connection is silent with an outstanding set-up; the parameters
   * determine how the silence is to be interpreted.
   */
  private static FakeNet frontWithUnansweredSetUp(boolean received, boolean stalled)
      throws Exception {
    FakeNet net = FakeNet.front();
    String address = openTwoConnections(net);
    net.serversAnswerTests = false;
    net.acceptClient().deliver(PlatformViewers.setUp(11, "lesson", 350, ""));
    net.advance(Span.ofMillis(100));
    assertTrue(net.setUpIds.contains(11L), "sent once its tests had been unanswered for a while");
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
        countSentOfTen(frontWithUnansweredSetUp(false, false)) < 10, "it may have restarted");
    assertEquals(
        10, countSentOfTen(frontWithUnansweredSetUp(true, false)), "data was received meanwhile");
    assertEquals(10, countSentOfTen(frontWithUnansweredSetUp(false, true)), "the front stalled");
  }
}
