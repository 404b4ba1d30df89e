package linengauge.front;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import linengauge.flow.ConnectionAttempt;
import linengauge.flow.ConnectionAttempts;
import linengauge.flow.LoopClock;
import linengauge.flow.SlowPeerDetector;
import linengauge.net.WallClock;
import linengauge.site.Site;

/**
 * State of one event loop of viewers' connections: the time for which it ran, its detection of slow
 * peers, its connection attempts, and the tick that drives them.
 */
final class EventLoops {
  private final LoopClock loopTime;
  private final SlowPeerDetector slowPeers;
  private final ConnectionAttempts attempts;

  /** Counters as of the last tick, for readers on other event loops. */
  private volatile Map<String, Long> counters = Map.of();

  EventLoops(Vertx vertx, Site site) {
    var settings = site.flowSettingsPerLoop();
    this.loopTime = new LoopClock(settings.tickInterval(), settings.lateTolerance());
    this.slowPeers = new SlowPeerDetector(settings, loopTime);
    this.attempts = new ConnectionAttempts(site.listenerSettings(), loopTime);
    loopTime.tick(WallClock.now());
    publishCounters();
    vertx.setPeriodic(site.flow().beatMs(), t -> tick());
  }

  private void tick() {
    boolean ran = loopTime.tick(WallClock.now());
    slowPeers.tick(ran);
    attempts.tick(ran);
    publishCounters();
  }

  private void publishCounters() {
    Map<String, Long> values = new TreeMap<>();
    SlowPeerDetector.Counts counts = slowPeers.counts();
    values.put("viewersLetGo", counts.viewersDisconnected);
    values.put("boxesLetGo", counts.boxesDisconnected);
    values.put("spared", counts.spared);
    values.put("standStills", counts.processPauses);
    values.put("standStillMs", loopTime.pausedTime().micros() / 1000);
    values.put("moving", (long) counts.progressingPeers);
    values.put("slow", (long) counts.slowPeers);
    values.put("stirring", (long) slowPeers.activePeers());
    values.put("waitingBytes", slowPeers.bufferBudget().queuedBytes());
    values.put("mostWaitingBytes", slowPeers.bufferBudget().peakQueuedBytes());
    values.put("callersWaiting", (long) attempts.pending());
    values.put("noFirstByte", attempts.timeouts(ConnectionAttempt.State.FIRST_BYTE));
    values.put("headersTooSlow", attempts.timeouts(ConnectionAttempt.State.HEADERS));
    values.put("restedTooLong", attempts.timeouts(ConnectionAttempt.State.BETWEEN));
    counters = values;
  }

  SlowPeerDetector slowPeers() {
    return slowPeers;
  }

  ConnectionAttempts attempts() {
    return attempts;
  }

  /** Sums the counters of all event loops. */
  static JsonObject sum(List<EventLoops> loops) {
    Map<String, Long> sums = new TreeMap<>();
    loops.forEach(
        loop -> loop.counters.forEach((name, count) -> sums.merge(name, count, Long::sum)));
    return new JsonObject(new TreeMap<>(sums));
  }
}
