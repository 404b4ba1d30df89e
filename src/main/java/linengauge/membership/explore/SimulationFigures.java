package linengauge.membership.explore;

/**
 * What one run of a simulated fleet measured round one event.
 *
 * @param mechanism GOSSIP or LEASE
 * @param event what befell the fleet, QUIET where nothing did
 * @param fronts how many there were
 * @param seed that gives the same run again
 * @param traffic of the fronts
 * @param ends how soon all other fronts knew of each life that ended without a word
 * @param leavings the same of each front that said that it leaves
 * @param beginnings the same of each life that began
 * @param control what the control machines did; null where there are none
 * @param broken rules that the run broke, as it judged itself
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
  /** How fronts learn of each other. */
  public enum Mechanism {
    GOSSIP,
    LEASE
  }
}
