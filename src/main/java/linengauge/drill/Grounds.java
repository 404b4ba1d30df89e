package linengauge.drill;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
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
import linengauge.standin.BoxListService;
import linengauge.standin.PlayerCrowd;
import linengauge.standin.StandInBox;
import linengauge.standin.Tap;
import linengauge.standin.WordPost;

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
  final BoxListService list;
  final WordPost post;
  final PlayerCrowd crowd;
  final List<FrontProcess> fronts = new ArrayList<>();
  final List<PlayerCrowd.Door> doors = new ArrayList<>();

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
    int fronts = day.fronts().count();
    int boxes = day.fleet().boxes();
    List<Integer> ports = Ports.free(boxes + 1 + 4 * fronts, taken);
    List<BoxFleet.Place> places = new ArrayList<>();
    List<String> buildings = day.fleet().buildings();
    for (int i = 0; i < boxes; i++) {
      places.add(
          new BoxFleet.Place(
              100 + i, Ports.HOST, ports.get(i), i, buildings.get(i % buildings.size())));
    }
    tap.saw("terms", terms(paid));
    DayScript.FleetPlan f = day.fleet();
    Map<String, Double> factors = new LinkedHashMap<>();
    day.packages().forEach(p -> factors.put(p.name(), p.rateFactor()));
    Site.Rules r = day.rules();
    BoxFleet.Kind kind =
        new BoxFleet.Kind(
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
    this.fleet =
        new BoxFleet(
            vertx, kind, places, f.racks(), f.linkKb(), f.uplinkKb(), seeds.nextLong(), tap);
    this.list =
        new BoxListService(
            vertx, Ports.HOST, ports.get(boxes), day.list().lateMs(), seeds.nextLong(), tap);
    this.post = new WordPost(vertx, seeds.nextLong());
    for (int i = 0; i < fronts; i++) {
      int at = boxes + 1 + 4 * i;
      Path site = folder.resolve("front-" + i + ".json5");
      Files.writeString(site, JSON.writeValueAsString(site(i, paid, ports)));
      doors.add(
          new PlayerCrowd.Door(i, Ports.HOST, ports.get(at), buildings.get(i % buildings.size())));
      this.fronts.add(
          new FrontProcess(
              i,
              site,
              folder.resolve("front-" + i + ".log"),
              Ports.HOST + ":" + ports.get(at + 1),
              tap));
    }
    List<PlayerCrowd.Want> wants = new ArrayList<>();
    day.packages()
        .forEach(
            p ->
                wants.add(
                    new PlayerCrowd.Want(
                        p.name(), p.share(), p.patienceMs(), p.joinTargetMs(), p.value())));
    this.crowd =
        new PlayerCrowd(
            vertx,
            doors,
            wants,
            titles(),
            day.ladder().size(),
            (int) (1000 * day.traffic().shortestS()),
            (int) (1000 * day.traffic().longestS()),
            seeds.nextLong(),
            tap);
    this.ports = ports;
    Runtime.getRuntime().addShutdownHook(endFronts);
  }

  private final List<Integer> ports;

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

  /** The site file of one front; words go by way of the post. */
  private ObjectNode site(int number, String paid, List<Integer> ports) {
    DayScript.FleetPlan f = day.fleet();
    int at = f.boxes() + 1 + 4 * number;
    ObjectNode s = JSON.createObjectNode().put("site", day.name());
    s.set("buildings", JSON.valueToTree(f.buildings()));
    s.putObject("front")
        .put("number", number)
        .put("building", f.buildings().get(number % f.buildings().size()))
        .put("viewers", Ports.HOST + ":" + ports.get(at))
        .put("control", Ports.HOST + ":" + ports.get(at + 1))
        .put("words", Ports.HOST + ":" + ports.get(at + 2));
    ObjectNode words = s.putObject("fronts").put("count", day.fronts().count()).putObject("words");
    for (int i = 0; i < day.fronts().count(); i++) {
      words.put("" + i, Ports.HOST + ":" + ports.get(f.boxes() + 1 + 4 * i + 3));
    }
    s.set("ladder", JSON.valueToTree(day.ladder()));
    ArrayNode packs = s.putArray("packages");
    for (DayScript.Wanted p : day.packages()) {
      packs
          .addObject()
          .put("name", p.name())
          .put("value", p.value())
          .put("joinTargetMs", p.joinTargetMs())
          .put("rateFactor", p.rateFactor())
          .put("lowestRung", p.lowestRung())
          .put("highestRung", p.highestRung())
          .put("seats", p.seats())
          .put("paidAtSetUp", p.name().equals(paid));
    }
    s.putObject("fleet")
        .put("cells", f.boxes())
        .put("racks", f.racks())
        .put("linksKb", f.boxes() * f.linkKb())
        .put("linkKbPerWeight", f.linkKb())
        .put("uplinkKb", f.uplinkKb())
        .put("shareLatenessMs", f.seeMs())
        .putArray("kinds")
        .addObject()
        .put("name", "small")
        .put("streams", f.streams());
    s.set("rules", JSON.valueToTree(day.rules()));
    s.set("permits", JSON.valueToTree(day.permits()));
    ArrayNode cells = s.putObject("titles").put("anywhere", false).putArray("cells");
    int n = 0;
    for (String title : titles()) {
      cells
          .addObject()
          .put("name", title)
          .put("first", n++ * 5 % f.boxes())
          .put("inRow", Math.min(f.boxes(), day.traffic().copies()));
    }
    s.putObject("list")
        .put("address", Ports.HOST + ":" + ports.get(f.boxes()))
        .put("silenceMs", 3000)
        .put("retryMostMs", 1000);
    s.putObject("viewers").put("loops", day.fronts().loops());
    s.putObject("boxes")
        .put("notesSilenceMs", 3000)
        .put("notesRetryMs", 200)
        .put("firstByteMs", 3000)
        .put("mediaSilenceMs", 3000)
        .put("endRetryMs", 200)
        .put("mediaConnections", Math.max(64, 4 * f.streams()));
    s.putObject("desk").put("viewings", day.fronts().viewings()).put("idleMs", 6000);
    s.putObject("stop").put("playingMs", day.fronts().stopMs());
    more.apply(number)
        .fields()
        .forEachRemaining(
            room -> s.withObject("/" + room.getKey()).setAll((ObjectNode) room.getValue()));
    return s;
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
            opened.add(post.carry(Ports.HOST, ports.get(at + 3), ports.get(at + 2)));
          }
          for (StandInBox b : fleet.boxes()) {
            list.set(b.place(), "small", "serving", 0);
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
