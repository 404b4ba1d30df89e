package linengauge.membership;

import linengauge.Span;

/**
 * How slow this front itself is (Lifeguard, IV.A): a count that rises with what it misses and falls
 * with what it gets in time, and lengthens its waits. Guards against a front that stands still or
 * hears badly and accuses all others. It could hurt where the fault is the others': their deaths
 * are found later, by so many times the period.
 */
final class LocalHealth {
  private final int maxScore;
  private int score;

  LocalHealth(int maxScore) {
    this.maxScore = maxScore;
  }

  void degrade(int by) {
    score = Math.min(maxScore, score + by);
  }

  void improve() {
    score = Math.max(0, score - 1);
  }

  int score() {
    return score;
  }

  Span scale(Span span) {
    return span.times(1 + score);
  }
}
