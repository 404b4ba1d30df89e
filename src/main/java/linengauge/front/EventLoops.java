package linengauge.front;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import linengauge.carry.Wall;
import linengauge.flow.Knock;
import linengauge.flow.Knocks;
import linengauge.flow.OwnTime;
import linengauge.flow.Watch;
import linengauge.site.Site;

/**
 * One loop of viewers' connections: its own time, its watch over slow peers, its waiting callers,
 * and its beat.
 */
final class EventLoops {
  private final OwnTime loopTime;
  private final Watch slowPeers;
  private final Knocks attempts;

  /** What the last beat saw, for whoever asks on another loop. */
  private volatile Map<String, Long> counters = Map.of();

  EventLoops(Vertx vertx, Site site) {
    var terms = site.flowOfLoop();
    this.loopTime = new OwnTime(terms.beat(), terms.late());
    this.slowPeers = new Watch(terms, loopTime);
    this.attempts = new Knocks(site.door(), loopTime);
    loopTime.beat(Wall.now());
    publishCounters();
    vertx.setPeriodic(site.flow().beatMs(), t -> tick());
  }

  private void tick() {
    boolean ran = loopTime.beat(Wall.now());
    slowPeers.look(ran);
    attempts.look(ran);
    publishCounters();
  }

  private void publishCounters() {
    Map<String, Long> m = new TreeMap<>();
    Watch.Counts c = slowPeers.counts();
    m.put("viewersLetGo", c.viewersLetGo);
    m.put("boxesLetGo", c.boxesLetGo);
    m.put("spared", c.spared);
    m.put("standStills", c.standStills);
    m.put("standStillMs", loopTime.stood().micros() / 1000);
    m.put("moving", (long) c.movers);
    m.put("slow", (long) c.slow);
    m.put("stirring", (long) slowPeers.stirring());
    m.put("waitingBytes", slowPeers.pool().waiting());
    m.put("mostWaitingBytes", slowPeers.pool().most());
    m.put("callersWaiting", (long) attempts.waiting());
    m.put("noFirstByte", attempts.tooLong(Knock.State.FIRST_BYTE));
    m.put("headersTooSlow", attempts.tooLong(Knock.State.HEADERS));
    m.put("restedTooLong", attempts.tooLong(Knock.State.BETWEEN));
    counters = m;
  }

  Watch slowPeers() {
    return slowPeers;
  }

  Knocks attempts() {
    return attempts;
  }

  /** The sums over all loops. */
  static JsonObject sum(List<EventLoops> loops) {
    Map<String, Long> sums = new TreeMap<>();
    loops.forEach(l -> l.counters.forEach((name, n) -> sums.merge(name, n, Long::sum)));
    return new JsonObject(new TreeMap<>(sums));
  }
}
