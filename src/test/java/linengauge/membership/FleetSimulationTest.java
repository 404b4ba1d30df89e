package linengauge.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.membership.explore.Fault;
import linengauge.membership.explore.FaultSchedule;
import linengauge.membership.explore.FleetSimulation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Members in virtual time, under troubles from seeds and under the shortest that break them without
 * one of their guards.
 */
class FleetSimulationTest {
  private static final MembershipSettings USUAL = MembershipSettings.DEFAULT;
  private static final Span ROUND = Span.ofSeconds(30);

  private static Fault trouble(Fault.Kind kind, int a, int b, long from, long to) {
    return new Fault(kind, a, b, at(from), at(to));
  }

  private static Moment at(long ms) {
    return new Moment(ms * 1000);
  }

  private static FaultSchedule schedule(long seed, int fronts, Fault... troubles) {
    Moment quiet = List.of(troubles).stream().map(Fault::to).max(Moment::compareTo).orElse(at(0));
    return new FaultSchedule(seed, fronts, 4, List.of(troubles), quiet, quiet.plus(ROUND.times(2)));
  }

  private static FleetSimulation.Outcome play(FaultSchedule s) {
    return new FleetSimulation(USUAL, s).run();
  }

  /**
   * The first that breaks says which seed; without one trouble after another its shortest form is
   * found.
   */
  @Test
  void underAnyTroublesNobodyIsGivenUpWithoutCauseAndAllComeRound() {
    for (long seed = 1; seed <= 400; seed++) {
      FaultSchedule s = FaultSchedule.random(seed, 7, 4, 6, ROUND);
      FleetSimulation.Outcome o = play(s);
      for (int i = 0; !o.violations().isEmpty() && i < s.faults().size(); i++) {
        if (!play(s.withoutFault(i)).violations().isEmpty()) {
          s = s.withoutFault(i);
          i = -1;
        }
      }
      assertEquals(List.of(), o.violations(), "seed " + seed + ", shortest " + s.faults());
    }
    for (long seed = 1; seed <= 20; seed++) {
      assertEquals(
          List.of(),
          play(FaultSchedule.random(seed, 24, 4, 8, ROUND)).violations(),
          "24 fronts, seed " + seed);
    }
  }

  @Test
  void theSameSeedIsTheSameRun() {
    assertEquals(
        play(FaultSchedule.random(3, 7, 4, 6, ROUND)),
        play(FaultSchedule.random(3, 7, 4, 6, ROUND)));
  }

  /** Each guard, and the shortest schedule found that breaks a rule without it. */
  private enum Guard {
    AWAKE(
        schedule(
            754,
            7,
            trouble(Fault.Kind.FREEZE, 0, 0, 51_511, 79_209),
            trouble(Fault.Kind.SICK, 3, 0, 50_268, 54_130))),
    DOUBT(schedule(4, 7, trouble(Fault.Kind.SICK, 3, 0, 32_952, 33_331))),
    DENIAL(schedule(1, 7, trouble(Fault.Kind.MUTE, 0, 0, 53_669, 68_399))),
    REGATHER(schedule(1, 7)),
    SUSPICION(schedule(5, 7, trouble(Fault.Kind.SICK, 0, 0, 39_020, 39_948)));

    private final FaultSchedule breaks;

    Guard(FaultSchedule breaks) {
      this.breaks = breaks;
    }

    private Membership without(
        MembershipSettings terms,
        Member own,
        long incarnation,
        List<String> seeds,
        Membership.Port port,
        SplittableRandom chance) {
      MembershipSettings less =
          new MembershipSettings(
              terms.period(),
              terms.answer(),
              terms.helpers(),
              this == SUSPICION ? 0 : terms.suspicion(),
              terms.longest(),
              terms.confirmed(),
              terms.healthMost(),
              terms.retellings(),
              terms.deadKept(),
              this == REGATHER ? Span.NONE : terms.regather(),
              terms.most());
      return new Membership(less, own, incarnation, seeds, port, chance) {
        @Override
        protected boolean isProcessPause(Span late) {
          return Guard.this != AWAKE && super.isProcessPause(late);
        }

        @Override
        protected boolean verifiesReportedDeaths() {
          return Guard.this != DOUBT;
        }

        @Override
        protected boolean refutes() {
          return Guard.this != DENIAL;
        }
      };
    }
  }

  @ParameterizedTest
  @EnumSource
  void withoutThisGuardARuleBreaks(Guard guard) {
    assertEquals(List.of(), play(guard.breaks).violations());
    assertFalse(
        new FleetSimulation(USUAL, guard.breaks, guard::without).run().violations().isEmpty());
  }

  /** One way between two fronts is cut: without helpers each round would make a suspicion of it. */
  @Test
  void helpersKeepOneCutWayFromBeingASuspicion() {
    FaultSchedule s = schedule(9, 7, trouble(Fault.Kind.CUT, 1, 2, 30_000, 120_000));
    MembershipSettings none =
        new MembershipSettings(
            USUAL.period(),
            USUAL.answer(),
            0,
            USUAL.suspicion(),
            USUAL.longest(),
            USUAL.confirmed(),
            USUAL.healthMost(),
            USUAL.retellings(),
            USUAL.deadKept(),
            USUAL.regather(),
            USUAL.most());
    int with = play(s).falseSuspicions();
    int without = new FleetSimulation(none, s).run().falseSuspicions();
    assertTrue(without > 4 && with * 4 < without, with + " with, " + without + " without");
  }

  /** A front that hears badly lengthens its own waits. */
  @Test
  void aFrontThatIsSlowItselfSuspectsLess() {
    FaultSchedule s = schedule(11, 24, trouble(Fault.Kind.LOSS, 3, 0, 30_000, 230_000));
    MembershipSettings deaf =
        new MembershipSettings(
            USUAL.period(),
            USUAL.answer(),
            USUAL.helpers(),
            USUAL.suspicion(),
            USUAL.longest(),
            USUAL.confirmed(),
            0,
            USUAL.retellings(),
            USUAL.deadKept(),
            USUAL.regather(),
            USUAL.most());
    int with = play(s).falseSuspicions();
    int without = new FleetSimulation(deaf, s).run().falseSuspicions();
    assertTrue(with < without, with + " with, " + without + " without");
  }

  @Test
  void aDeathIsFoundByAllInBoundedTimeAndBytes() {
    FleetSimulation.Outcome o =
        play(schedule(2, 60, trouble(Fault.Kind.KILL, 7, 0, 40_000, 100_000)));
    assertEquals(List.of(), o.violations());
    assertTrue(o.detectionDelays().size() >= 59, "found by " + o.detectionDelays().size());
    Span least = USUAL.period().times(USUAL.suspicion() * Math.log10(60));
    for (Span after : o.detectionDelays()) {
      assertTrue(after.under(least.times(USUAL.longest())), after.toString());
    }
    assertTrue(o.maxBytesPerSecond() < 64 * 1024, o.maxBytesPerSecond() + " bytes in one second");
  }

  @Test
  void moreMembersThanThereMayBeAreNotTakenIn() {
    MembershipSettings few =
        new MembershipSettings(
            USUAL.period(),
            USUAL.answer(),
            3,
            4,
            6,
            3,
            8,
            4,
            USUAL.deadKept(),
            USUAL.regather(),
            5);
    List<MemberUpdate> all = new ArrayList<>();
    for (int i = 1; i <= 9; i++) {
      all.add(
          new MemberUpdate(new Member(i, "10.0.0." + i + ":7000", 0, 0), 1, MemberState.ALIVE, i));
    }
    Membership m = membership(few, new ArrayList<>());
    m.onDatagram(at(5), "10.0.0.1:7000", new Datagram(Datagram.Kind.PAGE, 1, 0, -1, all));
    assertEquals(5, m.members().size());
    assertEquals(4, m.rejectedMembers());
  }

  private static Membership membership(MembershipSettings terms, List<Datagram> sent) {
    Membership m =
        new Membership(
            terms,
            new Member(0, "10.0.0.0:7000", 0, 0),
            1000,
            List.of("10.0.0.1:7000"),
            new Membership.Port() {
              @Override
              public void send(String address, Datagram words) {
                sent.add(words);
              }

              @Override
              public void stateChanged(MemberUpdate held) {
                // read from the membership
              }

              @Override
              public void numberConflict(String address) {
                sent.add(null);
              }
            },
            new SplittableRandom(1));
    m.start(at(0));
    return m;
  }

  @Test
  void nonsenseOfItselfIsDeniedAndWhatCannotBeDeniedIsPassedOver() {
    List<Datagram> sent = new ArrayList<>();
    Membership m = membership(USUAL, sent);
    MemberUpdate dead =
        new MemberUpdate(new Member(0, "10.0.0.0:7000", 0, 0), 5000, MemberState.DEAD, 1);
    m.onDatagram(at(5), "10.0.0.1:7000", new Datagram(Datagram.Kind.PING, 1, 1, 0, List.of(dead)));
    assertEquals(5001, m.incarnation());
    MemberUpdate never =
        new MemberUpdate(
            new Member(0, "10.0.0.0:7000", 0, 0), Long.MAX_VALUE / 2, MemberState.DEAD, 1);
    m.onDatagram(at(6), "10.0.0.1:7000", new Datagram(Datagram.Kind.PING, 1, 2, 0, List.of(never)));
    assertEquals(5001, m.incarnation());
    m.onDatagram(at(7), "10.0.0.9:7000", new Datagram(Datagram.Kind.PING, 0, 3, 0, List.of()));
    assertEquals(1, sent.stream().filter(w -> w == null).count(), "another goes by its number");
  }

  @Test
  void whoeverLeavesIsNotSuspectedAndComesBackByANewLife() {
    List<Datagram> sent = new ArrayList<>();
    Membership m = membership(USUAL, sent);
    Member other = new Member(1, "10.0.0.1:7000", 0, 0);
    m.onDatagram(
        at(5),
        other.address(),
        new Datagram(
            Datagram.Kind.PING,
            1,
            1,
            0,
            List.of(new MemberUpdate(other, 10, MemberState.ALIVE, 1))));
    m.onDatagram(
        at(6),
        other.address(),
        new Datagram(
            Datagram.Kind.PING,
            1,
            2,
            0,
            List.of(new MemberUpdate(other, 10, MemberState.LEFT, 1))));
    m.onDatagram(
        at(7),
        "10.0.0.2:7000",
        new Datagram(
            Datagram.Kind.PING,
            2,
            1,
            0,
            List.of(new MemberUpdate(other, 10, MemberState.SUSPECT, 2))));
    assertEquals(MemberState.LEFT, m.members().get(0).state());
    m.onDatagram(
        at(8),
        other.address(),
        new Datagram(
            Datagram.Kind.PING,
            1,
            3,
            0,
            List.of(new MemberUpdate(other, 11, MemberState.ALIVE, 1))));
    assertEquals(MemberState.ALIVE, m.members().get(0).state());
  }
}
