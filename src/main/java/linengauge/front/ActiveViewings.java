package linengauge.front;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import linengauge.session.Viewer;

/**
 * Viewings that play, by id: written on the session loop, read on the viewers' event loops. Each is
 * removed as it ends.
 */
final class ActiveViewings {
  /** How many ended viewings are remembered, so that a late request gets the reason. */
  private static final int MAX_ENDED = 1000;

  private final Map<String, HttpViewer> playing = new ConcurrentHashMap<>();
  private final Map<String, Viewer.EndReason> ended =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Viewer.EndReason> eldest) {
          return size() > MAX_ENDED;
        }
      };

  void put(String id, HttpViewer viewer) {
    playing.put(id, viewer);
  }

  void remove(String id, Viewer.EndReason reason) {
    playing.remove(id);
    synchronized (ended) {
      ended.put(id, reason);
    }
  }

  HttpViewer get(String id) {
    return playing.get(id);
  }

  /** Why a viewing ended, or null where that is not remembered. */
  Viewer.EndReason endReason(String id) {
    synchronized (ended) {
      return ended.get(id);
    }
  }

  int size() {
    return playing.size();
  }
}
