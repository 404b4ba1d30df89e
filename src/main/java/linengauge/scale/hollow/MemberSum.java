package linengauge.scale.hollow;

import java.util.Collection;
import linengauge.lease.DirectoryEntry;
import linengauge.membership.MemberUpdate;

/** A set of members in one number: that of two sets differs as good as always. */
final class MemberSum {
  private static final long SPREAD = 0x9e3779b97f4a7c15L;

  private MemberSum() {}

  static long of(int number, long incarnation) {
    long mixed = (number * SPREAD) ^ (incarnation * 0xbf58476d1ce4e5b9L);
    mixed = (mixed ^ (mixed >>> 31)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 29);
  }

  static long ofDirectory(Collection<DirectoryEntry> present) {
    return present.stream()
        .mapToLong(entry -> of(entry.member().number(), entry.incarnation()))
        .sum();
  }

  /** Lives are not told apart: only a member itself raises its incarnation, for denials too. */
  static long ofGossip(int own, Collection<MemberUpdate> held) {
    return of(own, 0)
        + held.stream()
            .filter(update -> update.state().isPresent())
            .mapToLong(update -> of(update.member().number(), 0))
            .sum();
  }
}
