package linengauge;

import java.util.List;

/**
 * What a front is told of its place when it starts: its neighbours, fleet, ladder, packages and
 * what it may do.
 */
public record Deployment(
    int fronts,
    int ownNumber,
    int building,
    List<PackageSettings> packages,
    double[] ladderKb,
    double[] rungValue,
    Fleet fleet,
    Rules rules,
    Permissions permits) {

  /** Links and racks as told; linkKbPerWeight is 0 where the list gives no sizes. */
  public record Fleet(
      int cells,
      int racks,
      int[] streamsByKind,
      double linksKb,
      double linkKbPerWeight,
      double uplinkKb,
      Span shareLateness) {}

  /** The figures of the rules; furtherSpan NONE: further tune-ins are not rationed. */
  public record Rules(
      Span coldFor,
      double startCapacity,
      double fallMultiple,
      Span fallAfter,
      double furtherFree,
      double furtherShare,
      Span furtherSpan) {}

  /**
   * What the front may do, and the prices that it weighs: of a probe, a crossing, a new connection
   * to a box.
   */
  public record Permissions(
      int tuneIns,
      boolean messages,
      boolean probes,
      boolean reportsUplink,
      double probePrice,
      double crossingPrice,
      double connectPrice,
      Span longestAdvice) {}
}
