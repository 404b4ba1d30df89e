package linengauge.lease;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import linengauge.Moment;
import linengauge.Span;

/**
 * Whether a region as a whole cannot be reached. Guards against a cut line that empties the
 * directory of a third of the fleet. Hurts where a region truly burns: its members stay listed, and
 * the directory says that they cannot be reached.
 */
final class RegionWatch {
  /** A region without control machines is judged by its members alone, if it has so many. */
  static final int LEAST_MEMBERS = 16;

  /** Members of a region, and how many were not heard of for half a lease. */
  private record Count(int members, int silent) {
    private Count plus(boolean silentOne) {
      return new Count(members + 1, silent + (silentOne ? 1 : 0));
    }

    private boolean mostSilent() {
      return 2 * silent > members;
    }
  }

  private static final Count NONE = new Count(0, 0);

  private final LeaseSettings settings;
  private final int ownRegion;
  private final List<ControlMachine> all;
  private final EvidenceExchange exchange;
  private final Map<Integer, Count> counts = new HashMap<>();
  private final Set<Integer> mostlySilent = new HashSet<>();
  private final Map<Integer, Moment> reachableSince = new HashMap<>();
  private long unreachable;

  RegionWatch(
      LeaseSettings settings, int own, List<ControlMachine> all, EvidenceExchange exchange) {
    this.settings = settings;
    this.all = all;
    this.exchange = exchange;
    this.ownRegion = regionOf(own);
  }

  /** Counts who is silent now. */
  void count(MemberDirectory directory, LeaseTable table, Moment now) {
    counts.clear();
    Span half = settings.lease().times(0.5);
    for (DirectoryEntry entry : directory.entries()) {
      if (entry.state() == DirectoryEntry.State.PRESENT) {
        boolean silent = half.isShorterThan(now.since(table.of(entry, now).heardAt()));
        counts.merge(
            entry.member().region(), NONE.plus(silent), (count, one) -> count.plus(silent));
      }
    }
    counts.forEach((region, count) -> noteSilence(region, count.mostSilent(), now));
  }

  /**
   * Guards against letting single members go whose heartbeats come a moment after those of their
   * region. Hurts whoever truly fell silent: its lease is taken anew.
   */
  private void noteSilence(int region, boolean silent, Moment now) {
    if (silent) {
      mostlySilent.add(region);
    } else if (mostlySilent.remove(region)) {
      reachableSince.put(region, now);
    }
  }

  /** Whether neither that control machine nor another of its region has been heard lately. */
  boolean isSilent(int machine, Moment now) {
    return allSilent(machinesOf(regionOf(machine)), exchange.longestGap(), now);
  }

  /** The first control machine of a region that was silent is heard again: see noteSilence. */
  void cameBack(int machine, Moment now) {
    reachableSince.put(regionOf(machine), now);
  }

  private int regionOf(int machine) {
    return all.stream().filter(one -> one.number() == machine).findFirst().orElseThrow().region();
  }

  private boolean allSilent(List<ControlMachine> machines, Span span, Moment now) {
    return machines.stream().allMatch(machine -> exchange.silentFor(machine.number(), span, now));
  }

  /** Whether a member's silence is to be taken for its region's. */
  boolean isLost(int region, Moment now) {
    if (region == ownRegion) {
      return false;
    }
    Count count = counts.getOrDefault(region, NONE);
    List<ControlMachine> machines = machinesOf(region);
    if (machines.isEmpty()) {
      return count.members() >= LEAST_MEMBERS && count.mostSilent();
    }
    Span half = settings.lease().times(0.5);
    return allSilent(machines, half, now) && count.mostSilent();
  }

  /** Whether a region that could not be reached can again. */
  boolean isBack(int region, Moment now) {
    Count count = counts.getOrDefault(region, NONE);
    Span twice = settings.evidence().times(2);
    return region == ownRegion
        || machinesOf(region).stream()
            .anyMatch(machine -> exchange.heardFor(machine.number(), twice, now))
        || !count.mostSilent();
  }

  private List<ControlMachine> machinesOf(int region) {
    return all.stream().filter(machine -> machine.region() == region).toList();
  }

  /** The directory may have changed: members of regions that came back have a full lease. */
  void follow(long unreachableNow, Moment now) {
    long back = unreachable & ~unreachableNow;
    for (int region = 0; region < Long.SIZE; region++) {
      if ((back >>> region & 1) == 1) {
        reachableSince.put(region, now);
      }
    }
    unreachable = unreachableNow;
  }

  /** Since when leases of that region's members run at the earliest. */
  Moment reachableSince(int region) {
    return reachableSince.getOrDefault(region, Moment.DISTANT_PAST);
  }
}
