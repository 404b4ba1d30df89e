package linengauge.lease.explore;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import linengauge.Moment;
import linengauge.Span;

/**
 * The present faults of processes, links and regions, and when one last began or ended at each.
 * Faults of one kind may overlap, so the present ones are counted.
 */
final class Conditions {
  private final int[] mute;
  private final int[] deaf;
  private final int[] lossy;
  private final int[] diskFull;
  private final int[] faults;
  private final Moment[] lastFault;
  private final Map<Integer, List<Fault>> begun = new HashMap<>();
  private final int[] regionCut = new int[Topology.REGIONS];
  private final Moment[] lastRegionCut = new Moment[Topology.REGIONS];
  private final Map<Long, Integer> cuts = new HashMap<>();
  private final Map<Long, Moment> lastCut = new HashMap<>();
  private Moment lastControlChange = Moment.DISTANT_PAST;

  Conditions(int parties) {
    mute = new int[parties];
    deaf = new int[parties];
    lossy = new int[parties];
    diskFull = new int[parties];
    faults = new int[parties];
    lastFault = new Moment[parties];
    Arrays.fill(lastFault, Moment.DISTANT_PAST);
    Arrays.fill(lastRegionCut, Moment.DISTANT_PAST);
  }

  void begins(Fault fault, Moment now) {
    begun.computeIfAbsent(fault.party(), party -> new ArrayList<>()).add(fault);
    count(fault, 1, now);
  }

  void ends(Fault fault, Moment now) {
    count(fault, -1, now);
  }

  private void count(Fault fault, int by, Moment now) {
    if (fault.kind() == Fault.Kind.REGION_CUT) {
      regionCut[fault.party()] += by;
      lastRegionCut[fault.party()] = now;
      lastControlChange = now;
      return;
    }
    int party = fault.party();
    if (Topology.isControl(party) || fault.kind() == Fault.Kind.CUT) {
      lastControlChange = now;
    }
    if (fault.kind() == Fault.Kind.CUT) {
      cuts.merge(way(party, fault.other()), by, Integer::sum);
      lastCut.put(way(party, fault.other()), now);
      return;
    }
    faults[party] += by;
    lastFault[party] = now;
    switch (fault.kind()) {
      case MUTE -> mute[party] += by;
      case DEAF -> deaf[party] += by;
      case LOSS -> lossy[party] += by;
      case DISK_FULL -> diskFull[party] += by;
      default -> {
        // a fault of the process, not of its links
      }
    }
  }

  private static long way(int from, int to) {
    return (long) from << 32 | to;
  }

  /** Whether nothing passes from the one process to the other. */
  boolean isCut(int from, int to) {
    if (from == to) {
      return false;
    }
    int fromRegion = Topology.region(from);
    int toRegion = Topology.region(to);
    return mute[from] > 0
        || deaf[to] > 0
        || fromRegion != toRegion && (regionCut[fromRegion] > 0 || regionCut[toRegion] > 0)
        || !cuts.isEmpty() && cuts.getOrDefault(way(from, to), 0) > 0;
  }

  boolean isLossy(int from, int to) {
    return lossy[from] > 0 || lossy[to] > 0;
  }

  boolean isDiskFull(int party) {
    return diskFull[party] > 0;
  }

  boolean isRegionCut(int region) {
    return regionCut[region] > 0;
  }

  boolean wasRegionCutSince(int region, Moment since) {
    return regionCut[region] > 0 || !lastRegionCut[region].isBefore(since);
  }

  /** Whether the process itself has had any fault since then. */
  boolean wasFaultySince(int party, Moment since) {
    return faults[party] > 0 || !lastFault[party].isBefore(since);
  }

  /** The summed duration of all faults of the process itself since then. */
  Span faultDuration(int party, Moment since, Moment now) {
    Span sum = Span.NONE;
    for (Fault fault : begun.getOrDefault(party, List.of())) {
      boolean ofParty = fault.kind() != Fault.Kind.CUT && fault.kind() != Fault.Kind.REGION_CUT;
      Moment to = fault.to().isBefore(now) ? fault.to() : now;
      Moment from = fault.from().max(since);
      sum = ofParty && from.isBefore(to) ? sum.plus(to.since(from)) : sum;
    }
    return sum;
  }

  /** Whether the link between the two was cut in at least one direction since then. */
  boolean wasLinkCutSince(int a, int b, Moment since) {
    return wayCut(way(a, b), since) || wayCut(way(b, a), since);
  }

  private boolean wayCut(long way, Moment since) {
    Moment last = lastCut.get(way);
    return last != null && (cuts.getOrDefault(way, 0) > 0 || !last.isBefore(since));
  }

  /** When a fault of a control machine, of a single link or of a region last began or ended. */
  Moment lastControlChange() {
    return lastControlChange;
  }
}
