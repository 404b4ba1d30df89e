package linengauge.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;
import linengauge.scale.Measurement.Statistic;
import linengauge.scale.ScaleResult.Completeness;

/**
 * A table of measured figures: a row for each subject, role, event and size of each result, a
 * column for each figure. Below it stands where each row comes from.
 */
final class FigureTable {
  /** A column. */
  private record Column(String quantity, String unit, Statistic statistic) {
    String heading() {
      return quantity + ", " + statistic.label() + (unit.isEmpty() ? "" : ", " + unit);
    }
  }

  /** A row. */
  private record Row(int source, String subject, String role, String event, int size) {}

  private final Map<Row, Map<Column, Measurement>> rows = new LinkedHashMap<>();
  private final LinkedHashSet<Column> columns = new LinkedHashSet<>();
  private final List<ScaleResult> sources = new ArrayList<>();

  FigureTable(List<ScaleResult> results, BiPredicate<ScaleResult, Measurement> belongs) {
    for (ScaleResult result : results) {
      List<Measurement> chosen =
          result.measurements().stream().filter(m -> belongs.test(result, m)).toList();
      if (!chosen.isEmpty()) {
        sources.add(result);
        chosen.forEach(measured -> add(result, measured));
      }
    }
    keepLargest();
  }

  /** Of the many simulated events the largest size alone: all of them would be too many rows. */
  private void keepLargest() {
    Map<List<String>, Integer> largest = new LinkedHashMap<>();
    rows.keySet().forEach(row -> largest.merge(sameEvent(row), row.size(), Math::max));
    rows.keySet().removeIf(row -> !showsAllSizes(row) && row.size() < largest.get(sameEvent(row)));
  }

  private boolean showsAllSizes(Row row) {
    return sources.get(row.source() - 1).kind() != ScaleResult.Kind.SIMULATED
        || PageTables.PLAIN_EVENTS.contains(row.event());
  }

  private static List<String> sameEvent(Row row) {
    return List.of(row.subject(), row.role(), row.event());
  }

  private void add(ScaleResult result, Measurement measured) {
    Row row =
        new Row(
            sources.size(), measured.subject(), measured.role(), measured.event(), measured.size());
    Column column = new Column(measured.quantity(), measured.unit(), measured.statistic());
    columns.add(column);
    rows.computeIfAbsent(row, r -> new LinkedHashMap<>()).put(column, measured);
  }

  /** The table in Markdown with its sources; a line that says so where there is nothing. */
  String text() {
    if (rows.isEmpty()) {
      return "Not measured.\n";
    }
    List<String> headings = new ArrayList<>(List.of("of", "role", "event", "size"));
    columns.forEach(column -> headings.add(column.heading()));
    headings.add("run");
    MarkdownTable table = new MarkdownTable(headings);
    rows.forEach((row, figures) -> table.row(cells(row, figures)));
    StringBuilder text = new StringBuilder(table.text()).append("\n");
    for (int i = 0; i < sources.size(); i++) {
      int number = i + 1;
      if (rows.keySet().stream().anyMatch(row -> row.source() == number)) {
        text.append(source(number, sources.get(i))).append("\n");
      }
    }
    return text.toString();
  }

  private List<String> cells(Row row, Map<Column, Measurement> figures) {
    String size = MarkdownTable.number(row.size()) + " " + sources.get(row.source() - 1).sizeUnit();
    List<String> cells = new ArrayList<>(List.of(row.subject(), row.role(), row.event(), size));
    for (Column column : columns) {
      Measurement measured = figures.get(column);
      cells.add(measured == null ? "" : MarkdownTable.cell(measured));
    }
    cells.add(Integer.toString(row.source()));
    return cells;
  }

  /** Command, seeds, runs, date and machine of a result. */
  static String source(int number, ScaleResult result) {
    String seeds =
        result.seeds().isEmpty()
            ? "no seed"
            : "seeds "
                + result.seeds().stream().map(Object::toString).collect(Collectors.joining(", "));
    return String.format(
        "- run %d: `%s`; %s; %d a size; %s; %s; %d cores, %,d MB, Java %s%s",
        number,
        result.command(),
        seeds,
        result.runs(),
        result.date(),
        result.kind().label(),
        result.machine().cores(),
        result.machine().memoryMb(),
        result.machine().java(),
        result.completeness() == Completeness.PARTIAL ? "; **partial**" : "");
  }
}
