package linengauge.lease.explore;

import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.lease.LeaseSettings;
import linengauge.membership.explore.ControlFigures;
import linengauge.membership.explore.SimulationFigures;
import linengauge.membership.explore.SimulationFigures.Mechanism;
import linengauge.membership.explore.TrafficFigures;

/**
 * Measures membership by lease under one event: a whole fleet starts within a second, and the event
 * begins a minute later.
 */
public final class LeaseMeasurement {
  /**
   * Start of the measurement, except of START; the event's faults begin a fraction of a second
   * later.
   */
  private static final int EVENT_SECOND = 60;

  /** Makes the event's random draws differ from those of the schedule. */
  private static final long SALT = 0x6576656e74L;

  private final MeasuredEvent event;
  private final int fronts;
  private final long seed;
  private final LeaseSimulation simulation;

  public LeaseMeasurement(LeaseSettings settings, MeasuredEvent event, int fronts, long seed) {
    this.event = event;
    this.fronts = fronts;
    this.seed = seed;
    LeaseSchedule schedule = LeaseSchedule.of(seed, fronts, List.of());
    this.simulation = new LeaseSimulation(settings, schedule);
  }

  /** Runs the simulation and returns its figures. */
  public SimulationFigures play() {
    int from = event == MeasuredEvent.START ? 0 : EVENT_SECOND;
    int to = from + event.seconds();
    simulation.begin();
    simulation.events().runUntil(second(from));
    long versionBefore = simulation.judge().version();
    int expiriesBefore = simulation.judge().expiries();
    simulation.judge().deaths().measureFromNow();
    if (event != MeasuredEvent.START) {
      addFaults();
    }
    simulation.events().runUntil(second(to));
    return figures(from, to, versionBefore, expiriesBefore);
  }

  private void addFaults() {
    SplittableRandom chance = new SplittableRandom(seed ^ SALT);
    Moment begin = second(EVENT_SECOND).plus(Span.ofSeconds(chance.nextDouble()));
    int front = Topology.front(chance.nextInt(fronts));
    EventScene scene = new EventScene(fronts, simulation.leader(), front, begin, chance);
    simulation.add(event.faults(scene));
  }

  private SimulationFigures figures(int from, int to, long versionBefore, int expiriesBefore) {
    Judge judge = simulation.judge();
    TrafficFigures traffic = simulation.frontTraffic().figures(from, to);
    ControlFigures control =
        new ControlFigures(
            Topology.CONTROLS,
            simulation.controlTraffic().figures(from, to),
            simulation.consensusTraffic().figures(from, to),
            judge.version() - versionBefore,
            judge.deaths().failures(),
            judge.expiries() - expiriesBefore);
    return new SimulationFigures(
        Mechanism.LEASE,
        event.name(),
        fronts,
        seed,
        traffic,
        judge.deaths().ends(),
        judge.deaths().leavings(),
        judge.deaths().beginnings(),
        control,
        judge.brokenRules().size());
  }

  /** Descriptions of the rules that the run broke. */
  public List<String> broken() {
    return simulation.judge().brokenRules();
  }

  private static Moment second(int second) {
    return new Moment(0).plus(Span.ofSeconds(second));
  }
}
