package linengauge.lease;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntPredicate;
import linengauge.Moment;

/** What the leader makes of silence: members whose leases expire, regions lost and back. */
final class LeaseExpiry {
  private final LeaseSettings settings;
  private final MemberDirectory directory;
  private final LeaseTable table;
  private final RegionWatch regions;

  LeaseExpiry(
      LeaseSettings settings, MemberDirectory directory, LeaseTable table, RegionWatch regions) {
    this.settings = settings;
    this.directory = directory;
    this.table = table;
    this.regions = regions;
  }

  /**
   * The changes that are due, of regions first.
   *
   * @param leasesFrom all leases run at the least from here on
   * @param isLost whether a member's silence is to be taken for its region's
   */
  List<DirectoryChange> changes(Moment leasesFrom, Moment now, IntPredicate isLost) {
    regions.count(directory, table, now);
    List<DirectoryChange> ofRegions = regionsBack(now);
    List<DirectoryChange> ofMembers = new ArrayList<>();
    Set<Integer> lost = new HashSet<>();
    for (DirectoryEntry entry : directory.entries()) {
      int region = entry.member().region();
      if (isUnreachable(region) || lost.contains(region) || !isDue(entry, leasesFrom, now)) {
        continue;
      }
      if (isLost.test(region)) {
        lost.add(region);
        ofRegions.add(new DirectoryChange.RegionReachable(region, false));
      } else {
        ofMembers.add(expired(entry));
      }
    }
    ofRegions.addAll(ofMembers);
    return ofRegions;
  }

  private DirectoryChange expired(DirectoryEntry entry) {
    return new DirectoryChange.Departed(
        entry.member().number(),
        entry.incarnation(),
        DirectoryEntry.State.EXPIRED,
        directory.term());
  }

  private List<DirectoryChange> regionsBack(Moment now) {
    List<DirectoryChange> back = new ArrayList<>();
    for (int region = 0; region <= Layout.MOST_REGION; region++) {
      if (isUnreachable(region) && regions.isBack(region, now)) {
        back.add(new DirectoryChange.RegionReachable(region, true));
      }
    }
    return back;
  }

  private boolean isDue(DirectoryEntry entry, Moment leasesFrom, Moment now) {
    if (entry.state() != DirectoryEntry.State.PRESENT) {
      return false;
    }
    Moment from =
        table
            .of(entry, now)
            .heardAt()
            .max(leasesFrom)
            .max(regions.reachableSince(entry.member().region()));
    return !now.since(from).isShorterThan(settings.lease());
  }

  private boolean isUnreachable(int region) {
    return (directory.unreachable() >>> region & 1) == 1;
  }
}
