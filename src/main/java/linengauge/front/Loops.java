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
final class Loops {
  private final OwnTime time;
  private final Watch watch;
  private final Knocks knocks;

  /** What the last beat saw, for whoever asks on another loop. */
  private volatile Map<String, Long> seen = Map.of();

  Loops(Vertx vertx, Site site) {
    var terms = site.flowSettingsPerLoop();
    this.time = new OwnTime(terms.beat(), terms.late());
    this.watch = new Watch(terms, time);
    this.knocks = new Knocks(site.listenerSettings(), time);
    time.beat(Wall.now());
    tell();
    vertx.setPeriodic(site.flow().beatMs(), t -> beat());
  }

  private void beat() {
    boolean ran = time.beat(Wall.now());
    watch.look(ran);
    knocks.look(ran);
    tell();
  }

  private void tell() {
    Map<String, Long> m = new TreeMap<>();
    Watch.Counts c = watch.counts();
    m.put("viewersLetGo", c.viewersLetGo);
    m.put("boxesLetGo", c.boxesLetGo);
    m.put("spared", c.spared);
    m.put("standStills", c.standStills);
    m.put("standStillMs", time.stood().micros() / 1000);
    m.put("moving", (long) c.movers);
    m.put("slow", (long) c.slow);
    m.put("stirring", (long) watch.stirring());
    m.put("waitingBytes", watch.pool().waiting());
    m.put("mostWaitingBytes", watch.pool().most());
    m.put("callersWaiting", (long) knocks.waiting());
    m.put("noFirstByte", knocks.tooLong(Knock.State.FIRST_BYTE));
    m.put("headersTooSlow", knocks.tooLong(Knock.State.HEADERS));
    m.put("restedTooLong", knocks.tooLong(Knock.State.BETWEEN));
    seen = m;
  }

  Watch watch() {
    return watch;
  }

  Knocks knocks() {
    return knocks;
  }

  /** The sums over all loops. */
  static JsonObject sum(List<Loops> loops) {
    Map<String, Long> sums = new TreeMap<>();
    loops.forEach(l -> l.seen.forEach((name, n) -> sums.merge(name, n, Long::sum)));
    return new JsonObject(new TreeMap<>(sums));
  }
}
