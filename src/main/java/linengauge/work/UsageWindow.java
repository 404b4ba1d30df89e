package linengauge.work;

import java.util.ArrayDeque;
import linengauge.Moment;
import linengauge.Span;

/**
 * What has been spent in a window that moves on. Spends lie in a bounded number of slots, each of
 * which counts whole until all of it has left the window: never too little is counted, and at most
 * a slot too much.
 */
final class UsageWindow {
  private static final int SLOT_COUNT = 32;

  private static final class Slot {
    private final Moment startsAt;
    private long amount;

    private Slot(Moment startsAt) {
      this.startsAt = startsAt;
    }
  }

  private final Span window;
  private final Span slotLength;

  /**
   * Oldest first; a slot leaves when its end has left the window, so there are {@link #SLOT_COUNT}
   * and two at the most.
   */
  private final ArrayDeque<Slot> slots = new ArrayDeque<>(SLOT_COUNT + 2);

  private long total;

  UsageWindow(Span window) {
    this.window = window;
    this.slotLength = new Span(Math.max(1, window.micros() / SLOT_COUNT));
  }

  void add(long amount, Moment now) {
    expire(now);
    if (slots.isEmpty() || !now.before(slots.peekLast().startsAt.plus(slotLength))) {
      slots.addLast(new Slot(now));
    }
    slots.peekLast().amount += amount;
    total += amount;
  }

  long used(Moment now) {
    expire(now);
    return total;
  }

  /** When something leaves the window next; null where nothing is in it. */
  Moment nextExpiryAt() {
    return slots.isEmpty() ? null : slots.peekFirst().startsAt.plus(slotLength).plus(window);
  }

  int slotCount() {
    return slots.size();
  }

  private void expire(Moment now) {
    while (!slots.isEmpty() && !now.before(nextExpiryAt())) {
      total -= slots.removeFirst().amount;
    }
  }
}
