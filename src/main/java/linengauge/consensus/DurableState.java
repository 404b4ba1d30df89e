package linengauge.consensus;

import java.util.Arrays;
import java.util.List;

/**
 * Raft's persistent state (figure 2: currentTerm, votedFor, log; section 7: the snapshot that
 * stands for compacted entries), as it changes between two saves. {@link PersistentState} is what
 * of it goes to the store.
 */
final class DurableState {
  /** Stands for "voted for nobody in this term". */
  static final int NOBODY = -1;

  private final long storeId;
  private final Log log;
  private long term;
  private int votedFor;
  private byte[] snapshot;
  private Voters snapshotVoters;
  private boolean unsaved;
  private long lastSaved;

  /**
   * @param snapshotVoters the voters that the saved snapshot names
   */
  DurableState(PersistentState saved, Voters snapshotVoters) {
    this.storeId = saved.store();
    this.term = saved.term();
    this.votedFor = saved.voted();
    this.log = new Log(saved.baseIndex(), saved.baseTerm(), saved.entries());
    this.snapshot = saved.base();
    this.snapshotVoters = snapshotVoters;
    this.lastSaved = log.last();
  }

  long storeId() {
    return storeId;
  }

  long term() {
    return term;
  }

  int votedFor() {
    return votedFor;
  }

  Log log() {
    return log;
  }

  byte[] snapshot() {
    return snapshot;
  }

  /** The voters of the log's last entry that names them, or else those of the snapshot. */
  Voters voters() {
    return log.voters(snapshotVoters);
  }

  /** Begins that term, having voted for that one or {@link #NOBODY}. */
  void enterTerm(long newTerm, int vote) {
    term = newTerm;
    votedFor = vote;
    unsaved = true;
  }

  /** Gives the vote of the current term. */
  void voteFor(int candidate) {
    unsaved |= votedFor != candidate;
    votedFor = candidate;
  }

  void append(Entry entry) {
    log.add(entry);
    unsaved = true;
  }

  /** Puts another's newer snapshot in the place of the entries that it covers. */
  void install(long index, long indexTerm, byte[] newSnapshot, Voters votersOfIt) {
    compact(index, indexTerm, newSnapshot, votersOfIt);
    unsaved = true;
  }

  /**
   * Puts a snapshot of the own state in the place of the entries that it covers. It lasts with the
   * next save: until then the store holds the same in longer form.
   */
  void compact(long index, long indexTerm, byte[] newSnapshot, Voters votersOfIt) {
    snapshot = newSnapshot;
    snapshotVoters = votersOfIt;
    log.base(index, indexTerm);
  }

  boolean isUnsaved() {
    return unsaved;
  }

  /** The last entry that the store holds; a leader counts itself up to there. */
  long lastSaved() {
    return lastSaved;
  }

  void markSaved() {
    unsaved = false;
    lastSaved = log.last();
  }

  PersistentState toSave() {
    return new PersistentState(
        storeId, term, votedFor, log.base(), log.baseTerm(), snapshot, log.all());
  }

  /** Takes over what of the other its {@link #toSave} does not hold; for an exploration. */
  void copySaveMarks(DurableState other) {
    unsaved = other.unsaved;
    lastSaved = other.lastSaved;
  }

  /** All on which anything to come depends; for an exploration. */
  List<Object> mark() {
    return List.of(
        term, votedFor, log.base(), log.all(), Arrays.hashCode(snapshot), unsaved, lastSaved);
  }
}
