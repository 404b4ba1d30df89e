package linengauge.consensus;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What has been decided so far, in order, each decision once however often its author had to ask
 * for it. The same at voters and at whoever follows them.
 */
public final class CommittedLog {
  /** Bytes of a machine's state at the most. */
  public static final int MOST = 256 * 1024;

  /** Authors whose last number is kept; the one silent for longest goes. */
  static final int MOST_AUTHORS = 2048;

  private final StateMachine machine;

  /** The last number of each author, whoever spoke last at the end. Bounded, the first goes. */
  private final LinkedHashMap<Long, Long> authors = new LinkedHashMap<>();

  private long index;
  private Voters voters = Voters.NONE;

  public CommittedLog(StateMachine machine) {
    this.machine = machine;
  }

  /** How far. */
  public long index() {
    return index;
  }

  /** Those that were decided on last. */
  public Voters voters() {
    return voters;
  }

  void voters(Voters founding) {
    voters = founding;
  }

  /** The last number of an author's that was decided, or -1. */
  public long lastOf(long author) {
    return authors.getOrDefault(author, -1L);
  }

  void apply(long at, Entry e) {
    if (at != index + 1) {
      throw new IllegalStateException("entry " + at + " after " + index);
    }
    index = at;
    switch (e.kind()) {
      case VOTERS -> voters = Voters.of(e.payload());
      case DECISION -> {
        if (e.number() > lastOf(e.author())) {
          authors.remove(e.author());
          authors.put(e.author(), e.number());
          if (authors.size() > MOST_AUTHORS) {
            authors.remove(authors.keySet().iterator().next());
          }
          machine.apply(at, e.author(), e.payload());
        }
      }
      default -> {
        // a leader's first says nothing
      }
    }
  }

  byte[] whole() {
    MessageWriter to = new MessageWriter();
    voters.write(to);
    to.num(authors.size());
    authors.forEach((a, n) -> to.num(a).num(n));
    return to.bytes(machine.whole()).done();
  }

  void restore(long at, byte[] whole) {
    MessageReader from = new MessageReader(whole);
    Voters v = Voters.read(from);
    Map<Long, Long> all = new LinkedHashMap<>();
    for (int n = from.num(0, MOST_AUTHORS); n > 0; n--) {
      all.put(from.num(), from.num());
    }
    byte[] state = from.bytes(MOST);
    from.end();
    machine.restore(state);
    index = at;
    voters = v;
    authors.clear();
    authors.putAll(all);
  }
}
