package linengauge.rehearsal;

import java.util.function.Consumer;
import linengauge.Span;

/**
 * The faults of one of the operators' test days at full size, in outline. A degraded box answers
 * set-ups with errors, not at all, or late.
 */
public enum Scenario {
  /** No faults. */
  CALM(simulation -> {}),
  /** Half of the boxes are replaced in steps while all fronts are restarted, a tenth at a time. */
  ROLL(
      simulation -> {
        for (int box = 0; box < simulation.boxCount(); box += 2) {
          int boxNumber = box;
          simulation.schedule(
              Span.ofSeconds(2 + 8.0 * box / simulation.boxCount()),
              () -> simulation.replaceBox(boxNumber));
        }
        for (int number = 0; number < simulation.frontCount(); number++) {
          int front = number;
          simulation.schedule(
              Span.ofSeconds(1 + number * 10 / simulation.frontCount()),
              () -> simulation.restart(front));
        }
      }),
  /** Seven in ten fronts are killed at once; one box in eight is degraded. */
  HERD(
      simulation -> {
        simulation.schedule(Span.NONE, () -> simulation.degradeBoxes(8));
        simulation.schedule(
            Span.ofSeconds(4),
            () -> {
              for (int number = 0; number < simulation.frontCount(); number++) {
                if (number % 10 < 7) {
                  simulation.killAndRestart(number);
                }
              }
            });
      }),
  /**
   * All boxes of a zone crash and restart cold after five seconds; a zone is cut off from the
   * others; one box in eight is degraded.
   */
  ZONE(
      simulation -> {
        simulation.schedule(Span.NONE, () -> simulation.degradeBoxes(8));
        for (int box = 1; box < simulation.boxCount(); box += 3) {
          int boxNumber = box;
          simulation.schedule(
              Span.ofSeconds(3), () -> simulation.crashBox(boxNumber, Span.ofSeconds(5)));
        }
        simulation.schedule(Span.ofSeconds(10), () -> simulation.isolateZone(2, Span.ofSeconds(3)));
      }),
  /**
   * A fifth of the boxes is unreachable for six seconds; discovery reports late, answers are lost
   * and connections are reset.
   */
  SPLIT(
      simulation -> {
        simulation.schedule(Span.ofSeconds(3), () -> simulation.silenceBoxes(Span.ofSeconds(6)));
        simulation.schedule(
            Span.ofSeconds(2),
            () -> simulation.degradeNetwork(Span.ofSeconds(3), 0.03, Span.ofSeconds(10)));
      }),
  /** Six in ten boxes are replaced within seven seconds. */
  JOIN(
      simulation -> {
        for (int box = 0; box < simulation.boxCount(); box++) {
          int boxNumber = box;
          if (box % 10 < 6) {
            simulation.schedule(
                Span.ofSeconds(2 + 7.0 * box / simulation.boxCount()),
                () -> simulation.replaceBox(boxNumber));
          }
        }
      });

  private final Consumer<FleetSimulation> faults;

  Scenario(Consumer<FleetSimulation> faults) {
    this.faults = faults;
  }

  /** A simulation of this scenario that has not run yet. */
  public FleetSimulation simulation(FleetSimulation.Size size, long seed) {
    return simulation(size, seed, FleetSimulation.Names.standard());
  }

  public FleetSimulation simulation(
      FleetSimulation.Size size, long seed, FleetSimulation.Names names) {
    FleetSimulation simulation = new FleetSimulation(size, seed, names);
    faults.accept(simulation);
    return simulation;
  }
}
