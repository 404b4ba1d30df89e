package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import linengauge.Span;
import linengauge.platform.FakeNet.FakeConnection;
import linengauge.standin.PlatformJournal;
import linengauge.standin.PlatformViewers;
import org.junit.jupiter.api.Test;

/**
 * Guards against a new server that is taken for the one that had its address before (review/8):
 * sessions of the old one were kept, and work for the old one went to the new one.
 */
class ReusedAddressTest {
  private static final long SESSION = 7;
  private static final int NEW_SERVER = 0x99;
  private static final int UP = 0;
  private static final int DRAINING = 1;
  private static final int GONE = 2;
  private static final Span SHORTLY = Span.ofMillis(300);

  private FakeNet net;
  private String address;
  private int port;
  private FakeConnection client;
  private FakeConnection oldConnection;
  private long lastEvent = 1;

  private void establishSession() throws Exception {
    net = FakeNet.front();
    net.advance(Span.ofSeconds(3)); // A front that has just started avoids cold servers.
    address = net.sendFirstSetUp();
    port = address.endsWith(":3") ? 3 : 4;
    client = net.clientConnections.get(0);
    net.answerSetUp(address, SESSION);
    oldConnection = net.latestConnection(address);
    lastEvent = 1;
    net.advance(SHORTLY);
  }

  private int oldServer() {
    return port - 2;
  }

  private long nowMs() {
    return net.now().micros() / 1000;
  }

  private byte[] row(int id, int state, long startedMs) {
    return PlatformJournal.record(id, port, state, port - 3, startedMs);
  }

  private void list(int id, int state, long startedMs) {
    net.sendServerEvent(++lastEvent, row(id, state, startedMs));
    net.advance(SHORTLY);
  }

  private void listAll(byte[]... rows) {
    var records = new ByteArrayOutputStream();
    for (byte[] row : rows) {
      records.writeBytes(row);
    }
    net.latestConnection("127.0.0.1:2")
        .deliver(
            ByteBuffer.allocate(13 + records.size())
                .putInt(9 + records.size())
                .putLong(++lastEvent)
                .put((byte) 1)
                .put(records.toByteArray())
                .array());
    net.advance(SHORTLY);
  }

  /** A set-up of a title that is held at the address alone. */
  private byte[] setUpAtAddress(long id) {
    String figures = "home:" + (port - 3) + ";copies:1";
    return PlatformViewers.message(
        1, id, 33, "lesson", 35, "1000", 41, "7", 43, figures, 63, "m=audio");
  }

  /** Sends a set-up that must reach the new server on a connection of its own, and play there. */
  private void assertNewServerServes(long id) {
    client.deliver(setUpAtAddress(id));
    net.advance(SHORTLY);
    FakeConnection connection = net.latestConnection(address);
    assertTrue(connection != oldConnection, "a connection of its own");
    assertEquals(List.of(id), connection.setUpIds);
    net.answerSetUp(address, id);
    client.releasedIds.clear();
    net.advance(Span.ofSeconds(1));
  }

  @Test
  void sessionsOfTheOldServerAreReleasedOnceTheListNamesAnotherAtItsAddress() throws Exception {
    establishSession();
    list(NEW_SERVER, UP, nowMs());
    assertEquals(List.of(SESSION), client.releasedIds);
    assertTrue(oldConnection.closed);
  }

  @Test
  void whatTheListSaysOfTheOldServerLaterTouchesNothingAtTheNewOne() throws Exception {
    for (int state : new int[] {UP, DRAINING, GONE}) {
      establishSession();
      net.advance(Span.ofSeconds(1));
      list(NEW_SERVER, UP, nowMs());
      net.advance(Span.ofSeconds(7)); // Past the period in which it is cold.
      assertNewServerServes(20);
      list(oldServer(), state, 0);
      net.advance(Span.ofSeconds(9));
      assertEquals(List.of(), client.releasedIds, "the session of the new server goes on");
      assertNewServerServesMore(21);
    }
  }

  private void assertNewServerServesMore(long id) {
    int before = net.setUpIds.size();
    client.deliver(setUpAtAddress(id));
    net.advance(SHORTLY);
    assertEquals(before + 1, net.setUpIds.size());
    assertFalse(oldConnection.setUpIds.contains(id));
  }

  @Test
  void aListWithBothLeavesTheOneThatStartedLaterInWhateverOrder() throws Exception {
    for (boolean newFirst : new boolean[] {false, true}) {
      establishSession();
      byte[] old = row(oldServer(), UP, 0);
      byte[] successor = row(NEW_SERVER, UP, nowMs());
      listAll(newFirst ? successor : old, newFirst ? old : successor);
      assertEquals(List.of(SESSION), client.releasedIds, "new one first: " + newFirst);
      listAll(newFirst ? successor : old, newFirst ? old : successor);
      net.advance(Span.ofSeconds(7));
      assertNewServerServes(20);
    }
  }

  @Test
  void theOldServerHasItsAddressAgainOnceItHasStartedThereLater() throws Exception {
    establishSession();
    list(NEW_SERVER, UP, nowMs());
    list(oldServer(), UP, nowMs());
    net.advance(Span.ofSeconds(7));
    assertNewServerServes(20);
    assertEquals(List.of(), client.releasedIds);
  }

  /** Both attempts would be at one process, and the end of the first could end the second. */
  @Test
  void anUnconfirmedAttemptIsNotRepeatedAtTheNextServerOfItsAddress() throws Exception {
    net = FakeNet.front();
    net.serversAnswerTests = false;
    net.advance(Span.ofSeconds(3));
    net.acceptClient()
        .deliver(
            PlatformViewers.message(
                1, SESSION, 33, "lesson", 35, "9000", 41, "7", 43, "home:0;copies:1", 63, "m"));
    net.advance(SHORTLY);
    assertEquals(List.of(SESSION), net.setUpIds);
    port = 3;
    list(NEW_SERVER, UP, 0);
    net.advance(Span.ofSeconds(3));
    assertEquals(List.of(SESSION), net.setUpIds);
  }

  @Test
  void aServerThatIsListedWithAnotherAddressIsReachedThere() throws Exception {
    establishSession();
    net.sendServerEvent(++lastEvent, PlatformJournal.record(oldServer(), 9, UP, port - 3, 0));
    net.advance(SHORTLY);
    assertTrue(oldConnection.closed);
    assertEquals("127.0.0.1:9", net.latestConnection("127.0.0.1:9").address);
  }

  /* ---- without a word of the list ---- */

  /** A set-up is not answered, so that connections are dialled; none comes up for over 1 s. */
  private void outage() {
    net.serversAnswerTests = false;
    net.unreachable.add(address);
    client.deliver(setUpAtAddress(20));
    net.advance(Span.ofMillis(2600));
    net.unreachable.remove(address);
    client.releasedIds.clear();
  }

  /** Guards against a new connection that clears every doubt about the process of before. */
  @Test
  void aResetBehindAnOutageShowsThatTheProcessIsGoneAlthoughOneListensThere() throws Exception {
    establishSession();
    outage();
    net.advance(Span.ofMillis(850));
    assertTrue(net.latestConnection(address) != oldConnection, "another process has come up");
    assertEquals(List.of(), client.releasedIds);
    oldConnection.closeByPeer();
    net.advance(SHORTLY);
    assertEquals(List.of(SESSION), client.releasedIds);
  }

  @Test
  void aProcessThatIsHeardAfterAnOutageKeepsItsSessions() throws Exception {
    establishSession();
    outage();
    net.serversAnswerTests = true;
    net.advance(Span.ofMillis(850)); // The test on the old connection is answered.
    oldConnection.closeByPeer();
    net.advance(Span.ofSeconds(8));
    assertEquals(List.of(), client.releasedIds);
  }
}
