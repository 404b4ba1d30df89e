package linengauge.membership;

import linengauge.Span;

/**
 * How slow this front itself is (Lifeguard, IV.A): a count that rises with what it misses and falls
 * with what it gets in time, and lengthens its waits. Guards against a front that stands still or
 * hears badly and accuses all others. It could hurt where the fault is the others': their deaths
 * are found later, by so many times the period.
 */
final class LocalHealth {
  private final int most;
  private int count;

  LocalHealth(int most) {
    this.most = most;
  }

  void worse(int by) {
    count = Math.min(most, count + by);
  }

  void better() {
    count = Math.max(0, count - 1);
  }

  int count() {
    return count;
  }

  Span lengthened(Span span) {
    return span.times(1 + count);
  }
}
