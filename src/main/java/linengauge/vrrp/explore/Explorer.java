package linengauge.vrrp.explore;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import linengauge.Moment;
import linengauge.Span;

/**
 * Plays every schedule of troubles up to a bound through the real state machine: advertisements
 * lost or late, nodes that crash, start again or stand still, links that are cut one way or both,
 * at every point between two happenings. After each it lets the troubles end and looks whether one
 * node comes to be Active, and stays. What it has been in before is not played again.
 */
public final class Explorer {
  /** A broken property with the schedule that leads to it; null where none is. */
  public record Violation(String description, List<String> schedule) {}

  /** What an exploration came to. */
  public record Outcome(long schedules, long states, Violation violation) {
    public boolean passed() {
      return violation == null;
    }
  }

  /** One choice and those before it. */
  private record Trail(Trail before, String choice) {
    List<String> all() {
      List<String> list = new ArrayList<>();
      for (Trail t = this; t != null; t = t.before) {
        list.add(0, t.choice);
      }
      return list;
    }
  }

  private final ExplorationPlan plan;

  /** States met, with what was still allowed in them; bounded by the plan's depth and faults. */
  private final Map<List<Object>, Integer> met = new HashMap<>();

  private long schedules;
  private Violation found;

  private Explorer(ExplorationPlan plan) {
    this.plan = plan;
  }

  public static Outcome explore(ExplorationPlan plan) {
    Explorer e = new Explorer(plan);
    e.go(new NetworkState(plan), plan.depth(), plan.maxFaults(), null);
    return new Outcome(e.schedules, e.met.size(), e.found);
  }

  private void go(NetworkState w, int depth, int faults, Trail trail) {
    if (found != null) {
      return;
    }
    List<Object> mark = w.mark();
    mark.add(faults);
    Integer before = met.get(mark);
    if (before != null && before >= depth) {
      return; // met with as much to come
    }
    met.put(mark, depth);
    if (depth == 0 || faults == 0) {
      schedules++;
      settle(new NetworkState(w), trail, faults == plan.maxFaults());
      return;
    }
    if (faults > 0) {
      faultsOfNextMessage(w, depth, faults, trail);
      for (int n = 0; n < plan.nodeCount(); n++) {
        troublesOf(w, n, depth, faults, trail);
      }
    }
    if (w.nextAt() == null) {
      return; // all are down, and nothing is on its way
    }
    NetworkState on = new NetworkState(w);
    String broken = on.step();
    if (broken != null) {
      found = new Violation(broken, trail == null ? List.of() : trail.all());
      return;
    }
    go(on, depth - 1, faults, trail);
  }

  private void faultsOfNextMessage(NetworkState w, int depth, int faults, Trail trail) {
    NetworkState.Message next = w.nextMessage();
    if (next == null) {
      return;
    }
    String way = next.from() + " to " + next.to();
    NetworkState lost = new NetworkState(w);
    lost.lose(next);
    go(lost, depth - 1, faults - 1, note(trail, w, "lost: " + way));
    NetworkState late = new NetworkState(w);
    late.delay(next, ExplorationPlan.INTERVAL.times(0.7));
    go(late, depth - 1, faults - 1, note(trail, w, "late: " + way));
  }

  private void troublesOf(NetworkState w, int n, int depth, int faults, Trail trail) {
    if (!w.isUp(n)) {
      NetworkState restarted = new NetworkState(w);
      restarted.restart(n);
      go(restarted, depth - 1, faults - 1, note(trail, w, "starts: " + n));
      return;
    }
    NetworkState crashed = new NetworkState(w);
    crashed.crash(n);
    go(crashed, depth - 1, faults - 1, note(trail, w, "crashes: " + n));
    if (!w.isFrozen(n)) {
      for (double intervals : new double[] {1.5, 6}) {
        NetworkState frozen = new NetworkState(w);
        frozen.freeze(n, ExplorationPlan.INTERVAL.times(intervals));
        go(
            frozen,
            depth - 1,
            faults - 1,
            note(trail, w, "stands still for " + intervals + " intervals: " + n));
      }
    }
    for (int to = 0; to < plan.nodeCount(); to++) {
      if (to == n) {
        continue;
      }
      NetworkState oneWay = new NetworkState(w);
      oneWay.cut(n, to, !w.isCut(n, to));
      go(
          oneWay,
          depth - 1,
          faults - 1,
          note(trail, w, (w.isCut(n, to) ? "heard again: " : "not heard: ") + n + " by " + to));
      if (to > n) {
        NetworkState both = new NetworkState(w);
        both.cut(n, to, !w.isCut(n, to));
        both.cut(to, n, !w.isCut(n, to));
        go(
            both,
            depth - 1,
            faults - 1,
            note(trail, w, (w.isCut(n, to) ? "joined: " : "parted: ") + n + " and " + to));
      }
    }
  }

  private static Trail note(Trail trail, NetworkState w, String choice) {
    return new Trail(
        trail, String.format(java.util.Locale.ROOT, "%.2f s %s", w.now().micros() / 1e6, choice));
  }

  /** Troubles are over: one node is to be Active within a stated time, and to stay it. */
  private void settle(NetworkState w, Trail trail, boolean noTrouble) {
    w.heal();
    Moment settled = w.now().plus(plan.settlingTime());
    Moment end = settled.plus(ExplorationPlan.INTERVAL.times(8));
    List<Integer> then = null;
    String broken = null;
    for (Moment at = w.nextAt(); broken == null && at != null && at.before(end); at = w.nextAt()) {
      if (then == null && !at.before(settled)) {
        then = w.active();
        broken = wrong(w, then);
      }
      broken = broken == null ? w.step() : broken;
      broken = broken == null && then != null ? changed(w, then, settled) : broken;
    }
    if (broken == null && noTrouble && w.activations() > (allEqual() ? plan.nodeCount() : 1)) {
      broken = "Active changed with no trouble at all";
    }
    if (broken != null) {
      found = new Violation(broken, trail == null ? List.of() : trail.all());
    }
  }

  /**
   * What is said of an Active that is another than at the time of settling; null: it is the same.
   */
  private String changed(NetworkState w, List<Integer> then, Moment settled) {
    return then.equals(w.active())
        ? null
        : "Active changed from "
            + then
            + " to "
            + w.active()
            + " with no trouble for "
            + w.now().since(settled).plus(plan.settlingTime()).seconds()
            + " s";
  }

  private boolean allEqual() {
    return plan.priorities().stream().distinct().count() == 1;
  }

  /** What is wrong with who is Active once things have settled; null: nothing. */
  private String wrong(NetworkState w, List<Integer> active) {
    int up = 0;
    int best = -1;
    for (int n = 0; n < plan.nodeCount(); n++) {
      if (w.isUp(n)) {
        up++;
        best = best < 0 || plan.priorities().get(n) > plan.priorities().get(best) ? n : best;
      }
    }
    if (up == 0) {
      return active.isEmpty() ? null : "Active " + active + " and none is up";
    }
    Span after = plan.settlingTime();
    if (active.size() != 1) {
      return "Active " + active + " after " + after.seconds() + " s without trouble";
    }
    if (plan.preempt()
        && !plan.priorities().get(active.get(0)).equals(plan.priorities().get(best))) {
      return "Active " + active + ", and " + best + " has the higher priority and preempts";
    }
    return null;
  }
}
