package linengauge.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * What a voter must not forget: Raft's persistent state (figure 2) with the state that compacted
 * entries came to (7).
 *
 * @param store made when the folder was, at random: whoever has lost the folder has lost the voice
 * @param voted whom it voted for in the term, or -1
 * @param baseIndex last entry that is part of `base`, the state as {@link CommittedLog} has it; 0:
 *     none is
 */
public record PersistentState(
    long store,
    long term,
    int voted,
    long baseIndex,
    long baseTerm,
    byte[] base,
    List<Entry> entries) {
  /** Entries after the base, at the most. */
  public static final int MOST_ENTRIES = 1024;

  /** Bytes at the most. */
  public static final int MOST = 4 * 1024 * 1024;

  /**
   * The first of a new council's voter: all of them begin with the same voters, as the first
   * decision.
   */
  public static PersistentState founding(long store, Voters voters, StateMachine empty) {
    CommittedLog d = new CommittedLog(empty);
    d.voters(voters);
    return new PersistentState(store, 0, -1, 1, 0, d.whole(), List.of());
  }

  /** One that knows nothing, to be brought up by those there are. */
  public static PersistentState joining(long store, StateMachine empty) {
    return new PersistentState(store, 0, -1, 0, 0, new CommittedLog(empty).whole(), List.of());
  }

  public byte[] bytes() {
    MessageWriter to =
        new MessageWriter()
            .num(store)
            .num(term)
            .num(voted)
            .num(baseIndex)
            .num(baseTerm)
            .bytes(base)
            .num(entries.size());
    entries.forEach(e -> e.write(to));
    return to.done();
  }

  /** Throws IllegalArgumentException at what cannot be read. */
  public static PersistentState read(byte[] bytes) {
    MessageReader from = new MessageReader(bytes);
    long store = from.num();
    long term = from.num();
    int voted = from.num(-1, 0xffff);
    long baseIndex = from.num();
    long baseTerm = from.num();
    byte[] base = from.bytes(MOST);
    List<Entry> entries = new ArrayList<>();
    for (int left = from.num(0, MOST_ENTRIES); left > 0; left--) {
      entries.add(Entry.read(from));
    }
    from.end();
    return new PersistentState(store, term, voted, baseIndex, baseTerm, base, List.copyOf(entries));
  }
}
