package linengauge.consensus;

import java.util.ArrayList;
import java.util.List;

/** The entries after the base; indexes begin at 1 (Raft, figure 2). */
final class Log {
  private final List<Entry> entries;
  private long baseIndex;
  private long baseTerm;

  Log(long baseIndex, long baseTerm, List<Entry> entries) {
    this.baseIndex = baseIndex;
    this.baseTerm = baseTerm;
    this.entries = new ArrayList<>(entries);
  }

  long base() {
    return baseIndex;
  }

  long baseTerm() {
    return baseTerm;
  }

  long last() {
    return baseIndex + entries.size();
  }

  long lastTerm() {
    return termAt(last());
  }

  /** -1 where the index is not held. */
  long termAt(long index) {
    return index == baseIndex
        ? baseTerm
        : index < baseIndex || index > last() ? -1 : at(index).term();
  }

  Entry at(long index) {
    return entries.get((int) (index - baseIndex - 1));
  }

  List<Entry> from(long index, int most) {
    int i = (int) (index - baseIndex - 1);
    return i < 0 || i >= entries.size()
        ? List.of()
        : List.copyOf(entries.subList(i, Math.min(entries.size(), i + most)));
  }

  List<Entry> all() {
    return List.copyOf(entries);
  }

  void add(Entry e) {
    entries.add(e);
  }

  /** Bytes of all payloads after that index. */
  long bytesAfter(long index) {
    long sum = 0;
    for (long i = Math.max(index, baseIndex) + 1; i <= last(); i++) {
      sum += at(i).payload().length;
    }
    return sum;
  }

  /** Drops that entry and all after it. */
  void cutFrom(long index) {
    entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
  }

  /**
   * Folds all up to that entry, which is of that term, into the base; what is held after it stays
   * where it fits.
   */
  void base(long index, long term) {
    if (termAt(index) == term && index >= baseIndex) {
      entries.subList(0, (int) (index - baseIndex)).clear();
    } else {
      entries.clear();
    }
    baseIndex = index;
    baseTerm = term;
  }

  /**
   * The voters of the last entry that names them, committed or not (Ongaro 2014, 4.1), or else
   * those given.
   */
  Voters voters(Voters ofBase) {
    for (int i = entries.size() - 1; i >= 0; i--) {
      if (entries.get(i).kind() == Entry.Kind.VOTERS) {
        return Voters.of(entries.get(i).payload());
      }
    }
    return ofBase;
  }

  /** The last entry that names voters, or -1. */
  long lastVotersIndex() {
    for (int i = entries.size() - 1; i >= 0; i--) {
      if (entries.get(i).kind() == Entry.Kind.VOTERS) {
        return baseIndex + 1 + i;
      }
    }
    return -1;
  }
}
