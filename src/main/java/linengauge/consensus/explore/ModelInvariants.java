package linengauge.consensus.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.TreeMap;
import linengauge.consensus.Entry;
import linengauge.consensus.RaftNode;

/**
 * Judges explored voters by what they hold: one leader a term; one entry an index for ever; whoever
 * leads later holds all that was decided before; no read is stale.
 */
final class ModelInvariants {
  private final TreeMap<Long, Integer> leaderOfTerm = new TreeMap<>();

  /** What was decided, in order, and the term of the voter that first took it for decided. */
  private final List<Entry> committed = new ArrayList<>();

  private final List<Long> committedInTerm = new ArrayList<>();

  /** How far all was decided when each read was asked for. */
  private final List<Long> committedAtRead = new ArrayList<>();

  ModelInvariants() {}

  /** The same in another state. */
  ModelInvariants(ModelInvariants other) {
    leaderOfTerm.putAll(other.leaderOfTerm);
    committed.addAll(other.committed);
    committedInTerm.addAll(other.committedInTerm);
    committedAtRead.addAll(other.committedAtRead);
  }

  int reads() {
    return committedAtRead.size();
  }

  /** Somebody asks now how far all is decided; the read's number. */
  int onRead() {
    committedAtRead.add((long) committed.size());
    return committedAtRead.size() - 1;
  }

  /** That read was answered; the rule that this breaks, or null. */
  String checkRead(int number, int read, long index) {
    long before = committedAtRead.get(read);
    return index >= before
        ? null
        : "stale: "
            + number
            + " answers that all is known up to "
            + index
            + ", and "
            + before
            + " had been decided when it was asked";
  }

  /** The rule that what this voter holds breaks, or null. */
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
        : "two led term " + voter.term() + ": " + other + " and " + voter.number();
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
            + ", which was decided in term "
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
            + " decided twice: term "
            + committed.get(i).term()
            + " and, at "
            + voter.number()
            + ", term "
            + entry.term();
      }
    }
    return null;
  }

  /** All on which anything to come depends. */
  List<Object> fingerprint() {
    return List.of(
        new TreeMap<>(leaderOfTerm),
        new ArrayList<>(committed),
        List.copyOf(committedInTerm),
        List.copyOf(committedAtRead));
  }
}
