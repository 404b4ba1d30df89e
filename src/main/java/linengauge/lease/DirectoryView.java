package linengauge.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.TreeMap;

/** A front's copy of the directory: the present members, and how far it goes. */
public final class DirectoryView {
  private final TreeMap<Integer, DirectoryEntry> byNumber = new TreeMap<>();
  private long version;
  private long begun;
  private long unreachable;
  private long unreachableAsOf;
  private long entriesDigest;

  /** The directory's version that it has come to; 0: nothing. */
  public long version() {
    return version;
  }

  /** The directory's version when this view was begun from nothing. */
  long begun() {
    return begun;
  }

  /** Whether it has come as far as the directory was when it was begun: before, members miss. */
  boolean isWhole() {
    return version >= begun;
  }

  /** To be compared with that of the directory at the same version. */
  public long digest() {
    return entriesDigest + DirectoryDigest.ofRegions(unreachable);
  }

  /** Regions that cannot be reached, one bit each. */
  public long unreachable() {
    return unreachable;
  }

  /** The present member of that number, or null. */
  public DirectoryEntry entry(int number) {
    return byNumber.get(number);
  }

  /** The present members by number: departed ones are not kept. */
  public Collection<DirectoryEntry> entries() {
    return Collections.unmodifiableCollection(byNumber.values());
  }

  /** The present members by number, as they are now. */
  public List<DirectoryEntry> present() {
    return List.copyOf(byNumber.values());
  }

  void clear() {
    byNumber.clear();
    version = 0;
    begun = 0;
    unreachable = 0;
    unreachableAsOf = 0;
    entriesDigest = 0;
  }

  /**
   * Takes what an acknowledgement brings after a version that this view had reached; gives back
   * what was news. What comes late or twice changes nothing.
   */
  List<DirectoryEntry> take(LeaseMessage.Acknowledgement acknowledgement) {
    if (version == 0) {
      begun = acknowledgement.latest();
    }
    List<DirectoryEntry> news = new ArrayList<>();
    for (DirectoryEntry entry : acknowledgement.entries()) {
      if (entry.version() > version) {
        put(entry);
        news.add(entry);
      }
    }
    version = Math.max(version, acknowledgement.upTo());
    if (acknowledgement.latest() >= unreachableAsOf) {
      unreachableAsOf = acknowledgement.latest();
      unreachable = acknowledgement.unreachable();
    }
    return news;
  }

  private void put(DirectoryEntry entry) {
    DirectoryEntry before = byNumber.remove(entry.member().number());
    if (before != null) {
      entriesDigest -= DirectoryDigest.of(before);
    }
    if (entry.state() == DirectoryEntry.State.PRESENT) {
      byNumber.put(entry.member().number(), entry);
      entriesDigest += DirectoryDigest.of(entry);
    }
  }
}
