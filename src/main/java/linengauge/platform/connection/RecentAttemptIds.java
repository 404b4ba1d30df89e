package linengauge.platform.connection;

import java.util.LinkedHashMap;
import linengauge.Moment;
import linengauge.Span;

/**
 * Ids of attempts made recently, on one connection to a server or on all of them. With two attempts
 * of one id on one connection, a late, duplicate or corrupt answer to the first would be taken for
 * an answer to the second, and could prove that a session which ran never ran. For a server with
 * few connections, a retry has to wait for another one.
 */
public final class RecentAttemptIds {
  private final int maxEntries;
  private final Span retention;

  /** With the moment of the latest attempt; bounded, the oldest is evicted; entries expire. */
  private final LinkedHashMap<Long, Moment> ids = new LinkedHashMap<>();

  public RecentAttemptIds(int maxEntries, Span retention) {
    this.maxEntries = maxEntries;
    this.retention = retention;
  }

  public void add(long id, Moment now) {
    ids.remove(id);
    expire(now);
    if (ids.size() == maxEntries) {
      ids.remove(ids.keySet().iterator().next());
    }
    ids.put(id, now);
  }

  public boolean contains(long id, Moment now) {
    Moment attemptedAt = ids.get(id);
    return attemptedAt != null && !attemptedAt.plus(retention).isBefore(now);
  }

  public int size() {
    return ids.size();
  }

  private void expire(Moment now) {
    var oldest = ids.values().iterator();
    while (oldest.hasNext() && oldest.next().plus(retention).isBefore(now)) {
      oldest.remove();
    }
  }
}
