package linengauge.vrrp.explore;

import java.util.List;
import linengauge.Span;
import linengauge.vrrp.NodeAddress;
import linengauge.vrrp.RouterSettings;
import linengauge.vrrp.VirtualRouter;

/**
 * The parameters of an exploration.
 *
 * @param priorities of the nodes, 2 or 3 of them; addresses increase with the node numbers
 * @param depth the number of events during which faults may occur
 * @param maxFaults the maximum number of faults in a schedule
 * @param routerFactory creates the routers: the real ones, or ones with a planted defect that the
 *     exploration must find
 */
public record ExplorationPlan(
    List<Integer> priorities,
    boolean preempt,
    RouterSettings.Extensions extensions,
    int depth,
    int maxFaults,
    RouterFactory routerFactory) {
  /** Creates the router of a node. */
  public interface RouterFactory {
    VirtualRouter create(RouterSettings settings, VirtualRouter.Port port);
  }

  static final Span INTERVAL = Span.ofMillis(1000);

  public ExplorationPlan {
    priorities = List.copyOf(priorities);
  }

  /**
   * Returns extensions with times so short that each of them takes effect, and ends, within an
   * exploration.
   */
  public static RouterSettings.Extensions shortExtensions() {
    return new RouterSettings.Extensions(
        1, true, INTERVAL, INTERVAL, INTERVAL.times(2), 2, 4, 0, Span.NONE);
  }

  int nodeCount() {
    return priorities.size();
  }

  Span messageDelay() {
    return INTERVAL.times(0.02);
  }

  /**
   * The time without faults after which exactly one node must be Active, and stay Active: several
   * Active_Down_Intervals, and all holds.
   */
  Span settlingTime() {
    return INTERVAL.times(extensions.equals(RouterSettings.Extensions.NONE) ? 16 : 60);
  }

  NodeAddress address(int node) {
    return NodeAddress.of(10, 0, 0, 1 + node);
  }

  RouterSettings settings(int node) {
    return new RouterSettings(
        1,
        priorities.get(node),
        INTERVAL,
        preempt,
        true,
        List.of(NodeAddress.of(10, 0, 0, 100)),
        address(node),
        extensions);
  }
}
