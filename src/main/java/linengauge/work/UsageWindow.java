package linengauge.work;

import java.util.ArrayDeque;
import linengauge.Moment;
import linengauge.Span;

/**
 * The amount used within a sliding window. Amounts are grouped in a bounded number of slots. A slot
 * counts in full until all of it has left the window: usage is never underestimated, and
 * overestimated by at most one slot.
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
   * Oldest first. A slot is removed when its end has left the window, so there are at most {@link
   * #SLOT_COUNT} + 2.
   */
  private final ArrayDeque<Slot> slots = new ArrayDeque<>(SLOT_COUNT + 2);

  private long total;

  UsageWindow(Span window) {
    this.window = window;
    this.slotLength = new Span(Math.max(1, window.micros() / SLOT_COUNT));
  }

  void add(long amount, Moment now) {
    expire(now);
    if (slots.isEmpty() || !now.isBefore(slots.peekLast().startsAt.plus(slotLength))) {
      slots.addLast(new Slot(now));
    }
    slots.peekLast().amount += amount;
    total += amount;
  }

  long used(Moment now) {
    expire(now);
    return total;
  }

  /** When the next amount leaves the window; null if the window is empty. */
  Moment nextExpiryAt() {
    return slots.isEmpty() ? null : slots.peekFirst().startsAt.plus(slotLength).plus(window);
  }

  int slotCount() {
    return slots.size();
  }

  private void expire(Moment now) {
    while (!slots.isEmpty() && !now.isBefore(nextExpiryAt())) {
      total -= slots.removeFirst().amount;
    }
  }
}
