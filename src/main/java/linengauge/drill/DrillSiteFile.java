package linengauge.drill;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.IntFunction;

/** Writes the site files of a drill's fronts; datagrams go by way of the post. */
final class DrillSiteFile {
  /** For viewers, for operators, for datagrams, and the post's for datagrams. */
  static final int PORTS_A_FRONT = 4;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final DayScript day;
  private final String paid;
  private final List<Integer> ports;
  private final List<String> titles;
  private final IntFunction<ObjectNode> more;

  /**
   * @param paid the package that is paid for at its set-up
   * @param ports the boxes' first, then the list's, then those of each front
   * @param more what else stands in each front's file, by part and key
   */
  DrillSiteFile(
      DayScript day,
      String paid,
      List<Integer> ports,
      List<String> titles,
      IntFunction<ObjectNode> more) {
    this.day = day;
    this.paid = paid;
    this.ports = ports;
    this.titles = titles;
    this.more = more;
  }

  private int port(int front, int which) {
    return ports.get(day.fleet().boxes() + 1 + PORTS_A_FRONT * front + which);
  }

  int viewersPort(int front) {
    return port(front, 0);
  }

  int controlPort(int front) {
    return port(front, 1);
  }

  private String address(int front, int which) {
    return Ports.HOST + ":" + port(front, which);
  }

  /** The site file of one front. */
  ObjectNode of(int number) {
    ObjectNode site = JSON.createObjectNode().put("site", day.name());
    fronts(site, number);
    site.set("ladder", JSON.valueToTree(day.ladder()));
    packages(site);
    fleet(site);
    site.set("rules", JSON.valueToTree(day.rules()));
    site.set("permits", JSON.valueToTree(day.permits()));
    titles(site);
    bounds(site);
    more.apply(number)
        .fields()
        .forEachRemaining(
            part -> site.withObject("/" + part.getKey()).setAll((ObjectNode) part.getValue()));
    return site;
  }

  private void fronts(ObjectNode site, int number) {
    List<String> buildings = day.fleet().buildings();
    site.set("buildings", JSON.valueToTree(buildings));
    site.putObject("front")
        .put("number", number)
        .put("building", buildings.get(number % buildings.size()))
        .put("viewers", address(number, 0))
        .put("control", address(number, 1))
        .put("words", address(number, 2));
    int count = day.fronts().count();
    ObjectNode words = site.putObject("fronts").put("count", count).putObject("words");
    for (int i = 0; i < count; i++) {
      words.put("" + i, address(i, 3));
    }
  }

  private void packages(ObjectNode site) {
    ArrayNode packages = site.putArray("packages");
    for (DayScript.Wanted p : day.packages()) {
      packages
          .addObject()
          .put("name", p.name())
          .put("value", p.value())
          .put("joinTargetMs", p.joinTargetMs())
          .put("rateFactor", p.rateFactor())
          .put("lowestRung", p.lowestRung())
          .put("highestRung", p.highestRung())
          .put("seats", p.seats())
          .put("paidAtSetUp", p.name().equals(paid));
    }
  }

  private void fleet(ObjectNode site) {
    DayScript.FleetPlan f = day.fleet();
    site.putObject("fleet")
        .put("cells", f.boxes())
        .put("racks", f.racks())
        .put("linksKb", f.boxes() * f.linkKb())
        .put("linkKbPerWeight", f.linkKb())
        .put("uplinkKb", f.uplinkKb())
        .put("shareLatenessMs", f.seeMs())
        .putArray("kinds")
        .addObject()
        .put("name", "small")
        .put("streams", f.streams());
  }

  private void titles(ObjectNode site) {
    int boxes = day.fleet().boxes();
    ArrayNode cells = site.putObject("titles").put("anywhere", false).putArray("cells");
    for (int i = 0; i < titles.size(); i++) {
      cells
          .addObject()
          .put("name", titles.get(i))
          .put("first", i * 5 % boxes)
          .put("inRow", Math.min(boxes, day.traffic().copies()));
    }
  }

  private void bounds(ObjectNode site) {
    site.putObject("list")
        .put("address", Ports.HOST + ":" + ports.get(day.fleet().boxes()))
        .put("silenceMs", 3000)
        .put("retryMostMs", 1000);
    site.putObject("viewers").put("loops", day.fronts().loops());
    site.putObject("boxes")
        .put("notesSilenceMs", 3000)
        .put("notesRetryMs", 200)
        .put("firstByteMs", 3000)
        .put("mediaSilenceMs", 3000)
        .put("endRetryMs", 200)
        .put("mediaConnections", Math.max(64, 4 * day.fleet().streams()));
    site.putObject("desk").put("viewings", day.fronts().viewings()).put("idleMs", 6000);
    site.putObject("stop").put("playingMs", day.fronts().stopMs());
  }
}
