package linengauge.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A datagram of the membership protocol (docs/protocol/members.md). PING requests an ACK. ASK
 * requests that the receiver ping another member and relay its ACK, or send a NAK if none arrives
 * in time (Lifeguard, IV.A). PULL requests a page of the member table starting at a given member
 * number; PAGE carries it.
 *
 * @param from member number of the sender
 * @param sequence matches a response to its request
 * @param argument for ASK, the number of the member to ping; for PULL, the member number the page
 *     starts at; for PAGE, the member number the next page starts at, or -1 after the last page
 */
public record Datagram(
    Kind kind, int from, int sequence, int argument, List<MemberUpdate> updates) {
  /** Maximum size of a datagram, without the trailer that the transport adds. */
  public static final int MAX_BYTES = 1200;

  /** Maximum length of an address in UTF-8 bytes. */
  public static final int MAX_ADDRESS_BYTES = 64;

  private static final byte VERSION = 1;
  private static final int HEADER_BYTES = 16;
  private static final int MAX_MEMBER_NUMBER = 0xffff;

  /** Message type. Its ordinal is the wire code. */
  public enum Kind {
    PING,
    ACK,
    ASK,
    NAK,
    PULL,
    PAGE
  }

  /** Encoded size of an update in bytes. */
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

  /** Number of bytes available for updates in one datagram. */
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
   * Decodes a datagram.
   *
   * @throws IllegalArgumentException if it is malformed or of another protocol version; the message
   *     gives the reason
   */
  public static Datagram decode(byte[] bytes, int length) {
    try {
      if (length > MAX_BYTES) {
        throw new IllegalArgumentException("datagram exceeds " + MAX_BYTES + " bytes");
      }
      ByteBuffer buffer = ByteBuffer.wrap(bytes, 0, length);
      if (buffer.get() != VERSION) {
        throw new IllegalArgumentException("unsupported protocol version");
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
          throw new IllegalArgumentException("member address too long or incarnation negative");
        }
        updates.add(
            new MemberUpdate(
                new Member(number, new String(address, StandardCharsets.UTF_8), zone, region),
                incarnation,
                state,
                source));
      }
      if (buffer.hasRemaining()) {
        throw new IllegalArgumentException("trailing bytes after the last update");
      }
      return new Datagram(kind, from, sequence, argument, List.copyOf(updates));
    } catch (BufferUnderflowException e) {
      throw new IllegalArgumentException("datagram is truncated", e);
    }
  }

  private static int requireMemberNumber(int value) {
    if (value < 0 || value > MAX_MEMBER_NUMBER) {
      throw new IllegalArgumentException("member number out of range");
    }
    return value;
  }

  private static <T> T constantAt(T[] constants, byte ordinal) {
    if (ordinal < 0 || ordinal >= constants.length) {
      throw new IllegalArgumentException("unknown message type or member state");
    }
    return constants[ordinal];
  }
}
