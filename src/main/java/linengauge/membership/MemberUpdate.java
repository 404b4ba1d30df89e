package linengauge.membership;

/**
 * What one front tells another of a member.
 *
 * @param incarnation the member's own count of its lives and denials; only it raises it
 * @param source who says so: itself of ALIVE and LEFT; of SUSPECT and DEAD, the front that could
 *     not reach it
 */
public record MemberUpdate(Member member, long incarnation, MemberState state, int source) {
  /** Whether this overrules what is held. */
  boolean supersedes(MemberUpdate held) {
    return held == null
        || incarnation > held.incarnation
        || incarnation == held.incarnation && state.compareTo(held.state) > 0;
  }
}
