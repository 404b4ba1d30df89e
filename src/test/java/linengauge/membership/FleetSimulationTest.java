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
 * Runs membership in virtual time under random faults, and under the shortest schedules that
 * violate an invariant when a safeguard is disabled.
 */
class FleetSimulationTest {
  private static final MembershipSettings DEFAULT = MembershipSettings.DEFAULT;
  private static final Span SETTLING_TIME = Span.ofSeconds(30);

  private static Fault fault(Fault.Kind kind, int target, int peer, long from, long to) {
    return new Fault(kind, target, peer, at(from), at(to));
  }

  private static Moment at(long ms) {
    return new Moment(ms * 1000);
  }

  private static FaultSchedule schedule(long seed, int fronts, Fault... faults) {
    Moment faultsEnd = List.of(faults).stream().map(Fault::to).max(Moment::compareTo).orElse(at(0));
    return new FaultSchedule(
        seed, fronts, 4, List.of(faults), faultsEnd, faultsEnd.plus(SETTLING_TIME.times(2)));
  }

  private static FleetSimulation.Outcome run(FaultSchedule schedule) {
    return new FleetSimulation(DEFAULT, schedule).run();
  }

  /**
   * The first failing seed is reported together with its schedule, which is minimized by removing
   * one fault at a time.
   */
  @Test
  void underRandomFaultsNoHealthyMemberIsDeclaredDeadAndTheFleetConverges() {
    for (long seed = 1; seed <= 400; seed++) {
      FaultSchedule schedule = FaultSchedule.random(seed, 7, 4, 6, SETTLING_TIME);
      FleetSimulation.Outcome outcome = run(schedule);
      for (int i = 0; !outcome.violations().isEmpty() && i < schedule.faults().size(); i++) {
        if (!run(schedule.withoutFault(i)).violations().isEmpty()) {
          schedule = schedule.withoutFault(i);
          i = -1;
        }
      }
      assertEquals(
          List.of(),
          outcome.violations(),
          "seed " + seed + ", shortest schedule " + schedule.faults());
    }
    for (long seed = 1; seed <= 20; seed++) {
      assertEquals(
          List.of(),
          run(FaultSchedule.random(seed, 24, 4, 8, SETTLING_TIME)).violations(),
          "24 fronts, seed " + seed);
    }
  }

  @Test
  void theSameSeedGivesTheSameRun() {
    assertEquals(
        run(FaultSchedule.random(3, 7, 4, 6, SETTLING_TIME)),
        run(FaultSchedule.random(3, 7, 4, 6, SETTLING_TIME)));
  }

  /** Each safeguard with the shortest known schedule that violates an invariant without it. */
  private enum Guard {
    PAUSE_DETECTION(
        schedule(
            754,
            7,
            fault(Fault.Kind.FREEZE, 0, 0, 51_511, 79_209),
            fault(Fault.Kind.SICK, 3, 0, 50_268, 54_130))),
    DEATH_VERIFICATION(schedule(4, 7, fault(Fault.Kind.SICK, 3, 0, 32_952, 33_331))),
    REFUTATION(schedule(1, 7, fault(Fault.Kind.MUTE, 0, 0, 53_669, 68_399))),
    RECONNECTION(schedule(1, 7)),
    SUSPICION(schedule(5, 7, fault(Fault.Kind.SICK, 0, 0, 39_020, 39_948)));

    private final FaultSchedule failingSchedule;

    Guard(FaultSchedule failingSchedule) {
      this.failingSchedule = failingSchedule;
    }

    private Membership createWithout(
        MembershipSettings settings,
        Member own,
        long incarnation,
        List<String> seeds,
        Membership.Port port,
        SplittableRandom random) {
      MembershipSettings unguarded =
          new MembershipSettings(
              settings.period(),
              settings.answer(),
              settings.helpers(),
              this == SUSPICION ? 0 : settings.suspicion(),
              settings.longest(),
              settings.confirmed(),
              settings.healthMost(),
              settings.retellings(),
              settings.deadKept(),
              this == RECONNECTION ? Span.NONE : settings.regather(),
              settings.most());
      return new Membership(unguarded, own, incarnation, seeds, port, random) {
        @Override
        protected boolean isProcessPause(Span late) {
          return Guard.this != PAUSE_DETECTION && super.isProcessPause(late);
        }

        @Override
        protected boolean verifiesReportedDeaths() {
          return Guard.this != DEATH_VERIFICATION;
        }

        @Override
        protected boolean refutes() {
          return Guard.this != REFUTATION;
        }
      };
    }
  }

  @ParameterizedTest
  @EnumSource
  void removingAGuardViolatesAnInvariant(Guard guard) {
    assertEquals(List.of(), run(guard.failingSchedule).violations());
    assertFalse(
        new FleetSimulation(DEFAULT, guard.failingSchedule, guard::createWithout)
            .run()
            .violations()
            .isEmpty());
  }

  /**
   * Only one direction between two fronts is blocked. Without indirect probes every round would
   * raise a suspicion.
   */
  @Test
  void indirectProbesPreventSuspicionOverOneBlockedDirection() {
    FaultSchedule schedule = schedule(9, 7, fault(Fault.Kind.CUT, 1, 2, 30_000, 120_000));
    MembershipSettings noIndirectProbes =
        new MembershipSettings(
            DEFAULT.period(),
            DEFAULT.answer(),
            0,
            DEFAULT.suspicion(),
            DEFAULT.longest(),
            DEFAULT.confirmed(),
            DEFAULT.healthMost(),
            DEFAULT.retellings(),
            DEFAULT.deadKept(),
            DEFAULT.regather(),
            DEFAULT.most());
    int withMechanism = run(schedule).falseSuspicions();
    int withoutMechanism = new FleetSimulation(noIndirectProbes, schedule).run().falseSuspicions();
    assertTrue(
        withoutMechanism > 4 && withMechanism * 4 < withoutMechanism,
        withMechanism + " with, " + withoutMechanism + " without");
  }

  /** A front that loses incoming datagrams scales its own timeouts. */
  @Test
  void localHealthReducesSuspicionsRaisedByAnImpairedFront() {
    FaultSchedule schedule = schedule(11, 24, fault(Fault.Kind.LOSS, 3, 0, 30_000, 230_000));
    MembershipSettings withoutLocalHealth =
        new MembershipSettings(
            DEFAULT.period(),
            DEFAULT.answer(),
            DEFAULT.helpers(),
            DEFAULT.suspicion(),
            DEFAULT.longest(),
            DEFAULT.confirmed(),
            0,
            DEFAULT.retellings(),
            DEFAULT.deadKept(),
            DEFAULT.regather(),
            DEFAULT.most());
    int withMechanism = run(schedule).falseSuspicions();
    int withoutMechanism =
        new FleetSimulation(withoutLocalHealth, schedule).run().falseSuspicions();
    assertTrue(
        withMechanism < withoutMechanism,
        withMechanism + " with, " + withoutMechanism + " without");
  }

  @Test
  void allFrontsDetectADeathWithinBoundedTimeAndTraffic() {
    FleetSimulation.Outcome outcome =
        run(schedule(2, 60, fault(Fault.Kind.KILL, 7, 0, 40_000, 100_000)));
    assertEquals(List.of(), outcome.violations());
    assertTrue(
        outcome.detectionDelays().size() >= 59, "detected by " + outcome.detectionDelays().size());
    Span minSuspicion = DEFAULT.period().times(DEFAULT.suspicion() * Math.log10(60));
    for (Span delay : outcome.detectionDelays()) {
      assertTrue(delay.isShorterThan(minSuspicion.times(DEFAULT.longest())), delay.toString());
    }
    assertTrue(
        outcome.maxBytesPerSecond() < 64 * 1024,
        outcome.maxBytesPerSecond() + " bytes in one second");
  }

  @Test
  void membersBeyondTheLimitAreRejected() {
    MembershipSettings fiveMembers =
        new MembershipSettings(
            DEFAULT.period(),
            DEFAULT.answer(),
            3,
            4,
            6,
            3,
            8,
            4,
            DEFAULT.deadKept(),
            DEFAULT.regather(),
            5);
    List<MemberUpdate> updates = new ArrayList<>();
    for (int i = 1; i <= 9; i++) {
      updates.add(
          new MemberUpdate(new Member(i, "10.0.0." + i + ":7000", 0, 0), 1, MemberState.ALIVE, i));
    }
    Membership membership = membership(fiveMembers, new ArrayList<>());
    membership.onDatagram(
        at(5), "10.0.0.1:7000", new Datagram(Datagram.Kind.PAGE, 1, 0, -1, updates));
    assertEquals(5, membership.members().size());
    assertEquals(4, membership.rejectedMembers());
  }

  private static Membership membership(MembershipSettings settings, List<Datagram> sent) {
    Membership membership =
        new Membership(
            settings,
            new Member(0, "10.0.0.0:7000", 0, 0),
            1000,
            List.of("10.0.0.1:7000"),
            new Membership.Port() {
              @Override
              public void send(String address, Datagram datagram) {
                sent.add(datagram);
              }

              @Override
              public void stateChanged(MemberUpdate update) {
                // The test reads the member table instead.
              }

              @Override
              public void numberConflict(String address) {
                sent.add(null);
              }
            },
            new SplittableRandom(1));
    membership.start(at(0));
    return membership;
  }

  @Test
  void falseUpdatesAboutItselfAreRefutedAndImplausibleOnesIgnored() {
    List<Datagram> sent = new ArrayList<>();
    Membership membership = membership(DEFAULT, sent);
    MemberUpdate dead =
        new MemberUpdate(new Member(0, "10.0.0.0:7000", 0, 0), 5000, MemberState.DEAD, 1);
    membership.onDatagram(
        at(5), "10.0.0.1:7000", new Datagram(Datagram.Kind.PING, 1, 1, 0, List.of(dead)));
    assertEquals(5001, membership.incarnation());
    MemberUpdate implausible =
        new MemberUpdate(
            new Member(0, "10.0.0.0:7000", 0, 0), Long.MAX_VALUE / 2, MemberState.DEAD, 1);
    membership.onDatagram(
        at(6), "10.0.0.1:7000", new Datagram(Datagram.Kind.PING, 1, 2, 0, List.of(implausible)));
    assertEquals(5001, membership.incarnation());
    membership.onDatagram(
        at(7), "10.0.0.9:7000", new Datagram(Datagram.Kind.PING, 0, 3, 0, List.of()));
    assertEquals(
        1,
        sent.stream().filter(datagram -> datagram == null).count(),
        "another process uses the same member number");
  }

  @Test
  void aMemberThatLeftIsNotSuspectedAndRejoinsWithAHigherIncarnation() {
    List<Datagram> sent = new ArrayList<>();
    Membership membership = membership(DEFAULT, sent);
    Member other = new Member(1, "10.0.0.1:7000", 0, 0);
    membership.onDatagram(
        at(5),
        other.address(),
        new Datagram(
            Datagram.Kind.PING,
            1,
            1,
            0,
            List.of(new MemberUpdate(other, 10, MemberState.ALIVE, 1))));
    membership.onDatagram(
        at(6),
        other.address(),
        new Datagram(
            Datagram.Kind.PING,
            1,
            2,
            0,
            List.of(new MemberUpdate(other, 10, MemberState.LEFT, 1))));
    membership.onDatagram(
        at(7),
        "10.0.0.2:7000",
        new Datagram(
            Datagram.Kind.PING,
            2,
            1,
            0,
            List.of(new MemberUpdate(other, 10, MemberState.SUSPECT, 2))));
    assertEquals(MemberState.LEFT, membership.members().get(0).state());
    membership.onDatagram(
        at(8),
        other.address(),
        new Datagram(
            Datagram.Kind.PING,
            1,
            3,
            0,
            List.of(new MemberUpdate(other, 11, MemberState.ALIVE, 1))));
    assertEquals(MemberState.ALIVE, membership.members().get(0).state());
  }
}
