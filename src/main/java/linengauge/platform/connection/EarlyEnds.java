package linengauge.platform.connection;

import java.util.LinkedHashMap;
import linengauge.Moment;
import linengauge.Outside.Ending;
import linengauge.Span;

/**
 * Ends that a box has told of viewings which this front does not hold, by their ids. Guards against
 * an end that overtakes the handing over of its viewing: a front just started opens a connection
 * for the first viewing handed over at a box, and hears there of the others' ends before it has
 * read of these; the box does not tell them a third time, and the viewing would be left standing.
 * It could hurt where an id came into use again: ids are new with each set-up.
 */
public final class EarlyEnds {
  private record End(Ending outcome, Moment expiresAt) {}

  private final int maxEntries;
  private final Span retention;

  /** Bounded, the oldest goes; each leaves with its time. */
  private final LinkedHashMap<Long, End> ends = new LinkedHashMap<>();

  public EarlyEnds(int maxEntries, Span retention) {
    this.maxEntries = maxEntries;
    this.retention = retention;
  }

  public void add(long id, Ending outcome, Moment now) {
    expire(now);
    if (ends.size() == maxEntries) {
      ends.remove(ends.keySet().iterator().next());
    }
    ends.putIfAbsent(id, new End(outcome, now.plus(retention)));
  }

  /** How the viewing of that id has ended already, once; null where nothing was heard of it. */
  public Ending take(long id) {
    End end = ends.remove(id);
    return end == null ? null : end.outcome();
  }

  public int size() {
    return ends.size();
  }

  public void expire(Moment now) {
    var oldest = ends.entrySet().iterator();
    while (oldest.hasNext() && oldest.next().getValue().expiresAt().before(now)) {
      oldest.remove();
    }
  }
}
