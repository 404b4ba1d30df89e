package linengauge.membership;

import java.util.Set;
import java.util.TreeSet;
import linengauge.Moment;
import linengauge.Span;

/**
 * Suspicion of a member, which the member can refute until the timeout. The timeout shrinks with
 * each further front that confirms the suspicion, as in section IV.B of the Lifeguard paper (Dadgar
 * et al. 2017). Only as many confirmations as affect the timeout are recorded.
 */
final class Suspicion {
  private final Span minDuration;
  private final Span maxDuration;
  private final int maxConfirmations;
  private final int source;
  private final boolean raisedLocally;
  private Moment since;
  private final Set<Integer> confirmedBy = new TreeSet<>();

  /**
   * @param maxConfirmations number of confirmations at which the timeout reaches its minimum; with
   *     0, because nobody else could confirm, the timeout is the minimum if raised locally and the
   *     maximum otherwise
   * @param source front that first raised the suspicion
   */
  Suspicion(
      Moment since,
      Span minDuration,
      Span maxDuration,
      int maxConfirmations,
      int source,
      boolean raisedLocally) {
    this.source = source;
    this.raisedLocally = raisedLocally;
    this.since = since;
    this.minDuration = minDuration;
    this.maxDuration = maxDuration;
    this.maxConfirmations = maxConfirmations;
  }

  /**
   * Records a confirmation by another front. Returns false if it adds nothing, as when the first
   * source repeats its suspicion.
   */
  boolean confirm(int source) {
    return source != this.source
        && confirmedBy.size() < maxConfirmations
        && confirmedBy.add(source);
  }

  /** Extends the timeout by a time in which this front could not receive a refutation. */
  void extend(Span span) {
    since = since.plus(span);
  }

  Moment endsAt() {
    double share =
        maxConfirmations == 0
            ? raisedLocally ? 1 : 0
            : Math.log(confirmedBy.size() + 1.0) / Math.log(maxConfirmations + 1.0);
    return since.plus(
        maxDuration.minus(maxDuration.minus(minDuration).times(share)).max(minDuration));
  }
}
