package linengauge.vrrp;

import linengauge.Span;

/**
 * What a front knows of itself when it is asked whether it should hold the shared address.
 *
 * @param servingBoxes media boxes that its list has as serving
 * @param sessionManagerDelay for how long its desk has not come round
 * @param maxDelay from which on that is an overloaded desk; none: never
 */
public record FrontHealth(int servingBoxes, Span sessionManagerDelay, Span maxDelay) {
  /** It could only block, or not even that. */
  public boolean isUnhealthy() {
    return servingBoxes == 0 || Span.NONE.under(maxDelay) && !sessionManagerDelay.under(maxDelay);
  }
}
