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
 * A stand-in box list (docs/protocol/list.md): a stream of changes to each front, late and in
 * order; it can break, skip a change, or start anew.
 */
public final class DiscoveryService {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int KEPT = 500;

  private record Change(long revision, ObjectNode box) {}

  private final class Follower {
    private final int front;
    private final HttpServerResponse to;
    private long told;
    private boolean skipNext;
    private long clearAt;

    private Follower(int front, HttpServerResponse to) {
      this.front = front;
      this.to = to;
    }

    private void tell(Change change) {
      // Late, each front by its own span, and never out of order.
      long now = System.currentTimeMillis();
      clearAt = Math.max(clearAt, now + lateMs / 2 + chance.nextInt(Math.max(1, lateMs)));
      vertx.setTimer(
          Math.max(1, clearAt - now),
          t -> {
            if (to.closed()) {
              return;
            }
            if (skipNext) {
              skipNext = false;
              return; // the follower hears of a gap with the next change
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
      to.write(line + "\n");
    }
  }

  private final Vertx vertx;
  private final String host;
  private final int port;
  private final int lateMs;
  private final SplittableRandom chance;
  private final Tap tap;
  private final Map<Long, ObjectNode> boxes = new LinkedHashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Set<Follower> followers = new LinkedHashSet<>();
  private long revision = 1;
  private boolean refusing;

  public DiscoveryService(Vertx vertx, String host, int port, int lateMs, long seed, Tap tap) {
    this.vertx = vertx;
    this.host = host;
    this.port = port;
    this.lateMs = lateMs;
    this.chance = new SplittableRandom(seed);
    this.tap = tap;
  }

  public Future<?> open() {
    HttpServer server = vertx.createHttpServer();
    server.requestHandler(this::asked);
    vertx.setPeriodic(1000, t -> followers.forEach(f -> f.to.write("\n")));
    return server.listen(port, host);
  }

  /** Sets one line of the list; state "gone" takes it off. startedAtMillis 0: long ago. */
  public void publish(BoxFleet.BoxLocation place, String kind, String state, long startedAtMillis) {
    ObjectNode row =
        JSON.createObjectNode()
            .put("id", place.id())
            .put("state", state)
            .put("address", place.host() + ":" + place.port())
            .put("cell", place.cell())
            .put("kind", kind)
            .put("building", place.building())
            .put("weight", 1.0);
    if (startedAtMillis > 0) {
      row.put("startedAt", startedAtMillis);
    }
    if (state.equals("gone")) {
      boxes.remove(place.id());
    } else {
      boxes.put(place.id(), row);
    }
    Change change = new Change(++revision, row);
    changes.add(change);
    if (changes.size() > KEPT) {
      changes.remove(0);
    }
    followers.forEach(f -> f.tell(change));
  }

  /** Breaks all streams; refuses new ones for a while. */
  public void interruptFor(int ms) {
    refusing = true;
    for (Follower f : List.copyOf(followers)) {
      f.to.reset();
    }
    followers.clear();
    vertx.setTimer(Math.max(1, ms), t -> refusing = false);
  }

  /** The next change is lost on its way to every front. */
  public void dropNextChange() {
    followers.forEach(f -> f.skipNext = true);
  }

  private void asked(HttpServerRequest r) {
    if (refusing) {
      r.connection().close();
      return;
    }
    if (!"/boxes".equals(r.path())) {
      r.response().setStatusCode(404).end();
      return;
    }
    String since = r.getParam("since");
    long from = since == null ? -1 : Long.parseLong(since);
    if (from > revision || from >= 0 && !changes.isEmpty() && from < changes.get(0).revision - 1) {
      r.response().setStatusCode(410).end();
      return;
    }
    Follower f = new Follower(Integer.parseInt(r.getParam("front")), r.response().setChunked(true));
    f.to.exceptionHandler(e -> {});
    f.to.closeHandler(v -> followers.remove(f));
    followers.add(f);
    if (from < 0) {
      ObjectNode whole = JSON.createObjectNode().put("whole", true).put("revision", revision);
      ArrayNode rows = whole.putArray("boxes");
      rows.addAll(boxes.values());
      tap.recordEvent("told-whole", "front", f.front, "boxes", List.copyOf(boxes.keySet()));
      f.write(whole, rows);
    } else {
      f.to.write("\n");
      changes.stream().filter(c -> c.revision > from).forEach(f::tell);
    }
  }
}
