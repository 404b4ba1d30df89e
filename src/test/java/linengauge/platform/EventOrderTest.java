package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
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
 * Two events that cross, and the turn of the loop between them, in every order
 * (docs/design/crossings.md).
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

  private static byte[] handOver(long id, String address) {
    return PlatformViewers.setUp(
        id, "lesson", 0, ";at:s-0000000" + (address.endsWith(":3") ? 1 : 2));
  }

  private static int countActions(FakeNet net, String action) {
    return (int) net.actions.stream().filter(action::equals).count();
  }

  /** A viewing that plays, on a viewers' connection of its own; returns that. */
  private static FakeConnection startSession(FakeNet net, long id) {
    FakeConnection viewers = net.acceptClient();
    viewers.deliver(setUp(id));
    net.runDeferred();
    String address =
        net.actions.stream()
            .filter(action -> action.startsWith("set-up"))
            .reduce((a, b) -> b)
            .orElseThrow();
    net.answerSetUp(address.substring("set-up ".length()), id);
    assertTrue(viewers.messageTypes.contains(9));
    return viewers;
  }

  private static String addressOfLastSetUp(FakeNet net) {
    return net.actions.stream()
        .filter(action -> action.startsWith("set-up"))
        .reduce((a, b) -> b)
        .orElseThrow()
        .substring("set-up ".length());
  }

  private static void assertNotSent(FakeNet net, long id) {
    net.advance(Span.ofMillis(700));
    assertFalse(net.setUpIds.contains(id), "begun though its viewer has left: " + net.actions);
  }

  /**
   * A front that could send as soon as it has read: nothing is asked of the one box before, and a
   * connection is up.
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

  /* ---- a viewer's departure and the begin of its set-up ---- */

  @Test
  void aSetUpWithItsEndInOneChunkIsNotSent() throws Exception {
    FakeNet net = frontWithOneServer();
    net.acceptClient().deliver(concatenate(setUp(7), end(7)));
    assertNotSent(net, 7);
  }

  @Test
  void aSetUpWithItsEndInOneTurnIsNotSent() throws Exception {
    FakeNet net = frontWithOneServer();
    FakeConnection viewers = net.acceptClient();
    viewers.deliver(setUp(7));
    viewers.deliver(end(7));
    assertNotSent(net, 7);
  }

  @Test
  void aSetUpWhoseConnectionClosesInTheSameTurnIsNotSent() throws Exception {
    FakeNet net = frontWithOneServer();
    FakeConnection viewers = net.acceptClient();
    viewers.deliver(setUp(7));
    viewers.closeByPeer();
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
   * So many that taking them apart takes more than a turn: none is begun before all that came is
   * taken apart.
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
    assertFalse(sender.paused, "its end would not be seen");
    assertTrue(
        sender.messageTypes.size() > 50,
        "what is over the bound is turned away at once: " + sender.messageTypes.size());
    sender.closeByPeer();
    int sent = net.setUpIds.size();
    net.advance(Span.ofSeconds(3));
    assertEquals(sent, net.setUpIds.size(), "what waited has left with it");
  }

  /** The box refuses, the loop stood still meanwhile, and the viewer's end lies in the kernel. */
  @Test
  void aRetryAfterAStallWaitsUntilTheLoopHasRead() throws Exception {
    FakeNet net = FakeNet.front();
    FakeConnection viewers = net.acceptClient();
    viewers.deliver(setUp(7));
    net.runDeferred();
    String address = addressOfLastSetUp(net);
    net.setUpIds.clear();
    net.stall(Span.ofMillis(400));
    net.latestConnection(address).deliver(finishLine(7, 34));
    net.runDeferred();
    assertEquals(List.of(), net.setUpIds, "its viewer may have left in the meantime");
    viewers.deliver(end(7));
    assertNotSent(net, 7);
  }

  @Test
  void aRetryAfterAStallIsSentOnceTheLoopHasRead() throws Exception {
    FakeNet net = FakeNet.front();
    FakeConnection viewers = net.acceptClient();
    viewers.deliver(setUp(7));
    net.runDeferred();
    String address = addressOfLastSetUp(net);
    net.setUpIds.clear();
    net.stall(Span.ofMillis(400));
    net.latestConnection(address).deliver(finishLine(7, 34));
    net.advance(Span.ofMillis(10));
    assertEquals(List.of(7L), net.setUpIds, "some turns, not some beats");
  }

  /**
   * Hundreds that wait for the loop's reading made a long turn of their own, after which all that
   * came next waited again.
   */
  @Test
  void tasksThatWaitForReadsRunInSlicesOfATurn() throws Exception {
    FakeNet net = FakeNet.front();
    net.advance(Span.ofMillis(500));
    net.stall(Span.ofMillis(400));
    net.clockStep = Span.ofMillis(1);
    List<Moment> ran = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      net.front.whenRead(() -> ran.add(net.now()));
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

  /**
   * However long every turn is, what waits for the loop's reading waits two beats and no longer.
   */
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
      FakeConnection viewers = net.acceptClient();
      viewers.deliver(setUp(7));
      net.advance(Span.ofMillis(100));
      if (endFirst) {
        viewers.deliver(end(7));
        net.completeConnects();
      } else {
        net.completeConnects();
        viewers.deliver(end(7));
      }
      assertNotSent(net, 7);
      assertEquals(
          0,
          net.actions.stream().filter(action -> action.startsWith("end")).count(),
          "what never left is not said to be over");
    }
  }

  /** Chosen, and put off until the turn's reading is over; its viewer leaves in between. */
  @Test
  void anEndBetweenSelectionAndSendingSendsNothing() throws Exception {
    FakeNet net = frontWithOneServer();
    FakeConnection viewers = net.acceptClient();
    net.actions.clear();
    viewers.deliver(setUp(7));
    net.runFirstDeferred();
    viewers.deliver(end(7));
    net.advance(Span.ofMillis(300));
    assertEquals(
        List.of(),
        net.actions.stream()
            .filter(action -> action.startsWith("set-up") || action.startsWith("end"))
            .toList());
  }

  /**
   * Made between the dial's coming up and what that puts off, in a loop that is behind: it waited
   * there twice.
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

  /* ---- words that came before a close ---- */

  @Test
  void anEndReadBeforeItsConnectionClosedIsProcessedDespiteABacklog() throws Exception {
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    startSession(net, 7);
    String address = addressOfLastSetUp(net);
    net.actions.clear();
    FakeConnection other = net.acceptClient();
    other.deliver(concatenate(setUps(100, 350), end(7))); // more than is taken apart in a turn
    other.closeByPeer();
    net.advance(Span.ofMillis(100));
    assertEquals(
        1, countActions(net, "end " + address), "its box would play on for nobody: " + net.actions);
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
        assertEquals(1, countActions(net, "end 127.0.0.1:3"), "its box is told");
      }
      FakeConnection other = startSession(net, 7);
      net.latestConnection("127.0.0.1:3").deliver(finishLine(339, 16));
      net.advance(Span.ofMillis(100));
      assertEquals(
          !ended, other.releasedIds.contains(339L), "ended by its viewer before: " + ended);
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
          acknowledged ? List.of() : List.of(7L), other.releasedIds, "heard: " + acknowledged);
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
        "one polled for a connection that turns out full is not lost");
  }

  /**
   * All that can stand at once is lost while no viewer is connected: each of them is told on the
   * next connection, and none is thrown out of the queue.
   */
  @Test
  void releasesOfTheMaximumOfSessionsWaitForTheNextConnection() throws Exception {
    FakeNet net = FakeNet.front();
    for (long first = 1000; first < 9000; first += 500) {
      FakeConnection client = net.acceptClient();
      var all = new ByteArrayOutputStream();
      for (long id = first; id < first + 500; id++) {
        all.writeBytes(handOver(id, "127.0.0.1:3"));
      }
      client.deliver(all.toByteArray());
      net.advance(Span.ofMillis(50));
      client.closeByPeer();
    }
    assertEquals(8000, net.front.figures().viewings());
    net.removeServer("127.0.0.1:3");
    net.advance(Span.ofMillis(300));
    assertEquals(8000, net.front.figures().endsUntold());
    FakeConnection next = net.acceptClient();
    next.deliver(handOver(50, "127.0.0.1:4"));
    net.advance(Span.ofMillis(10));
    assertEquals(8000, new java.util.HashSet<>(next.releasedIds).size());
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
        "what they have sent meanwhile is not read yet");
    FakeConnection oldest = connections.get(0);
    oldest.deliver(setUp(7));
    net.advance(Span.ofMillis(100));
    assertFalse(oldest.closed, "it asks");
    assertTrue(net.setUpIds.contains(7L));
    assertEquals(
        1,
        connections.stream().filter(connection -> connection.closed).count(),
        "one that rests made the place");
    assertFalse(connections.get(maxConnections).closed, "and not the one that has just come");
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

  /* ---- one id, two attempts ---- */

  /**
   * A front that knows one box; viewing 7 was not answered there and is tried again once the box
   * has confirmed the end of the first attempt.
   */
  private static FakeNet frontAfterRetry() throws Exception {
    FakeNet net = FakeNet.front();
    net.advance(Span.ofSeconds(3)); // young fronts send nothing to a box that may have started anew
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
    assertEquals(List.of(7L), net.setUpIds, "not before the first is over at the box");
    first.deliver("{\"verb\":\"FINISHED\",\"tag\":\"" + tag(7) + "\",\"opts\":{}}");
    for (int i = 0; i < 100 && net.setUpIds.size() < 2; i++) {
      net.advance(Span.ofMillis(20));
    }
    assertEquals(List.of(7L, 7L), net.setUpIds, "tried again at the one box that there is");
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
          "two would be out: " + late);
      used.get(1)
          .deliver(
              "{\"verb\":\"STARTED\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"blob\":\"second\"}");
      net.runDeferred();
      used.get(0).deliver(finishLine(7, 47));
      net.runDeferred();
      assertFalse(
          net.serverConnections.stream()
              .anyMatch(connection -> connection.releasedIds.contains(7L)),
          "it plays on: " + late);
      used.get(1).deliver(finishLine(7, 16));
      net.runDeferred();
      assertTrue(net.clientConnections.get(0).releasedIds.contains(7L), "its own end is heard");
    }
  }

  /**
   * Where every connection that may be had carries an earlier attempt of that id, none is made
   * rather than one that is doubted.
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
          .reduce((a, b) -> b)
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
        connection -> assertEquals(List.of(7L), connection.setUpIds, "one attempt a connection"));
    net.advance(Span.ofSeconds(2));
    assertEquals(
        List.of(7L), net.clientConnections.get(0).releasedIds, "refused once, as it never ran");
  }

  /**
   * The way to a server is cut with a set-up on it, and mended later: what was written arrives
   * then, the set-up with its end right behind it, and nothing else of this front; no further
   * set-up is entrusted to that connection.
   */
  @Test
  void aSetUpOnACutPathIsFollowedByItsEndAndNoOther() throws Exception {
    FakeNet net = FakeNet.front(text -> text.replace("\"probing\":true", "\"probing\":false"));
    net.advance(Span.ofSeconds(3));
    String address = net.sendFirstSetUp();
    net.removeServer(address.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    FakeConnection cut = net.latestConnection(address);
    net.advance(Span.ofMillis(1500)); // longer than the wait; nothing comes
    net.acceptClient().deliver(setUp(8));
    net.advance(Span.ofMillis(1500));
    assertTrue(net.setUpIds.contains(8L), "sent on another connection");
    assertEquals(List.of(7L), cut.setUpIds, "and not on the one whose way may be cut");
    assertEquals(1, cut.endedIds.stream().filter(id -> id == 7L).count(), "its end follows it");
    assertTrue(cut.closed, "closed as it rests");
  }

  /* ---- answers cut, doubled and spoilt ---- */

  /**
   * Cut at every byte, and the connection closed by the box, by a reset, or left open: one answer,
   * and never a spoilt one.
   */
  @Test
  void anAnswerCutAtAnyByteIsForwardedWholeOrNotAtAll() throws Exception {
    byte[] line =
        ("{\"verb\":\"STARTED\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"blob\":\"made for it\"}\n")
            .getBytes(StandardCharsets.UTF_8);
    for (int cut = 0; cut <= line.length; cut++) {
      for (boolean closes : new boolean[] {true, false}) {
        FakeNet net = frontWithOneServer();
        FakeConnection viewers = net.acceptClient();
        viewers.deliver(setUp(7));
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
            viewers.messageTypes.size(),
            "cut at " + cut + ", closes " + closes + ": " + viewers.messageTypes);
        boolean played = viewers.messageTypes.get(0) == 9;
        assertTrue(
            !played || viewers.lastMessageBytes == 11 + 3 + "made for it".length(),
            "cut at " + cut);
        assertTrue(cut < line.length || played, "it was whole");
      }
    }
  }

  /**
   * A second copy of a refusal comes while another attempt is out, and one of an answer after the
   * session's end.
   */
  @Test
  void aDuplicateReplyProvesNothingAboutTheNextAttempt() throws Exception {
    FakeNet net = frontWithOneServer();
    FakeConnection viewers = net.acceptClient();
    viewers.deliver(setUp(7));
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
    assertEquals(List.of(), net.setUpIds, "the next attempt is out still");
    second.deliver("{\"verb\":\"STARTED\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"blob\":\"b\"}");
    net.runDeferred();
    assertEquals(List.of(9), viewers.messageTypes);
    first.deliver(finishLine(7, 34));
    second.deliver("{\"verb\":\"STARTED\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"blob\":\"b\"}");
    net.advance(Span.ofMillis(50));
    assertEquals(List.of(9), viewers.messageTypes, "it plays on");
  }

  /* ---- the list watch ---- */

  private static byte[] frame(long number, byte[]... records) {
    ByteBuffer buffer =
        ByteBuffer.allocate(13 + 27 * records.length)
            .putInt(9 + 27 * records.length)
            .putLong(number)
            .put((byte) (records.length == 0 ? 0 : 2));
    for (byte[] record : records) {
      buffer.put(record);
    }
    return buffer.array();
  }

  private static long discoveryConnectionCount(FakeNet net) {
    return net.serverConnections.stream()
        .filter(connection -> connection.address.equals("127.0.0.1:2"))
        .count();
  }

  private static FakeConnection discoveryConnection(FakeNet net) {
    return net.serverConnections.stream()
        .filter(connection -> connection.address.equals("127.0.0.1:2"))
        .reduce((a, b) -> b)
        .orElseThrow();
  }

  @Test
  void aDiscoveryStreamWithoutWholeFramesIsTreatedAsSilent() throws Exception {
    FakeNet net = FakeNet.front();
    FakeConnection watch = discoveryConnection(net);
    byte[] event = frame(2, PlatformJournal.record(1, 3, 1, 0, 0));
    for (byte next : event) {
      net.advance(Span.ofMillis(300));
      if (!watch.closed) {
        watch.deliver(new byte[] {next});
      }
    }
    assertTrue(
        watch.closed && discoveryConnectionCount(net) > 1, "no whole frame has come for 12 s");
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
      FakeConnection watch = discoveryConnection(net);
      if (!watch.closed && watch.messageTypes.size() > 0) {
        watch.deliver(frame(1));
        watch.deliver(frame(9, PlatformJournal.record(1, 3, 1, 0, 0)));
      }
      net.advance(Span.ofMillis(20));
    }
    assertTrue(
        discoveryConnectionCount(net) > 3 && discoveryConnectionCount(net) < 12,
        discoveryConnectionCount(net) + " calls in 2 s");
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
      assertNotEquals(connectTimes.get(0).get(i), connectTimes.get(1).get(i), "call " + i);
    }
  }

  /** After a stand-still of its own the front has not read what the service said meanwhile. */
  @Test
  void aStalledFrontDoesNotTreatTheServiceAsSilent() throws Exception {
    FakeNet net = FakeNet.front();
    net.advance(Span.ofMillis(1000));
    net.stall(Span.ofMillis(3000));
    net.advance(Span.ofMillis(1)); // timers that are due run before the loop reads
    discoveryConnection(net).deliver(frame(1));
    net.advance(Span.ofMillis(500));
    assertEquals(1, discoveryConnectionCount(net));
  }

  /* ---- the end of the process ---- */

  private static String withDeadline(String text, long ms) {
    return text.replace("\"deadlineUs\":400000", "\"deadlineUs\":" + ms * 1000);
  }

  /**
   * Killed no sooner than the longest patience (3 s at the most) and 0.7 s after SIGTERM, the
   * platform owes it nothing that came later than 0.7 s: whatever the patience, all that came
   * before has its one answer by then.
   */
  @Test
  void requestsBeforeTheKillAreAnsweredWhateverTheDeadline() throws Exception {
    for (long ms : new long[] {100, 250, 500, 1030, 3000}) {
      FakeNet net = FakeNet.front(text -> withDeadline(text, ms));
      Moment stoppedAt = net.now();
      net.front.stop();
      net.front.stop();
      List<FakeConnection> viewers = new ArrayList<>();
      for (int id = 7; id < 14; id++) {
        net.advance(Span.ofMillis(99));
        FakeConnection v = net.acceptClient();
        v.deliver(PlatformViewers.setUp(id, "lesson", ms, "")); // no box answers
        viewers.add(v);
      }
      net.advance(stoppedAt.plus(Span.ofMillis(ms + 700)).since(net.now()));
      viewers.forEach(v -> assertEquals(1, v.releasedIds.size(), ms + " ms"));
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
   * Told to stop with hundreds handed over, and set-ups behind them, that wait for their turns: a
   * session that is told to nobody would be left standing, and a set-up never answered.
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
            "session " + id + ", a look at the time taking " + stepMicros + " us");
      }
    }
  }

  /* ---- margins and settings ---- */

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
      FakeConnection viewers = net.acceptClient();
      viewers.deliver(PlatformViewers.setUp(7, "lesson", 1, ""));
      net.stall(Span.ofMillis(20));
      net.runDeferred();
      assertEquals(List.of(7L), viewers.releasedIds);
      assertEquals(
          allowed ? 15 + 3 + 3 : 15, viewers.lastMessageBytes, "advice allowed: " + allowed);
    }
  }
}
