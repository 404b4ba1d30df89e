package linengauge.lease;

import java.util.List;
import linengauge.Span;
import linengauge.membership.Member;

/** One datagram of membership by lease; laid out by {@link LeaseCodec}. */
public sealed interface LeaseMessage {
  /** The number of the front or control machine that sends it. */
  int from();

  /**
   * A front says that it lives, and how far its view goes.
   *
   * @param sequence repeated by the acknowledgement
   * @param version of the directory that the front holds; 0: nothing
   * @param begun the directory's version when the front's view was begun from nothing: what had
   *     departed by then it never held
   * @param leaving the last word of this life
   */
  record Heartbeat(
      Member member, long incarnation, int sequence, long version, long begun, boolean leaving)
      implements LeaseMessage {
    @Override
    public int from() {
      return member.number();
    }
  }

  /** What a front's registration has come to. */
  enum Registration {
    /** Not in the directory yet. */
    PENDING,
    /** Listed with a lease. */
    HELD,
    /** That life is over: a later one is listed, or it expired. The front has to begin another. */
    SUPERSEDED
  }

  /**
   * A control machine's answer, with what changed after the version that the front named.
   *
   * @param sequence of the heartbeat
   * @param incarnation of the heartbeat
   * @param remaining of the lease, as far as the leader is known to know of it; none: not held
   * @param age for how long, at the most, the control machine's copy of the log may be out of date
   * @param latest the directory's version at the control machine
   * @param upTo the version that the front holds once it has taken the entries
   * @param reset the front's copy has to be emptied first: what it misses is not kept any more
   * @param digest of the whole directory at `latest`
   * @param unreachable regions that cannot be reached, one bit each
   */
  record Acknowledgement(
      int from,
      int sequence,
      long incarnation,
      long listed,
      Registration registration,
      Span remaining,
      Span age,
      long latest,
      long upTo,
      boolean reset,
      long digest,
      long unreachable,
      List<DirectoryEntry> entries)
      implements LeaseMessage {}

  /**
   * What one control machine heard since its last exchange, told to all others. Split where it does
   * not fit one datagram.
   *
   * @param round number of the exchange at the sender; all parts of one exchange share it
   * @param confirmed the last complete round of the receiver's that the sender has taken in; 0:
   *     none
   * @param confirmedBefore the rounds before it that were taken in too: bit 0 is the one just
   *     before
   * @param directoryVersion of the sender's copy as the round ended: the lives heard are those that
   *     it lists
   * @param parts how many parts the round has
   * @param heard numbers of the fronts whose listed life was heard since the round before
   */
  record Evidence(
      int from,
      long round,
      long confirmed,
      long confirmedBefore,
      long directoryVersion,
      int part,
      int parts,
      List<Integer> heard)
      implements LeaseMessage {}
}
