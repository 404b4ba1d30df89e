package linengauge.platform.connection;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import linengauge.Moment;
import linengauge.Span;

/**
 * Ends of attempts that were written on one connection to a server and are not confirmed yet. A
 * connection keeps the order of what is written on it, so whatever the server says there of the
 * attempt, or of a test that was written after the end, shows that it has read the end. Nothing on
 * another connection shows it, nor does a close.
 *
 * @param <A> the attempts; an end may be of none
 */
public final class UnconfirmedEnds<A> {
  private record End<A>(A attempt, long lastTest, Moment writtenAt) {}

  private final int maxEntries;
  private final Span retention;

  /** By the request's id, the oldest first; bounded, the oldest goes; emptied by time. */
  private final LinkedHashMap<Long, End<A>> ends = new LinkedHashMap<>();

  /** The number of the latest test written on the connection; numbers only rise. */
  private long lastTest = Long.MIN_VALUE;

  public UnconfirmedEnds(int maxEntries, Span retention) {
    this.maxEntries = maxEntries;
    this.retention = retention;
  }

  /** The end of that attempt has been written. */
  public void onEndWritten(long id, A attempt, Moment now) {
    expire(now);
    if (ends.size() == maxEntries) {
      ends.remove(ends.keySet().iterator().next());
    }
    ends.put(id, new End<>(attempt, lastTest, now));
  }

  /** A test of that number has been written. */
  public void onTestWritten(long number) {
    lastTest = number;
  }

  /** The server has said that the attempt of that id is over; null where it was not in doubt. */
  public A confirm(long id) {
    End<A> end = ends.remove(id);
    return end == null ? null : end.attempt;
  }

  /** The server has answered that test: it has read every end that was written before. */
  public List<A> confirmByTest(long number) {
    List<A> confirmed = new ArrayList<>();
    if (number > lastTest) {
      return confirmed; // never written here
    }
    Iterator<End<A>> remaining = ends.values().iterator();
    while (remaining.hasNext()) {
      End<A> end = remaining.next();
      if (end.lastTest < number) {
        if (end.attempt != null) {
          confirmed.add(end.attempt);
        }
        remaining.remove();
      }
    }
    return confirmed;
  }

  /** Whether the end of that id is still to be confirmed. */
  public boolean isUnconfirmed(long id) {
    return ends.containsKey(id);
  }

  /** The ids of all ends written since that moment that are still to be confirmed. */
  public List<Long> writtenSince(Moment from) {
    List<Long> ids = new ArrayList<>();
    ends.forEach(
        (id, end) -> {
          if (!end.writtenAt.before(from)) {
            ids.add(id);
          }
        });
    return ids;
  }

  public int size() {
    return ends.size();
  }

  private void expire(Moment now) {
    Iterator<End<A>> oldest = ends.values().iterator();
    while (oldest.hasNext() && oldest.next().writtenAt.plus(retention).before(now)) {
      oldest.remove();
    }
  }
}
