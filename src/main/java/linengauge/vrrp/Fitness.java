package linengauge.vrrp;

import linengauge.Span;

/**
 * What a front knows of itself when it is asked whether it should hold the shared address.
 *
 * @param servingBoxes media boxes that its list has as serving
 * @param deskLate for how long its desk has not come round
 * @param mostLate from which on that is an overloaded desk; none: never
 */
public record Fitness(int servingBoxes, Span deskLate, Span mostLate) {
  /** It could only block, or not even that. */
  public boolean isUnwell() {
    return servingBoxes == 0
        || Span.NONE.isShorterThan(mostLate) && !deskLate.isShorterThan(mostLate);
  }
}
