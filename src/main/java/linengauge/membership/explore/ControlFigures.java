package linengauge.membership.explore;

/**
 * Activity of the control machines of a simulated fleet in an interval of virtual time.
 *
 * @param machines number of control machines
 * @param traffic traffic per control machine and second, including messages of the log
 * @param log traffic of the log's messages only
 * @param versions number of changes made by the directory
 * @param failures number of fronts that ended without deregistering
 * @param expiries number of registrations that ended for lack of a heartbeat
 */
public record ControlFigures(
    int machines,
    TrafficFigures traffic,
    TrafficFigures log,
    long versions,
    int failures,
    int expiries) {
  /** Bytes on the wire sent and received by all control machines in the interval. */
  public double bytes() {
    return traffic.meanTotal() * machines * seconds();
  }

  /** Datagrams and messages sent and received by all control machines in the interval. */
  public double datagrams() {
    return (traffic.meanDatagramsSent() + traffic.meanDatagramsReceived()) * machines * seconds();
  }

  private int seconds() {
    return traffic.toSecond() - traffic.fromSecond();
  }
}
