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
 * The test fleet of one pass of a day: stand-ins in this process and fronts in processes of their
 * own, all on loopback.
 */
final class TestFleet implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();

  final DayScript day;
  final Tap tap = new Tap();
  final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(3));
  final BoxFleet fleet;
  final DiscoveryService boxList;
  final DatagramRelay datagramRelay;
  final PlayerSimulator playerCrowd;
  final List<FrontProcess> fronts = new ArrayList<>();
  private final List<Integer> ports;
  final List<PlayerSimulator.Front> frontEndpoints = new ArrayList<>();

  /** The event loop of the boxes, of discovery and datagrams, and of the players. */
  final Context boxLoop = vertx.getOrCreateContext();

  private final Path folder;
  private final SplittableRandom seeds;
  private final IntFunction<ObjectNode> extraSettings;

  TestFleet(DayScript day, String paidPackage, long seed) throws IOException {
    this(day, paidPackage, seed, List.of(), i -> JSON.createObjectNode());
  }

  /**
   * Creates a fleet that avoids the reserved ports; `extraSettings` gives additional settings for
   * the site file of each front, by section and key.
   */
  TestFleet(
      DayScript day,
      String paidPackage,
      long seed,
      List<Integer> reservedPorts,
      IntFunction<ObjectNode> extraSettings)
      throws IOException {
    this.day = day;
    this.extraSettings = extraSettings;
    this.seeds = new SplittableRandom(seed);
    this.folder = Files.createTempDirectory("linengauge-drill");
    int boxes = day.fleet().boxes();
    this.ports =
        Ports.free(boxes + 1 + DrillSiteFile.PORTS_PER_FRONT * day.fronts().count(), reservedPorts);
    tap.recordEvent("terms", recordedSettings(paidPackage));
    DayScript.FleetPlan plan = day.fleet();
    this.fleet =
        new BoxFleet(
            vertx,
            boxKind(),
            boxPlaces(),
            plan.racks(),
            plan.linkKb(),
            plan.uplinkKb(),
            seeds.nextLong(),
            tap);
    this.boxList =
        new DiscoveryService(
            vertx, Ports.HOST, ports.get(boxes), day.list().lateMs(), seeds.nextLong(), tap);
    this.datagramRelay = new DatagramRelay(vertx, seeds.nextLong());
    DrillSiteFile siteFile = new DrillSiteFile(day, paidPackage, ports, titles(), extraSettings);
    for (int i = 0; i < day.fronts().count(); i++) {
      addFront(i, siteFile);
    }
    this.playerCrowd =
        new PlayerSimulator(
            vertx,
            frontEndpoints,
            packageMix(),
            titles(),
            day.ladder().size(),
            (int) (1000 * day.traffic().shortestS()),
            (int) (1000 * day.traffic().longestS()),
            seeds.nextLong(),
            tap);
    Runtime.getRuntime().addShutdownHook(destroyFrontsHook);
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
    DayScript.FleetPlan plan = day.fleet();
    Site.Rules rules = day.rules();
    Map<String, Double> factors = new LinkedHashMap<>();
    day.packages()
        .forEach(packagePlan -> factors.put(packagePlan.name(), packagePlan.rateFactor()));
    return new BoxFleet.BoxSpec(
        plan.streams(),
        day.ladder().stream().mapToDouble(Site.Rung::kb).toArray(),
        factors,
        plan.setUpMs(),
        plan.leaseMs(),
        plan.seeMs(),
        plan.tellMs(),
        plan.loadInAnswers(),
        day.permits().reportsUplink(),
        rules.coldMs(),
        rules.startCapacity(),
        rules.fallMultiple(),
        rules.fallAfterMs());
  }

  private void addFront(int number, DrillSiteFile siteFile) throws IOException {
    Path site = folder.resolve("front-" + number + ".json5");
    Files.writeString(site, JSON.writeValueAsString(siteFile.build(number)));
    List<String> buildings = day.fleet().buildings();
    String building = buildings.get(number % buildings.size());
    frontEndpoints.add(
        new PlayerSimulator.Front(number, Ports.HOST, siteFile.viewersPort(number), building));
    fronts.add(
        new FrontProcess(
            number,
            site,
            folder.resolve("front-" + number + ".log"),
            Ports.HOST + ":" + siteFile.controlPort(number),
            tap));
  }

  /** Returns the packages that the day's viewers ask for, with their shares and time limits. */
  List<PlayerSimulator.PlayerProfile> packageMix() {
    List<PlayerSimulator.PlayerProfile> mix = new ArrayList<>();
    for (DayScript.PackagePlan plan : day.packages()) {
      mix.add(
          new PlayerSimulator.PlayerProfile(
              plan.name(), plan.share(), plan.patienceMs(), plan.joinTargetMs(), plan.value()));
    }
    return mix;
  }

  /** Shutdown hook: ends the fronts if the drill itself is ended. */
  private final Thread destroyFrontsHook =
      new Thread(() -> fronts.forEach(FrontProcess::destroy), "end fronts");

  List<String> titles() {
    List<String> titles = new ArrayList<>();
    for (int i = 0; i < day.traffic().titles(); i++) {
      titles.add("title-" + i);
    }
    return titles;
  }

  private Object[] recordedSettings(String paidPackage) {
    Map<String, Object> settings = new LinkedHashMap<>();
    List<Map<String, Object>> packages = new ArrayList<>();
    for (DayScript.PackagePlan plan : day.packages()) {
      packages.add(
          Map.of(
              "name",
              plan.name(),
              "lowestRung",
              plan.lowestRung(),
              "highestRung",
              plan.highestRung(),
              "seats",
              plan.seats(),
              "paidAtSetUp",
              plan.name().equals(paidPackage)));
    }
    settings.put("packages", packages);
    settings.putAll(
        JSON.convertValue(
            day.rules(),
            new com.fasterxml.jackson.core.type.TypeReference<Map<String, Object>>() {}));
    settings.put("slackMs", 250);
    Object[] pairs = new Object[2 * settings.size()];
    int i = 0;
    for (Map.Entry<String, Object> e : settings.entrySet()) {
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
          opened.add(boxList.open());
          for (int i = 0; i < fronts.size(); i++) {
            int firstPort = day.fleet().boxes() + 1 + 4 * i;
            opened.add(
                datagramRelay.relay(
                    Ports.HOST, ports.get(firstPort + 3), ports.get(firstPort + 2)));
          }
          for (StandInBox box : fleet.boxes()) {
            boxList.publish(box.location(), "small", "serving", 0);
          }
          return Future.all(opened);
        });
    for (FrontProcess front : fronts) {
      if (options.length == 0) {
        front.start(seeds.nextLong());
      } else {
        front.start(seeds.nextLong(), options);
      }
    }
    for (FrontProcess front : fronts) {
      awaitReady(front, 20_000);
    }
  }

  void awaitReady(FrontProcess front, long timeoutMs) throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + timeoutMs * 1_000_000;
    while (!front.isReady()) {
      if (!front.isAlive() || System.nanoTime() > deadlineNanos) {
        throw new IOException(
            "front " + front.number() + " did not become ready: " + front.lastLog());
      }
      Thread.sleep(30);
    }
  }

  void restart(FrontProcess front) throws IOException {
    front.start(seeds.nextLong());
  }

  /** Runs a task on the boxes' event loop and waits for its result. */
  <T> T await(java.util.function.Supplier<Future<T>> task)
      throws IOException, InterruptedException {
    CompletableFuture<T> result = new CompletableFuture<>();
    boxLoop.runOnContext(
        v -> {
          try {
            task.get().onSuccess(result::complete).onFailure(result::completeExceptionally);
          } catch (RuntimeException e) {
            result.completeExceptionally(e);
          }
        });
    try {
      return result.get(30, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("a stand-in failed: " + e, e);
    }
  }

  void runOnBoxLoop(Runnable task) {
    boxLoop.runOnContext(v -> task.run());
  }

  Path folder() {
    return folder;
  }

  Map<Integer, Boolean> stopFronts() throws InterruptedException {
    Map<Integer, Boolean> ended = new HashMap<>();
    for (FrontProcess front : fronts) {
      ended.put(front.number(), front.terminate(day.fronts().stopMs() + 6000));
    }
    return ended;
  }

  @Override
  public void close() {
    for (FrontProcess front : fronts) {
      try {
        front.terminate(100);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    Runtime.getRuntime().removeShutdownHook(destroyFrontsHook);
    vertx.close();
  }
}
