package linengauge.front;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import linengauge.Span;
import linengauge.membership.Member;
import linengauge.membership.MemberUpdate;
import linengauge.membership.MembershipSettings;
import linengauge.membership.udp.MembershipNode;
import linengauge.site.Site;
import net.logstash.logback.argument.StructuredArguments;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Who of the fleet is there; where the site file does not ask for it, idle. */
final class FleetMembers {
  private static final Logger LOG = LoggerFactory.getLogger(FleetMembers.class);

  /** Null where the site file does not ask for it. */
  private final MembershipNode node;

  /** Binds where other members are heard; the front tells of itself from {@link #start} on. */
  FleetMembers(Site site) throws IOException {
    Site.Members members = site.members();
    if (members.listen() == null) {
      this.node = null;
      return;
    }
    Member own =
        new Member(
            site.front().number(),
            members.listen(),
            site.deployment().building(),
            members.region());
    this.node =
        new MembershipNode(
            MembershipSettings.USUAL.inPeriods(Span.ofMillis(members.periodMs())),
            own,
            members.seeds(),
            KeyFile.read(members.keyFile(), "members.keyFile"),
            FleetMembers::log);
  }

  private static void log(MemberUpdate update) {
    LOG.info(
        "member {} {} {} {}",
        StructuredArguments.kv("number", update.member().number()),
        StructuredArguments.kv("standing", update.standing()),
        StructuredArguments.kv("incarnation", update.incarnation()),
        StructuredArguments.kv("by", update.by()));
  }

  void start() {
    if (node != null) {
      node.start();
    }
  }

  /** Says that it leaves: nobody has to find out that it is gone. */
  void close() {
    if (node != null) {
      node.close();
    }
  }

  void leave() {
    if (node != null) {
      node.leave();
    }
  }

  JsonObject state() {
    if (node == null) {
      return new JsonObject();
    }
    JsonArray others = new JsonArray();
    node.held().forEach(update -> others.add(state(update)));
    MembershipNode.Drops drops = node.drops();
    return new JsonObject()
        .put("others", others)
        .put("strangers", drops.strangers())
        .put("replayed", drops.replayed())
        .put("unreadable", drops.unreadable());
  }

  private static JsonObject state(MemberUpdate update) {
    return new JsonObject()
        .put("number", update.member().number())
        .put("zone", update.member().zone())
        .put("region", update.member().region())
        .put("address", update.member().address())
        .put("standing", update.standing().name())
        .put("incarnation", update.incarnation())
        .put("by", update.by());
  }
}
