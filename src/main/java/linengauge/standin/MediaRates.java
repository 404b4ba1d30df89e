package linengauge.standin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** The actual rates of titles, each of which differs from the rate stated in the ladder. */
final class MediaRates {
  private final BoxFleet.BoxSpec spec;
  private final SplittableRandom random;
  private final Map<String, Double> factorByTitle = new LinkedHashMap<>();

  MediaRates(BoxFleet.BoxSpec spec, SplittableRandom random) {
    this.spec = spec;
    this.random = random;
  }

  /** Returns the rate in kB per second; a rung beyond the ladder counts as the nearest one. */
  double rate(String title, String packageName, int rung) {
    double titleFactor =
        factorByTitle.computeIfAbsent(title, t -> 0.85 + 0.3 * random.nextDouble());
    int nearest = Math.max(0, Math.min(rung, spec.ladderKb().length - 1));
    return spec.ladderKb()[nearest]
        * spec.rateFactors().getOrDefault(packageName, 1.0)
        * titleFactor;
  }
}
