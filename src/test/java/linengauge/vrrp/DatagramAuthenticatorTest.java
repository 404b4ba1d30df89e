package linengauge.vrrp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

/** The number of remembered senders is limited, even against a holder of the key. */
class DatagramAuthenticatorTest {
  private static final byte[] KEY = "a key of the whole fleet".getBytes();

  private static NodeAddress address(int number) {
    return new NodeAddress(ByteBuffer.allocate(4).putInt(number).array());
  }

  /** Guards against a holder of the key that uses ever more addresses and exhausts the memory. */
  @Test
  void onlyTheLeastRecentlyReceivedSendersAreEvicted() throws Exception {
    // given
    DatagramAuthenticator remote = new DatagramAuthenticator(KEY, 1000);
    DatagramAuthenticator local = new DatagramAuthenticator(KEY, 1);
    byte[] packet = {1, 2, 3};
    byte[] first = remote.sign(packet, address(0));
    assertEquals(3, local.verify(first, first.length, address(0)));
    // when
    for (int number = 1; number <= 2 * DatagramAuthenticator.MAX_SENDERS; number++) {
      byte[] signed = remote.sign(packet, address(number));
      local.verify(signed, signed.length, address(number));
      if (number % 1000 == 0) {
        byte[] recent = remote.sign(packet, address(0));
        local.verify(recent, recent.length, address(0));
      }
    }
    // then
    assertEquals(DatagramAuthenticator.MAX_SENDERS, local.senderCount());
    InvalidPacketException rejected =
        assertThrows(
            InvalidPacketException.class, () -> local.verify(first, first.length, address(0)));
    assertEquals(DropReason.REPLAYED, rejected.reason());
  }
}
