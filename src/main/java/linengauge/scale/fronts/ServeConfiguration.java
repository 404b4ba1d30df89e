package linengauge.scale.fronts;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Writes the configuration file of a front (docs/protocol/platform.md, "Configuration"). Boxes and
 * links have ample capacity, so that they never limit the front.
 */
final class ServeConfiguration {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final double AMPLE_CAPACITY_KB = 1e9;
  private static final String SETTINGS =
      """
      {"balancers":1,"charges":{"probe":0.01},
       "domain":{"floorByClass":[0],"highestRung":[4],"ladderKb":[100,200,400,600,800],"places":4,
        "placesByKind":[1000000],"rateFactor":[1],"seeUs":1000000,"shelves":2,
        "worthByRung":[0.3,0.5,0.7,0.8,1]},
       "guarantees":{"coldUs":5000000,"drainGraceUs":1000000,"fallMultiple":2.5,"startCapacity":0.4,
        "tipAfterUs":1500000},
       "kinds":["box"],"loadReport":{"fields":["outstanding","x0","x1"],"how":"pull"},
       "localities":["hall"],"me":0,
       "policyLimits":{"dialTimeoutUs":250000,"idleCloseUs":30000000,"maxAttempts":3,
        "maxRetryAfterUs":2000000,"peers":false,"probing":true,"retryAfter":true},
       "requestClasses":[{"aimUs":800000,"deadlineUs":2000000,"idempotency":"safe",
        "name":"lesson","worth":1}],
       "weights":"rough","zone":0}""";

  private ServeConfiguration() {}

  /** The name of the box with this index on the wire. */
  static String boxName(int index) {
    return String.format("s-%08x", index + 1);
  }

  static void write(Path file, int listen, int journal, List<Integer> boxes, int descriptors)
      throws IOException {
    ObjectNode root = JSON.createObjectNode();
    root.put("name", "n0")
        .put("listen", "127.0.0.1:" + listen)
        .put("seed", "8c1f30d27a5be964")
        .put("journal", "127.0.0.1:" + journal);
    root.putObject("limits").put("cores", 1).put("memory_mb", 128).put("sockets", descriptors);
    ObjectNode entry = root.putObject("known").put("pos", 1).putArray("entries").addObject();
    ObjectNode hosts = entry.put("pos", 1).putObject("hosts").put("rev", 1).put("all", true);
    targets(hosts.putArray("targets"), boxes);
    ObjectNode settings = (ObjectNode) JSON.readTree(SETTINGS);
    ((ObjectNode) settings.get("domain"))
        .put("uplinkKb", AMPLE_CAPACITY_KB)
        .put("weightKb", AMPLE_CAPACITY_KB)
        .put("linksKb", AMPLE_CAPACITY_KB);
    root.set("settings", settings);
    Files.writeString(file, JSON.writeValueAsString(root));
  }

  private static void targets(ArrayNode targets, List<Integer> boxes) {
    for (int i = 0; i < boxes.size(); i++) {
      targets
          .addObject()
          .put("uid", boxName(i))
          .put("endpoint", "127.0.0.1:" + boxes.get(i))
          .put("az", "hall")
          .put("model", "box")
          .put("pod_group", i % 4)
          .put("state", "up")
          .put("capacity_hint", 2)
          .put("boot_ms", 0);
    }
  }
}
