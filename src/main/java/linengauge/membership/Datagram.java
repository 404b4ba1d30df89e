package linengauge.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * One datagram between fronts (docs/protocol/members.md). PING asks for ACK; ASK asks the receiver
 * to ping another front and to pass its ACK on, or to say NAK (Lifeguard, IV.A); PULL asks for
 * members from a number on, PAGE brings them.
 *
 * @param argument of ASK, whom to ping; of PULL and PAGE, the number from which on; of PAGE -1
 *     where the whole has been told
 */
public record Datagram(
    Kind kind, int from, int sequence, int argument, List<MemberUpdate> updates) {
  /** Bytes of a datagram at the most, without the carrier's trailer. */
  public static final int MAX_BYTES = 1200;

  /** Bytes of an address at the most. */
  public static final int MAX_ADDRESS_BYTES = 64;

  private static final byte VERSION = 1;
  private static final int HEAD = 16;
  private static final int MOST_NUMBER = 0xffff;

  /** What it is for. */
  public enum Kind {
    PING,
    ACK,
    ASK,
    NAK,
    PULL,
    PAGE
  }

  /** Bytes that one piece of news takes. */
  static int encodedSize(MemberUpdate n) {
    return 2 + 2 + 2 + 1 + 8 + 2 + 1 + n.member().address().getBytes(StandardCharsets.UTF_8).length;
  }

  /** Room for news in one datagram. */
  static int maxUpdateBytes() {
    return MAX_BYTES - HEAD;
  }

  public byte[] encode() {
    ByteBuffer b =
        ByteBuffer.allocate(HEAD + updates.stream().mapToInt(Datagram::encodedSize).sum());
    b.put(VERSION)
        .put((byte) kind.ordinal())
        .putInt(from)
        .putInt(sequence)
        .putInt(argument)
        .putShort((short) updates.size());
    for (MemberUpdate n : updates) {
      byte[] address = n.member().address().getBytes(StandardCharsets.UTF_8);
      b.putShort((short) n.member().number())
          .putShort((short) n.member().zone())
          .putShort((short) n.member().region())
          .put((byte) n.state().ordinal())
          .putLong(n.incarnation())
          .putShort((short) n.source())
          .put((byte) address.length)
          .put(address);
    }
    return b.array();
  }

  /**
   * Reads one datagram.
   *
   * @throws IllegalArgumentException where it is none of this version's, with why in a few words
   */
  public static Datagram decode(byte[] bytes, int length) {
    try {
      if (length > MAX_BYTES) {
        throw new IllegalArgumentException("longer than " + MAX_BYTES + " bytes");
      }
      ByteBuffer b = ByteBuffer.wrap(bytes, 0, length);
      if (b.get() != VERSION) {
        throw new IllegalArgumentException("another version");
      }
      Kind kind = of(Kind.values(), b.get());
      int from = number(b.getInt());
      int sequence = b.getInt();
      int about = b.getInt();
      int count = b.getShort() & 0xffff;
      List<MemberUpdate> updates = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        int number = b.getShort() & 0xffff;
        int zone = b.getShort() & 0xffff;
        int region = b.getShort() & 0xffff;
        MemberState standing = of(MemberState.values(), b.get());
        long incarnation = b.getLong();
        int by = b.getShort() & 0xffff;
        byte[] address = new byte[b.get() & 0xff];
        b.get(address);
        if (address.length > MAX_ADDRESS_BYTES || incarnation < 0) {
          throw new IllegalArgumentException("a member that cannot be");
        }
        updates.add(
            new MemberUpdate(
                new Member(number, new String(address, StandardCharsets.UTF_8), zone, region),
                incarnation,
                standing,
                by));
      }
      if (b.hasRemaining()) {
        throw new IllegalArgumentException("more than it says");
      }
      return new Datagram(kind, from, sequence, about, List.copyOf(updates));
    } catch (BufferUnderflowException e) {
      throw new IllegalArgumentException("cut short", e);
    }
  }

  private static int number(int n) {
    if (n < 0 || n > MOST_NUMBER) {
      throw new IllegalArgumentException("a number out of bounds");
    }
    return n;
  }

  private static <T> T of(T[] all, byte at) {
    if (at < 0 || at >= all.length) {
      throw new IllegalArgumentException("a kind that is not known");
    }
    return all[at];
  }
}
