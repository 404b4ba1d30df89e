package linengauge.vrrp;

import linengauge.Moment;
import linengauge.Span;

/**
 * The penalty for a partner that takes the address and dies, again and again: one for each time,
 * half of it forgiven in each half-life. From the mark on, and until half of the mark is left, this
 * node keeps the address. Guards viewers against a handover every few seconds; it could hurt where
 * the partner is much the better machine and was restarted by hand that often: it waits for a
 * half-life or two.
 */
final class FlapDamping {
  private final Span halfLife;
  private final double mark;
  private double penalty;
  private Moment countedAt = Moment.DISTANT_PAST;
  private boolean holding;

  FlapDamping(RouterSettings.Extensions more) {
    this.halfLife = more.flapHalfLife();
    this.mark = more.flapHoldThreshold();
  }

  private boolean counts() {
    return Span.NONE.under(halfLife) && mark > 0;
  }

  private double at(Moment now) {
    if (penalty == 0) {
      return 0;
    }
    double halves = now.since(countedAt).seconds() / halfLife.seconds();
    return penalty * Math.pow(0.5, halves);
  }

  /** The partner had taken the address and has died with it. */
  void flapped(Moment now) {
    if (counts()) {
      penalty = Math.min(4 * mark, at(now) + 1); // so that no hold is longer than three half-lives
      countedAt = now;
      holding |= penalty >= mark;
    }
  }

  boolean holds(Moment now) {
    if (holding && at(now) < mark / 2) {
      holding = false;
    }
    return holding;
  }

  FlapDamping copy(RouterSettings.Extensions more) {
    FlapDamping f = new FlapDamping(more);
    f.penalty = penalty;
    f.countedAt = countedAt;
    f.holding = holding;
    return f;
  }

  /** What of it tells two states apart. */
  long mark(Moment now) {
    return Math.round(at(now) * 8) * 2 + (holding ? 1 : 0);
  }
}
