package linengauge.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import linengauge.lease.CombinedView.Present;
import linengauge.lease.CombinedView.Source;
import linengauge.membership.Member;
import linengauge.membership.MemberState;
import linengauge.membership.MemberUpdate;
import org.junit.jupiter.api.Test;

/** While a fleet goes over, neither side gives up whom the other holds. */
class CombinedViewTest {
  private static Member member(int number) {
    return new Member(number, "10.0.0.1:" + (7000 + number), 0, 0);
  }

  private static DirectoryEntry entry(int number, DirectoryEntry.State state) {
    return new DirectoryEntry(member(number), 1, state, number);
  }

  private static MemberUpdate update(int number, MemberState standing) {
    return new MemberUpdate(member(number), 1, standing, number);
  }

  @Test
  void whoHoldsALeaseIsThereByItAndWhoHasNoneByGossip() {
    // given
    List<DirectoryEntry> directory =
        List.of(
            entry(1, DirectoryEntry.State.PRESENT),
            entry(2, DirectoryEntry.State.PRESENT),
            entry(3, DirectoryEntry.State.EXPIRED),
            entry(4, DirectoryEntry.State.LEFT));
    List<MemberUpdate> gossip =
        List.of(
            update(1, MemberState.ALIVE),
            update(2, MemberState.DEAD),
            update(3, MemberState.SUSPECT),
            update(4, MemberState.DEAD),
            update(5, MemberState.ALIVE),
            update(6, MemberState.LEFT));
    // when
    List<Present> there = CombinedView.of(directory, gossip);
    // then
    assertEquals(
        List.of(
            new Present(member(1), Source.LEASE),
            new Present(member(2), Source.LEASE),
            new Present(member(3), Source.GOSSIP),
            new Present(member(5), Source.GOSSIP)),
        there);
  }
}
