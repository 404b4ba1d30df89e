package linengauge.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import linengauge.Span;
import linengauge.membership.explore.DetectionFigures;
import linengauge.membership.explore.SimulationFigures;
import linengauge.membership.explore.TrafficFigures;
import linengauge.scale.Measurement.Statistic;

/** Figures of simulated fleets as measurements. */
public final class SimulatedMeasurements {
  private static final String BYTES_A_SECOND = "B/s";
  private static final String DATAGRAMS_A_SECOND = "1/s";
  private static final String SECONDS = "s";

  /** Of control machines, to share what all of them sent over changes and failures. */
  public static final int CONTROL_MACHINES = 6;

  private final List<SimulationFigures> runs;
  private final int size;
  private final String event;
  private final List<Measurement> measured = new ArrayList<>();

  private SimulatedMeasurements(List<SimulationFigures> runs) {
    this.runs = runs;
    this.size = runs.get(0).fronts();
    this.event = eventName(runs.get(0).event());
  }

  /** The measurements of runs of one size: for each event the runs' values beside each other. */
  public static List<Measurement> of(List<SimulationFigures> runs) {
    Map<String, List<SimulationFigures>> events = new LinkedHashMap<>();
    for (SimulationFigures run : runs) {
      events.computeIfAbsent(run.event(), name -> new ArrayList<>()).add(run);
    }
    List<Measurement> all = new ArrayList<>();
    events.values().forEach(same -> all.addAll(new SimulatedMeasurements(same).measurements()));
    return all;
  }

  /** An event's name in tables: FRONT_KILLED is "front killed". */
  public static String eventName(String event) {
    return event.toLowerCase(Locale.ROOT).replace('_', ' ');
  }

  private List<Measurement> measurements() {
    traffic(PageTables.FRONT, SimulationFigures::traffic);
    if (runs.stream().allMatch(run -> run.control() != null)) {
      control();
    }
    if (runs.stream().anyMatch(run -> run.detection().expected() > 0)) {
      detection();
    }
    return measured;
  }

  private interface Traffic {
    TrafficFigures of(SimulationFigures run);
  }

  private void traffic(String role, Traffic traffic) {
    bytes(role, "bytes sent", Statistic.MEAN, run -> traffic.of(run).meanSent());
    bytes(role, "bytes received", Statistic.MEAN, run -> traffic.of(run).meanReceived());
    String both = "bytes sent and received";
    bytes(role, both, Statistic.MEAN, run -> traffic.of(run).meanTotal());
    bytes(role, both, Statistic.WORST_TEN_SECONDS, run -> traffic.of(run).worstTotalOfAll());
    bytes(role, both, Statistic.WORST_FRONT_TEN_SECONDS, run -> traffic.of(run).worstTotal());
    add(
        role,
        "datagrams sent",
        DATAGRAMS_A_SECOND,
        Statistic.MEAN,
        run -> traffic.of(run).meanDatagramsSent());
  }

  private void control() {
    String role = PageTables.CONTROL_MACHINE;
    traffic(role, SimulationFigures::control);
    if (runs.stream().allMatch(run -> run.changes() > 0)) {
      add(
          role,
          "bytes of all, by change of the directory",
          "B",
          Statistic.MEAN,
          run -> run.controlBytesAChange(CONTROL_MACHINES));
    }
    if (runs.stream().allMatch(run -> run.failures() > 0)) {
      add(
          role,
          "bytes of all, by failed front",
          "B",
          Statistic.MEAN,
          run -> run.controlBytesAFailure(CONTROL_MACHINES));
    }
  }

  private void detection() {
    String known = "known after";
    seconds(known, Statistic.MEAN, DetectionFigures::mean);
    seconds(known, Statistic.P99, DetectionFigures::p99);
    seconds(known, Statistic.MAXIMUM, DetectionFigures::last);
    String role = PageTables.DETECTION;
    add(role, "to be known", "pairs", Statistic.TOTAL, run -> run.detection().expected());
    add(role, "known", "pairs", Statistic.TOTAL, run -> run.detection().known());
    add(role, "rules broken", "", Statistic.TOTAL, SimulationFigures::broken);
  }

  private interface Delay {
    Span of(DetectionFigures detection);
  }

  private void seconds(String quantity, Statistic statistic, Delay delay) {
    add(
        PageTables.DETECTION,
        quantity,
        SECONDS,
        statistic,
        run -> delay.of(run.detection()).seconds());
  }

  private void bytes(
      String role,
      String quantity,
      Statistic statistic,
      ToDoubleFunction<SimulationFigures> value) {
    add(role, quantity, BYTES_A_SECOND, statistic, value);
  }

  private void add(
      String role,
      String quantity,
      String unit,
      Statistic statistic,
      ToDoubleFunction<SimulationFigures> value) {
    List<Double> values = runs.stream().map(run -> value.applyAsDouble(run)).toList();
    measured.add(new Measurement(role, event, size, quantity, unit, statistic, values));
  }
}
