package linengauge.membership;

/** State of this front as a member: its incarnation and its refutations (SWIM, 4.2). */
final class OwnMember {
  /**
   * Maximum distance of an incarnation from the first one. No front runs for this many
   * milliseconds, so a larger distance is invalid, and this front could not refute it.
   */
  private static final long MAX_INCARNATION_DISTANCE = 1L << 40;

  private final Member member;
  private final long firstIncarnation;
  private long incarnation;
  private boolean left;

  /**
   * @param incarnation higher than in any earlier run of this front
   */
  OwnMember(Member member, long incarnation) {
    this.member = member;
    this.firstIncarnation = incarnation;
    this.incarnation = incarnation;
  }

  int number() {
    return member.number();
  }

  String address() {
    return member.address();
  }

  long incarnation() {
    return incarnation;
  }

  boolean hasLeft() {
    return left;
  }

  void leave() {
    left = true;
  }

  /** Returns the update that this front announces about itself. */
  MemberUpdate update() {
    MemberState state = left ? MemberState.LEFT : MemberState.ALIVE;
    return new MemberUpdate(member, incarnation, state, member.number());
  }

  /** Whether the incarnation is one that a front could have reached. */
  boolean isPlausible(MemberUpdate update) {
    return Math.abs(update.incarnation() - firstIncarnation) <= MAX_INCARNATION_DISTANCE;
  }

  /** Whether another process at a different address claims to be this member. */
  boolean isNumberConflict(MemberUpdate update) {
    return !update.member().address().equals(member.address())
        && update.state() == MemberState.ALIVE
        && update.incarnation() >= incarnation;
  }

  /** Whether the update about this front is false and would supersede its own. */
  boolean mustRefute(MemberUpdate update) {
    return update.incarnation() > incarnation
        || update.incarnation() == incarnation && update.state() != MemberState.ALIVE && !left;
  }

  /** Raises the incarnation above that of the update. */
  void refute(MemberUpdate update) {
    incarnation = update.incarnation() + 1;
  }
}
