package linengauge.lease;

import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import linengauge.membership.Member;
import linengauge.membership.MemberUpdate;

/**
 * Who is there, for a front of a fleet that goes over from membership by gossip to membership by
 * lease: whoever holds a lease, and of those without one, whoever is there by gossip. Guards
 * against a half of the fleet that gives up the other: whom one side alone reaches stays. It hurts
 * by the slower of the two: a front on both is gone once both have given it up.
 */
public final class CombinedView {
  /** What a member is there by. */
  public enum Source {
    LEASE,
    GOSSIP
  }

  /** One that is there. */
  public record Present(Member member, Source by) {}

  private CombinedView() {}

  /** All that are there, by number. */
  public static List<Present> of(
      Collection<DirectoryEntry> directory, Collection<MemberUpdate> gossip) {
    TreeMap<Integer, Present> byNumber = new TreeMap<>();
    for (MemberUpdate update : gossip) {
      if (update.state().isPresent()) {
        byNumber.put(update.member().number(), new Present(update.member(), Source.GOSSIP));
      }
    }
    for (DirectoryEntry entry : directory) {
      if (entry.state() == DirectoryEntry.State.PRESENT) {
        byNumber.put(entry.member().number(), new Present(entry.member(), Source.LEASE));
      }
    }
    return List.copyOf(byNumber.values());
  }
}
