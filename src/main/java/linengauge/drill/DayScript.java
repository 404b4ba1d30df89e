package linengauge.drill;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import linengauge.site.InvalidSiteException;
import linengauge.site.Site;
import linengauge.site.SiteFile;

/**
 * A scripted day (docs/protocol/day.md): the fleet, who comes, and what goes wrong when. Spans in
 * ms unless they end in S.
 */
public record DayScript(
    String name,
    double lengthS,
    List<String> paidPasses,
    FleetPlan fleet,
    Fronts fronts,
    List<Site.Rung> ladder,
    List<Wanted> packages,
    Site.Rules rules,
    Site.Permits permits,
    Traffic traffic,
    ListPlan list,
    List<Trouble> troubles) {

  /** Boxes and the links that they share, in kB a second. */
  public record FleetPlan(
      int boxes,
      int racks,
      List<String> buildings,
      int streams,
      double linkKb,
      double uplinkKb,
      int setUpMs,
      int leaseMs,
      int seeMs,
      int tellMs,
      boolean loadInAnswers) {}

  /**
   * The fronts under test: how many, their loops, the viewings of each, and how long they may stop
   * for.
   */
  public record Fronts(int count, int loops, int viewings, int stopMs) {}

  /** A package that viewers ask for: its share of them, what it is worth, and their patience. */
  public record Wanted(
      String name,
      double share,
      double value,
      int joinTargetMs,
      int patienceMs,
      double rateFactor,
      int lowestRung,
      int highestRung,
      int seats) {}

  /**
   * New viewers a second, titles, copies of each (cells in a row), how long viewings last, and how
   * the rate goes over the day: points of second and multiple, straight lines between; absent:
   * evenly.
   */
  public record Traffic(
      double perSecond,
      int titles,
      int copies,
      double shortestS,
      double longestS,
      List<double[]> shape) {
    /** How many times the usual number of viewers come at a second of the day. */
    double times(double second) {
      if (shape == null || shape.isEmpty()) {
        return 1;
      }
      double[] before = shape.get(0);
      for (double[] p : shape) {
        if (second < p[0]) {
          double along = p[0] > before[0] ? (second - before[0]) / (p[0] - before[0]) : 1;
          return before[1] + Math.max(0, along) * (p[1] - before[1]);
        }
        before = p;
      }
      return before[1];
    }
  }

  /** The box list: how late it tells. */
  public record ListPlan(int lateMs) {}

  /**
   * One trouble: when, for how long, on what part of the fleet, how hard; extra as the kind says.
   */
  public record Trouble(
      double atS, double forS, String kind, double part, double size, double extra, String how) {}

  /** Reads a file, or a script in the jar where the name is "builtin:NAME". */
  public static DayScript read(String name) throws InvalidSiteException, IOException {
    byte[] bytes;
    if (name.startsWith("builtin:")) {
      try (InputStream in =
          DayScript.class.getResourceAsStream("/linengauge/" + name.substring(8) + ".json5")) {
        bytes = in.readAllBytes();
      }
    } else {
      try {
        bytes = Files.readAllBytes(Path.of(name));
      } catch (NoSuchFileException e) {
        throw new IOException(name + ": no such file", e);
      }
    }
    return parse(name, bytes);
  }

  static DayScript parse(String name, byte[] bytes) throws InvalidSiteException, IOException {
    JsonNode tree =
        SiteFile.parseWithSchema(name, bytes, SiteFile.schema("/linengauge/day.schema.json"));
    try {
      return SiteFile.json5().treeToValue(tree, DayScript.class);
    } catch (JacksonException e) {
      throw new IOException(name + ": " + e.getOriginalMessage(), e);
    }
  }
}
