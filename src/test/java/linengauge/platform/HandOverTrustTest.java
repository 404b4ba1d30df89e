package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import linengauge.Span;
import linengauge.platform.FakeNet.FakeConnection;
import linengauge.standin.PlatformViewers;
import org.junit.jupiter.api.Test;

/**
 * Guards against sessions that are believed because a client says that they play (review/7): they
 * took the room of usual viewers, on servers and among connections, until the front was restarted.
 */
class HandOverTrustTest {
  private static final int ANSWERED = 9;
  private static final int FIRST_FALSE_ID = 100_000;

  /** As many streams as a server of the configuration runs at most. */
  private static final int STREAMS = 30;

  private static final Span AFTER_START = Span.ofSeconds(6);

  private static byte[] handOvers(int firstId, int count, int serverCount) {
    var all = new ByteArrayOutputStream();
    for (int i = 0; i < count; i++) {
      all.writeBytes(
          PlatformViewers.setUp(
              firstId + i, "lesson", 0, String.format(";at:s-%08x", 1 + i % serverCount)));
    }
    return all.toByteArray();
  }

  private static void handOver(FakeNet net, FakeConnection client, byte[] messages) {
    client.deliver(messages);
    net.advance(Span.ofMillis(1000));
  }

  /** A front that has served its first request long enough ago to expect no hand-over any more. */
  private static FakeNet servingFront() throws Exception {
    FakeNet net = FakeNet.front();
    net.advance(Span.ofSeconds(3));
    String address = net.sendFirstSetUp();
    net.answerSetUp(address, 7);
    net.advance(AFTER_START);
    return net;
  }

  private static long countServed(FakeNet net, int requests) {
    FakeConnection viewer = net.acceptClient();
    for (int id = 500; id < 500 + requests; id++) {
      viewer.deliver(PlatformViewers.setUp(id, "lesson", 1000, ""));
      net.advance(Span.ofMillis(200));
      for (FakeConnection connection : List.copyOf(net.serverConnections)) {
        if (connection.setUpIds.contains((long) id) && !connection.closed) {
          connection.deliver(
              String.format(
                  "{\"verb\":\"STARTED\",\"tag\":\"%016x\",\"opts\":{},\"blob\":\"b\"}", id));
        }
      }
      net.advance(Span.ofMillis(50));
    }
    return Collections.frequency(viewer.messageTypes, ANSWERED);
  }

  private static void report(FakeNet net, String address, long id, String note) {
    net.latestConnection(address)
        .deliver(
            String.format(
                "{\"verb\":\"NOTICE\",\"tag\":\"%016x\",\"opts\":{\"note\":\"%s\",\"value\":\"1\"}}",
                id, note));
    net.runDeferred();
  }

  @Test
  void handOversThatNoServerKnowsTakeNoRoomFromUsualViewers() throws Exception {
    FakeNet net = servingFront();
    handOver(net, net.acceptClient(), handOvers(FIRST_FALSE_ID, 1500, 2));
    assertEquals(20, countServed(net, 20));
  }

  @Test
  void handOversBeyondTheBoundAreToldThatTheyAreOver() throws Exception {
    FakeNet net = servingFront();
    FakeConnection client = net.acceptClient();
    handOver(net, client, handOvers(FIRST_FALSE_ID, 3000, 2));
    handOver(net, client, new byte[0]);
    assertEquals(2000, net.front.tableSizes().uncountedSessions());
    assertEquals(1000, client.releasedIds.size());
    assertEquals(20, countServed(net, 20));
  }

  @Test
  void aHandOverCountsOnceItsServerHasReportedOnIt() throws Exception {
    FakeNet net = servingFront();
    handOver(net, net.acceptClient(), handOvers(50, 2, 1));
    assertEquals(2, net.front.tableSizes().uncountedSessions());
    report(net, "127.0.0.1:3", 50, "level");
    assertEquals(1, net.front.tableSizes().uncountedSessions());
  }

  @Test
  void aHandOverThatDoesNotCountIsReleasedWhenItsServerSaysThatItIsOver() throws Exception {
    FakeNet net = servingFront();
    FakeConnection client = net.acceptClient();
    handOver(net, client, handOvers(50, 1, 1));
    net.latestConnection("127.0.0.1:3")
        .deliver("{\"verb\":\"FINISH\",\"tag\":\"0000000000000032\",\"opts\":{},\"rc\":16}");
    net.runDeferred();
    assertEquals(List.of(50L), client.releasedIds);
    assertEquals(0, net.front.tableSizes().uncountedSessions());
  }

  /** Guards against releases for others that go to whoever has handed a session over. */
  @Test
  void aClientOfUncountedHandOversIsNoViewer() throws Exception {
    FakeNet net = servingFront();
    FakeConnection bad = net.acceptClient();
    handOver(net, bad, handOvers(50, 1, 1));
    net.clientConnections.get(0).closeByPeer();
    for (FakeConnection connection : List.copyOf(net.serverConnections)) {
      connection.deliver(
          "{\"verb\":\"FINISH\",\"tag\":\"0000000000000007\",\"opts\":{},\"rc\":16}");
    }
    net.runDeferred();
    assertEquals(1, net.front.tableSizes().pendingReleases(), "it waits for a viewer");
  }

  /** What bounds the false must not cost the true: those of a start count from the start. */
  @Test
  void handOversOfAStartCountAsFarAsTheirServersCanRunThem() throws Exception {
    FakeNet net = FakeNet.front();
    handOver(net, net.acceptClient(), handOvers(50, 2 * STREAMS, 2));
    assertEquals(0, net.front.tableSizes().uncountedSessions());
    handOver(net, net.acceptClient(), handOvers(FIRST_FALSE_ID, 500, 2));
    assertEquals(500, net.front.tableSizes().uncountedSessions());
  }

  @Test
  void handOversOfAStartStopCountingWhereTheirServerReportsOthersAlone() throws Exception {
    FakeNet net = FakeNet.front();
    handOver(net, net.acceptClient(), handOvers(50, 10, 2));
    report(net, "127.0.0.1:3", 50, "level");
    net.advance(Span.ofSeconds(12));
    assertEquals(4, net.front.tableSizes().uncountedSessions(), "the other server reports none");
  }

  /** Guards against a seat that is given out twice, as a report was lost. */
  @Test
  void handOversOfAStartThatHaveSeatsKeepThem() throws Exception {
    FakeNet net =
        FakeNet.front(
            text -> text.replace("\"highestRung\"", "\"licenceCap\":[20],\"highestRung\""));
    handOver(net, net.acceptClient(), handOvers(50, 10, 2));
    report(net, "127.0.0.1:3", 50, "level");
    net.advance(Span.ofSeconds(12));
    assertEquals(0, net.front.tableSizes().uncountedSessions());
  }

  private static FakeNet frontOf(int serverCount, int descriptors) throws Exception {
    int[] ports = IntStream.range(3, 3 + serverCount).toArray();
    return FakeNet.front(
        text ->
            TryOut.configuration(1, 2, ports)
                .replace("\"sockets\":256", "\"sockets\":" + descriptors));
  }

  /** Guards against connections that are kept for false hand-overs while none is left to serve. */
  @Test
  void connectionsForHandOversGiveWayToSetUps() throws Exception {
    FakeNet net = frontOf(64, 64);
    net.advance(Span.ofSeconds(3));
    net.answerSetUp(net.sendFirstSetUp(), 7);
    net.advance(AFTER_START);
    handOver(net, net.acceptClient(), handOvers(FIRST_FALSE_ID, 640, 64));
    assertEquals(12, countServed(net, 12));
  }

  /**
   * Guards against work of servers times servers in each sweep: for every server with a session and
   * without a connection, all servers were searched for one to close. The front sweeps five times a
   * second, and must not take as long for it as that.
   */
  @Test
  void sweepsOfTheLargestFleetKeepUpWithTime() throws Exception {
    FakeNet net = frontOf(3200, 1024);
    handOver(net, net.acceptClient(), handOvers(FIRST_FALSE_ID, 3200, 3200));
    handOver(net, net.acceptClient(), new byte[0]);
    assertEquals(3200, net.front.tableSizes().linkedServers());
    long startedAt = System.nanoTime();
    net.advance(Span.ofSeconds(4));
    long tookMs = (System.nanoTime() - startedAt) / 1_000_000;
    assertTrue(tookMs < 4000, "20 sweeps took " + tookMs + " ms");
  }
}
