package linengauge.lease;

import linengauge.membership.Member;

/**
 * One member in the directory.
 *
 * @param incarnation which life of the front: only a higher one takes the place of a departed one
 * @param version the directory's version with which this entry last changed; no two entries share
 *     one
 */
public record DirectoryEntry(Member member, long incarnation, State state, long version) {
  /** Whether it is listed as there, and if not, why. */
  public enum State {
    /** It holds a lease. */
    PRESENT,
    /** Its lease ended without a word. */
    EXPIRED,
    /** It said that it leaves. */
    LEFT
  }
}
