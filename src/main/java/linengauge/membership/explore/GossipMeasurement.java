package linengauge.membership.explore;

import java.util.List;
import linengauge.Moment;
import linengauge.Span;
import linengauge.membership.MembershipSettings;
import linengauge.membership.explore.SimulationFigures.Mechanism;

/**
 * Measures gossip membership: the whole fleet starts within one second, a minute without events
 * follows, then one front dies. It only measures; the tests of {@link FleetSimulation} check the
 * invariants.
 */
public final class GossipMeasurement {
  private static final int ZONES = 6;

  /** Front that dies. It is not a seed, since every front contacts the seeds at startup. */
  private static final int VICTIM = 7;

  private static final int START_END_SECONDS = 60;
  private static final int QUIET_END_SECONDS = 120;
  private static final int DEATH_END_SECONDS = 180;

  private final MembershipSettings settings;
  private final int fronts;
  private final long seed;

  /**
   * @param maxMembers replaces the limit of the settings so that larger fleets can be measured
   */
  public GossipMeasurement(MembershipSettings settings, int fronts, long seed, int maxMembers) {
    this.settings = withMaxMembers(settings, maxMembers);
    this.fronts = fronts;
    this.seed = seed;
  }

  private static MembershipSettings withMaxMembers(MembershipSettings settings, int maxMembers) {
    return new MembershipSettings(
        settings.period(),
        settings.answer(),
        settings.helpers(),
        settings.suspicion(),
        settings.longest(),
        settings.confirmed(),
        settings.healthMost(),
        settings.retellings(),
        settings.deadKept(),
        settings.regather(),
        maxMembers);
  }

  /** Runs the simulation and returns the figures of the start, the quiet minute and the death. */
  public List<SimulationFigures> run() {
    Moment death = at(QUIET_END_SECONDS + 1);
    Moment end = at(DEATH_END_SECONDS);
    Fault kill = new Fault(Fault.Kind.KILL, VICTIM, 0, death, end.plus(Span.ofSeconds(1)));
    FaultSchedule schedule = new FaultSchedule(seed, fronts, ZONES, List.of(kill), end, end);
    FleetSimulation fleet = new FleetSimulation(settings, schedule);
    FleetSimulation.Outcome outcome = fleet.run();
    DetectionFigures none = DetectionFigures.of(0, List.of());
    DetectionFigures detection = DetectionFigures.of(fronts - 1, outcome.detectionDelays());
    TrafficMeter traffic = fleet.traffic();
    return List.of(
        figures("START", traffic.figures(0, START_END_SECONDS), none),
        figures("QUIET", traffic.figures(START_END_SECONDS, QUIET_END_SECONDS), none),
        figures("FRONT_KILLED", traffic.figures(QUIET_END_SECONDS, DEATH_END_SECONDS), detection));
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
