package linengauge.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import linengauge.Span;
import org.junit.jupiter.api.Test;

class SlowPeerDetectorTest {
  private final LoopSimulation loop = new LoopSimulation(LoopSimulation.SETTINGS);

  private void addHealthyViewers(int count) {
    for (int i = 0; i < count; i++) {
      loop.new SimulatedViewer("healthy " + i, 2_000_000, 200_000, 2000, 1);
    }
  }

  @Test
  void viewerAtTheLowestRungIsServedAndSlowerOnesAreDisconnected() {
    addHealthyViewers(10);
    loop.new SimulatedViewer("weak", 30_000, 60_000, 2000, 16_384);
    loop.new SimulatedViewer("weaker", 15_000, 60_000, 2000, 1);
    loop.new SimulatedViewer("dead", 1, 60_000, 2000, 1);
    loop.run(4);
    assertEquals(List.of(), loop.disconnected, "nobody is disconnected within the first seconds");
    loop.run(8);
    assertEquals(List.of("dead", "weaker"), loop.disconnected);
    loop.run(60);
    assertEquals(2, loop.disconnected.size());
  }

  @Test
  void viewerThatPausesForThreeSecondsIsServed() {
    addHealthyViewers(10);
    LoopSimulation.SimulatedViewer pausing =
        loop.new SimulatedViewer("pauses", 100_000, 400_000, 2000, 1);
    for (int i = 0; i < 8; i++) {
      pausing.bytesPerSecond = 100_000;
      loop.run(6);
      pausing.bytesPerSecond = 0;
      loop.run(3);
    }
    assertEquals(List.of(), loop.disconnected);
    loop.run(20);
    assertEquals(
        List.of("pauses"), loop.disconnected, "a viewer that does not resume is disconnected");
  }

  @Test
  void fastStartDoesNotExcuseALaterStall() {
    addHealthyViewers(10);
    LoopSimulation.SimulatedViewer viewer =
        loop.new SimulatedViewer("fast, then dead", 5_000_000, 400_000, 2000, 1);
    loop.run(60);
    viewer.bytesPerSecond = 0;
    loop.run(loop.settings.window().seconds() + 4);
    assertEquals(List.of("fast, then dead"), loop.disconnected);
  }

  @Test
  void disconnectsAreLimitedWhereNoPeerProgresses() {
    for (int i = 0; i < 150; i++) {
      loop.new SimulatedViewer("viewer " + i, 200_000, 200_000, 2000, 1);
    }
    loop.run(20);
    loop.viewers.forEach(viewer -> viewer.bytesPerSecond = 2000); // the uplink is saturated
    loop.run(60);
    assertTrue(loop.disconnected.size() > 20, "disconnected slowly");
    // A larger budget would apply until earlier progress has expired, but the minimum owed time is
    // longer than that.
    assertTrue(
        loop.maxDisconnectsWithin(loop.settings.disconnectWindow())
            <= loop.settings.baseDisconnects(),
        "" + loop.maxDisconnectsWithin(Span.ofSeconds(5)));
  }

  @Test
  void manySlowPeersAreDisconnectedWhereOthersProgress() {
    addHealthyViewers(30);
    for (int i = 0; i < 160; i++) {
      loop.new SimulatedViewer("dead " + i, 1, 200_000, 2000, 1);
    }
    loop.run(16);
    assertEquals(160, loop.disconnected.size());
    assertTrue(loop.disconnected.stream().noneMatch(name -> name.startsWith("healthy")));
  }

  @Test
  void processPauseDisconnectsNoPeer() {
    for (int i = 0; i < 50; i++) {
      loop.new SimulatedViewer("viewer " + i, 120_000, 200_000, 2000, 1);
    }
    for (int i = 0; i < 20; i++) {
      loop.run(3);
      loop.pause(2 + i);
    }
    assertEquals(List.of(), loop.disconnected);
    assertEquals(20, loop.detector.counts().processPauses);
  }

  @Test
  void progressDuringAProcessPauseIsCountedBeforeDisconnecting() {
    addHealthyViewers(10);
    LoopSimulation.SimulatedViewer recovering =
        loop.new SimulatedViewer("comes back unseen", 1_000_000, 400_000, 500, 1);
    loop.run(6);
    recovering.bytesPerSecond = 0;
    while (loop.detector.counts().slowPeers == 0
        && recovering
            .traffic
            .owedTime()
            .isShorterThan(loop.settings.minOwedTime().minus(loop.settings.tickInterval()))) {
      loop.run(0.1);
    }
    recovering.bytesPerSecond = 0;
    LoopSimulation.SimulatedViewer dead = loop.new SimulatedViewer("dead", 0, 400_000, 500, 1);
    loop.run(3.9);
    dead.bytesPerSecond = 2_000_000;
    recovering.bytesPerSecond = 2_000_000;
    loop.disconnected.clear();
    loop.pause(10);
    assertEquals(List.of(), loop.disconnected);
    loop.run(2);
    assertEquals(
        List.of(), loop.disconnected.stream().filter(name -> name.equals("dead")).toList());
  }

  @Test
  void gracePeriodLongerThanTheOwedTimeIsKept() {
    FlowSettings settings = LoopSimulation.SETTINGS;
    LoopSimulation simulation =
        new LoopSimulation(
            new FlowSettings(
                true,
                settings.tickInterval(),
                settings.lateTolerance(),
                settings.window(),
                settings.minOwedTime(),
                Span.ofSeconds(20),
                settings.viewerRateFraction(),
                settings.boxRateFraction(),
                settings.maxQueuedBytes(),
                settings.maxQueuedBytesPerPeer(),
                settings.floorBytes(),
                settings.chunkBytes(),
                settings.maxPeers(),
                settings.disconnectWindow(),
                settings.baseDisconnects(),
                settings.disconnectsPerProgressingPeer()));
    simulation.new SimulatedViewer("dead", 1, 200_000, 2000, 1);
    simulation.run(19);
    assertEquals(List.of(), simulation.disconnected);
    simulation.run(2);
    assertEquals(List.of("dead"), simulation.disconnected);
  }

  @Test
  void oldSlowSecondsExpireWhileThePeerIsIdle() {
    addHealthyViewers(10);
    LoopSimulation.SimulatedViewer viewer =
        loop.new SimulatedViewer("now and then", 0, 100_000, 100_000, 1);
    for (int i = 0; i < 6; i++) {
      viewer.bytesPerSecond = 0;
      loop.run(3);
      viewer.bytesPerSecond = 5_000_000;
      loop.run(97.5);
    }
    assertEquals(List.of(), loop.disconnected);
  }

  @Test
  void transferLimitCountsOnlyViewersAndIsReleased() {
    List<PeerTraffic> boxes = new java.util.ArrayList<>();
    for (int i = 0; i < 500; i++) {
      boxes.add(loop.detector.open(PeerTraffic.Side.BOX, new RecordingPeer("box")));
      boxes.get(i).transferStarted(1);
    }
    assertEquals(false, loop.detector.isFull());
    for (int i = 0; i < 300; i++) {
      loop.new SimulatedViewer("viewer " + i, 50_000, 200_000, 2000, 1);
    }
    for (int i = 0; i < 100; i++) {
      loop.run(0.1);
      assertTrue(loop.detector.activePeers() - boxes.size() <= loop.settings.maxPeers());
    }
    assertTrue(loop.detector.isFull());
    loop.viewers.forEach(viewer -> viewer.traffic.close());
    assertEquals(false, loop.detector.isFull());
    boxes.forEach(PeerTraffic::close);
    assertEquals(0, loop.detector.activePeers());
  }

  @Test
  void progressingPeersAreCountedOnceAndBounded() {
    DisconnectBudget budget = new DisconnectBudget(LoopSimulation.SETTINGS);
    for (int i = 0; i < 5000; i++) {
      budget.recordProgress(i % 1000, loop.now);
    }
    assertEquals(LoopSimulation.SETTINGS.maxPeers(), budget.progressingPeers());
  }

  @Test
  void bufferBudgetIsKeptAndNoPeerUnderTheLimitIsPaused() {
    for (long seed = 1; seed <= 300; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      FlowSettings settings = LoopSimulation.SETTINGS;
      BufferBudget budget = new BufferBudget(settings);
      long[] queued = new long[settings.maxPeers()];
      for (int step = 0; step < 3000; step++) {
        int i = random.nextInt(queued.length);
        long newBytes = queued[i];
        if (random.nextInt(20) > 0) {
          if (budget.mayQueue(queued[i])) {
            newBytes = queued[i] + 1 + random.nextInt((int) settings.chunkBytes());
          } else {
            assertTrue(queued[i] >= settings.floorBytes(), "the floor is reserved for every peer");
            for (int j = 0; j < queued.length; j += 7) {
              assertTrue(
                  queued[j] < queued[i] || !budget.mayQueue(queued[j]),
                  "a peer with more bytes may queue while one with fewer may not");
            }
          }
        } else if (queued[i] > 0) {
          newBytes = random.nextLong(queued[i]);
        }
        budget.update(queued[i], newBytes);
        queued[i] = newBytes;
        assertTrue(budget.queuedBytes() <= settings.maxQueuedBytes(), "seed " + seed);
      }
    }
  }

  @Test
  void greedyPeersConvergeToEqualSharesIncludingNewOnes() {
    FlowSettings settings = LoopSimulation.SETTINGS;
    BufferBudget budget = new BufferBudget(settings);
    long[] queued = new long[100];
    int active = 90;
    for (int round = 0; round < 400; round++) {
      for (int i = 0; i < active; i++) {
        long newBytes =
            budget.mayQueue(queued[i])
                ? queued[i] + settings.chunkBytes()
                : Math.max(0, queued[i] - 3000);
        budget.update(queued[i], newBytes);
        queued[i] = newBytes;
      }
      active = round > 200 ? 100 : 90;
    }
    assertTrue(budget.queuedBytes() <= settings.maxQueuedBytes());
    long low = java.util.Arrays.stream(queued).min().orElseThrow();
    long high = java.util.Arrays.stream(queued).max().orElseThrow();
    assertTrue(high - low <= 2 * settings.chunkBytes(), low + " to " + high);
  }

  @Test
  void seededSimulationsStayWithinBoundsAndAreReproducible() {
    for (long seed = 1; seed <= 20; seed++) {
      LoopSimulation first = simulate(seed);
      LoopSimulation repeated = simulate(seed);
      assertEquals(first.disconnected, repeated.disconnected);
      assertEquals(first.disconnectedAt, repeated.disconnectedAt);
      first.viewers.forEach(viewer -> viewer.traffic.close());
      assertEquals(0, first.detector.activePeers());
      assertEquals(0, first.detector.bufferBudget().queuedBytes());
    }
  }

  private static LoopSimulation simulate(long seed) {
    LoopSimulation simulation = new LoopSimulation(LoopSimulation.SETTINGS);
    SplittableRandom random = new SplittableRandom(seed);
    for (int step = 0; step < 120; step++) {
      for (int remaining = random.nextInt(6);
          remaining > 0 && simulation.viewers.size() < 300;
          remaining--) {
        boolean isHealthy = random.nextInt(2) == 0;
        simulation
        .new SimulatedViewer(
            (isHealthy ? "good " : "slow ") + simulation.viewers.size(),
            isHealthy ? 60_000 + random.nextInt(3_000_000) : random.nextInt(18_000),
            40_000 + random.nextInt(200_000),
            2000,
            1 + random.nextInt(20_000));
      }
      if (random.nextInt(10) == 0) {
        simulation.pause(0.5 + random.nextInt(30) / 10.0);
      }
      simulation.run(0.5);
      assertTrue(
          simulation.detector.bufferBudget().queuedBytes() <= simulation.settings.maxQueuedBytes());
      assertTrue(simulation.detector.activePeers() <= simulation.settings.maxPeers());
    }
    assertTrue(
        simulation.disconnected.stream().noneMatch(name -> name.startsWith("good")),
        "seed " + seed + ": " + simulation.disconnected);
    assertTrue(simulation.disconnected.size() > 10, "seed " + seed);
    return simulation;
  }

  @Test
  void boxIsMeasuredOnlyWhileItsBytesAreWanted() {
    addHealthyViewers(10);
    PeerTraffic silent = loop.detector.open(PeerTraffic.Side.BOX, new RecordingPeer("silent"));
    PeerTraffic paused = loop.detector.open(PeerTraffic.Side.BOX, new RecordingPeer("held back"));
    PeerTraffic slow = loop.detector.open(PeerTraffic.Side.BOX, new RecordingPeer("drips"));
    for (PeerTraffic traffic : List.of(silent, paused, slow)) {
      traffic.transferStarted(5000);
      traffic.setBytesWanted(true);
    }
    paused.setBytesWanted(false); // its viewer does not read
    for (int i = 0; i < 100; i++) {
      loop.run(0.1);
      slow.bytesReceived(100);
    }
    assertEquals(List.of("silent", "drips"), loop.disconnected);
    assertEquals(2, loop.detector.counts().boxesDisconnected);
  }

  private final class RecordingPeer implements PeerTraffic.Peer {
    private final String name;

    private RecordingPeer(String name) {
      this.name = name;
    }

    @Override
    public long queuedBytes() {
      return 0;
    }

    @Override
    public void disconnect(PeerTraffic traffic) {
      loop.disconnected.add(name);
    }

    @Override
    public void progressed() {}

    @Override
    public void resume() {}
  }
}
