package linengauge.rehearsal;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import linengauge.Moment;

/**
 * Records what the models of a fleet observe: the traffic record (docs/protocol/traffic.md), and
 * counts over the whole fleet.
 */
final class TrafficRecorder {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final VirtualClock clock;
  private final Moment startTime;
  private final List<String> lines = new ArrayList<>();
  private final Map<String, Double> counts = new LinkedHashMap<>();

  TrafficRecorder(VirtualClock clock) {
    this.clock = clock;
    this.startTime = clock.now();
  }

  /** Adds one line; fields are alternating keys and values. */
  void record(String event, Object... fields) {
    ObjectNode json =
        JSON.createObjectNode().put("at", clock.now().since(startTime).micros()).put("what", event);
    for (int i = 0; i < fields.length; i += 2) {
      json.putPOJO((String) fields[i], fields[i + 1]);
    }
    lines.add(json.toString());
  }

  void count(String name, double amount) {
    counts.merge(name, amount, Double::sum);
  }

  /** Counts an attempt of a front to open a connection. */
  void countConnection(String address) {
    count(
        address.startsWith(FleetSimulation.DISCOVERY_ADDRESS_PREFIX)
            ? "calls for the list"
            : "connections",
        1);
  }

  List<String> lines() {
    return lines;
  }

  Map<String, Double> counts() {
    return counts;
  }
}
