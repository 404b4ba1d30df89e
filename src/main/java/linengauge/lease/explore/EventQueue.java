package linengauge.lease.explore;

import java.util.PriorityQueue;
import linengauge.Moment;

/** Events in virtual time, run in order; events of one moment run in the order of insertion. */
final class EventQueue {
  private record Event(Moment at, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = at.compareTo(other.at);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  /** More events than this at one moment are taken for an endless loop. */
  private static final int MAX_EVENTS_AT_ONE_MOMENT = 1_000_000;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private Moment now = new Moment(0);
  private long nextSequence;
  private int eventsAtNow;

  Moment now() {
    return now;
  }

  void at(Moment when, Runnable action) {
    events.add(new Event(when.max(now), nextSequence++, action));
  }

  /** Runs all events due before the given moment and advances the time to it. */
  void runUntil(Moment end) {
    while (!events.isEmpty() && events.peek().at.isBefore(end)) {
      Event event = events.poll();
      eventsAtNow = event.at.equals(now) ? eventsAtNow + 1 : 0;
      if (eventsAtNow > MAX_EVENTS_AT_ONE_MOMENT) {
        throw new IllegalStateException("endless loop of events at " + now);
      }
      now = event.at;
      event.action.run();
    }
    now = end;
  }
}
