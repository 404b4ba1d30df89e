package linengauge.lease;

import java.nio.BufferOverflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import linengauge.Span;

/** Lease datagrams in bytes (docs/protocol/lease.md). */
public final class LeaseCodec {
  /** Bytes of a datagram at the most, without the carrier's trailer. */
  public static final int MOST = 1200;

  /** SWIM's datagrams are of version 1. */
  private static final byte VERSION = 2;

  private static final int HEARTBEAT = 0;
  private static final int ACKNOWLEDGEMENT = 1;
  private static final int EVIDENCE = 2;

  /** Bytes of a heartbeat beside the member. */
  private static final int HEARTBEAT_REST = 1 + 1 + 6 + 4 + 6 + 6 + 1;

  /** Bytes of the longest heartbeat. */
  static final int MOST_HEARTBEAT = HEARTBEAT_REST + Layout.MOST_MEMBER;

  private static final int ACKNOWLEDGEMENT_HEAD =
      1 + 1 + 2 + 4 + 6 + 6 + 1 + 4 + 4 + 6 + 6 + 1 + 8 + 8 + 1;
  private static final int EVIDENCE_HEAD = 1 + 1 + 2 + 6 + 6 + 8 + 6 + 1 + 1 + 2 + 2;

  /** Room for entries in one acknowledgement. */
  public static final int ENTRIES_ROOM = MOST - ACKNOWLEDGEMENT_HEAD;

  /** Numbers that one part of an evidence reaches over, from its first on. */
  private static final int MOST_SPREAD = (MOST - EVIDENCE_HEAD) * Byte.SIZE;

  private static final int MOST_PARTS = 0xff;
  private static final int MOST_ENTRIES = 0xff;

  /** Spans take four bytes of microseconds; a longer one is told as the longest. */
  private static final long MOST_SPAN = 0xffffffffL;

  private LeaseCodec() {}

  /** Bytes that one entry takes. */
  public static int size(DirectoryEntry entry) {
    return Layout.size(entry);
  }

  /** Bytes that the message takes. */
  public static int size(LeaseMessage message) {
    if (message instanceof LeaseMessage.Heartbeat heartbeat) {
      return HEARTBEAT_REST + Layout.size(heartbeat.member());
    }
    if (message instanceof LeaseMessage.Acknowledgement acknowledgement) {
      int entries = acknowledgement.entries().stream().mapToInt(Layout::size).sum();
      return ACKNOWLEDGEMENT_HEAD + entries;
    }
    List<Integer> heard = ((LeaseMessage.Evidence) message).heard();
    int spread = heard.isEmpty() ? -1 : heard.get(heard.size() - 1) - heard.get(0);
    return EVIDENCE_HEAD + Math.floorDiv(spread, Byte.SIZE) + 1;
  }

  /** Ascending numbers split so that each part fits one datagram; one empty part where none. */
  static List<List<Integer>> split(List<Integer> numbers) {
    List<List<Integer>> parts = new ArrayList<>();
    List<Integer> part = new ArrayList<>();
    for (int number : numbers) {
      if (!part.isEmpty() && number - part.get(0) >= MOST_SPREAD) {
        parts.add(part);
        part = new ArrayList<>();
      }
      part.add(number);
    }
    parts.add(part);
    return parts;
  }

  /**
   * Lays one message out.
   *
   * @throws IllegalArgumentException where something in it is out of the layout's bounds
   */
  public static byte[] write(LeaseMessage message) {
    ByteBuffer to = ByteBuffer.allocate(MOST);
    try {
      to.put(VERSION);
      if (message instanceof LeaseMessage.Heartbeat heartbeat) {
        write(to, heartbeat);
      } else if (message instanceof LeaseMessage.Acknowledgement acknowledgement) {
        write(to, acknowledgement);
      } else if (message instanceof LeaseMessage.Evidence evidence) {
        write(to, evidence);
      }
    } catch (BufferOverflowException e) {
      throw new IllegalArgumentException("longer than " + MOST + " bytes", e);
    }
    byte[] bytes = new byte[to.position()];
    to.flip().get(bytes);
    return bytes;
  }

  private static void write(ByteBuffer to, LeaseMessage.Heartbeat message) {
    to.put((byte) HEARTBEAT);
    Layout.writeMember(to, message.member());
    Layout.writeLong(to, message.incarnation());
    to.putInt(message.sequence());
    Layout.writeLong(to, message.version());
    Layout.writeLong(to, message.begun());
    writeFlag(to, message.leaving());
  }

  private static void write(ByteBuffer to, LeaseMessage.Acknowledgement message) {
    to.put((byte) ACKNOWLEDGEMENT);
    Layout.writeNumber(to, message.from());
    to.putInt(message.sequence());
    Layout.writeLong(to, message.incarnation());
    Layout.writeLong(to, message.listed());
    to.put((byte) message.registration().ordinal());
    writeSpan(to, message.remaining());
    writeSpan(to, message.age());
    Layout.writeLong(to, message.latest());
    Layout.writeLong(to, message.upTo());
    writeFlag(to, message.reset());
    to.putLong(message.digest()).putLong(message.unreachable());
    to.put((byte) Layout.within(message.entries().size(), 0, MOST_ENTRIES, "count"));
    message.entries().forEach(entry -> Layout.writeEntry(to, entry));
  }

  private static void write(ByteBuffer to, LeaseMessage.Evidence message) {
    to.put((byte) EVIDENCE);
    Layout.writeNumber(to, message.from());
    Layout.writeLong(to, message.round());
    Layout.writeLong(to, message.confirmed());
    to.putLong(message.confirmedBefore());
    Layout.writeLong(to, message.directoryVersion());
    to.put((byte) Layout.within(message.part(), 0, message.parts() - 1, "part"));
    to.put((byte) Layout.within(message.parts(), 1, MOST_PARTS, "count of parts"));
    int first = message.heard().isEmpty() ? 0 : message.heard().get(0);
    BitSet heard = new BitSet();
    message
        .heard()
        .forEach(number -> heard.set(Layout.within(number - first, 0, MOST_SPREAD - 1, "spread")));
    byte[] bits = heard.toByteArray();
    Layout.writeNumber(to, first);
    to.putShort((short) bits.length).put(bits);
  }

  /**
   * Reads one datagram.
   *
   * @throws IllegalArgumentException where it is none of this version's, with why in a few words
   */
  public static LeaseMessage read(byte[] bytes, int length) {
    if (length > MOST || length > bytes.length || length < 0) {
      throw new IllegalArgumentException("longer than " + MOST + " bytes or than it is");
    }
    return Layout.readAll(ByteBuffer.wrap(bytes, 0, length), LeaseCodec::read);
  }

  private static LeaseMessage read(ByteBuffer from) {
    if (from.get() != VERSION) {
      throw new IllegalArgumentException("another version");
    }
    int kind = from.get();
    return switch (kind) {
      case HEARTBEAT -> readHeartbeat(from);
      case ACKNOWLEDGEMENT -> readAcknowledgement(from);
      case EVIDENCE -> readEvidence(from);
      default -> throw new IllegalArgumentException("a kind that is not known: " + kind);
    };
  }

  private static LeaseMessage.Heartbeat readHeartbeat(ByteBuffer from) {
    return new LeaseMessage.Heartbeat(
        Layout.readMember(from),
        Layout.readLong(from),
        from.getInt(),
        Layout.readLong(from),
        Layout.readLong(from),
        Layout.readFlag(from));
  }

  private static LeaseMessage.Acknowledgement readAcknowledgement(ByteBuffer from) {
    return new LeaseMessage.Acknowledgement(
        Layout.readNumber(from),
        from.getInt(),
        Layout.readLong(from),
        Layout.readLong(from),
        Layout.readOne(from, LeaseMessage.Registration.values()),
        readSpan(from),
        readSpan(from),
        Layout.readLong(from),
        Layout.readLong(from),
        Layout.readFlag(from),
        from.getLong(),
        from.getLong(),
        readEntries(from));
  }

  private static List<DirectoryEntry> readEntries(ByteBuffer from) {
    int count = from.get() & 0xff;
    List<DirectoryEntry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(Layout.readEntry(from));
    }
    return List.copyOf(entries);
  }

  private static LeaseMessage.Evidence readEvidence(ByteBuffer from) {
    int sender = Layout.readNumber(from);
    long round = Layout.readLong(from);
    long confirmed = Layout.readLong(from);
    long confirmedBefore = from.getLong();
    long directoryVersion = Layout.readLong(from);
    int part = from.get() & 0xff;
    int parts = from.get() & 0xff;
    if (part >= parts) {
      throw new IllegalArgumentException("part " + part + " of " + parts);
    }
    return new LeaseMessage.Evidence(
        sender, round, confirmed, confirmedBefore, directoryVersion, part, parts, readHeard(from));
  }

  private static List<Integer> readHeard(ByteBuffer from) {
    int first = Layout.readNumber(from);
    int length = from.getShort() & 0xffff;
    if (length > from.remaining()) {
      throw new IllegalArgumentException("cut short");
    }
    byte[] bits = new byte[length];
    from.get(bits);
    List<Integer> heard = new ArrayList<>();
    BitSet.valueOf(bits).stream().forEach(bit -> heard.add(first + bit));
    if (!heard.isEmpty()) {
      Layout.within(heard.get(heard.size() - 1), 0, Layout.MOST_NUMBER, "number");
    }
    return List.copyOf(heard);
  }

  private static void writeFlag(ByteBuffer to, boolean flag) {
    to.put((byte) (flag ? 1 : 0));
  }

  private static void writeSpan(ByteBuffer to, Span span) {
    to.putInt((int) Math.max(0, Math.min(span.micros(), MOST_SPAN)));
  }

  private static Span readSpan(ByteBuffer from) {
    return new Span(from.getInt() & 0xffffffffL);
  }
}
