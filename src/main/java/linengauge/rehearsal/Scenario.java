package linengauge.rehearsal;

import java.util.function.Consumer;
import linengauge.Span;

/** The faults of one of the operators' test days at full size, in outline. */
public enum Scenario {
  /** No faults. */
  CALM(day -> {}),
  /** Half of the boxes are replaced in steps while all fronts are restarted, a tenth at a time. */
  ROLL(
      day -> {
        for (int box = 0; box < day.boxCount(); box += 2) {
          int b = box;
          day.schedule(Span.ofSeconds(2 + 8.0 * box / day.boxCount()), () -> day.replaceBox(b));
        }
        for (int f = 0; f < day.frontCount(); f++) {
          int front = f;
          day.schedule(Span.ofSeconds(1 + f * 10 / day.frontCount()), () -> day.restart(front));
        }
      }),
  /** Seven in ten fronts are killed at once; one box in eight is degraded. */
  HERD(
      day -> {
        day.schedule(Span.NONE, () -> day.degradeBoxes(8));
        day.schedule(
            Span.ofSeconds(4),
            () -> {
              for (int f = 0; f < day.frontCount(); f++) {
                if (f % 10 < 7) {
                  day.killAndRestart(f);
                }
              }
            });
      }),
  /**
   * All boxes of a zone crash and restart cold after five seconds; a zone is cut off from the
   * others; one box in eight is degraded.
   */
  ZONE(
      day -> {
        day.schedule(Span.NONE, () -> day.degradeBoxes(8));
        for (int box = 1; box < day.boxCount(); box += 3) {
          int b = box;
          day.schedule(Span.ofSeconds(3), () -> day.crashBox(b, Span.ofSeconds(5)));
        }
        day.schedule(Span.ofSeconds(10), () -> day.isolateZone(2, Span.ofSeconds(3)));
      }),
  /**
   * A fifth of the boxes is unreachable for six seconds; discovery reports late, answers are lost
   * and connections are reset.
   */
  SPLIT(
      day -> {
        day.schedule(Span.ofSeconds(3), () -> day.silenceBoxes(Span.ofSeconds(6)));
        day.schedule(
            Span.ofSeconds(2),
            () -> day.degradeNetwork(Span.ofSeconds(3), 0.03, Span.ofSeconds(10)));
      }),
  /** Six in ten boxes are replaced within seven seconds. */
  JOIN(
      day -> {
        for (int box = 0; box < day.boxCount(); box++) {
          int b = box;
          if (box % 10 < 6) {
            day.schedule(Span.ofSeconds(2 + 7.0 * box / day.boxCount()), () -> day.replaceBox(b));
          }
        }
      });

  private final Consumer<FleetSimulation> faults;

  Scenario(Consumer<FleetSimulation> troubles) {
    this.faults = troubles;
  }

  /** A simulation of this scenario that has not run yet. */
  public FleetSimulation simulation(FleetSimulation.Size size, long seed) {
    return simulation(size, seed, FleetSimulation.Names.standard());
  }

  public FleetSimulation simulation(
      FleetSimulation.Size size, long seed, FleetSimulation.Names names) {
    FleetSimulation day = new FleetSimulation(size, seed, names);
    faults.accept(day);
    return day;
  }
}
