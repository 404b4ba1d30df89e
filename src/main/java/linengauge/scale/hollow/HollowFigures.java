package linengauge.scale.hollow;

import java.util.List;
import java.util.Map;

/**
 * What a run measured.
 *
 * @param partial it was stopped, or a process failed: what stands here is not the whole plan
 * @param cause of its being partial, else empty
 */
public record HollowFigures(
    HollowPlan plan, boolean partial, String cause, List<FleetFigures> fleets) {
  /** One method's fleet. */
  public record FleetFigures(HollowPlan.Method method, List<Phase> phases) {}

  /**
   * One phase: the start of all, the quiet time, or an event and what followed.
   *
   * @param seconds how long it was measured
   * @param allKnowSeconds from the event, or the end of one that lasts, until every front that
   *     lives held all that live, in their present lives, and nobody else, to the sample (a quarter
   *     of a second); by gossip lives are not told apart; -1: not within the phase
   * @param fronts of whom the rates are
   * @param wronglyGone numbers of fronts that were given up by anybody though nothing ailed them
   * @param controlMachines empty for gossip
   */
  public record Phase(
      String name,
      double seconds,
      double allKnowSeconds,
      int fronts,
      FrontLoad load,
      List<Integer> wronglyGone,
      List<ControlLoad> controlMachines,
      Map<String, Long> drops) {}

  /**
   * A rate by front and second.
   *
   * @param mean over all fronts and the whole phase
   * @param highestSecond the mean over all fronts in the worst sample
   */
  public record Rate(double mean, double highestSecond) {}

  /**
   * What one front costs.
   *
   * @param sentBytes UDP payload with the trailer, a second
   * @param wireBytes sent and received, with 28 bytes of IP and UDP for each datagram, a second
   * @param highestFrontWireBytes the highest of any one front in one sample, a second
   * @param processorMillis of its process's processor time, a second: threads, JIT and collector
   *     included
   * @param heapKb its share of the heap used after a collection; -1: not measured in this phase
   * @param residentKb its share of the process's resident memory at the end of the phase
   * @param followerBytes of one front that follows the log as well: TCP payload, sent and received,
   *     a second; 0 where none does
   */
  public record FrontLoad(
      Rate sentBytes,
      Rate receivedBytes,
      Rate sentDatagrams,
      Rate receivedDatagrams,
      Rate wireBytes,
      double highestFrontWireBytes,
      Rate processorMillis,
      double heapKb,
      double residentKb,
      double followerBytes) {
    /** Of a fleet in which no front follows the log. */
    public FrontLoad(
        Rate sentBytes,
        Rate receivedBytes,
        Rate sentDatagrams,
        Rate receivedDatagrams,
        Rate wireBytes,
        double highestFrontWireBytes,
        Rate processorMillis,
        double heapKb,
        double residentKb) {
      this(
          sentBytes,
          receivedBytes,
          sentDatagrams,
          receivedDatagrams,
          wireBytes,
          highestFrontWireBytes,
          processorMillis,
          heapKb,
          residentKb,
          0);
    }
  }

  /**
   * What one control machine costs, a second.
   *
   * @param logBytes of its TCP connections, sent and received, payload only
   */
  public record ControlLoad(
      int number,
      boolean leads,
      double sentBytes,
      double receivedBytes,
      double sentDatagrams,
      double receivedDatagrams,
      double logBytes,
      double processorMillis,
      double heapKb,
      double residentKb) {}
}
