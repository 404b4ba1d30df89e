package linengauge.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.stream.Collectors;
import linengauge.scale.fit.Extrapolation;
import linengauge.scale.fit.Fit;
import linengauge.scale.fit.SizedValue;

/**
 * The fits over all figures that were measured at enough sizes, and what they give at the target.
 */
final class FitTable {
  /** Fronts of the target; a fleet's figures are extrapolated to it. */
  static final int TARGET_FRONTS = 1800;

  /** Connections of one front at the target: 100 million over 1,800 fronts. */
  static final int TARGET_CONNECTIONS = 55_556;

  /** Deliveries of one front a second at the target: 36 million over 1,800 fronts. */
  static final int TARGET_MESSAGES = 20_000;

  private FitTable() {}

  static double target(Series series) {
    return switch (series.name().sizeUnit()) {
      case "fronts" -> TARGET_FRONTS;
      case "connections" -> TARGET_CONNECTIONS;
      default -> TARGET_MESSAGES;
    };
  }

  /** The table of the page: for each figure the plainest model that holds. */
  static String text(List<ScaleResult> results) {
    MarkdownTable table =
        new MarkdownTable(
            List.of("figure", "unit", "sizes", "fit", "largest residual", "at", "gives", "how"));
    int rows = 0;
    for (Series series : Series.of(results)) {
      if (series.sizes() >= Extrapolation.MIN_SIZES && isShown(series)) {
        table.row(row(series));
        rows++;
      }
    }
    return rows == 0 ? "Not measured.\n" : table.text();
  }

  private static boolean isShown(Series series) {
    boolean plain =
        series.name().kind() != ScaleResult.Kind.SIMULATED
            || PageTables.PLAIN_EVENTS.contains(series.name().event());
    return plain && series.name().statistic() != Measurement.Statistic.TOTAL && !allZero(series);
  }

  private static boolean allZero(Series series) {
    return series.points().stream().allMatch(point -> point.value() == 0);
  }

  private static List<String> row(Series series) {
    double target = target(series);
    List<Fit> fits = series.fits();
    Fit shown =
        Extrapolation.simplestAcceptable(fits)
            .orElseGet(
                () ->
                    fits.stream()
                        .min(
                            (a, b) ->
                                Double.compare(
                                    a.largestRelativeResidual(), b.largestRelativeResidual()))
                        .orElseThrow());
    Extrapolation at = Extrapolation.ofSimplest(fits, target);
    List<String> cells = new ArrayList<>();
    cells.add(title(series.name()));
    cells.add(series.name().unit());
    cells.add(sizes(series) + " " + series.name().sizeUnit());
    cells.add(shown.model().label() + ": " + shown.formula());
    cells.add(percent(shown.largestRelativeResidual()));
    cells.add(MarkdownTable.number(target));
    OptionalDouble measured = measured(series, target);
    if (measured.isPresent()) {
      cells.add(MarkdownTable.number(measured.getAsDouble()));
      cells.add("measured");
      return cells;
    }
    cells.add(at instanceof Extrapolation.Value v ? MarkdownTable.number(v.value()) : "");
    cells.add(how(at));
    return cells;
  }

  /** The mean of what was measured at the size itself: no fit comes before it. */
  private static OptionalDouble measured(Series series, double size) {
    return series.points().stream()
        .filter(point -> point.size() == size)
        .mapToDouble(SizedValue::value)
        .average();
  }

  static String title(Series.Name name) {
    return String.join(
        ", ",
        name.subject(),
        name.kind().label(),
        name.role(),
        name.event(),
        name.quantity(),
        name.statistic().label());
  }

  private static String sizes(Series series) {
    return series.points().stream()
        .map(SizedValue::size)
        .distinct()
        .sorted()
        .map(MarkdownTable::number)
        .collect(Collectors.joining("; "));
  }

  static String percent(double fraction) {
    return Double.isInfinite(fraction)
        ? "of a value of nothing"
        : String.format(Locale.ROOT, "%.1f%%", fraction * 100);
  }

  static String how(Extrapolation at) {
    if (at instanceof Extrapolation.Value value) {
      return value.extrapolated()
          ? String.format(
              Locale.ROOT, "extrapolated, %.2f times the largest", value.timesLargestMeasured())
          : "within the sizes measured";
    }
    return "no: " + ((Extrapolation.Refused) at).reason();
  }

  /** All models of each figure with their residuals, for the command line. */
  static String details(List<ScaleResult> results) {
    StringBuilder text = new StringBuilder();
    for (Series series : Series.of(results)) {
      text.append(title(series.name())).append(", ").append(series.name().unit()).append("\n");
      for (SizedValue point : series.points()) {
        text.append("  ")
            .append(MarkdownTable.number(point.size()))
            .append(": ")
            .append(MarkdownTable.number(point.value()))
            .append("\n");
      }
      List<Fit> fits = series.fits();
      for (Fit fit : fits) {
        String residuals =
            fit.residuals().stream().map(MarkdownTable::number).collect(Collectors.joining("; "));
        text.append(
            String.format(
                Locale.ROOT,
                "  %s: %s; residuals %s; largest %s%n",
                fit.model().label(),
                fit.formula(),
                residuals,
                percent(fit.largestRelativeResidual())));
      }
      text.append(target(series, fits));
    }
    return text.toString();
  }

  private static String target(Series series, List<Fit> fits) {
    Extrapolation at = Extrapolation.ofSimplest(fits, target(series));
    String given =
        at instanceof Extrapolation.Value value
            ? MarkdownTable.number(value.value()) + " by " + value.fit().model().label() + ", "
            : "";
    return "  at "
        + MarkdownTable.number(target(series))
        + " "
        + series.name().sizeUnit()
        + ": "
        + given
        + how(at)
        + "\n";
  }
}
