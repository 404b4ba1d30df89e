package linengauge.vrrp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

/** The memory of numbers heard is bounded, whoever holds the key. */
class DatagramAuthenticatorTest {
  private static final byte[] KEY = "a key of the whole fleet".getBytes();

  private static NodeAddress number(int n) {
    return new NodeAddress(ByteBuffer.allocate(4).putInt(n).array());
  }

  /** Guards against a holder of the key that goes by ever more names and fills the memory. */
  @Test
  void sendersAreForgottenThatWereSilentForLongestAndNoOthers() throws Exception {
    // given
    DatagramAuthenticator theirs = new DatagramAuthenticator(KEY, 1000);
    DatagramAuthenticator own = new DatagramAuthenticator(KEY, 1);
    byte[] packet = {1, 2, 3};
    byte[] faithful = theirs.sign(packet, number(0));
    assertEquals(3, own.verify(faithful, faithful.length, number(0)));
    // when
    for (int n = 1; n <= 2 * DatagramAuthenticator.MAX_SENDERS; n++) {
      byte[] sealed = theirs.sign(packet, number(n));
      own.verify(sealed, sealed.length, number(n));
      if (n % 1000 == 0) {
        byte[] again = theirs.sign(packet, number(0));
        own.verify(again, again.length, number(0));
      }
    }
    // then
    assertEquals(DatagramAuthenticator.MAX_SENDERS, own.senderCount());
    InvalidPacketException refused =
        assertThrows(
            InvalidPacketException.class, () -> own.verify(faithful, faithful.length, number(0)));
    assertEquals(DropReason.REPLAYED, refused.reason());
  }
}
