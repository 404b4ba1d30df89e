package linengauge.front;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import linengauge.carry.Wall;
import linengauge.flow.ConnectionAttempt;
import linengauge.flow.ConnectionAttempts;
import linengauge.flow.LoopClock;
import linengauge.flow.SlowPeerDetector;
import linengauge.site.Site;

/**
 * One loop of viewers' connections: its own time, its watch over slow peers, its waiting callers,
 * and its beat.
 */
final class Loops {
  private final LoopClock time;
  private final SlowPeerDetector watch;
  private final ConnectionAttempts knocks;

  /** What the last beat saw, for whoever asks on another loop. */
  private volatile Map<String, Long> seen = Map.of();

  Loops(Vertx vertx, Site site) {
    var terms = site.flowOfLoop();
    this.time = new LoopClock(terms.tickInterval(), terms.lateTolerance());
    this.watch = new SlowPeerDetector(terms, time);
    this.knocks = new ConnectionAttempts(site.door(), time);
    time.tick(Wall.now());
    tell();
    vertx.setPeriodic(site.flow().beatMs(), t -> beat());
  }

  private void beat() {
    boolean ran = time.tick(Wall.now());
    watch.tick(ran);
    knocks.tick(ran);
    tell();
  }

  private void tell() {
    Map<String, Long> m = new TreeMap<>();
    SlowPeerDetector.Counts c = watch.counts();
    m.put("viewersLetGo", c.viewersDisconnected);
    m.put("boxesLetGo", c.boxesDisconnected);
    m.put("spared", c.spared);
    m.put("standStills", c.processPauses);
    m.put("standStillMs", time.pausedTime().micros() / 1000);
    m.put("moving", (long) c.progressingPeers);
    m.put("slow", (long) c.slowPeers);
    m.put("stirring", (long) watch.activePeers());
    m.put("waitingBytes", watch.bufferBudget().queuedBytes());
    m.put("mostWaitingBytes", watch.bufferBudget().peakQueuedBytes());
    m.put("callersWaiting", (long) knocks.pending());
    m.put("noFirstByte", knocks.timeouts(ConnectionAttempt.State.FIRST_BYTE));
    m.put("headersTooSlow", knocks.timeouts(ConnectionAttempt.State.HEADERS));
    m.put("restedTooLong", knocks.timeouts(ConnectionAttempt.State.BETWEEN));
    seen = m;
  }

  SlowPeerDetector watch() {
    return watch;
  }

  ConnectionAttempts knocks() {
    return knocks;
  }

  /** The sums over all loops. */
  static JsonObject sum(List<Loops> loops) {
    Map<String, Long> sums = new TreeMap<>();
    loops.forEach(l -> l.seen.forEach((name, n) -> sums.merge(name, n, Long::sum)));
    return new JsonObject(new TreeMap<>(sums));
  }
}
