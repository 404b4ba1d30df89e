package linengauge.zones;

/**
 * What one front has seen of a place in the last second or so.
 *
 * @param attempts set-ups made there, and tests
 * @param failed of these not reached, timed out or broken; full and refused ones are no failures
 * @param demandKbPerSecond what its newcomers ask of the place, kB a second
 */
public record ZoneObservation(int attempts, int failed, double demandKbPerSecond) {
  public ZoneObservation {
    if (attempts < 0
        || failed < 0
        || failed > attempts
        || !(demandKbPerSecond >= 0)
        || demandKbPerSecond > 1e9) {
      throw new IllegalArgumentException(
          "no evidence: "
              + attempts
              + " tries, "
              + failed
              + " failed, "
              + demandKbPerSecond
              + " kB");
    }
  }
}
