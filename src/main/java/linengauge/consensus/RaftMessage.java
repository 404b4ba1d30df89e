package linengauge.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * What one says to another, docs/protocol/council.md. Which fields a kind uses stands there; the
 * others are 0 or empty.
 *
 * @param store of whoever sends: it speaks for its number only while the voters say so
 * @param round of a leader's word and its answer; of whoever follows, reads or asks, its own number
 *     of the request
 * @param age for how long, in microseconds, no majority may have answered the leader that this goes
 *     back to
 */
public record RaftMessage(
    Kind kind,
    int from,
    long store,
    long term,
    long index,
    long indexTerm,
    long commit,
    long round,
    long age,
    boolean yes,
    List<Entry> entries,
    byte[] whole) {
  /** Bytes at the most, of the longest: a whole state. */
  public static final int MOST = 512 * 1024;

  /** Entries in one word. */
  public static final int MOST_ENTRIES = 64;

  private static final byte[] NOTHING = new byte[0];

  /** Between voters, then between whoever follows and a voter. */
  public enum Kind {
    WOULD_YOU,
    WOULD,
    VOTE_FOR_ME,
    VOTED,
    APPEND,
    TAKEN,
    INSTALL,
    FOLLOW,
    FOLLOWED,
    REPLACED,
    PROPOSE,
    PLACED,
    READ,
    READABLE
  }

  static RaftMessage of(Kind kind, int from, long store, long term) {
    return new RaftMessage(kind, from, store, term, 0, 0, 0, 0, 0, false, List.of(), NOTHING);
  }

  RaftMessage at(long i, long t) {
    return new RaftMessage(kind, from, store, term, i, t, commit, round, age, yes, entries, whole);
  }

  RaftMessage committed(long c, long a) {
    return new RaftMessage(
        kind, from, store, term, index, indexTerm, c, round, a, yes, entries, whole);
  }

  RaftMessage round(long r) {
    return new RaftMessage(
        kind, from, store, term, index, indexTerm, commit, r, age, yes, entries, whole);
  }

  RaftMessage yes(boolean y) {
    return new RaftMessage(
        kind, from, store, term, index, indexTerm, commit, round, age, y, entries, whole);
  }

  RaftMessage with(List<Entry> e) {
    return new RaftMessage(
        kind, from, store, term, index, indexTerm, commit, round, age, yes, List.copyOf(e), whole);
  }

  RaftMessage whole(byte[] w) {
    return new RaftMessage(
        kind, from, store, term, index, indexTerm, commit, round, age, yes, entries, w);
  }

  public byte[] bytes() {
    MessageWriter to =
        new MessageWriter()
            .num(kind.ordinal())
            .num(from)
            .num(store)
            .num(term)
            .num(index)
            .num(indexTerm)
            .num(commit)
            .num(round)
            .num(age)
            .flag(yes)
            .num(entries.size());
    entries.forEach(e -> e.write(to));
    return to.bytes(whole).done();
  }

  /** Throws IllegalArgumentException at what cannot be read. */
  public static RaftMessage read(byte[] bytes) {
    MessageReader from = new MessageReader(bytes);
    Kind kind = from.one(Kind.values());
    int number = from.num(0, 0xffff);
    long[] n = new long[7];
    for (int i = 0; i < n.length; i++) {
      n[i] = from.num();
      if (i > 0 && n[i] < -1) {
        throw new IllegalArgumentException("a number below -1");
      }
    }
    boolean yes = from.flag();
    List<Entry> entries = new ArrayList<>();
    for (int left = from.num(0, MOST_ENTRIES); left > 0; left--) {
      entries.add(Entry.read(from));
    }
    RaftMessage w =
        new RaftMessage(
            kind,
            number,
            n[0],
            n[1],
            n[2],
            n[3],
            n[4],
            n[5],
            n[6],
            yes,
            List.copyOf(entries),
            from.bytes(MOST));
    from.end();
    return w;
  }
}
