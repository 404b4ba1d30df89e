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
public final class Knocks {
  private static final Comparator<Knock> DUE_FIRST =
      Comparator.comparing(Knock::dueAt).thenComparingLong(k -> k.number);

  private final DoorTerms terms;
  private final OwnTime time;

  /**
   * Each leaves when its request is whole, when it is due, and when it is closed; bounded by the
   * door's places.
   */
  private final TreeSet<Knock> due = new TreeSet<>(DUE_FIRST);

  private final Map<Knock.State, Long> tooLong = new EnumMap<>(Knock.State.class);
  private long number;

  public Knocks(DoorTerms terms, OwnTime time) {
    this.terms = terms;
    this.time = time;
  }

  public Knock open(Knock.Caller caller) {
    return new Knock(this, caller, number++, time.own());
  }

  Moment own() {
    return time.own();
  }

  int pipelined() {
    return terms.guards() ? terms.pipelined() : Integer.MAX_VALUE;
  }

  Span bound(Knock.State state) {
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

  void list(Knock k) {
    if (k.dueAt() != null) {
      due.add(k);
    }
  }

  void unlist(Knock k) {
    if (k.dueAt() != null) {
      due.remove(k);
    }
  }

  public int waiting() {
    return due.size();
  }

  /** How many were closed for what they owed in this state. */
  public long tooLong(Knock.State state) {
    return tooLong.getOrDefault(state, 0L);
  }

  /**
   * After each beat of the loop's own time; after a stand-still what waits in the sockets is read
   * first.
   */
  public void look(boolean ran) {
    if (!ran) {
      return;
    }
    List<Knock> over = new ArrayList<>();
    while (!due.isEmpty() && !time.own().isBefore(due.first().dueAt())) {
      over.add(due.pollFirst());
    }
    for (Knock k : over) {
      tooLong.merge(k.state(), 1L, Long::sum);
      k.caller().tooLong(k.state());
    }
  }
}
