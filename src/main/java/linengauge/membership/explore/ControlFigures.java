package linengauge.membership.explore;

/**
 * What the control machines of a simulated fleet did within a stretch of virtual time.
 *
 * @param machines how many there are
 * @param traffic all that one of them sent and received in a second, the log's messages included
 * @param log the log's messages alone
 * @param versions changes that the directory made
 * @param failures fronts that ended without a word
 * @param expiries lives that ended for want of a heartbeat
 */
public record ControlFigures(
    int machines,
    TrafficFigures traffic,
    TrafficFigures log,
    long versions,
    int failures,
    int expiries) {
  /** Bytes on the wire that all control machines sent and received in the stretch. */
  public double bytes() {
    return traffic.meanTotal() * machines * seconds();
  }

  /** Datagrams and messages that all control machines sent and received in the stretch. */
  public double datagrams() {
    return (traffic.meanDatagramsSent() + traffic.meanDatagramsReceived()) * machines * seconds();
  }

  private int seconds() {
    return traffic.toSecond() - traffic.fromSecond();
  }
}
