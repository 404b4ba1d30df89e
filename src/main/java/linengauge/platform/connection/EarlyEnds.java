package linengauge.platform.connection;

import java.util.LinkedHashMap;
import linengauge.Environment.AttemptOutcome;
import linengauge.Moment;
import linengauge.Span;

/**
 * Session ends reported by a server for ids that this front does not hold yet.
 *
 * <p>An end can arrive before the hand-over of its session is read: a front that has just started
 * connects to a server for the first session handed over, and receives there the ends of others.
 * The server does not report them once more, so without this record those sessions would never be
 * released. Ids are unique per set-up, so an entry cannot match a later session.
 */
public final class EarlyEnds {
  private record End(AttemptOutcome outcome, Moment expiresAt) {}

  private final int maxEntries;
  private final Span retention;

  /** By session id; bounded, the oldest entry is evicted; entries expire. */
  private final LinkedHashMap<Long, End> ends = new LinkedHashMap<>();

  public EarlyEnds(int maxEntries, Span retention) {
    this.maxEntries = maxEntries;
    this.retention = retention;
  }

  public void add(long id, AttemptOutcome outcome, Moment now) {
    expire(now);
    if (ends.size() == maxEntries) {
      ends.remove(ends.keySet().iterator().next());
    }
    ends.putIfAbsent(id, new End(outcome, now.plus(retention)));
  }

  /** Removes and returns how the session ended; null if no end has been recorded. */
  public AttemptOutcome take(long id) {
    End end = ends.remove(id);
    return end == null ? null : end.outcome();
  }

  public int size() {
    return ends.size();
  }

  public void expire(Moment now) {
    var oldest = ends.entrySet().iterator();
    while (oldest.hasNext() && oldest.next().getValue().expiresAt().isBefore(now)) {
      oldest.remove();
    }
  }
}
