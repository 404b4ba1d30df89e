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
 * State of one event loop of viewers' connections: the time for which it ran, its detection of slow
 * peers, its connection attempts, and the tick that drives them.
 */
final class EventLoops {
  private final OwnTime loopTime;
  private final Watch slowPeers;
  private final Knocks attempts;

  /** Counters as of the last tick, for readers on other event loops. */
  private volatile Map<String, Long> counters = Map.of();

  EventLoops(Vertx vertx, Site site) {
    var settings = site.flowOfLoop();
    this.loopTime = new OwnTime(settings.beat(), settings.late());
    this.slowPeers = new Watch(settings, loopTime);
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
    Map<String, Long> values = new TreeMap<>();
    Watch.Counts counts = slowPeers.counts();
    values.put("viewersLetGo", counts.viewersLetGo);
    values.put("boxesLetGo", counts.boxesLetGo);
    values.put("spared", counts.spared);
    values.put("standStills", counts.standStills);
    values.put("standStillMs", loopTime.stood().micros() / 1000);
    values.put("moving", (long) counts.movers);
    values.put("slow", (long) counts.slow);
    values.put("stirring", (long) slowPeers.stirring());
    values.put("waitingBytes", slowPeers.pool().waiting());
    values.put("mostWaitingBytes", slowPeers.pool().most());
    values.put("callersWaiting", (long) attempts.waiting());
    values.put("noFirstByte", attempts.tooLong(Knock.State.FIRST_BYTE));
    values.put("headersTooSlow", attempts.tooLong(Knock.State.HEADERS));
    values.put("restedTooLong", attempts.tooLong(Knock.State.BETWEEN));
    counters = values;
  }

  Watch slowPeers() {
    return slowPeers;
  }

  Knocks attempts() {
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
