package linengauge.lease;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Function;
import linengauge.membership.Member;

/**
 * How numbers, addresses, members and entries are laid out in bytes, the same in datagrams,
 * decisions and snapshots; big-endian. Reading throws IllegalArgumentException, or
 * BufferUnderflowException where the bytes end early.
 */
final class Layout {
  static final int MOST_NUMBER = 0xffff;
  static final int MOST_ZONE = 0xff;

  /** Regions are bits of a long. */
  static final int MOST_REGION = 63;

  /** Incarnations and versions take six bytes. */
  static final long MOST_LONG = (1L << 48) - 1;

  static final int MOST_ADDRESS = 64;

  /** Bytes of the longest member. */
  static final int MOST_MEMBER = 2 + 1 + 1 + 1 + MOST_ADDRESS;

  /** Bytes of the longest entry. */
  static final int MOST_ENTRY = MOST_MEMBER + 6 + 1 + 6;

  /** In place of a text's length: an IPv4 address and a port in six bytes follow. */
  private static final int NUMERIC = 0;

  private static final int NUMERIC_BYTES = 6;
  private static final int MOST_NUMERIC_TEXT = "255.255.255.255:65535".length();

  private Layout() {}

  static int size(Member member) {
    boolean isNumeric = numeric(member.address()) != null;
    int address = isNumeric ? NUMERIC_BYTES : text(member.address()).length;
    return 2 + 1 + 1 + 1 + address;
  }

  static int size(DirectoryEntry entry) {
    return size(entry.member()) + 6 + 1 + 6;
  }

  static void writeMember(ByteBuffer to, Member member) {
    writeNumber(to, member.number());
    to.put((byte) within(member.zone(), 0, MOST_ZONE, "zone"));
    to.put((byte) within(member.region(), 0, MOST_REGION, "region"));
    byte[] numeric = numeric(member.address());
    if (numeric != null) {
      to.put((byte) NUMERIC).put(numeric);
      return;
    }
    byte[] text = text(member.address());
    to.put((byte) within(text.length, 1, MOST_ADDRESS, "length of an address")).put(text);
  }

  static Member readMember(ByteBuffer from) {
    int number = readNumber(from);
    int zone = from.get() & 0xff;
    int region = within(from.get(), 0, MOST_REGION, "region");
    return new Member(number, readAddress(from), zone, region);
  }

  static void writeEntry(ByteBuffer to, DirectoryEntry entry) {
    writeMember(to, entry.member());
    writeLong(to, entry.incarnation());
    to.put((byte) entry.state().ordinal());
    writeLong(to, entry.version());
  }

  static DirectoryEntry readEntry(ByteBuffer from) {
    Member member = readMember(from);
    long incarnation = readLong(from);
    DirectoryEntry.State state = readOne(from, DirectoryEntry.State.values());
    return new DirectoryEntry(member, incarnation, state, readLong(from));
  }

  static void writeNumber(ByteBuffer to, int number) {
    to.putShort((short) within(number, 0, MOST_NUMBER, "number"));
  }

  static int readNumber(ByteBuffer from) {
    return from.getShort() & 0xffff;
  }

  /** Six bytes of a number that is not negative. */
  static void writeLong(ByteBuffer to, long value) {
    if (value < 0 || value > MOST_LONG) {
      throw new IllegalArgumentException("out of bounds: " + value);
    }
    to.putShort((short) (value >>> Integer.SIZE)).putInt((int) value);
  }

  static long readLong(ByteBuffer from) {
    return (from.getShort() & 0xffffL) << Integer.SIZE | from.getInt() & 0xffffffffL;
  }

  static <T> T readOne(ByteBuffer from, T[] of) {
    return of[within(from.get(), 0, of.length - 1, "kind")];
  }

  static boolean readFlag(ByteBuffer from) {
    return within(from.get(), 0, 1, "flag") == 1;
  }

  static int within(int value, int least, int most, String what) {
    if (value < least || value > most) {
      throw new IllegalArgumentException("a " + what + " out of bounds: " + value);
    }
    return value;
  }

  /** Runs the reader over all the bytes; what ends early or says more than it should is refused. */
  static <T> T readAll(ByteBuffer from, Function<ByteBuffer, T> reader) {
    try {
      T read = reader.apply(from);
      if (from.hasRemaining()) {
        throw new IllegalArgumentException(from.remaining() + " bytes too many");
      }
      return read;
    } catch (BufferUnderflowException e) {
      throw new IllegalArgumentException("cut short", e);
    }
  }

  private static byte[] text(String address) {
    return address.getBytes(StandardCharsets.UTF_8);
  }

  private static String readAddress(ByteBuffer from) {
    int length = within(from.get(), 0, MOST_ADDRESS, "length of an address");
    if (length == NUMERIC) {
      return readNumeric(from);
    }
    byte[] text = new byte[length];
    from.get(text);
    String address = new String(text, StandardCharsets.UTF_8);
    if (!Arrays.equals(text, text(address))) {
      throw new IllegalArgumentException("an address that is no UTF-8");
    }
    return address;
  }

  private static String readNumeric(ByteBuffer from) {
    StringBuilder address = new StringBuilder();
    for (int i = 0; i < Integer.BYTES; i++) {
      address.append(i == 0 ? "" : ".").append(from.get() & 0xff);
    }
    return address.append(':').append(from.getShort() & 0xffff).toString();
  }

  /** The six bytes of an address that is read back as exactly this text; else null. */
  private static byte[] numeric(String address) {
    if (address.length() > MOST_NUMERIC_TEXT) {
      return null;
    }
    int[] parts = new int[Integer.BYTES + 1];
    int part = 0;
    for (int i = 0; i < address.length(); i++) {
      char c = address.charAt(i);
      if (c >= '0' && c <= '9') {
        parts[part] = parts[part] * 10 + c - '0';
      } else if (part < Integer.BYTES && c == (part < Integer.BYTES - 1 ? '.' : ':')) {
        part++;
      } else {
        return null;
      }
    }
    return asNumeric(address, parts);
  }

  private static byte[] asNumeric(String address, int[] parts) {
    ByteBuffer bytes = ByteBuffer.allocate(NUMERIC_BYTES);
    for (int i = 0; i < Integer.BYTES; i++) {
      bytes.put((byte) parts[i]);
    }
    bytes.putShort((short) parts[Integer.BYTES]).flip();
    return readNumeric(bytes.duplicate()).equals(address) ? bytes.array() : null;
  }
}
