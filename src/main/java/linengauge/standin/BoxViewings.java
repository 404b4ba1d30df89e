package linengauge.standin;

import io.vertx.core.http.HttpServerRequest;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The viewings of one stand-in box: those that run, are being set up, and have ended. */
final class BoxViewings {
  private static final int MAX_ENDED = 2000;

  private final int box;
  private final NetworkLinks links;
  private final Map<String, RunningViewing> running = new LinkedHashMap<>();

  /** Set-ups not answered yet, by id. */
  private final Map<String, HttpServerRequest> settingUp = new LinkedHashMap<>();

  /**
   * Ids that have ended here, with the tune-in: a set-up that comes after its end is not run.
   * Emptied oldest first.
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

  /** Streams that are taken: by what runs and by what is being set up. */
  int usedStreams() {
    return running.size() + settingUp.size();
  }

  /** Null where no such viewing runs. */
  RunningViewing get(String id) {
    return running.get(id);
  }

  boolean isRunning(String id) {
    return running.containsKey(id);
  }

  /** A copy, so that viewings may end while it is read. */
  List<RunningViewing> all() {
    return List.copyOf(running.values());
  }

  void beginSetUp(String id, HttpServerRequest request) {
    settingUp.put(id, request);
  }

  /** False where that request was no set-up of that id any more. */
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

  /** No set-up of that id up to that tune-in is run any more. */
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
