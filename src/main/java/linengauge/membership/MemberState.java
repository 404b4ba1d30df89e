package linengauge.membership;

/**
 * State of a member. At the same incarnation, a later constant supersedes an earlier one (SWIM,
 * 4.2).
 */
public enum MemberState {
  ALIVE,
  SUSPECT,
  /** It was unreachable and did not refute the suspicion in time. */
  DEAD,
  /** It announced that it leaves. */
  LEFT;

  /** Whether the member counts as present. A suspected member stays in use until it is dead. */
  public boolean isPresent() {
    return this == ALIVE || this == SUSPECT;
  }
}
