package linengauge.vrrp.explore;

import java.util.List;
import linengauge.Span;
import linengauge.vrrp.NodeAddress;
import linengauge.vrrp.RouterTerms;
import linengauge.vrrp.VirtualRouter;

/**
 * What is explored.
 *
 * @param priorities of the nodes, 2 or 3 of them; addresses rise with their numbers
 * @param depth how many things happen while troubles may come
 * @param faults how many troubles there are at the most
 * @param maker makes the routers: the real ones, or planted ones that the exploration must find
 */
public record Plan(
    List<Integer> priorities,
    boolean preempt,
    RouterTerms.Additions additions,
    int depth,
    int faults,
    Maker maker) {
  /** Makes a router of a node. */
  public interface Maker {
    VirtualRouter make(RouterTerms terms, VirtualRouter.Port port);
  }

  static final Span INTERVAL = Span.ofMillis(1000);

  public Plan {
    priorities = List.copyOf(priorities);
  }

  /**
   * The additions with spans so short that all of them come to act, and end, within an exploration.
   */
  public static RouterTerms.Additions shortAdditions() {
    return new RouterTerms.Additions(
        1, true, INTERVAL, INTERVAL, INTERVAL.times(2), 2, 4, 0, Span.NONE);
  }

  int nodes() {
    return priorities.size();
  }

  Span delay() {
    return INTERVAL.times(0.02);
  }

  /**
   * After this without troubles one node must be Active, and stay so: some Active_Down_Intervals,
   * and all holds.
   */
  Span settles() {
    return INTERVAL.times(additions.equals(RouterTerms.Additions.NONE) ? 16 : 60);
  }

  NodeAddress address(int node) {
    return NodeAddress.of(10, 0, 0, 1 + node);
  }

  RouterTerms terms(int node) {
    return new RouterTerms(
        1,
        priorities.get(node),
        INTERVAL,
        preempt,
        true,
        List.of(NodeAddress.of(10, 0, 0, 100)),
        address(node),
        additions);
  }
}
