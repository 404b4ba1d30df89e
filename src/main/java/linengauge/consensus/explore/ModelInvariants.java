package linengauge.consensus.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.TreeMap;
import linengauge.consensus.Entry;
import linengauge.consensus.RaftNode;

/**
 * Checks explored voters by the state that they hold: one leader per term, one committed entry per
 * index, leader completeness (a later leader holds every committed entry), and no stale read.
 */
final class ModelInvariants {
  private final TreeMap<Long, Integer> leaderOfTerm = new TreeMap<>();

  /**
   * The committed entries in order. {@link #committedInTerm} holds the term of the voter that first
   * committed each.
   */
  private final List<Entry> committed = new ArrayList<>();

  private final List<Long> committedInTerm = new ArrayList<>();

  /** The committed index at the request of each read. */
  private final List<Long> committedAtRead = new ArrayList<>();

  ModelInvariants() {}

  /** Copies the history for another state. */
  ModelInvariants(ModelInvariants other) {
    leaderOfTerm.putAll(other.leaderOfTerm);
    committed.addAll(other.committed);
    committedInTerm.addAll(other.committedInTerm);
    committedAtRead.addAll(other.committedAtRead);
  }

  int reads() {
    return committedAtRead.size();
  }

  /** Records a read request and returns its number. */
  int onRead() {
    committedAtRead.add((long) committed.size());
    return committedAtRead.size() - 1;
  }

  /** Checks the answer to a read; returns the violation, or null. */
  String checkRead(int number, int read, long index) {
    long before = committedAtRead.get(read);
    return index >= before
        ? null
        : "stale: "
            + number
            + " answers a read at index "
            + index
            + ", and "
            + before
            + " was committed at the request";
  }

  /** Checks the state of a voter; returns the violation, or null. */
  String check(RaftNode voter) {
    String wrong = voter.role() == RaftNode.Role.LEADER ? checkLeader(voter) : null;
    return wrong != null ? wrong : checkCommitted(voter);
  }

  private String checkLeader(RaftNode voter) {
    Integer other = leaderOfTerm.putIfAbsent(voter.term(), voter.number());
    if (other == null) {
      return checkLeaderCompleteness(voter);
    }
    return other == voter.number()
        ? null
        : "two leaders in term " + voter.term() + ": " + other + " and " + voter.number();
  }

  private String checkLeaderCompleteness(RaftNode voter) {
    for (int i = 0; i < committed.size(); i++) {
      long index = i + 1L;
      if (committedInTerm.get(i) < voter.term()
          && !Objects.equals(committed.get(i), voter.entry(index))) {
        return voter.number()
            + " leads term "
            + voter.term()
            + " without entry "
            + index
            + ", which was committed in term "
            + committedInTerm.get(i);
      }
    }
    return null;
  }

  private String checkCommitted(RaftNode voter) {
    for (int i = 0; i < voter.commit(); i++) {
      Entry entry = voter.entry(i + 1L);
      if (i == committed.size()) {
        committed.add(entry);
        committedInTerm.add(voter.term());
      } else if (!Objects.equals(committed.get(i), entry)) {
        return "entry "
            + (i + 1)
            + " committed twice: term "
            + committed.get(i).term()
            + " and, at "
            + voter.number()
            + ", term "
            + entry.term();
      }
    }
    return null;
  }

  /** Everything on which later checks depend. */
  List<Object> fingerprint() {
    return List.of(
        new TreeMap<>(leaderOfTerm),
        new ArrayList<>(committed),
        List.copyOf(committedInTerm),
        List.copyOf(committedAtRead));
  }
}
