package linengauge.platform.codec;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Texts, ids and numbers as they stand in messages. */
public final class Texts {
  private Texts() {}

  /**
   * The text of these bytes, or null where they are not UTF-8: whoever writes it again gets the
   * same bytes.
   */
  public static String utf8(byte[] bytes) {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    } catch (CharacterCodingException e) {
      return null;
    }
  }

  /** Printable ASCII of 1 to the given number of bytes, or null. */
  static String plain(byte[] bytes, int most) {
    if (bytes == null || bytes.length == 0 || bytes.length > most) {
      return null;
    }
    for (byte b : bytes) {
      if (b <= ' ' || b > '~') {
        return null;
      }
    }
    return new String(bytes, StandardCharsets.US_ASCII);
  }

  /** A whole number of up to 18 decimal digits and nothing else; -1 where it is none. */
  public static long whole(String text) {
    if (text == null || text.isEmpty() || text.length() > 18) {
      return -1;
    }
    long n = 0;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c < '0' || c > '9') {
        return -1;
      }
      n = 10 * n + c - '0';
    }
    return n;
  }

  /** The number of a box named as `s-` and 8 hex digits; -1 where it is no such name. */
  public static long box(String name) {
    return name != null && name.length() == 10 && name.startsWith("s-") && hex(name, 2)
        ? Long.parseLong(name, 2, 10, 16)
        : -1;
  }

  /** A server's id as the platform writes it; the contrary of {@link #box}. */
  public static String server(long id) {
    String hex = Long.toHexString(id & 0xffffffffL);
    return "s-" + "0".repeat(8 - hex.length()) + hex;
  }

  static boolean hex(String text, int from) {
    for (int i = from; i < text.length(); i++) {
      if (Character.digit(text.charAt(i), 16) < 0 || text.charAt(i) > 'f') {
        return false;
      }
    }
    return true;
  }

  /** An id as 16 hex digits. */
  public static String id(long id) {
    String hex = Long.toHexString(id);
    return "0".repeat(16 - hex.length()) + hex;
  }
}
