package linengauge.lease;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import linengauge.consensus.CommittedLog;

/** The directory's decisions and its whole, in bytes (docs/protocol/lease.md). */
final class DirectoryCodec {
  /** Bytes of all entries at the most, so that the whole fits what the log lets a machine hold. */
  static final int MOST_ENTRIES_BYTES = CommittedLog.MOST - 4096;

  private static final byte VERSION = 1;
  private static final int HEAD_BYTES = 1 + 6 + 6 + 8 + 4 + 8 + 6 + 2;
  private static final int DECISION_HEAD = 1 + 2;

  /** Bytes of the longest change. */
  static final int MOST_CHANGE = 1 + Layout.MOST_MEMBER + 6;

  private static final int REGISTERED = 0;
  private static final int DEPARTED = 1;
  private static final int REACHABLE = 2;
  private static final int LEADS = 3;

  /**
   * What the directory holds beside its entries.
   *
   * @param floor copies of a version below it miss a departure that is not kept any more
   */
  record Head(long version, long floor, long unreachable, int leader, long leaderLife, long term) {
    static final Head EMPTY = new Head(0, 0, 0, MemberDirectory.NOBODY, 0, 0);

    Head withVersion(long next) {
      return new Head(next, floor, unreachable, leader, leaderLife, term);
    }

    Head withFloor(long next) {
      return new Head(version, next, unreachable, leader, leaderLife, term);
    }

    Head withUnreachable(long next) {
      return new Head(version, floor, next, leader, leaderLife, term);
    }

    Head withLeader(int machine, long life, long nextTerm) {
      return new Head(version, floor, unreachable, machine, life, nextTerm);
    }
  }

  /** A whole directory as it was read. */
  record Whole(Head head, List<DirectoryEntry> entries) {}

  private DirectoryCodec() {}

  static byte[] whole(Head head, Collection<DirectoryEntry> entries) {
    int size = entries.stream().mapToInt(Layout::size).sum();
    ByteBuffer to = ByteBuffer.allocate(HEAD_BYTES + size);
    to.put(VERSION);
    Layout.writeLong(to, head.version());
    Layout.writeLong(to, head.floor());
    to.putLong(head.unreachable()).putInt(head.leader()).putLong(head.leaderLife());
    Layout.writeLong(to, head.term());
    Layout.writeNumber(to, entries.size());
    entries.forEach(entry -> Layout.writeEntry(to, entry));
    return to.array();
  }

  static Whole readWhole(byte[] whole) {
    return Layout.readAll(ByteBuffer.wrap(whole), DirectoryCodec::readWhole);
  }

  private static Whole readWhole(ByteBuffer from) {
    readVersion(from);
    long version = Layout.readLong(from);
    long floor = Layout.readLong(from);
    Head head =
        new Head(
            version, floor, from.getLong(), from.getInt(), from.getLong(), Layout.readLong(from));
    int count = Layout.readNumber(from);
    List<DirectoryEntry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(Layout.readEntry(from));
    }
    return new Whole(head, entries);
  }

  static byte[] encode(List<DirectoryChange> changes) {
    ByteBuffer to = ByteBuffer.allocate(DECISION_HEAD + changes.size() * MOST_CHANGE);
    to.put(VERSION);
    Layout.writeNumber(to, changes.size());
    changes.forEach(change -> write(to, change));
    byte[] decision = new byte[to.position()];
    to.flip().get(decision);
    return decision;
  }

  private static void write(ByteBuffer to, DirectoryChange change) {
    if (change instanceof DirectoryChange.Registered registered) {
      to.put((byte) REGISTERED);
      Layout.writeMember(to, registered.member());
      Layout.writeLong(to, registered.incarnation());
    } else if (change instanceof DirectoryChange.Departed departed) {
      to.put((byte) DEPARTED);
      Layout.writeNumber(to, departed.number());
      Layout.writeLong(to, departed.incarnation());
      to.put((byte) departed.why().ordinal());
      Layout.writeLong(to, departed.term());
    } else if (change instanceof DirectoryChange.RegionReachable region) {
      to.put((byte) REACHABLE);
      to.put((byte) Layout.within(region.region(), 0, Layout.MOST_REGION, "region"));
      to.put((byte) (region.reachable() ? 1 : 0));
    } else if (change instanceof DirectoryChange.Leads leads) {
      to.put((byte) LEADS);
      Layout.writeNumber(to, leads.machine());
      to.putLong(leads.life());
      Layout.writeLong(to, leads.term());
    }
  }

  static List<DirectoryChange> decode(byte[] decision) {
    return Layout.readAll(ByteBuffer.wrap(decision), DirectoryCodec::readChanges);
  }

  private static List<DirectoryChange> readChanges(ByteBuffer from) {
    readVersion(from);
    int count = Layout.readNumber(from);
    List<DirectoryChange> changes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      changes.add(readChange(from));
    }
    return List.copyOf(changes);
  }

  private static DirectoryChange readChange(ByteBuffer from) {
    int kind = from.get();
    return switch (kind) {
      case REGISTERED ->
          new DirectoryChange.Registered(Layout.readMember(from), Layout.readLong(from));
      case DEPARTED ->
          new DirectoryChange.Departed(
              Layout.readNumber(from),
              Layout.readLong(from),
              Layout.readOne(from, DirectoryEntry.State.values()),
              Layout.readLong(from));
      case REACHABLE ->
          new DirectoryChange.RegionReachable(
              Layout.within(from.get(), 0, Layout.MOST_REGION, "region"), Layout.readFlag(from));
      case LEADS ->
          new DirectoryChange.Leads(Layout.readNumber(from), from.getLong(), Layout.readLong(from));
      default -> throw new IllegalArgumentException("a change that is not known: " + kind);
    };
  }

  private static void readVersion(ByteBuffer from) {
    if (from.get() != VERSION) {
      throw new IllegalArgumentException("another version");
    }
  }
}
