package linengauge.drill;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import linengauge.standin.BoxFleet;
import linengauge.standin.DiscoveryService;
import linengauge.standin.Tap;
import org.HdrHistogram.Histogram;

/**
 * Measures the overhead of a front over a bare relay of the same library without the decision core:
 * joins and bytes a second, join time at partial load, scaling by event loops, heap for each
 * viewing. Front and baseline are measured in turn within one run, so the ratios are what is
 * comparable.
 */
public final class RelayDrill {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Buffer SEGMENT = Buffer.buffer(new byte[1 << 20]);
  private static final int CONNECTIONS = 48;

  /** Connections of a busy front, at which it works in batches. */
  private static final int MANY_CONNECTIONS = 512;

  private final long seed;
  private final boolean brief;
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(4));
  private final List<Process> processes = new ArrayList<>();
  private final Path folder;
  private int boxPort;
  private int listPort;

  public RelayDrill(long seed, boolean brief) throws IOException {
    this.seed = seed;
    this.brief = brief;
    this.folder = Files.createTempDirectory("linengauge-relay");
  }

  /** A server under measurement: the front or the bare relay. */
  private record Target(String name, int port, FrontProcess process) {}

  public Report run() throws IOException, InterruptedException {
    Report report = new Report("relay", seed);
    Thread end = new Thread(() -> processes.forEach(Process::destroyForcibly), "end processes");
    Runtime.getRuntime().addShutdownHook(end);
    try {
      startBox();
      measure(report);
    } finally {
      processes.forEach(Process::destroyForcibly);
      Runtime.getRuntime().removeShutdownHook(end);
      vertx.close();
    }
    return report;
  }

  private void measure(Report report) throws IOException, InterruptedException {
    int rounds = brief ? 1 : 3;
    long warmUpMs = brief ? 1500 : 6000;
    long spanMs = brief ? 1500 : 3000;
    Target front = startFront(2);
    joinsPerSecond(front, 1000, CONNECTIONS);
    measureHeap(report, front); // before pools and buffers are filled
    Target bare = startBareRelay(2);
    for (Target target : List.of(front, bare)) {
      report.addFigure(
          target.name + ": spans until joins a second rose no more", warmUp(target, spanMs));
      bytesPerSecond(target, warmUpMs / 2);
    }
    double[] joinRatios = new double[rounds];
    double[] fewRatios = new double[rounds];
    double[] byteRatios = new double[rounds];
    double[] frontJoins = new double[rounds];
    double[] frontBytes = new double[rounds];
    for (int i = 0; i < rounds; i++) {
      frontJoins[i] = joinsPerSecond(front, spanMs, MANY_CONNECTIONS);
      joinRatios[i] = frontJoins[i] / joinsPerSecond(bare, spanMs, MANY_CONNECTIONS);
      fewRatios[i] =
          joinsPerSecond(front, spanMs, CONNECTIONS) / joinsPerSecond(bare, spanMs, CONNECTIONS);
      frontBytes[i] = bytesPerSecond(front, spanMs);
      byteRatios[i] = frontBytes[i] / bytesPerSecond(bare, spanMs);
    }
    report.addFigure("front: joins a second", median(frontJoins));
    report.addFigure("front: megabytes a second", median(frontBytes) / 1e6);
    reportRatio(
        report,
        "joins a second over " + MANY_CONNECTIONS + " connections, front over bare relay",
        0.8,
        joinRatios);
    report.addFigure(
        "the same over " + CONNECTIONS + " connections, each waiting for the loops' turns",
        median(fewRatios));
    reportRatio(report, "bytes a second, front over bare relay", 0.9, byteRatios);
    for (double loadFactor : new double[] {0.25, 0.5, 0.75}) {
      double rate = loadFactor * median(frontJoins);
      Histogram frontLatencies = joinAtRate(front, rate, spanMs);
      Histogram bareLatencies = joinAtRate(bare, rate, spanMs);
      String prefix =
          String.format(
              Locale.ROOT,
              "join ms at %.2f of the front's own rate, %.0f a second: ",
              loadFactor,
              rate);
      report.addFigure(
          prefix + "front p50 p99, bare p50 p99",
          percentiles(frontLatencies) + " " + percentiles(bareLatencies));
    }
    processes.forEach(Process::destroyForcibly);
    processes.clear();
    measureLoops(report, warmUpMs, spanMs);
  }

  /**
   * Joins until two consecutive spans show no rise of 5 %, and for at most twelve spans, so that
   * compiled code is measured. Returns the number of spans.
   */
  private int warmUp(Target target, long spanMs) throws InterruptedException {
    double bestRate = 0;
    int flatSpans = 0;
    int spans = 0;
    while (flatSpans < 2 && spans < (brief ? 1 : 12)) {
      double rate = joinsPerSecond(target, spanMs, MANY_CONNECTIONS);
      flatSpans = rate < 1.05 * bestRate ? flatSpans + 1 : 0;
      bestRate = Math.max(bestRate, rate);
      spans++;
    }
    return spans;
  }

  private void reportRatio(Report report, String what, double aim, double[] ratios) {
    Arrays.sort(ratios);
    report.addFigure(
        what + ": least, median, most",
        String.format(
            Locale.ROOT, "%.2f %.2f %.2f", ratios[0], median(ratios), ratios[ratios.length - 1]));
    report.addClaim(
        what,
        String.format(Locale.ROOT, "aim %.2f", aim),
        String.format(Locale.ROOT, "%.2f", median(ratios)),
        median(ratios) >= aim);
  }

  private static double median(double[] values) {
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    return sorted[sorted.length / 2];
  }

  private static String percentiles(Histogram latencies) {
    return String.format(
        Locale.ROOT,
        "%.2f %.2f",
        latencies.getValueAtPercentile(50) / 1e3,
        latencies.getValueAtPercentile(99) / 1e3);
  }

  private void measureLoops(Report report, long warmUpMs, long spanMs)
      throws IOException, InterruptedException {
    double oneLoopRate = 0;
    for (int loops : new int[] {1, 2, 4}) {
      Target target = startFront(loops);
      bytesPerSecond(target, warmUpMs);
      double[] rates = new double[brief ? 1 : 3];
      for (int i = 0; i < rates.length; i++) {
        rates[i] = bytesPerSecond(target, spanMs);
      }
      oneLoopRate = loops == 1 ? median(rates) : oneLoopRate;
      double shareOfOneLoop = median(rates) / oneLoopRate / loops;
      report.addFigure(
          "loops " + loops + ": megabytes a second, part of one loop's each",
          String.format(Locale.ROOT, "%.0f %.2f", median(rates) / 1e6, shareOfOneLoop));
      if (loops > 1) {
        report.addClaim(
            "bytes scale with " + loops + " loops",
            "0.70 a loop",
            String.format(Locale.ROOT, "%.2f", shareOfOneLoop),
            shareOfOneLoop >= 0.7);
      }
      processes.forEach(Process::destroyForcibly);
      processes.clear();
    }
  }

  /** Measures the heap in use after a collection with many viewings playing, compared with none. */
  private void measureHeap(Report report, Target front) throws IOException, InterruptedException {
    int count = brief ? 500 : 2000;
    Thread.sleep(1000);
    long heldBefore = front.process.state().path("held").asLong();
    front.process.heapAfterGc();
    long heapBefore = front.process.heapAfterGc();
    HttpClient client = client(8);
    joinAll(client, front, count, 30_000);
    long heldViewings = front.process.state().path("held").asLong() - heldBefore;
    Thread.sleep(500);
    front.process.heapAfterGc();
    long growthBytes = front.process.heapAfterGc() - heapBefore;
    report.addFigure("viewings held for the heap's figure", heldViewings);
    report.addClaim(
        "heap for each viewing that plays",
        "at most 16 KiB",
        String.format(Locale.ROOT, "%.1f KiB", growthBytes / 1024.0 / Math.max(1, heldViewings)),
        heldViewings == count && growthBytes <= 16L * 1024 * heldViewings);
    client.close();
  }

  private static void waitFor(java.util.function.BooleanSupplier condition, long timeoutMs)
      throws InterruptedException {
    long deadlineNanos = System.nanoTime() + timeoutMs * 1_000_000;
    while (!condition.getAsBoolean() && System.nanoTime() < deadlineNanos) {
      Thread.sleep(10);
    }
  }

  private HttpClient client(int connections) {
    return vertx.createHttpClient(
        new HttpClientOptions().setTcpNoDelay(true),
        new PoolOptions().setHttp1MaxSize(connections).setMaxWaitQueueSize(100_000));
  }

  private RequestOptions joinRequest(Target target) {
    return new RequestOptions()
        .setMethod(HttpMethod.GET)
        .setHost(Ports.HOST)
        .setPort(target.port)
        .setURI("/titles/t/main.m3u8?package=plain&patience=10000");
  }

  private static String viewingId(Buffer playlist) {
    String text = playlist.toString();
    int index = text.indexOf("/v/");
    return index < 0 ? text.strip() : text.substring(index + 3, text.indexOf('/', index + 3));
  }

  /**
   * Returns the joins a second over a fixed number of connections in a closed loop; each viewing is
   * ended at once.
   */
  private double joinsPerSecond(Target target, long durationMs, int connections)
      throws InterruptedException {
    AtomicLong completed = new AtomicLong();
    AtomicInteger running = new AtomicInteger(connections);
    long startedAtNanos = System.nanoTime();
    long deadlineNanos = startedAtNanos + durationMs * 1_000_000;
    HttpClient client = client(connections);
    for (int i = 0; i < connections; i++) {
      vertx
          .getOrCreateContext()
          .runOnContext(v -> joinRepeatedly(client, target, deadlineNanos, completed, running));
    }
    waitFor(() -> running.get() == 0, durationMs + 10_000);
    client.close();
    return completed.get() * 1e9 / (System.nanoTime() - startedAtNanos);
  }

  private void joinRepeatedly(
      HttpClient client,
      Target target,
      long deadlineNanos,
      AtomicLong completed,
      AtomicInteger running) {
    if (System.nanoTime() >= deadlineNanos) {
      running.decrementAndGet();
      return;
    }
    client
        .request(joinRequest(target))
        .compose(RelayDrill::send)
        .compose(
            response ->
                response.statusCode() == 200
                    ? response.body()
                    : Future.failedFuture("status " + response.statusCode()))
        .compose(body -> client.request(leaveRequest(target, body)))
        .compose(RelayDrill::send)
        .compose(response -> response.body())
        .onComplete(
            result -> {
              if (result.succeeded()) {
                completed.incrementAndGet();
              }
              joinRepeatedly(client, target, deadlineNanos, completed, running);
            });
  }

  private RequestOptions leaveRequest(Target target, Buffer playlist) {
    return new RequestOptions()
        .setMethod(HttpMethod.DELETE)
        .setHost(Ports.HOST)
        .setPort(target.port)
        .setURI("/v/" + viewingId(playlist));
  }

  /**
   * Measures join times in microseconds in an open loop: requests are sent at a fixed rate whether
   * or not earlier replies have arrived, and times count from the intended moment.
   */
  private Histogram joinAtRate(Target target, double perSecond, long durationMs)
      throws InterruptedException {
    Histogram latencies = new Histogram(60_000_000L, 3);
    ConcurrentLinkedQueue<Long> latenciesMicros = new ConcurrentLinkedQueue<>();
    HttpClient client = client(512);
    AtomicInteger outstanding = new AtomicInteger();
    long startedAtNanos = System.nanoTime();
    long count = Math.round(perSecond * durationMs / 1000);
    for (long i = 0; i < count; i++) {
      long dueNanos = startedAtNanos + Math.round(i * 1e9 / perSecond);
      while (System.nanoTime() < dueNanos) {
        Thread.onSpinWait();
      }
      outstanding.incrementAndGet();
      client
          .request(joinRequest(target))
          .compose(RelayDrill::send)
          .compose(response -> response.body())
          .onComplete(
              body -> {
                latenciesMicros.add((System.nanoTime() - dueNanos) / 1000);
                if (body.succeeded()) {
                  client
                      .request(leaveRequest(target, body.result()))
                      .compose(RelayDrill::send)
                      .onComplete(response -> outstanding.decrementAndGet());
                } else {
                  outstanding.decrementAndGet();
                }
              });
    }
    waitFor(() -> outstanding.get() == 0, 10_000);
    latenciesMicros.forEach(t -> latencies.recordValue(Math.min(t, 59_000_000L)));
    client.close();
    return latencies;
  }

  private static Future<io.vertx.core.http.HttpClientResponse> send(
      io.vertx.core.http.HttpClientRequest request) {
    request.exceptionHandler(e -> {}); // failures are reported by the futures
    return request.send();
  }

  /**
   * Sends the given number of joins at once and waits for the answers; returns the ids of the
   * viewings that play.
   */
  private List<String> joinAll(HttpClient client, Target target, int count, long timeoutMs)
      throws InterruptedException {
    AtomicInteger answered = new AtomicInteger();
    List<String> ids = java.util.Collections.synchronizedList(new ArrayList<>());
    for (int i = 0; i < count; i++) {
      client
          .request(joinRequest(target))
          .compose(RelayDrill::send)
          .compose(response -> response.body())
          .onComplete(
              body -> {
                if (body.succeeded()) {
                  ids.add(viewingId(body.result()));
                }
                answered.incrementAndGet();
              });
    }
    waitFor(() -> answered.get() == count, timeoutMs);
    return ids;
  }

  /** Returns the bytes a second of segments fetched through playing viewings. */
  private double bytesPerSecond(Target target, long durationMs) throws InterruptedException {
    AtomicLong receivedBytes = new AtomicLong();
    AtomicInteger running = new AtomicInteger(CONNECTIONS);
    HttpClient client = client(CONNECTIONS);
    long[] startedAtNanos = {0};
    List<String> ids = joinAll(client, target, CONNECTIONS, 10_000);
    startedAtNanos[0] = System.nanoTime();
    long deadlineNanos = startedAtNanos[0] + durationMs * 1_000_000;
    running.set(ids.size());
    for (String id : ids) {
      vertx
          .getOrCreateContext()
          .runOnContext(
              v -> fetchSegments(client, target, id, deadlineNanos, receivedBytes, running));
    }
    waitFor(() -> running.get() == 0, durationMs + 10_000);
    double rate = receivedBytes.get() * 1e9 / (System.nanoTime() - startedAtNanos[0]);
    AtomicInteger remaining = new AtomicInteger(ids.size());
    ids.forEach(
        id ->
            client
                .request(
                    new RequestOptions()
                        .setMethod(HttpMethod.DELETE)
                        .setHost(Ports.HOST)
                        .setPort(target.port)
                        .setURI("/v/" + id))
                .compose(RelayDrill::send)
                .onComplete(response -> remaining.decrementAndGet()));
    waitFor(() -> remaining.get() == 0, 5000);
    client.close();
    return rate;
  }

  private void fetchSegments(
      HttpClient client,
      Target target,
      String id,
      long deadlineNanos,
      AtomicLong receivedBytes,
      AtomicInteger running) {
    if (System.nanoTime() >= deadlineNanos) {
      running.decrementAndGet();
      return;
    }
    client
        .request(
            new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(Ports.HOST)
                .setPort(target.port)
                .setURI("/v/" + id + "/m/segments/0.ts"))
        .compose(RelayDrill::send)
        .compose(
            response -> {
              response.handler(chunk -> receivedBytes.addAndGet(chunk.length()));
              return response.end();
            })
        .onComplete(
            response -> fetchSegments(client, target, id, deadlineNanos, receivedBytes, running));
  }

  /** Starts a box that answers every request at once, on event loops of its own. */
  private void startBox() throws IOException, InterruptedException {
    List<Integer> ports = Ports.free(2);
    boxPort = ports.get(0);
    listPort = ports.get(1);
    Tap tap = new Tap();
    DiscoveryService service = new DiscoveryService(vertx, Ports.HOST, listPort, 0, seed, tap);
    AtomicInteger ready = new AtomicInteger();
    service.open().onSuccess(v -> ready.incrementAndGet());
    service.publish(
        new BoxFleet.BoxLocation(1, Ports.HOST, boxPort, 0, "a"), "small", "serving", 0);
    vertx
        .deployVerticle(
            () ->
                new VerticleBase() {
                  @Override
                  public Future<?> start() {
                    return vertx
                        .createHttpServer()
                        .requestHandler(RelayDrill.this::answerAsBox)
                        .listen(boxPort, Ports.HOST);
                  }
                },
            new DeploymentOptions().setInstances(3))
        .onSuccess(v -> ready.incrementAndGet());
    waitFor(() -> ready.get() == 2, 10_000);
  }

  private void answerAsBox(HttpServerRequest request) {
    if (request.method() == HttpMethod.PUT) {
      String id = request.path().substring(request.path().lastIndexOf('/') + 1);
      request
          .body()
          .onSuccess(
              body ->
                  request
                      .response()
                      .setStatusCode(201)
                      .end(
                          "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1000\n/v/"
                              + id
                              + "/media.m3u8\n#EXT-X-STREAM-INF:BANDWIDTH=2000\nx/media.m3u8\n"));
    } else if (request.path().contains("/segments/")) {
      request.response().end(SEGMENT);
    } else if (request.path().equals("/notes")) {
      request.response().setChunked(true).write("{\"life\":\"1\"}\n");
      long timer = vertx.setPeriodic(1000, t -> request.response().write("\n"));
      request.response().closeHandler(v -> vertx.cancelTimer(timer));
    } else {
      request.response().setStatusCode(request.method() == HttpMethod.DELETE ? 204 : 200).end();
    }
  }

  private Target startBareRelay(int loops) throws IOException, InterruptedException {
    int port = Ports.free(1).get(0);
    processes.add(
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx512m",
                "-cp",
                System.getProperty("java.class.path"),
                "linengauge.cli.Main",
                "drill",
                "bare-relay",
                Ports.HOST,
                "" + port,
                "" + boxPort,
                "" + loops)
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("bare.log").toFile())
            .start());
    waitFor(
        () -> {
          try (java.net.Socket socket = new java.net.Socket(Ports.HOST, port)) {
            return socket.isConnected();
          } catch (IOException e) {
            return false;
          }
        },
        20_000);
    return new Target("bare", port, null);
  }

  private Target startFront(int loops) throws IOException, InterruptedException {
    List<Integer> ports = Ports.free(2);
    var site = JSON.createObjectNode().put("site", "relay");
    site.putArray("buildings").add("a");
    site.putObject("front")
        .put("number", 0)
        .put("building", "a")
        .put("viewers", Ports.HOST + ":" + ports.get(0))
        .put("control", Ports.HOST + ":" + ports.get(1));
    site.putObject("fronts").put("count", 1);
    site.putArray("ladder").addObject().put("kb", 0.1).put("value", 1);
    site.putArray("packages")
        .addObject()
        .put("name", "plain")
        .put("value", 1)
        .put("joinTargetMs", 1000);
    site.putObject("fleet")
        .put("cells", 1)
        .put("racks", 1)
        .put("linksKb", 1e6)
        .put("linkKbPerWeight", 1e6)
        .put("uplinkKb", 1e6)
        .put("shareLatenessMs", 500)
        .putArray("kinds")
        .addObject()
        .put("name", "small")
        .put("streams", 1_000_000);
    site.putObject("list").put("address", Ports.HOST + ":" + listPort);
    site.putObject("viewers").put("loops", loops);
    site.putObject("boxes")
        .put("connections", 256)
        .put("waitingSetUps", 4096)
        .put("mediaConnections", 32_000);
    site.putObject("flow").put("transfers", 3000).put("waitingBytes", 440_000_000);
    site.putObject("desk").put("viewings", 3000).put("idleMs", 120_000);
    site.putObject("stop").put("playingMs", 0);
    Path siteFile = folder.resolve("front-" + loops + ".json5");
    Files.writeString(siteFile, site.toString());
    FrontProcess process =
        new FrontProcess(
            0, siteFile, folder.resolve("front.log"), Ports.HOST + ":" + ports.get(1), new Tap());
    process.start(seed, "-Xmx512m");
    processes.add(process.process());
    waitFor(process::isReady, 20_000);
    return new Target("front", ports.get(0), process);
  }

  /** Entry point of the hidden baseline process. */
  public static void bareRelay(String host, int port, int boxPort, int loops)
      throws InterruptedException {
    BareRelay.start(host, port, boxPort, loops);
    while (true) {
      TimeUnit.HOURS.sleep(1);
    }
  }
}
