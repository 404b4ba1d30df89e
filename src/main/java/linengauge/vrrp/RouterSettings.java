package linengauge.vrrp;

import java.util.List;
import linengauge.Span;

/**
 * One virtual router as this node is set up for it (RFC 9568, section 6.1), and what is added to
 * the standard.
 *
 * @param vrid 1 to 255
 * @param priority 1 to 254, or 255 for the owner of the addresses
 * @param interval Advertisement_Interval, whole hundredths of a second
 * @param preemptMode Preempt_Mode: whether a node of higher priority takes over from one that is
 *     Active
 * @param acceptMode Accept_Mode: whether an Active node that is not the owner takes viewers at the
 *     shared address
 * @param addresses those shared
 * @param primaryAddress this node's primary address, by which ties are decided
 */
public record RouterSettings(
    int vrid,
    int priority,
    Span interval,
    boolean preemptMode,
    boolean acceptMode,
    List<NodeAddress> addresses,
    NodeAddress primaryAddress,
    Extensions extensions) {
  /** The priority of the owner, for which nothing is added (section 5.2.4). */
  public static final int OWNER_PRIORITY = 255;

  public RouterSettings {
    addresses = List.copyOf(addresses);
  }

  public boolean isOwner() {
    return priority == OWNER_PRIORITY;
  }

  /**
   * What the standard does not have; each acts under its own condition, and {@link #NONE} is the
   * standard alone.
   *
   * @param advertisementsPerInterval advertisements in each interval that they name, 1 in the
   *     standard: partners lose some and still hear enough, and take over no later
   * @param detectsPauses whether a node that could not step for long takes itself for deposed
   * @param preemptDelay how long a node that has come, or has stepped down, leaves a worse one
   *     Active
   * @param retakeDelay the least span between giving the address up and taking it again
   * @param flapHalfLife in which half of the penalty for a partner that comes and dies is forgiven;
   *     none: not counted
   * @param flapHoldThreshold penalty from which this node keeps the address, by a priority of 254
   * @param deafAfterIntervals how long a worse partner may stay Active beside this one before it is
   *     taken for deaf, in times of the interval; 0: for ever
   * @param unhealthyPriorityReduction taken off the priority while this front is unwell
   * @param healthChangeDelay how long it must be unwell, or well again, before that counts
   */
  public record Extensions(
      int advertisementsPerInterval,
      boolean detectsPauses,
      Span preemptDelay,
      Span retakeDelay,
      Span flapHalfLife,
      double flapHoldThreshold,
      int deafAfterIntervals,
      int unhealthyPriorityReduction,
      Span healthChangeDelay) {
    public static final Extensions NONE =
        new Extensions(1, false, Span.NONE, Span.NONE, Span.NONE, 0, 0, 0, Span.NONE);
  }
}
