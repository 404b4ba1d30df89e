package linengauge.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Fronts and control machines together: who comes, goes, moves and comes back. */
class LeaseFleetTest {
  private static final LeaseSettings USUAL = LeaseSettings.USUAL;

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
}
