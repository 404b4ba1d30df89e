package linengauge.virtualtime;

import java.util.Comparator;
import java.util.PriorityQueue;
import linengauge.Moment;

/**
 * The clock and the tasks of a simulation in virtual time: tasks run in the order of their moments,
 * and in that of their scheduling where these are the same. It holds what its simulation schedules,
 * and bounds nothing itself.
 */
public final class EventQueue {
  private record Event(Moment at, long number, Runnable task) {}

  private static final Comparator<Event> BY_TIME_THEN_ORDER =
      Comparator.comparing(Event::at).thenComparingLong(Event::number);

  private final PriorityQueue<Event> events = new PriorityQueue<>(BY_TIME_THEN_ORDER);
  private Moment now;
  private long scheduled;

  public EventQueue(Moment begin) {
    this.now = begin;
  }

  public Moment now() {
    return now;
  }

  /** Runs the task then; now where that has passed. */
  public void schedule(Moment at, Runnable task) {
    events.add(new Event(at.orLater(now), scheduled, task));
    scheduled++;
  }

  /** The moment of the next task, or null where none is left. */
  public Moment nextEventAt() {
    Event next = events.peek();
    return next == null ? null : next.at;
  }

  /** Goes on to the next task's moment and runs it; there has to be one. */
  public void runNext() {
    Event next = events.remove();
    now = next.at;
    next.task.run();
  }

  /** Goes on to that moment without running anything; stays where it has passed. */
  public void advanceTo(Moment moment) {
    now = moment.orLater(now);
  }
}
