package linengauge.scale;

import java.util.List;

/**
 * One quantity that was measured at one size, with one value for each run.
 *
 * @param subject what was measured: "gossip", "lease", "serve"
 * @param role whose cost it is: "front", "control machine", "detection"
 * @param event what happened meanwhile: "quiet", "start", "zone lost"
 * @param size what the cost is set against; see {@link ScaleResult#sizeUnit}
 * @param quantity what was measured, as "bytes sent"
 * @param unit of the values, as "B/s"
 * @param values one for each run, in the order of the result's seeds
 */
public record Measurement(
    String subject,
    String role,
    String event,
    int size,
    String quantity,
    String unit,
    Statistic statistic,
    List<Double> values) {
  /** Which figure of a run a value is. */
  public enum Statistic {
    MEAN("mean"),
    /** The mean over fronts in the ten seconds in which it was the highest. */
    WORST_TEN_SECONDS("worst 10 s"),
    /** The highest of any one front's ten seconds. */
    WORST_FRONT_TEN_SECONDS("worst 10 s of one front"),
    /** The mean over fronts in the sample in which it was the highest. */
    WORST_SAMPLE("worst sample"),
    /** The highest of any one front in one sample. */
    WORST_FRONT_SAMPLE("worst sample of one front"),
    P99("p99"),
    MAXIMUM("most"),
    TOTAL("total");

    private final String label;

    Statistic(String label) {
      this.label = label;
    }

    public String label() {
      return label;
    }
  }

  public Measurement {
    values = List.copyOf(values);
    if (values.isEmpty() || values.stream().anyMatch(value -> !Double.isFinite(value))) {
      throw new IllegalArgumentException("'" + quantity + "' wants finite values, one a run");
    }
    if (size < 1) {
      throw new IllegalArgumentException("'" + quantity + "' is of no size");
    }
  }

  /** The mean of the runs. */
  public double mean() {
    return values.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
  }

  public double smallest() {
    return values.stream().mapToDouble(Double::doubleValue).min().orElseThrow();
  }

  public double largest() {
    return values.stream().mapToDouble(Double::doubleValue).max().orElseThrow();
  }
}
