package linengauge.drill;

import java.util.List;
import linengauge.vrrp.RouterSettings;
import linengauge.vrrp.VirtualRouter;
import linengauge.vrrp.explore.ExplorationPlan;
import linengauge.vrrp.explore.Explorer;

/** Explores groups of two and three nodes, both with standard VRRP and with all additions to it. */
public final class ExploreDrill {
  private ExploreDrill() {}

  public static Report run(int depth, int faults) {
    Report report = new Report("explore, " + depth + " happenings, " + faults + " troubles", 0);
    for (List<Integer> priorities :
        List.of(
            List.of(200, 100), List.of(100, 100), List.of(200, 150, 100), List.of(100, 100, 100))) {
      for (boolean preempt : new boolean[] {true, false}) {
        for (boolean withAdditions : new boolean[] {false, true}) {
          explore(report, priorities, preempt, withAdditions, depth, faults);
        }
      }
    }
    return report;
  }

  private static void explore(
      Report report,
      List<Integer> priorities,
      boolean preempt,
      boolean withAdditions,
      int depth,
      int faults) {
    String configuration =
        "priorities "
            + priorities
            + (preempt ? ", preempt" : "")
            + (withAdditions ? ", additions" : "");
    long startedAtNanos = System.nanoTime();
    Explorer.Outcome outcome =
        Explorer.explore(
            new ExplorationPlan(
                priorities,
                preempt,
                withAdditions ? ExplorationPlan.shortExtensions() : RouterSettings.Extensions.NONE,
                depth,
                faults,
                VirtualRouter::new));
    report.addClaim(
        configuration,
        "one comes to be Active and stays",
        outcome.passed()
            ? "in " + outcome.schedules() + " schedules"
            : outcome.violation().description(),
        outcome.passed());
    report.addFigure(
        configuration,
        outcome.states() + " states, " + (System.nanoTime() - startedAtNanos) / 1_000_000 + " ms");
    if (!outcome.passed()) {
      report.addFigure(configuration + ": schedule", outcome.violation().schedule());
    }
  }
}
