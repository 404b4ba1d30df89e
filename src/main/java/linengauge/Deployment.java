package linengauge;

import java.util.List;

/**
 * What a front is told of its place when it starts: its neighbours, fleet, ladder, packages and
 * what it may do.
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

  /** Links and racks as told; linkKbPerWeight is 0 where the list gives no sizes. */
  public record Fleet(
      int cellCount,
      int rackCount,
      int[] streamsByKind,
      double totalLinkKbPerSecond,
      double linkKbPerSecondPerWeight,
      double uplinkKbPerSecond,
      Span shareReportDelay) {}

  /** The figures of the rules; furtherSpan NONE: further tune-ins are not rationed. */
  public record Rules(
      Span coldPeriod,
      double coldStartCapacity,
      double overloadMultiple,
      Span overloadWindow,
      double freeRetries,
      double retriesPerRequest,
      Span retryWindow) {}

  /**
   * What the front may do, and the prices that it weighs: of a probe, a crossing, a new connection
   * to a box.
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
