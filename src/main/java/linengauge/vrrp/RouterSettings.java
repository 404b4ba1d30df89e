package linengauge.vrrp;

import java.util.List;
import linengauge.Span;

/**
 * The settings of one virtual router on this node (RFC 9568, section 6.1), with extensions to the
 * standard.
 *
 * @param vrid 1 to 255
 * @param priority 1 to 254, or 255 for the owner of the addresses
 * @param interval Advertisement_Interval, in whole centiseconds
 * @param preemptMode Preempt_Mode: whether a node of higher priority takes over from one that is
 *     Active
 * @param acceptMode Accept_Mode: whether an Active node that is not the owner accepts viewers'
 *     connections at the shared address
 * @param addresses the shared addresses
 * @param primaryAddress this node's primary address, which breaks ties
 * @param extensions what this node does beyond the standard
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
  /** The priority of the address owner, which the extensions do not change (section 5.2.4). */
  public static final int OWNER_PRIORITY = 255;

  public RouterSettings {
    addresses = List.copyOf(addresses);
  }

  public boolean isOwner() {
    return priority == OWNER_PRIORITY;
  }

  /**
   * What the standard does not have. Each extension has a condition of its own, and {@link #NONE}
   * is the standard alone.
   *
   * @param advertisementsPerInterval advertisements sent in each advertised interval, 1 in the
   *     standard; with more, partners that lose some still receive enough, and do not take over
   *     later
   * @param detectsPauses whether a node that was paused for long assumes that it was deposed
   * @param preemptDelay how long a node that has started, or has stepped down, leaves a partner of
   *     lower priority Active
   * @param retakeDelay the minimum time between releasing the address and acquiring it again
   * @param flapHalfLife the time in which the penalty for a partner that repeatedly takes over and
   *     fails halves; {@link Span#NONE}: flaps are not counted
   * @param flapHoldThreshold the penalty from which this node keeps the address, by advertising a
   *     priority of 254
   * @param deafAfterIntervals how many intervals a partner of lower priority may stay Active beside
   *     this node before it counts as deaf; 0: any number
   * @param unhealthyPriorityReduction what the priority is lowered by while this front is unhealthy
   * @param healthChangeDelay how long a change of health must last before it takes effect
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
