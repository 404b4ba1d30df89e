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

  private static byte[] join(byte[]... parts) {
    var all = new ByteArrayOutputStream();
    for (byte[] p : parts) {
      all.writeBytes(p);
    }
    return all.toByteArray();
  }

  private static byte[] many(int from, int to) {
    var all = new ByteArrayOutputStream();
    for (int id = from; id < to; id++) {
      all.writeBytes(setUp(id));
    }
    return all.toByteArray();
  }

  private static String tag(long id) {
    return String.format("%016x", id);
  }

  private static String finish(long id, int cause) {
    return "{\"verb\":\"FINISH\",\"tag\":\"" + tag(id) + "\",\"opts\":{},\"rc\":" + cause + "}";
  }

  private static byte[] handOver(long id, String at) {
    return PlatformViewers.setUp(id, "lesson", 0, ";at:s-0000000" + (at.endsWith(":3") ? 1 : 2));
  }

  private static int count(FakeNet net, String what) {
    return (int) net.actions.stream().filter(what::equals).count();
  }

  /** A viewing that plays, on a viewers' connection of its own; returns that. */
  private static FakeConnection plays(FakeNet net, long id) {
    FakeConnection viewers = net.acceptClient();
    viewers.deliver(setUp(id));
    net.runDeferred();
    String at =
        net.actions.stream().filter(d -> d.startsWith("set-up")).reduce((a, b) -> b).orElseThrow();
    net.answerSetUp(at.substring("set-up ".length()), id);
    assertTrue(viewers.messageTypes.contains(9));
    return viewers;
  }

  private static String box(FakeNet net) {
    return net.actions.stream()
        .filter(d -> d.startsWith("set-up"))
        .reduce((a, b) -> b)
        .orElseThrow()
        .substring("set-up ".length());
  }

  private static void noneSent(FakeNet net, long id) {
    net.advance(Span.ofMillis(700));
    assertFalse(net.setUpIds.contains(id), "begun though its viewer has left: " + net.actions);
  }

  /**
   * A front that could send as soon as it has read: nothing is asked of the one box before, and a
   * connection is up.
   */
  private static FakeNet quick() throws Exception {
    FakeNet net = FakeNet.front(text -> text.replace("\"probing\":true", "\"probing\":false"));
    plays(net, 6);
    net.removeServer(box(net).endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    net.setUpIds.clear();
    return net;
  }

  @Test
  void aSetUpThatNothingCrossesIsSent() throws Exception {
    FakeNet net = quick();
    net.acceptClient().deliver(setUp(7));
    net.runDeferred();
    assertEquals(List.of(7L), net.setUpIds);
  }

  /* ---- a viewer's departure and the begin of its set-up ---- */

  @Test
  void aSetUpAndItsEndInOnePieceIsSentToNobody() throws Exception {
    FakeNet net = quick();
    net.acceptClient().deliver(join(setUp(7), end(7)));
    noneSent(net, 7);
  }

  @Test
  void aSetUpAndItsEndReadInOneTurnIsSentToNobody() throws Exception {
    FakeNet net = quick();
    FakeConnection viewers = net.acceptClient();
    viewers.deliver(setUp(7));
    viewers.deliver(end(7));
    noneSent(net, 7);
  }

  @Test
  void aSetUpWhoseConnectionClosesInTheSameTurnIsSentToNobody() throws Exception {
    FakeNet net = quick();
    FakeConnection viewers = net.acceptClient();
    viewers.deliver(setUp(7));
    viewers.closeByPeer();
    noneSent(net, 7);
  }

  @Test
  void aSetUpEndedOnAnotherConnectionInTheSameTurnIsSentToNobody() throws Exception {
    FakeNet net = quick();
    net.acceptClient().deliver(setUp(7));
    net.acceptClient().deliver(end(7));
    noneSent(net, 7);
  }

  @Test
  void anEndBehindAHundredSetUpsIsHeardBeforeTheyAreBegun() throws Exception {
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    net.acceptClient().deliver(join(many(100, 200), end(199)));
    noneSent(net, 199);
    assertTrue(net.setUpIds.contains(100L));
  }

  /**
   * So many that taking them apart takes more than a turn: none is begun before all that came is
   * taken apart.
   */
  @Test
  void anEndThatIsTakenApartTurnsLaterIsHeardBeforeItsSetUpIsBegun() throws Exception {
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    net.acceptClient().deliver(join(many(100, 350), end(100)));
    noneSent(net, 100);
    assertTrue(net.setUpIds.contains(101L));
  }

  @Test
  void whoSendsTooMuchIsTurnedAwayAtOnceAndStillSeenToLeave() throws Exception {
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    FakeConnection rude = net.acceptClient();
    rude.deliver(many(1000, 1500));
    net.advance(Span.ofMillis(50));
    assertFalse(rude.paused, "its end would not be seen");
    assertTrue(
        rude.messageTypes.size() > 50,
        "what is over the bound is turned away at once: " + rude.messageTypes.size());
    rude.closeByPeer();
    int sent = net.setUpIds.size();
    net.advance(Span.ofSeconds(3));
    assertEquals(sent, net.setUpIds.size(), "what waited has left with it");
  }

  /** The box refuses, the loop stood still meanwhile, and the viewer's end lies in the kernel. */
  @Test
  void aRetryAfterAStandStillWaitsUntilTheLoopHasRead() throws Exception {
    FakeNet net = FakeNet.front();
    FakeConnection viewers = net.acceptClient();
    viewers.deliver(setUp(7));
    net.runDeferred();
    String at = box(net);
    net.setUpIds.clear();
    net.stall(Span.ofMillis(400));
    net.latestConnection(at).deliver(finish(7, 34));
    net.runDeferred();
    assertEquals(List.of(), net.setUpIds, "its viewer may have left in the meantime");
    viewers.deliver(end(7));
    noneSent(net, 7);
  }

  @Test
  void aRetryAfterAStandStillLeavesOnceTheLoopHasRead() throws Exception {
    FakeNet net = FakeNet.front();
    FakeConnection viewers = net.acceptClient();
    viewers.deliver(setUp(7));
    net.runDeferred();
    String at = box(net);
    net.setUpIds.clear();
    net.stall(Span.ofMillis(400));
    net.latestConnection(at).deliver(finish(7, 34));
    net.advance(Span.ofMillis(10));
    assertEquals(List.of(7L), net.setUpIds, "some turns, not some beats");
  }

  /**
   * Hundreds that wait for the loop's reading made a long turn of their own, after which all that
   * came next waited again.
   */
  @Test
  void whatWaitsForTheReadingRunsInSharesOfATurn() throws Exception {
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
  void aDialThatComesUpInTheTurnInWhichItsViewerLeavesSendsNothing() throws Exception {
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
      noneSent(net, 7);
      assertEquals(
          0,
          net.actions.stream().filter(d -> d.startsWith("end")).count(),
          "what never left is not said to be over");
    }
  }

  /** Chosen, and put off until the turn's reading is over; its viewer leaves in between. */
  @Test
  void anEndBetweenChoiceAndSendingLeavesNothingToSayToTheBox() throws Exception {
    FakeNet net = quick();
    FakeConnection viewers = net.acceptClient();
    net.actions.clear();
    viewers.deliver(setUp(7));
    net.runFirstDeferred();
    viewers.deliver(end(7));
    net.advance(Span.ofMillis(300));
    assertEquals(
        List.of(),
        net.actions.stream().filter(d -> d.startsWith("set-up") || d.startsWith("end")).toList());
  }

  /**
   * Made between the dial's coming up and what that puts off, in a loop that is behind: it waited
   * there twice.
   */
  @Test
  void aSetUpThatCrossesItsConnectionsComingUpLeavesOnce() throws Exception {
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
  void anEndReadBeforeItsConnectionClosedIsHeardThoughMuchStandsBeforeIt() throws Exception {
    FakeNet net = FakeNet.front();
    net.clockStep = Span.ofMillis(1);
    plays(net, 7);
    String at = box(net);
    net.actions.clear();
    FakeConnection other = net.acceptClient();
    other.deliver(join(many(100, 350), end(7))); // more than is taken apart in a turn
    other.closeByPeer();
    net.advance(Span.ofMillis(100));
    assertEquals(1, count(net, "end " + at), "its box would play on for nobody: " + net.actions);
  }

  @Test
  void aSessionHandedOverBeforeItsConnectionClosedIsHeld() throws Exception {
    for (boolean ended : new boolean[] {false, true}) {
      FakeNet net = FakeNet.front();
      net.clockStep = Span.ofMillis(1);
      FakeConnection by = net.acceptClient();
      var all = new ByteArrayOutputStream();
      for (long id = 300; id < 340; id++) {
        all.writeBytes(handOver(id, "127.0.0.1:3"));
      }
      by.deliver(ended ? join(all.toByteArray(), end(339)) : all.toByteArray());
      by.closeByPeer();
      net.advance(Span.ofMillis(1500));
      if (ended) {
        assertEquals(1, count(net, "end 127.0.0.1:3"), "its box is told");
      }
      FakeConnection other = plays(net, 7);
      net.latestConnection("127.0.0.1:3").deliver(finish(339, 16));
      net.advance(Span.ofMillis(100));
      assertEquals(
          !ended, other.releasedIds.contains(339L), "ended by its viewer before: " + ended);
    }
  }

  /* ---- releases and closes ---- */

  @Test
  void aReleaseThatCrossesTheCloseOfItsConnectionIsToldOnAnother() throws Exception {
    for (boolean heard : new boolean[] {false, true}) {
      FakeNet net = FakeNet.front();
      FakeConnection home = plays(net, 7);
      String at = box(net);
      FakeConnection other = plays(net, 8);
      net.latestConnection(at).deliver(finish(7, 16));
      net.runDeferred();
      assertEquals(List.of(7L), home.releasedIds);
      if (heard) {
        home.deliver(PlatformViewers.message(16, 7));
      }
      home.closeByPeer();
      net.advance(Span.ofMillis(10));
      assertEquals(heard ? List.of() : List.of(7L), other.releasedIds, "heard: " + heard);
    }
  }

  @Test
  void aReleaseThatFindsItsConnectionFullIsToldOnTheNextOne() throws Exception {
    FakeNet net = FakeNet.front();
    FakeConnection home = plays(net, 7);
    String at = box(net);
    home.full = true;
    net.latestConnection(at).deliver(finish(7, 16));
    net.advance(Span.ofMillis(10));
    assertTrue(home.closed && home.releasedIds.isEmpty());
    FakeConnection full = net.acceptClient();
    full.full = true;
    full.deliver(handOver(50, "127.0.0.1:3"));
    net.advance(Span.ofMillis(10));
    FakeConnection next = plays(net, 8);
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
  void asManyReleasesAsSessionsCanStandWaitForTheNextConnection() throws Exception {
    FakeNet net = FakeNet.front();
    for (long first = 1000; first < 9000; first += 500) {
      FakeConnection by = net.acceptClient();
      var all = new ByteArrayOutputStream();
      for (long id = first; id < first + 500; id++) {
        all.writeBytes(handOver(id, "127.0.0.1:3"));
      }
      by.deliver(all.toByteArray());
      net.advance(Span.ofMillis(50));
      by.closeByPeer();
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
  void aConnectionThatSeemsToRestIsNotClosedOverASetUpThatLiesUnread() throws Exception {
    FakeNet net = FakeNet.front();
    List<FakeConnection> lines = new ArrayList<>();
    int places = linengauge.platform.connection.DescriptorBudget.of(256).clients();
    for (int i = 0; i < places; i++) {
      FakeConnection l = net.acceptClient();
      l.deliver(TEST);
      lines.add(l);
    }
    net.advance(Span.ofMillis(100));
    net.stall(Span.ofMillis(400));
    lines.add(net.acceptClient());
    net.runDeferred();
    assertEquals(
        0,
        lines.stream().filter(l -> l.closed).count(),
        "what they have sent meanwhile is not read yet");
    FakeConnection oldest = lines.get(0);
    oldest.deliver(setUp(7));
    net.advance(Span.ofMillis(100));
    assertFalse(oldest.closed, "it asks");
    assertTrue(net.setUpIds.contains(7L));
    assertEquals(1, lines.stream().filter(l -> l.closed).count(), "one that rests made the place");
    assertFalse(lines.get(places).closed, "and not the one that has just come");
  }

  @Test
  void aFloodOfConnectionsWhileTheLoopIsBehindStaysWithinItsDescriptors() throws Exception {
    FakeNet net = FakeNet.front();
    net.stall(Span.ofMillis(400));
    List<FakeConnection> lines = new ArrayList<>();
    for (int i = 0; i < 600; i++) {
      lines.add(net.acceptClient());
    }
    int places = linengauge.platform.connection.DescriptorBudget.of(256).clients();
    assertTrue(lines.stream().filter(l -> !l.closed).count() <= places + 16);
    net.advance(Span.ofMillis(100));
    assertEquals(places, lines.stream().filter(l -> !l.closed).count());
  }

  /* ---- one id, two attempts ---- */

  /**
   * A front that knows one box; viewing 7 was not answered there and is tried again once the box
   * has confirmed the end of the first attempt.
   */
  private static FakeNet triedAgain() throws Exception {
    FakeNet net = FakeNet.front();
    net.advance(Span.ofSeconds(3)); // young fronts send nothing to a box that may have started anew
    String at = net.sendFirstSetUp();
    net.removeServer(at.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    net.serversAnswerTests = false;
    FakeConnection first =
        net.serverConnections.stream()
            .filter(l -> l.setUpIds.contains(7L))
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

  private static List<FakeConnection> to(FakeNet net, String at) {
    return net.serverConnections.stream()
        .filter(l -> l.address.equals(at) && l.messageTypes.size() > 0)
        .toList();
  }

  @Test
  void whatIsLateForTheFirstAttemptIsNotTakenForTheSeconds() throws Exception {
    for (String late :
        List.of(
            finish(7, 34),
            finish(7, 47),
            finish(7, 102),
            "{\"verb\":\"STARTED\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"blob\":\"first\"}")) {
      FakeNet net = triedAgain();
      List<FakeConnection> used =
          net.serverConnections.stream().filter(l -> l.setUpIds.contains(7L)).toList();
      assertEquals(2, used.size(), "each attempt has a connection of its own");
      used.get(0).deliver(late);
      net.advance(Span.ofMillis(60));
      assertEquals(
          0,
          net.actions.stream().filter(d -> d.startsWith("set-up")).count(),
          "two would be out: " + late);
      used.get(1)
          .deliver(
              "{\"verb\":\"STARTED\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"blob\":\"second\"}");
      net.runDeferred();
      used.get(0).deliver(finish(7, 47));
      net.runDeferred();
      assertFalse(
          net.serverConnections.stream().anyMatch(l -> l.releasedIds.contains(7L)),
          "it plays on: " + late);
      used.get(1).deliver(finish(7, 16));
      net.runDeferred();
      assertTrue(net.clientConnections.get(0).releasedIds.contains(7L), "its own end is heard");
    }
  }

  /**
   * Where every connection that may be had carries an earlier attempt of that id, none is made
   * rather than one that is doubted.
   */
  @Test
  void whereEveryConnectionIsSpentNoAttemptIsMade() throws Exception {
    FakeNet net =
        FakeNet.front(
            text ->
                text.replace("\"maxAttempts\":3", "\"maxAttempts\":9")
                    .replace("\"probing\":true", "\"probing\":false"));
    net.advance(Span.ofSeconds(3));
    String at = net.sendFirstSetUp();
    net.removeServer(at.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    for (int i = 0; i < 12; i++) {
      net.serverConnections.stream()
          .filter(l -> l.address.equals(at) && !l.closed && l.setUpIds.contains(7L))
          .reduce((a, b) -> b)
          .orElseThrow()
          .deliver(finish(7, 34));
      net.advance(Span.ofMillis(5));
    }
    List<FakeConnection> used =
        net.serverConnections.stream().filter(l -> l.address.equals(at)).toList();
    assertEquals(4, used.size());
    used.forEach(l -> assertEquals(List.of(7L), l.setUpIds, "one attempt a connection"));
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
  void aSetUpOnAWayThatIsCutIsFollowedByItsEndAndByNoOther() throws Exception {
    FakeNet net = FakeNet.front(text -> text.replace("\"probing\":true", "\"probing\":false"));
    net.advance(Span.ofSeconds(3));
    String at = net.sendFirstSetUp();
    net.removeServer(at.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    FakeConnection cut = net.latestConnection(at);
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
  void anAnswerCutAtAnyByteIsPassedOnWholeOrNotAtAll() throws Exception {
    byte[] line =
        ("{\"verb\":\"STARTED\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"blob\":\"made for it\"}\n")
            .getBytes(StandardCharsets.UTF_8);
    for (int cut = 0; cut <= line.length; cut++) {
      for (boolean closes : new boolean[] {true, false}) {
        FakeNet net = quick();
        FakeConnection viewers = net.acceptClient();
        viewers.deliver(setUp(7));
        net.runDeferred();
        FakeConnection first = net.latestConnection(box(net));
        first.deliver(Arrays.copyOf(line, cut));
        if (closes) {
          first.closeByPeer();
        }
        net.advance(Span.ofMillis(100));
        for (FakeConnection l : net.serverConnections) {
          if (l != first && !l.closed && l.setUpIds.contains(7L)) {
            l.deliver(line);
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
  void aSecondCopyOfWhatEndedAnAttemptProvesNothingOfTheNext() throws Exception {
    FakeNet net = quick();
    FakeConnection viewers = net.acceptClient();
    viewers.deliver(setUp(7));
    net.runDeferred();
    FakeConnection first =
        net.serverConnections.stream()
            .filter(l -> l.setUpIds.contains(7L))
            .findFirst()
            .orElseThrow();
    first.deliver(finish(7, 34));
    net.advance(Span.ofMillis(300));
    FakeConnection second =
        net.serverConnections.stream()
            .filter(l -> l != first && l.setUpIds.contains(7L))
            .findFirst()
            .orElseThrow();
    net.setUpIds.clear();
    first.deliver(finish(7, 34));
    net.advance(Span.ofMillis(50));
    assertEquals(List.of(), net.setUpIds, "the next attempt is out still");
    second.deliver("{\"verb\":\"STARTED\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"blob\":\"b\"}");
    net.runDeferred();
    assertEquals(List.of(9), viewers.messageTypes);
    first.deliver(finish(7, 34));
    second.deliver("{\"verb\":\"STARTED\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"blob\":\"b\"}");
    net.advance(Span.ofMillis(50));
    assertEquals(List.of(9), viewers.messageTypes, "it plays on");
  }

  /* ---- the list watch ---- */

  private static byte[] frame(long number, byte[]... records) {
    ByteBuffer f =
        ByteBuffer.allocate(13 + 27 * records.length)
            .putInt(9 + 27 * records.length)
            .putLong(number)
            .put((byte) (records.length == 0 ? 0 : 2));
    for (byte[] r : records) {
      f.put(r);
    }
    return f.array();
  }

  private static long watches(FakeNet net) {
    return net.serverConnections.stream().filter(l -> l.address.equals("127.0.0.1:2")).count();
  }

  private static FakeConnection watch(FakeNet net) {
    return net.serverConnections.stream()
        .filter(l -> l.address.equals("127.0.0.1:2"))
        .reduce((a, b) -> b)
        .orElseThrow();
  }

  @Test
  void aWatchThatDripsIsTakenForSilent() throws Exception {
    FakeNet net = FakeNet.front();
    FakeConnection watch = watch(net);
    byte[] event = frame(2, PlatformJournal.record(1, 3, 1, 0, 0));
    for (byte b : event) {
      net.advance(Span.ofMillis(300));
      if (!watch.closed) {
        watch.deliver(new byte[] {b});
      }
    }
    assertTrue(watch.closed && watches(net) > 1, "no whole frame has come for 12 s");
  }

  @Test
  void aWatchThatTellsItsSignOfLifeStays() throws Exception {
    FakeNet net = FakeNet.front();
    for (int i = 0; i < 20; i++) {
      net.advance(Span.ofMillis(1000));
      watch(net).deliver(frame(1));
    }
    assertEquals(1, watches(net));
  }

  @Test
  void aServiceThatSkipsAnEventEachTimeIsAskedWithPauses() throws Exception {
    FakeNet net = FakeNet.front();
    for (int i = 0; i < 100; i++) {
      FakeConnection watch = watch(net);
      if (!watch.closed && watch.messageTypes.size() > 0) {
        watch.deliver(frame(1));
        watch.deliver(frame(9, PlatformJournal.record(1, 3, 1, 0, 0)));
      }
      net.advance(Span.ofMillis(20));
    }
    assertTrue(watches(net) > 3 && watches(net) < 12, watches(net) + " calls in 2 s");
  }

  @Test
  void frontsThatLoseTheServiceAtOneMomentComeBackApart() throws Exception {
    List<List<Moment>> dials = new ArrayList<>();
    for (String seed : List.of("8c1f30d27a5be964", "0000000000000001")) {
      FakeNet net = FakeNet.front(text -> text.replace("8c1f30d27a5be964", seed));
      watch(net).closeByPeer();
      net.refusing.add("127.0.0.1:2");
      net.advance(Span.ofSeconds(4));
      dials.add(net.connectTimes("127.0.0.1:2"));
    }
    int n = Math.min(dials.get(0).size(), dials.get(1).size());
    assertTrue(n >= 5);
    for (int i = 1; i < n; i++) {
      assertNotEquals(dials.get(0).get(i), dials.get(1).get(i), "call " + i);
    }
  }

  /** After a stand-still of its own the front has not read what the service said meanwhile. */
  @Test
  void aFrontThatStoodStillDoesNotTakeTheServiceForSilent() throws Exception {
    FakeNet net = FakeNet.front();
    net.advance(Span.ofMillis(1000));
    net.stall(Span.ofMillis(3000));
    net.advance(Span.ofMillis(1)); // timers that are due run before the loop reads
    watch(net).deliver(frame(1));
    net.advance(Span.ofMillis(500));
    assertEquals(1, watches(net));
  }

  /* ---- the end of the process ---- */

  private static String patience(String text, long ms) {
    return text.replace("\"deadlineUs\":400000", "\"deadlineUs\":" + ms * 1000);
  }

  /**
   * Killed no sooner than the longest patience (3 s at the most) and 0.7 s after SIGTERM, the
   * platform owes it nothing that came later than 0.7 s: whatever the patience, all that came
   * before has its one answer by then.
   */
  @Test
  void whateverComesUntilItMayBeKilledIsAnsweredBeforeWhateverThePatience() throws Exception {
    for (long ms : new long[] {100, 250, 500, 1030, 3000}) {
      FakeNet net = FakeNet.front(text -> patience(text, ms));
      Moment told = net.now();
      net.front.stop();
      net.front.stop();
      List<FakeConnection> viewers = new ArrayList<>();
      for (int id = 7; id < 14; id++) {
        net.advance(Span.ofMillis(99));
        FakeConnection v = net.acceptClient();
        v.deliver(PlatformViewers.setUp(id, "lesson", ms, "")); // no box answers
        viewers.add(v);
      }
      net.advance(told.plus(Span.ofMillis(ms + 700)).since(net.now()));
      viewers.forEach(v -> assertEquals(1, v.releasedIds.size(), ms + " ms"));
    }
  }

  @Test
  void theEndInOrderWaitsForItsLastWordsWithinABound() throws Exception {
    for (long ms : new long[] {100, 1030, 3000, 20_000}) {
      for (boolean reads : new boolean[] {true, false}) {
        FakeNet net = FakeNet.front(text -> patience(text, ms));
        net.peersRead = reads;
        plays(net, 7);
        Moment told = net.now();
        net.front.stop();
        net.advance(Span.ofSeconds(6));
        long after = net.endedAt.since(told).micros() / 1000;
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
  void toldToStopAmidHundredsHandedOverEachIsToldItsEnd() throws Exception {
    for (long stepMicros : new long[] {1, 100, 1000}) {
      FakeNet net = FakeNet.front();
      net.clockStep = new Span(stepMicros);
      FakeConnection by = net.acceptClient();
      var all = new ByteArrayOutputStream();
      for (long id = 300; id < 1500; id++) {
        all.writeBytes(handOver(id, "127.0.0.1:3"));
      }
      all.writeBytes(many(1500, 1600));
      by.deliver(all.toByteArray());
      net.front.stop();
      while (net.endedAt == null) {
        net.runNextTimer();
      }
      for (long id = 300; id < 1600; id++) {
        long told = id;
        assertEquals(
            1,
            by.releasedIds.stream().filter(r -> r == told).count(),
            "session " + id + ", a look at the time taking " + stepMicros + " us");
      }
    }
  }

  /* ---- margins and settings ---- */

  @Test
  void aClassThatWaitsNoLongerThanTheMarginsOfOthersIsServed() throws Exception {
    for (long ms : new long[] {20, 60, 150, 1000}) {
      FakeNet net = FakeNet.front(text -> patience(text, ms));
      net.acceptClient().deliver(PlatformViewers.setUp(7, "lesson", ms, ""));
      net.runDeferred();
      assertEquals(List.of(7L), net.setUpIds, ms + " ms");
    }
  }

  @Test
  void whereNoAdviceIsAllowedNoneIsGiven() throws Exception {
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
