package linengauge.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import linengauge.Moment;
import linengauge.Span;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Each guard of the control machine: with it the case holds, without it breaks. */
class RegistrarGuardsTest {
  private static final LeaseSettings USUAL = LeaseSettings.USUAL;
  private static final int FRONT = 100;

  /** A registrar with some of its guards taken out. */
  private static class Lacking extends Registrar {
    Lacking(
        LeaseSettings settings,
        int own,
        List<ControlMachine> all,
        MemberDirectory directory,
        Registrar.Port port,
        SplittableRandom chance) {
      super(settings, own, all, directory, port, chance);
    }
  }

  private static LeaseWorld.RegistrarMaker unless(
      boolean guarded, LeaseWorld.RegistrarMaker without) {
    return guarded ? Registrar::new : without;
  }

  /** The datagrams that came meanwhile are still in its socket: nobody may be judged before. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aLeaderThatStoodStillTakesAllLeasesAnew(boolean guarded) {
    LeaseWorld.RegistrarMaker maker =
        unless(
            guarded,
            (settings, own, all, directory, port, chance) ->
                new Lacking(settings, own, all, directory, port, chance) {
                  @Override
                  protected boolean stoodStill(Moment due, Moment at) {
                    return false;
                  }
                });
    LeaseWorld world = new LeaseWorld(USUAL, 1, maker, 2, 2, 2);
    world.fronts(FRONT, 20, 0);
    world.run(20_000);
    long version = world.truth.version();

    world.pause(world.controls.get(0), 10_000);
    world.run(30_000);

    assertEquals(guarded, version == world.truth.version(), "changes after the pause");
    assertEquals(guarded, world.fronts.stream().allMatch(front -> front.superseded == 0));
  }

  /**
   * The leader before confirmed leases that the next never heard of: front 100 is heard by control
   * machine 1 alone, that one by 0 alone, and 2 comes to lead.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aNewLeaderWaitsForLeasesOfTheOneBefore(boolean guarded) {
    LeaseWorld.RegistrarMaker maker =
        unless(
            guarded,
            (settings, own, all, directory, port, chance) ->
                new Lacking(settings, own, all, directory, port, chance) {
                  @Override
                  protected Moment takeoverUntil(Moment leadingSince) {
                    return Moment.DISTANT_PAST;
                  }
                });
    LeaseWorld world = new LeaseWorld(USUAL, 1, maker, 2, 1);
    world.front(FRONT, 0, 1000);
    world.front(FRONT + 1, 1, 1000);
    world.run(15_000);
    world.cut = onlyThrough(world, 1, 0);
    world.run(10_000);
    assertTrue(world.fronts.get(0).holds(), "confirmed by the leader of now");

    world.leader = 2;
    world.run(20_000);

    assertEquals(guarded, world.broken.isEmpty(), "" + world.broken);
    assertTrue(world.fronts.get(0).superseded > 0, "the new leader lets it expire in the end");
  }

  /**
   * As above, and the deposed leader and the control machine learn of the new one only as late as
   * their copies of the log may be old: a lease alone is not long enough.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aNewLeaderWaitsForWhatTheDeposedOneStillConfirms(boolean guarded) {
    LeaseWorld.RegistrarMaker maker =
        unless(
            guarded,
            (settings, own, all, directory, port, chance) ->
                new Lacking(settings, own, all, directory, port, chance) {
                  @Override
                  protected Moment takeoverUntil(Moment leadingSince) {
                    return leadingSince;
                  }
                });
    LeaseWorld world = new LeaseWorld(Cases.withTakeover(Span.ofSeconds(5)), 1, maker, 2, 1);
    world.front(FRONT, 0, 1000);
    world.front(FRONT + 1, 1, 1000);
    world.run(15_000);
    world.cut = onlyThrough(world, 1, 0);
    world.run(10_000);

    world.controls.get(0).followsLog = false;
    world.controls.get(1).followsLog = false;
    world.leader = 2;
    world.run(20_000);

    assertEquals(guarded, world.broken.isEmpty(), "" + world.broken);
    assertEquals(DirectoryEntry.State.EXPIRED, world.truth.entry(FRONT).state());
  }

  /** The front reaches only that control machine, and that one only one other. */
  private static BiPredicate<LeaseWorld.Node, LeaseWorld.Node> onlyThrough(
      LeaseWorld world, int machine, int confidant) {
    return (from, to) -> {
      boolean ofFront = from.number == FRONT || to.number == FRONT;
      boolean ofMachine = from.number == machine || to.number == machine;
      boolean ofConfidant = from.number == confidant || to.number == confidant;
      return ofFront && !ofMachine || ofMachine && !ofFront && !ofConfidant;
    };
  }

  /** A control machine that hears fronts, and that the leader does not hear, grants nothing. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void onlyWhatTheLeaderConfirmedCounts(boolean guarded) {
    LeaseWorld.RegistrarMaker maker =
        unless(
            guarded,
            (settings, own, all, directory, port, chance) ->
                new Lacking(settings, own, all, directory, port, chance) {
                  @Override
                  protected boolean trustsOnlyConfirmed() {
                    return false;
                  }
                });
    LeaseWorld world = new LeaseWorld(USUAL, 1, maker, 2, 1);
    world.front(FRONT, 0, 1000);
    world.run(15_000);

    world.cut = onlyThrough(world, 1, -1);
    world.run(20_000);

    assertEquals(guarded, world.broken.isEmpty(), "" + world.broken);
    assertTrue(world.fronts.get(0).superseded > 0, "it did expire");
  }

  /** A deposed leader that hears nothing of it must not go on to confirm what it hears itself. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aLeaderWhoseCopyIsOldGrantsNothing(boolean guarded) {
    LeaseWorld.RegistrarMaker maker =
        unless(
            guarded,
            (settings, own, all, directory, port, chance) ->
                new Lacking(settings, own, all, directory, port, chance) {
                  @Override
                  protected boolean isFresh() {
                    return true;
                  }
                });
    LeaseWorld world = new LeaseWorld(USUAL, 1, maker, 2, 1);
    world.front(FRONT, 0, 1000);
    world.front(FRONT + 1, 1, 1000);
    world.run(15_000);

    world.cut = onlyThrough(world, 0, -1);
    world.controls.get(0).followsLog = false;
    world.leader = 2;
    world.run(30_000);

    assertEquals(guarded, world.broken.isEmpty(), "" + world.broken);
    assertFalse(world.present(FRONT));
  }

  /**
   * The front is heard again while its expiry is on its way: the round in which it was heard must
   * not be confirmed before that has come to an end.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aRoundWithALifeWhoseExpiryIsOnItsWayIsNotConfirmed(boolean guarded) {
    LeaseWorld.RegistrarMaker maker =
        unless(
            guarded,
            (settings, own, all, directory, port, chance) ->
                new Lacking(settings, own, all, directory, port, chance) {
                  @Override
                  protected boolean isWithheld(int number) {
                    return false;
                  }
                });
    LeaseWorld world = new LeaseWorld(USUAL, 1, maker, 1, 1, 1);
    world.front(FRONT, 1, 1000);
    world.run(15_000);
    world.controls.get(0).proposalDelay = 5_000_000;
    world.cut = (from, to) -> from.number == FRONT;
    world.run(6_800);
    world.cut = (from, to) -> false;
    world.run(20_000);

    assertTrue(world.fronts.get(0).superseded > 0, "it did expire");
    assertEquals(guarded, world.broken.isEmpty(), "" + world.broken);
  }

  /** A line that is cut empties no region; without the rule its members are gone. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aRegionThatIsCutOffIsMarkedAndItsMembersStay(boolean guarded) {
    LeaseWorld.RegistrarMaker maker =
        unless(
            guarded,
            (settings, own, all, directory, port, chance) ->
                new Lacking(settings, own, all, directory, port, chance) {
                  @Override
                  protected boolean isRegionLost(int region, Moment at) {
                    return false;
                  }
                });
    LeaseWorld world = new LeaseWorld(USUAL, 1, maker, 2, 2, 2);
    world.fronts(FRONT, 10, 0);
    world.fronts(FRONT + 10, 10, 2);
    world.run(15_000);

    world.cut = (from, to) -> inRegionTwo(from) != inRegionTwo(to);
    world.controls.get(4).followsLog = false;
    world.controls.get(5).followsLog = false;
    world.run(20_000);

    assertEquals(guarded ? 20 : 10, world.presentCount());
    assertEquals(guarded ? 0b100 : 0, world.truth.unreachable());
    assertTrue(world.fronts.stream().skip(10).noneMatch(LeaseWorld.Front::holds));

    world.cut = (from, to) -> false;
    world.controls.get(4).followsLog = true;
    world.controls.get(5).followsLog = true;
    world.run(20_000);
    assertEquals(0, world.truth.unreachable());
    assertEquals(20, world.presentCount());
    assertEquals(20, world.alike());
    assertTrue(world.fronts.stream().allMatch(LeaseWorld.Front::holds));
    assertEquals(guarded ? 0 : 10, world.fronts.stream().filter(f -> f.superseded > 0).count());
    assertEquals(List.of(), world.broken);
  }

  private static boolean inRegionTwo(LeaseWorld.Node node) {
    return node.number == 4 || node.number == 5 || node.number >= FRONT + 10;
  }

  /** Two processes with one number: the earlier's heartbeats must hold nothing. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void onlyTheListedLifeHoldsTheLease(boolean guarded) {
    LeaseWorld.RegistrarMaker maker =
        unless(
            guarded,
            (settings, own, all, directory, port, chance) ->
                new Lacking(settings, own, all, directory, port, chance) {
                  @Override
                  protected boolean isListedLife(
                      DirectoryEntry entry, LeaseMessage.Heartbeat heartbeat) {
                    return true;
                  }
                });
    LeaseWorld world = new LeaseWorld(USUAL, 1, maker, 1);
    LeaseWorld.Front earlier = world.front(FRONT, 0, 1000);
    world.run(15_000);
    LeaseWorld.Front later = world.front(FRONT, 0, 2000, "127.0.0.9:9", LeaseAgent::new);
    while (world.truth.entry(FRONT).incarnation() != 2000) {
      world.run(10);
    }
    world.run(1_100);

    assertTrue(later.holds());
    assertEquals(guarded, earlier.superseded == 1);
    assertEquals(guarded, !earlier.holds(), "the earlier one's belief");
  }

  /** Who missed a departure that was dropped since would list the dead for ever. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aFrontThatMissedADroppedDepartureBeginsItsViewAnew(boolean guarded) {
    LeaseWorld.RegistrarMaker maker =
        unless(
            guarded,
            (settings, own, all, directory, port, chance) ->
                new Lacking(settings, own, all, directory, port, chance) {
                  @Override
                  protected boolean isReset(LeaseMessage.Heartbeat heartbeat) {
                    return false;
                  }
                });
    LeaseWorld world = new LeaseWorld(Cases.mostMembers(6), 1, maker, 1);
    LeaseWorld.Front watched = Cases.frontThatMissesADroppedDeparture(world);

    assertEquals(guarded ? 1 : 0, watched.agent.figures().resets());
    assertEquals(guarded, watched.agent.view().entry(Cases.GONE) == null, "the dead one");
  }

  /** One decision must stay within what the log takes, however many fronts come at once. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aDecisionStaysWithinItsBound(boolean guarded) {
    LeaseWorld.RegistrarMaker maker =
        unless(
            guarded,
            (settings, own, all, directory, port, chance) ->
                new Lacking(settings, own, all, directory, port, chance) {
                  @Override
                  protected int mostChanges() {
                    return Integer.MAX_VALUE;
                  }
                });
    LeaseWorld world = new LeaseWorld(USUAL, 1, maker, 1);
    world.run(3_000);
    world.controls.get(0).proposalDelay = 3_000_000;
    world.fronts(FRONT, 400, 0);
    world.run(8_000);
    world.controls.get(0).proposalDelay = 30_000;
    world.run(10_000);

    int longest = world.log.stream().mapToInt(decision -> decision.length).max().orElse(0);
    assertEquals(400, world.presentCount());
    assertEquals(guarded, longest <= 4 * 1024, "bytes of the longest decision: " + longest);
  }

  /** Undecided expiries are voided by a new term before anybody is confirmed again. */
  @Test
  void anExpiryThatEndedUndecidedAndIsDecidedLateIsVoid() {
    LeaseWorld world = new LeaseWorld(USUAL, 1, 1, 1, 1);
    world.front(FRONT, 1, 1000);
    world.run(15_000);
    LeaseWorld.Control leader = world.controls.get(0);
    leader.proposalDelay = 8_000_000;
    leader.toldUndecided = true;
    world.cut = (from, to) -> from.number == FRONT;
    world.run(6_800);
    world.cut = (from, to) -> false;
    leader.proposalDelay = 30_000;
    leader.toldUndecided = false;
    world.run(20_000);

    assertEquals(0, world.fronts.get(0).superseded, "it was heard again before that was decided");
    assertTrue(world.fronts.get(0).holds());
    assertTrue(world.truth.term() > 1, "a new term");
    assertEquals(List.of(), world.broken);
  }

  /** Members of one region without control machines of its own: a few die one by one. */
  @ParameterizedTest
  @ValueSource(ints = {RegionWatch.LEAST_MEMBERS - 1, RegionWatch.LEAST_MEMBERS})
  void aRegionWithoutControlMachinesIsJudgedByItsMembersIfTheyAreEnough(int members) {
    LeaseWorld world = new LeaseWorld(USUAL, 1, 2, 2);
    world.fronts(FRONT, members, 2);
    world.run(15_000);

    world.fronts.forEach(front -> front.up = false);
    world.run(15_000);

    boolean enough = members >= RegionWatch.LEAST_MEMBERS;
    assertEquals(enough ? members : 0, world.presentCount());
    assertEquals(enough ? 0b100 : 0, world.truth.unreachable());
  }

  /** Its control machines are gone, its fronts go to others: nothing is marked, nobody expires. */
  @Test
  void aRegionThatLosesOnlyItsControlMachinesIsNotLost() {
    LeaseWorld world = new LeaseWorld(USUAL, 1, 2, 2, 2);
    world.fronts(FRONT, 20, 2);
    world.run(15_000);
    long version = world.truth.version();

    world.controls.get(4).up = false;
    world.controls.get(5).up = false;
    world.run(30_000);

    assertEquals(version, world.truth.version());
    assertTrue(world.fronts.stream().allMatch(LeaseWorld.Front::holds));
  }
}
