package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import linengauge.Span;
import linengauge.platform.FakeNet.FakeConnection;
import linengauge.standin.PlatformViewers;
import org.junit.jupiter.api.Test;

/** What a front must have received from its only server before it retries a request there. */
class RetryOrderTest {
  private static final long REQUEST = 7;

  /**
   * The first attempt has been abandoned although the server has shown that it received it; tests
   * are answered only on request of the individual test.
   */
  private static FakeNet frontAfterGivingUp() throws Exception {
    return frontAfterGivingUp(false);
  }

  private static FakeNet frontAfterGivingUp(boolean probing) throws Exception {
    FakeNet net = FakeNet.front(text -> text.replace("\"probing\":true", "\"probing\":" + probing));
    // A front that has just started sends nothing to a server that may have restarted.
    net.advance(Span.ofSeconds(3));
    String address = net.sendFirstSetUp();
    net.removeServer(address.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    net.serversAnswerTests = probing;
    net.advance(Span.ofMillis(50));
    firstAttemptConnection(net).deliver(line("PENDING", ""));
    for (int i = 0; i < 100 && firstAttemptConnection(net).endedIds.isEmpty(); i++) {
      net.advance(Span.ofMillis(10));
    }
    assertEquals(List.of(REQUEST), firstAttemptConnection(net).endedIds);
    return net;
  }

  private static FakeConnection firstAttemptConnection(FakeNet net) {
    return net.serverConnections.stream()
        .filter(connection -> connection.setUpIds.contains(REQUEST))
        .findFirst()
        .orElseThrow();
  }

  private static String line(String verb, String extraFields) {
    return "{\"verb\":\""
        + verb
        + "\",\"tag\":\"0000000000000007\",\"opts\":{}"
        + extraFields
        + "}";
  }

  private static int attemptsAfterAWait(FakeNet net) {
    net.advance(Span.ofMillis(150));
    return net.setUpIds.size();
  }

  /**
   * Guards against a second attempt while nothing shows that the server has read the first's end.
   */
  @Test
  void withoutConfirmationNoRetryGoesToTheSameServer() throws Exception {
    FakeNet net = frontAfterGivingUp();
    net.advance(Span.ofSeconds(3));
    assertEquals(List.of(REQUEST), net.setUpIds);
    assertTrue(
        net.events.stream().anyMatch(event -> event.reason().equals("EARLIER_ATTEMPT_UNCONFIRMED")),
        () -> "the refusal states its reason: " + net.events);
  }

  /** Guards against a refusal after the server has confirmed the end. */
  @Test
  void aConfirmedOrRefusedEndAllowsARetry() throws Exception {
    for (String reply :
        List.of(line("FINISHED", ""), line("FINISH", ",\"rc\":34"), line("FINISH", ",\"rc\":16"))) {
      FakeNet net = frontAfterGivingUp();
      firstAttemptConnection(net).deliver(reply);
      assertEquals(2, attemptsAfterAWait(net), reply);
    }
  }

  /** Guards against a refusal where the server would confirm the end if it were asked. */
  @Test
  void theOnlyServerLeftIsAskedForTheConfirmation() throws Exception {
    FakeNet net = frontAfterGivingUp(true);
    assertEquals(2, attemptsAfterAWait(net));
    assertTrue(
        net.events.stream().anyMatch(event -> event.kind() == LogEvent.Kind.END_CONFIRMED),
        () -> net.events.toString());
  }

  /** Guards against taking for a confirmation what the server may write before it reads the end. */
  @Test
  void aLateAnswerOrAConnectionCloseConfirmsNothing() throws Exception {
    FakeNet answered = frontAfterGivingUp();
    firstAttemptConnection(answered).deliver(line("STARTED", ",\"blob\":\"late\""));
    assertEquals(1, attemptsAfterAWait(answered));
    assertFalse(firstAttemptConnection(answered).closed, "the end may still be confirmed");
    FakeNet closed = frontAfterGivingUp();
    firstAttemptConnection(closed).closeByPeer();
    assertEquals(1, attemptsAfterAWait(closed));
  }

  /** Guards against a retry that overtakes the close of the connection before it. */
  @Test
  void anAttemptWhoseConnectionClosesIsNotRetriedAtItsServer() throws Exception {
    for (boolean byTheServer : new boolean[] {true, false}) {
      FakeNet net = FakeNet.front(text -> text.replace("\"probing\":true", "\"probing\":false"));
      net.advance(Span.ofSeconds(3));
      String address = net.sendFirstSetUp();
      net.removeServer(address.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
      if (byTheServer) {
        firstAttemptConnection(net).closeByPeer();
      } else {
        firstAttemptConnection(net).deliver("no such thing");
      }
      net.advance(Span.ofSeconds(3));
      assertEquals(List.of(REQUEST), net.setUpIds);
    }
  }

  /** Two sessions at one server on two connections; data was last received on the second. */
  private static FakeNet frontWithTwoSessions() throws Exception {
    FakeNet net = FakeNet.front(text -> text.replace("\"probing\":true", "\"probing\":false"));
    net.advance(Span.ofSeconds(3));
    String address = net.sendFirstSetUp();
    net.removeServer(address.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    net.acceptClient().deliver(PlatformViewers.setUp(REQUEST + 1, "lesson", 2000, ""));
    net.runDeferred();
    for (long id = REQUEST; id <= REQUEST + 1; id++) {
      long sessionId = id;
      FakeConnection setUpConnection =
          net.serverConnections.stream()
              .filter(connection -> connection.setUpIds.contains(sessionId))
              .findFirst()
              .orElseThrow();
      setUpConnection.deliver(
          line("STARTED", ",\"blob\":\"b\"").replace("7\",\"opts", id + "\",\"opts"));
      net.advance(Span.ofMillis(10));
    }
    return net;
  }

  /** Guards against a rung or an end that overtakes what was written for the session before. */
  @Test
  void messagesOfASessionUseTheConnectionOfItsSetUp() throws Exception {
    FakeNet net = frontWithTwoSessions();
    net.clientConnections.get(0).deliver(PlatformViewers.message(12, REQUEST, 61, new byte[] {16}));
    net.runDeferred();
    assertEquals(List.of(REQUEST), firstAttemptConnection(net).endedIds);
  }

  /** Guards against an orphaned session that was answered as its connection was closed. */
  @Test
  void anAttemptWhoseConnectionClosesIsEndedOnAnotherConnection() throws Exception {
    for (boolean byTheServer : new boolean[] {true, false}) {
      FakeNet net = frontWithTwoSessions();
      net.acceptClient().deliver(PlatformViewers.setUp(9, "lesson", 2000, ""));
      net.runDeferred();
      FakeConnection attemptConnection =
          net.serverConnections.stream()
              .filter(connection -> connection.setUpIds.contains(9L))
              .findFirst()
              .orElseThrow();
      if (byTheServer) {
        attemptConnection.closeByPeer();
      } else {
        attemptConnection.deliver("no such thing");
      }
      net.runDeferred();
      assertTrue(
          net.serverConnections.stream()
              .anyMatch(
                  connection ->
                      connection != attemptConnection && connection.endedIds.contains(9L)),
          net.actions.toString());
    }
  }

  /** Guards against orphaned sessions at a server that was unreachable for long. */
  @Test
  void sessionsOfAnUnreachableServerAreEndedOnceItIsReachableAgain() throws Exception {
    FakeNet net = frontWithTwoSessions();
    FakeConnection first = firstAttemptConnection(net);
    net.unreachable.add(first.address);
    net.serverConnections.stream()
        .filter(connection -> connection.address.equals(first.address))
        .forEach(FakeConnection::closeByPeer);
    net.advance(Span.ofSeconds(5));
    assertTrue(net.logLines.contains("server lost"), net.logLines.toString());
    long connectionsBefore = net.connectionCount(first.address);
    net.unreachable.clear();
    net.advance(Span.ofSeconds(3)); // No client requests anything there.
    assertEquals(connectionsBefore + 1, net.connectionCount(first.address));
    FakeConnection reconnected = net.latestConnection(first.address);
    assertTrue(
        reconnected.endedIds.containsAll(List.of(REQUEST, REQUEST + 1)),
        reconnected.endedIds.toString());
  }

  /** Guards against an end that is lost with a connection reset right after it. */
  @Test
  void anEndWrittenJustBeforeItsConnectionClosesIsRepeatedOnAnother() throws Exception {
    FakeNet net = frontWithTwoSessions();
    net.clientConnections.get(0).deliver(PlatformViewers.message(12, REQUEST, 61, new byte[] {16}));
    net.runDeferred();
    FakeConnection attemptConnection = firstAttemptConnection(net);
    assertEquals(List.of(REQUEST), attemptConnection.endedIds);
    attemptConnection.closeByPeer();
    net.runDeferred();
    assertTrue(
        net.serverConnections.stream()
            .anyMatch(
                connection ->
                    connection != attemptConnection && connection.endedIds.contains(REQUEST)));
  }

  /**
   * Guards against an end that waits for a new connection while the session's own is still open.
   */
  @Test
  void anEndIsSentOnASilentConnectionWhereNoOtherIsUp() throws Exception {
    FakeNet net = frontAfterASilentAttempt();
    FakeConnection only = firstAttemptConnection(net);
    assertEquals(List.of(REQUEST + 1), only.endedIds, "it takes no further set-ups from here on");
    net.clientConnections.get(0).deliver(PlatformViewers.message(12, REQUEST, 61, new byte[] {16}));
    net.runDeferred();
    assertTrue(only.endedIds.contains(REQUEST), only.endedIds.toString());
  }

  /** A session is established; a second attempt on its connection is abandoned with no reply. */
  private static FakeNet frontAfterASilentAttempt() throws Exception {
    FakeNet net = FakeNet.front(text -> text.replace("\"probing\":true", "\"probing\":false"));
    net.advance(Span.ofSeconds(3));
    String address = net.sendFirstSetUp();
    net.removeServer(address.endsWith(":3") ? "127.0.0.1:4" : "127.0.0.1:3");
    net.serversAnswerTests = false;
    firstAttemptConnection(net).deliver(line("STARTED", ",\"blob\":\"b\""));
    net.runDeferred();
    net.unreachable.add(firstAttemptConnection(net).address);
    net.acceptClient().deliver(PlatformViewers.setUp(REQUEST + 1, "lesson", 2000, ""));
    for (int i = 0; i < 100 && firstAttemptConnection(net).endedIds.isEmpty(); i++) {
      net.advance(Span.ofMillis(10));
    }
    return net;
  }

  /** Guards against an orphaned session at a new server that has the address of a removed one. */
  @Test
  void anAttemptIsEndedBeforeTheFrontClosesItsConnection() throws Exception {
    for (boolean removed : new boolean[] {true, false}) {
      FakeNet net = FakeNet.front();
      String address = net.sendFirstSetUp();
      FakeConnection attemptConnection = firstAttemptConnection(net);
      if (removed) {
        net.removeServer(address);
      } else {
        attemptConnection.deliver("no such thing");
      }
      net.runDeferred();
      assertTrue(attemptConnection.closed);
      assertEquals(List.of(REQUEST), attemptConnection.endedIds);
    }
  }
}
