package linengauge.flow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import linengauge.Moment;
import linengauge.Span;

/**
 * The connections of one loop that owe it a byte or the end of their headers, those due first in
 * front. A look touches only those whose time is over.
 */
public final class ConnectionAttempts {
  private static final Comparator<ConnectionAttempt> DUE_FIRST =
      Comparator.comparing(ConnectionAttempt::dueAt).thenComparingLong(k -> k.number);

  private final ListenerSettings terms;
  private final LoopClock time;

  /**
   * Each leaves when its request is whole, when it is due, and when it is closed; bounded by the
   * door's places.
   */
  private final TreeSet<ConnectionAttempt> due = new TreeSet<>(DUE_FIRST);

  private final Map<ConnectionAttempt.State, Long> tooLong =
      new EnumMap<>(ConnectionAttempt.State.class);
  private long number;

  public ConnectionAttempts(ListenerSettings terms, LoopClock time) {
    this.terms = terms;
    this.time = time;
  }

  public ConnectionAttempt open(ConnectionAttempt.Connection caller) {
    return new ConnectionAttempt(this, caller, number++, time.own());
  }

  Moment own() {
    return time.own();
  }

  int pipelined() {
    return terms.guards() ? terms.pipelined() : Integer.MAX_VALUE;
  }

  Span bound(ConnectionAttempt.State state) {
    if (!terms.guards()) {
      return null;
    }
    return switch (state) {
      case FIRST_BYTE -> terms.firstByte();
      case HEADERS -> terms.headers();
      case BETWEEN -> terms.between();
      case UNDER_WAY -> null;
    };
  }

  void list(ConnectionAttempt k) {
    if (k.dueAt() != null) {
      due.add(k);
    }
  }

  void unlist(ConnectionAttempt k) {
    if (k.dueAt() != null) {
      due.remove(k);
    }
  }

  public int pending() {
    return due.size();
  }

  /** How many were closed for what they owed in this state. */
  public long timeouts(ConnectionAttempt.State state) {
    return tooLong.getOrDefault(state, 0L);
  }

  /**
   * After each beat of the loop's own time; after a stand-still what waits in the sockets is read
   * first.
   */
  public void tick(boolean ran) {
    if (!ran) {
      return;
    }
    List<ConnectionAttempt> over = new ArrayList<>();
    while (!due.isEmpty() && !time.own().before(due.first().dueAt())) {
      over.add(due.pollFirst());
    }
    for (ConnectionAttempt k : over) {
      tooLong.merge(k.state(), 1L, Long::sum);
      k.caller().timedOut(k.state());
    }
  }
}
