package linengauge.consensus;

import java.util.Arrays;

/**
 * One entry of the council's log.
 *
 * @param term in which a leader placed it
 * @param author who wants it: a front's number; an operator's orders go by the front that takes
 *     them
 * @param number of the author's, only rising: with the author it names the entry however often it
 *     is asked for
 */
public record Entry(long term, Kind kind, long author, long number, byte[] payload) {
  /** Bytes of a payload at the most. */
  public static final int MOST = 16 * 1024;

  /**
   * BLANK: a leader's first, so that earlier terms' entries can be counted (Raft, 8). VOTERS: who
   * votes from here on.
   */
  public enum Kind {
    BLANK,
    VOTERS,
    DECISION
  }

  public Entry {
    if (payload.length > MOST) {
      throw new IllegalArgumentException("a payload of " + payload.length + " bytes");
    }
  }

  static Entry blank(long term) {
    return new Entry(term, Kind.BLANK, -1, 0, new byte[0]);
  }

  Entry inTerm(long t) {
    return new Entry(t, kind, author, number, payload);
  }

  void write(MessageWriter to) {
    to.num(term).num(kind.ordinal()).num(author).num(number).bytes(payload);
  }

  static Entry read(MessageReader from) {
    return new Entry(from.num(), from.one(Kind.values()), from.num(), from.num(), from.bytes(MOST));
  }

  @Override
  public String toString() {
    return kind + " " + author + "." + number + " in " + term + " " + Arrays.hashCode(payload);
  }

  @Override
  public boolean equals(Object o) {
    return o instanceof Entry e
        && term == e.term
        && kind == e.kind
        && author == e.author
        && number == e.number
        && Arrays.equals(payload, e.payload);
  }

  @Override
  public int hashCode() {
    return Long.hashCode(term * 31 + number) * 31 + Arrays.hashCode(payload);
  }
}
