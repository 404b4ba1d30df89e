package linengauge.front;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import linengauge.session.Viewer;

/** Viewings that play, by id: written by the desk, read by the loops. Each leaves as it ends. */
final class Routes {
  /** How many viewings that have ended are remembered, so that a late request is told why. */
  private static final int REMEMBERED = 1000;

  private final Map<String, ViewerEnd> playing = new ConcurrentHashMap<>();
  private final Map<String, Viewer.EndReason> ended =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Viewer.EndReason> eldest) {
          return size() > REMEMBERED;
        }
      };

  void put(String id, ViewerEnd viewer) {
    playing.put(id, viewer);
  }

  void remove(String id, Viewer.EndReason how) {
    playing.remove(id);
    synchronized (ended) {
      ended.put(id, how);
    }
  }

  ViewerEnd get(String id) {
    return playing.get(id);
  }

  /** How a viewing ended, or null where that is not remembered. */
  Viewer.EndReason howEnded(String id) {
    synchronized (ended) {
      return ended.get(id);
    }
  }

  int size() {
    return playing.size();
  }
}
