package linengauge.platform.codec;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Converts texts, ids and numbers from and to their form in messages. */
public final class TextFormat {
  private TextFormat() {}

  /**
   * Decodes strict UTF-8, so that encoding the result yields the same bytes; returns null if the
   * bytes are not valid.
   */
  public static String decodeUtf8(byte[] bytes) {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    } catch (CharacterCodingException e) {
      return null;
    }
  }

  /** Decodes printable ASCII of 1 to the given number of bytes; returns null for anything else. */
  static String decodePrintableAscii(byte[] bytes, int maxBytes) {
    if (bytes == null || bytes.length == 0 || bytes.length > maxBytes) {
      return null;
    }
    for (byte character : bytes) {
      if (character <= ' ' || character > '~') {
        return null;
      }
    }
    return new String(bytes, StandardCharsets.US_ASCII);
  }

  /** Parses a whole number of up to 18 decimal digits; returns -1 for anything else. */
  public static long parseWholeNumber(String text) {
    if (text == null || text.isEmpty() || text.length() > 18) {
      return -1;
    }
    long number = 0;
    for (int i = 0; i < text.length(); i++) {
      char digit = text.charAt(i);
      if (digit < '0' || digit > '9') {
        return -1;
      }
      number = 10 * number + digit - '0';
    }
    return number;
  }

  /** Parses a server name, `s-` and 8 hex digits, to its number; returns -1 for anything else. */
  public static long parseServerId(String name) {
    return name != null && name.length() == 10 && name.startsWith("s-") && isHex(name, 2)
        ? Long.parseLong(name, 2, 10, 16)
        : -1;
  }

  /** Formats a server's id as the platform writes it; the inverse of {@link #parseServerId}. */
  public static String formatServerId(long id) {
    String hex = Long.toHexString(id & 0xffffffffL);
    return "s-" + "0".repeat(8 - hex.length()) + hex;
  }

  static boolean isHex(String text, int from) {
    for (int i = from; i < text.length(); i++) {
      if (Character.digit(text.charAt(i), 16) < 0 || text.charAt(i) > 'f') {
        return false;
      }
    }
    return true;
  }

  /** Formats an id as 16 hex digits. */
  public static String formatId(long id) {
    String hex = Long.toHexString(id);
    return "0".repeat(16 - hex.length()) + hex;
  }
}
