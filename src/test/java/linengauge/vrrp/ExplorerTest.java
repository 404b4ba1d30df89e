package linengauge.vrrp;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import linengauge.vrrp.explore.Explorer;
import linengauge.vrrp.explore.Plan;
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
      RouterTerms.Additions more,
      int depth,
      int faults,
      Plan.Maker maker) {
    return Explorer.explore(new Plan(priorities, preempt, more, depth, faults, maker));
  }

  @ParameterizedTest
  @CsvSource({"200,100,true", "100,100,true", "200,100,false"})
  void twoNodesSettleOnOneAfterAnyTwoTroubles(int first, int second, boolean preempt) {
    for (RouterTerms.Additions more : List.of(RouterTerms.Additions.NONE, Plan.shortAdditions())) {
      Explorer.Outcome o =
          explore(List.of(first, second), preempt, more, 12, 2, VirtualRouter::new);
      assertNull(o.found(), () -> o.found() + "");
      assertTrue(o.schedules() > 500, "schedules " + o.schedules());
    }
  }

  @Test
  void threeNodesSettleOnOneAfterAnyTrouble() {
    for (RouterTerms.Additions more : List.of(RouterTerms.Additions.NONE, Plan.shortAdditions())) {
      Explorer.Outcome o = explore(List.of(200, 150, 150), true, more, 12, 1, VirtualRouter::new);
      assertNull(o.found(), () -> o.found() + "");
    }
  }

  /** A router made wrong on purpose. */
  private static class Planted extends VirtualRouter {
    Planted(RouterTerms terms, Port port) {
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
    protected boolean isGreater(NodeAddress from) {
      return false;
    }
  }

  @Test
  void withoutTheTieRuleItReportsASchedule() {
    Explorer.Outcome o =
        explore(List.of(100, 100), true, RouterTerms.Additions.NONE, 12, 2, Planted::new);
    assertFalse(o.held());
    assertTrue(o.found().what().contains("in which it heard a better one"), o.found().what());
  }

  /** Announces itself before it steps down. */
  private static final class LastWord extends VirtualRouter {
    private final Port port;

    LastWord(RouterTerms terms, Port port) {
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
    public void heard(Advert a, NodeAddress from, linengauge.Moment at) {
      boolean active = state() == State.ACTIVE;
      super.heard(a, from, at);
      if (active && state() == State.BACKUP) {
        port.send(new Advert(a.vrid(), 100, a.interval(), a.addresses()));
      }
    }
  }

  @Test
  void aNodeThatSendsAsItLearnsOfABetterOneIsReportedWithItsSchedule() {
    Explorer.Outcome o =
        explore(List.of(200, 100), true, RouterTerms.Additions.NONE, 14, 3, LastWord::new);
    assertFalse(o.held());
    assertTrue(o.found().what().contains("in which it heard a better one"), o.found().what());
    assertFalse(o.found().schedule().isEmpty());
  }

  @Test
  void withoutTheGuardOfWokenNodesOneSendsAfterStandingStill() {
    RouterTerms.Additions deaf =
        new RouterTerms.Additions(
            1,
            true,
            linengauge.Span.NONE,
            linengauge.Span.NONE,
            linengauge.Span.NONE,
            0,
            0,
            0,
            linengauge.Span.NONE);
    Plan.Maker planted =
        (t, port) ->
            new VirtualRouter(
                new RouterTerms(
                    t.vrid(),
                    t.priority(),
                    t.interval(),
                    t.preempt(),
                    t.accept(),
                    t.addresses(),
                    t.own(),
                    RouterTerms.Additions.NONE),
                port);
    assertTrue(explore(List.of(200, 100), true, deaf, 10, 1, VirtualRouter::new).held());
    assertFalse(explore(List.of(200, 100), true, deaf, 10, 1, planted).held());
  }
}
