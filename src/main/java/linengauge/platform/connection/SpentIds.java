package linengauge.platform.connection;

import java.util.LinkedHashMap;
import linengauge.Moment;
import linengauge.Span;

/**
 * Ids of attempts that one connection to a server has carried lately. Guards against one id with
 * two attempts on one connection: a late, a second or a spoilt answer to the first would be taken
 * for the second's, and could prove that what ran never ran. It could hurt a server with few
 * connections: a retry there waits for another one.
 */
public final class SpentIds {
  private final int most;
  private final Span kept;

  /** With the moment of the latest attempt; bounded, the oldest goes; emptied by time. */
  private final LinkedHashMap<Long, Moment> ids = new LinkedHashMap<>();

  public SpentIds(int most, Span kept) {
    this.most = most;
    this.kept = kept;
  }

  public void add(long id, Moment now) {
    ids.remove(id);
    look(now);
    if (ids.size() == most) {
      ids.remove(ids.keySet().iterator().next());
    }
    ids.put(id, now);
  }

  public boolean has(long id, Moment now) {
    Moment at = ids.get(id);
    return at != null && !at.plus(kept).before(now);
  }

  public int size() {
    return ids.size();
  }

  private void look(Moment now) {
    var oldest = ids.values().iterator();
    while (oldest.hasNext() && oldest.next().plus(kept).before(now)) {
      oldest.remove();
    }
  }
}
