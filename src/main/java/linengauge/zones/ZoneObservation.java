package linengauge.zones;

/**
 * What one front has observed of a zone in the last second or so.
 *
 * @param attempts tune-ins and probes in the zone
 * @param failed attempts that found the box unreachable, timed out or broke; rejections, for
 *     example by a full box, do not count
 * @param demandKbPerSecond bandwidth that the front's new viewers request of the zone
 */
public record ZoneObservation(int attempts, int failed, double demandKbPerSecond) {
  public ZoneObservation {
    if (attempts < 0
        || failed < 0
        || failed > attempts
        || !(demandKbPerSecond >= 0)
        || demandKbPerSecond > 1e9) {
      throw new IllegalArgumentException(
          "invalid zone observation: "
              + attempts
              + " attempts, "
              + failed
              + " failed, "
              + demandKbPerSecond
              + " kB/s");
    }
  }
}
