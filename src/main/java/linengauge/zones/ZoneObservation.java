package linengauge.zones;

/**
 * What one front has seen of a place in the last second or so.
 *
 * @param tries set-ups made there, and tests
 * @param failed of these not reached, timed out or broken; full and refused ones are no failures
 * @param asked what its newcomers ask of the place, kB a second
 */
public record ZoneObservation(int tries, int failed, double asked) {
  public ZoneObservation {
    if (tries < 0 || failed < 0 || failed > tries || !(asked >= 0) || asked > 1e9) {
      throw new IllegalArgumentException(
          "no evidence: " + tries + " tries, " + failed + " failed, " + asked + " kB");
    }
  }
}
