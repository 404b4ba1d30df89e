package linengauge.membership;

/**
 * State of a member as one front reports it to another.
 *
 * @param incarnation number that only the member itself raises, on each restart and refutation
 * @param source front that made the observation: for ALIVE and LEFT the member itself, for SUSPECT
 *     and DEAD the front that could not reach it
 */
public record MemberUpdate(Member member, long incarnation, MemberState state, int source) {
  /** Whether this update supersedes the current one. */
  boolean supersedes(MemberUpdate current) {
    return current == null
        || incarnation > current.incarnation
        || incarnation == current.incarnation && state.compareTo(current.state) > 0;
  }
}
