package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import linengauge.Span;
import linengauge.platform.FakeNet.FakeConnection;
import linengauge.standin.PlatformViewers;
import org.junit.jupiter.api.Test;

/**
 * What many clients that send as fast as they can leave in the heap. Guards against a front that
 * uses it up (review/2); {@link ClientFloodProcessesTest} plays the same with processes.
 */
class ClientFloodTest {
  private static final int CLIENTS = 200;
  private static final int REQUESTS_AT_ONCE = 900;

  /** A quarter of the heap of the deploy file's run command. */
  private static final long MAX_HEAP_BYTES = 6L * 1024 * 1024;

  /** The objects of one small request: itself, its bytes, and its entries in two tables. */
  private static final long QUEUED_REQUEST_HEAP_BYTES = 240;

  /** Requests of some 50 bytes each. */
  private static byte[] requests(long firstId, int count) {
    var requests = new ByteArrayOutputStream();
    for (long id = firstId; id < firstId + count; id++) {
      requests.writeBytes(
          PlatformViewers.message(1, id, 33, "lesson", 35, "3000", 41, "7", 43, "home:0", 63, "d"));
    }
    return requests.toByteArray();
  }

  /** Guards against one write of some hundred bytes of heap for each refusal. */
  @Test
  void refusalsOfOneReadLeaveInFewWrites() throws Exception {
    FakeNet net = FakeNet.front();
    FakeConnection client = net.acceptClient();
    var requests = new ByteArrayOutputStream();
    for (long id = 1; id <= 300; id++) {
      requests.writeBytes(PlatformViewers.setUp(id, "x", 3000, ""));
    }
    client.deliver(requests.toByteArray());
    net.advance(Span.ofMillis(100));
    assertEquals(300, client.messageTypes.size(), "each is refused");
    assertTrue(client.writeCount < 30, client.writeCount + " writes");
  }

  /** Guards against a bound in bytes of the wire, of which a queued request occupies ten times. */
  @Test
  void queuedRequestsOfAllClientsTogetherFitIntoTheHeap() throws Exception {
    FakeNet net = FakeNet.front();
    long queued = 0;
    for (long connection = 1; connection <= CLIENTS; connection++) {
      FakeConnection client = net.acceptClient();
      client.deliver(requests(connection << 32, REQUESTS_AT_ONCE));
      queued += client.closed ? 0 : REQUESTS_AT_ONCE - client.messageTypes.size();
    }
    assertTrue(queued > 0, "some wait for the end of the loop iteration");
    assertTrue(queued * QUEUED_REQUEST_HEAP_BYTES <= MAX_HEAP_BYTES, queued + " requests");
  }

  /**
   * Guards against many small set-ups that occupy ten times their bytes, and against a flood on
   * some connections that leaves no room for a usual client on another.
   */
  @Test
  void aFloodOfSmallRequestsIsRejectedAndAUsualClientIsServed() throws Exception {
    FakeNet net = FakeNet.front();
    net.advance(Span.ofSeconds(3));
    List<FakeConnection> floods = new ArrayList<>();
    for (long connection = 1; connection <= 60; connection++) {
      FakeConnection flood = net.acceptClient();
      flood.deliver(requests(connection << 32, 300));
      floods.add(flood);
    }
    FakeConnection usual = net.acceptClient();
    usual.deliver(PlatformViewers.setUp(7, "lesson", 3000, ""));
    net.runDeferred();
    assertTrue(
        floods.stream().anyMatch(flood -> flood.messageTypes.contains(12)),
        "what exceeds the limit is turned away at once");
    net.advance(Span.ofMillis(200));
    assertTrue(
        net.events.stream()
            .anyMatch(event -> event.request() == 7 && event.kind() == LogEvent.Kind.REQUEST_TAKEN),
        "a usual request has its share: " + usual.messageTypes);
  }

  /** Guards against one task on the event loop for each message that cannot be answered. */
  @Test
  void aClientThatDoesNotReadIsAbortedOnce() throws Exception {
    FakeNet net = FakeNet.front();
    FakeConnection client = net.acceptClient();
    var tests = new ByteArrayOutputStream();
    for (long id = 1; id <= REQUESTS_AT_ONCE; id++) {
      tests.writeBytes(PlatformViewers.message(52, id, 61, new byte[] {0}));
    }
    client.full = true;
    long before = net.deferCount;
    client.deliver(tests.toByteArray());
    assertTrue(net.deferCount - before < 5, net.deferCount - before + " tasks");
    net.runDeferred();
    assertTrue(client.closed);
  }
}
