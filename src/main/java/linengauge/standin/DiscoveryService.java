package linengauge.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A stand-in discovery service (docs/protocol/list.md): streams changes of the list of boxes to
 * each front, delayed and in order. It can break its streams, skip a change, or start over.
 */
public final class DiscoveryService {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_CHANGES = 500;

  private record Change(long revision, ObjectNode box) {}

  private final class Subscriber {
    private final int front;
    private final HttpServerResponse response;
    private long sentRevision;
    private boolean skipNext;
    private long sendAt;

    private Subscriber(int front, HttpServerResponse response) {
      this.front = front;
      this.response = response;
    }

    private void scheduleChange(Change change) {
      // Changes are delayed by a random time for each front but never reordered.
      long now = System.currentTimeMillis();
      sendAt = Math.max(sendAt, now + delayMs / 2 + random.nextInt(Math.max(1, delayMs)));
      vertx.setTimer(
          Math.max(1, sendAt - now),
          t -> {
            if (response.closed()) {
              return;
            }
            if (skipNext) {
              skipNext = false;
              return; // The subscriber detects the gap when it receives the next change.
            }
            ObjectNode line =
                JSON.createObjectNode().put("from", change.revision - 1).put("to", change.revision);
            line.putArray("boxes").add(change.box);
            write(line, List.of(change.box));
          });
    }

    private void write(
        ObjectNode line, Iterable<? extends com.fasterxml.jackson.databind.JsonNode> rows) {
      for (var row : rows) {
        tap.recordEvent(
            "told",
            "front",
            front,
            "box",
            row.path("id").asLong(),
            "state",
            row.path("state").asText());
      }
      response.write(line + "\n");
    }
  }

  private final Vertx vertx;
  private final String host;
  private final int port;
  private final int delayMs;
  private final SplittableRandom random;
  private final Tap tap;
  private final Map<Long, ObjectNode> boxes = new LinkedHashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Set<Subscriber> subscribers = new LinkedHashSet<>();
  private long revision = 1;
  private boolean rejecting;

  public DiscoveryService(Vertx vertx, String host, int port, int delayMs, long seed, Tap tap) {
    this.vertx = vertx;
    this.host = host;
    this.port = port;
    this.delayMs = delayMs;
    this.random = new SplittableRandom(seed);
    this.tap = tap;
  }

  public Future<?> open() {
    HttpServer server = vertx.createHttpServer();
    server.requestHandler(this::handle);
    vertx.setPeriodic(
        1000, t -> subscribers.forEach(subscriber -> subscriber.response.write("\n")));
    return server.listen(port, host);
  }

  /**
   * Sets one entry of the list; state "gone" removes it. startedAtMillis is 0 for a box that
   * started long ago.
   */
  public void publish(
      BoxFleet.BoxLocation location, String kind, String state, long startedAtMillis) {
    ObjectNode row =
        JSON.createObjectNode()
            .put("id", location.id())
            .put("state", state)
            .put("address", location.host() + ":" + location.port())
            .put("cell", location.cell())
            .put("kind", kind)
            .put("building", location.building())
            .put("weight", 1.0);
    if (startedAtMillis > 0) {
      row.put("startedAt", startedAtMillis);
    }
    if (state.equals("gone")) {
      boxes.remove(location.id());
    } else {
      boxes.put(location.id(), row);
    }
    Change change = new Change(++revision, row);
    changes.add(change);
    if (changes.size() > MAX_CHANGES) {
      changes.remove(0);
    }
    subscribers.forEach(subscriber -> subscriber.scheduleChange(change));
  }

  /** Breaks all streams and rejects new ones for that long. */
  public void interruptFor(int ms) {
    rejecting = true;
    for (Subscriber subscriber : List.copyOf(subscribers)) {
      subscriber.response.reset();
    }
    subscribers.clear();
    vertx.setTimer(Math.max(1, ms), t -> rejecting = false);
  }

  /** Drops the next change on its way to every front. */
  public void dropNextChange() {
    subscribers.forEach(subscriber -> subscriber.skipNext = true);
  }

  private void handle(HttpServerRequest request) {
    if (rejecting) {
      request.connection().close();
      return;
    }
    if (!"/boxes".equals(request.path())) {
      request.response().setStatusCode(404).end();
      return;
    }
    String sinceText = request.getParam("since");
    long since = sinceText == null ? -1 : Long.parseLong(sinceText);
    if (since > revision
        || since >= 0 && !changes.isEmpty() && since < changes.get(0).revision - 1) {
      request.response().setStatusCode(410).end();
      return;
    }
    Subscriber subscriber =
        new Subscriber(
            Integer.parseInt(request.getParam("front")), request.response().setChunked(true));
    subscriber.response.exceptionHandler(e -> {});
    subscriber.response.closeHandler(v -> subscribers.remove(subscriber));
    subscribers.add(subscriber);
    if (since < 0) {
      ObjectNode whole = JSON.createObjectNode().put("whole", true).put("revision", revision);
      ArrayNode rows = whole.putArray("boxes");
      rows.addAll(boxes.values());
      tap.recordEvent(
          "told-whole", "front", subscriber.front, "boxes", List.copyOf(boxes.keySet()));
      subscriber.write(whole, rows);
    } else {
      subscriber.response.write("\n");
      changes.stream().filter(c -> c.revision > since).forEach(subscriber::scheduleChange);
    }
  }
}
