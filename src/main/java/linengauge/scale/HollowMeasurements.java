package linengauge.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.ToDoubleFunction;
import linengauge.scale.Measurement.Statistic;
import linengauge.scale.hollow.HollowFigures;
import linengauge.scale.hollow.HollowFigures.ControlLoad;
import linengauge.scale.hollow.HollowFigures.FleetFigures;
import linengauge.scale.hollow.HollowFigures.FrontLoad;
import linengauge.scale.hollow.HollowFigures.Phase;
import linengauge.scale.hollow.HollowFigures.Rate;

/** Figures of hollow fleets as measurements. */
public final class HollowMeasurements {
  private static final String BYTES_A_SECOND = "B/s";
  private static final String PERCENT_OF_A_CORE = "% of a core";
  private static final double MILLIS_A_PERCENT = 10;
  private static final double KB_A_MB = 1024;

  /** What tells one measurement of a run from another. */
  private record Key(
      String subject,
      String role,
      String event,
      String quantity,
      String unit,
      Statistic statistic) {}

  private final int size;
  private final Map<Key, List<Double>> values = new LinkedHashMap<>();

  private HollowMeasurements(int size) {
    this.size = size;
  }

  /** The measurements of runs of one plan: the runs' values beside each other. */
  public static List<Measurement> of(List<HollowFigures> runs) {
    var measurements = new HollowMeasurements(runs.get(0).plan().fleet().fronts());
    for (HollowFigures run : runs) {
      for (FleetFigures fleet : run.fleets()) {
        String subject = fleet.method().name().toLowerCase(Locale.ROOT);
        fleet.phases().forEach(phase -> measurements.phase(subject, phase));
      }
    }
    return measurements.measured();
  }

  private List<Measurement> measured() {
    List<Measurement> all = new ArrayList<>();
    values.forEach(
        (key, runs) ->
            all.add(
                new Measurement(
                    key.subject(),
                    key.role(),
                    key.event(),
                    size,
                    key.quantity(),
                    key.unit(),
                    key.statistic(),
                    runs)));
    return all;
  }

  private void phase(String subject, Phase phase) {
    front(subject, phase.name(), phase.load());
    if (!phase.controlMachines().isEmpty()) {
      control(subject, phase.name(), phase.controlMachines());
    }
    String role = PageTables.DETECTION;
    if (phase.allKnowSeconds() >= 0) {
      add(subject, role, phase, "all know after", "s", Statistic.MAXIMUM, phase.allKnowSeconds());
    }
    int wronglyGone = phase.wronglyGone().size();
    add(subject, role, phase, "wrongly given up", "fronts", Statistic.TOTAL, wronglyGone);
    long drops = phase.drops().values().stream().mapToLong(Long::longValue).sum();
    add(subject, role, phase, "dropped", "datagrams", Statistic.TOTAL, drops);
  }

  private void add(
      String subject,
      String role,
      Phase phase,
      String quantity,
      String unit,
      Statistic statistic,
      double value) {
    add(new Key(subject, role, phase.name(), quantity, unit, statistic), value);
  }

  private void add(Key key, double value) {
    values.computeIfAbsent(key, k -> new ArrayList<>()).add(value);
  }

  private void front(String subject, String event, FrontLoad load) {
    String role = PageTables.FRONT;
    rate(subject, event, "bytes sent and received", load.wireBytes());
    add(
        new Key(
            subject,
            role,
            event,
            "bytes sent and received",
            BYTES_A_SECOND,
            Statistic.WORST_FRONT_SAMPLE),
        load.highestFrontWireBytes());
    Rate processor = load.processorMillis();
    String time = "processor time";
    add(
        new Key(subject, role, event, time, PERCENT_OF_A_CORE, Statistic.MEAN),
        processor.mean() / MILLIS_A_PERCENT);
    add(
        new Key(subject, role, event, time, PERCENT_OF_A_CORE, Statistic.WORST_SAMPLE),
        processor.highestSecond() / MILLIS_A_PERCENT);
    memory(subject, role, event, "heap", load.heapKb());
    memory(subject, role, event, "resident memory", load.residentKb());
  }

  private void rate(String subject, String event, String quantity, Rate rate) {
    String role = PageTables.FRONT;
    add(new Key(subject, role, event, quantity, BYTES_A_SECOND, Statistic.MEAN), rate.mean());
    add(
        new Key(subject, role, event, quantity, BYTES_A_SECOND, Statistic.WORST_SAMPLE),
        rate.highestSecond());
  }

  /** Where it was measured in this phase. */
  private void memory(String subject, String role, String event, String quantity, double kb) {
    if (kb >= 0) {
      add(new Key(subject, role, event, quantity, "MB", Statistic.MEAN), kb / KB_A_MB);
    }
  }

  private void control(String subject, String event, List<ControlLoad> machines) {
    both(
        subject,
        event,
        "bytes sent and received, without the log",
        BYTES_A_SECOND,
        machines,
        machine -> machine.sentBytes() + machine.receivedBytes());
    both(subject, event, "bytes of the log", BYTES_A_SECOND, machines, ControlLoad::logBytes);
    both(
        subject,
        event,
        "processor time",
        PERCENT_OF_A_CORE,
        machines,
        machine -> machine.processorMillis() / MILLIS_A_PERCENT);
    String role = PageTables.CONTROL_MACHINE;
    memory(subject, role, event, "heap", mean(machines, ControlLoad::heapKb));
    memory(subject, role, event, "resident memory", mean(machines, ControlLoad::residentKb));
  }

  private static double mean(List<ControlLoad> machines, ToDoubleFunction<ControlLoad> quantity) {
    OptionalDouble mean =
        machines.stream().mapToDouble(quantity).filter(value -> value >= 0).average();
    return mean.orElse(-1);
  }

  /** The mean of the control machines, and the one with the most. */
  private void both(
      String subject,
      String event,
      String quantity,
      String unit,
      List<ControlLoad> machines,
      ToDoubleFunction<ControlLoad> value) {
    String role = PageTables.CONTROL_MACHINE;
    double most = machines.stream().mapToDouble(value).max().orElseThrow();
    double mean = machines.stream().mapToDouble(value).average().orElseThrow();
    add(new Key(subject, role, event, quantity, unit, Statistic.MEAN), mean);
    add(new Key(subject, role, event, quantity, unit, Statistic.MAXIMUM), most);
  }
}
