package linengauge.work;

import java.util.ArrayDeque;
import linengauge.Moment;
import linengauge.Span;

/**
 * What has been spent in a window that moves on. Spends lie in a bounded number of slots, each of
 * which counts whole until all of it has left the window: never too little is counted, and at most
 * a slot too much.
 */
final class Spending {
  private static final int SLOTS = 32;

  private static final class Slot {
    private final Moment from;
    private long spent;

    private Slot(Moment from) {
      this.from = from;
    }
  }

  private final Span window;
  private final Span slot;

  /**
   * Oldest first; a slot leaves when its end has left the window, so there are {@link #SLOTS} and
   * two at the most.
   */
  private final ArrayDeque<Slot> slots = new ArrayDeque<>(SLOTS + 2);

  private long sum;

  Spending(Span window) {
    this.window = window;
    this.slot = new Span(Math.max(1, window.micros() / SLOTS));
  }

  void spend(long much, Moment now) {
    passed(now);
    if (slots.isEmpty() || !now.isBefore(slots.peekLast().from.plus(slot))) {
      slots.addLast(new Slot(now));
    }
    slots.peekLast().spent += much;
    sum += much;
  }

  long spent(Moment now) {
    passed(now);
    return sum;
  }

  /** When something leaves the window next; null where nothing is in it. */
  Moment easesAt() {
    return slots.isEmpty() ? null : slots.peekFirst().from.plus(slot).plus(window);
  }

  int slots() {
    return slots.size();
  }

  private void passed(Moment now) {
    while (!slots.isEmpty() && !now.isBefore(easesAt())) {
      sum -= slots.removeFirst().spent;
    }
  }
}
