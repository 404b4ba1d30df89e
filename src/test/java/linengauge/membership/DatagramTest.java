package linengauge.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class DatagramTest {
  private static final MemberUpdate UPDATE =
      new MemberUpdate(
          new Member(7, "127.0.3.1:7000", 3, 1), 1_764_600_000_000L, MemberState.SUSPECT, 12);
  private static final Datagram DATAGRAM =
      new Datagram(Datagram.Kind.ASK, 4, -5, 9, List.of(UPDATE, UPDATE));

  @Test
  void decodingAnEncodedDatagramYieldsTheOriginal() {
    byte[] bytes = DATAGRAM.encode();
    assertEquals(DATAGRAM, Datagram.decode(bytes, bytes.length));
    assertEquals(
        2 * Datagram.encodedSize(UPDATE) + Datagram.MAX_BYTES - Datagram.maxUpdateBytes(),
        bytes.length);
  }

  @Test
  void truncatedOverlongAndOtherVersionDatagramsAreRejected() {
    byte[] bytes = DATAGRAM.encode();
    for (int length = 0; length < bytes.length; length++) {
      int truncatedLength = length;
      assertThrows(IllegalArgumentException.class, () -> Datagram.decode(bytes, truncatedLength));
    }
    assertThrows(
        IllegalArgumentException.class,
        () -> Datagram.decode(Arrays.copyOf(bytes, bytes.length + 1), bytes.length + 1));
    assertThrows(
        IllegalArgumentException.class,
        () ->
            Datagram.decode(Arrays.copyOf(bytes, Datagram.MAX_BYTES + 1), Datagram.MAX_BYTES + 1));
    bytes[0]++;
    assertThrows(IllegalArgumentException.class, () -> Datagram.decode(bytes, bytes.length));
  }

  /** Corruption causes no other exception and no update that the datagram does not hold. */
  @Test
  void corruptedDatagramsAreDecodedOrRejected() {
    SplittableRandom random = new SplittableRandom(5);
    int decoded = 0;
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = DATAGRAM.encode();
      for (int changes = random.nextInt(4); changes >= 0; changes--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
      }
      try {
        decoded += Datagram.decode(bytes, bytes.length).updates().size() <= 2 ? 1 : 0;
      } catch (IllegalArgumentException e) {
        continue;
      }
    }
    assertEquals(true, decoded > 1000, "datagrams decoded: " + decoded);
  }
}
