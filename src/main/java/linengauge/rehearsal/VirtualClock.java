package linengauge.rehearsal;

import linengauge.Moment;
import linengauge.Span;
import linengauge.virtualtime.EventQueue;

/** The virtual time of a simulation. */
public final class VirtualClock {
  private final EventQueue events;

  public VirtualClock(Moment start) {
    this.events = new EventQueue(start);
  }

  public Moment now() {
    return events.now();
  }

  /** Schedules a task for a moment, or for now where that has passed. */
  public void scheduleAt(Moment moment, Runnable task) {
    events.schedule(moment, task);
  }

  public void scheduleAfter(Span span, Runnable task) {
    scheduleAt(now().plus(span), task);
  }

  /** Runs all tasks up to a moment. */
  public void runUntil(Moment until) {
    while (events.nextEventAt() != null && !until.isBefore(events.nextEventAt())) {
      events.runNext();
    }
    events.advanceTo(until);
  }
}
