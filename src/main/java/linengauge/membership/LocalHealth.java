package linengauge.membership;

import linengauge.Span;

/**
 * Local health score (Lifeguard, IV.A). It rises with missed responses, falls with timely ones, and
 * scales this front's timeouts. It keeps a front that was paused or loses incoming datagrams from
 * suspecting all others. The cost: if the other members are at fault, their deaths are detected
 * later, because each period lasts 1 + score times as long.
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
