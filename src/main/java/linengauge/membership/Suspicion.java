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
  private final Span least;
  private final Span most;
  private final int enough;
  private final int by;
  private final boolean own;
  private Moment since;
  private final Set<Integer> others = new TreeSet<>();

  /**
   * @param by who suspected it first; where that is not this front and nobody could confirm it, it
   *     waits the longest
   */
  Suspicion(Moment since, Span least, Span most, int enough, int by, boolean own) {
    this.by = by;
    this.own = own;
    this.since = since;
    this.least = least;
    this.most = most;
    this.enough = enough;
  }

  /**
   * A front suspects it as well; true where that is news. Who said so first confirms nothing by
   * saying it again.
   */
  boolean confirmed(int by) {
    return by != this.by && others.size() < enough && others.add(by);
  }

  /** This front was not there to hear it speak for so long. */
  void heldUp(Span span) {
    since = since.plus(span);
  }

  Moment endsAt() {
    double share =
        enough == 0 ? own ? 1 : 0 : Math.log(others.size() + 1.0) / Math.log(enough + 1.0);
    return since.plus(most.minus(most.minus(least).times(share)).max(least));
  }
}
