package linengauge.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class DatagramTest {
  private static final MemberUpdate NEWS =
      new MemberUpdate(
          new Member(7, "127.0.3.1:7000", 3, 1), 1_764_600_000_000L, MemberState.SUSPECT, 12);
  private static final Datagram WORDS =
      new Datagram(Datagram.Kind.ASK, 4, -5, 9, List.of(NEWS, NEWS));

  @Test
  void whatIsWrittenIsReadAsItWas() {
    byte[] b = WORDS.encode();
    assertEquals(WORDS, Datagram.decode(b, b.length));
    assertEquals(
        2 * Datagram.encodedSize(NEWS) + Datagram.MAX_BYTES - Datagram.maxUpdateBytes(), b.length);
  }

  @Test
  void whatIsCutShortLongerThanItSaysOrAnotherVersionsIsRefused() {
    byte[] b = WORDS.encode();
    for (int length = 0; length < b.length; length++) {
      int l = length;
      assertThrows(IllegalArgumentException.class, () -> Datagram.decode(b, l));
    }
    assertThrows(
        IllegalArgumentException.class,
        () -> Datagram.decode(Arrays.copyOf(b, b.length + 1), b.length + 1));
    assertThrows(
        IllegalArgumentException.class,
        () -> Datagram.decode(Arrays.copyOf(b, Datagram.MAX_BYTES + 1), Datagram.MAX_BYTES + 1));
    b[0]++;
    assertThrows(IllegalArgumentException.class, () -> Datagram.decode(b, b.length));
  }

  /** Noise is refused or read; nothing else is thrown, and nothing is kept of what is not there. */
  @Test
  void noiseDoesNoHarm() {
    SplittableRandom chance = new SplittableRandom(5);
    int read = 0;
    for (int i = 0; i < 20_000; i++) {
      byte[] b = WORDS.encode();
      for (int k = chance.nextInt(4); k >= 0; k--) {
        b[chance.nextInt(b.length)] = (byte) chance.nextInt(256);
      }
      try {
        read += Datagram.decode(b, b.length).updates().size() <= 2 ? 1 : 0;
      } catch (IllegalArgumentException e) {
        continue;
      }
    }
    assertEquals(true, read > 1000, "read " + read);
  }
}
