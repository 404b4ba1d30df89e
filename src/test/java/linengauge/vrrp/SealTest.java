package linengauge.vrrp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

/** The memory of numbers heard is bounded, whoever holds the key. */
class SealTest {
  private static final byte[] KEY = "a key of the whole fleet".getBytes();

  private static NodeAddress number(int n) {
    return new NodeAddress(ByteBuffer.allocate(4).putInt(n).array());
  }

  /** Guards against a holder of the key that goes by ever more names and fills the memory. */
  @Test
  void sendersAreForgottenThatWereSilentForLongestAndNoOthers() throws Exception {
    // given
    Seal theirs = new Seal(KEY, 1000);
    Seal own = new Seal(KEY, 1);
    byte[] packet = {1, 2, 3};
    byte[] faithful = theirs.seal(packet, number(0));
    assertEquals(3, own.open(faithful, faithful.length, number(0)));
    // when
    for (int n = 1; n <= 2 * Seal.MOST_SENDERS; n++) {
      byte[] sealed = theirs.seal(packet, number(n));
      own.open(sealed, sealed.length, number(n));
      if (n % 1000 == 0) {
        byte[] again = theirs.seal(packet, number(0));
        own.open(again, again.length, number(0));
      }
    }
    // then
    assertEquals(Seal.MOST_SENDERS, own.senders());
    BadPacket refused =
        assertThrows(BadPacket.class, () -> own.open(faithful, faithful.length, number(0)));
    assertEquals(Drop.REPLAYED, refused.cause());
  }
}
