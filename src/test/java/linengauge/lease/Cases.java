package linengauge.lease;

import linengauge.Span;

/** Cases that tests of both sides set up. */
final class Cases {
  /** Who departs unseen. */
  static final int GONE = 102;

  private Cases() {}

  static LeaseSettings mostMembers(int most) {
    return settings(LeaseSettings.USUAL.drift(), LeaseSettings.USUAL.takeover(), most);
  }

  static LeaseSettings withDrift(double drift) {
    LeaseSettings usual = LeaseSettings.USUAL;
    return settings(drift, usual.takeover(), usual.mostMembers());
  }

  static LeaseSettings withTakeover(Span takeover) {
    LeaseSettings usual = LeaseSettings.USUAL;
    return settings(usual.drift(), takeover, usual.mostMembers());
  }

  private static LeaseSettings settings(double drift, Span takeover, int mostMembers) {
    LeaseSettings usual = LeaseSettings.USUAL;
    return new LeaseSettings(
        usual.heartbeat(),
        usual.answer(),
        usual.lease(),
        drift,
        usual.evidence(),
        usual.batch(),
        takeover,
        usual.mostBytesASecond(),
        mostMembers,
        usual.mostBatch());
  }

  /**
   * A front's answers are lost for some seconds; meanwhile one departs, and others come until that
   * departure is dropped. Six members are the most.
   */
  static LeaseWorld.Front frontThatMissesADroppedDeparture(LeaseWorld world) {
    return frontThatMissesADroppedDeparture(world, LeaseAgentGuardsTest.Blind::new);
  }

  static LeaseWorld.Front frontThatMissesADroppedDeparture(
      LeaseWorld world, LeaseWorld.AgentMaker maker) {
    LeaseWorld.Front watched = world.front(100, 0, 1000, null, maker);
    world.fronts(101, 3, 0);
    world.run(15_000);
    world.cut = (from, to) -> to.number == watched.number;
    LeaseWorld.Front gone = world.fronts.get(GONE - 100);
    gone.agent.leave(gone.clock());
    world.run(1_000);
    world.fronts(110, 3, 0);
    world.run(2_000);
    world.cut = (from, to) -> false;
    world.run(10_000);
    return watched;
  }
}
