package linengauge.vrrp;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import linengauge.vrrp.explore.ExplorationPlan;
import linengauge.vrrp.explore.Explorer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Explores every schedule of faults to a small depth, with the real state machine and with planted
 * defects in it.
 */
class ExplorerTest {
  private static Explorer.Outcome explore(
      List<Integer> priorities,
      boolean preempt,
      RouterSettings.Extensions extensions,
      int depth,
      int maxFaults,
      ExplorationPlan.RouterFactory routerFactory) {
    return Explorer.explore(
        new ExplorationPlan(priorities, preempt, extensions, depth, maxFaults, routerFactory));
  }

  @ParameterizedTest
  @CsvSource({"200,100,true", "100,100,true", "200,100,false"})
  void twoNodesSettleOnOneActiveAfterAnyTwoFaults(int first, int second, boolean preempt) {
    for (RouterSettings.Extensions extensions :
        List.of(RouterSettings.Extensions.NONE, ExplorationPlan.shortExtensions())) {
      Explorer.Outcome outcome =
          explore(List.of(first, second), preempt, extensions, 12, 2, VirtualRouter::new);
      assertNull(outcome.violation(), () -> outcome.violation() + "");
      assertTrue(outcome.schedules() > 500, "schedules " + outcome.schedules());
    }
  }

  @Test
  void threeNodesSettleOnOneActiveAfterAnyFault() {
    for (RouterSettings.Extensions extensions :
        List.of(RouterSettings.Extensions.NONE, ExplorationPlan.shortExtensions())) {
      Explorer.Outcome outcome =
          explore(List.of(200, 150, 150), true, extensions, 12, 1, VirtualRouter::new);
      assertNull(outcome.violation(), () -> outcome.violation() + "");
    }
  }

  /** A router that never yields in a tie. */
  private static class WithoutTieBreak extends VirtualRouter {
    WithoutTieBreak(RouterSettings settings, Port port) {
      super(settings, port);
    }

    WithoutTieBreak(WithoutTieBreak other, Port port) {
      super(other, port);
    }

    @Override
    public VirtualRouter copy(Port otherPort) {
      return new WithoutTieBreak(this, otherPort);
    }

    @Override
    protected boolean winsTie(NodeAddress from) {
      return false;
    }
  }

  @Test
  void missingTieBreakIsReported() {
    Explorer.Outcome outcome =
        explore(
            List.of(100, 100), true, RouterSettings.Extensions.NONE, 12, 2, WithoutTieBreak::new);
    assertFalse(outcome.passed());
    assertTrue(
        outcome.violation().description().contains("in which it heard a better one"),
        outcome.violation().description());
  }

  /** A router that sends another advertisement as it steps down. */
  private static final class AdvertisesAfterStepDown extends VirtualRouter {
    private final Port port;

    AdvertisesAfterStepDown(RouterSettings settings, Port port) {
      super(settings, port);
      this.port = port;
    }

    AdvertisesAfterStepDown(AdvertisesAfterStepDown other, Port port) {
      super(other, port);
      this.port = port;
    }

    @Override
    public VirtualRouter copy(Port otherPort) {
      return new AdvertisesAfterStepDown(this, otherPort);
    }

    @Override
    public void receive(Advertisement advertisement, NodeAddress from, linengauge.Moment moment) {
      boolean wasActive = state() == State.ACTIVE;
      super.receive(advertisement, from, moment);
      if (wasActive && state() == State.BACKUP) {
        port.send(
            new Advertisement(
                advertisement.vrid(), 100, advertisement.interval(), advertisement.addresses()));
      }
    }
  }

  @Test
  void advertisingAfterASuperiorAdvertisementIsReportedWithItsSchedule() {
    Explorer.Outcome outcome =
        explore(
            List.of(200, 100),
            true,
            RouterSettings.Extensions.NONE,
            14,
            3,
            AdvertisesAfterStepDown::new);
    assertFalse(outcome.passed());
    assertTrue(
        outcome.violation().description().contains("in which it heard a better one"),
        outcome.violation().description());
    assertFalse(outcome.violation().schedule().isEmpty());
  }

  @Test
  void missingPauseDetectionIsReported() {
    RouterSettings.Extensions pauseDetection =
        new RouterSettings.Extensions(
            1,
            true,
            linengauge.Span.NONE,
            linengauge.Span.NONE,
            linengauge.Span.NONE,
            0,
            0,
            0,
            linengauge.Span.NONE);
    ExplorationPlan.RouterFactory withoutPauseDetection =
        (settings, port) ->
            new VirtualRouter(
                new RouterSettings(
                    settings.vrid(),
                    settings.priority(),
                    settings.interval(),
                    settings.preemptMode(),
                    settings.acceptMode(),
                    settings.addresses(),
                    settings.primaryAddress(),
                    RouterSettings.Extensions.NONE),
                port);
    assertTrue(
        explore(List.of(200, 100), true, pauseDetection, 10, 1, VirtualRouter::new).passed());
    assertFalse(
        explore(List.of(200, 100), true, pauseDetection, 10, 1, withoutPauseDetection).passed());
  }
}
