package linengauge.consensus;

import java.util.List;
import linengauge.Moment;

/** What a leader holds of another voter (figure 2: nextIndex, matchIndex). */
final class PeerProgress {
  /** The next entry to send. */
  long nextIndex;

  /** The highest entry known to be the same there. */
  long matchIndex;

  /** When it last answered this leader. */
  Moment heardAt;

  /** The last round of heartbeats that it answered. */
  long round;

  Moment snapshotSentAt = Moment.DISTANT_PAST;

  PeerProgress(long nextIndex, Moment heardAt) {
    this.nextIndex = nextIndex;
    this.heardAt = heardAt;
  }

  PeerProgress copy() {
    PeerProgress copy = new PeerProgress(nextIndex, heardAt);
    copy.matchIndex = matchIndex;
    copy.round = round;
    copy.snapshotSentAt = snapshotSentAt;
    return copy;
  }

  /** All on which anything to come depends, but for the time of day; for an exploration. */
  List<Object> mark(RaftState state) {
    return List.of(
        nextIndex, matchIndex, round, state.boundedAge(heardAt), state.boundedAge(snapshotSentAt));
  }
}
