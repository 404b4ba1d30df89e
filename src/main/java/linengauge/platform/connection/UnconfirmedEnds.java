package linengauge.platform.connection;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import linengauge.Moment;
import linengauge.Span;

/**
 * Ends of attempts that were written on one connection to a server and are not confirmed yet. A
 * connection preserves the order of what is written on it, so two messages received on it confirm
 * an end: that the attempt is over, or the answer to a test written after the end. A late answer to
 * the attempt, a message on another connection or a close confirms nothing.
 *
 * @param <A> the type of the attempts; null stands for the end of an established session
 */
public final class UnconfirmedEnds<A> {
  private record End<A>(A attempt, long lastTest, Moment writtenAt) {}

  private final int maxEntries;
  private final Span retention;

  /** By request id, oldest first; bounded, the oldest is evicted; entries expire. */
  private final LinkedHashMap<Long, End<A>> ends = new LinkedHashMap<>();

  /** The number of the latest test written on the connection; numbers increase. */
  private long lastTest = Long.MIN_VALUE;

  public UnconfirmedEnds(int maxEntries, Span retention) {
    this.maxEntries = maxEntries;
    this.retention = retention;
  }

  /** The end of the attempt has been written. */
  public void onEndWritten(long id, A attempt, Moment now) {
    expire(now);
    if (ends.size() == maxEntries) {
      ends.remove(ends.keySet().iterator().next());
    }
    ends.put(id, new End<>(attempt, lastTest, now));
  }

  /** The test of this number has been written. */
  public void onTestWritten(long number) {
    lastTest = number;
  }

  /** The server has confirmed the end of this id; returns its attempt, null if none was pending. */
  public A confirm(long id) {
    End<A> end = ends.remove(id);
    return end == null ? null : end.attempt;
  }

  /**
   * The server has answered the test of this number, so it has read every end written before it;
   * returns the attempts of those.
   */
  public List<A> confirmByTest(long number) {
    List<A> confirmed = new ArrayList<>();
    if (number > lastTest) {
      return confirmed; // It was never written on this connection.
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

  /** Returns whether the end of this id is still unconfirmed. */
  public boolean isUnconfirmed(long id) {
    return ends.containsKey(id);
  }

  /** Returns the ids of all unconfirmed ends written since the given moment. */
  public List<Long> writtenSince(Moment from) {
    List<Long> ids = new ArrayList<>();
    ends.forEach(
        (id, end) -> {
          if (!end.writtenAt.isBefore(from)) {
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
    while (oldest.hasNext() && oldest.next().writtenAt.plus(retention).isBefore(now)) {
      oldest.remove();
    }
  }
}
