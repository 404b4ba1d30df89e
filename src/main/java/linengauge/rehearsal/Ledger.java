package linengauge.rehearsal;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import linengauge.Moment;

/**
 * What the stand-ins of a fleet saw: the record of traffic (docs/protocol/traffic.md), and counts
 * over the whole fleet.
 */
final class Ledger {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Clockwork clock;
  private final Moment begin;
  private final List<String> record = new ArrayList<>();
  private final Map<String, Double> counts = new LinkedHashMap<>();

  Ledger(Clockwork clock) {
    this.clock = clock;
    this.begin = clock.now();
  }

  /** One line; fields are names and values in turn. */
  void saw(String what, Object... fields) {
    ObjectNode n =
        JSON.createObjectNode().put("at", clock.now().since(begin).micros()).put("what", what);
    for (int i = 0; i < fields.length; i += 2) {
      n.putPOJO((String) fields[i], fields[i + 1]);
    }
    record.add(n.toString());
  }

  void count(String what, double more) {
    counts.merge(what, more, Double::sum);
  }

  /** A front tries a connection. */
  void connected(String address) {
    count(address.startsWith(FleetDay.JOURNAL_NET) ? "calls for the list" : "connections", 1);
  }

  List<String> record() {
    return record;
  }

  Map<String, Double> counts() {
    return counts;
  }
}
