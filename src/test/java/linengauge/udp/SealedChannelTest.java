package linengauge.udp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What is dropped is dropped alone, and counted by its cause. */
@Timeout(value = 20, unit = TimeUnit.SECONDS)
class SealedChannelTest {
  private static final byte[] KEY = "a key of the whole fleet".getBytes();
  private static final byte[] OTHER_KEY = "a key of somebody else's".getBytes();
  private static final SealedChannel.DatagramFormat FORM =
      new SealedChannel.DatagramFormat(2, 1, 4, 100);

  private static int freePort() throws IOException {
    try (DatagramSocket free = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      return free.getLocalPort();
    }
  }

  private static byte[] message(int version, int from) {
    return ByteBuffer.allocate(9).put((byte) version).putInt(from).putInt(7).array();
  }

  private static void readUntil(SealedChannel channel, int received, List<Integer> heard) {
    while (channel.traffic().received() < received) {
      channel.read(1, (address, bytes, length) -> heard.add(ByteBuffer.wrap(bytes).getInt(1)));
    }
  }

  @Test
  void whatIsNoneOfTheFleetsIsDroppedAloneAndCountedByCause() throws Exception {
    // given
    String to = "127.0.0.1:" + freePort();
    List<Integer> heard = new ArrayList<>();
    try (SealedChannel channel = new SealedChannel(FORM, to, 1, KEY);
        SealedChannel friend = new SealedChannel(FORM, "127.0.0.1:" + freePort(), 5, KEY);
        SealedChannel stranger = new SealedChannel(FORM, "127.0.0.1:" + freePort(), 6, OTHER_KEY)) {
      // when
      friend.send(to, message(2, 5));
      stranger.send(to, message(2, 6));
      friend.send(to, message(1, 5)); // another protocol's, with the fleet's key
      friend.send(to, message(2, -1));
      friend.send(to, message(2, 9)); // under another's number
      friend.send(to, message(2, 5));
      // then
      readUntil(channel, 6, heard);
      assertEquals(List.of(5, 5), heard);
      assertEquals(new SealedChannel.Drops(2, 0, 1, 1), channel.drops());
    }
  }

  /**
   * Guards against the protocols of one front disturbing each other: both seal with the same key
   * and number, and each other's numbers would pass for the own.
   */
  @Test
  void aDatagramOfAnotherVersionDoesNotMoveTheWindowOfNumbers() throws Exception {
    // given
    String to = "127.0.0.1:" + freePort();
    List<Integer> heard = new ArrayList<>();
    try (SealedChannel channel = new SealedChannel(FORM, to, 1, KEY);
        SealedChannel early = new SealedChannel(FORM, "127.0.0.1:" + freePort(), 5, KEY)) {
      Thread.sleep(5);
      try (SealedChannel late = new SealedChannel(FORM, "127.0.0.1:" + freePort(), 5, KEY)) {
        // when
        late.send(to, message(1, 5));
        readUntil(channel, 1, heard);
        early.send(to, message(2, 5));
        readUntil(channel, 2, heard);
      }
      // then
      assertEquals(List.of(5), heard);
      assertEquals(new SealedChannel.Drops(0, 0, 0, 1), channel.drops());
    }
  }

  @Test
  void whatIsSentAgainIsDroppedAsReplayed() throws Exception {
    // given
    InetAddress here = InetAddress.getByName("127.0.0.1");
    List<Integer> heard = new ArrayList<>();
    int port = freePort();
    try (SealedChannel channel = new SealedChannel(FORM, "127.0.0.1:" + port, 1, KEY);
        SealedChannel friend = new SealedChannel(FORM, "127.0.0.1:" + freePort(), 5, KEY);
        DatagramSocket tap = new DatagramSocket(0, here)) {
      friend.send("127.0.0.1:" + tap.getLocalPort(), message(2, 5));
      DatagramPacket seen = new DatagramPacket(new byte[200], 200);
      tap.receive(seen);
      // when
      for (int i = 0; i < 3; i++) {
        tap.send(new DatagramPacket(seen.getData(), seen.getLength(), here, port));
      }
      // then
      readUntil(channel, 3, heard);
      assertEquals(List.of(5), heard);
      assertEquals(2, channel.drops().replayed());
    }
  }

  @Test
  void aShortKeyAndANameForAnAddressAreRefused() {
    assertThrows(
        IllegalArgumentException.class,
        () -> new SealedChannel(FORM, "127.0.0.1:1", 1, new byte[15]));
    assertThrows(
        IllegalArgumentException.class, () -> new SealedChannel(FORM, "localhost:1", 1, KEY));
  }
}
