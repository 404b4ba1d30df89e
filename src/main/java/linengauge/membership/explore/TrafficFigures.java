package linengauge.membership.explore;

/**
 * Traffic of the participants of a simulation in an interval of virtual time, in bytes or datagrams
 * per participant and second. Bytes on the wire are the payload plus {@link
 * TrafficMeter#WIRE_OVERHEAD} for each datagram.
 *
 * @param fromSecond first second of the interval
 * @param toSecond end of the interval, exclusive
 * @param meanSent bytes on the wire, mean over all participants and seconds
 * @param worstSent bytes on the wire per second, of the participant that sent most in any ten
 *     consecutive seconds
 * @param worstReceived the same for received bytes
 * @param worstTotal the same for the sum of sent and received bytes
 * @param worstTotalOfAll the same sum as the mean over all participants, in its worst ten
 *     consecutive seconds
 */
public record TrafficFigures(
    int fromSecond,
    int toSecond,
    double meanSent,
    double meanReceived,
    double meanPayloadSent,
    double meanPayloadReceived,
    double meanDatagramsSent,
    double meanDatagramsReceived,
    double worstSent,
    double worstReceived,
    double worstTotal,
    double worstPayloadSent,
    double worstTotalOfAll) {
  /** Bytes on the wire, sent and received. */
  public double meanTotal() {
    return meanSent + meanReceived;
  }
}
