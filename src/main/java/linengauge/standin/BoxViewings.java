package linengauge.standin;

import io.vertx.core.http.HttpServerRequest;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The viewings of one stand-in box: running, being set up, and ended. */
final class BoxViewings {
  private static final int MAX_ENDED = 2000;

  private final int box;
  private final NetworkLinks links;
  private final Map<String, RunningViewing> running = new LinkedHashMap<>();

  /** Pending set-ups by viewing id. */
  private final Map<String, HttpServerRequest> settingUp = new LinkedHashMap<>();

  /**
   * Ended viewing ids with their last tune-in: a set-up that arrives after its end is not run. The
   * oldest entries are removed first.
   */
  private final Map<String, Integer> ended =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
          return size() > MAX_ENDED;
        }
      };

  BoxViewings(int box, NetworkLinks links) {
    this.box = box;
    this.links = links;
  }

  int runningCount() {
    return running.size();
  }

  /** Returns the number of streams used by running viewings and pending set-ups. */
  int usedStreams() {
    return running.size() + settingUp.size();
  }

  /** Returns null if no such viewing is running. */
  RunningViewing get(String id) {
    return running.get(id);
  }

  boolean isRunning(String id) {
    return running.containsKey(id);
  }

  /** Returns a copy, so that viewings may end during iteration. */
  List<RunningViewing> all() {
    return List.copyOf(running.values());
  }

  void beginSetUp(String id, HttpServerRequest request) {
    settingUp.put(id, request);
  }

  /** Returns false if the request was not a pending set-up of that id. */
  boolean endSetUp(String id, HttpServerRequest request) {
    return settingUp.remove(id, request);
  }

  void start(RunningViewing viewing) {
    running.put(viewing.id(), viewing);
    links.addDemand(box, viewing.kb());
  }

  void change(RunningViewing viewing, int rung, double kb) {
    links.addDemand(box, kb - viewing.kb());
    viewing.changeTo(rung, kb);
  }

  void stop(RunningViewing viewing) {
    if (running.remove(viewing.id(), viewing)) {
      links.addDemand(box, -viewing.kb());
    }
  }

  /** From now on no set-up of that id with this tune-in or an earlier one is run. */
  void markEnded(String id, int tuneIn) {
    ended.merge(id, tuneIn, Math::max);
  }

  boolean hasEnded(String id, int tuneIn) {
    Integer last = ended.get(id);
    return last != null && last >= tuneIn;
  }

  void clear() {
    all().forEach(this::stop);
    settingUp.clear();
    ended.clear();
  }
}
