package linengauge.rehearsal;

import linengauge.Moment;
import linengauge.Span;
import linengauge.virtualtime.EventQueue;

/** The virtual time of a rehearsal. */
public final class Clockwork {
  private final EventQueue events;

  public Clockwork(Moment begin) {
    this.events = new EventQueue(begin);
  }

  public Moment now() {
    return events.now();
  }

  /** Runs it then; now where that has passed. */
  public void at(Moment moment, Runnable task) {
    events.schedule(moment, task);
  }

  public void after(Span span, Runnable task) {
    at(now().plus(span), task);
  }

  /** Runs everything up to that moment. */
  public void run(Moment until) {
    while (events.nextEventAt() != null && !until.before(events.nextEventAt())) {
      events.runNext();
    }
    events.advanceTo(until);
  }
}
