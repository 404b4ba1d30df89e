package linengauge.drill;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.IntFunction;

/**
 * Builds the site files of a drill's fronts. Messages between fronts are routed through the
 * datagram relay.
 */
final class DrillSiteFile {
  /**
   * Ports for viewers, for operators, for datagrams, and the relay's port for datagrams to this
   * front.
   */
  static final int PORTS_PER_FRONT = 4;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final DayScript day;
  private final String paidPackage;
  private final List<Integer> ports;
  private final List<String> titles;
  private final IntFunction<ObjectNode> extraSettings;

  /**
   * Creates a builder.
   *
   * @param paidPackage the package that is paid for at set-up
   * @param ports the ports of the boxes, then the discovery service's, then those of each front
   * @param extraSettings additional settings of each front, by section and key
   */
  DrillSiteFile(
      DayScript day,
      String paidPackage,
      List<Integer> ports,
      List<String> titles,
      IntFunction<ObjectNode> extraSettings) {
    this.day = day;
    this.paidPackage = paidPackage;
    this.ports = ports;
    this.titles = titles;
    this.extraSettings = extraSettings;
  }

  private int port(int front, int offset) {
    return ports.get(day.fleet().boxes() + 1 + PORTS_PER_FRONT * front + offset);
  }

  int viewersPort(int front) {
    return port(front, 0);
  }

  int controlPort(int front) {
    return port(front, 1);
  }

  private String address(int front, int offset) {
    return Ports.HOST + ":" + port(front, offset);
  }

  /** Builds the site file of one front. */
  ObjectNode build(int number) {
    ObjectNode site = JSON.createObjectNode().put("site", day.name());
    fronts(site, number);
    site.set("ladder", JSON.valueToTree(day.ladder()));
    packages(site);
    fleet(site);
    site.set("rules", JSON.valueToTree(day.rules()));
    site.set("permits", JSON.valueToTree(day.permits()));
    titles(site);
    limits(site);
    extraSettings
        .apply(number)
        .fields()
        .forEachRemaining(
            section ->
                site.withObject("/" + section.getKey()).setAll((ObjectNode) section.getValue()));
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
    ObjectNode addresses = site.putObject("fronts").put("count", count).putObject("words");
    for (int i = 0; i < count; i++) {
      addresses.put("" + i, address(i, 3));
    }
  }

  private void packages(ObjectNode site) {
    ArrayNode packages = site.putArray("packages");
    for (DayScript.PackagePlan plan : day.packages()) {
      packages
          .addObject()
          .put("name", plan.name())
          .put("value", plan.value())
          .put("joinTargetMs", plan.joinTargetMs())
          .put("rateFactor", plan.rateFactor())
          .put("lowestRung", plan.lowestRung())
          .put("highestRung", plan.highestRung())
          .put("seats", plan.seats())
          .put("paidAtSetUp", plan.name().equals(paidPackage));
    }
  }

  private void fleet(ObjectNode site) {
    DayScript.FleetPlan plan = day.fleet();
    site.putObject("fleet")
        .put("cells", plan.boxes())
        .put("racks", plan.racks())
        .put("linksKb", plan.boxes() * plan.linkKb())
        .put("linkKbPerWeight", plan.linkKb())
        .put("uplinkKb", plan.uplinkKb())
        .put("shareLatenessMs", plan.seeMs())
        .putArray("kinds")
        .addObject()
        .put("name", "small")
        .put("streams", plan.streams());
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

  private void limits(ObjectNode site) {
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
