package linengauge.lease.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import linengauge.Moment;
import linengauge.Span;
import linengauge.lease.LeaseSettings;
import linengauge.lease.explore.Fault.Kind;
import linengauge.membership.explore.SimulationFigures;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Whole fleets under membership by lease in virtual time; the rules are the {@link Judge}'s. */
class LeaseSimulationTest {
  private static final LeaseSettings USUAL = LeaseSettings.USUAL;

  private static final LeaseSchedule STOOD_STILL =
      schedule(
          526,
          24,
          fault(Kind.MUTE, 30, 40.908, 43.379),
          fault(Kind.RESTART, 27, 48.214, 51.564),
          fault(Kind.RESTART, 37, 48.214, 51.564),
          fault(Kind.FREEZE, 4, 55.945, 57.536),
          fault(Kind.RESTART, 24, 56.050, 56.723));

  private static Fault fault(Kind kind, int party, int other, double from, double to) {
    return new Fault(kind, party, other, at(from), at(to));
  }

  private static Fault fault(Kind kind, int party, double from, double to) {
    return fault(kind, party, 0, from, to);
  }

  private static Moment at(double seconds) {
    return new Moment(0).plus(Span.ofSeconds(seconds));
  }

  private static LeaseSchedule schedule(long seed, int fronts, Fault... faults) {
    return LeaseSchedule.of(seed, fronts, Arrays.asList(faults));
  }

  private static LeaseSimulation.Outcome play(LeaseSchedule schedule) {
    return new LeaseSimulation(USUAL, schedule).play();
  }

  private static SimulationFigures measured(MeasuredEvent event, int fronts) {
    LeaseMeasurement measurement = new LeaseMeasurement(USUAL, event, fronts, 1);
    SimulationFigures figures = measurement.play();
    assertEquals(List.of(), measurement.broken(), event.name());
    return figures;
  }

  /** A schedule that breaks a rule is told with its seed, and shortened. */
  @Test
  void underAnyFaultsNobodyIsDepartedWithoutCauseAndAllComeRound() {
    List<String> findings = new ArrayList<>();
    new LeaseExplorer(USUAL, Maker.USUAL)
        .explore(1, 251, 24, 6, found -> findings.add(found.faults() + ": " + found.broken()));
    assertEquals(List.of(), findings);
  }

  @Test
  void aFleetOf240BearsFaultsWithinTheBudget() {
    assertEquals(List.of(), play(LeaseSchedule.drawn(1, 240, 8)).broken());
  }

  @Test
  void theSameSeedIsTheSameRun() {
    assertEquals(play(LeaseSchedule.drawn(3, 24, 6)), play(LeaseSchedule.drawn(3, 24, 6)));
  }

  /** Guards against a cut line that empties the directory of a third of the fleet. */
  @Test
  void nobodyOfARegionThatIsCutOffIsDeparted() {
    for (MeasuredEvent event :
        List.of(MeasuredEvent.REGION_CUT, MeasuredEvent.LEADERS_REGION_CUT)) {
      assertEquals(0, measured(event, 60).control().expiries(), event.name());
    }
  }

  /** Guards against a takeover, or a start of all control machines, that costs listed fronts. */
  @Test
  void noControlMachinesEndCostsAFront() {
    for (MeasuredEvent event :
        List.of(
            MeasuredEvent.LEADER_KILLED,
            MeasuredEvent.LEADER_FROZEN,
            MeasuredEvent.LEADER_MUTE,
            MeasuredEvent.FOLLOWER_KILLED,
            MeasuredEvent.CONTROLS_GONE,
            MeasuredEvent.TENTH_RESTARTED)) {
      assertEquals(0, measured(event, 60).control().expiries(), event.name());
    }
  }

  @Test
  void anEndWithoutAWordIsKnownEverywhereWithinALeaseAndTwoHeartbeats() {
    SimulationFigures figures = measured(MeasuredEvent.FRONT_KILLED, 60);
    assertEquals(figures.ends().expected(), figures.ends().known());
    Span bound = USUAL.lease().plus(USUAL.heartbeat().times(2));
    assertTrue(figures.ends().p99().isShorterThan(bound), figures.ends().toString());
  }

  /** Guards against a death that is not known for as long as a zone and its leader are away. */
  @Test
  void theEndOfTheLeadersZoneIsKnownEverywhereInTime() {
    SimulationFigures figures = measured(MeasuredEvent.LEADERS_ZONE_LOST, 60);
    assertEquals(figures.ends().expected(), figures.ends().known());
    Span bound = USUAL.lease().times(2).plus(USUAL.takeover());
    assertTrue(figures.ends().last().isShorterThan(bound), figures.ends().toString());
  }

  private static List<Arguments> guards() {
    return List.of(
        Arguments.of(Guard.AGENT_FAILS_OVER, schedule(1, 24, fault(Kind.KILL, 0, 53.562, 60.375))),
        Arguments.of(
            Guard.REGISTRAR_TRUSTS_CONFIRMED, schedule(1, 24, fault(Kind.CUT, 3, 2, 30, 50))),
        Arguments.of(Guard.REGISTRAR_TRUSTS_AGE, STOOD_STILL),
        Arguments.of(
            Guard.REGISTRAR_REGION_LOST,
            schedule(11, 24, fault(Kind.REGION_CUT, 0, 48.592, 62.598))));
  }

  /** Each with the shortest schedule found that breaks a rule without it. */
  @ParameterizedTest
  @MethodSource("guards")
  void withoutThisGuardARuleBreaks(Guard guard, LeaseSchedule breaks) {
    assertEquals(List.of(), play(breaks).broken());
    assertFalse(new LeaseSimulation(USUAL, breaks, guard).play().broken().isEmpty());
  }

  /** Schedules that broke a rule once, and why. */
  private static List<Arguments> mended() {
    return List.of(
        Arguments.of(
            "a region that was cut off for less than a lease lost members as it came back",
            schedule(47, 24, fault(Kind.REGION_CUT, 2, 28.737, 33.657))),
        Arguments.of(
            "a leader that was cut off with its region did the same to all others",
            schedule(
                211,
                24,
                fault(Kind.KILL, 5, 24.173, 51.657),
                fault(Kind.KILL, 21, 24.173, 51.657),
                fault(Kind.REGION_CUT, 1, 39.678, 43.802),
                fault(Kind.FREEZE, 1, 34.385, 50.790))),
        Arguments.of(
            "a leader on a lossy way missed four rounds of evidence that were never told again",
            schedule(
                1311,
                24,
                fault(Kind.LOSS, 2, 40.764, 67.450),
                fault(Kind.DEAF, 39, 40.170, 40.533))),
        Arguments.of(
            "a control machine that had stood still took queued words for fresh", STOOD_STILL),
        Arguments.of(
            "control machines that all began again called an old directory fresh",
            schedule(
                448,
                24,
                fault(Kind.KILL, 2, 27.351, 44.065),
                fault(Kind.KILL, 0, 30.190, 31.047),
                fault(Kind.KILL, 1, 30.190, 31.047),
                fault(Kind.KILL, 3, 30.190, 31.047),
                fault(Kind.KILL, 4, 30.190, 31.047),
                fault(Kind.KILL, 5, 30.190, 31.047))));
  }

  /** The same, of voters that stood still. */
  private static List<Arguments> mendedAfterPauses() {
    return List.of(
        Arguments.of(
            "a voter that had stood still took its leader's queued words for just sent",
            schedule(
                31971,
                24,
                fault(Kind.REGION_CUT, 1, 28.299, 51.555),
                fault(Kind.FREEZE, 2, 22.723, 48.384))),
        Arguments.of(
            "the same, with another region cut off meanwhile",
            schedule(
                32173,
                24,
                fault(Kind.FREEZE, 3, 39.069, 44.282),
                fault(Kind.REGION_CUT, 1, 41.423, 45.362))));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource({"mended", "mendedAfterPauses"})
  void whatBrokeARuleOnceDoesSoNoMore(String failure, LeaseSchedule schedule) {
    assertEquals(List.of(), play(schedule).broken(), failure);
  }

  /** A judge that never finds anything would let all else pass. */
  @Test
  void aDirectoryThatForgetsAFrontIsFound() {
    LeaseSettings hasty =
        new LeaseSettings(
            USUAL.heartbeat(),
            USUAL.answer(),
            Span.ofMillis(1200),
            USUAL.drift(),
            USUAL.evidence(),
            USUAL.batch(),
            USUAL.takeover(),
            USUAL.mostBytesASecond(),
            USUAL.mostMembers(),
            USUAL.mostBatch());
    assertFalse(new LeaseSimulation(hasty, schedule(1, 24)).play().broken().isEmpty());
  }
}
