package linengauge.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import linengauge.scale.Measurement.Statistic;
import linengauge.scale.ScaleResult.Completeness;
import linengauge.scale.ScaleResult.Kind;
import linengauge.scale.fit.Fit;
import linengauge.scale.fit.LeastSquares;
import linengauge.scale.fit.SizedValue;

/**
 * One figure over all sizes at which it was measured.
 *
 * @param name which figure
 * @param points one a size and result: the mean of its runs
 */
public record Series(Name name, List<SizedValue> points) {
  /** What tells one figure from another. */
  public record Name(
      String subject,
      Kind kind,
      String sizeUnit,
      String role,
      String event,
      String quantity,
      String unit,
      Statistic statistic) {}

  /** All figures of complete results, in the order in which they appear. */
  public static List<Series> of(List<ScaleResult> results) {
    Map<Name, List<SizedValue>> points = new LinkedHashMap<>();
    for (ScaleResult result : results) {
      if (result.completeness() == Completeness.COMPLETE) {
        for (Measurement measured : result.measurements()) {
          points
              .computeIfAbsent(name(result, measured), name -> new ArrayList<>())
              .add(new SizedValue(measured.size(), measured.mean()));
        }
      }
    }
    return points.entrySet().stream()
        .map(entry -> new Series(entry.getKey(), List.copyOf(entry.getValue())))
        .toList();
  }

  private static Name name(ScaleResult result, Measurement measured) {
    return new Name(
        measured.subject(),
        result.kind(),
        result.sizeUnit(),
        measured.role(),
        measured.event(),
        measured.quantity(),
        measured.unit(),
        measured.statistic());
  }

  public long sizes() {
    return points.stream().mapToDouble(SizedValue::size).distinct().count();
  }

  /** The models fitted to it, the plainest first. */
  public List<Fit> fits() {
    return LeastSquares.fitAll(points);
  }
}
