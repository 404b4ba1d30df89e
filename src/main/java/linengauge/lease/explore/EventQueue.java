package linengauge.lease.explore;

import java.util.PriorityQueue;
import linengauge.Moment;

/**
 * What is to happen in virtual time, in order; of one moment, in the order in which it was added.
 */
final class EventQueue {
  private record Event(Moment at, long number, Runnable deed) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = at.compareTo(other.at);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  /** So many events at one moment are a loop without end. */
  private static final int MOST_AT_ONCE = 1_000_000;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private Moment now = new Moment(0);
  private long number;
  private int atOnce;

  Moment now() {
    return now;
  }

  void at(Moment when, Runnable deed) {
    events.add(new Event(when.max(now), number++, deed));
  }

  /** Runs all that is due before that moment, and comes to it. */
  void runUntil(Moment end) {
    while (!events.isEmpty() && events.peek().at.isBefore(end)) {
      Event event = events.poll();
      atOnce = event.at.equals(now) ? atOnce + 1 : 0;
      if (atOnce > MOST_AT_ONCE) {
        throw new IllegalStateException("no end of events at " + now);
      }
      now = event.at;
      event.deed.run();
    }
    now = end;
  }
}
