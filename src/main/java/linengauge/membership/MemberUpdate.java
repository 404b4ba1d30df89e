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
  boolean supersedes(MemberUpdate current) {
    return current == null
        || incarnation > current.incarnation
        || incarnation == current.incarnation && state.compareTo(current.state) > 0;
  }
}
