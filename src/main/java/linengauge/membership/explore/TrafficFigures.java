package linengauge.membership.explore;

/**
 * Traffic of the parties of a simulation within a stretch of virtual seconds: bytes or datagrams of
 * one party in one second. On the wire is the payload with {@link TrafficMeter#WIRE_OVERHEAD}.
 *
 * @param fromSecond first second of the stretch
 * @param toSecond the second after its last
 * @param meanSent bytes on the wire, the mean of all parties and seconds
 * @param worstSent bytes on the wire, the party's that sent most in ten seconds in a row, a tenth
 *     of that
 * @param worstReceived the same of what was received
 * @param worstTotal the same of the sum of both
 * @param worstTotalOfAll the same of the mean party: its worst ten seconds
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
