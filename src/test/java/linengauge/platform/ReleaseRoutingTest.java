package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import linengauge.Span;
import linengauge.platform.FakeNet.FakeConnection;
import linengauge.standin.PlatformBox;
import linengauge.standin.PlatformJournal;
import linengauge.standin.PlatformTryOut;
import linengauge.standin.PlatformViewers;
import linengauge.standin.PlatformViewers.FrontMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * On which connection a session is released whose own connection has closed. Guards against
 * releases that go to a client that has asked once, was refused and stays connected: it is no
 * viewer, and the viewer is never told.
 */
class ReleaseRoutingTest {
  private static final int STARTED = 9;
  private static final int RELEASED = 12;

  private FakeNet net;

  private void startFront() throws Exception {
    net = FakeNet.front();
    net.advance(Span.ofSeconds(3)); // A front that has just started avoids cold servers.
  }

  private FakeConnection clientThatWasRefused() {
    FakeConnection client = net.acceptClient();
    client.deliver(PlatformViewers.setUp(100, "lesson", 1, ""));
    net.advance(Span.ofMillis(50));
    assertEquals(List.of(100L), client.releasedIds, "refused, as no time is left");
    return client;
  }

  private FakeConnection viewerOf(long id) {
    FakeConnection client = net.acceptClient();
    client.deliver(PlatformViewers.setUp(id, "lesson", 2000, ""));
    net.runDeferred();
    net.answerSetUp(addressOfServer(id), id);
    assertEquals(STARTED, client.messageTypes.get(0));
    return client;
  }

  private FakeConnection serverConnection(long id) {
    return net.serverConnections.stream()
        .filter(connection -> connection.setUpIds.contains(id))
        .findFirst()
        .orElseThrow();
  }

  private String addressOfServer(long id) {
    return serverConnection(id).address;
  }

  private void endAtServer(long id) {
    serverConnection(id)
        .deliver("{\"verb\":\"FINISH\",\"tag\":\"" + String.format("%016x", id) + "\",\"rc\":16}");
    net.runDeferred();
  }

  @Test
  void theReleaseGoesToAViewerThatIsConnected() throws Exception {
    startFront();
    FakeConnection refused = clientThatWasRefused();
    FakeConnection first = viewerOf(7);
    FakeConnection other = viewerOf(8);
    first.closeByPeer();
    endAtServer(7);
    assertEquals(List.of(7L), other.releasedIds);
    assertEquals(List.of(100L), refused.releasedIds);
  }

  @Test
  void theReleaseWaitsForAViewerIfNoneIsConnected() throws Exception {
    startFront();
    FakeConnection refused = clientThatWasRefused();
    FakeConnection first = viewerOf(7);
    first.closeByPeer();
    endAtServer(7);
    assertEquals(List.of(100L, 7L), refused.releasedIds, "it may be a viewer after all");
    FakeConnection next = viewerOf(8);
    assertEquals(List.of(7L), next.releasedIds);
    assertEquals(0, net.front.tableSizes().pendingReleases());
  }

  /** Guards against a bound that costs usual clients their release while all are refused. */
  @Test
  void aClientThatWasRefusedIsOfferedEachReleaseOnce() throws Exception {
    startFront();
    viewerOf(7).closeByPeer();
    endAtServer(7);
    assertEquals(1, net.front.tableSizes().pendingReleases());
    FakeConnection refused = net.acceptClient();
    for (long id = 100; id < 103; id++) {
      refused.deliver(PlatformViewers.setUp(id, "lesson", 1, ""));
      net.advance(Span.ofMillis(50));
    }
    assertEquals(1, refused.releasedIds.stream().filter(id -> id == 7).count());
    net.advance(Span.ofSeconds(9));
    assertEquals(0, net.front.tableSizes().pendingReleases(), "nothing is kept for ever");
  }

  @Test
  @Timeout(60)
  void onSocketsViewersAreToldBesideAClientThatAskedOnce(@TempDir Path dir) throws Exception {
    int port = PlatformTryOut.freePort();
    try (PlatformBox server = new PlatformBox();
        PlatformJournal journal = new PlatformJournal(1)) {
      Path file = dir.resolve("config.json");
      Files.writeString(file, TryOut.configuration(port, journal.port(), server.port()));
      Service service = new Service(file, Configuration.read(file));
      service.start().join();
      try (var refused = new PlatformViewers(port);
          var viewer = new PlatformViewers(port)) {
        refused.send(PlatformViewers.setUp(100, "lesson", 1, ""));
        assertEquals(RELEASED, refused.next(5000).type());
        viewer.send(PlatformViewers.setUp(8, "lesson", 3000, ""));
        assertEquals(STARTED, viewer.next(5000).type());
        for (long id = 10; id < 20; id++) {
          try (var leaving = new PlatformViewers(port)) {
            leaving.send(PlatformViewers.setUp(id, "lesson", 3000, ""));
            assertEquals(STARTED, leaving.next(5000).type());
          }
        }
        Thread.sleep(200); // The front has read that they have closed.
        for (long id = 10; id < 20; id++) {
          server.end(String.format("%016x", id), 16);
          FrontMessage release = viewer.next(1000);
          assertNotNull(release, "session " + id + " is released");
          assertEquals(id, release.id());
        }
      } finally {
        service.stop();
        service.awaitStop();
      }
    }
  }
}
