package linengauge.drill;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.IntFunction;
import linengauge.site.Site;
import linengauge.standin.BoxFleet;
import linengauge.standin.DatagramRelay;
import linengauge.standin.DiscoveryService;
import linengauge.standin.PlayerSimulator;
import linengauge.standin.StandInBox;
import linengauge.standin.Tap;

/**
 * The grounds of one pass of a day: stand-ins in this process, fronts in processes of their own,
 * all on loopback.
 */
final class Grounds implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();

  final DayScript day;
  final Tap tap = new Tap();
  final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(3));
  final BoxFleet fleet;
  final DiscoveryService list;
  final DatagramRelay post;
  final PlayerSimulator crowd;
  final List<FrontProcess> fronts = new ArrayList<>();
  private final List<Integer> ports;
  final List<PlayerSimulator.Front> doors = new ArrayList<>();

  /** The loops of the boxes with their list and words, and of the players. */
  final Context boxLoop = vertx.getOrCreateContext();

  private final Path folder;
  private final SplittableRandom seeds;
  private final IntFunction<ObjectNode> more;

  Grounds(DayScript day, String paid, long seed) throws IOException {
    this(day, paid, seed, List.of(), i -> JSON.createObjectNode());
  }

  /** With ports that are spoken for, and more for each front's site file, by room and key. */
  Grounds(DayScript day, String paid, long seed, List<Integer> taken, IntFunction<ObjectNode> more)
      throws IOException {
    this.day = day;
    this.more = more;
    this.seeds = new SplittableRandom(seed);
    this.folder = Files.createTempDirectory("linengauge-drill");
    int boxes = day.fleet().boxes();
    this.ports = Ports.free(boxes + 1 + DrillSiteFile.PORTS_A_FRONT * day.fronts().count(), taken);
    tap.recordEvent("terms", terms(paid));
    DayScript.FleetPlan f = day.fleet();
    this.fleet =
        new BoxFleet(
            vertx,
            boxKind(),
            boxPlaces(),
            f.racks(),
            f.linkKb(),
            f.uplinkKb(),
            seeds.nextLong(),
            tap);
    this.list =
        new DiscoveryService(
            vertx, Ports.HOST, ports.get(boxes), day.list().lateMs(), seeds.nextLong(), tap);
    this.post = new DatagramRelay(vertx, seeds.nextLong());
    DrillSiteFile siteFile = new DrillSiteFile(day, paid, ports, titles(), more);
    for (int i = 0; i < day.fronts().count(); i++) {
      addFront(i, siteFile);
    }
    this.crowd =
        new PlayerSimulator(
            vertx,
            doors,
            wants(),
            titles(),
            day.ladder().size(),
            (int) (1000 * day.traffic().shortestS()),
            (int) (1000 * day.traffic().longestS()),
            seeds.nextLong(),
            tap);
    Runtime.getRuntime().addShutdownHook(endFronts);
  }

  private List<BoxFleet.BoxLocation> boxPlaces() {
    List<BoxFleet.BoxLocation> places = new ArrayList<>();
    List<String> buildings = day.fleet().buildings();
    for (int i = 0; i < day.fleet().boxes(); i++) {
      String building = buildings.get(i % buildings.size());
      places.add(new BoxFleet.BoxLocation(100 + i, Ports.HOST, ports.get(i), i, building));
    }
    return places;
  }

  private BoxFleet.BoxSpec boxKind() {
    DayScript.FleetPlan f = day.fleet();
    Site.Rules r = day.rules();
    Map<String, Double> factors = new LinkedHashMap<>();
    day.packages().forEach(p -> factors.put(p.name(), p.rateFactor()));
    return new BoxFleet.BoxSpec(
        f.streams(),
        day.ladder().stream().mapToDouble(Site.Rung::kb).toArray(),
        factors,
        f.setUpMs(),
        f.leaseMs(),
        f.seeMs(),
        f.tellMs(),
        f.loadInAnswers(),
        day.permits().reportsUplink(),
        r.coldMs(),
        r.startCapacity(),
        r.fallMultiple(),
        r.fallAfterMs());
  }

  private void addFront(int number, DrillSiteFile siteFile) throws IOException {
    Path site = folder.resolve("front-" + number + ".json5");
    Files.writeString(site, JSON.writeValueAsString(siteFile.of(number)));
    List<String> buildings = day.fleet().buildings();
    String building = buildings.get(number % buildings.size());
    doors.add(
        new PlayerSimulator.Front(number, Ports.HOST, siteFile.viewersPort(number), building));
    fronts.add(
        new FrontProcess(
            number,
            site,
            folder.resolve("front-" + number + ".log"),
            Ports.HOST + ":" + siteFile.controlPort(number),
            tap));
  }

  /** What the viewers of the day ask for. */
  List<PlayerSimulator.PlayerProfile> wants() {
    List<PlayerSimulator.PlayerProfile> wants = new ArrayList<>();
    for (DayScript.Wanted p : day.packages()) {
      wants.add(
          new PlayerSimulator.PlayerProfile(
              p.name(), p.share(), p.patienceMs(), p.joinTargetMs(), p.value()));
    }
    return wants;
  }

  /** A drill that is itself ended takes its fronts along. */
  private final Thread endFronts =
      new Thread(() -> fronts.forEach(FrontProcess::destroy), "end fronts");

  List<String> titles() {
    List<String> titles = new ArrayList<>();
    for (int i = 0; i < day.traffic().titles(); i++) {
      titles.add("title-" + i);
    }
    return titles;
  }

  private Object[] terms(String paid) {
    Map<String, Object> t = new LinkedHashMap<>();
    List<Map<String, Object>> packs = new ArrayList<>();
    for (DayScript.Wanted p : day.packages()) {
      packs.add(
          Map.of(
              "name",
              p.name(),
              "lowestRung",
              p.lowestRung(),
              "highestRung",
              p.highestRung(),
              "seats",
              p.seats(),
              "paidAtSetUp",
              p.name().equals(paid)));
    }
    t.put("packages", packs);
    t.putAll(
        JSON.convertValue(
            day.rules(),
            new com.fasterxml.jackson.core.type.TypeReference<Map<String, Object>>() {}));
    t.put("slackMs", 250);
    Object[] pairs = new Object[2 * t.size()];
    int i = 0;
    for (Map.Entry<String, Object> e : t.entrySet()) {
      pairs[i++] = e.getKey();
      pairs[i++] = e.getValue();
    }
    return pairs;
  }

  /** Opens everything and waits until every front is ready. */
  void open(String... options) throws IOException, InterruptedException {
    List<Future<?>> opened = new ArrayList<>();
    await(
        () -> {
          opened.add(fleet.open());
          opened.add(list.open());
          for (int i = 0; i < fronts.size(); i++) {
            int at = day.fleet().boxes() + 1 + 4 * i;
            opened.add(post.relay(Ports.HOST, ports.get(at + 3), ports.get(at + 2)));
          }
          for (StandInBox b : fleet.boxes()) {
            list.publish(b.location(), "small", "serving", 0);
          }
          return Future.all(opened);
        });
    for (FrontProcess p : fronts) {
      if (options.length == 0) {
        p.start(seeds.nextLong());
      } else {
        p.start(seeds.nextLong(), options);
      }
    }
    for (FrontProcess p : fronts) {
      awaitReady(p, 20_000);
    }
  }

  void awaitReady(FrontProcess p, long millis) throws IOException, InterruptedException {
    long until = System.nanoTime() + millis * 1_000_000;
    while (!p.ready()) {
      if (!p.alive() || System.nanoTime() > until) {
        throw new IOException("front " + p.number() + " did not get ready: " + p.lastLog());
      }
      Thread.sleep(30);
    }
  }

  void startAgain(FrontProcess p) throws IOException {
    p.start(seeds.nextLong());
  }

  /** Runs a step on the boxes' loop and waits for what it gives. */
  <T> T await(java.util.function.Supplier<Future<T>> step)
      throws IOException, InterruptedException {
    CompletableFuture<T> done = new CompletableFuture<>();
    boxLoop.runOnContext(
        v -> {
          try {
            step.get().onSuccess(done::complete).onFailure(done::completeExceptionally);
          } catch (RuntimeException e) {
            done.completeExceptionally(e);
          }
        });
    try {
      return done.get(30, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("a stand-in failed: " + e, e);
    }
  }

  void onBoxes(Runnable step) {
    boxLoop.runOnContext(v -> step.run());
  }

  Path folder() {
    return folder;
  }

  Map<Integer, Boolean> endFronts() throws InterruptedException {
    Map<Integer, Boolean> ended = new HashMap<>();
    for (FrontProcess p : fronts) {
      ended.put(p.number(), p.end(day.fronts().stopMs() + 6000));
    }
    return ended;
  }

  @Override
  public void close() {
    for (FrontProcess p : fronts) {
      try {
        p.end(100);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    Runtime.getRuntime().removeShutdownHook(endFronts);
    vertx.close();
  }
}
