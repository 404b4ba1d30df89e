package linengauge.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.TreeMap;
import linengauge.consensus.StateMachine;

/**
 * Who is a member, as the log's decisions have it: the same at every replica. Departed members stay
 * as entries until the room is needed, the oldest departed go first.
 */
public final class MemberDirectory implements StateMachine {
  /** No control machine has come to lead yet. */
  public static final int NOBODY = -1;

  /** A piece of what changed, and the version that a copy holds once it has taken it. */
  record Page(List<DirectoryEntry> entries, long upTo) {}

  private final LeaseSettings settings;
  private final TreeMap<Integer, DirectoryEntry> byNumber = new TreeMap<>();
  private final TreeMap<Long, DirectoryEntry> byVersion = new TreeMap<>();
  private final TreeMap<Long, DirectoryEntry> departed = new TreeMap<>();
  private DirectoryCodec.Head head = DirectoryCodec.Head.EMPTY;
  private long entriesDigest;
  private int bytes;
  private int presentBytes;

  public MemberDirectory(LeaseSettings settings) {
    this.settings = settings;
  }

  /** Rises by one with each change taken. */
  public long version() {
    return head.version();
  }

  /** Of all present members and the regions that cannot be reached; the order does not matter. */
  public long digest() {
    return entriesDigest + DirectoryDigest.ofRegions(head.unreachable());
  }

  /** Regions that cannot be reached, one bit each. */
  public long unreachable() {
    return head.unreachable();
  }

  /** The control machine that grants leases and lets them expire, or {@link #NOBODY}. */
  public int leader() {
    return head.leader();
  }

  /** Which life of the leader's process came to lead. */
  public long leaderLife() {
    return head.leaderLife();
  }

  /** How often a leader has begun. */
  public long term() {
    return head.term();
  }

  /** Copies of a version below it miss a departure that is not kept any more. */
  long floor() {
    return head.floor();
  }

  /** What is listed under that number, or null. */
  public DirectoryEntry entry(int number) {
    return byNumber.get(number);
  }

  /** All, by number, departed ones included. */
  public Collection<DirectoryEntry> entries() {
    return Collections.unmodifiableCollection(byNumber.values());
  }

  /** How many are listed as present. */
  public int presentCount() {
    return byNumber.size() - departed.size();
  }

  /** Whether a member that is not listed yet would find room. */
  public boolean hasRoom() {
    return presentCount() < settings.mostMembers() && hasBytes();
  }

  private boolean hasBytes() {
    return presentBytes + Layout.MOST_ENTRY <= DirectoryCodec.MOST_ENTRIES_BYTES;
  }

  /** What changed after that version, in order of version, as far as so many bytes hold it. */
  public List<DirectoryEntry> since(long version, int mostBytes) {
    return page(version, 0, mostBytes).entries();
  }

  /**
   * The same for a view begun from nothing at a version: it never held what had departed by then,
   * so that is left out.
   */
  Page page(long version, long begun, int mostBytes) {
    List<DirectoryEntry> page = new ArrayList<>();
    long neverHeld = version == 0 ? head.version() : begun;
    long upTo = head.version();
    int left = mostBytes;
    for (DirectoryEntry entry : byVersion.tailMap(version, false).values()) {
      if (!isPresent(entry) && entry.version() <= neverHeld) {
        continue;
      }
      left -= LeaseCodec.size(entry);
      if (left < 0) {
        upTo = page.isEmpty() ? version : page.get(page.size() - 1).version();
        break;
      }
      page.add(entry);
    }
    return new Page(List.copyOf(page), upTo);
  }

  /** Whether entries above that version were dropped: a copy of that version misses a departure. */
  public boolean resets(long version) {
    return version < head.floor();
  }

  @Override
  public void apply(long index, long author, byte[] decision) {
    List<DirectoryChange> changes;
    try {
      changes = decode(decision);
    } catch (IllegalArgumentException e) {
      return; // nonsense changes nothing, at every replica alike
    }
    changes.forEach(this::apply);
  }

  private void apply(DirectoryChange change) {
    if (change instanceof DirectoryChange.Registered registered) {
      register(registered);
    } else if (change instanceof DirectoryChange.Departed departure) {
      depart(departure);
    } else if (change instanceof DirectoryChange.RegionReachable region) {
      reach(region);
    } else if (change instanceof DirectoryChange.Leads leads) {
      lead(leads);
    }
  }

  private void register(DirectoryChange.Registered change) {
    DirectoryEntry listed = byNumber.get(change.member().number());
    boolean known = listed != null && listed.incarnation() >= change.incarnation();
    boolean room = hasRoom() || (listed != null && isPresent(listed) && hasBytes());
    if (known || !room) {
      return;
    }
    put(
        new DirectoryEntry(
            change.member(), change.incarnation(), DirectoryEntry.State.PRESENT, nextVersion()));
    dropOldestDeparted();
  }

  private void depart(DirectoryChange.Departed change) {
    DirectoryEntry listed = byNumber.get(change.number());
    boolean thatLife =
        listed != null && isPresent(listed) && listed.incarnation() == change.incarnation();
    boolean expired = change.why() == DirectoryEntry.State.EXPIRED;
    boolean ofAnotherTerm = expired && change.term() != head.term();
    if (!thatLife || ofAnotherTerm || change.why() == DirectoryEntry.State.PRESENT) {
      return;
    }
    put(new DirectoryEntry(listed.member(), listed.incarnation(), change.why(), nextVersion()));
  }

  private void reach(DirectoryChange.RegionReachable change) {
    long bit = 1L << change.region();
    boolean reachable = (head.unreachable() & bit) == 0;
    if (reachable != change.reachable()) {
      nextVersion();
      head = head.withUnreachable(head.unreachable() ^ bit);
    }
  }

  private void lead(DirectoryChange.Leads change) {
    if (change.term() == head.term() + 1) {
      nextVersion();
      head = head.withLeader(change.machine(), change.life(), change.term());
    }
  }

  private long nextVersion() {
    head = head.withVersion(head.version() + 1);
    return head.version();
  }

  private static boolean isPresent(DirectoryEntry entry) {
    return entry.state() == DirectoryEntry.State.PRESENT;
  }

  private void put(DirectoryEntry entry) {
    remove(entry.member().number());
    byNumber.put(entry.member().number(), entry);
    byVersion.put(entry.version(), entry);
    bytes += Layout.size(entry);
    if (isPresent(entry)) {
      presentBytes += Layout.size(entry);
      entriesDigest += DirectoryDigest.of(entry);
    } else {
      departed.put(entry.version(), entry);
    }
  }

  private void remove(int number) {
    DirectoryEntry entry = byNumber.remove(number);
    if (entry == null) {
      return;
    }
    byVersion.remove(entry.version());
    departed.remove(entry.version());
    bytes -= Layout.size(entry);
    if (isPresent(entry)) {
      presentBytes -= Layout.size(entry);
      entriesDigest -= DirectoryDigest.of(entry);
    }
  }

  /** Guards against a state that grows for ever. Hurts a front that was away meanwhile: a reset. */
  private void dropOldestDeparted() {
    while (!departed.isEmpty() && isFull()) {
      DirectoryEntry oldest = departed.firstEntry().getValue();
      remove(oldest.member().number());
      head = head.withFloor(Math.max(head.floor(), oldest.version()));
    }
  }

  private boolean isFull() {
    return byNumber.size() > settings.mostMembers() || bytes > DirectoryCodec.MOST_ENTRIES_BYTES;
  }

  @Override
  public byte[] whole() {
    return DirectoryCodec.whole(head, byNumber.values());
  }

  @Override
  public void restore(byte[] whole) {
    DirectoryCodec.Whole read = DirectoryCodec.readWhole(whole);
    byNumber.clear();
    byVersion.clear();
    departed.clear();
    entriesDigest = 0;
    bytes = 0;
    presentBytes = 0;
    head = read.head();
    read.entries().forEach(this::put);
  }

  /** One decision with these changes in order. */
  public static byte[] encode(List<DirectoryChange> changes) {
    return DirectoryCodec.encode(changes);
  }

  /**
   * Reads one decision.
   *
   * @throws IllegalArgumentException where it is none, with why in a few words
   */
  public static List<DirectoryChange> decode(byte[] decision) {
    return DirectoryCodec.decode(decision);
  }
}
