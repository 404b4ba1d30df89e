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

/** Each invalid datagram is dropped without affecting others, and is counted by cause. */
@Timeout(value = 20, unit = TimeUnit.SECONDS)
class SealedChannelTest {
  private static final byte[] KEY = "a key of the whole fleet".getBytes();
  private static final byte[] OTHER_KEY = "a key of somebody else's".getBytes();
  private static final SealedChannel.DatagramFormat FORM =
      new SealedChannel.DatagramFormat(2, 1, 4, 100);

  private static int freePort() throws IOException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  private static byte[] message(int version, int sender) {
    return ByteBuffer.allocate(9).put((byte) version).putInt(sender).putInt(7).array();
  }

  private static void readUntil(SealedChannel channel, int received, List<Integer> senders) {
    while (channel.traffic().received() < received) {
      channel.read(1, (address, bytes, length) -> senders.add(ByteBuffer.wrap(bytes).getInt(1)));
    }
  }

  @Test
  void rejectsForeignDatagramsAndCountsThemByCause() throws Exception {
    // given
    String destination = "127.0.0.1:" + freePort();
    List<Integer> senders = new ArrayList<>();
    try (SealedChannel channel = new SealedChannel(FORM, destination, 1, KEY);
        SealedChannel member = new SealedChannel(FORM, "127.0.0.1:" + freePort(), 5, KEY);
        SealedChannel stranger = new SealedChannel(FORM, "127.0.0.1:" + freePort(), 6, OTHER_KEY)) {
      // when
      member.send(destination, message(2, 5));
      stranger.send(destination, message(2, 6));
      member.send(destination, message(1, 5)); // another protocol's version, with the fleet's key
      member.send(destination, message(2, -1));
      member.send(destination, message(2, 9)); // another sender's number
      member.send(destination, message(2, 5));
      // then
      readUntil(channel, 6, senders);
      assertEquals(List.of(5, 5), senders);
      assertEquals(new SealedChannel.Drops(2, 0, 1, 1), channel.drops());
    }
  }

  /**
   * Guards against interference between two protocols of one front: both seal with the same key and
   * number, so a redirected datagram of one could advance the replay window of the other.
   */
  @Test
  void otherVersionDoesNotAdvanceTheReplayWindow() throws Exception {
    // given
    String destination = "127.0.0.1:" + freePort();
    List<Integer> senders = new ArrayList<>();
    try (SealedChannel channel = new SealedChannel(FORM, destination, 1, KEY);
        SealedChannel early = new SealedChannel(FORM, "127.0.0.1:" + freePort(), 5, KEY)) {
      Thread.sleep(5);
      try (SealedChannel late = new SealedChannel(FORM, "127.0.0.1:" + freePort(), 5, KEY)) {
        // when
        late.send(destination, message(1, 5));
        readUntil(channel, 1, senders);
        early.send(destination, message(2, 5));
        readUntil(channel, 2, senders);
      }
      // then
      assertEquals(List.of(5), senders);
      assertEquals(new SealedChannel.Drops(0, 0, 0, 1), channel.drops());
    }
  }

  @Test
  void dropsResentDatagramsAsReplayed() throws Exception {
    // given
    InetAddress loopback = InetAddress.getByName("127.0.0.1");
    List<Integer> senders = new ArrayList<>();
    int port = freePort();
    try (SealedChannel channel = new SealedChannel(FORM, "127.0.0.1:" + port, 1, KEY);
        SealedChannel member = new SealedChannel(FORM, "127.0.0.1:" + freePort(), 5, KEY);
        DatagramSocket interceptor = new DatagramSocket(0, loopback)) {
      member.send("127.0.0.1:" + interceptor.getLocalPort(), message(2, 5));
      DatagramPacket captured = new DatagramPacket(new byte[200], 200);
      interceptor.receive(captured);
      // when
      for (int i = 0; i < 3; i++) {
        interceptor.send(
            new DatagramPacket(captured.getData(), captured.getLength(), loopback, port));
      }
      // then
      readUntil(channel, 3, senders);
      assertEquals(List.of(5), senders);
      assertEquals(2, channel.drops().replayed());
    }
  }

  @Test
  void rejectsShortKeysAndHostNames() {
    assertThrows(
        IllegalArgumentException.class,
        () -> new SealedChannel(FORM, "127.0.0.1:1", 1, new byte[15]));
    assertThrows(
        IllegalArgumentException.class, () -> new SealedChannel(FORM, "localhost:1", 1, KEY));
  }
}
