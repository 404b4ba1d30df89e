package linengauge.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import linengauge.membership.explore.DetectionFigures;
import linengauge.membership.explore.SimulationFigures;
import linengauge.membership.explore.TrafficFigures;
import linengauge.scale.Measurement.Statistic;

/** Figures of simulated fleets as measurements. */
public final class SimulatedMeasurements {
  private static final String BYTES_A_SECOND = "B/s";
  private static final String DATAGRAMS_A_SECOND = "1/s";
  private static final String SECONDS = "s";

  private final List<SimulationFigures> runs;
  private final String subject;
  private final int size;
  private final String event;
  private final List<Measurement> measured = new ArrayList<>();

  private SimulatedMeasurements(List<SimulationFigures> runs) {
    this.runs = runs;
    this.subject = runs.get(0).mechanism().name().toLowerCase(Locale.ROOT);
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
    detection("end", SimulationFigures::ends);
    detection("leaving", SimulationFigures::leavings);
    detection("beginning", SimulationFigures::beginnings);
    add(PageTables.DETECTION, "rules broken", "", Statistic.TOTAL, SimulationFigures::broken);
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
    traffic(role, run -> run.control().traffic());
    bytes(role, "bytes of the log", Statistic.MEAN, run -> run.control().log().meanTotal());
    bytes(
        role,
        "bytes of the log",
        Statistic.WORST_TEN_SECONDS,
        run -> run.control().log().worstTotalOfAll());
    add(role, "changes", "", Statistic.TOTAL, run -> run.control().versions());
    add(role, "failed fronts", "", Statistic.TOTAL, run -> run.control().failures());
    add(role, "expired lives", "", Statistic.TOTAL, run -> run.control().expiries());
  }

  private interface Detection {
    DetectionFigures of(SimulationFigures run);
  }

  /** How soon all fronts knew of changes of one kind; nothing where there was none. */
  private void detection(String change, Detection detection) {
    if (runs.stream().noneMatch(run -> detection.of(run).expected() > 0)) {
      return;
    }
    String known = change + " known after";
    String role = PageTables.DETECTION;
    add(role, known, SECONDS, Statistic.MEAN, run -> detection.of(run).mean().seconds());
    add(role, known, SECONDS, Statistic.P99, run -> detection.of(run).p99().seconds());
    add(role, known, SECONDS, Statistic.MAXIMUM, run -> detection.of(run).last().seconds());
    add(
        role,
        change + " not known by",
        "pairs",
        Statistic.TOTAL,
        run -> detection.of(run).expected() - detection.of(run).known());
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
    measured.add(new Measurement(subject, role, event, size, quantity, unit, statistic, values));
  }
}
