package linengauge.front;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import linengauge.drill.Ports;
import linengauge.site.InvalidSiteException;
import linengauge.site.SiteFile;
import linengauge.standin.BoxFleet;
import linengauge.standin.BoxListService;
import linengauge.standin.Tap;

/** A front in this process with scripted boxes and a list, on loopback. */
final class Rig implements AutoCloseable {
  static final String MULTI =
      "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=100\na/media.m3u8\n"
          + "#EXT-X-STREAM-INF:BANDWIDTH=200\nb/media.m3u8\n";
  static final String MEDIA =
      "#EXTM3U\n#EXT-X-TARGETDURATION:1\n#EXTINF:1,\nsegments/0.ts\n#EXT-X-ENDLIST\n";

  /** A box that does as its script says; what it sees is written down. */
  final class Box {
    final int port;
    final BoxFleet.Place place;
    final List<String> seen = new CopyOnWriteArrayList<>();

    /** What is done with set-ups, by default playing at once. */
    volatile Consumer<HttpServerRequest> setUps = this::plays;

    volatile Consumer<HttpServerRequest> segments = r -> r.response().end("segment");

    /** Ends, rungs and probes. */
    volatile Consumer<HttpServerRequest> others = r -> r.response().end();

    private final io.vertx.core.http.HttpServer server = vertx.createHttpServer();

    /** The process is gone: its connections break and new ones are refused. */
    void close() throws Exception {
      await(server.close());
    }

    Box(int number, int port) throws Exception {
      this.port = port;
      this.place = new BoxFleet.Place(number, Ports.HOST, port, number, "a");
      await(
          server
              .requestHandler(
                  r -> {
                    r.response().exceptionHandler(e -> {});
                    if (r.path().equals("/notes")) {
                      r.response().setChunked(true).write("{\"life\":\"1\"}\n");
                      long timer = vertx.setPeriodic(500, t -> r.response().write("\n"));
                      r.response().closeHandler(v -> vertx.cancelTimer(timer));
                      return;
                    }
                    seen.add(r.method() + " " + r.path());
                    if (r.method() == HttpMethod.PUT) {
                      r.response().closeHandler(v -> seen.add("closed " + r.path()));
                      setUps.accept(r);
                    } else if (r.path().endsWith("/media.m3u8")) {
                      r.response().end(MEDIA);
                    } else if (r.path().contains("/segments/")) {
                      segments.accept(r);
                    } else {
                      others.accept(r);
                    }
                  })
              .listen(port, Ports.HOST));
    }

    void plays(HttpServerRequest r) {
      r.response().setStatusCode(201).end(MULTI);
    }

    long saw(String start) {
      return seen.stream().filter(s -> s.startsWith(start)).count();
    }
  }

  final Vertx vertx = Vertx.vertx();
  final BoxListService list;
  final List<Box> boxes = new ArrayList<>();
  final HttpClient client = HttpClient.newHttpClient();
  final Tap tap = new Tap();
  final int viewers;
  final int control;
  final int listPort;
  FrontProgram front;
  private final String site;

  /** `more` is JSON5 laid into the site file. */
  Rig(int boxCount, String more) throws Exception {
    List<Integer> ports = Ports.free(3 + boxCount);
    viewers = ports.get(0);
    control = ports.get(1);
    listPort = ports.get(2);
    list = new BoxListService(vertx, Ports.HOST, listPort, 0, 1, tap);
    await(list.open());
    for (int i = 0; i < boxCount; i++) {
      boxes.add(new Box(i + 1, ports.get(3 + i)));
      list.set(boxes.get(i).place, "s", "serving", 0);
    }
    site =
        "{ site: 'rig', buildings: ['a'], front: { number: 0, building: 'a', viewers: '"
            + Ports.HOST
            + ":"
            + viewers
            + "', control: '"
            + Ports.HOST
            + ":"
            + control
            + "' }, fronts: { count: 1 }, ladder: [ { kb: 30, value: 0.4 }, "
            + "{ kb: 60, value: 1 } ], packages: [ { name: 'plain', value: 1, joinTargetMs: 800 }, { name: 'paid', value: 1, "
            + "joinTargetMs: 800, paidAtSetUp: true } ], fleet: { cells: 8, racks: 1, kinds: [ { name: 's', streams: 20 } ], "
            + "linksKb: 8000, linkKbPerWeight: 4000, uplinkKb: 8000, shareLatenessMs: 500 }, list: { address: '"
            + Ports.HOST
            + ":"
            + listPort
            + "', retryFirstMs: 50, retryMostMs: 200 }, "
            + more
            + " }";
  }

  static <T> T await(io.vertx.core.Future<T> done) throws Exception {
    return done.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  FrontProgram program() throws InvalidSiteException {
    return new FrontProgram(SiteFile.parse("rig", site));
  }

  Rig start() throws Exception {
    front = program();
    await(front.start(7));
    until(() -> get(control, "/ready").statusCode() == 200);
    return this;
  }

  HttpResponse<String> get(int port, String path) {
    try {
      return client.send(
          HttpRequest.newBuilder(URI.create("http://" + Ports.HOST + ":" + port + path))
              .timeout(Duration.ofSeconds(20))
              .build(),
          HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      throw new AssertionError(path, e);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  HttpResponse<String> join(String more) {
    return get(viewers, "/titles/t/main.m3u8?package=plain&patience=3000" + more);
  }

  CompletableFuture<HttpResponse<String>> joins(String more) {
    return CompletableFuture.supplyAsync(() -> join(more));
  }

  JsonObject state() {
    return new JsonObject(get(control, "/state").body());
  }

  /** The first path under /v/ that a playlist names. */
  static String path(HttpResponse<String> playlist) {
    return playlist.body().lines().filter(l -> l.startsWith("/v/")).findFirst().orElseThrow();
  }

  /** Waits, with a bound far over what is needed: no test judges how long something took. */
  static void until(BooleanSupplier held) throws InterruptedException {
    for (int i = 0; i < 1500; i++) {
      if (held.getAsBoolean()) {
        return;
      }
      Thread.sleep(10);
    }
    throw new AssertionError("it never came to be");
  }

  /** Ends what plays, so that a front that was told to stop need not wait for it. */
  void endAll() {
    front.onDesk(() -> front.core().endAll());
  }

  void untilEmpty() throws InterruptedException {
    until(() -> state().getInteger("held") == 0 && state().getInteger("callsWaiting") == 0);
  }

  @Override
  public void close() {
    try {
      if (front != null) {
        front.stop();
        if (!front.await(15_000)) {
          throw new AssertionError("the front did not stop");
        }
      }
      await(vertx.close());
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }
}
