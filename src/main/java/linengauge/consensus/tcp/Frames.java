package linengauge.consensus.tcp;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import linengauge.consensus.RaftMessage;

/**
 * What goes over one connection, both ways: a greeting with 16 random bytes, then frames of length,
 * bytes and half of an HMAC-SHA-256 (RFC 2104, RFC 4868) over the side that speaks, both greetings,
 * the frame's number on its way and the bytes. Guards against strangers, and against frames that
 * are changed, left out, put elsewhere or sent again on another connection. The first frame of each
 * side is empty: until it has come, nothing longer is kept, so that a stranger fills no memory. It
 * holds no socket.
 */
final class Frames {
  private static final String KIND = "HmacSHA256";
  private static final int GREETING = 0x4c4e4743; // LNGC
  private static final int FORM = 1;
  private static final int NONCE_BYTES = 16;
  private static final int GREETING_BYTES = 8 + NONCE_BYTES;
  private static final int MAC_BYTES = 16;
  private static final int LONGEST = RaftMessage.MOST + 64 * 1024;

  private final Mac mac;
  private final byte[] own;
  private final boolean called;
  private byte[] theirs;
  private long sent;
  private long heard;
  private byte[] part = new byte[0];
  private boolean proven;

  /**
   * @param nonce 16 bytes, random
   * @param called this side has opened the connection
   */
  Frames(byte[] key, byte[] nonce, boolean called) {
    try {
      mac = Mac.getInstance(KIND);
      mac.init(new SecretKeySpec(key, KIND));
    } catch (GeneralSecurityException e) {
      throw new IllegalArgumentException("no key for " + KIND + ": " + e.getMessage(), e);
    }
    this.own = Arrays.copyOf(nonce, NONCE_BYTES);
    this.called = called;
  }

  byte[] greeting() {
    return ByteBuffer.allocate(GREETING_BYTES).putInt(GREETING).putInt(FORM).put(own).array();
  }

  /** The other side has shown the key: it may be told something. */
  boolean isProven() {
    return proven;
  }

  /** This side's first frame, once the other has greeted. */
  byte[] proof() {
    return sealed(new byte[0]);
  }

  /** The other side has greeted: frames can be written. */
  boolean isGreeted() {
    return theirs != null;
  }

  /** The frame that holds these bytes. */
  byte[] sealed(byte[] body) {
    byte[] sum = sum(called, sent++, body);
    return ByteBuffer.allocate(4 + body.length + MAC_BYTES)
        .putInt(body.length)
        .put(body)
        .put(sum)
        .array();
  }

  /**
   * What frames ended with these bytes. Throws IllegalArgumentException where they are none, or not
   * the fleet's.
   */
  List<byte[]> read(byte[] come) {
    byte[] all = Arrays.copyOf(part, part.length + come.length);
    System.arraycopy(come, 0, all, part.length, come.length);
    ByteBuffer at = ByteBuffer.wrap(all);
    List<byte[]> bodies = new ArrayList<>();
    if (theirs == null) {
      if (at.remaining() < GREETING_BYTES) {
        part = all;
        return bodies;
      }
      if (at.getInt() != GREETING || at.getInt() != FORM) {
        throw new IllegalArgumentException("no greeting of a council");
      }
      theirs = new byte[NONCE_BYTES];
      at.get(theirs);
    }
    while (at.remaining() >= 4) {
      int length = at.getInt(at.position());
      if (length < 0 || length > (proven ? LONGEST : 0)) {
        throw new IllegalArgumentException("a frame of " + length + " bytes");
      }
      if (at.remaining() < 4 + length + MAC_BYTES) {
        break;
      }
      at.getInt();
      byte[] body = new byte[length];
      at.get(body);
      byte[] told = new byte[MAC_BYTES];
      at.get(told);
      if (!MessageDigest.isEqual(told, sum(!called, heard++, body))) {
        throw new IllegalArgumentException("a frame without the fleet's key");
      }
      if (proven) {
        bodies.add(body);
      }
      proven = true;
    }
    part = Arrays.copyOfRange(all, at.position(), all.length);
    return bodies;
  }

  private byte[] sum(boolean byCaller, long number, byte[] body) {
    mac.update((byte) (byCaller ? 1 : 2));
    mac.update(called ? own : theirs);
    mac.update(called ? theirs : own);
    mac.update(ByteBuffer.allocate(8).putLong(number).array());
    return Arrays.copyOf(mac.doFinal(body), MAC_BYTES);
  }
}
