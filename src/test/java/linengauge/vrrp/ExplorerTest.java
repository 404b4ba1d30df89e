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
 * Every schedule of troubles to a small depth, with the real state machine and with planted faults
 * in it.
 */
class ExplorerTest {
  private static Explorer.Outcome explore(
      List<Integer> priorities,
      boolean preempt,
      RouterSettings.Extensions more,
      int depth,
      int faults,
      ExplorationPlan.RouterFactory maker) {
    return Explorer.explore(new ExplorationPlan(priorities, preempt, more, depth, faults, maker));
  }

  @ParameterizedTest
  @CsvSource({"200,100,true", "100,100,true", "200,100,false"})
  void twoNodesSettleOnOneAfterAnyTwoTroubles(int first, int second, boolean preempt) {
    for (RouterSettings.Extensions more :
        List.of(RouterSettings.Extensions.NONE, ExplorationPlan.shortExtensions())) {
      Explorer.Outcome o =
          explore(List.of(first, second), preempt, more, 12, 2, VirtualRouter::new);
      assertNull(o.violation(), () -> o.violation() + "");
      assertTrue(o.schedules() > 500, "schedules " + o.schedules());
    }
  }

  @Test
  void threeNodesSettleOnOneAfterAnyTrouble() {
    for (RouterSettings.Extensions more :
        List.of(RouterSettings.Extensions.NONE, ExplorationPlan.shortExtensions())) {
      Explorer.Outcome o = explore(List.of(200, 150, 150), true, more, 12, 1, VirtualRouter::new);
      assertNull(o.violation(), () -> o.violation() + "");
    }
  }

  /** A router made wrong on purpose. */
  private static class Planted extends VirtualRouter {
    Planted(RouterSettings terms, Port port) {
      super(terms, port);
    }

    Planted(Planted o, Port port) {
      super(o, port);
    }

    @Override
    public VirtualRouter copy(Port other) {
      return new Planted(this, other);
    }

    @Override
    protected boolean winsTie(NodeAddress from) {
      return false;
    }
  }

  @Test
  void withoutTheTieRuleItReportsASchedule() {
    Explorer.Outcome o =
        explore(List.of(100, 100), true, RouterSettings.Extensions.NONE, 12, 2, Planted::new);
    assertFalse(o.passed());
    assertTrue(
        o.violation().description().contains("in which it heard a better one"),
        o.violation().description());
  }

  /** Announces itself before it steps down. */
  private static final class LastWord extends VirtualRouter {
    private final Port port;

    LastWord(RouterSettings terms, Port port) {
      super(terms, port);
      this.port = port;
    }

    LastWord(LastWord o, Port port) {
      super(o, port);
      this.port = port;
    }

    @Override
    public VirtualRouter copy(Port other) {
      return new LastWord(this, other);
    }

    @Override
    public void receive(Advertisement a, NodeAddress from, linengauge.Moment at) {
      boolean active = state() == State.ACTIVE;
      super.receive(a, from, at);
      if (active && state() == State.BACKUP) {
        port.send(new Advertisement(a.vrid(), 100, a.interval(), a.addresses()));
      }
    }
  }

  @Test
  void aNodeThatSendsAsItLearnsOfABetterOneIsReportedWithItsSchedule() {
    Explorer.Outcome o =
        explore(List.of(200, 100), true, RouterSettings.Extensions.NONE, 14, 3, LastWord::new);
    assertFalse(o.passed());
    assertTrue(
        o.violation().description().contains("in which it heard a better one"),
        o.violation().description());
    assertFalse(o.violation().schedule().isEmpty());
  }

  @Test
  void withoutTheGuardOfWokenNodesOneSendsAfterStandingStill() {
    RouterSettings.Extensions deaf =
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
    ExplorationPlan.RouterFactory planted =
        (t, port) ->
            new VirtualRouter(
                new RouterSettings(
                    t.vrid(),
                    t.priority(),
                    t.interval(),
                    t.preemptMode(),
                    t.acceptMode(),
                    t.addresses(),
                    t.primaryAddress(),
                    RouterSettings.Extensions.NONE),
                port);
    assertTrue(explore(List.of(200, 100), true, deaf, 10, 1, VirtualRouter::new).passed());
    assertFalse(explore(List.of(200, 100), true, deaf, 10, 1, planted).passed());
  }
}
