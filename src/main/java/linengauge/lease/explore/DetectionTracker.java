package linengauge.lease.explore;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import linengauge.Moment;
import linengauge.Span;
import linengauge.lease.DirectoryEntry;
import linengauge.lease.LeaseAgent;
import linengauge.membership.explore.DetectionFigures;

/**
 * Tracks which fronts have learned of each life that began, ended or left, and after what delay. An
 * unannounced end must be known everywhere within a bound.
 */
final class DetectionTracker {
  /** Longest time after the last fault of the control machines until one of them leads again. */
  private static final Span ELECTION = Span.ofSeconds(6);

  /**
   * Allowance beyond a lease: the next exchange of evidence, the decision, its replication to each
   * control machine, and the next heartbeat of each front.
   */
  private static final Span SPREADING = Span.ofSeconds(4);

  /**
   * Longest time that a front may take to load its first copy of the directory of 1,800 members.
   */
  private static final Span LONGEST_LOADING = Span.ofSeconds(20);

  /** A life that ended. */
  private static final class EndedLife {
    private final int number;
    private final long incarnation;
    private final Moment at;
    private final boolean left;
    private final BitSet known = new BitSet();

    private EndedLife(int number, long incarnation, Moment at, boolean left) {
      this.number = number;
      this.incarnation = incarnation;
      this.at = at;
      this.left = left;
    }
  }

  private final LeaseSimulation simulation;
  private final Judge judge;
  private final Map<Integer, EndedLife> open = new HashMap<>();
  private final Moment[] beganAt;
  private final DelayHistogram ends = new DelayHistogram();
  private final DelayHistogram leavings = new DelayHistogram();
  private final DelayHistogram beginnings = new DelayHistogram();
  private int expectedEnds;
  private int expectedLeavings;
  private int expectedBeginnings;
  private int failures;

  DetectionTracker(LeaseSimulation simulation, Judge judge) {
    this.simulation = simulation;
    this.judge = judge;
    this.beganAt = new Moment[Topology.front(simulation.schedule().fronts())];
  }

  int failures() {
    return failures;
  }

  /** Delays until unannounced ends were known. */
  DetectionFigures ends() {
    return ends.figures(expectedEnds);
  }

  /** Delays until it was known that fronts had left. */
  DetectionFigures leavings() {
    return leavings.figures(expectedLeavings);
  }

  /** Delays until it was known that lives had begun. */
  DetectionFigures beginnings() {
    return beginnings.figures(expectedBeginnings);
  }

  /** Discards all measurements so far. */
  void measureFromNow() {
    ends.clear();
    leavings.clear();
    beginnings.clear();
    expectedEnds = 0;
    expectedLeavings = 0;
    expectedBeginnings = 0;
    failures = 0;
  }

  /**
   * Records that a life of the front begins.
   *
   * @param fresh whether the front has no copy of the directory and must learn of all others too
   */
  void begins(SimulatedFront front, boolean fresh) {
    for (SimulatedFront other : simulation.fronts()) {
      boolean learns = other.isUp() && other != front;
      expectedBeginnings += learns ? 1 : 0;
      expectedBeginnings += learns && fresh ? 1 : 0;
    }
    beganAt[front.number] = simulation.events().now();
  }

  void leaves(SimulatedFront front) {
    open(front, true);
  }

  void ended(SimulatedFront front) {
    EndedLife before = open.get(front.number);
    boolean said = before != null && before.incarnation == front.agent().incarnation();
    if (!said) {
      open(front, false);
    }
    beganAt[front.number] = null;
    for (EndedLife death : open.values()) {
      if (!death.known.get(front.number)) {
        expected(death, -1); // an ended front need not learn of it any more
        death.known.set(front.number);
      }
    }
  }

  private void expected(EndedLife death, int more) {
    expectedEnds += death.left ? 0 : more;
    expectedLeavings += death.left ? more : 0;
  }

  private void open(SimulatedFront front, boolean left) {
    Moment now = simulation.events().now();
    EndedLife death = new EndedLife(front.number, front.agent().incarnation(), now, left);
    failures += left ? 0 : 1;
    for (SimulatedFront other : simulation.fronts()) {
      boolean learns = other.isUp() && other != front;
      if (learns) {
        expected(death, 1);
      } else {
        death.known.set(other.number);
      }
    }
    open.put(front.number, death);
    later(death, bound());
  }

  private Span bound() {
    return simulation.settings().lease().plus(SPREADING);
  }

  /**
   * Schedules the check of the bound. After a recent fault of a control machine, a link or a
   * region, the bound counts from that fault and includes a takeover and an election.
   */
  private void later(EndedLife death, Span after) {
    simulation.events().at(simulation.events().now().plus(after), () -> due(death));
  }

  private void due(EndedLife death) {
    if (open.get(death.number) != death) {
      return;
    }
    if (simulation.conditions().isRegionCut(Topology.region(death.number))) {
      later(death, bound()); // the others cannot distinguish it from the loss of the whole region
      return;
    }
    Moment now = simulation.events().now();
    Moment disturbed = simulation.conditions().lastControlChange();
    boolean quiet = disturbed.isBefore(death.at.minus(bound()));
    Span longest = quiet ? bound() : simulation.settings().takeover().plus(ELECTION).plus(bound());
    Moment latest = (quiet ? death.at : disturbed.max(death.at)).plus(longest);
    if (now.isBefore(latest)) {
      later(death, latest.since(now));
      return;
    }
    for (SimulatedFront front : simulation.fronts()) {
      if (mustKnow(front, death) && holds(front, death)) {
        judge.broken(
            front.number + " does not know by now that " + death.number + " ended at " + death.at);
      }
    }
    open.remove(death.number);
  }

  private boolean mustKnow(SimulatedFront front, EndedLife death) {
    boolean isCut = simulation.conditions().isRegionCut(Topology.region(front.number));
    return front.isUp()
        && !mayBeLoading(front)
        && !isCut
        && !death.known.get(front.number)
        && !judge.ailed(front);
  }

  /** Whether the front still loads its first copy, as it reports; it need not know until then. */
  private boolean mayBeLoading(SimulatedFront front) {
    boolean starting = front.agent().mode(front.clock()) == LeaseAgent.Mode.STARTING;
    Moment began = beganAt[front.number];
    return starting
        && began != null
        && simulation.events().now().since(began).isShorterThan(LONGEST_LOADING);
  }

  private static boolean holds(SimulatedFront front, EndedLife death) {
    DirectoryEntry entry = front.agent().view().entry(death.number);
    return entry != null && entry.incarnation() == death.incarnation;
  }

  void learned(SimulatedFront front, DirectoryEntry entry) {
    int number = entry.member().number();
    boolean present = entry.state() == DirectoryEntry.State.PRESENT;
    Moment now = simulation.events().now();
    EndedLife death = open.get(number);
    if (death != null
        && !death.known.get(front.number)
        && (entry.incarnation() > death.incarnation
            || entry.incarnation() == death.incarnation && !present)) {
      death.known.set(front.number);
      (death.left ? leavings : ends).add(now.since(death.at));
    }
    SimulatedFront subject = simulation.front(number);
    boolean begun =
        present
            && subject != front
            && beganAt[number] != null
            && subject.agent().incarnation() == entry.incarnation()
            && beganAt[front.number] != null;
    if (begun) {
      beginnings.add(now.since(beganAt[number].max(beganAt[front.number])));
    }
  }
}
