package linengauge.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import linengauge.Span;
import linengauge.lease.LeaseSettings;
import linengauge.membership.MembershipSettings;
import linengauge.scale.Measurement.Statistic;
import linengauge.scale.hollow.HollowFigures;
import linengauge.scale.hollow.HollowFigures.ControlLoad;
import linengauge.scale.hollow.HollowFigures.FleetFigures;
import linengauge.scale.hollow.HollowFigures.FrontLoad;
import linengauge.scale.hollow.HollowFigures.Phase;
import linengauge.scale.hollow.HollowFigures.Rate;
import linengauge.scale.hollow.HollowPlan;
import linengauge.scale.hollow.HollowPlan.Method;
import org.junit.jupiter.api.Test;

/** Guards against figures of a run that end up under another name, unit or method. */
class HollowMeasurementsTest {
  private static HollowFigures run(double wire, double allKnow) {
    var plan =
        new HollowPlan(
            List.of(Method.LEASE, Method.GOSSIP),
            HollowPlan.Fleet.of(60, 12),
            0,
            LeaseSettings.USUAL,
            MembershipSettings.DEFAULT,
            new HollowPlan.Times(Span.NONE, Span.ofSeconds(60), Span.ofSeconds(60)),
            List.of(),
            256,
            new HollowPlan.Machine(Path.of("none"), 21000));
    Rate none = new Rate(0, 0);
    var load =
        new FrontLoad(
            none, none, none, none, new Rate(wire, 2 * wire), 3 * wire, new Rate(4, 8), 512, -1);
    var control =
        List.of(
            new ControlLoad(1, true, 100, 200, 0, 0, 50, 20, 1024, 2048),
            new ControlLoad(2, false, 10, 20, 0, 0, 50, 10, 1024, 2048));
    Phase lease =
        new Phase("quiet", 60, allKnow, 60, load, List.of(7), control, Map.of("damaged", 3L));
    Phase gossip = new Phase("quiet", 60, allKnow, 60, load, List.of(), List.of(), Map.of());
    return new HollowFigures(
        plan,
        false,
        "",
        List.of(
            new FleetFigures(Method.LEASE, List.of(lease)),
            new FleetFigures(Method.GOSSIP, List.of(gossip))));
  }

  private static List<Double> values(
      List<Measurement> all, String subject, String role, String quantity, Statistic statistic) {
    return all.stream()
        .filter(m -> m.subject().equals(subject) && m.role().equals(role))
        .filter(m -> m.quantity().equals(quantity) && m.statistic() == statistic)
        .map(Measurement::values)
        .findFirst()
        .orElse(List.of());
  }

  @Test
  void eachFigureStandsUnderItsMethodRoleAndUnit() {
    // when
    List<Measurement> all = HollowMeasurements.of(List.of(run(100, 5), run(200, -1)));
    // then
    assertTrue(all.stream().allMatch(m -> m.size() == 60 && m.event().equals("quiet")));
    String both = "bytes sent and received";
    assertEquals(List.of(100.0, 200.0), values(all, "lease", "front", both, Statistic.MEAN));
    assertEquals(
        List.of(200.0, 400.0), values(all, "gossip", "front", both, Statistic.WORST_SAMPLE));
    assertEquals(
        List.of(300.0, 600.0), values(all, "lease", "front", both, Statistic.WORST_FRONT_SAMPLE));
    assertEquals(
        List.of(0.4, 0.4), values(all, "lease", "front", "processor time", Statistic.MEAN));
    assertEquals(List.of(0.5, 0.5), values(all, "lease", "front", "heap", Statistic.MEAN));
    assertEquals(List.of(), values(all, "lease", "front", "resident memory", Statistic.MEAN));
    String machine = PageTables.CONTROL_MACHINE;
    String datagrams = "bytes sent and received, without the log";
    assertEquals(List.of(165.0, 165.0), values(all, "lease", machine, datagrams, Statistic.MEAN));
    assertEquals(
        List.of(300.0, 300.0), values(all, "lease", machine, datagrams, Statistic.MAXIMUM));
    assertEquals(
        List.of(1.5, 1.5), values(all, "lease", machine, "processor time", Statistic.MEAN));
    assertEquals(List.of(), values(all, "gossip", machine, datagrams, Statistic.MEAN));
    String detection = PageTables.DETECTION;
    assertEquals(
        List.of(5.0), values(all, "lease", detection, "all know after", Statistic.MAXIMUM));
    String late = "not all knew within the wait";
    assertEquals(List.of(0.0, 1.0), values(all, "lease", detection, late, Statistic.TOTAL));
    assertEquals(
        List.of(1.0, 1.0), values(all, "lease", detection, "wrongly given up", Statistic.TOTAL));
    assertEquals(List.of(3.0, 3.0), values(all, "lease", detection, "dropped", Statistic.TOTAL));
  }
}
