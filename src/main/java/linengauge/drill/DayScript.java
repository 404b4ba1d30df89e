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
 * A scripted day (docs/protocol/day.md): the fleet, the traffic, and the faults with their times.
 * Durations are in milliseconds unless the name ends in S (seconds).
 */
public record DayScript(
    String name,
    double lengthS,
    List<String> paidPasses,
    FleetPlan fleet,
    FrontPlan fronts,
    List<Site.Rung> ladder,
    List<PackagePlan> packages,
    Site.Rules rules,
    Site.Permits permits,
    TrafficPlan traffic,
    ListPlan list,
    List<Fault> troubles) {

  /** The boxes and the links that they share, in kB/s. */
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
   * The fronts under test: their number, event loops and viewings for each, and the time limit for
   * an orderly stop.
   */
  public record FrontPlan(int count, int loops, int viewings, int stopMs) {}

  /**
   * A package that viewers ask for: its share of requests, its value, and the time limits of its
   * viewers.
   */
  public record PackagePlan(
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
   * Arrival rate of viewers, number of titles, copies of each title (cells in a row), duration of
   * viewings, and the shape of the arrival rate over the day: points of second and multiple with
   * linear interpolation between them; null means a constant rate.
   */
  public record TrafficPlan(
      double perSecond,
      int titles,
      int copies,
      double shortestS,
      double longestS,
      List<double[]> shape) {
    /** Returns the multiple of the base arrival rate at a second of the day. */
    double arrivalMultiple(double second) {
      if (shape == null || shape.isEmpty()) {
        return 1;
      }
      double[] previous = shape.get(0);
      for (double[] point : shape) {
        if (second < point[0]) {
          double fraction =
              point[0] > previous[0] ? (second - previous[0]) / (point[0] - previous[0]) : 1;
          return previous[1] + Math.max(0, fraction) * (point[1] - previous[1]);
        }
        previous = point;
      }
      return previous[1];
    }
  }

  /** The discovery service: the delay of its updates. */
  public record ListPlan(int lateMs) {}

  /**
   * One fault: its start, duration, affected share of the fleet and severity; the meaning of
   * `extra` depends on the kind.
   */
  public record Fault(
      double atS, double forS, String kind, double part, double size, double extra, String how) {}

  /** Reads a script from a file, or from the jar if the name has the form "builtin:NAME". */
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
