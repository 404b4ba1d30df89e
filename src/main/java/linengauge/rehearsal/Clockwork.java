package linengauge.rehearsal;

import java.util.PriorityQueue;
import linengauge.Moment;
import linengauge.Span;

/**
 * Virtual time: steps run in the order of their moments, and in that of their coming where these
 * are the same.
 */
public final class Clockwork {
  private record Step(Moment at, long number, Runnable deed) {}

  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(
          (a, b) -> a.at.equals(b.at) ? Long.compare(a.number, b.number) : a.at.compareTo(b.at));
  private Moment now;
  private long number;

  public Clockwork(Moment begin) {
    this.now = begin;
  }

  public Moment now() {
    return now;
  }

  /** Runs it then; now where that has passed. */
  public void at(Moment moment, Runnable deed) {
    steps.add(new Step(moment.orLater(now), number++, deed));
  }

  public void after(Span span, Runnable deed) {
    at(now.plus(span), deed);
  }

  /** Runs everything up to that moment. */
  public void run(Moment until) {
    while (!steps.isEmpty() && !until.before(steps.peek().at)) {
      Step s = steps.poll();
      now = s.at;
      s.deed.run();
    }
    now = until.orLater(now);
  }
}
