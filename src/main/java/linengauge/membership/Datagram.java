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
  private static final int HEADER_BYTES = 16;
  private static final int MAX_MEMBER_NUMBER = 0xffff;

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
  static int encodedSize(MemberUpdate update) {
    return 2
        + 2
        + 2
        + 1
        + 8
        + 2
        + 1
        + update.member().address().getBytes(StandardCharsets.UTF_8).length;
  }

  /** Room for news in one datagram. */
  static int maxUpdateBytes() {
    return MAX_BYTES - HEADER_BYTES;
  }

  public byte[] encode() {
    ByteBuffer buffer =
        ByteBuffer.allocate(HEADER_BYTES + updates.stream().mapToInt(Datagram::encodedSize).sum());
    buffer
        .put(VERSION)
        .put((byte) kind.ordinal())
        .putInt(from)
        .putInt(sequence)
        .putInt(argument)
        .putShort((short) updates.size());
    for (MemberUpdate update : updates) {
      byte[] address = update.member().address().getBytes(StandardCharsets.UTF_8);
      buffer
          .putShort((short) update.member().number())
          .putShort((short) update.member().zone())
          .putShort((short) update.member().region())
          .put((byte) update.state().ordinal())
          .putLong(update.incarnation())
          .putShort((short) update.source())
          .put((byte) address.length)
          .put(address);
    }
    return buffer.array();
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
      ByteBuffer buffer = ByteBuffer.wrap(bytes, 0, length);
      if (buffer.get() != VERSION) {
        throw new IllegalArgumentException("another version");
      }
      Kind kind = constantAt(Kind.values(), buffer.get());
      int from = requireMemberNumber(buffer.getInt());
      int sequence = buffer.getInt();
      int argument = buffer.getInt();
      int count = buffer.getShort() & 0xffff;
      List<MemberUpdate> updates = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        int number = buffer.getShort() & 0xffff;
        int zone = buffer.getShort() & 0xffff;
        int region = buffer.getShort() & 0xffff;
        MemberState state = constantAt(MemberState.values(), buffer.get());
        long incarnation = buffer.getLong();
        int source = buffer.getShort() & 0xffff;
        byte[] address = new byte[buffer.get() & 0xff];
        buffer.get(address);
        if (address.length > MAX_ADDRESS_BYTES || incarnation < 0) {
          throw new IllegalArgumentException("a member that cannot be");
        }
        updates.add(
            new MemberUpdate(
                new Member(number, new String(address, StandardCharsets.UTF_8), zone, region),
                incarnation,
                state,
                source));
      }
      if (buffer.hasRemaining()) {
        throw new IllegalArgumentException("more than it says");
      }
      return new Datagram(kind, from, sequence, argument, List.copyOf(updates));
    } catch (BufferUnderflowException e) {
      throw new IllegalArgumentException("cut short", e);
    }
  }

  private static int requireMemberNumber(int value) {
    if (value < 0 || value > MAX_MEMBER_NUMBER) {
      throw new IllegalArgumentException("a number out of bounds");
    }
    return value;
  }

  private static <T> T constantAt(T[] constants, byte ordinal) {
    if (ordinal < 0 || ordinal >= constants.length) {
      throw new IllegalArgumentException("a kind that is not known");
    }
    return constants[ordinal];
  }
}
