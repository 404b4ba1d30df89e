package linengauge.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Faults drawn from seeds on a small fleet: lines cut one way and both, processes that stand still,
 * leaders that change or are believed in wrongly, copies of the log that do not follow, decisions
 * that come late or undecided, clocks that run off, datagrams that come twice, late and not at all.
 */
class LeaseChaosTest {
  private static final int FRONTS = 18;
  private static final int ROUNDS = 12;

  private static LeaseWorld play(long seed) {
    LeaseWorld world = new LeaseWorld(LeaseSettings.USUAL, seed, 2, 2, 1);
    SplittableRandom chance = new SplittableRandom(seed);
    for (int i = 0; i < FRONTS; i++) {
      LeaseWorld.Front front = world.front(100 + i, i % 3, 1000);
      front.rate = 1 + (chance.nextDouble() - 0.5) * 0.009;
    }
    world.controls.values().forEach(c -> c.rate = 1 + (chance.nextDouble() - 0.5) * 0.009);
    world.run(12_000);
    for (int round = 0; round < ROUNDS; round++) {
      draw(world, chance);
      world.run(500 + chance.nextInt(6_000));
    }
    heal(world);
    world.run(60_000);
    return world;
  }

  private static void draw(LeaseWorld world, SplittableRandom chance) {
    world.doubled = chance.nextBoolean() ? 0.2 : 0;
    world.jitter = chance.nextInt(3) == 0 ? 1_500_000 : 20_000;
    double loss = chance.nextInt(3) == 0 ? 0.3 : 0;
    SplittableRandom ofLoss = chance.split();
    world.lost = (from, message) -> loss > 0 && ofLoss.nextDouble() < loss;
    List<LeaseWorld.Node> all = new ArrayList<>(world.controls.values());
    all.addAll(world.fronts);
    List<LeaseWorld.Node> apart = all.stream().filter(node -> chance.nextInt(4) == 0).toList();
    boolean oneWay = chance.nextBoolean();
    world.cut =
        (from, to) -> apart.contains(from) != apart.contains(to) && (!oneWay || apart.contains(to));
    for (LeaseWorld.Node node : all) {
      if (chance.nextInt(8) == 0) {
        world.pause(node, chance.nextInt(12_000));
      }
    }
    if (chance.nextInt(3) == 0) {
      world.leader = chance.nextInt(world.controls.size());
    }
    for (LeaseWorld.Control control : world.controls.values()) {
      control.followsLog = chance.nextInt(5) != 0;
      control.believes = chance.nextInt(6) == 0 ? control.number : -2;
      control.toldUndecided = chance.nextInt(5) == 0;
      control.proposalDelay = chance.nextInt(4) == 0 ? chance.nextInt(9_000_000) : 30_000;
    }
  }

  private static void heal(LeaseWorld world) {
    world.doubled = 0;
    world.jitter = 20_000;
    world.lost = (from, message) -> false;
    world.cut = (from, to) -> false;
    world.controls.values().forEach(LeaseChaosTest::heal);
  }

  private static void heal(LeaseWorld.Control control) {
    control.followsLog = true;
    control.believes = -2;
    control.toldUndecided = false;
    control.proposalDelay = 30_000;
  }

  /** No front believes in a lease while it is not listed; afterwards all are listed and alike. */
  @Test
  void whoeverHoldsALeaseIsListedAndAllComeRound() {
    for (long seed = 1; seed <= Long.getLong("lease.chaos.seeds", 60); seed++) {
      LeaseWorld world = play(seed);
      assertEquals(List.of(), world.broken, "seed " + seed);
      assertEquals(FRONTS, world.presentCount(), "listed, seed " + seed);
      assertEquals(FRONTS, world.alike(), "alike, seed " + seed);
      assertEquals(0, world.truth.unreachable(), "unreachable, seed " + seed);
      assertTrue(world.fronts.stream().allMatch(LeaseWorld.Front::holds), "seed " + seed);
    }
  }

  @Test
  void theSameSeedIsTheSameRun() {
    LeaseWorld one = play(3);
    LeaseWorld other = play(3);

    assertEquals(one.truth.version(), other.truth.version());
    assertEquals(one.truth.digest(), other.truth.digest());
    assertEquals(one.bytesToFronts, other.bytesToFronts);
  }
}
