package linengauge.drill;

import java.util.List;
import linengauge.vrrp.RouterSettings;
import linengauge.vrrp.VirtualRouter;
import linengauge.vrrp.explore.ExplorationPlan;
import linengauge.vrrp.explore.Explorer;

/**
 * Explores groups of two and three nodes, with the standard alone and with all that is added to it.
 */
public final class ExploreDrill {
  private ExploreDrill() {}

  public static Report run(int depth, int faults) {
    Report r = new Report("explore, " + depth + " happenings, " + faults + " troubles", 0);
    for (List<Integer> priorities :
        List.of(
            List.of(200, 100), List.of(100, 100), List.of(200, 150, 100), List.of(100, 100, 100))) {
      for (boolean preempt : new boolean[] {true, false}) {
        for (boolean more : new boolean[] {false, true}) {
          explore(r, priorities, preempt, more, depth, faults);
        }
      }
    }
    return r;
  }

  private static void explore(
      Report r, List<Integer> priorities, boolean preempt, boolean more, int depth, int faults) {
    String what =
        "priorities " + priorities + (preempt ? ", preempt" : "") + (more ? ", additions" : "");
    long from = System.nanoTime();
    Explorer.Outcome o =
        Explorer.explore(
            new ExplorationPlan(
                priorities,
                preempt,
                more ? ExplorationPlan.shortExtensions() : RouterSettings.Extensions.NONE,
                depth,
                faults,
                VirtualRouter::new));
    r.claim(
        what,
        "one comes to be Active and stays",
        o.passed() ? "in " + o.schedules() + " schedules" : o.violation().description(),
        o.passed());
    r.figure(what, o.states() + " states, " + (System.nanoTime() - from) / 1_000_000 + " ms");
    if (!o.passed()) {
      r.figure(what + ": schedule", o.violation().schedule());
    }
  }
}
