package linengauge.membership.explore;

import java.util.List;
import linengauge.Moment;
import linengauge.Span;
import linengauge.membership.MembershipSettings;
import linengauge.membership.explore.SimulationFigures.Mechanism;

/**
 * Measures membership by gossip: a whole fleet starts within a second, a quiet minute follows, then
 * one front dies. It measures only; the rules are judged by {@link FleetSimulation}'s own tests.
 */
public final class GossipMeasurement {
  private static final int ZONES = 6;

  /** Front that dies: no seed, since those are called on by all at a start. */
  private static final int VICTIM = 7;

  private static final int START_END = 60;
  private static final int QUIET_END = 120;
  private static final int DEATH_END = 180;

  private final MembershipSettings settings;
  private final int fronts;
  private final long seed;

  /**
   * @param mostMembers in place of the settings' own bound, so that larger fleets can be measured
   */
  public GossipMeasurement(MembershipSettings settings, int fronts, long seed, int mostMembers) {
    this.settings = withMost(settings, mostMembers);
    this.fronts = fronts;
    this.seed = seed;
  }

  private static MembershipSettings withMost(MembershipSettings of, int most) {
    return new MembershipSettings(
        of.period(),
        of.answer(),
        of.helpers(),
        of.suspicion(),
        of.longest(),
        of.confirmed(),
        of.healthMost(),
        of.retellings(),
        of.deadKept(),
        of.regather(),
        most);
  }

  /** Plays the run: the figures of the start, of the quiet minute, and of the death. */
  public List<SimulationFigures> run() {
    Moment death = at(QUIET_END + 1);
    Moment end = at(DEATH_END);
    Fault kill = new Fault(Fault.Kind.KILL, VICTIM, 0, death, end.plus(Span.ofSeconds(1)));
    FaultSchedule schedule = new FaultSchedule(seed, fronts, ZONES, List.of(kill), end, end);
    FleetSimulation fleet = new FleetSimulation(settings, schedule);
    FleetSimulation.Outcome outcome = fleet.run();
    DetectionFigures none = DetectionFigures.of(0, List.of());
    DetectionFigures found = DetectionFigures.of(fronts - 1, outcome.detectionDelays());
    TrafficMeter traffic = fleet.traffic();
    return List.of(
        figures("START", traffic.figures(0, START_END), none),
        figures("QUIET", traffic.figures(START_END, QUIET_END), none),
        figures("FRONT_KILLED", traffic.figures(QUIET_END, DEATH_END), found));
  }

  private SimulationFigures figures(String event, TrafficFigures traffic, DetectionFigures ends) {
    DetectionFigures none = DetectionFigures.of(0, List.of());
    return new SimulationFigures(
        Mechanism.GOSSIP, event, fronts, seed, traffic, ends, none, none, null, 0);
  }

  private static Moment at(int second) {
    return new Moment(0).plus(Span.ofSeconds(second));
  }
}
