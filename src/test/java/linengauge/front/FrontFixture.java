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
import java.util.function.UnaryOperator;
import linengauge.drill.Ports;
import linengauge.site.InvalidSiteException;
import linengauge.site.SiteFile;
import linengauge.standin.BoxFleet;
import linengauge.standin.DiscoveryService;
import linengauge.standin.Tap;

/** A front in this process with scripted boxes and a discovery service, on loopback. */
final class FrontFixture implements AutoCloseable {
  static final String MULTIVARIANT_PLAYLIST =
      "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=100\na/media.m3u8\n"
          + "#EXT-X-STREAM-INF:BANDWIDTH=200\nb/media.m3u8\n";
  static final String MEDIA_PLAYLIST =
      "#EXTM3U\n#EXT-X-TARGETDURATION:1\n#EXTINF:1,\nsegments/0.ts\n#EXT-X-ENDLIST\n";

  /** A box with replaceable handlers that records what it receives. */
  final class ScriptedBox {
    final int port;
    final BoxFleet.BoxLocation place;
    final List<String> events = new CopyOnWriteArrayList<>();

    /** Handles set-ups; by default they are accepted at once. */
    volatile Consumer<HttpServerRequest> setUpHandler = this::acceptSetUp;

    volatile Consumer<HttpServerRequest> segmentHandler =
        request -> request.response().end("segment");

    /** Handles ends, rung changes and probes. */
    volatile Consumer<HttpServerRequest> otherHandler = request -> request.response().end();

    private final io.vertx.core.http.HttpServer server = vertx.createHttpServer();

    /** Simulates the loss of the process: its connections break and new ones are refused. */
    void close() throws Exception {
      await(server.close());
    }

    ScriptedBox(int number, int port) throws Exception {
      this.port = port;
      this.place = new BoxFleet.BoxLocation(number, Ports.HOST, port, number, "a");
      await(
          server
              .requestHandler(
                  request -> {
                    request.response().exceptionHandler(e -> {});
                    if (request.path().equals("/notes")) {
                      request.response().setChunked(true).write("{\"life\":\"1\"}\n");
                      long timer = vertx.setPeriodic(500, t -> request.response().write("\n"));
                      request.response().closeHandler(v -> vertx.cancelTimer(timer));
                      return;
                    }
                    events.add(request.method() + " " + request.path());
                    if (request.method() == HttpMethod.PUT) {
                      request.response().closeHandler(v -> events.add("closed " + request.path()));
                      setUpHandler.accept(request);
                    } else if (request.path().endsWith("/media.m3u8")) {
                      request.response().end(MEDIA_PLAYLIST);
                    } else if (request.path().contains("/segments/")) {
                      segmentHandler.accept(request);
                    } else {
                      otherHandler.accept(request);
                    }
                  })
              .listen(port, Ports.HOST));
    }

    void acceptSetUp(HttpServerRequest request) {
      request.response().setStatusCode(201).end(MULTIVARIANT_PLAYLIST);
    }

    long countEvents(String prefix) {
      return events.stream().filter(s -> s.startsWith(prefix)).count();
    }
  }

  final Vertx vertx = Vertx.vertx();
  final DiscoveryService discovery;
  final List<ScriptedBox> boxes = new ArrayList<>();
  final HttpClient client = HttpClient.newHttpClient();
  // Records the events at the discovery service, which requires it; no test reads them.
  final Tap tap = new Tap();
  final int viewerPort;
  final int controlPort;
  final int discoveryPort;
  FrontServer front;
  private final String siteJson;

  /**
   * Starts the boxes and the discovery service.
   *
   * @param extraSettings JSON5 that is inserted into the site file
   */
  FrontFixture(int boxCount, String extraSettings) throws Exception {
    List<Integer> ports = Ports.free(3 + boxCount);
    viewerPort = ports.get(0);
    controlPort = ports.get(1);
    discoveryPort = ports.get(2);
    discovery = new DiscoveryService(vertx, Ports.HOST, discoveryPort, 0, 1, tap);
    await(discovery.open());
    for (int i = 0; i < boxCount; i++) {
      boxes.add(new ScriptedBox(i + 1, ports.get(3 + i)));
      discovery.publish(boxes.get(i).place, "s", "serving", 0);
    }
    siteJson =
        "{ site: 'rig', buildings: ['a'], front: { number: 0, building: 'a', viewers: '"
            + Ports.HOST
            + ":"
            + viewerPort
            + "', control: '"
            + Ports.HOST
            + ":"
            + controlPort
            + "' }, fronts: { count: 1 }, ladder: [ { kb: 30, value: 0.4 }, "
            + "{ kb: 60, value: 1 } ], packages: [ { name: 'plain', value: 1, joinTargetMs: 800 }, { name: 'paid', value: 1, "
            + "joinTargetMs: 800, paidAtSetUp: true } ], fleet: { cells: 8, racks: 1, kinds: [ { name: 's', streams: 20 } ], "
            + "linksKb: 8000, linkKbPerWeight: 4000, uplinkKb: 8000, shareLatenessMs: 500 }, list: { address: '"
            + Ports.HOST
            + ":"
            + discoveryPort
            + "', retryFirstMs: 50, retryMostMs: 200 }, "
            + extraSettings
            + " }";
  }

  static <T> T await(io.vertx.core.Future<T> done) throws Exception {
    return done.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  FrontServer newFront() throws InvalidSiteException {
    return new FrontServer(SiteFile.parse("rig", siteJson));
  }

  FrontFixture start() throws Exception {
    return start(site -> site);
  }

  /** Starts the front with an edited site file. */
  FrontFixture start(UnaryOperator<String> edit) throws Exception {
    front = new FrontServer(SiteFile.parse("rig", edit.apply(siteJson)));
    await(front.start(7));
    waitUntil(() -> get(controlPort, "/ready").statusCode() == 200);
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

  HttpResponse<String> requestViewing(String query) {
    return get(viewerPort, "/titles/t/main.m3u8?package=plain&patience=3000" + query);
  }

  CompletableFuture<HttpResponse<String>> requestViewingAsync(String query) {
    return CompletableFuture.supplyAsync(() -> requestViewing(query));
  }

  JsonObject state() {
    return new JsonObject(get(controlPort, "/state").body());
  }

  /** The first path under /v/ in a playlist. */
  static String viewingPath(HttpResponse<String> playlist) {
    return playlist.body().lines().filter(l -> l.startsWith("/v/")).findFirst().orElseThrow();
  }

  /**
   * Waits for a condition. The time limit is far above what is needed: no test depends on how long
   * something takes.
   */
  static void waitUntil(BooleanSupplier condition) throws InterruptedException {
    for (int i = 0; i < 1500; i++) {
      if (condition.getAsBoolean()) {
        return;
      }
      Thread.sleep(10);
    }
    throw new AssertionError("the condition was not met in time");
  }

  /** Ends all viewings, so that a stopping front need not wait for them. */
  void endAll() {
    front.runOnSessionLoop(() -> front.sessionManager().endAll());
  }

  void waitUntilIdle() throws InterruptedException {
    waitUntil(() -> state().getInteger("held") == 0 && state().getInteger("callsWaiting") == 0);
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
