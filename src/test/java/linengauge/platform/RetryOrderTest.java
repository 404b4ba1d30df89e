package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import linengauge.Span;
import linengauge.platform.FakeNet.FakeConnection;
import linengauge.standin.PlatformViewers;
import org.junit.jupiter.api.Test;

/** A front that knows one server: what must have come from it before a request goes there again. */
class RetryOrderTest {
  private static final long REQUEST = 7;

  /**
   * Its first attempt was given up, though the server shows that it is there; tests are answered
   * only where a test of this class says so.
   */
  private static FakeNet givenUp() throws Exception {
    return givenUp(false);
  }

  private static FakeNet givenUp(boolean probing) throws Exception {
    FakeNet net = FakeNet.front(text -> text.replace("\"probing\":true", "\"probing\":" + probing));
    net.advance(
        Span.ofSeconds(3)); // young fronts send nothing to a server that may have started anew
    String at = net.sendFirstSetUp();
    net.removeServer(at.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    net.serversAnswerTests = probing;
    net.advance(Span.ofMillis(50));
    first(net).deliver(line("PENDING", ""));
    for (int i = 0; i < 100 && first(net).endedIds.isEmpty(); i++) {
      net.advance(Span.ofMillis(10));
    }
    assertEquals(List.of(REQUEST), first(net).endedIds);
    return net;
  }

  private static FakeConnection first(FakeNet net) {
    return net.serverConnections.stream()
        .filter(l -> l.setUpIds.contains(REQUEST))
        .findFirst()
        .orElseThrow();
  }

  private static String line(String verb, String more) {
    return "{\"verb\":\"" + verb + "\",\"tag\":\"0000000000000007\",\"opts\":{}" + more + "}";
  }

  private static int attempts(FakeNet net) {
    net.advance(Span.ofMillis(150));
    return net.setUpIds.size();
  }

  /**
   * Guards against a second attempt while nothing shows that the server has read the first's end.
   */
  @Test
  void withoutAWordNoFurtherAttemptGoesToTheSameServer() throws Exception {
    FakeNet net = givenUp();
    net.advance(Span.ofSeconds(3));
    assertEquals(List.of(REQUEST), net.setUpIds);
    assertTrue(
        net.events.stream().anyMatch(e -> e.reason().equals("EARLIER_ATTEMPT_UNCONFIRMED")),
        () -> "the refusal says why: " + net.events);
  }

  /** Guards against refusing what the server has cleared. */
  @Test
  void aConfirmedOrRefusedEndFreesTheServer() throws Exception {
    for (String word :
        List.of(line("FINISHED", ""), line("FINISH", ",\"rc\":34"), line("FINISH", ",\"rc\":16"))) {
      FakeNet net = givenUp();
      first(net).deliver(word);
      assertEquals(2, attempts(net), word);
    }
  }

  /** Guards against a refusal where the server would confirm the end if it were asked. */
  @Test
  void whereNoOtherServerIsLeftItIsAskedForTheConfirmation() throws Exception {
    FakeNet net = givenUp(true);
    assertEquals(2, attempts(net));
    assertTrue(
        net.events.stream().anyMatch(e -> e.kind() == LogEvent.Kind.END_CONFIRMED),
        () -> net.events.toString());
  }

  /** Guards against taking for a confirmation what the server may write before it reads the end. */
  @Test
  void aLateAnswerOrTheCloseOfTheConnectionConfirmsNothing() throws Exception {
    FakeNet answered = givenUp();
    first(answered).deliver(line("STARTED", ",\"blob\":\"late\""));
    assertEquals(1, attempts(answered));
    assertFalse(first(answered).closed, "its end may still be confirmed");
    FakeNet closed = givenUp();
    first(closed).closeByPeer();
    assertEquals(1, attempts(closed));
  }

  /** Guards against a retry that overtakes the close of the connection before it. */
  @Test
  void anAttemptWhoseConnectionClosesIsNotTriedAgainAtItsServer() throws Exception {
    for (boolean byTheServer : new boolean[] {true, false}) {
      FakeNet net = FakeNet.front(t -> t.replace("\"probing\":true", "\"probing\":false"));
      net.advance(Span.ofSeconds(3));
      String at = net.sendFirstSetUp();
      net.removeServer(at.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
      if (byTheServer) {
        first(net).closeByPeer();
      } else {
        first(net).deliver("no such thing");
      }
      net.advance(Span.ofSeconds(3));
      assertEquals(List.of(REQUEST), net.setUpIds);
    }
  }

  /** Two sessions of one server, set up on two connections; the second has been heard last. */
  private static FakeNet twoStand() throws Exception {
    FakeNet net = FakeNet.front(t -> t.replace("\"probing\":true", "\"probing\":false"));
    net.advance(Span.ofSeconds(3));
    String at = net.sendFirstSetUp();
    net.removeServer(at.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    net.acceptClient().deliver(PlatformViewers.setUp(REQUEST + 1, "lesson", 2000, ""));
    net.runDeferred();
    for (long id = REQUEST; id <= REQUEST + 1; id++) {
      long of = id;
      FakeConnection by =
          net.serverConnections.stream()
              .filter(l -> l.setUpIds.contains(of))
              .findFirst()
              .orElseThrow();
      by.deliver(line("STARTED", ",\"blob\":\"b\"").replace("7\",\"opts", id + "\",\"opts"));
      net.advance(Span.ofMillis(10));
    }
    return net;
  }

  /** Guards against a rung or an end that overtakes what was written of the session before. */
  @Test
  void whatConcernsASessionKeepsToTheConnectionOfItsSetUp() throws Exception {
    FakeNet net = twoStand();
    net.clientConnections.get(0).deliver(PlatformViewers.message(12, REQUEST, 61, new byte[] {16}));
    net.runDeferred();
    assertEquals(List.of(REQUEST), first(net).endedIds);
  }

  /** Guards against a session that stands for nobody: answered as its connection was closed. */
  @Test
  void anAttemptWhoseConnectionClosesIsEndedOnAnotherConnection() throws Exception {
    for (boolean byTheServer : new boolean[] {true, false}) {
      FakeNet net = twoStand();
      net.acceptClient().deliver(PlatformViewers.setUp(9, "lesson", 2000, ""));
      net.runDeferred();
      FakeConnection of =
          net.serverConnections.stream()
              .filter(l -> l.setUpIds.contains(9L))
              .findFirst()
              .orElseThrow();
      if (byTheServer) {
        of.closeByPeer();
      } else {
        of.deliver("no such thing");
      }
      net.runDeferred();
      assertTrue(
          net.serverConnections.stream().anyMatch(l -> l != of && l.endedIds.contains(9L)),
          net.actions.toString());
    }
  }

  /** Guards against sessions that play on for nobody at a server whose way was cut for long. */
  @Test
  void sessionsGivenUpWhileTheirServerWasOutOfReachAreEndedOnceItIsReachedAgain() throws Exception {
    FakeNet net = twoStand();
    FakeConnection first = first(net);
    net.unreachable.add(first.address);
    net.serverConnections.stream()
        .filter(l -> l.address.equals(first.address))
        .forEach(FakeConnection::closeByPeer);
    net.advance(Span.ofSeconds(5));
    assertTrue(net.logLines.contains("server lost"), net.logLines.toString());
    long connections = net.connectionCount(first.address);
    net.unreachable.clear();
    net.advance(Span.ofSeconds(3)); // and nobody asks for anything there
    assertEquals(connections + 1, net.connectionCount(first.address));
    FakeConnection again = net.latestConnection(first.address);
    assertTrue(
        again.endedIds.containsAll(List.of(REQUEST, REQUEST + 1)), again.endedIds.toString());
  }

  /** Guards against an end that is lost with the connection that was reset behind it. */
  @Test
  void anEndWrittenJustBeforeItsConnectionClosesIsToldOnAnother() throws Exception {
    FakeNet net = twoStand();
    net.clientConnections.get(0).deliver(PlatformViewers.message(12, REQUEST, 61, new byte[] {16}));
    net.runDeferred();
    FakeConnection of = first(net);
    assertEquals(List.of(REQUEST), of.endedIds);
    of.closeByPeer();
    net.runDeferred();
    assertTrue(
        net.serverConnections.stream().anyMatch(l -> l != of && l.endedIds.contains(REQUEST)));
  }

  /**
   * Guards against an end that waits for a new connection while the session's own is still open.
   */
  @Test
  void anEndLeavesOnAConnectionThatIsSilentWhereNoOtherIsUp() throws Exception {
    FakeNet net = givenUpSilently();
    FakeConnection only = first(net);
    assertEquals(List.of(REQUEST + 1), only.endedIds, "it takes no more set-ups from here on");
    net.clientConnections.get(0).deliver(PlatformViewers.message(12, REQUEST, 61, new byte[] {16}));
    net.runDeferred();
    assertTrue(only.endedIds.contains(REQUEST), only.endedIds.toString());
  }

  /** A session stands; a second attempt on its connection is given up with nothing heard. */
  private static FakeNet givenUpSilently() throws Exception {
    FakeNet net = FakeNet.front(t -> t.replace("\"probing\":true", "\"probing\":false"));
    net.advance(Span.ofSeconds(3));
    String at = net.sendFirstSetUp();
    net.removeServer(at.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    net.serversAnswerTests = false;
    first(net).deliver(line("STARTED", ",\"blob\":\"b\""));
    net.runDeferred();
    net.unreachable.add(first(net).address);
    net.acceptClient().deliver(PlatformViewers.setUp(REQUEST + 1, "lesson", 2000, ""));
    for (int i = 0; i < 100 && first(net).endedIds.isEmpty(); i++) {
      net.advance(Span.ofMillis(10));
    }
    return net;
  }

  /**
   * Guards against a session that stands for nobody at a new server that has a gone one's address.
   */
  @Test
  void anAttemptUnderAConnectionThatTheFrontClosesIsEndedOnItFirst() throws Exception {
    for (boolean gone : new boolean[] {true, false}) {
      FakeNet net = FakeNet.front();
      String at = net.sendFirstSetUp();
      FakeConnection of = first(net);
      if (gone) {
        net.removeServer(at);
      } else {
        of.deliver("no such thing");
      }
      net.runDeferred();
      assertTrue(of.closed);
      assertEquals(List.of(REQUEST), of.endedIds);
    }
  }
}
