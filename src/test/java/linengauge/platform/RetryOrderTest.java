package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import linengauge.Span;
import linengauge.platform.PaperNet.Line;
import linengauge.standin.PlatformViewers;
import org.junit.jupiter.api.Test;

/** A front that knows one server: what must have come from it before a request goes there again. */
class RetryOrderTest {
  private static final long REQUEST = 7;

  /**
   * Its first attempt was given up, though the server shows that it is there; tests are answered
   * only where a test of this class says so.
   */
  private static PaperNet givenUp() throws Exception {
    return givenUp(false);
  }

  private static PaperNet givenUp(boolean probing) throws Exception {
    PaperNet net =
        PaperNet.front(text -> text.replace("\"probing\":true", "\"probing\":" + probing));
    net.pass(Span.ofSeconds(3)); // young fronts send nothing to a server that may have started anew
    String at = net.setUpOut();
    net.gone(at.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    net.boxesAnswerTests = probing;
    net.pass(Span.ofMillis(50));
    first(net).comes(line("PENDING", ""));
    for (int i = 0; i < 100 && first(net).ended.isEmpty(); i++) {
      net.pass(Span.ofMillis(10));
    }
    assertEquals(List.of(REQUEST), first(net).ended);
    return net;
  }

  private static Line first(PaperNet net) {
    return net.lines.stream().filter(l -> l.setUps.contains(REQUEST)).findFirst().orElseThrow();
  }

  private static String line(String verb, String more) {
    return "{\"verb\":\"" + verb + "\",\"tag\":\"0000000000000007\",\"opts\":{}" + more + "}";
  }

  private static int attempts(PaperNet net) {
    net.pass(Span.ofMillis(150));
    return net.setUps.size();
  }

  /**
   * Guards against a second attempt while nothing shows that the server has read the first's end.
   */
  @Test
  void withoutAWordNoFurtherAttemptGoesToTheSameServer() throws Exception {
    PaperNet net = givenUp();
    net.pass(Span.ofSeconds(3));
    assertEquals(List.of(REQUEST), net.setUps);
    assertTrue(
        net.events.stream().anyMatch(e -> e.reason().equals("EARLIER_ATTEMPT_UNCONFIRMED")),
        () -> "the refusal says why: " + net.events);
  }

  /** Guards against refusing what the server has cleared. */
  @Test
  void aConfirmedOrRefusedEndFreesTheServer() throws Exception {
    for (String word :
        List.of(line("FINISHED", ""), line("FINISH", ",\"rc\":34"), line("FINISH", ",\"rc\":16"))) {
      PaperNet net = givenUp();
      first(net).comes(word);
      assertEquals(2, attempts(net), word);
    }
  }

  /** Guards against a refusal where the server would confirm the end if it were asked. */
  @Test
  void whereNoOtherServerIsLeftItIsAskedForTheConfirmation() throws Exception {
    PaperNet net = givenUp(true);
    assertEquals(2, attempts(net));
    assertTrue(
        net.events.stream().anyMatch(e -> e.kind() == LogEvent.Kind.END_CONFIRMED),
        () -> net.events.toString());
  }

  /** Guards against taking for a confirmation what the server may write before it reads the end. */
  @Test
  void aLateAnswerOrTheCloseOfTheConnectionConfirmsNothing() throws Exception {
    PaperNet answered = givenUp();
    first(answered).comes(line("STARTED", ",\"blob\":\"late\""));
    assertEquals(1, attempts(answered));
    assertFalse(first(answered).over, "its end may still be confirmed");
    PaperNet closed = givenUp();
    first(closed).breaks();
    assertEquals(1, attempts(closed));
  }

  /** Guards against a retry that overtakes the close of the connection before it. */
  @Test
  void anAttemptWhoseConnectionClosesIsNotTriedAgainAtItsServer() throws Exception {
    for (boolean byTheServer : new boolean[] {true, false}) {
      PaperNet net = PaperNet.front(t -> t.replace("\"probing\":true", "\"probing\":false"));
      net.pass(Span.ofSeconds(3));
      String at = net.setUpOut();
      net.gone(at.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
      if (byTheServer) {
        first(net).breaks();
      } else {
        first(net).comes("no such thing");
      }
      net.pass(Span.ofSeconds(3));
      assertEquals(List.of(REQUEST), net.setUps);
    }
  }

  /** Two sessions of one server, set up on two connections; the second has been heard last. */
  private static PaperNet twoStand() throws Exception {
    PaperNet net = PaperNet.front(t -> t.replace("\"probing\":true", "\"probing\":false"));
    net.pass(Span.ofSeconds(3));
    String at = net.setUpOut();
    net.gone(at.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    net.viewers().comes(PlatformViewers.setUp(REQUEST + 1, "lesson", 2000, ""));
    net.settle();
    for (long id = REQUEST; id <= REQUEST + 1; id++) {
      long of = id;
      Line by = net.lines.stream().filter(l -> l.setUps.contains(of)).findFirst().orElseThrow();
      by.comes(line("STARTED", ",\"blob\":\"b\"").replace("7\",\"opts", id + "\",\"opts"));
      net.pass(Span.ofMillis(10));
    }
    return net;
  }

  /** Guards against a rung or an end that overtakes what was written of the session before. */
  @Test
  void whatConcernsASessionKeepsToTheConnectionOfItsSetUp() throws Exception {
    PaperNet net = twoStand();
    net.viewersLines.get(0).comes(PlatformViewers.message(12, REQUEST, 61, new byte[] {16}));
    net.settle();
    assertEquals(List.of(REQUEST), first(net).ended);
  }

  /** Guards against a session that stands for nobody: answered as its connection was closed. */
  @Test
  void anAttemptWhoseConnectionClosesIsEndedOnAnotherConnection() throws Exception {
    for (boolean byTheServer : new boolean[] {true, false}) {
      PaperNet net = twoStand();
      net.viewers().comes(PlatformViewers.setUp(9, "lesson", 2000, ""));
      net.settle();
      Line of = net.lines.stream().filter(l -> l.setUps.contains(9L)).findFirst().orElseThrow();
      if (byTheServer) {
        of.breaks();
      } else {
        of.comes("no such thing");
      }
      net.settle();
      assertTrue(
          net.lines.stream().anyMatch(l -> l != of && l.ended.contains(9L)), net.done.toString());
    }
  }

  /** Guards against sessions that play on for nobody at a server whose way was cut for long. */
  @Test
  void sessionsGivenUpWhileTheirServerWasOutOfReachAreEndedOnceItIsReachedAgain() throws Exception {
    PaperNet net = twoStand();
    Line first = first(net);
    net.unreachable.add(first.to);
    net.lines.stream().filter(l -> l.to.equals(first.to)).forEach(Line::breaks);
    net.pass(Span.ofSeconds(5));
    assertTrue(net.said.contains("server lost"), net.said.toString());
    long connections = net.opened(first.to);
    net.unreachable.clear();
    net.pass(Span.ofSeconds(3)); // and nobody asks for anything there
    assertEquals(connections + 1, net.opened(first.to));
    Line again = net.box(first.to);
    assertTrue(again.ended.containsAll(List.of(REQUEST, REQUEST + 1)), again.ended.toString());
  }

  /** Guards against an end that is lost with the connection that was reset behind it. */
  @Test
  void anEndWrittenJustBeforeItsConnectionClosesIsToldOnAnother() throws Exception {
    PaperNet net = twoStand();
    net.viewersLines.get(0).comes(PlatformViewers.message(12, REQUEST, 61, new byte[] {16}));
    net.settle();
    Line of = first(net);
    assertEquals(List.of(REQUEST), of.ended);
    of.breaks();
    net.settle();
    assertTrue(net.lines.stream().anyMatch(l -> l != of && l.ended.contains(REQUEST)));
  }

  /**
   * Guards against an end that waits for a new connection while the session's own is still open.
   */
  @Test
  void anEndLeavesOnAConnectionThatIsSilentWhereNoOtherIsUp() throws Exception {
    PaperNet net = givenUpSilently();
    Line only = first(net);
    assertEquals(List.of(REQUEST + 1), only.ended, "it takes no more set-ups from here on");
    net.viewersLines.get(0).comes(PlatformViewers.message(12, REQUEST, 61, new byte[] {16}));
    net.settle();
    assertTrue(only.ended.contains(REQUEST), only.ended.toString());
  }

  /** A session stands; a second attempt on its connection is given up with nothing heard. */
  private static PaperNet givenUpSilently() throws Exception {
    PaperNet net = PaperNet.front(t -> t.replace("\"probing\":true", "\"probing\":false"));
    net.pass(Span.ofSeconds(3));
    String at = net.setUpOut();
    net.gone(at.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    net.boxesAnswerTests = false;
    first(net).comes(line("STARTED", ",\"blob\":\"b\""));
    net.settle();
    net.unreachable.add(first(net).to);
    net.viewers().comes(PlatformViewers.setUp(REQUEST + 1, "lesson", 2000, ""));
    for (int i = 0; i < 100 && first(net).ended.isEmpty(); i++) {
      net.pass(Span.ofMillis(10));
    }
    return net;
  }

  /**
   * Guards against a session that stands for nobody at a new server that has a gone one's address.
   */
  @Test
  void anAttemptUnderAConnectionThatTheFrontClosesIsEndedOnItFirst() throws Exception {
    for (boolean gone : new boolean[] {true, false}) {
      PaperNet net = PaperNet.front();
      String at = net.setUpOut();
      Line of = first(net);
      if (gone) {
        net.gone(at);
      } else {
        of.comes("no such thing");
      }
      net.settle();
      assertTrue(of.over);
      assertEquals(List.of(REQUEST), of.ended);
    }
  }
}
