package linengauge.consensus.tcp;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * What goes over one connection, and what somebody on the way, or without the key, can do to it.
 */
class FramesTest {
  private static final byte[] KEY = "a key of the whole fleet".getBytes();

  private Frames caller = side(KEY, 1, true);
  private Frames called = side(KEY, 2, false);

  private static Frames side(byte[] key, int nonce, boolean calls) {
    byte[] n = new byte[16];
    Arrays.fill(n, (byte) nonce);
    return new Frames(key, n, calls);
  }

  private void greet() {
    called.read(caller.greeting());
    caller.read(called.greeting());
    assertFalse(caller.isProven() || called.isProven());
    called.read(caller.proof());
    caller.read(called.proof());
    assertTrue(caller.isProven() && called.isProven());
  }

  private static byte[] body(String s) {
    return s.getBytes();
  }

  private static void refused(Frames by, byte[] bytes) {
    assertThrows(IllegalArgumentException.class, () -> by.read(bytes));
  }

  @Test
  void framesArriveInPiecesOfAnySize() {
    greet();
    byte[] two =
        ByteBuffer.allocate(200)
            .put(caller.sealed(body("one")))
            .put(caller.sealed(body("two")))
            .array();
    int length = 2 * (4 + 3 + 16);
    int heard = 0;
    for (int i = 0; i < length; i++) {
      for (byte[] b : called.read(Arrays.copyOfRange(two, i, i + 1))) {
        assertArrayEquals(body(heard++ == 0 ? "one" : "two"), b);
      }
    }
    assertEquals(2, heard);
    assertArrayEquals(body("back"), caller.read(called.sealed(body("back"))).get(0));
  }

  @Test
  void anyChangedByteIsRefused() {
    for (int at = 0; at < 4 + 3 + 16; at++) {
      caller = side(KEY, 1, true);
      called = side(KEY, 2, false);
      greet();
      byte[] frame = caller.sealed(body("one"));
      frame[at] ^= 1;
      refused(called, Arrays.copyOf(frame, 80_000)); // so that a longer length finds its bytes
    }
  }

  @Test
  void leftOutTwiceOrInAnotherOrderIsRefused() {
    greet();
    caller.sealed(body("one"));
    refused(called, caller.sealed(body("two"))); // without the one before it
    caller = side(KEY, 1, true);
    called = side(KEY, 2, false);
    greet();
    byte[] first = caller.sealed(body("one"));
    assertEquals(1, called.read(first).size());
    refused(called, first);
  }

  @Test
  void whatWasSaidOnAnotherConnectionIsRefused() {
    called.read(caller.greeting());
    caller.read(called.greeting());
    byte[] proof = caller.proof();
    assertEquals(0, called.read(proof).size());
    assertTrue(called.isProven());
    Frames again = side(KEY, 3, false); // greets otherwise
    again.read(side(KEY, 1, true).greeting());
    refused(again, proof);
  }

  @Test
  void ownWordsSentBackAreRefused() {
    greet();
    refused(caller, caller.sealed(body("one")));
  }

  @Test
  void withoutTheKeyNothingIsKept() {
    Frames stranger = side("a key of somebody else's".getBytes(), 1, true);
    called.read(stranger.greeting());
    stranger.read(called.greeting());
    refused(called, stranger.proof());
    called = side(KEY, 2, false);
    called.read(stranger.greeting());
    refused(
        called, ByteBuffer.allocate(4).putInt(1).array()); // not one byte before the key is shown
    refused(side(KEY, 2, false), "GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
  }

  @Test
  void aLengthThatIsNoneIsRefusedAtOnce() {
    for (int length : new int[] {-1, Integer.MIN_VALUE, Integer.MAX_VALUE, 1 << 21}) {
      caller = side(KEY, 1, true);
      called = side(KEY, 2, false);
      greet();
      refused(called, ByteBuffer.allocate(4).putInt(length).array());
    }
    assertEquals(List.of(), side(KEY, 2, false).read(new byte[3]));
  }
}
