package linengauge.vrrp;

import linengauge.Moment;
import linengauge.Span;

/**
 * The penalty for a partner that repeatedly takes the address and fails: it grows by one on each
 * failure and halves in each half-life. Once the penalty reaches the threshold, and until it has
 * fallen to half of the threshold, this node keeps the address. This avoids a handover every few
 * seconds. A partner of much higher priority that was restarted by hand that often has to wait for
 * one or two half-lives.
 */
final class FlapDamping {
  private final Span halfLife;
  private final double holdThreshold;
  private double penalty;
  private Moment updatedAt = Moment.DISTANT_PAST;
  private boolean holding;

  FlapDamping(RouterSettings.Extensions extensions) {
    this.halfLife = extensions.flapHalfLife();
    this.holdThreshold = extensions.flapHoldThreshold();
  }

  private boolean isEnabled() {
    return Span.NONE.isShorterThan(halfLife) && holdThreshold > 0;
  }

  private double penaltyAt(Moment now) {
    if (penalty == 0) {
      return 0;
    }
    double halfLives = now.since(updatedAt).seconds() / halfLife.seconds();
    return penalty * Math.pow(0.5, halfLives);
  }

  /** Records that the partner took the address and failed while it held it. */
  void recordFlap(Moment now) {
    if (isEnabled()) {
      // Limits the hold to three half-lives.
      penalty = Math.min(4 * holdThreshold, penaltyAt(now) + 1);
      updatedAt = now;
      holding |= penalty >= holdThreshold;
    }
  }

  boolean isHolding(Moment now) {
    if (holding && penaltyAt(now) < holdThreshold / 2) {
      holding = false;
    }
    return holding;
  }

  FlapDamping copy(RouterSettings.Extensions extensions) {
    FlapDamping copy = new FlapDamping(extensions);
    copy.penalty = penalty;
    copy.updatedAt = updatedAt;
    copy.holding = holding;
    return copy;
  }

  /** Returns a value that differs between states that behave differently. */
  long fingerprint(Moment now) {
    return Math.round(penaltyAt(now) * 8) * 2 + (holding ? 1 : 0);
  }
}
