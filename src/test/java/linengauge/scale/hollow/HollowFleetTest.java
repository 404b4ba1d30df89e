package linengauge.scale.hollow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import linengauge.Span;
import linengauge.drill.LeaseProcess;
import linengauge.membership.MembershipSettings;
import linengauge.scale.hollow.HollowFigures.Phase;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Sixty hollow fronts over real sockets, judged by counts and bytes, not by how fast it went. */
class HollowFleetTest {
  private static final int FRONTS = 60;
  private static final int PROCESSES = 3;
  private static final int KILLED = 1;
  private static final double HEARTBEATS_A_SECOND = 2;

  /** Of a heartbeat with its trailer: some 40 and 24. */
  private static final double MOST_HEARTBEAT_BYTES = 100;

  /** Of an acknowledgement that brings nothing: some 70 and 24. */
  private static final double MOST_ACKNOWLEDGEMENT_BYTES = 150;

  /** Ports below those that systems give out, in blocks larger than the fleet. */
  private static final int FIRST_PORT = 20_000;

  private static final int PORTS_PER_RUN = 400;
  private static final int BLOCKS = 30;

  @TempDir private Path folder;

  /** Differs between test runs beside each other on one machine, whose ports would collide. */
  private static int firstPort() {
    return FIRST_PORT + (int) (ProcessHandle.current().pid() % BLOCKS) * PORTS_PER_RUN;
  }

  private HollowPlan plan(int fronts, int heapMb, List<HollowEvent> events) {
    return new HollowPlan(
        List.of(HollowPlan.Method.LEASE),
        new HollowPlan.Fleet(fronts, 3, 3, PROCESSES, 3, 3),
        10,
        LeaseProcess.settings(Span.ofMillis((long) (1000 / HEARTBEATS_A_SECOND))),
        MembershipSettings.DEFAULT,
        new HollowPlan.Times(Span.NONE, Span.ofSeconds(3), Span.ofSeconds(40)),
        events,
        heapMb,
        new HollowPlan.Machine(folder, firstPort()));
  }

  @Test
  void aProcessOfFrontsThatIsKilledIsKnownToAllOthersAndNobodyElseIsGivenUp() throws Exception {
    // given
    HollowPlan plan = plan(FRONTS, 64, List.of(new HollowEvent.KillProcess(KILLED)));
    // when
    HollowFigures figures = HollowFleet.run(plan);
    // then
    assertFalse(figures.partial(), figures.cause());
    List<Phase> phases = figures.fleets().get(0).phases();
    assertEquals(
        List.of("start", "quiet", "kill-process"), phases.stream().map(Phase::name).toList());
    Phase start = phases.get(0);
    Phase quiet = phases.get(1);
    Phase killed = phases.get(2);
    assertTrue(start.allKnowSeconds() >= 0, "after the start all know all");
    assertTrue(killed.allKnowSeconds() > 0, "all others know who is gone");
    assertEquals(FRONTS - FRONTS / PROCESSES, killed.fronts());
    for (Phase phase : phases) {
      assertEquals(List.of(), phase.wronglyGone(), phase.name());
      phase.drops().forEach((cause, count) -> assertEquals(0, count, cause));
    }
    double datagrams = quiet.load().sentDatagrams().mean();
    assertTrue(datagrams > 0.5 * HEARTBEATS_A_SECOND, "sent a second: " + datagrams);
    assertTrue(datagrams < 1.5 * HEARTBEATS_A_SECOND, "sent a second: " + datagrams);
    assertTrue(quiet.load().sentBytes().mean() / datagrams < MOST_HEARTBEAT_BYTES);
    double answers = quiet.load().receivedDatagrams().mean();
    assertTrue(answers <= 1.1 * datagrams, answers + " answers to " + datagrams);
    assertTrue(quiet.load().receivedBytes().mean() / answers < MOST_ACKNOWLEDGEMENT_BYTES);
    assertTrue(quiet.load().followerBytes() > 0, "one in ten follows the log");
    assertTrue(quiet.load().heapKb() > 0 && quiet.controlMachines().size() == 3);
  }

  @Test
  void aPlanThatDoesNotFitIsRefusedBeforeAnythingStarts() {
    // given
    HollowPlan ofTooMuchMemory = plan(FRONTS, 1 << 20, List.of());
    HollowPlan ofTooManyPorts = plan(20_000, 64, List.of());
    HollowPlan ofTooFewFronts = plan(PROCESSES - 1, 64, List.of());
    // then
    for (HollowPlan plan : List.of(ofTooMuchMemory, ofTooManyPorts, ofTooFewFronts)) {
      assertThrows(HollowPlanRefused.class, () -> HollowFleet.run(plan));
    }
    assertFalse(folder.resolve("key").toFile().exists());
  }
}
