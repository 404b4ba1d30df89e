package linengauge.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import linengauge.Span;
import org.junit.jupiter.api.Test;

class WatchTest {
  private final LoopStage loop = new LoopStage(LoopStage.TERMS);

  private void healthy(int many) {
    for (int i = 0; i < many; i++) {
      loop.new Taker("healthy " + i, 2_000_000, 200_000, 2000, 1);
    }
  }

  @Test
  void aWeakLinkThatTakesTheLowestRungIsServedAndOneThatTakesLessIsNot() {
    healthy(10);
    loop.new Taker("weak", 30_000, 60_000, 2000, 16_384);
    loop.new Taker("weaker", 15_000, 60_000, 2000, 1);
    loop.new Taker("dead", 1, 60_000, 2000, 1);
    loop.run(4);
    assertEquals(List.of(), loop.gone, "nobody for the first slow seconds");
    loop.run(8);
    assertEquals(List.of("dead", "weaker"), loop.gone);
    loop.run(60);
    assertEquals(2, loop.gone.size());
  }

  @Test
  void oneThatStopsForThreeSecondsAndComesBackIsServed() {
    healthy(10);
    LoopStage.Taker t = loop.new Taker("pauses", 100_000, 400_000, 2000, 1);
    for (int i = 0; i < 8; i++) {
      t.rate = 100_000;
      loop.run(6);
      t.rate = 0;
      loop.run(3);
    }
    assertEquals(List.of(), loop.gone);
    loop.run(20);
    assertEquals(List.of("pauses"), loop.gone, "one that does not come back is let go");
  }

  @Test
  void whatItTookOnceDoesNotExcuseALaterStandstill() {
    healthy(10);
    LoopStage.Taker t = loop.new Taker("fast, then dead", 5_000_000, 400_000, 2000, 1);
    loop.run(60);
    t.rate = 0;
    loop.run(loop.terms.window().seconds() + 4);
    assertEquals(List.of("fast, then dead"), loop.gone);
  }

  @Test
  void whereNobodyMovesHardlyAnybodyIsLetGo() {
    for (int i = 0; i < 150; i++) {
      loop.new Taker("viewer " + i, 200_000, 200_000, 2000, 1);
    }
    loop.run(20);
    loop.takers.forEach(t -> t.rate = 2000); // our own uplink is full
    loop.run(60);
    assertTrue(loop.gone.size() > 20, "slowly all the same");
    // Before the movers of better times have left the window somewhat more may go, but evidence
    // takes longer than that.
    assertTrue(
        loop.mostWithin(loop.terms.letGoWindow()) <= loop.terms.letGoLeast(),
        "" + loop.mostWithin(Span.ofSeconds(5)));
  }

  @Test
  void manySlowAreLetGoSoonWhereManyMove() {
    healthy(30);
    for (int i = 0; i < 160; i++) {
      loop.new Taker("dead " + i, 1, 200_000, 2000, 1);
    }
    loop.run(16);
    assertEquals(160, loop.gone.size());
    assertTrue(loop.gone.stream().noneMatch(n -> n.startsWith("healthy")));
  }

  @Test
  void aLoopThatStoodStillLetsNobodyGoForIt() {
    for (int i = 0; i < 50; i++) {
      loop.new Taker("viewer " + i, 120_000, 200_000, 2000, 1);
    }
    for (int i = 0; i < 20; i++) {
      loop.run(3);
      loop.standStill(2 + i);
    }
    assertEquals(List.of(), loop.gone);
    assertEquals(20, loop.watch.counts().processPauses);
  }

  @Test
  void whatAPeerDidDuringAStandStillIsSeenBeforeItIsJudged() {
    healthy(10);
    LoopStage.Taker t = loop.new Taker("comes back unseen", 1_000_000, 400_000, 500, 1);
    loop.run(6);
    t.rate = 0;
    while (loop.watch.counts().slowPeers == 0
        && t.account.owedTime().under(loop.terms.evidence().minus(loop.terms.tickInterval()))) {
      loop.run(0.1);
    }
    t.rate = 0;
    LoopStage.Taker dead = loop.new Taker("dead", 0, 400_000, 500, 1);
    loop.run(3.9);
    dead.rate = 2_000_000;
    t.rate = 2_000_000;
    loop.gone.clear();
    loop.standStill(10);
    assertEquals(List.of(), loop.gone);
    loop.run(2);
    assertEquals(List.of(), loop.gone.stream().filter(n -> n.equals("dead")).toList());
  }

  @Test
  void aGraceLongerThanTheEvidenceIsKept() {
    FlowSettings t = LoopStage.TERMS;
    LoopStage s =
        new LoopStage(
            new FlowSettings(
                true,
                t.tickInterval(),
                t.lateTolerance(),
                t.window(),
                t.evidence(),
                Span.ofSeconds(20),
                t.viewerShare(),
                t.boxShare(),
                t.waitingBytes(),
                t.peerBytes(),
                t.floorBytes(),
                t.chunkBytes(),
                t.peers(),
                t.letGoWindow(),
                t.letGoLeast(),
                t.letGoPerMover()));
    s.new Taker("dead", 1, 200_000, 2000, 1);
    s.run(19);
    assertEquals(List.of(), s.gone);
    s.run(2);
    assertEquals(List.of("dead"), s.gone);
  }

  @Test
  void slowSecondsLongAgoAreForgottenWhileNothingWasAsked() {
    healthy(10);
    LoopStage.Taker t = loop.new Taker("now and then", 0, 100_000, 100_000, 1);
    for (int i = 0; i < 6; i++) {
      t.rate = 0;
      loop.run(3);
      t.rate = 5_000_000;
      loop.run(97.5);
    }
    assertEquals(List.of(), loop.gone);
  }

  @Test
  void thePlacesForTransfersAreViewersAndAreGivenBack() {
    List<PeerTraffic> boxes = new java.util.ArrayList<>();
    for (int i = 0; i < 500; i++) {
      boxes.add(loop.watch.open(PeerTraffic.Side.BOX, new Gone("box")));
      boxes.get(i).transferStarted(1);
    }
    assertEquals(false, loop.watch.isFull());
    for (int i = 0; i < 300; i++) {
      loop.new Taker("viewer " + i, 50_000, 200_000, 2000, 1);
    }
    for (int i = 0; i < 100; i++) {
      loop.run(0.1);
      assertTrue(loop.watch.activePeers() - boxes.size() <= loop.terms.peers());
    }
    assertTrue(loop.watch.isFull());
    loop.takers.forEach(t -> t.account.close());
    assertEquals(false, loop.watch.isFull());
    boxes.forEach(PeerTraffic::close);
    assertEquals(0, loop.watch.activePeers());
  }

  @Test
  void peersThatMoveAreCountedOnceAndNoMoreThanThereMayBe() {
    Allowance allowance = new Allowance(LoopStage.TERMS);
    for (int i = 0; i < 5000; i++) {
      allowance.moved(i % 1000, loop.now);
    }
    assertEquals(LoopStage.TERMS.peers(), allowance.movers());
  }

  @Test
  void noMoreWaitsThanTheBudgetAndNobodyUnderTheLimitIsHeldBack() {
    for (long seed = 1; seed <= 300; seed++) {
      SplittableRandom chance = new SplittableRandom(seed);
      FlowSettings t = LoopStage.TERMS;
      BufferBudget pool = new BufferBudget(t);
      long[] waiting = new long[t.peers()];
      for (int step = 0; step < 3000; step++) {
        int i = chance.nextInt(waiting.length);
        long to = waiting[i];
        if (chance.nextInt(20) > 0) {
          if (pool.mayWait(waiting[i])) {
            to = waiting[i] + 1 + chance.nextInt((int) t.chunkBytes());
          } else {
            assertTrue(waiting[i] >= t.floorBytes(), "its floor is kept for everybody");
            for (int j = 0; j < waiting.length; j += 7) {
              assertTrue(
                  waiting[j] < waiting[i] || !pool.mayWait(waiting[j]),
                  "one that has more is granted more while one that has less is refused");
            }
          }
        } else if (waiting[i] > 0) {
          to = chance.nextLong(waiting[i]);
        }
        pool.changed(waiting[i], to);
        waiting[i] = to;
        assertTrue(pool.queuedBytes() <= t.waitingBytes(), "seed " + seed);
      }
    }
  }

  @Test
  void greedyPeersEndWithEqualPartsAndANewcomerGetsItsOwn() {
    FlowSettings t = LoopStage.TERMS;
    BufferBudget pool = new BufferBudget(t);
    long[] waiting = new long[100];
    int active = 90;
    for (int round = 0; round < 400; round++) {
      for (int i = 0; i < active; i++) {
        long to =
            pool.mayWait(waiting[i]) ? waiting[i] + t.chunkBytes() : Math.max(0, waiting[i] - 3000);
        pool.changed(waiting[i], to);
        waiting[i] = to;
      }
      active = round > 200 ? 100 : 90;
    }
    assertTrue(pool.queuedBytes() <= t.waitingBytes());
    long low = java.util.Arrays.stream(waiting).min().orElseThrow();
    long high = java.util.Arrays.stream(waiting).max().orElseThrow();
    assertTrue(high - low <= 2 * t.chunkBytes(), low + " to " + high);
  }

  @Test
  void thousandsOfSeededStepsStayWithinEveryBoundAndGiveTheSameVerdictsAgain() {
    for (long seed = 1; seed <= 20; seed++) {
      LoopStage first = day(seed);
      LoopStage again = day(seed);
      assertEquals(first.gone, again.gone);
      assertEquals(first.goneAt, again.goneAt);
      first.takers.forEach(t -> t.account.close());
      assertEquals(0, first.watch.activePeers());
      assertEquals(0, first.watch.bufferBudget().queuedBytes());
    }
  }

  private static LoopStage day(long seed) {
    LoopStage s = new LoopStage(LoopStage.TERMS);
    SplittableRandom chance = new SplittableRandom(seed);
    for (int step = 0; step < 120; step++) {
      for (int n = chance.nextInt(6); n > 0 && s.takers.size() < 300; n--) {
        boolean good = chance.nextInt(2) == 0;
        s
        .new Taker(
            (good ? "good " : "slow ") + s.takers.size(),
            good ? 60_000 + chance.nextInt(3_000_000) : chance.nextInt(18_000),
            40_000 + chance.nextInt(200_000),
            2000,
            1 + chance.nextInt(20_000));
      }
      if (chance.nextInt(10) == 0) {
        s.standStill(0.5 + chance.nextInt(30) / 10.0);
      }
      s.run(0.5);
      assertTrue(s.watch.bufferBudget().queuedBytes() <= s.terms.waitingBytes());
      assertTrue(s.watch.activePeers() <= s.terms.peers());
    }
    assertTrue(
        s.gone.stream().noneMatch(n -> n.startsWith("good")), "seed " + seed + ": " + s.gone);
    assertTrue(s.gone.size() > 10, "seed " + seed);
    return s;
  }

  @Test
  void aBoxIsJudgedOnlyWhileItsBytesAreWanted() {
    healthy(10);
    PeerTraffic silent = loop.watch.open(PeerTraffic.Side.BOX, new Gone("silent"));
    PeerTraffic heldBack = loop.watch.open(PeerTraffic.Side.BOX, new Gone("held back"));
    PeerTraffic drips = loop.watch.open(PeerTraffic.Side.BOX, new Gone("drips"));
    for (PeerTraffic a : List.of(silent, heldBack, drips)) {
      a.transferStarted(5000);
      a.setBytesWanted(true);
    }
    heldBack.setBytesWanted(false); // its viewer does not read
    for (int i = 0; i < 100; i++) {
      loop.run(0.1);
      drips.bytesReceived(100);
    }
    assertEquals(List.of("silent", "drips"), loop.gone);
    assertEquals(2, loop.watch.counts().boxesDisconnected);
  }

  private final class Gone implements PeerTraffic.Peer {
    private final String name;

    private Gone(String name) {
      this.name = name;
    }

    @Override
    public long queuedBytes() {
      return 0;
    }

    @Override
    public void disconnect(PeerTraffic account) {
      loop.gone.add(name);
    }

    @Override
    public void progressed() {}

    @Override
    public void resume() {}
  }
}
