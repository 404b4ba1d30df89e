package linengauge.vrrp.explore;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import linengauge.Moment;
import linengauge.Span;

/**
 * Runs every schedule of faults up to a bound through the real state machine: advertisements that
 * are lost or delayed, nodes that crash, restart or are paused, links that are cut in one or both
 * directions, at every point between two events. At the end of each schedule it ends the faults and
 * checks that exactly one node becomes Active, and stays Active. A state that was visited before is
 * not explored again.
 */
public final class Explorer {
  /** A violated property with the schedule that leads to it. */
  public record Violation(String description, List<String> schedule) {}

  /**
   * The result of an exploration.
   *
   * @param violation null if no property was violated
   */
  public record Outcome(long schedules, long states, Violation violation) {
    public boolean passed() {
      return violation == null;
    }
  }

  /** A choice and those before it. */
  private record Path(Path previous, String choice) {
    List<String> choices() {
      List<String> choices = new ArrayList<>();
      for (Path path = this; path != null; path = path.previous) {
        choices.add(0, path.choice);
      }
      return choices;
    }
  }

  private final ExplorationPlan plan;

  /** Visited states with the remaining depth; the plan's depth and faults bound their number. */
  private final Map<List<Object>, Integer> visited = new HashMap<>();

  private long schedules;
  private Violation violation;

  private Explorer(ExplorationPlan plan) {
    this.plan = plan;
  }

  public static Outcome explore(ExplorationPlan plan) {
    Explorer explorer = new Explorer(plan);
    explorer.visit(new NetworkState(plan), plan.depth(), plan.maxFaults(), null);
    return new Outcome(explorer.schedules, explorer.visited.size(), explorer.violation);
  }

  private void visit(NetworkState net, int depth, int faults, Path path) {
    if (violation != null) {
      return;
    }
    List<Object> fingerprint = net.fingerprint();
    fingerprint.add(faults);
    Integer visitedDepth = visited.get(fingerprint);
    if (visitedDepth != null && visitedDepth >= depth) {
      // Visited with at least as much depth left.
      return;
    }
    visited.put(fingerprint, depth);
    if (depth == 0 || faults == 0) {
      schedules++;
      checkSettles(new NetworkState(net), path, faults == plan.maxFaults());
      return;
    }
    if (faults > 0) {
      visitMessageFaults(net, depth, faults, path);
      for (int node = 0; node < plan.nodeCount(); node++) {
        visitNodeAndLinkFaults(net, node, depth, faults, path);
      }
    }
    if (net.nextEventTime() == null) {
      // All nodes are down and no message is in flight.
      return;
    }
    NetworkState next = new NetworkState(net);
    String failure = next.step();
    if (failure != null) {
      violation = new Violation(failure, path == null ? List.of() : path.choices());
      return;
    }
    visit(next, depth - 1, faults, path);
  }

  private void visitMessageFaults(NetworkState net, int depth, int faults, Path path) {
    NetworkState.Message next = net.nextMessage();
    if (next == null) {
      return;
    }
    String direction = next.from() + " to " + next.to();
    NetworkState lost = new NetworkState(net);
    lost.lose(next);
    visit(lost, depth - 1, faults - 1, add(path, net, "lost: " + direction));
    NetworkState delayed = new NetworkState(net);
    delayed.delay(next, ExplorationPlan.INTERVAL.times(0.7));
    visit(delayed, depth - 1, faults - 1, add(path, net, "late: " + direction));
  }

  private void visitNodeAndLinkFaults(NetworkState net, int id, int depth, int faults, Path path) {
    if (!net.isUp(id)) {
      NetworkState restarted = new NetworkState(net);
      restarted.restart(id);
      visit(restarted, depth - 1, faults - 1, add(path, net, "starts: " + id));
      return;
    }
    NetworkState crashed = new NetworkState(net);
    crashed.crash(id);
    visit(crashed, depth - 1, faults - 1, add(path, net, "crashes: " + id));
    if (!net.isPaused(id)) {
      for (double intervals : new double[] {1.5, 6}) {
        NetworkState paused = new NetworkState(net);
        paused.pause(id, ExplorationPlan.INTERVAL.times(intervals));
        visit(
            paused,
            depth - 1,
            faults - 1,
            add(path, net, "stands still for " + intervals + " intervals: " + id));
      }
    }
    for (int to = 0; to < plan.nodeCount(); to++) {
      if (to == id) {
        continue;
      }
      NetworkState oneWayCut = new NetworkState(net);
      oneWayCut.cut(id, to, !net.isCut(id, to));
      visit(
          oneWayCut,
          depth - 1,
          faults - 1,
          add(path, net, (net.isCut(id, to) ? "heard again: " : "not heard: ") + id + " by " + to));
      if (to > id) {
        NetworkState twoWayCut = new NetworkState(net);
        twoWayCut.cut(id, to, !net.isCut(id, to));
        twoWayCut.cut(to, id, !net.isCut(id, to));
        visit(
            twoWayCut,
            depth - 1,
            faults - 1,
            add(path, net, (net.isCut(id, to) ? "joined: " : "parted: ") + id + " and " + to));
      }
    }
  }

  private static Path add(Path path, NetworkState net, String choice) {
    return new Path(
        path, String.format(java.util.Locale.ROOT, "%.2f s %s", net.now().micros() / 1e6, choice));
  }

  /** Checks that without faults exactly one node becomes Active in time, and stays Active. */
  private void checkSettles(NetworkState net, Path path, boolean faultFree) {
    net.heal();
    Moment settledAt = net.now().plus(plan.settlingTime());
    Moment end = settledAt.plus(ExplorationPlan.INTERVAL.times(8));
    List<Integer> settledActive = null;
    String failure = null;
    for (Moment at = net.nextEventTime();
        failure == null && at != null && at.isBefore(end);
        at = net.nextEventTime()) {
      if (settledActive == null && !at.isBefore(settledAt)) {
        settledActive = net.active();
        failure = describeViolation(net, settledActive);
      }
      failure = failure == null ? net.step() : failure;
      failure =
          failure == null && settledActive != null
              ? describeChange(net, settledActive, settledAt)
              : failure;
    }
    if (failure == null
        && faultFree
        && net.activations() > (hasEqualPriorities() ? plan.nodeCount() : 1)) {
      failure = "Active changed with no trouble at all";
    }
    if (failure != null) {
      violation = new Violation(failure, path == null ? List.of() : path.choices());
    }
  }

  /** Describes a change of the Active node after settling; null: there is none. */
  private String describeChange(NetworkState net, List<Integer> settledActive, Moment settledAt) {
    return settledActive.equals(net.active())
        ? null
        : "Active changed from "
            + settledActive
            + " to "
            + net.active()
            + " with no trouble for "
            + net.now().since(settledAt).plus(plan.settlingTime()).seconds()
            + " s";
  }

  private boolean hasEqualPriorities() {
    return plan.priorities().stream().distinct().count() == 1;
  }

  /** Describes what is wrong with the Active nodes after settling; null: nothing. */
  private String describeViolation(NetworkState net, List<Integer> active) {
    int running = 0;
    int best = -1;
    for (int node = 0; node < plan.nodeCount(); node++) {
      if (net.isUp(node)) {
        running++;
        best = best < 0 || plan.priorities().get(node) > plan.priorities().get(best) ? node : best;
      }
    }
    if (running == 0) {
      return active.isEmpty() ? null : "Active " + active + " and none is up";
    }
    Span settlingTime = plan.settlingTime();
    if (active.size() != 1) {
      return "Active " + active + " after " + settlingTime.seconds() + " s without trouble";
    }
    if (plan.preempt()
        && !plan.priorities().get(active.get(0)).equals(plan.priorities().get(best))) {
      return "Active " + active + ", and " + best + " has the higher priority and preempts";
    }
    return null;
  }
}
