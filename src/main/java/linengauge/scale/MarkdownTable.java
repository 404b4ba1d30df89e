package linengauge.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A table in Markdown, and how numbers are written in it. */
final class MarkdownTable {
  private final List<String> lines = new ArrayList<>();

  MarkdownTable(List<String> headings) {
    row(headings);
    lines.add("|" + " --- |".repeat(headings.size()));
  }

  void row(List<String> cells) {
    lines.add("| " + String.join(" | ", cells) + " |");
  }

  String text() {
    return String.join("\n", lines) + "\n";
  }

  /** Three to four digits that count, whole from a hundred on. */
  static String number(double value) {
    double size = Math.abs(value);
    if (value == Math.rint(value) && size < 1e9 || size >= 100) {
      return String.format(Locale.ROOT, "%,.0f", value);
    }
    if (size >= 10) {
      return String.format(Locale.ROOT, "%.1f", value);
    }
    return size >= 0.01
        ? String.format(Locale.ROOT, "%.3f", value)
        : String.format(Locale.ROOT, "%.2e", value);
  }

  /** The mean, with the range of the runs where they differ. */
  static String cell(Measurement measured) {
    String mean = number(measured.mean());
    String smallest = number(measured.smallest());
    String largest = number(measured.largest());
    return smallest.equals(largest) ? mean : mean + " (" + smallest + " to " + largest + ")";
  }
}
