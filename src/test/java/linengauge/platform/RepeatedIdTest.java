package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import linengauge.Span;
import linengauge.platform.FakeNet.FakeConnection;
import linengauge.standin.PlatformViewers;
import org.junit.jupiter.api.Test;

/**
 * Guards against a set-up that runs twice because its id comes again after its client has left, or
 * after its session is over: the first may have run, and its end may overtake the second.
 */
class RepeatedIdTest {
  private static final long ID = 7;

  private static byte[] setUp() {
    return PlatformViewers.setUp(ID, "lesson", 2000, "");
  }

  private static FakeNet frontThatHasSentTheSetUp() throws Exception {
    FakeNet net = FakeNet.front();
    net.advance(Span.ofSeconds(3)); // A front that has just started avoids cold servers.
    net.sendFirstSetUp();
    assertEquals(List.of(ID), net.setUpIds);
    return net;
  }

  private static void assertRefused(FakeNet net) {
    FakeConnection next = net.acceptClient();
    next.deliver(setUp());
    net.advance(Span.ofMillis(500));
    assertEquals(List.of(ID), net.setUpIds, "sent once");
    assertEquals(List.of(ID), next.releasedIds, "and refused");
  }

  @Test
  void anIdWhoseClientHasClosedIsNotSentAgain() throws Exception {
    for (int afterMs : new int[] {0, 50, 1500, 30_000}) {
      FakeNet net = frontThatHasSentTheSetUp();
      net.clientConnections.get(0).closeByPeer();
      net.advance(Span.ofMillis(afterMs));
      assertRefused(net);
    }
  }

  @Test
  void anIdThatItsClientHasTakenBackIsNotSentAgain() throws Exception {
    FakeNet net = frontThatHasSentTheSetUp();
    net.clientConnections.get(0).deliver(PlatformViewers.message(12, ID, 61, new byte[] {16}));
    net.advance(Span.ofMillis(50));
    assertRefused(net);
  }

  @Test
  void anIdWhoseSessionIsOverIsNotSentAgain() throws Exception {
    FakeNet net = frontThatHasSentTheSetUp();
    for (FakeConnection connection : List.copyOf(net.serverConnections)) {
      if (connection.setUpIds.contains(ID)) {
        connection.deliver(
            "{\"verb\":\"STARTED\",\"tag\":\"0000000000000007\",\"opts\":{},\"blob\":\"b\"}");
        connection.deliver(
            "{\"verb\":\"FINISH\",\"tag\":\"0000000000000007\",\"opts\":{},\"rc\":16}");
      }
    }
    net.advance(Span.ofMillis(50));
    assertRefused(net);
  }

  /** A set-up that crosses the close of its connection comes again, and none was sent before. */
  @Test
  void anIdThatNoServerWasSentMayComeAgain() throws Exception {
    FakeNet net = FakeNet.front();
    net.advance(Span.ofSeconds(3));
    FakeConnection first = net.acceptClient();
    first.deliver(setUp());
    first.closeByPeer();
    net.advance(Span.ofMillis(50));
    assertEquals(List.of(), net.setUpIds);
    net.acceptClient().deliver(setUp());
    net.advance(Span.ofMillis(100));
    assertEquals(List.of(ID), net.setUpIds);
  }
}
