package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import linengauge.Span;
import linengauge.platform.FakeNet.FakeConnection;
import linengauge.standin.PlatformJournal;
import linengauge.standin.PlatformViewers;
import org.junit.jupiter.api.Test;

/**
 * A server's process dies and a new one takes its place under the same id. Guards against sessions
 * of the old process that are never released to their clients (review/1), and against the release
 * of those that the new process holds.
 */
class ServerRestartTest {
  private static final long SESSION = 7;
  private static final Span RELEASE_TIME_LIMIT = Span.ofSeconds(8);
  private static final Span BETWEEN_SIGNS = Span.ofMillis(300);

  /** What a front may see of a restart. */
  private enum Sign {
    /** No connection to the server comes up for a while. */
    OUTAGE,
    /** The server's machine resets the connections to the old process. */
    RESET,
    /** Discovery lists a new start time. */
    LISTED
  }

  private FakeNet net;
  private String address;
  private FakeConnection client;
  private FakeConnection oldConnection;
  private long lastEvent = 1;

  private void establishSession() throws Exception {
    net = FakeNet.front();
    net.advance(Span.ofSeconds(3)); // A front that has just started avoids cold servers.
    address = net.sendFirstSetUp();
    client = net.clientConnections.get(0);
    net.answerSetUp(address, SESSION);
    oldConnection = net.latestConnection(address);
    net.advance(Span.ofMillis(500));
  }

  private long nowMs() {
    return net.now().micros() / 1000;
  }

  private void list(int state, long startedMs) {
    int port = address.endsWith(":3") ? 3 : 4;
    net.sendServerEvent(
        ++lastEvent, PlatformJournal.record(port - 2, port, state, port - 3, startedMs));
  }

  private void show(Sign sign, long startedMs) {
    switch (sign) {
      case OUTAGE -> {
        net.unreachable.add(address);
        net.advance(Span.ofMillis(6900));
        net.unreachable.remove(address);
      }
      case RESET -> {
        if (!oldConnection.closed) {
          oldConnection.closeByPeer();
        }
      }
      case LISTED -> list(0, startedMs);
      default -> throw new IllegalArgumentException(sign.name());
    }
  }

  private void assertReleasedAfter(List<Sign> signs) throws Exception {
    establishSession();
    net.serversAnswerTests = !signs.contains(Sign.OUTAGE);
    lastEvent = 1;
    long startedMs = nowMs();
    for (Sign sign : signs) {
      show(sign, startedMs);
      net.advance(BETWEEN_SIGNS);
    }
    net.advance(RELEASE_TIME_LIMIT.minus(BETWEEN_SIGNS));
    assertEquals(List.of(SESSION), client.releasedIds, "after " + signs);
  }

  @Test
  void sessionsOfTheOldProcessAreReleasedInWhateverOrderItsRestartShows() throws Exception {
    assertReleasedAfter(List.of(Sign.LISTED));
    assertReleasedAfter(List.of(Sign.RESET, Sign.LISTED));
    assertReleasedAfter(List.of(Sign.LISTED, Sign.RESET));
    assertReleasedAfter(List.of(Sign.OUTAGE, Sign.LISTED));
    assertReleasedAfter(List.of(Sign.OUTAGE, Sign.RESET, Sign.LISTED));
    assertReleasedAfter(List.of(Sign.OUTAGE, Sign.LISTED, Sign.RESET));
    assertReleasedAfter(List.of(Sign.RESET, Sign.OUTAGE, Sign.LISTED));
    assertReleasedAfter(List.of(Sign.LISTED, Sign.OUTAGE, Sign.RESET));
  }

  /** Guards against a release that waits for discovery, which may be down for longer than 8 s. */
  @Test
  void aResetAfterAnOutageShowsTheRestartWithoutDiscovery() throws Exception {
    establishSession();
    net.serversAnswerTests = false;
    net.unreachable.add(address);
    net.advance(Span.ofMillis(6450)); // Silent, then unreachable for 1 s.
    assertEquals(List.of(), client.releasedIds, "the server may only be slow");
    net.unreachable.remove(address);
    oldConnection.closeByPeer();
    net.advance(BETWEEN_SIGNS);
    assertEquals(List.of(SESSION), client.releasedIds);
  }

  /**
   * Guards against sessions that are ended although their server lives: one connection in fifty
   * never comes up, and servers close those that rest.
   */
  @Test
  void aCloseAfterASingleFailedDialShowsNoRestart() throws Exception {
    establishSession();
    net.serversAnswerTests = false;
    net.unreachable.add(address);
    while (net.connectTimes(address).size() < 2) {
      net.advance(Span.ofMillis(10)); // Silent: a second connection is dialled, and fails.
    }
    net.unreachable.remove(address);
    net.connectsHang = true;
    net.advance(Span.ofMillis(1200));
    oldConnection.closeByPeer();
    net.runDeferred();
    assertEquals(List.of(), client.releasedIds);
  }

  @Test
  void aResetAloneShowsNoRestart() throws Exception {
    establishSession();
    oldConnection.closeByPeer();
    net.advance(RELEASE_TIME_LIMIT);
    assertEquals(List.of(), client.releasedIds);
  }

  @Test
  void sessionsOfTheNewProcessSurviveALateListing() throws Exception {
    establishSession();
    long startedMs = nowMs() - 2000; // Before the connection came up, and listed only now.
    list(0, startedMs);
    net.advance(RELEASE_TIME_LIMIT);
    assertEquals(List.of(), client.releasedIds);
    assertTrue(!oldConnection.closed);
  }

  /** Guards against a server whose clock is ahead: the listing itself bounds the start. */
  @Test
  void aListedStartInTheFutureEndsOnlyWhatStoodBefore() throws Exception {
    establishSession();
    list(0, nowMs() + 60_000);
    net.advance(BETWEEN_SIGNS);
    assertEquals(List.of(SESSION), client.releasedIds);
    FakeConnection latest = net.acceptClient();
    latest.deliver(
        PlatformViewers.setUp(8, "lesson", 2000, ";at:" + (address.endsWith(":3") ? A : B)));
    net.advance(Span.ofSeconds(2));
    long closedBefore = net.actions.stream().filter(("close " + address)::equals).count();
    net.advance(Span.ofSeconds(2));
    assertEquals(closedBefore, net.actions.stream().filter(("close " + address)::equals).count());
  }

  private static final String A = "s-00000001";
  private static final String B = "s-00000002";

  @Test
  void aSessionHandedOverIsReleasedOnceItsServerHasRestarted() throws Exception {
    for (boolean listedFirst : new boolean[] {false, true}) {
      establishSession();
      lastEvent = 1;
      FakeConnection other = net.acceptClient();
      if (listedFirst) {
        list(0, nowMs());
      }
      other.deliver(
          PlatformViewers.setUp(8, "lesson", 2000, ";at:" + (address.endsWith(":3") ? A : B)));
      net.advance(BETWEEN_SIGNS);
      if (!listedFirst) {
        list(0, nowMs());
      }
      net.advance(BETWEEN_SIGNS);
      assertTrue(other.releasedIds.contains(8L), "listed first: " + listedFirst);
    }
  }

  @Test
  void aRestartDuringARemovalEndsTheSessionsToo() throws Exception {
    establishSession();
    list(2, 0);
    list(0, nowMs());
    net.advance(BETWEEN_SIGNS);
    assertEquals(List.of(SESSION), client.releasedIds);
  }
}
