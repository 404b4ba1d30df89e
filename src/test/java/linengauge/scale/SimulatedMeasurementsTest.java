package linengauge.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import linengauge.Span;
import linengauge.membership.explore.ControlFigures;
import linengauge.membership.explore.DetectionFigures;
import linengauge.membership.explore.SimulationFigures;
import linengauge.membership.explore.SimulationFigures.Mechanism;
import linengauge.membership.explore.TrafficFigures;
import linengauge.scale.Measurement.Statistic;
import org.junit.jupiter.api.Test;

/** Guards against figures of simulations that end up under another role, event or statistic. */
class SimulatedMeasurementsTest {
  private static TrafficFigures traffic(double times) {
    return new TrafficFigures(
        60,
        120,
        times,
        2 * times,
        4 * times,
        5 * times,
        6 * times,
        7 * times,
        8 * times,
        9 * times,
        10 * times,
        11 * times,
        12 * times);
  }

  private static SimulationFigures run(String event, long seed, ControlFigures control) {
    var none = DetectionFigures.of(0, List.of());
    var ends = DetectionFigures.of(3, List.of(Span.ofSeconds(2), Span.ofSeconds(4)));
    return new SimulationFigures(
        control == null ? Mechanism.GOSSIP : Mechanism.LEASE,
        event,
        60,
        seed,
        traffic(seed),
        event.equals("QUIET") ? none : ends,
        none,
        none,
        control,
        0);
  }

  private static List<Double> values(
      List<Measurement> all, String event, String role, String quantity, Statistic statistic) {
    return all.stream()
        .filter(m -> m.event().equals(event) && m.role().equals(role))
        .filter(m -> m.quantity().equals(quantity) && m.statistic() == statistic)
        .map(Measurement::values)
        .findFirst()
        .orElse(List.of());
  }

  @Test
  void runsStandBesideEachOtherByEvent() {
    // given
    var runs =
        List.of(
            run("QUIET", 1, null),
            run("FRONT_KILLED", 1, null),
            run("QUIET", 2, null),
            run("FRONT_KILLED", 2, null));
    // when
    List<Measurement> all = SimulatedMeasurements.of(runs);
    // then
    assertTrue(all.stream().allMatch(m -> m.subject().equals("gossip") && m.size() == 60));
    String both = "bytes sent and received";
    assertEquals(List.of(3.0, 6.0), values(all, "quiet", "front", both, Statistic.MEAN));
    assertEquals(
        List.of(12.0, 24.0), values(all, "quiet", "front", both, Statistic.WORST_TEN_SECONDS));
    assertEquals(
        List.of(10.0, 20.0),
        values(all, "quiet", "front", both, Statistic.WORST_FRONT_TEN_SECONDS));
    String known = "end known after";
    String killed = "front killed";
    assertEquals(List.of(3.0, 3.0), values(all, killed, "detection", known, Statistic.MEAN));
    assertEquals(List.of(4.0, 4.0), values(all, killed, "detection", known, Statistic.MAXIMUM));
    assertEquals(
        List.of(1.0, 1.0), values(all, killed, "detection", "end not known by", Statistic.TOTAL));
    assertEquals(List.of(), values(all, "quiet", "detection", known, Statistic.MEAN));
    assertTrue(all.stream().noneMatch(m -> m.role().equals(PageTables.CONTROL_MACHINE)));
  }

  @Test
  void controlMachinesHaveARoleOfTheirOwn() {
    var control = new ControlFigures(6, traffic(100), traffic(10), 5, 1, 2);
    List<Measurement> all = SimulatedMeasurements.of(List.of(run("QUIET", 1, control)));
    String role = PageTables.CONTROL_MACHINE;
    assertTrue(all.stream().allMatch(m -> m.subject().equals("lease")));
    assertEquals(
        List.of(300.0), values(all, "quiet", role, "bytes sent and received", Statistic.MEAN));
    assertEquals(List.of(30.0), values(all, "quiet", role, "bytes of the log", Statistic.MEAN));
    assertEquals(List.of(5.0), values(all, "quiet", role, "changes", Statistic.TOTAL));
    assertEquals(List.of(2.0), values(all, "quiet", role, "expired lives", Statistic.TOTAL));
    assertEquals(
        List.of(3.0), values(all, "quiet", "front", "bytes sent and received", Statistic.MEAN));
  }
}
