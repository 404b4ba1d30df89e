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

/**
 * Membership of this front among the members of the fleet; inactive where the site file does not
 * configure it.
 */
final class FleetMembership {
  private static final Logger LOG = LoggerFactory.getLogger(FleetMembership.class);

  /** Null where the site file does not configure it. */
  private final MembershipNode node;

  /**
   * Binds the socket on which other members send. The front announces itself from {@link #start}
   * on.
   */
  FleetMembership(Site site) throws IOException {
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
            MembershipSettings.DEFAULT.withPeriod(Span.ofMillis(members.periodMs())),
            own,
            members.seeds(),
            KeyFile.read(members.keyFile(), "members.keyFile"),
            FleetMembership::log);
  }

  private static void log(MemberUpdate update) {
    LOG.info(
        "member updated {} {} {} {}",
        StructuredArguments.kv("number", update.member().number()),
        StructuredArguments.kv("standing", update.state()),
        StructuredArguments.kv("incarnation", update.incarnation()),
        StructuredArguments.kv("by", update.source()));
  }

  void start() {
    if (node != null) {
      node.start();
    }
  }

  /** Announces the departure, so that nobody has to detect it. */
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
    node.members().forEach(update -> others.add(state(update)));
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
        .put("standing", update.state().name())
        .put("incarnation", update.incarnation())
        .put("by", update.source());
  }
}
