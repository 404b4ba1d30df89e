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
 * Turns a day of the operators' simulator, printed by its `draw`, into a day script that loopback
 * bears. Sizes are scaled; proportions (load, parts hit, durations, rules) stay. Every change is
 * told.
 */
public final class DayImporter {
  private static final int MOST_BOXES = 12;
  private static final int MOST_FRONTS = 3;

  /** The middle rate on loopback, kB a second; links and uplinks are scaled with it. */
  private static final double MIDDLE_KB = 95;

  private static final double LONGEST_DAY_S = 60;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final JsonNode day;
  private final List<String> said = new ArrayList<>();

  private DayImporter(JsonNode day) {
    this.day = day;
  }

  /** A script and what was changed on the way to it. */
  public record Imported(String script, List<String> changes) {}

  /** Reads a drawn day; what is none is refused with one line. */
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
          "not a drawn day of viewings: family, fam.rates, servers, balancers or troubles are missing");
    }
    DayImporter i = new DayImporter(day);
    String script = i.script();
    return new Imported(script, i.said);
  }

  private static double round(double v) {
    return Math.round(v * 1000) / 1000.0;
  }

  private static int ms(JsonNode micros) {
    return (int) Math.round(micros.asDouble() / 1000);
  }

  private String script() throws IOException {
    JsonNode fam = day.path("fam");
    int boxesThen = day.path("servers").size();
    int frontsThen = day.path("balancers").size();
    int boxes = Math.min(MOST_BOXES, boxesThen);
    int fronts = Math.min(MOST_FRONTS, frontsThen);
    double part = (double) boxes / boxesThen;
    int racksThen = Math.max(1, fam.path("racks").asInt(1));
    int racks = Math.max(1, Math.min(4, (int) Math.round(racksThen * part)));
    JsonNode rates = fam.path("rates");
    double middle = Math.sqrt(rates.get(0).asDouble() * rates.get(rates.size() - 1).asDouble());
    double scale = MIDDLE_KB / middle;
    JsonNode tier = day.path("tiers").get(0);
    double cores = 0;
    for (JsonNode s : day.path("servers")) {
      cores += tier.path("kinds").get(s.path("kind").asInt()).path("cores").asDouble(1);
    }
    double linkKb = fam.path("core_kb").asDouble() * cores / boxesThen * scale;
    double uplinks = 0;
    for (JsonNode u : fam.path("uplink_kb")) {
      uplinks += u.asDouble();
    }
    double uplinkKb = uplinks * part / racks * scale;
    say(
        "boxes %d to %d, fronts %d to %d, racks %d to %d",
        boxesThen, boxes, frontsThen, fronts, racksThen, racks);
    say(
        "rates, links and uplinks times %.4f, so that the middle rate is %.0f kB a second",
        scale, MIDDLE_KB);
    double length = day.path("length").asDouble() / 1e6;
    double kept = Math.min(LONGEST_DAY_S, length);
    if (kept < length) {
      say("the day is cut from %.0f to %.0f s", length, kept);
    }
    ObjectNode s = JSON.createObjectNode();
    s.put("name", name()).put("lengthS", round(kept));
    s.putArray("paidPasses").add(paid());
    ObjectNode fleet = s.putObject("fleet").put("boxes", boxes).put("racks", racks);
    ArrayNode buildings = fleet.putArray("buildings");
    day.path("zones").forEach(z -> buildings.add(z.asText()));
    while (buildings.size() > fronts) {
      buildings.remove(
          buildings.size() - 1); // a building without a front would have viewers nobody takes
    }
    boolean answers = "answers".equals(tier.path("report_how").asText());
    fleet
        .put(
            "streams",
            Math.max(1, (int) Math.round(fam.path("core_slots").asDouble(10) * cores / boxesThen)))
        .put("linkKb", round(linkKb))
        .put("uplinkKb", round(uplinkKb))
        .put("setUpMs", 40)
        .put("leaseMs", 8000)
        .put("seeMs", ms(fam.path("see")))
        .put("tellMs", answers ? ms(fam.path("tell")) : 0)
        .put("loadInAnswers", answers);
    s.putObject("fronts")
        .put("count", fronts)
        .put("loops", 1)
        .put("viewings", 2000)
        .put("stopMs", 1000);
    ArrayNode ladder = s.putArray("ladder");
    for (int i = 0; i < rates.size(); i++) {
      ladder
          .addObject()
          .put("kb", round(rates.get(i).asDouble() * scale))
          .put("value", fam.path("worth").get(i).asDouble());
    }
    packages(s.putArray("packages"));
    rules(s);
    double perSecond =
        fam.path("capacity").asDouble() * day.path("traffic").path("load").asDouble() * part;
    double life = fam.path("life_s").asDouble();
    ObjectNode traffic =
        s.putObject("traffic")
            .put("perSecond", round(perSecond))
            .put("titles", Math.min(200, fam.path("titles").asInt(20)))
            .put(
                "copies",
                fam.path("copies").asDouble() <= 0 ? boxes : Math.max(3, Math.min(boxes, 4)))
            .put("shortestS", round(life * 0.6))
            .put("longestS", round(life * 1.4));
    ArrayNode shape = traffic.putArray("shape");
    day.path("traffic")
        .path("shape")
        .forEach(p -> shape.addArray().add(p.get(0).asDouble()).add(p.get(1).asDouble()));
    say(
        "viewers come at %.2f a second, as many for each box as before; those of the day's first moment come with time",
        perSecond);
    s.putObject("list").put("lateMs", Math.min(20000, ms(day.path("discovery").path("notice"))));
    troubles(s.putArray("troubles"), kept);
    return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(s) + "\n";
  }

  private void say(String format, Object... values) {
    said.add(String.format(Locale.ROOT, format, values));
  }

  private String name() {
    String name = day.path("site").asText("day") + "-" + day.path("kind").asText("day");
    return name.replaceAll("[^A-Za-z0-9._-]", "-").substring(0, Math.min(64, name.length()));
  }

  /** Packages that may not be set up twice are paid for at set-up. */
  private String paid() {
    for (JsonNode c : day.path("classes")) {
      if (!c.path("effect").asText().equals("safe")) {
        return c.path("name").asText();
      }
    }
    return "";
  }

  private void packages(ArrayNode packs) {
    int i = 0;
    for (JsonNode c : day.path("classes")) {
      JsonNode use = day.path("fam").path("uses").get(i++);
      packs
          .addObject()
          .put("name", c.path("name").asText())
          .put("share", c.path("share").asDouble())
          .put("value", c.path("worth").asDouble())
          .put("joinTargetMs", ms(c.path("aim")))
          .put("patienceMs", ms(c.path("deadline")))
          .put("rateFactor", use.path("scale").asDouble(1))
          .put("lowestRung", use.path("floor").asInt())
          .put(
              "highestRung",
              Math.min(use.path("top").asInt(), day.path("fam").path("rates").size() - 1))
          .put("seats", use.path("seats").asInt());
    }
  }

  private void rules(ObjectNode s) {
    JsonNode tier = day.path("tiers").get(0);
    JsonNode budget = day.path("budget");
    boolean rationed = budget.path("share").asDouble() > 0;
    s.putObject("rules")
        .put("coldMs", Math.max(1, ms(tier.path("stated_cold"))))
        .put("startCapacity", tier.path("stated_cold_from").asDouble(0.4))
        .put("fallMultiple", day.path("fall_multiple").asDouble())
        .put("fallAfterMs", Math.max(1, ms(day.path("fall_for"))))
        .put("drainGraceMs", ms(day.path("drain_grace")))
        .put("furtherFree", rationed ? budget.path("free").asDouble() : 0)
        .put("furtherShare", rationed ? budget.path("share").asDouble() : 0)
        .put("furtherMs", rationed ? ms(budget.path("window")) : 0);
    JsonNode allow = day.path("allow");
    boolean uplink = false;
    for (JsonNode f : tier.path("report_fields")) {
      uplink |= f.asText().equals("x1");
    }
    s.putObject("permits")
        .put("tuneIns", allow.path("max_attempts").asInt(4))
        .put("messages", allow.path("peers").asBoolean())
        .put("probes", allow.path("probes").asBoolean())
        .put("reportsUplink", uplink)
        .put("probePrice", day.path("prices").path("probe").asDouble())
        .put("crossingPrice", day.path("prices").path("cross_zone").asDouble())
        .put("longestAdviceMs", ms(day.path("clients").path("max_retry_after")));
  }

  private void troubles(ArrayNode out, double kept) {
    int servers = day.path("servers").size();
    int balancers = day.path("balancers").size();
    for (JsonNode t : day.path("troubles")) {
      String kind = t.path("kind").asText();
      double at = t.path("at").asDouble() / 1e6;
      double length = Math.min(t.path("len").asDouble() / 1e6, Math.max(1, kept - at));
      int on = t.path("on").size();
      double part = (double) on / servers;
      double size = t.path("size").asDouble();
      double extra = t.path("extra").asDouble();
      if (at >= kept) {
        say("%s at %.1f s lies past the end and is left out", kind, at);
        continue;
      }
      switch (kind) {
        case "balancer_stall" -> {
          // Each front named stands still for `size` milliseconds, again and again every `extra`
          // seconds.
          part = (double) on / balancers;
          size = size / 1000;
        }
        case "deploy" -> {
          int stopped = 0;
          for (JsonNode step : t.path("steps")) {
            stopped += step.path("stop").size();
          }
          part = (double) stopped / servers;
          size = Math.max(1, Math.round(size * Math.min(MOST_BOXES, servers)));
          say(
              "deploy: boxes restart in turns of %.0f in place of being replaced by new ones",
              size);
        }
        case "origin_slow" -> part = 0.3;
        case "peer_down" -> size = 1;
        default -> {}
      }
      ObjectNode n =
          out.addObject()
              .put("atS", round(at))
              .put("forS", round(length))
              .put("kind", kind)
              .put("part", round(Math.min(1, part)))
              .put("size", round(size))
              .put("extra", round(extra));
      if (t.path("how").isTextual()) {
        String how = t.path("how").asText();
        n.put("how", how.equals("zone") ? "building" : how);
      }
    }
  }
}
