package linengauge.membership;

/** This front as a member: its incarnation, and what it denies of itself (SWIM, 4.2). */
final class OwnMember {
  /**
   * No front lives so many milliseconds: an incarnation further ahead is nonsense, and could not be
   * denied.
   */
  private static final long MAX_INCARNATION_DISTANCE = 1L << 40;

  private final Member member;
  private final long firstIncarnation;
  private long incarnation;
  private boolean left;

  /**
   * @param incarnation higher than in any earlier life of this front
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

  /** What this front tells of itself. */
  MemberUpdate update() {
    MemberState state = left ? MemberState.LEFT : MemberState.ALIVE;
    return new MemberUpdate(member, incarnation, state, member.number());
  }

  /** Whether any front could have come to such an incarnation. */
  boolean isPlausible(MemberUpdate update) {
    return Math.abs(update.incarnation() - firstIncarnation) <= MAX_INCARNATION_DISTANCE;
  }

  /** Another process says by that update that it is this member, at another address. */
  boolean isNumberConflict(MemberUpdate update) {
    return !update.member().address().equals(member.address())
        && update.state() == MemberState.ALIVE
        && update.incarnation() >= incarnation;
  }

  /** Whether what is said of this front is not so, and would overrule what it says itself. */
  boolean mustRefute(MemberUpdate update) {
    return update.incarnation() > incarnation
        || update.incarnation() == incarnation && update.state() != MemberState.ALIVE && !left;
  }

  /** Raises the incarnation above what was said. */
  void refute(MemberUpdate update) {
    incarnation = update.incarnation() + 1;
  }
}
