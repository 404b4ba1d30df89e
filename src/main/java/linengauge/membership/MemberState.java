package linengauge.membership;

/**
 * What is held of a member, in the order in which one overrules the other at the same incarnation
 * (SWIM, 4.2).
 */
public enum MemberState {
  ALIVE,
  SUSPECT,
  /** Nobody could reach it, and it has not spoken against that in its time. */
  DEAD,
  /** It has said itself that it leaves. */
  LEFT;

  /** Taken for there: one that is suspected is served with until it is given up. */
  public boolean isPresent() {
    return this == ALIVE || this == SUSPECT;
  }
}
