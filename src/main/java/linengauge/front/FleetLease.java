package linengauge.front;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.Span;
import linengauge.lease.ControlMachine;
import linengauge.lease.DirectoryEntry;
import linengauge.lease.LeaseAgent;
import linengauge.lease.LeaseSettings;
import linengauge.lease.udp.LeaseNode;
import linengauge.membership.Member;
import linengauge.site.Site;
import linengauge.udp.DatagramLoop;
import linengauge.udp.SealedChannel;
import net.logstash.logback.argument.StructuredArguments;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This front's fleet membership by lease; inactive where the site file names no control machines.
 */
final class FleetLease {
  private static final Logger LOG = LoggerFactory.getLogger(FleetLease.class);

  /** Null where the site file does not configure it. */
  private final LeaseNode node;

  /**
   * Binds the socket on which control machines answer. Heartbeats are sent from {@link #start} on.
   */
  FleetLease(Site site) throws IOException {
    Site.Lease lease = site.lease();
    if (lease.control().isEmpty()) {
      this.node = null;
      return;
    }
    Member own =
        new Member(
            site.front().number(), lease.listen(), site.deployment().building(), lease.region());
    List<ControlMachine> machines =
        lease.control().stream()
            .map(
                machine ->
                    new ControlMachine(machine.number(), machine.region(), machine.address()))
            .toList();
    this.node =
        new LeaseNode(
            LeaseSettings.USUAL.withHeartbeat(Span.ofMillis(lease.heartbeatMs())),
            own,
            machines,
            KeyFile.read(lease.keyFile(), "lease.keyFile"),
            listener(),
            null);
  }

  private static LeaseNode.Listener listener() {
    return new LeaseNode.Listener() {
      @Override
      public void changed(DirectoryEntry entry) {
        LOG.info(
            "directory entry changed {} {} {}",
            StructuredArguments.kv("number", entry.member().number()),
            StructuredArguments.kv("state", entry.state()),
            StructuredArguments.kv("incarnation", entry.incarnation()));
      }

      @Override
      public void superseded(long incarnation) {
        LOG.warn("lease superseded {}", StructuredArguments.kv("incarnation", incarnation));
      }
    };
  }

  void start() {
    if (node != null) {
      node.start();
    }
  }

  /** Announces the departure, so that nobody has to wait until the lease expires. */
  void leave() {
    if (node != null) {
      node.leave();
    }
  }

  /**
   * Passes the current state to the receiver, on an arbitrary thread; at once and empty where
   * membership by lease is not configured or the node's queue is full.
   */
  void state(Consumer<JsonObject> receiver) {
    if (node == null || !node.query(agent -> receiver.accept(state(agent, DatagramLoop.now())))) {
      receiver.accept(new JsonObject());
    }
  }

  private JsonObject state(LeaseAgent agent, Moment now) {
    JsonArray present = new JsonArray();
    agent.view().present().forEach(entry -> present.add(state(entry)));
    SealedChannel.Drops drops = node.channel().drops();
    return new JsonObject()
        .put("mode", agent.mode(now).name())
        .put("ageMs", Math.min(agent.age(now).micros() / 1000, Integer.MAX_VALUE))
        .put("holdsLease", agent.holdsLease(now))
        .put("incarnation", agent.incarnation())
        .put("version", agent.view().version())
        .put("unreachableRegions", regions(agent.view().unreachable()))
        .put("present", present)
        .put("strangers", drops.strangers())
        .put("replayed", drops.replayed())
        .put("unreadable", drops.unreadable())
        .put("otherVersions", drops.otherVersions());
  }

  private static JsonArray regions(long mask) {
    JsonArray regions = new JsonArray();
    for (int region = 0; region < Long.SIZE; region++) {
      if ((mask >>> region & 1) == 1) {
        regions.add(region);
      }
    }
    return regions;
  }

  private static JsonObject state(DirectoryEntry entry) {
    return new JsonObject()
        .put("number", entry.member().number())
        .put("zone", entry.member().zone())
        .put("region", entry.member().region())
        .put("address", entry.member().address())
        .put("incarnation", entry.incarnation());
  }
}
