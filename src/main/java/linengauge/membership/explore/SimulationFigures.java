package linengauge.membership.explore;

/**
 * Measurements of one event in a run of a simulated fleet.
 *
 * @param mechanism membership mechanism in use
 * @param event event in the fleet, QUIET if there was none
 * @param fronts number of fronts
 * @param seed random seed, which reproduces the run
 * @param traffic traffic of the fronts
 * @param ends how soon all other fronts detected each front that ended without announcing it
 * @param leavings the same for each front that announced that it leaves
 * @param beginnings the same for each front that started
 * @param control activity of the control machines; null if there are none
 * @param broken number of invariants that the run violated
 */
public record SimulationFigures(
    Mechanism mechanism,
    String event,
    int fronts,
    long seed,
    TrafficFigures traffic,
    DetectionFigures ends,
    DetectionFigures leavings,
    DetectionFigures beginnings,
    ControlFigures control,
    int broken) {
  /** Mechanism by which fronts learn of each other. */
  public enum Mechanism {
    GOSSIP,
    LEASE
  }
}
