package linengauge.standin;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The note streams that fronts keep open to one stand-in box (docs/protocol/box.md). */
final class NoteStreams {
  private final Vertx vertx;
  private final StandInBox box;
  private final Map<Integer, Set<HttpServerResponse>> listeners = new LinkedHashMap<>();

  NoteStreams(Vertx vertx, StandInBox box) {
    this.vertx = vertx;
    this.box = box;
  }

  void open(HttpServerRequest request) {
    int front = Integer.parseInt(request.getParam("front"));
    HttpServerResponse response = request.response().setChunked(true);
    listeners.computeIfAbsent(front, f -> new LinkedHashSet<>()).add(response);
    response.closeHandler(v -> close(front, response));
    response.write("{\"life\":\"" + box.life() + "\",\"ageMs\":" + box.ageMs() + "}\n");
  }

  private void close(int front, HttpServerResponse response) {
    listeners.computeIfPresent(
        front,
        (f, open) -> {
          open.remove(response);
          return open.isEmpty() ? null : open;
        });
  }

  /** Returns a copy of the fronts with an open stream. */
  List<Integer> fronts() {
    return List.copyOf(listeners.keySet());
  }

  /** Sends a note after a delay, unless the box has restarted or is unresponsive by then. */
  void send(int front, String note, int delayMs) {
    int life = box.life();
    vertx.setTimer(
        Math.max(1, delayMs),
        t -> {
          if (life == box.life() && !box.faults().isUnresponsive()) {
            write(front, note);
          }
        });
  }

  private void write(int front, String note) {
    for (HttpServerResponse response : listeners.getOrDefault(front, Set.of())) {
      if (!response.closed() && !response.writeQueueFull()) {
        response.write(note + "\n");
      }
    }
  }

  void clear() {
    listeners.clear();
  }
}
