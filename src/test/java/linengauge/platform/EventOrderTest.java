package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.FakeNet.FakeConnection;
import linengauge.standin.PlatformJournal;
import linengauge.standin.PlatformViewers;
import org.junit.jupiter.api.Test;

/**
 * Pairs of concurrent events in every order, in the same turn of the event loop and in successive
 * ones (docs/design/crossings.md).
 */
class EventOrderTest {
  private static final byte[] TEST = PlatformViewers.message(52, 1, 61, new byte[] {0});

  private static byte[] setUp(long id) {
    return PlatformViewers.setUp(id, "lesson", 2000, "");
  }

  private static byte[] end(long id) {
    return PlatformViewers.message(12, id, 61, new byte[] {16});
  }

  private static byte[] concatenate(byte[]... parts) {
    var joined = new ByteArrayOutputStream();
    for (byte[] part : parts) {
      joined.writeBytes(part);
    }
    return joined.toByteArray();
  }

  private static byte[] setUps(int from, int to) {
    var all = new ByteArrayOutputStream();
    for (int id = from; id < to; id++) {
      all.writeBytes(setUp(id));
    }
    return all.toByteArray();
  }

  private static String tag(long id) {
    return String.format("%016x", id);
  }

  private static String finishLine(long id, int cause) {
    return "{\"verb\":\"FINISH\",\"tag\":\"" + tag(id) + "\",\"opts\":{},\"rc\":" + cause + "}";
  }

  private static String rungNote(long id) {
    return String.format(
        "{\"verb\":\"NOTICE\",\"tag\":\"%016x\",\"opts\":{\"note\":\"level\",\"value\":\"1\"}}",
        id);
  }

  private static byte[] handOver(long id, String address) {
    return PlatformViewers.setUp(
        id, "lesson", 0, ";at:s-0000000" + (address.endsWith(":3") ? 1 : 2));
  }

  private static int countActions(FakeNet net, String action) {
    return (int) net.actions.stream().filter(action::equals).count();
  }

  /** Establishes a session on a client connection of its own and returns that connection. */
  private static FakeConnection startSession(FakeNet net, long id) {
    FakeConnection client = net.acceptClient();
    client.deliver(setUp(id));
    net.runDeferred();
    String address =
        net.actions.stream()
            .filter(action -> action.startsWith("set-up"))
            .reduce((first, second) -> second)
            .orElseThrow();
    net.answerSetUp(address.substring("set-up ".length()), id);
    assertTrue(client.messageTypes.contains(9));
    return client;
  }

  private static String addressOfLastSetUp(FakeNet net) {
    return net.actions.stream()
        .filter(action -> action.startsWith("set-up"))
        .reduce((first, second) -> second)
        .orElseThrow()
        .substring("set-up ".length());
  }

  private static void assertNotSent(FakeNet net, long id) {
    net.advance(Span.ofMillis(700));
    assertFalse(net.setUpIds.contains(id), "set up although its client has left: " + net.actions);
  }

  /**
   * A front that can send as soon as it has read: its only server needs no probe, and a connection
   * is up.
   */
  private static FakeNet frontWithOneServer() throws Exception {
    FakeNet net = FakeNet.front(text -> text.replace("\"probing\":true", "\"probing\":false"));
    startSession(net, 6);
    net.removeServer(addressOfLastSetUp(net).endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    net.setUpIds.clear();
    return net;
  }

  @Test
  void anUndisturbedSetUpIsSent() throws Exception {
    FakeNet net = frontWithOneServer();
    net.acceptClient().deliver(setUp(7));
    net.runDeferred();
    assertEquals(List.of(7L), net.setUpIds);
  }

  /* ---- a client leaves while its set-up is starting ---- */

  @Test
  void aSetUpWithItsEndInOneChunkIsNotSent() throws Exception {
    FakeNet net = frontWithOneServer();
    net.acceptClient().deliver(concatenate(setUp(7), end(7)));
    assertNotSent(net, 7);
  }

  @Test
  void aSetUpWithItsEndInOneTurnIsNotSent() throws Exception {
    FakeNet net = frontWithOneServer();
    FakeConnection client = net.acceptClient();
    client.deliver(setUp(7));
    client.deliver(end(7));
    assertNotSent(net, 7);
  }

  @Test
  void aSetUpWhoseConnectionClosesInTheSameTurnIsNotSent() throws Exception {
    FakeNet net = frontWithOneServer();
    FakeConnection client = net.acceptClient();
    client.deliver(setUp(7));
    client.closeByPeer();
    assertNotSent(net, 7);
  }

  @Test
  void aSetUpEndedOnAnotherConnectionInTheSameTurnIsNotSent() throws Exception {
    FakeNet net = frontWithOneServer();
    net.acceptClient().deliver(setUp(7));
    net.acceptClient().deliver(end(7));
    assertNotSent(net, 7);
  }

  @Test
  void anEndBehindAHundredSetUpsIsProcessedBeforeTheyStart() throws Exception {
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    net.acceptClient().deliver(concatenate(setUps(100, 200), end(199)));
    assertNotSent(net, 199);
    assertTrue(net.setUpIds.contains(100L));
  }

  /**
   * Decoding so many set-ups takes more than one turn; none is started before all data has been
   * decoded.
   */
  @Test
  void anEndDecodedTurnsLaterIsProcessedBeforeItsSetUpStarts() throws Exception {
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    net.acceptClient().deliver(concatenate(setUps(100, 350), end(100)));
    assertNotSent(net, 100);
    assertTrue(net.setUpIds.contains(101L));
  }

  @Test
  void excessSetUpsAreRejectedAtOnceAndTheCloseIsStillNoticed() throws Exception {
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    FakeConnection sender = net.acceptClient();
    sender.deliver(setUps(1000, 1500));
    net.advance(Span.ofMillis(50));
    assertFalse(sender.paused, "the end would not be noticed");
    assertTrue(
        sender.messageTypes.size() > 50,
        "set-ups beyond the limit are rejected at once: " + sender.messageTypes.size());
    sender.closeByPeer();
    int sent = net.setUpIds.size();
    net.advance(Span.ofSeconds(3));
    assertEquals(sent, net.setUpIds.size(), "waiting set-ups left with their client");
  }

  /** The server refuses while the loop is stalled, and the client's end is still in the kernel. */
  @Test
  void aRetryAfterAStallWaitsUntilTheLoopHasRead() throws Exception {
    FakeNet net = FakeNet.front();
    FakeConnection client = net.acceptClient();
    client.deliver(setUp(7));
    net.runDeferred();
    String address = addressOfLastSetUp(net);
    net.setUpIds.clear();
    net.stall(Span.ofMillis(400));
    net.latestConnection(address).deliver(finishLine(7, 34));
    net.runDeferred();
    assertEquals(List.of(), net.setUpIds, "its client may have left in the meantime");
    client.deliver(end(7));
    assertNotSent(net, 7);
  }

  @Test
  void aRetryAfterAStallIsSentOnceTheLoopHasRead() throws Exception {
    FakeNet net = FakeNet.front();
    FakeConnection client = net.acceptClient();
    client.deliver(setUp(7));
    net.runDeferred();
    String address = addressOfLastSetUp(net);
    net.setUpIds.clear();
    net.stall(Span.ofMillis(400));
    net.latestConnection(address).deliver(finishLine(7, 34));
    net.advance(Span.ofMillis(10));
    assertEquals(List.of(7L), net.setUpIds, "within some turns rather than ticks");
  }

  /**
   * Guards against a long turn caused by hundreds of tasks that wait for the loop to read: whatever
   * arrives next would wait again.
   */
  @Test
  void tasksThatWaitForReadsRunInSlicesOfATurn() throws Exception {
    FakeNet net = FakeNet.front();
    net.advance(Span.ofMillis(500));
    net.stall(Span.ofMillis(400));
    net.clockStep = Span.ofMillis(1);
    List<Moment> ran = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      net.front.runOnceCaughtUp(() -> ran.add(net.now()));
    }
    assertEquals(0, ran.size());
    long longest = 0;
    for (int i = 0; i < 400 && ran.size() < 100; i++) {
      int before = ran.size();
      net.runNextTimer();
      longest = Math.max(longest, ran.size() - before);
    }
    assertEquals(100, ran.size());
    assertTrue(longest < 15, longest + " in one turn");
  }

  /** Tasks that wait for the loop to read wait two ticks at most, however long each turn is. */
  @Test
  void aFrontWhoseEveryTurnIsLongStillSends() throws Exception {
    FakeNet net = FakeNet.front();
    net.acceptClient().deliver(setUp(7));
    for (int i = 0; i < 6 && net.setUpIds.isEmpty(); i++) {
      net.stall(Span.ofMillis(120));
      net.advance(Span.ofMillis(1));
    }
    assertEquals(List.of(7L), net.setUpIds);
  }

  @Test
  void aConnectionThatComesUpAsItsClientLeavesSendsNothing() throws Exception {
    for (boolean endFirst : new boolean[] {true, false}) {
      FakeNet net = FakeNet.front();
      net.connectsHang = true;
      FakeConnection client = net.acceptClient();
      client.deliver(setUp(7));
      net.advance(Span.ofMillis(100));
      if (endFirst) {
        client.deliver(end(7));
        net.completeConnects();
      } else {
        net.completeConnects();
        client.deliver(end(7));
      }
      assertNotSent(net, 7);
      assertEquals(
          0,
          net.actions.stream().filter(action -> action.startsWith("end")).count(),
          "no end is written for a set-up that was never sent");
    }
  }

  /**
   * The server is selected and sending deferred to the end of the turn; the client leaves between.
   */
  @Test
  void anEndBetweenSelectionAndSendingSendsNothing() throws Exception {
    FakeNet net = frontWithOneServer();
    FakeConnection client = net.acceptClient();
    net.actions.clear();
    client.deliver(setUp(7));
    net.runFirstDeferred();
    client.deliver(end(7));
    net.advance(Span.ofMillis(300));
    assertEquals(
        List.of(),
        net.actions.stream()
            .filter(action -> action.startsWith("set-up") || action.startsWith("end"))
            .toList());
  }

  /**
   * A set-up made in a loop that is behind, between its connection coming up and the tasks deferred
   * by that, is queued to be sent twice: by itself and by these tasks. Only one may write it.
   */
  @Test
  void aSetUpMadeAsItsConnectionComesUpIsSentOnce() throws Exception {
    FakeNet net = FakeNet.front(text -> text.replace("\"probing\":true", "\"probing\":false"));
    net.removeServer("127.0.0.1:4");
    net.connectsHang = true;
    net.acceptClient().deliver(handOver(50, "127.0.0.1:3"));
    net.runDeferred();
    net.stall(Span.ofMillis(400));
    net.acceptClient().deliver(setUp(7));
    net.runFirstDeferred();
    net.completeConnects();
    net.advance(Span.ofMillis(200));
    assertEquals(List.of(7L), net.setUpIds);
  }

  /* ---- messages received before a close ---- */

  @Test
  void anEndReadBeforeItsConnectionClosedIsProcessedDespiteABacklog() throws Exception {
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    startSession(net, 7);
    String address = addressOfLastSetUp(net);
    net.actions.clear();
    FakeConnection other = net.acceptClient();
    other.deliver(concatenate(setUps(100, 350), end(7))); // More than is decoded in one turn.
    other.closeByPeer();
    net.advance(Span.ofMillis(100));
    assertEquals(
        1,
        countActions(net, "end " + address),
        "the server would continue an abandoned session: " + net.actions);
  }

  @Test
  void aSessionHandedOverBeforeItsConnectionClosedIsKept() throws Exception {
    for (boolean ended : new boolean[] {false, true}) {
      FakeNet net = FakeNet.front();
      net.clockStep = Span.ofMillis(1);
      FakeConnection client = net.acceptClient();
      var all = new ByteArrayOutputStream();
      for (long id = 300; id < 340; id++) {
        all.writeBytes(handOver(id, "127.0.0.1:3"));
      }
      client.deliver(ended ? concatenate(all.toByteArray(), end(339)) : all.toByteArray());
      client.closeByPeer();
      net.advance(Span.ofMillis(1500));
      if (ended) {
        assertEquals(1, countActions(net, "end 127.0.0.1:3"), "the end is sent to the server");
      }
      FakeConnection other = startSession(net, 7);
      net.latestConnection("127.0.0.1:3").deliver(finishLine(339, 16));
      net.advance(Span.ofMillis(100));
      assertEquals(
          !ended, other.releasedIds.contains(339L), "ended by its client before: " + ended);
    }
  }

  /* ---- releases and closes ---- */

  @Test
  void aReleaseConcurrentWithAConnectionCloseIsSentOnAnother() throws Exception {
    for (boolean acknowledged : new boolean[] {false, true}) {
      FakeNet net = FakeNet.front();
      FakeConnection client = startSession(net, 7);
      String address = addressOfLastSetUp(net);
      FakeConnection other = startSession(net, 8);
      net.latestConnection(address).deliver(finishLine(7, 16));
      net.runDeferred();
      assertEquals(List.of(7L), client.releasedIds);
      if (acknowledged) {
        client.deliver(PlatformViewers.message(16, 7));
      }
      client.closeByPeer();
      net.advance(Span.ofMillis(10));
      assertEquals(
          acknowledged ? List.of() : List.of(7L),
          other.releasedIds,
          "acknowledged: " + acknowledged);
    }
  }

  @Test
  void aReleaseWhoseConnectionIsFullIsSentOnTheNextOne() throws Exception {
    FakeNet net = FakeNet.front();
    FakeConnection client = startSession(net, 7);
    String address = addressOfLastSetUp(net);
    client.full = true;
    net.latestConnection(address).deliver(finishLine(7, 16));
    net.advance(Span.ofMillis(10));
    assertTrue(client.closed && client.releasedIds.isEmpty());
    FakeConnection full = net.acceptClient();
    full.full = true;
    full.deliver(handOver(50, "127.0.0.1:3"));
    net.advance(Span.ofMillis(10));
    FakeConnection next = startSession(net, 8);
    assertEquals(
        List.of(7L),
        next.releasedIds,
        "a release taken for a connection that turns out to be full is not lost");
  }

  /**
   * The maximum number of sessions is lost while no client is connected: each is released on the
   * next connection, and none is evicted from the queue. The server reports on 8,000 of them; 2,000
   * more are held on the word of their clients alone.
   */
  @Test
  void releasesOfTheMaximumOfSessionsWaitForTheNextConnection() throws Exception {
    FakeNet net = FakeNet.front();
    for (long first = 1000; first < 11_000; first += 500) {
      FakeConnection client = net.acceptClient();
      var all = new ByteArrayOutputStream();
      for (long id = first; id < first + 500; id++) {
        all.writeBytes(handOver(id, "127.0.0.1:3"));
      }
      client.deliver(all.toByteArray());
      net.advance(Span.ofMillis(50));
      for (long id = first; id < first + 500 && id < 9000; id++) {
        net.latestConnection("127.0.0.1:3").deliver(rungNote(id));
      }
      client.closeByPeer();
    }
    assertEquals(10_000, net.front.tableSizes().sessions());
    assertEquals(2000, net.front.tableSizes().uncountedSessions());
    net.removeServer("127.0.0.1:3");
    net.advance(Span.ofMillis(300));
    assertEquals(10_000, net.front.tableSizes().pendingReleases());
    FakeConnection next = net.acceptClient();
    next.deliver(handOver(50, "127.0.0.1:4"));
    net.advance(Span.ofMillis(10));
    assertEquals(10_000, new java.util.HashSet<>(next.releasedIds).size());
  }

  /* ---- idle closes and set-ups ---- */

  @Test
  void aConnectionThatSeemsIdleIsNotClosedWhileItsSetUpIsUnread() throws Exception {
    FakeNet net = FakeNet.front();
    List<FakeConnection> connections = new ArrayList<>();
    int maxConnections = linengauge.platform.connection.DescriptorBudget.of(256).clients();
    for (int i = 0; i < maxConnections; i++) {
      FakeConnection connection = net.acceptClient();
      connection.deliver(TEST);
      connections.add(connection);
    }
    net.advance(Span.ofMillis(100));
    net.stall(Span.ofMillis(400));
    connections.add(net.acceptClient());
    net.runDeferred();
    assertEquals(
        0,
        connections.stream().filter(connection -> connection.closed).count(),
        "pending data has not been read yet");
    FakeConnection oldest = connections.get(0);
    oldest.deliver(setUp(7));
    net.advance(Span.ofMillis(100));
    assertFalse(oldest.closed, "it has a request");
    assertTrue(net.setUpIds.contains(7L));
    assertEquals(
        1,
        connections.stream().filter(connection -> connection.closed).count(),
        "one idle connection was closed instead");
    assertFalse(connections.get(maxConnections).closed, "the connection accepted last stays");
  }

  @Test
  void aBurstOfConnectionsWhileTheLoopIsBehindStaysWithinItsDescriptors() throws Exception {
    FakeNet net = FakeNet.front();
    net.stall(Span.ofMillis(400));
    List<FakeConnection> connections = new ArrayList<>();
    for (int i = 0; i < 600; i++) {
      connections.add(net.acceptClient());
    }
    int maxConnections = linengauge.platform.connection.DescriptorBudget.of(256).clients();
    assertTrue(
        connections.stream().filter(connection -> !connection.closed).count()
            <= maxConnections + 16);
    net.advance(Span.ofMillis(100));
    assertEquals(
        maxConnections, connections.stream().filter(connection -> !connection.closed).count());
  }

  /* ---- two attempts with one id ---- */

  /**
   * A front with one server; session 7 was not answered there and is retried after the server has
   * confirmed the end of the first attempt.
   */
  private static FakeNet frontAfterRetry() throws Exception {
    FakeNet net = FakeNet.front();
    // A front that has just started sends nothing to a server that may have restarted.
    net.advance(Span.ofSeconds(3));
    String address = net.sendFirstSetUp();
    net.removeServer(address.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    net.serversAnswerTests = false;
    FakeConnection first =
        net.serverConnections.stream()
            .filter(connection -> connection.setUpIds.contains(7L))
            .findFirst()
            .orElseThrow();
    for (int i = 0; i < 100 && first.endedIds.isEmpty(); i++) {
      net.advance(Span.ofMillis(20));
    }
    assertEquals(List.of(7L), net.setUpIds, "not before the first attempt is over at the server");
    first.deliver("{\"verb\":\"FINISHED\",\"tag\":\"" + tag(7) + "\",\"opts\":{}}");
    for (int i = 0; i < 100 && net.setUpIds.size() < 2; i++) {
      net.advance(Span.ofMillis(20));
    }
    assertEquals(List.of(7L, 7L), net.setUpIds, "retried at the only server");
    net.actions.clear();
    return net;
  }

  private static List<FakeConnection> usedConnections(FakeNet net, String address) {
    return net.serverConnections.stream()
        .filter(
            connection -> connection.address.equals(address) && connection.messageTypes.size() > 0)
        .toList();
  }

  @Test
  void aLateReplyToTheFirstAttemptIsNotTakenForTheSecond() throws Exception {
    for (String late :
        List.of(
            finishLine(7, 34),
            finishLine(7, 47),
            finishLine(7, 102),
            "{\"verb\":\"STARTED\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"blob\":\"first\"}")) {
      FakeNet net = frontAfterRetry();
      List<FakeConnection> used =
          net.serverConnections.stream()
              .filter(connection -> connection.setUpIds.contains(7L))
              .toList();
      assertEquals(2, used.size(), "each attempt has a connection of its own");
      used.get(0).deliver(late);
      net.advance(Span.ofMillis(60));
      assertEquals(
          0,
          net.actions.stream().filter(action -> action.startsWith("set-up")).count(),
          "two attempts would be outstanding: " + late);
      used.get(1)
          .deliver(
              "{\"verb\":\"STARTED\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"blob\":\"second\"}");
      net.runDeferred();
      used.get(0).deliver(finishLine(7, 47));
      net.runDeferred();
      assertFalse(
          net.serverConnections.stream()
              .anyMatch(connection -> connection.releasedIds.contains(7L)),
          "the session continues: " + late);
      used.get(1).deliver(finishLine(7, 16));
      net.runDeferred();
      assertTrue(
          net.clientConnections.get(0).releasedIds.contains(7L),
          "the end of the second attempt is processed");
    }
  }

  /**
   * Where every available connection has carried an earlier attempt of the id, no attempt is made
   * rather than one whose answer would be ambiguous.
   */
  @Test
  void noAttemptIsMadeWhereEveryConnectionHasCarriedItsId() throws Exception {
    FakeNet net =
        FakeNet.front(
            text ->
                text.replace("\"maxAttempts\":3", "\"maxAttempts\":9")
                    .replace("\"probing\":true", "\"probing\":false"));
    net.advance(Span.ofSeconds(3));
    String address = net.sendFirstSetUp();
    net.removeServer(address.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    for (int i = 0; i < 12; i++) {
      net.serverConnections.stream()
          .filter(
              connection ->
                  connection.address.equals(address)
                      && !connection.closed
                      && connection.setUpIds.contains(7L))
          .reduce((first, second) -> second)
          .orElseThrow()
          .deliver(finishLine(7, 34));
      net.advance(Span.ofMillis(5));
    }
    List<FakeConnection> used =
        net.serverConnections.stream()
            .filter(connection -> connection.address.equals(address))
            .toList();
    assertEquals(4, used.size());
    used.forEach(
        connection -> assertEquals(List.of(7L), connection.setUpIds, "one attempt per connection"));
    net.advance(Span.ofSeconds(2));
    assertEquals(
        List.of(7L), net.clientConnections.get(0).releasedIds, "refused once, as it never ran");
  }

  /**
   * The path to a server is cut with a set-up on it, and restored later. What was written arrives
   * then: the set-up, followed by its end and nothing else of this front. No further set-up is sent
   * on that connection.
   */
  @Test
  void aSetUpOnACutPathIsFollowedByItsEndAndNoOther() throws Exception {
    FakeNet net = FakeNet.front(text -> text.replace("\"probing\":true", "\"probing\":false"));
    net.advance(Span.ofSeconds(3));
    String address = net.sendFirstSetUp();
    net.removeServer(address.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    FakeConnection cut = net.latestConnection(address);
    net.advance(Span.ofMillis(1500)); // Longer than the timeout, with nothing received.
    net.acceptClient().deliver(setUp(8));
    net.advance(Span.ofMillis(1500));
    assertTrue(net.setUpIds.contains(8L), "sent on another connection");
    assertEquals(List.of(7L), cut.setUpIds, "and not on the one whose path may be cut");
    assertEquals(
        1, cut.endedIds.stream().filter(id -> id == 7L).count(), "the end follows its set-up");
    assertTrue(cut.closed, "closed once it is idle");
  }

  /* ---- truncated, duplicate and malformed answers ---- */

  /**
   * The answer is cut at every byte, with the connection closed by the server or left open: the
   * client receives exactly one answer, and never a corrupt one.
   */
  @Test
  void anAnswerCutAtAnyByteIsForwardedWholeOrNotAtAll() throws Exception {
    byte[] line =
        ("{\"verb\":\"STARTED\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"blob\":\"made for it\"}\n")
            .getBytes(StandardCharsets.UTF_8);
    for (int cut = 0; cut <= line.length; cut++) {
      for (boolean closes : new boolean[] {true, false}) {
        FakeNet net = frontWithOneServer();
        FakeConnection client = net.acceptClient();
        client.deliver(setUp(7));
        net.runDeferred();
        FakeConnection first = net.latestConnection(addressOfLastSetUp(net));
        first.deliver(Arrays.copyOf(line, cut));
        if (closes) {
          first.closeByPeer();
        }
        net.advance(Span.ofMillis(100));
        for (FakeConnection connection : net.serverConnections) {
          if (connection != first && !connection.closed && connection.setUpIds.contains(7L)) {
            connection.deliver(line);
          }
        }
        net.advance(Span.ofSeconds(3));
        assertEquals(
            1,
            client.messageTypes.size(),
            "cut at " + cut + ", closes " + closes + ": " + client.messageTypes);
        boolean established = client.messageTypes.get(0) == 9;
        assertTrue(
            !established || client.lastMessageBytes == 11 + 3 + "made for it".length(),
            "cut at " + cut);
        assertTrue(cut < line.length || established, "the answer was complete");
      }
    }
  }

  /**
   * A refusal is duplicated while another attempt is outstanding, and an answer after the session
   * has been established.
   */
  @Test
  void aDuplicateReplyProvesNothingAboutTheNextAttempt() throws Exception {
    FakeNet net = frontWithOneServer();
    FakeConnection client = net.acceptClient();
    client.deliver(setUp(7));
    net.runDeferred();
    FakeConnection first =
        net.serverConnections.stream()
            .filter(connection -> connection.setUpIds.contains(7L))
            .findFirst()
            .orElseThrow();
    first.deliver(finishLine(7, 34));
    net.advance(Span.ofMillis(300));
    FakeConnection second =
        net.serverConnections.stream()
            .filter(connection -> connection != first && connection.setUpIds.contains(7L))
            .findFirst()
            .orElseThrow();
    net.setUpIds.clear();
    first.deliver(finishLine(7, 34));
    net.advance(Span.ofMillis(50));
    assertEquals(List.of(), net.setUpIds, "the next attempt is still outstanding");
    second.deliver("{\"verb\":\"STARTED\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"blob\":\"b\"}");
    net.runDeferred();
    assertEquals(List.of(9), client.messageTypes);
    first.deliver(finishLine(7, 34));
    second.deliver("{\"verb\":\"STARTED\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"blob\":\"b\"}");
    net.advance(Span.ofMillis(50));
    assertEquals(List.of(9), client.messageTypes, "the session continues");
  }

  /* ---- the discovery stream ---- */

  private static byte[] frame(long number, byte[]... records) {
    return records.length == 0
        ? PlatformJournal.heartbeat(number)
        : PlatformJournal.changes(number, records);
  }

  private static long discoveryConnectionCount(FakeNet net) {
    return net.serverConnections.stream()
        .filter(connection -> connection.address.equals("127.0.0.1:2"))
        .count();
  }

  private static FakeConnection discoveryConnection(FakeNet net) {
    return net.serverConnections.stream()
        .filter(connection -> connection.address.equals("127.0.0.1:2"))
        .reduce((first, second) -> second)
        .orElseThrow();
  }

  @Test
  void aDiscoveryStreamWithoutWholeFramesIsTreatedAsSilent() throws Exception {
    FakeNet net = FakeNet.front();
    FakeConnection discovery = discoveryConnection(net);
    byte[] event = frame(2, PlatformJournal.record(1, 3, 1, 0, 0));
    for (byte next : event) {
      net.advance(Span.ofMillis(300));
      if (!discovery.closed) {
        discovery.deliver(new byte[] {next});
      }
    }
    assertTrue(
        discovery.closed && discoveryConnectionCount(net) > 1,
        "no whole frame was received for 12 s");
  }

  @Test
  void aDiscoveryStreamWithHeartbeatsStaysOpen() throws Exception {
    FakeNet net = FakeNet.front();
    for (int i = 0; i < 20; i++) {
      net.advance(Span.ofMillis(1000));
      discoveryConnection(net).deliver(frame(1));
    }
    assertEquals(1, discoveryConnectionCount(net));
  }

  @Test
  void aServiceThatKeepsSkippingEventsIsRetriedWithBackoff() throws Exception {
    FakeNet net = FakeNet.front();
    for (int i = 0; i < 100; i++) {
      FakeConnection discovery = discoveryConnection(net);
      if (!discovery.closed && discovery.messageTypes.size() > 0) {
        discovery.deliver(frame(1));
        discovery.deliver(frame(9, PlatformJournal.record(1, 3, 1, 0, 0)));
      }
      net.advance(Span.ofMillis(20));
    }
    assertTrue(
        discoveryConnectionCount(net) > 3 && discoveryConnectionCount(net) < 12,
        discoveryConnectionCount(net) + " connections in 2 s");
  }

  @Test
  void frontsThatLoseTheServiceTogetherReconnectAtDifferentTimes() throws Exception {
    List<List<Moment>> connectTimes = new ArrayList<>();
    for (String seed : List.of("8c1f30d27a5be964", "0000000000000001")) {
      FakeNet net = FakeNet.front(text -> text.replace("8c1f30d27a5be964", seed));
      discoveryConnection(net).closeByPeer();
      net.refusing.add("127.0.0.1:2");
      net.advance(Span.ofSeconds(4));
      connectTimes.add(net.connectTimes("127.0.0.1:2"));
    }
    int compared = Math.min(connectTimes.get(0).size(), connectTimes.get(1).size());
    assertTrue(compared >= 5);
    for (int i = 1; i < compared; i++) {
      assertNotEquals(
          connectTimes.get(0).get(i), connectTimes.get(1).get(i), "connection attempt " + i);
    }
  }

  /** After a stall of its own, the front has not read what the service sent meanwhile. */
  @Test
  void aStalledFrontDoesNotTreatTheServiceAsSilent() throws Exception {
    FakeNet net = FakeNet.front();
    net.advance(Span.ofMillis(1000));
    net.stall(Span.ofMillis(3000));
    net.advance(Span.ofMillis(1)); // Timers that are due run before the loop reads.
    discoveryConnection(net).deliver(frame(1));
    net.advance(Span.ofMillis(500));
    assertEquals(1, discoveryConnectionCount(net));
  }

  /* ---- shutdown ---- */

  private static String withDeadline(String text, long ms) {
    return text.replace("\"deadlineUs\":400000", "\"deadlineUs\":" + ms * 1000);
  }

  /**
   * The process may be killed after the longest time limit (at most 3 s) and 0.7 s from SIGTERM,
   * and nothing is owed for requests that arrive later than 0.7 s. Whatever the time limit, each
   * earlier request has exactly one answer by then.
   */
  @Test
  void requestsBeforeTheKillAreAnsweredWhateverTheDeadline() throws Exception {
    for (long ms : new long[] {100, 250, 500, 1030, 3000}) {
      FakeNet net = FakeNet.front(text -> withDeadline(text, ms));
      Moment stoppedAt = net.now();
      net.front.stop();
      net.front.stop();
      List<FakeConnection> clients = new ArrayList<>();
      for (int id = 7; id < 14; id++) {
        net.advance(Span.ofMillis(99));
        FakeConnection client = net.acceptClient();
        // No server answers.
        client.deliver(PlatformViewers.setUp(id, "lesson", ms, ""));
        clients.add(client);
      }
      net.advance(stoppedAt.plus(Span.ofMillis(ms + 700)).since(net.now()));
      clients.forEach(client -> assertEquals(1, client.releasedIds.size(), ms + " ms"));
    }
  }

  @Test
  void anOrderlyShutdownWaitsForItsLastWritesWithinABound() throws Exception {
    for (long ms : new long[] {100, 1030, 3000, 20_000}) {
      for (boolean reads : new boolean[] {true, false}) {
        FakeNet net = FakeNet.front(text -> withDeadline(text, ms));
        net.peersRead = reads;
        startSession(net, 7);
        Moment stoppedAt = net.now();
        net.front.stop();
        net.advance(Span.ofSeconds(6));
        long after = net.endedAt.since(stoppedAt).micros() / 1000;
        long end = Math.max(750, Math.min(ms, 3000)) + 500;
        assertTrue(
            after >= end + 60 && after < end + (reads ? 100 : 200),
            ms + " ms: ended after " + after);
        assertEquals(List.of(7L), net.clientConnections.get(0).releasedIds);
      }
    }
  }

  /**
   * The front is stopped while hundreds of hand-overs, followed by set-ups, wait for their turns.
   * Guards against a session that is never released and a set-up that is never answered.
   */
  @Test
  void aStopDuringHundredsOfHandOversReleasesEachSession() throws Exception {
    for (long stepMicros : new long[] {1, 100, 1000}) {
      FakeNet net = FakeNet.front();
      net.clockStep = new Span(stepMicros);
      FakeConnection client = net.acceptClient();
      var all = new ByteArrayOutputStream();
      for (long id = 300; id < 1500; id++) {
        all.writeBytes(handOver(id, "127.0.0.1:3"));
      }
      all.writeBytes(setUps(1500, 1600));
      client.deliver(all.toByteArray());
      net.front.stop();
      while (net.endedAt == null) {
        net.runNextTimer();
      }
      for (long id = 300; id < 1600; id++) {
        long stoppedAt = id;
        assertEquals(
            1,
            client.releasedIds.stream().filter(releasedId -> releasedId == stoppedAt).count(),
            "session " + id + ", clock advancing per reading by " + stepMicros + " us");
      }
    }
  }

  /* ---- time limits and settings ---- */

  @Test
  void aClassWithAVeryShortDeadlineIsServed() throws Exception {
    for (long ms : new long[] {20, 60, 150, 1000}) {
      FakeNet net = FakeNet.front(text -> withDeadline(text, ms));
      net.acceptClient().deliver(PlatformViewers.setUp(7, "lesson", ms, ""));
      net.runDeferred();
      assertEquals(List.of(7L), net.setUpIds, ms + " ms");
    }
  }

  @Test
  void retryAfterIsSentOnlyWhereAllowed() throws Exception {
    for (boolean allowed : new boolean[] {true, false}) {
      FakeNet net =
          FakeNet.front(text -> text.replace("\"retryAfter\":true", "\"retryAfter\":" + allowed));
      FakeConnection client = net.acceptClient();
      client.deliver(PlatformViewers.setUp(7, "lesson", 1, ""));
      net.stall(Span.ofMillis(20));
      net.runDeferred();
      assertEquals(List.of(7L), client.releasedIds);
      assertEquals(
          allowed ? 15 + 3 + 3 : 15, client.lastMessageBytes, "retry-after allowed: " + allowed);
    }
  }
}
