package linengauge.membership;

import java.util.Set;
import java.util.TreeSet;
import linengauge.Moment;
import linengauge.Span;

/**
 * One member suspected: until when it may speak against that (Lifeguard, IV.B). The wait shrinks
 * with each further front that suspects it. Who confirms is remembered up to the number that
 * matters.
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
   * @param source who suspected it first; where that is not this front and nobody could confirm it,
   *     it waits the longest
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
   * A front suspects it as well; true where that is news. Who said so first confirms nothing by
   * saying it again.
   */
  boolean confirm(int source) {
    return source != this.source
        && confirmedBy.size() < maxConfirmations
        && confirmedBy.add(source);
  }

  /** This front was not there to hear it speak for so long. */
  void extend(Span span) {
    since = since.plus(span);
  }

  Moment endsAt() {
    double share =
        maxConfirmations == 0
            ? raisedLocally ? 1 : 0
            : Math.log(confirmedBy.size() + 1.0) / Math.log(maxConfirmations + 1.0);
    return since.plus(
        maxDuration.minus(maxDuration.minus(minDuration).times(share)).orMore(minDuration));
  }
}
