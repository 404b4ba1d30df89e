package linengauge;

import java.util.List;

/**
 * The settings of a front at its start. A front takes the requests of viewers and places each
 * viewing at a media box; all fronts share one fleet of boxes. Rates and capacities are in kB per
 * second.
 *
 * @param frontNumber number of this front, from 0 to frontCount - 1
 * @param building number of the building in which the front runs
 * @param ladderKbPerSecond rate of each rung, from the lowest
 * @param rungValues value of each rung, from the lowest
 */
public record Deployment(
    int frontCount,
    int frontNumber,
    int building,
    List<PackageSettings> packages,
    double[] ladderKbPerSecond,
    double[] rungValues,
    Fleet fleet,
    Rules rules,
    Permissions permissions) {

  /**
   * Links and racks of the media boxes.
   *
   * @param streamsByKind streams that a box of each kind serves
   * @param totalLinkKbPerSecond capacity of all links together
   * @param linkKbPerSecondPerWeight capacity of a link for each unit of its weight in the box list;
   *     0 where the list has no weights
   * @param uplinkKbPerSecond nominal capacity of a rack's uplink
   * @param shareReportDelay age of a report of the delivered share when it arrives. That is the
   *     share of a viewing's rate that its box delivers; below 1, a link or an uplink is short.
   */
  public record Fleet(
      int cellCount,
      int rackCount,
      int[] streamsByKind,
      double totalLinkKbPerSecond,
      double linkKbPerSecondPerWeight,
      double uplinkKbPerSecond,
      Span shareReportDelay) {}

  /**
   * The limits for boxes that have just started and for retries.
   *
   * @param coldPeriod how long a box is cold after its start
   * @param coldStartCapacity share of its capacity that a box has at its start
   * @param overloadMultiple a cold box fails where its set-ups come at more than this multiple of
   *     its normal rate: its streams, times its present share of capacity, per cold period
   * @param overloadWindow how long such a rate lasts until the box fails
   * @param freeRetries retries within the window that are always allowed
   * @param retriesPerRequest further retries for each request within the window
   * @param retryWindow window of the retry budget; {@link Span#NONE}: retries are not limited
   */
  public record Rules(
      Span coldPeriod,
      double coldStartCapacity,
      double overloadMultiple,
      Span overloadWindow,
      double freeRetries,
      double retriesPerRequest,
      Span retryWindow) {}

  /**
   * What the front may do, and the prices that it weighs against the room at a box. All prices have
   * the same unit; 0 means free. The constants that turn them into a number of probes or into room
   * are in {@link Policy}.
   *
   * @param maxTuneIns tune-ins for one request, at most
   * @param mayMessageFronts whether the front may exchange messages with other fronts
   * @param boxesReportUplink whether load reports of boxes cover the uplink
   * @param probePrice price of one probe of a box
   * @param buildingCrossingPrice price of a viewing at a box of another building
   * @param connectionPrice price of a new connection to a box
   * @param maxRetryAfter longest advice to a viewer on when to retry
   */
  public record Permissions(
      int maxTuneIns,
      boolean mayMessageFronts,
      boolean mayProbe,
      boolean boxesReportUplink,
      double probePrice,
      double buildingCrossingPrice,
      double connectionPrice,
      Span maxRetryAfter) {}
}
