package linengauge.virtualtime;

import java.util.Comparator;
import java.util.PriorityQueue;
import linengauge.Moment;

/**
 * Clock and event queue of a simulation in virtual time. Tasks run in the order of their times, and
 * in the order of scheduling if these are equal. The queue is unbounded: its size is the
 * simulation's responsibility.
 */
public final class EventQueue {
  private record Event(Moment at, long sequence, Runnable task) {}

  private static final Comparator<Event> BY_TIME_THEN_SEQUENCE =
      Comparator.comparing(Event::at).thenComparingLong(Event::sequence);

  private final PriorityQueue<Event> events = new PriorityQueue<>(BY_TIME_THEN_SEQUENCE);
  private Moment now;
  private long nextSequence;

  public EventQueue(Moment start) {
    this.now = start;
  }

  public Moment now() {
    return now;
  }

  /** Schedules a task; one whose time has passed is due now. */
  public void schedule(Moment at, Runnable task) {
    events.add(new Event(at.max(now), nextSequence, task));
    nextSequence++;
  }

  /** The time of the next task, or null if the queue is empty. */
  public Moment nextEventAt() {
    Event next = events.peek();
    return next == null ? null : next.at;
  }

  /** Advances the clock to the next task and runs it; the queue must not be empty. */
  public void runNext() {
    Event next = events.remove();
    now = next.at;
    next.task.run();
  }

  /** Advances the clock without running tasks; does nothing if the time has passed. */
  public void advanceTo(Moment moment) {
    now = moment.max(now);
  }
}
