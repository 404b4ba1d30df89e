package linengauge.scale;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import linengauge.membership.explore.SimulationFigures;
import linengauge.scale.Measurement.Statistic;

/** Plays a simulated fleet at each size with each seed. */
public final class SimulationSweep {
  private static final double NANOS = 1e9;

  private final FleetSimulator simulator;
  private final List<Integer> sizes;
  private final List<Long> seeds;
  private final List<String> events;
  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

  public SimulationSweep(
      FleetSimulator simulator, List<Integer> sizes, List<Long> seeds, List<String> events) {
    this.simulator = simulator;
    this.sizes = sizes;
    this.seeds = seeds;
    this.events = events.isEmpty() ? simulator.events() : List.copyOf(events);
  }

  /** A line for each reason for which it cannot be run here. */
  public List<String> refusals(MachineLimits limits) {
    List<String> reasons = new ArrayList<>();
    for (int size : sizes) {
      if (size < simulator.leastFronts() || size > simulator.mostFronts()) {
        reasons.add(
            String.format(
                "%d fronts: from %d to %d can be played",
                size, simulator.leastFronts(), simulator.mostFronts()));
        continue;
      }
      long heap = simulator.heapBytes(size);
      for (String reason : limits.passedBy(new MachineLimits.Wanted(heap, heap, 0, 0))) {
        reasons.add(size + " fronts: " + reason);
      }
    }
    for (String event : events) {
      if (!simulator.events().contains(event)) {
        reasons.add("no event '" + event + "'; there are " + simulator.events());
      }
    }
    return reasons;
  }

  /** Plays all; each size is recorded once its seeds are through. */
  public void run(ScaleRecorder recorder) throws IOException {
    for (int size : sizes) {
      List<SimulationFigures> figures = new ArrayList<>();
      List<Double> processor = new ArrayList<>();
      for (long seed : seeds) {
        long before = threads.getCurrentThreadCpuTime();
        FleetSimulator.Played run = simulator.play(size, seed, events);
        double used = (threads.getCurrentThreadCpuTime() - before) / NANOS;
        processor.add(100 * used / size / run.virtualSeconds());
        figures.addAll(run.figures().stream().filter(this::isAskedFor).toList());
      }
      List<Measurement> measured = new ArrayList<>(SimulatedMeasurements.of(figures));
      measured.add(
          new Measurement(
              simulator.subject(),
              PageTables.FRONT,
              "whole run",
              size,
              "processor time, the simulation's own included",
              "% of a core",
              Statistic.MEAN,
              processor));
      recorder.add(measured);
    }
  }

  private boolean isAskedFor(SimulationFigures figures) {
    return events.contains(SimulatedMeasurements.eventName(figures.event()));
  }
}
