package linengauge.vrrp;

import linengauge.Span;

/**
 * The health of a front, by which it decides whether it should hold the shared address.
 *
 * @param servingBoxes media boxes that are listed as serving
 * @param sessionManagerDelay the time since the session manager last ran
 * @param maxDelay the delay from which the session manager counts as overloaded; with {@link
 *     Span#NONE} it never does
 */
public record FrontHealth(int servingBoxes, Span sessionManagerDelay, Span maxDelay) {
  /**
   * Returns whether this front could only reject viewings, because no box serves, or not even that,
   * because its session manager is overloaded.
   */
  public boolean isUnhealthy() {
    return servingBoxes == 0
        || Span.NONE.isShorterThan(maxDelay) && !sessionManagerDelay.isShorterThan(maxDelay);
  }
}
