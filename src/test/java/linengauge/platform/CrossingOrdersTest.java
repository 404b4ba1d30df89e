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
import linengauge.platform.PaperNet.Line;
import linengauge.standin.PlatformJournal;
import linengauge.standin.PlatformViewers;
import org.junit.jupiter.api.Test;

/**
 * Two events that cross, and the turn of the loop between them, in every order
 * (docs/design/crossings.md).
 */
class CrossingOrdersTest {
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

  private static int count(PaperNet net, String what) {
    return (int) net.done.stream().filter(what::equals).count();
  }

  /** A viewing that plays, on a viewers' connection of its own; returns that. */
  private static Line plays(PaperNet net, long id) {
    Line viewers = net.viewers();
    viewers.comes(setUp(id));
    net.settle();
    String at =
        net.done.stream().filter(d -> d.startsWith("set-up")).reduce((a, b) -> b).orElseThrow();
    net.answers(at.substring("set-up ".length()), id);
    assertTrue(viewers.types.contains(9));
    return viewers;
  }

  private static String box(PaperNet net) {
    return net.done.stream()
        .filter(d -> d.startsWith("set-up"))
        .reduce((a, b) -> b)
        .orElseThrow()
        .substring("set-up ".length());
  }

  private static void noneSent(PaperNet net, long id) {
    net.pass(Span.ofMillis(700));
    assertFalse(net.setUps.contains(id), "begun though its viewer has left: " + net.done);
  }

  /**
   * A front that could send as soon as it has read: nothing is asked of the one box before, and a
   * connection is up.
   */
  private static PaperNet quick() throws Exception {
    PaperNet net = PaperNet.front(text -> text.replace("\"probing\":true", "\"probing\":false"));
    plays(net, 6);
    net.gone(box(net).endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    net.setUps.clear();
    return net;
  }

  @Test
  void aSetUpThatNothingCrossesIsSent() throws Exception {
    PaperNet net = quick();
    net.viewers().comes(setUp(7));
    net.settle();
    assertEquals(List.of(7L), net.setUps);
  }

  /* ---- a viewer's departure and the begin of its set-up ---- */

  @Test
  void aSetUpAndItsEndInOnePieceIsSentToNobody() throws Exception {
    PaperNet net = quick();
    net.viewers().comes(join(setUp(7), end(7)));
    noneSent(net, 7);
  }

  @Test
  void aSetUpAndItsEndReadInOneTurnIsSentToNobody() throws Exception {
    PaperNet net = quick();
    Line viewers = net.viewers();
    viewers.comes(setUp(7));
    viewers.comes(end(7));
    noneSent(net, 7);
  }

  @Test
  void aSetUpWhoseConnectionClosesInTheSameTurnIsSentToNobody() throws Exception {
    PaperNet net = quick();
    Line viewers = net.viewers();
    viewers.comes(setUp(7));
    viewers.breaks();
    noneSent(net, 7);
  }

  @Test
  void aSetUpEndedOnAnotherConnectionInTheSameTurnIsSentToNobody() throws Exception {
    PaperNet net = quick();
    net.viewers().comes(setUp(7));
    net.viewers().comes(end(7));
    noneSent(net, 7);
  }

  @Test
  void anEndBehindAHundredSetUpsIsHeardBeforeTheyAreBegun() throws Exception {
    PaperNet net = PaperNet.front();
    net.step = Span.ofMillis(1);
    net.viewers().comes(join(many(100, 200), end(199)));
    noneSent(net, 199);
    assertTrue(net.setUps.contains(100L));
  }

  /**
   * So many that taking them apart takes more than a turn: none is begun before all that came is
   * taken apart.
   */
  @Test
  void anEndThatIsTakenApartTurnsLaterIsHeardBeforeItsSetUpIsBegun() throws Exception {
    PaperNet net = PaperNet.front();
    net.step = Span.ofMillis(1);
    net.viewers().comes(join(many(100, 350), end(100)));
    noneSent(net, 100);
    assertTrue(net.setUps.contains(101L));
  }

  @Test
  void whoSendsTooMuchIsTurnedAwayAtOnceAndStillSeenToLeave() throws Exception {
    PaperNet net = PaperNet.front();
    net.step = Span.ofMillis(1);
    Line rude = net.viewers();
    rude.comes(many(1000, 1500));
    net.pass(Span.ofMillis(50));
    assertFalse(rude.paused, "its end would not be seen");
    assertTrue(
        rude.types.size() > 50,
        "what is over the bound is turned away at once: " + rude.types.size());
    rude.breaks();
    int sent = net.setUps.size();
    net.pass(Span.ofSeconds(3));
    assertEquals(sent, net.setUps.size(), "what waited has left with it");
  }

  /** The box refuses, the loop stood still meanwhile, and the viewer's end lies in the kernel. */
  @Test
  void aRetryAfterAStandStillWaitsUntilTheLoopHasRead() throws Exception {
    PaperNet net = PaperNet.front();
    Line viewers = net.viewers();
    viewers.comes(setUp(7));
    net.settle();
    String at = box(net);
    net.setUps.clear();
    net.standsStill(Span.ofMillis(400));
    net.box(at).comes(finish(7, 34));
    net.settle();
    assertEquals(List.of(), net.setUps, "its viewer may have left in the meantime");
    viewers.comes(end(7));
    noneSent(net, 7);
  }

  @Test
  void aRetryAfterAStandStillLeavesOnceTheLoopHasRead() throws Exception {
    PaperNet net = PaperNet.front();
    Line viewers = net.viewers();
    viewers.comes(setUp(7));
    net.settle();
    String at = box(net);
    net.setUps.clear();
    net.standsStill(Span.ofMillis(400));
    net.box(at).comes(finish(7, 34));
    net.pass(Span.ofMillis(10));
    assertEquals(List.of(7L), net.setUps, "some turns, not some beats");
  }

  /**
   * Hundreds that wait for the loop's reading made a long turn of their own, after which all that
   * came next waited again.
   */
  @Test
  void whatWaitsForTheReadingRunsInSharesOfATurn() throws Exception {
    PaperNet net = PaperNet.front();
    net.pass(Span.ofMillis(500));
    net.standsStill(Span.ofMillis(400));
    net.step = Span.ofMillis(1);
    List<Moment> ran = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      net.front.whenRead(() -> ran.add(net.now()));
    }
    assertEquals(0, ran.size());
    long longest = 0;
    for (int i = 0; i < 400 && ran.size() < 100; i++) {
      int before = ran.size();
      net.passOne();
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
    PaperNet net = PaperNet.front();
    net.viewers().comes(setUp(7));
    for (int i = 0; i < 6 && net.setUps.isEmpty(); i++) {
      net.standsStill(Span.ofMillis(120));
      net.pass(Span.ofMillis(1));
    }
    assertEquals(List.of(7L), net.setUps);
  }

  @Test
  void aDialThatComesUpInTheTurnInWhichItsViewerLeavesSendsNothing() throws Exception {
    for (boolean endFirst : new boolean[] {true, false}) {
      PaperNet net = PaperNet.front();
      net.dialsHang = true;
      Line viewers = net.viewers();
      viewers.comes(setUp(7));
      net.pass(Span.ofMillis(100));
      if (endFirst) {
        viewers.comes(end(7));
        net.dialsComeUp();
      } else {
        net.dialsComeUp();
        viewers.comes(end(7));
      }
      noneSent(net, 7);
      assertEquals(
          0,
          net.done.stream().filter(d -> d.startsWith("end")).count(),
          "what never left is not said to be over");
    }
  }

  /** Chosen, and put off until the turn's reading is over; its viewer leaves in between. */
  @Test
  void anEndBetweenChoiceAndSendingLeavesNothingToSayToTheBox() throws Exception {
    PaperNet net = quick();
    Line viewers = net.viewers();
    net.done.clear();
    viewers.comes(setUp(7));
    net.settleOne();
    viewers.comes(end(7));
    net.pass(Span.ofMillis(300));
    assertEquals(
        List.of(),
        net.done.stream().filter(d -> d.startsWith("set-up") || d.startsWith("end")).toList());
  }

  /**
   * Made between the dial's coming up and what that puts off, in a loop that is behind: it waited
   * there twice.
   */
  @Test
  void aSetUpThatCrossesItsConnectionsComingUpLeavesOnce() throws Exception {
    PaperNet net = PaperNet.front(text -> text.replace("\"probing\":true", "\"probing\":false"));
    net.gone("127.0.0.1:4");
    net.dialsHang = true;
    net.viewers().comes(handOver(50, "127.0.0.1:3"));
    net.settle();
    net.standsStill(Span.ofMillis(400));
    net.viewers().comes(setUp(7));
    net.settleOne();
    net.dialsComeUp();
    net.pass(Span.ofMillis(200));
    assertEquals(List.of(7L), net.setUps);
  }

  /* ---- words that came before a close ---- */

  @Test
  void anEndReadBeforeItsConnectionClosedIsHeardThoughMuchStandsBeforeIt() throws Exception {
    PaperNet net = PaperNet.front();
    net.step = Span.ofMillis(1);
    plays(net, 7);
    String at = box(net);
    net.done.clear();
    Line other = net.viewers();
    other.comes(join(many(100, 350), end(7))); // more than is taken apart in a turn
    other.breaks();
    net.pass(Span.ofMillis(100));
    assertEquals(1, count(net, "end " + at), "its box would play on for nobody: " + net.done);
  }

  @Test
  void aSessionHandedOverBeforeItsConnectionClosedIsHeld() throws Exception {
    for (boolean ended : new boolean[] {false, true}) {
      PaperNet net = PaperNet.front();
      net.step = Span.ofMillis(1);
      Line by = net.viewers();
      var all = new ByteArrayOutputStream();
      for (long id = 300; id < 340; id++) {
        all.writeBytes(handOver(id, "127.0.0.1:3"));
      }
      by.comes(ended ? join(all.toByteArray(), end(339)) : all.toByteArray());
      by.breaks();
      net.pass(Span.ofMillis(1500));
      if (ended) {
        assertEquals(1, count(net, "end 127.0.0.1:3"), "its box is told");
      }
      Line other = plays(net, 7);
      net.box("127.0.0.1:3").comes(finish(339, 16));
      net.pass(Span.ofMillis(100));
      assertEquals(!ended, other.released.contains(339L), "ended by its viewer before: " + ended);
    }
  }

  /* ---- releases and closes ---- */

  @Test
  void aReleaseThatCrossesTheCloseOfItsConnectionIsToldOnAnother() throws Exception {
    for (boolean heard : new boolean[] {false, true}) {
      PaperNet net = PaperNet.front();
      Line home = plays(net, 7);
      String at = box(net);
      Line other = plays(net, 8);
      net.box(at).comes(finish(7, 16));
      net.settle();
      assertEquals(List.of(7L), home.released);
      if (heard) {
        home.comes(PlatformViewers.message(16, 7));
      }
      home.breaks();
      net.pass(Span.ofMillis(10));
      assertEquals(heard ? List.of() : List.of(7L), other.released, "heard: " + heard);
    }
  }

  @Test
  void aReleaseThatFindsItsConnectionFullIsToldOnTheNextOne() throws Exception {
    PaperNet net = PaperNet.front();
    Line home = plays(net, 7);
    String at = box(net);
    home.full = true;
    net.box(at).comes(finish(7, 16));
    net.pass(Span.ofMillis(10));
    assertTrue(home.over && home.released.isEmpty());
    Line full = net.viewers();
    full.full = true;
    full.comes(handOver(50, "127.0.0.1:3"));
    net.pass(Span.ofMillis(10));
    Line next = plays(net, 8);
    assertEquals(
        List.of(7L), next.released, "one polled for a connection that turns out full is not lost");
  }

  /**
   * All that can stand at once is lost while no viewer is connected: each of them is told on the
   * next connection, and none is thrown out of the queue.
   */
  @Test
  void asManyReleasesAsSessionsCanStandWaitForTheNextConnection() throws Exception {
    PaperNet net = PaperNet.front();
    for (long first = 1000; first < 9000; first += 500) {
      Line by = net.viewers();
      var all = new ByteArrayOutputStream();
      for (long id = first; id < first + 500; id++) {
        all.writeBytes(handOver(id, "127.0.0.1:3"));
      }
      by.comes(all.toByteArray());
      net.pass(Span.ofMillis(50));
      by.breaks();
    }
    assertEquals(8000, net.front.figures().viewings());
    net.gone("127.0.0.1:3");
    net.pass(Span.ofMillis(300));
    assertEquals(8000, net.front.figures().endsUntold());
    Line next = net.viewers();
    next.comes(handOver(50, "127.0.0.1:4"));
    net.pass(Span.ofMillis(10));
    assertEquals(8000, new java.util.HashSet<>(next.released).size());
  }

  /* ---- idle closes and set-ups ---- */

  @Test
  void aConnectionThatSeemsToRestIsNotClosedOverASetUpThatLiesUnread() throws Exception {
    PaperNet net = PaperNet.front();
    List<Line> lines = new ArrayList<>();
    int places = linengauge.platform.connection.DescriptorBudget.of(256).clients();
    for (int i = 0; i < places; i++) {
      Line l = net.viewers();
      l.comes(TEST);
      lines.add(l);
    }
    net.pass(Span.ofMillis(100));
    net.standsStill(Span.ofMillis(400));
    lines.add(net.viewers());
    net.settle();
    assertEquals(
        0,
        lines.stream().filter(l -> l.over).count(),
        "what they have sent meanwhile is not read yet");
    Line oldest = lines.get(0);
    oldest.comes(setUp(7));
    net.pass(Span.ofMillis(100));
    assertFalse(oldest.over, "it asks");
    assertTrue(net.setUps.contains(7L));
    assertEquals(1, lines.stream().filter(l -> l.over).count(), "one that rests made the place");
    assertFalse(lines.get(places).over, "and not the one that has just come");
  }

  @Test
  void aFloodOfConnectionsWhileTheLoopIsBehindStaysWithinItsDescriptors() throws Exception {
    PaperNet net = PaperNet.front();
    net.standsStill(Span.ofMillis(400));
    List<Line> lines = new ArrayList<>();
    for (int i = 0; i < 600; i++) {
      lines.add(net.viewers());
    }
    int places = linengauge.platform.connection.DescriptorBudget.of(256).clients();
    assertTrue(lines.stream().filter(l -> !l.over).count() <= places + 16);
    net.pass(Span.ofMillis(100));
    assertEquals(places, lines.stream().filter(l -> !l.over).count());
  }

  /* ---- one id, two attempts ---- */

  /**
   * A front that knows one box; viewing 7 was not answered there and is tried again once the box
   * has confirmed the end of the first attempt.
   */
  private static PaperNet triedAgain() throws Exception {
    PaperNet net = PaperNet.front();
    net.pass(Span.ofSeconds(3)); // young fronts send nothing to a box that may have started anew
    String at = net.setUpOut();
    net.gone(at.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    net.boxesAnswerTests = false;
    Line first = net.lines.stream().filter(l -> l.setUps.contains(7L)).findFirst().orElseThrow();
    for (int i = 0; i < 100 && first.ended.isEmpty(); i++) {
      net.pass(Span.ofMillis(20));
    }
    assertEquals(List.of(7L), net.setUps, "not before the first is over at the box");
    first.comes("{\"verb\":\"FINISHED\",\"tag\":\"" + tag(7) + "\",\"opts\":{}}");
    for (int i = 0; i < 100 && net.setUps.size() < 2; i++) {
      net.pass(Span.ofMillis(20));
    }
    assertEquals(List.of(7L, 7L), net.setUps, "tried again at the one box that there is");
    net.done.clear();
    return net;
  }

  private static List<Line> to(PaperNet net, String at) {
    return net.lines.stream().filter(l -> l.to.equals(at) && l.types.size() > 0).toList();
  }

  @Test
  void whatIsLateForTheFirstAttemptIsNotTakenForTheSeconds() throws Exception {
    for (String late :
        List.of(
            finish(7, 34),
            finish(7, 47),
            finish(7, 102),
            "{\"verb\":\"STARTED\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"blob\":\"first\"}")) {
      PaperNet net = triedAgain();
      List<Line> used = net.lines.stream().filter(l -> l.setUps.contains(7L)).toList();
      assertEquals(2, used.size(), "each attempt has a connection of its own");
      used.get(0).comes(late);
      net.pass(Span.ofMillis(60));
      assertEquals(
          0,
          net.done.stream().filter(d -> d.startsWith("set-up")).count(),
          "two would be out: " + late);
      used.get(1)
          .comes(
              "{\"verb\":\"STARTED\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"blob\":\"second\"}");
      net.settle();
      used.get(0).comes(finish(7, 47));
      net.settle();
      assertFalse(
          net.lines.stream().anyMatch(l -> l.released.contains(7L)), "it plays on: " + late);
      used.get(1).comes(finish(7, 16));
      net.settle();
      assertTrue(net.viewersLines.get(0).released.contains(7L), "its own end is heard");
    }
  }

  /**
   * Where every connection that may be had carries an earlier attempt of that id, none is made
   * rather than one that is doubted.
   */
  @Test
  void whereEveryConnectionIsSpentNoAttemptIsMade() throws Exception {
    PaperNet net =
        PaperNet.front(
            text ->
                text.replace("\"maxAttempts\":3", "\"maxAttempts\":9")
                    .replace("\"probing\":true", "\"probing\":false"));
    net.pass(Span.ofSeconds(3));
    String at = net.setUpOut();
    net.gone(at.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    for (int i = 0; i < 12; i++) {
      net.lines.stream()
          .filter(l -> l.to.equals(at) && !l.over && l.setUps.contains(7L))
          .reduce((a, b) -> b)
          .orElseThrow()
          .comes(finish(7, 34));
      net.pass(Span.ofMillis(5));
    }
    List<Line> used = net.lines.stream().filter(l -> l.to.equals(at)).toList();
    assertEquals(4, used.size());
    used.forEach(l -> assertEquals(List.of(7L), l.setUps, "one attempt a connection"));
    net.pass(Span.ofSeconds(2));
    assertEquals(List.of(7L), net.viewersLines.get(0).released, "refused once, as it never ran");
  }

  /**
   * The way to a server is cut with a set-up on it, and mended later: what was written arrives
   * then, the set-up with its end right behind it, and nothing else of this front; no further
   * set-up is entrusted to that connection.
   */
  @Test
  void aSetUpOnAWayThatIsCutIsFollowedByItsEndAndByNoOther() throws Exception {
    PaperNet net = PaperNet.front(text -> text.replace("\"probing\":true", "\"probing\":false"));
    net.pass(Span.ofSeconds(3));
    String at = net.setUpOut();
    net.gone(at.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    Line cut = net.box(at);
    net.pass(Span.ofMillis(1500)); // longer than the wait; nothing comes
    net.viewers().comes(setUp(8));
    net.pass(Span.ofMillis(1500));
    assertTrue(net.setUps.contains(8L), "sent on another connection");
    assertEquals(List.of(7L), cut.setUps, "and not on the one whose way may be cut");
    assertEquals(1, cut.ended.stream().filter(id -> id == 7L).count(), "its end follows it");
    assertTrue(cut.over, "closed as it rests");
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
        PaperNet net = quick();
        Line viewers = net.viewers();
        viewers.comes(setUp(7));
        net.settle();
        Line first = net.box(box(net));
        first.comes(Arrays.copyOf(line, cut));
        if (closes) {
          first.breaks();
        }
        net.pass(Span.ofMillis(100));
        for (Line l : net.lines) {
          if (l != first && !l.over && l.setUps.contains(7L)) {
            l.comes(line);
          }
        }
        net.pass(Span.ofSeconds(3));
        assertEquals(
            1, viewers.types.size(), "cut at " + cut + ", closes " + closes + ": " + viewers.types);
        boolean played = viewers.types.get(0) == 9;
        assertTrue(
            !played || viewers.lastLength == 11 + 3 + "made for it".length(), "cut at " + cut);
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
    PaperNet net = quick();
    Line viewers = net.viewers();
    viewers.comes(setUp(7));
    net.settle();
    Line first = net.lines.stream().filter(l -> l.setUps.contains(7L)).findFirst().orElseThrow();
    first.comes(finish(7, 34));
    net.pass(Span.ofMillis(300));
    Line second =
        net.lines.stream()
            .filter(l -> l != first && l.setUps.contains(7L))
            .findFirst()
            .orElseThrow();
    net.setUps.clear();
    first.comes(finish(7, 34));
    net.pass(Span.ofMillis(50));
    assertEquals(List.of(), net.setUps, "the next attempt is out still");
    second.comes("{\"verb\":\"STARTED\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"blob\":\"b\"}");
    net.settle();
    assertEquals(List.of(9), viewers.types);
    first.comes(finish(7, 34));
    second.comes("{\"verb\":\"STARTED\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"blob\":\"b\"}");
    net.pass(Span.ofMillis(50));
    assertEquals(List.of(9), viewers.types, "it plays on");
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

  private static long watches(PaperNet net) {
    return net.lines.stream().filter(l -> l.to.equals("127.0.0.1:2")).count();
  }

  private static Line watch(PaperNet net) {
    return net.lines.stream()
        .filter(l -> l.to.equals("127.0.0.1:2"))
        .reduce((a, b) -> b)
        .orElseThrow();
  }

  @Test
  void aWatchThatDripsIsTakenForSilent() throws Exception {
    PaperNet net = PaperNet.front();
    Line watch = watch(net);
    byte[] event = frame(2, PlatformJournal.record(1, 3, 1, 0, 0));
    for (byte b : event) {
      net.pass(Span.ofMillis(300));
      if (!watch.over) {
        watch.comes(new byte[] {b});
      }
    }
    assertTrue(watch.over && watches(net) > 1, "no whole frame has come for 12 s");
  }

  @Test
  void aWatchThatTellsItsSignOfLifeStays() throws Exception {
    PaperNet net = PaperNet.front();
    for (int i = 0; i < 20; i++) {
      net.pass(Span.ofMillis(1000));
      watch(net).comes(frame(1));
    }
    assertEquals(1, watches(net));
  }

  @Test
  void aServiceThatSkipsAnEventEachTimeIsAskedWithPauses() throws Exception {
    PaperNet net = PaperNet.front();
    for (int i = 0; i < 100; i++) {
      Line watch = watch(net);
      if (!watch.over && watch.types.size() > 0) {
        watch.comes(frame(1));
        watch.comes(frame(9, PlatformJournal.record(1, 3, 1, 0, 0)));
      }
      net.pass(Span.ofMillis(20));
    }
    assertTrue(watches(net) > 3 && watches(net) < 12, watches(net) + " calls in 2 s");
  }

  @Test
  void frontsThatLoseTheServiceAtOneMomentComeBackApart() throws Exception {
    List<List<Moment>> dials = new ArrayList<>();
    for (String seed : List.of("8c1f30d27a5be964", "0000000000000001")) {
      PaperNet net = PaperNet.front(text -> text.replace("8c1f30d27a5be964", seed));
      watch(net).breaks();
      net.refusing.add("127.0.0.1:2");
      net.pass(Span.ofSeconds(4));
      dials.add(net.tries("127.0.0.1:2"));
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
    PaperNet net = PaperNet.front();
    net.pass(Span.ofMillis(1000));
    net.standsStill(Span.ofMillis(3000));
    net.pass(Span.ofMillis(1)); // timers that are due run before the loop reads
    watch(net).comes(frame(1));
    net.pass(Span.ofMillis(500));
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
      PaperNet net = PaperNet.front(text -> patience(text, ms));
      Moment told = net.now();
      net.front.stop();
      net.front.stop();
      List<Line> viewers = new ArrayList<>();
      for (int id = 7; id < 14; id++) {
        net.pass(Span.ofMillis(99));
        Line v = net.viewers();
        v.comes(PlatformViewers.setUp(id, "lesson", ms, "")); // no box answers
        viewers.add(v);
      }
      net.pass(told.plus(Span.ofMillis(ms + 700)).since(net.now()));
      viewers.forEach(v -> assertEquals(1, v.released.size(), ms + " ms"));
    }
  }

  @Test
  void theEndInOrderWaitsForItsLastWordsWithinABound() throws Exception {
    for (long ms : new long[] {100, 1030, 3000, 20_000}) {
      for (boolean reads : new boolean[] {true, false}) {
        PaperNet net = PaperNet.front(text -> patience(text, ms));
        net.writesLeave = reads;
        plays(net, 7);
        Moment told = net.now();
        net.front.stop();
        net.pass(Span.ofSeconds(6));
        long after = net.endedAt.since(told).micros() / 1000;
        long end = Math.max(750, Math.min(ms, 3000)) + 500;
        assertTrue(
            after >= end + 60 && after < end + (reads ? 100 : 200),
            ms + " ms: ended after " + after);
        assertEquals(List.of(7L), net.viewersLines.get(0).released);
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
      PaperNet net = PaperNet.front();
      net.step = new Span(stepMicros);
      Line by = net.viewers();
      var all = new ByteArrayOutputStream();
      for (long id = 300; id < 1500; id++) {
        all.writeBytes(handOver(id, "127.0.0.1:3"));
      }
      all.writeBytes(many(1500, 1600));
      by.comes(all.toByteArray());
      net.front.stop();
      while (net.endedAt == null) {
        net.passOne();
      }
      for (long id = 300; id < 1600; id++) {
        long told = id;
        assertEquals(
            1,
            by.released.stream().filter(r -> r == told).count(),
            "session " + id + ", a look at the time taking " + stepMicros + " us");
      }
    }
  }

  /* ---- margins and settings ---- */

  @Test
  void aClassThatWaitsNoLongerThanTheMarginsOfOthersIsServed() throws Exception {
    for (long ms : new long[] {20, 60, 150, 1000}) {
      PaperNet net = PaperNet.front(text -> patience(text, ms));
      net.viewers().comes(PlatformViewers.setUp(7, "lesson", ms, ""));
      net.settle();
      assertEquals(List.of(7L), net.setUps, ms + " ms");
    }
  }

  @Test
  void whereNoAdviceIsAllowedNoneIsGiven() throws Exception {
    for (boolean allowed : new boolean[] {true, false}) {
      PaperNet net =
          PaperNet.front(text -> text.replace("\"retryAfter\":true", "\"retryAfter\":" + allowed));
      Line viewers = net.viewers();
      viewers.comes(PlatformViewers.setUp(7, "lesson", 1, ""));
      net.standsStill(Span.ofMillis(20));
      net.settle();
      assertEquals(List.of(7L), viewers.released);
      assertEquals(allowed ? 15 + 3 + 3 : 15, viewers.lastLength, "advice allowed: " + allowed);
    }
  }
}
