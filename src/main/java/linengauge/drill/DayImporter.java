package linengauge.drill;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Converts a day of the operators' simulator, as printed by its `draw`, into a day script of a size
 * that fits on loopback. Sizes are scaled; proportions (load, share of the fleet affected,
 * durations, rules) are kept. Every change is reported.
 */
public final class DayImporter {
  private static final int MAX_BOXES = 12;
  private static final int MAX_FRONTS = 3;

  /**
   * Geometric mean of the lowest and highest rate on loopback, kB/s; links and uplinks are scaled
   * by the same factor.
   */
  private static final double MIDDLE_RATE_KB = 95;

  private static final double MAX_DAY_SECONDS = 60;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final JsonNode day;
  private final List<String> changes = new ArrayList<>();

  private DayImporter(JsonNode day) {
    this.day = day;
  }

  /** The script and a description of each change made during the import. */
  public record Imported(String script, List<String> changes) {}

  /** Reads a drawn day; other input is rejected with a one-line message. */
  public static Imported read(byte[] drawn) throws IOException {
    JsonNode day;
    try {
      day = JSON.readTree(drawn);
    } catch (JacksonException e) {
      throw new IOException("not a drawn day: " + e.getOriginalMessage(), e);
    }
    if (!"streams".equals(day.path("family").asText())
        || !day.path("fam").path("rates").isArray()
        || !day.path("troubles").isArray()
        || day.path("servers").isEmpty()
        || day.path("balancers").isEmpty()) {
      throw new IOException(
          "not a drawn day of viewings: family, fam.rates, servers, balancers or troubles missing");
    }
    DayImporter importer = new DayImporter(day);
    String script = importer.script();
    return new Imported(script, importer.changes);
  }

  private static double round(double value) {
    return Math.round(value * 1000) / 1000.0;
  }

  private static int ms(JsonNode micros) {
    return (int) Math.round(micros.asDouble() / 1000);
  }

  private String script() throws IOException {
    JsonNode family = day.path("fam");
    int originalBoxes = day.path("servers").size();
    int originalFronts = day.path("balancers").size();
    int boxes = Math.min(MAX_BOXES, originalBoxes);
    int fronts = Math.min(MAX_FRONTS, originalFronts);
    double boxShare = (double) boxes / originalBoxes;
    int originalRacks = Math.max(1, family.path("racks").asInt(1));
    int racks = Math.max(1, Math.min(4, (int) Math.round(originalRacks * boxShare)));
    JsonNode rates = family.path("rates");
    double middle = Math.sqrt(rates.get(0).asDouble() * rates.get(rates.size() - 1).asDouble());
    double scale = MIDDLE_RATE_KB / middle;
    JsonNode tier = day.path("tiers").get(0);
    double cores = 0;
    for (JsonNode server : day.path("servers")) {
      cores += tier.path("kinds").get(server.path("kind").asInt()).path("cores").asDouble(1);
    }
    double linkKb = family.path("core_kb").asDouble() * cores / originalBoxes * scale;
    double uplinks = 0;
    for (JsonNode uplink : family.path("uplink_kb")) {
      uplinks += uplink.asDouble();
    }
    double uplinkKb = uplinks * boxShare / racks * scale;
    addChange(
        "boxes %d to %d, fronts %d to %d, racks %d to %d",
        originalBoxes, boxes, originalFronts, fronts, originalRacks, racks);
    addChange(
        "rates, links and uplinks times %.4f, so that the middle rate is %.0f kB a second",
        scale, MIDDLE_RATE_KB);
    double lengthSeconds = day.path("length").asDouble() / 1e6;
    double keptSeconds = Math.min(MAX_DAY_SECONDS, lengthSeconds);
    if (keptSeconds < lengthSeconds) {
      addChange("the day is cut from %.0f to %.0f s", lengthSeconds, keptSeconds);
    }
    ObjectNode root = JSON.createObjectNode();
    root.put("name", dayName()).put("lengthS", round(keptSeconds));
    // A day script is played once for each name in this list; here once, with that package paid
    // for.
    root.putArray("paidPasses").add(paidPackage());
    ObjectNode fleet = root.putObject("fleet").put("boxes", boxes).put("racks", racks);
    ArrayNode buildings = fleet.putArray("buildings");
    day.path("zones").forEach(zone -> buildings.add(zone.asText()));
    while (buildings.size() > fronts) {
      // Fronts are spread over the buildings; no front would accept the viewers of a building
      // without one.
      buildings.remove(buildings.size() - 1);
    }
    boolean loadInAnswers = "answers".equals(tier.path("report_how").asText());
    // `seeMs` delays the notes of boxes; `tellMs` is the interval of their load reports, which only
    // boxes that also report their load in answers send (0: none).
    fleet
        .put(
            "streams",
            Math.max(
                1,
                (int) Math.round(family.path("core_slots").asDouble(10) * cores / originalBoxes)))
        .put("linkKb", round(linkKb))
        .put("uplinkKb", round(uplinkKb))
        .put("setUpMs", 40)
        .put("leaseMs", 8000)
        .put("seeMs", ms(family.path("see")))
        .put("tellMs", loadInAnswers ? ms(family.path("tell")) : 0)
        .put("loadInAnswers", loadInAnswers);
    root.putObject("fronts")
        .put("count", fronts)
        .put("loops", 1)
        .put("viewings", 2000)
        .put("stopMs", 1000);
    ArrayNode ladder = root.putArray("ladder");
    for (int i = 0; i < rates.size(); i++) {
      ladder
          .addObject()
          .put("kb", round(rates.get(i).asDouble() * scale))
          .put("value", family.path("worth").get(i).asDouble());
    }
    addPackages(root.putArray("packages"));
    addRules(root);
    double perSecond =
        family.path("capacity").asDouble() * day.path("traffic").path("load").asDouble() * boxShare;
    double lifeSeconds = family.path("life_s").asDouble();
    ObjectNode traffic =
        root.putObject("traffic")
            .put("perSecond", round(perSecond))
            .put("titles", Math.min(200, family.path("titles").asInt(20)))
            .put(
                "copies",
                family.path("copies").asDouble() <= 0 ? boxes : Math.max(3, Math.min(boxes, 4)))
            .put("shortestS", round(lifeSeconds * 0.6))
            .put("longestS", round(lifeSeconds * 1.4));
    ArrayNode shape = traffic.putArray("shape");
    day.path("traffic")
        .path("shape")
        .forEach(
            point -> shape.addArray().add(point.get(0).asDouble()).add(point.get(1).asDouble()));
    // The script cannot state viewings that play as the day begins, so these build up by arrivals.
    addChange(
        "viewers come at %.2f a second, as many for each box as before; those of the day's first moment come with time",
        perSecond);
    root.putObject("list").put("lateMs", Math.min(20000, ms(day.path("discovery").path("notice"))));
    addFaults(root.putArray("troubles"), keptSeconds);
    return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(root) + "\n";
  }

  private void addChange(String format, Object... values) {
    changes.add(String.format(Locale.ROOT, format, values));
  }

  private String dayName() {
    String name = day.path("site").asText("day") + "-" + day.path("kind").asText("day");
    return name.replaceAll("[^A-Za-z0-9._-]", "-").substring(0, Math.min(64, name.length()));
  }

  /**
   * Returns the first package that is not safe to set up twice, or "" if all are safe. The fronts
   * treat it as paid for at set-up.
   */
  private String paidPackage() {
    for (JsonNode packageClass : day.path("classes")) {
      if (!packageClass.path("effect").asText().equals("safe")) {
        return packageClass.path("name").asText();
      }
    }
    return "";
  }

  private void addPackages(ArrayNode packages) {
    int i = 0;
    for (JsonNode packageClass : day.path("classes")) {
      JsonNode use = day.path("fam").path("uses").get(i++);
      packages
          .addObject()
          .put("name", packageClass.path("name").asText())
          .put("share", packageClass.path("share").asDouble())
          .put("value", packageClass.path("worth").asDouble())
          .put("joinTargetMs", ms(packageClass.path("aim")))
          .put("patienceMs", ms(packageClass.path("deadline")))
          .put("rateFactor", use.path("scale").asDouble(1))
          .put("lowestRung", use.path("floor").asInt())
          .put(
              "highestRung",
              Math.min(use.path("top").asInt(), day.path("fam").path("rates").size() - 1))
          .put("seats", use.path("seats").asInt());
    }
  }

  private void addRules(ObjectNode root) {
    JsonNode tier = day.path("tiers").get(0);
    JsonNode budget = day.path("budget");
    boolean retriesLimited = budget.path("share").asDouble() > 0;
    root.putObject("rules")
        .put("coldMs", Math.max(1, ms(tier.path("stated_cold"))))
        .put("startCapacity", tier.path("stated_cold_from").asDouble(0.4))
        .put("fallMultiple", day.path("fall_multiple").asDouble())
        .put("fallAfterMs", Math.max(1, ms(day.path("fall_for"))))
        .put("drainGraceMs", ms(day.path("drain_grace")))
        .put("furtherFree", retriesLimited ? budget.path("free").asDouble() : 0)
        .put("furtherShare", retriesLimited ? budget.path("share").asDouble() : 0)
        .put("furtherMs", retriesLimited ? ms(budget.path("window")) : 0);
    JsonNode allow = day.path("allow");
    boolean reportsUplink = false;
    for (JsonNode field : tier.path("report_fields")) {
      reportsUplink |= field.asText().equals("x1");
    }
    root.putObject("permits")
        .put("tuneIns", allow.path("max_attempts").asInt(4))
        .put("messages", allow.path("peers").asBoolean())
        .put("probes", allow.path("probes").asBoolean())
        .put("reportsUplink", reportsUplink)
        .put("probePrice", day.path("prices").path("probe").asDouble())
        .put("crossingPrice", day.path("prices").path("cross_zone").asDouble())
        .put("longestAdviceMs", ms(day.path("clients").path("max_retry_after")));
  }

  private void addFaults(ArrayNode out, double keptSeconds) {
    int servers = day.path("servers").size();
    int balancers = day.path("balancers").size();
    for (JsonNode fault : day.path("troubles")) {
      String kind = fault.path("kind").asText();
      double atSeconds = fault.path("at").asDouble() / 1e6;
      double lengthSeconds =
          Math.min(fault.path("len").asDouble() / 1e6, Math.max(1, keptSeconds - atSeconds));
      int hitCount = fault.path("on").size();
      double fraction = (double) hitCount / servers;
      double size = fault.path("size").asDouble();
      double extra = fault.path("extra").asDouble();
      if (atSeconds >= keptSeconds) {
        addChange("%s at %.1f s lies past the end and is left out", kind, atSeconds);
        continue;
      }
      switch (kind) {
        case "balancer_stall" -> {
          // Each affected front is suspended for `size` milliseconds, once every `extra` seconds.
          fraction = (double) hitCount / balancers;
          size = size / 1000;
        }
        case "deploy" -> {
          int stopped = 0;
          for (JsonNode step : fault.path("steps")) {
            stopped += step.path("stop").size();
          }
          fraction = (double) stopped / servers;
          size = Math.max(1, Math.round(size * Math.min(MAX_BOXES, servers)));
          addChange(
              "deploy: boxes restart in turns of %.0f in place of being replaced by new ones",
              size);
        }
        // The share of racks whose uplinks become slow.
        case "origin_slow" -> fraction = 0.3;
        // All datagrams between the fronts are lost.
        case "peer_down" -> size = 1;
        default -> {}
      }
      ObjectNode node =
          out.addObject()
              .put("atS", round(atSeconds))
              .put("forS", round(lengthSeconds))
              .put("kind", kind)
              .put("part", round(Math.min(1, fraction)))
              .put("size", round(size))
              .put("extra", round(extra));
      if (fault.path("how").isTextual()) {
        String how = fault.path("how").asText();
        node.put("how", how.equals("zone") ? "building" : how);
      }
    }
  }
}
