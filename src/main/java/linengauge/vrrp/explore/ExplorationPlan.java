package linengauge.vrrp.explore;

import java.util.List;
import linengauge.Span;
import linengauge.vrrp.NodeAddress;
import linengauge.vrrp.RouterSettings;
import linengauge.vrrp.VirtualRouter;

/**
 * What is explored.
 *
 * @param priorities of the nodes, 2 or 3 of them; addresses rise with their numbers
 * @param depth how many things happen while troubles may come
 * @param maxFaults how many troubles there are at the most
 * @param routerFactory makes the routers: the real ones, or planted ones that the exploration must
 *     find
 */
public record ExplorationPlan(
    List<Integer> priorities,
    boolean preempt,
    RouterSettings.Extensions extensions,
    int depth,
    int maxFaults,
    RouterFactory routerFactory) {
  /** Makes a router of a node. */
  public interface RouterFactory {
    VirtualRouter create(RouterSettings terms, VirtualRouter.Port port);
  }

  static final Span INTERVAL = Span.ofMillis(1000);

  public ExplorationPlan {
    priorities = List.copyOf(priorities);
  }

  /**
   * The additions with spans so short that all of them come to act, and end, within an exploration.
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
   * After this without troubles one node must be Active, and stay so: some Active_Down_Intervals,
   * and all holds.
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
