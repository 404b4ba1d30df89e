package linengauge.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import linengauge.membership.Member;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Fronts and control machines together: who comes, goes, moves and comes back. */
class LeaseFleetTest {
  private static final LeaseSettings USUAL = LeaseSettings.USUAL;
  private static final int FRONT = 100;

  /** A quiet fleet: all hold leases, all views are alike, nobody changes the control machine. */
  @Test
  void aQuietFleetIsKnownToAllAndStaysSo() {
    LeaseWorld world = new LeaseWorld(USUAL, 1, 2, 2, 2);
    for (int region = 0; region < 3; region++) {
      world.fronts(100 + 20 * region, 20, region);
    }
    world.run(15_000);
    long version = world.truth.version();
    assertEquals(60, world.presentCount());
    assertEquals(60, world.alike());
    world.run(60_000);
    assertEquals(version, world.truth.version(), "a quiet fleet changes nothing");
    assertTrue(world.fronts.stream().allMatch(LeaseWorld.Front::holds));
    assertTrue(world.fronts.stream().allMatch(f -> f.agent.figures().failovers() == 0));
    assertEquals(List.of(), world.broken);
  }

  @Test
  void whoFallsSilentExpiresAndWhoLeavesLeavesAtOnce() {
    LeaseWorld world = new LeaseWorld(USUAL, 2, 2, 2, 2);
    world.fronts(100, 12, 0);
    world.run(20_000);
    world.fronts.get(0).up = false;
    world.fronts.get(1).agent.leave(world.fronts.get(1).clock());
    world.run(1_000);
    assertEquals(DirectoryEntry.State.LEFT, world.truth.entry(101).state());
    assertTrue(world.present(100));
    world.run(8_000);
    assertEquals(DirectoryEntry.State.EXPIRED, world.truth.entry(100).state());
    world.run(3_000);
    assertEquals(10, world.alike(), "neither the dead one nor the one that left follows");
    assertTrue(world.fronts.get(1).agent.isSilent());
    assertFalse(world.fronts.get(1).holds());
    assertEquals(List.of(), world.broken);
  }

  /** A front begins another life before its last lease ended: replaced at once, never expired. */
  @Test
  void aRestartTakesThePlaceOfTheLifeBefore() {
    LeaseWorld world = new LeaseWorld(USUAL, 3, 2, 2, 2);
    world.fronts(FRONT, 6, 0);
    world.run(15_000);
    LeaseWorld.Front before = world.fronts.get(0);
    before.up = false;

    LeaseWorld.Front after = world.front(FRONT, 0, 2000);
    world.run(2_500);
    assertTrue(after.holds());
    assertEquals(2000, world.truth.entry(FRONT).incarnation());
    long version = world.truth.version();
    world.run(20_000);
    assertEquals(version, world.truth.version(), "the life before does not expire on top");
    assertEquals(0, after.superseded);
  }

  /** Its wall clock was set back: the number is its own again after a moment. */
  @Test
  void aRestartWithAnEarlierIncarnationComesBackWithALaterOne() {
    LeaseWorld world = new LeaseWorld(USUAL, 3, 1);
    LeaseWorld.Front before = world.front(FRONT, 0, 5000);
    world.run(15_000);
    before.up = false;

    LeaseWorld.Front after = world.front(FRONT, 0, 1000);
    world.run(6_000);

    assertEquals(1, after.superseded);
    assertEquals(5001, after.agent.incarnation());
    assertTrue(after.holds());
    assertEquals(List.of(), world.broken);
  }

  /** Two processes with one number must not supersede each other for ever. */
  @Test
  void ofTwoProcessesWithOneNumberOneGivesUp() {
    LeaseWorld world = new LeaseWorld(USUAL, 4, 2, 1);
    LeaseWorld.Front one = world.front(FRONT, 0, 1000);
    world.run(10_000);
    LeaseWorld.Front other = world.front(FRONT, 0, 2000, "127.0.0.9:9", LeaseAgent::new);

    world.run(300_000);

    assertEquals(LifeContest.MOST_LOST, one.superseded);
    assertTrue(one.agent.isSilent());
    assertTrue(other.holds());
    assertEquals("127.0.0.9:9", world.truth.entry(FRONT).member().address());
    long version = world.truth.version();
    assertTrue(version <= 2 * LifeContest.MOST_LOST + 2, "changes: " + version);
    world.run(100_000);
    assertEquals(version, world.truth.version());
  }

  /** Whoever moves from one control machine to another stays listed. */
  @Test
  void aFrontThatMovesFromOneControlMachineToAnotherIsNotLetGo() {
    LeaseWorld world = new LeaseWorld(USUAL, 5, 2, 2);
    world.fronts(FRONT, 20, 0);
    world.run(15_000);
    long version = world.truth.version();

    for (int machine : new int[] {0, 1, 2, 1, 3, 0}) {
      world.cut = (from, to) -> to.number == machine && from.number >= FRONT;
      world.run(4_000);
    }

    assertEquals(version, world.truth.version());
    assertTrue(world.fronts.stream().allMatch(front -> front.superseded == 0));
    assertEquals(List.of(), world.broken);
  }

  /** A region is cut off for less than a lease: as it comes back nobody may be let go. */
  @Test
  void aRegionThatComesBackWithinALeaseLosesNobody() {
    for (long cutFor = 3_000; cutFor < 6_500; cutFor += 250) {
      LeaseWorld world = new LeaseWorld(USUAL, cutFor, 2, 2, 2);
      world.fronts(FRONT, 20, 2);
      world.run(15_000);

      world.cut = (from, to) -> isOfRegionTwo(from) != isOfRegionTwo(to);
      world.run(cutFor);
      world.cut = (from, to) -> false;
      world.run(15_000);

      assertEquals(20, world.presentCount());
      long changed = world.fronts.stream().filter(front -> front.superseded > 0).count();
      assertEquals(0, changed, "let go after a cut of " + cutFor + " ms");
    }
  }

  /** The region's control machines are heard again a moment before its fronts are. */
  @Test
  void frontsThatComeBackAMomentAfterTheirControlMachinesAreNotLetGo() {
    for (long cutFor = 4_000; cutFor < 5_000; cutFor += 100) {
      LeaseWorld world = new LeaseWorld(USUAL, cutFor, 2, 2, 2);
      world.fronts(FRONT, 20, 2);
      world.run(15_000);

      world.cut = (from, to) -> isOfRegionTwo(from) || isOfRegionTwo(to);
      world.run(cutFor);
      world.cut = (from, to) -> from.number >= FRONT;
      world.run(1_500);
      world.cut = (from, to) -> false;
      world.run(15_000);

      long changed = world.fronts.stream().filter(front -> front.superseded > 0).count();
      assertEquals(0, changed, "let go after a cut of " + cutFor + " ms");
    }
  }

  /** The same for a region without control machines of its own. */
  @Test
  void aRegionWithoutControlMachinesThatComesBackWithinALeaseLosesNobody() {
    for (long cutFor = 3_000; cutFor < 6_500; cutFor += 150) {
      LeaseWorld world = new LeaseWorld(USUAL, cutFor, 2, 2);
      world.fronts(FRONT, 20, 2);
      world.run(15_000);

      world.cut = (from, to) -> isOfRegionTwo(from) != isOfRegionTwo(to);
      world.run(cutFor);
      world.cut = (from, to) -> false;
      world.run(15_000);

      long changed = world.fronts.stream().filter(front -> front.superseded > 0).count();
      assertEquals(0, changed, "let go after a cut of " + cutFor + " ms");
    }
  }

  private static boolean isOfRegionTwo(LeaseWorld.Node node) {
    return node.number == 4 || node.number == 5 || node.number >= FRONT;
  }

  /** Every second round is lost, so all in which a front was heard: told with a later one. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void evidenceThatIsLostIsToldAgain(int lostRounds) {
    LeaseWorld world = new LeaseWorld(USUAL, 6, 1, 1, 1);
    LeaseWorld.AgentMaker heardByOneAlone =
        (settings, own, incarnation, all, port, chance) ->
            new LeaseAgentGuardsTest.Lacking(
                settings, own, incarnation, all.subList(1, 2), port, chance) {
              @Override
              protected boolean failsOver() {
                return false;
              }
            };
    LeaseWorld.Front front = world.front(FRONT, 1, 1000, null, heardByOneAlone);
    world.run(15_000);
    world.lost =
        (from, message) ->
            from.number == 1
                && message instanceof LeaseMessage.Evidence told
                && told.round() % 2 == lostRounds;

    world.run(30_000);

    assertTrue(front.holds());
    assertEquals(0, front.superseded);
  }

  /** Four of six control machines die: a front tries one after another fast enough. */
  @Test
  void whoTriesDeadControlMachinesInTurnIsNotLetGo() {
    LeaseWorld world = new LeaseWorld(USUAL, 7, 2, 2, 2);
    world.leader = 5;
    world.fronts(FRONT, 12, 3); // too few to be taken for a region that is lost
    world.run(15_000);

    for (int machine = 0; machine < 4; machine++) {
      world.controls.get(machine).up = false;
    }
    world.run(20_000);

    assertEquals(12, world.presentCount());
    assertTrue(world.fronts.stream().allMatch(front -> front.superseded == 0));
  }

  /** The log stands still: nobody comes, nobody is let go, and views say how old they are. */
  @Test
  void withoutAMajorityViewsAgeAndNobodyIsLetGo() {
    LeaseWorld world = new LeaseWorld(USUAL, 7, 2, 2, 2);
    world.fronts(FRONT, 12, 1);
    world.run(15_000);
    LeaseWorld.Front front = world.fronts.get(0);
    assertEquals(LeaseAgent.Mode.CURRENT, front.agent.mode(front.clock()));

    world.controls.values().forEach(control -> control.followsLog = false);
    world.run(20_000);

    assertEquals(LeaseAgent.Mode.STALE, front.agent.mode(front.clock()));
    assertTrue(front.agent.age(front.clock()).seconds() > 18);
    assertEquals(12, front.agent.view().present().size(), "the view is kept");
    assertTrue(world.fronts.stream().noneMatch(LeaseWorld.Front::holds));
    world.controls.values().forEach(control -> control.followsLog = true);
    world.run(10_000);
    assertTrue(world.fronts.stream().allMatch(LeaseWorld.Front::holds));
    assertEquals(LeaseAgent.Mode.CURRENT, front.agent.mode(front.clock()));
    assertTrue(world.fronts.stream().allMatch(one -> one.superseded == 0));
  }

  /** Another leads: all keep their leases, and who falls silent then is let go a little later. */
  @Test
  void aNewLeaderChangesNothingForFrontsThatGoOn() {
    LeaseWorld world = new LeaseWorld(USUAL, 8, 2, 2, 2);
    world.fronts(FRONT, 12, 1);
    world.run(15_000);
    long version = world.truth.version();
    world.leader = 3;
    world.fronts.get(0).up = false;
    for (int i = 0; i < 700; i++) {
      world.run(10);
      assertTrue(world.fronts.stream().skip(1).allMatch(LeaseWorld.Front::holds), "" + i);
    }
    assertEquals(version + 1, world.truth.version(), "the new term alone");
    world.run(4_000);
    assertEquals(DirectoryEntry.State.EXPIRED, world.truth.entry(FRONT).state());
  }

  /** The bound on members is reached: no more are taken, nor proposed, until there is room. */
  @Test
  void aFullDirectoryTakesNobodyUntilThereIsRoom() {
    LeaseWorld world = new LeaseWorld(Cases.mostMembers(4), 9, 1);
    world.fronts(FRONT, 4, 0);
    world.run(15_000);
    LeaseWorld.Front waiting = world.front(FRONT + 4, 0, 1000);
    long proposals = world.controls.get(0).registrar.figures().proposals();

    world.run(10_000);
    assertFalse(world.present(FRONT + 4));
    assertEquals(proposals, world.controls.get(0).registrar.figures().proposals());
    assertEquals(4, waiting.agent.view().present().size(), "it follows all the same");

    world.fronts.get(0).agent.leave(world.fronts.get(0).clock());
    world.run(5_000);
    assertTrue(waiting.holds());
  }

  /** What cannot be a front is refused: a control machine's number, and what no datagram holds. */
  @Test
  void numbersThatCannotBeAreRefused() {
    LeaseWorld world = new LeaseWorld(USUAL, 10, 2);
    Registrar registrar = world.controls.get(0).registrar;
    for (int number : new int[] {0, 1, -1, 0x10000}) {
      Member member = new Member(number, "127.0.0.1:1", 0, 0);
      registrar.heard(
          world.controls.get(0).clock(),
          "127.0.0.1:1",
          new LeaseMessage.Heartbeat(member, 1, 1, 0, 0, false));
    }
    world.run(3_000);

    assertEquals(4, registrar.figures().refused());
    assertEquals(0, registrar.figures().acknowledgements());
    assertEquals(0, world.presentCount());
  }

  /**
   * Entries were dropped before a front began its view, some are while it loads: what it never held
   * it does not miss, and so it comes to an end.
   */
  @Test
  void aViewIsLoadedToItsEndThoughEntriesWereDropped() {
    LeaseWorld world = new LeaseWorld(Cases.mostMembers(400), 11, 1);
    world.run(4_000);
    for (int number = 2000; number < 2390; number++) {
      world.decide(registered(number));
    }
    replaceFifty(world, 2000);
    assertTrue(world.truth.resets(400), "some were dropped");
    LeaseWorld.Front front = world.front(FRONT, 0, 1000);
    world.run(2_500);
    assertEquals(LeaseAgent.Mode.STARTING, front.agent.mode(front.clock()));
    assertEquals(0, front.agent.figures().resets(), "it never held what was dropped");

    replaceFifty(world, 2050);
    world.run(8_000);

    assertEquals(1, world.alike());
    assertEquals(1, front.agent.figures().resets(), "it may have held what was dropped since");
    assertEquals(0, front.agent.figures().mismatches());
  }

  private static DirectoryChange registered(int number) {
    return new DirectoryChange.Registered(new Member(number, "127.0.0.1:9", 1, 1), 1);
  }

  private static void replaceFifty(LeaseWorld world, int first) {
    for (int number = first; number < first + 50; number++) {
      world.decide(new DirectoryChange.Departed(number, 1, DirectoryEntry.State.LEFT, 0));
      world.decide(registered(number + 1000));
    }
  }

  /** A fleet that starts at once: heartbeats are spread over time and over control machines. */
  @Test
  void aFleetThatStartsAtOnceIsSpread() {
    LeaseWorld world = new LeaseWorld(USUAL, 12, 2, 2, 2);
    for (int region = 0; region < 3; region++) {
      world.fronts(FRONT + 100 * region, 100, region);
    }
    List<Long> heartbeats = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      world.run(100);
      heartbeats.add(totalHeartbeats(world));
    }
    assertTrue(heartbeats.get(4) > 100 && heartbeats.get(4) < 200, "" + heartbeats);

    world.run(30_000);
    long total = totalHeartbeats(world);
    for (LeaseWorld.Control control : world.controls.values()) {
      double share = 1.0 * control.registrar.figures().heartbeats() / total;
      assertEquals(1.0 / 6, share, 0.05, "share of control machine " + control.number);
    }
  }

  private static long totalHeartbeats(LeaseWorld world) {
    return world.controls.values().stream()
        .mapToLong(control -> control.registrar.figures().heartbeats())
        .sum();
  }
}
