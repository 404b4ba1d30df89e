package linengauge.membership.explore;

/**
 * What one run of a simulated fleet measured round one event.
 *
 * @param mechanism GOSSIP or LEASE
 * @param event what befell the fleet, QUIET where nothing did
 * @param fronts how many there were
 * @param seed that gives the same run again
 * @param traffic of the fronts
 * @param detection how soon all fronts knew of what the event changed
 * @param control traffic of the control machines in the same seconds; null where there are none
 * @param changes changes that the directory made meanwhile; 0 where there is none
 * @param failures fronts that ended without a word meanwhile
 * @param broken rules that the run broke, as it judged itself
 */
public record SimulationFigures(
    Mechanism mechanism,
    String event,
    int fronts,
    long seed,
    TrafficFigures traffic,
    DetectionFigures detection,
    TrafficFigures control,
    long changes,
    int failures,
    int broken) {
  /** How fronts learn of each other. */
  public enum Mechanism {
    GOSSIP,
    LEASE
  }

  /** Bytes on the wire that all control machines sent and received, of one change; 0: none came. */
  public double controlBytesAChange(int machines) {
    return changes == 0 ? 0 : controlBytes(machines) / changes;
  }

  /** The same of one front that ended without a word. */
  public double controlBytesAFailure(int machines) {
    return failures == 0 ? 0 : controlBytes(machines) / failures;
  }

  private double controlBytes(int machines) {
    return control == null
        ? 0
        : control.meanTotal() * machines * (control.toSecond() - control.fromSecond());
  }
}
