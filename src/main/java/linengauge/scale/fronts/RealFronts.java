package linengauge.scale.fronts;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import linengauge.scale.Measurement;
import linengauge.scale.Measurement.Statistic;
import linengauge.scale.PageTables;
import linengauge.scale.ScaleRecorder;

/** Measures a real front under each load at each size, one front at a time. */
public final class RealFronts {
  /** Notified before each run of a measurement. */
  public interface Progress {
    void runStarting(String load, int size, int run);
  }

  private interface Load {
    Map<String, Double> run(int size) throws IOException, InterruptedException;
  }

  private record NamedLoad(String event, List<Integer> sizes, Load load) {}

  private static final Map<String, String> UNITS =
      Map.of(
          FrontLoads.MEMORY, "MB",
          FrontLoads.PROCESSOR, "% of a core",
          FrontLoads.HELD, "",
          FrontLoads.DESCRIPTORS, "",
          FrontLoads.ANSWERED, "",
          FrontLoads.TAKEN_OVER, "s",
          FrontLoads.TAKEN_OVER_PROCESSOR, "s");

  private final FrontPlan plan;
  private final Progress progress;

  public RealFronts(FrontPlan plan, Progress progress) {
    this.plan = plan;
    this.progress = progress;
  }

  /** Runs the loads whose size is a number of connections. */
  public void connections(ScaleRecorder recorder) throws IOException, InterruptedException {
    var loads = new FrontLoads(plan);
    run(recorder, new NamedLoad("idle connections", plan.connections(), loads::idle));
    run(recorder, new NamedLoad("playing connections", plan.connections(), loads::playing));
    run(recorder, new NamedLoad("reconnects after a kill", plan.connections(), loads::reconnects));
  }

  /** Runs the loads whose size is a message rate. */
  public void messages(ScaleRecorder recorder) throws IOException, InterruptedException {
    var loads = new FrontLoads(plan);
    run(recorder, new NamedLoad("set-ups", plan.rates(), loads::setUps));
    run(recorder, new NamedLoad("deliveries", plan.rates(), loads::deliveries));
  }

  private void run(ScaleRecorder recorder, NamedLoad load)
      throws IOException, InterruptedException {
    for (int size : load.sizes()) {
      Map<String, List<Double>> figures = new LinkedHashMap<>();
      for (int run = 1; run <= plan.runs(); run++) {
        progress.runStarting(load.event(), size, run);
        load.load()
            .run(size)
            .forEach(
                (name, value) -> figures.computeIfAbsent(name, n -> new ArrayList<>()).add(value));
      }
      recorder.add(measurements(load.event(), size, figures));
    }
  }

  private static List<Measurement> measurements(
      String event, int size, Map<String, List<Double>> figures) {
    List<Measurement> measured = new ArrayList<>();
    figures.forEach(
        (name, values) ->
            measured.add(
                new Measurement(
                    PageTables.SERVE,
                    PageTables.FRONT,
                    event,
                    size,
                    name,
                    UNITS.get(name),
                    Statistic.MEAN,
                    values)));
    return measured;
  }
}
