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
 * What the front costs over a bare relay of the same library with no core: joins and bytes a
 * second, join time at half load, scaling by loops, heap for each viewing. All in one run, front
 * and baseline in turn; ratios are what counts.
 */
public final class RelayDrill {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Buffer SEGMENT = Buffer.buffer(new byte[1 << 20]);
  private static final int CONNECTIONS = 48;

  /** As many as a busy front has: it works in batches then, as it is built to. */
  private static final int MANY_CONNECTIONS = 512;

  private final long seed;
  private final boolean brief;
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(4));
  private final List<Process> started = new ArrayList<>();
  private final Path folder;
  private int box;
  private int list;

  public RelayDrill(long seed, boolean brief) throws IOException {
    this.seed = seed;
    this.brief = brief;
    this.folder = Files.createTempDirectory("linengauge-relay");
  }

  /** One that carries viewers' requests: the front or the bare relay. */
  private record Carrying(String name, int port, FrontProcess front) {}

  public Report run() throws IOException, InterruptedException {
    Report report = new Report("relay", seed);
    Thread end = new Thread(() -> started.forEach(Process::destroyForcibly), "end processes");
    Runtime.getRuntime().addShutdownHook(end);
    try {
      box();
      measure(report);
    } finally {
      started.forEach(Process::destroyForcibly);
      Runtime.getRuntime().removeShutdownHook(end);
      vertx.close();
    }
    return report;
  }

  private void measure(Report report) throws IOException, InterruptedException {
    int rounds = brief ? 1 : 3;
    long warm = brief ? 1500 : 6000;
    long span = brief ? 1500 : 3000;
    Carrying front = front(2);
    joins(front, 1000, CONNECTIONS);
    heap(report, front); // before anything has filled pools and buffers
    Carrying bare = bare(2);
    for (Carrying c : List.of(front, bare)) {
      report.figure(c.name + ": spans until joins a second rose no more", warm(c, span));
      bytes(c, warm / 2);
    }
    double[] joinRatios = new double[rounds];
    double[] fewRatios = new double[rounds];
    double[] byteRatios = new double[rounds];
    double[] frontJoins = new double[rounds];
    double[] frontBytes = new double[rounds];
    for (int i = 0; i < rounds; i++) {
      frontJoins[i] = joins(front, span, MANY_CONNECTIONS);
      joinRatios[i] = frontJoins[i] / joins(bare, span, MANY_CONNECTIONS);
      fewRatios[i] = joins(front, span, CONNECTIONS) / joins(bare, span, CONNECTIONS);
      frontBytes[i] = bytes(front, span);
      byteRatios[i] = frontBytes[i] / bytes(bare, span);
    }
    report.figure("front: joins a second", median(frontJoins));
    report.figure("front: megabytes a second", median(frontBytes) / 1e6);
    ratio(
        report,
        "joins a second over " + MANY_CONNECTIONS + " connections, front over bare relay",
        0.8,
        joinRatios);
    report.figure(
        "the same over " + CONNECTIONS + " connections, each waiting for the loops' turns",
        median(fewRatios));
    ratio(report, "bytes a second, front over bare relay", 0.9, byteRatios);
    for (double part : new double[] {0.25, 0.5, 0.75}) {
      double rate = part * median(frontJoins);
      Histogram ofFront = spaced(front, rate, span);
      Histogram ofBare = spaced(bare, rate, span);
      String at =
          String.format(
              Locale.ROOT, "join ms at %.2f of the front's own rate, %.0f a second: ", part, rate);
      report.figure(at + "front p50 p99, bare p50 p99", millis(ofFront) + " " + millis(ofBare));
    }
    started.forEach(Process::destroyForcibly);
    started.clear();
    loops(report, warm, span);
  }

  /**
   * Until two spans in a row brought no rise of a twentieth, and at most twelve: compiled code is
   * what counts.
   */
  private int warm(Carrying c, long span) throws InterruptedException {
    double best = 0;
    int flat = 0;
    int spans = 0;
    while (flat < 2 && spans < (brief ? 1 : 12)) {
      double now = joins(c, span, MANY_CONNECTIONS);
      flat = now < 1.05 * best ? flat + 1 : 0;
      best = Math.max(best, now);
      spans++;
    }
    return spans;
  }

  private void ratio(Report report, String what, double aim, double[] ratios) {
    Arrays.sort(ratios);
    report.figure(
        what + ": least, median, most",
        String.format(
            Locale.ROOT, "%.2f %.2f %.2f", ratios[0], median(ratios), ratios[ratios.length - 1]));
    report.claim(
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

  private static String millis(Histogram h) {
    return String.format(
        Locale.ROOT,
        "%.2f %.2f",
        h.getValueAtPercentile(50) / 1e3,
        h.getValueAtPercentile(99) / 1e3);
  }

  private void loops(Report report, long warm, long span) throws IOException, InterruptedException {
    double one = 0;
    for (int loops : new int[] {1, 2, 4}) {
      Carrying c = front(loops);
      bytes(c, warm);
      double[] of = new double[brief ? 1 : 3];
      for (int i = 0; i < of.length; i++) {
        of[i] = bytes(c, span);
      }
      one = loops == 1 ? median(of) : one;
      double each = median(of) / one / loops;
      report.figure(
          "loops " + loops + ": megabytes a second, part of one loop's each",
          String.format(Locale.ROOT, "%.0f %.2f", median(of) / 1e6, each));
      if (loops > 1) {
        report.claim(
            "bytes scale with " + loops + " loops",
            "0.70 a loop",
            String.format(Locale.ROOT, "%.2f", each),
            each >= 0.7);
      }
      started.forEach(Process::destroyForcibly);
      started.clear();
    }
  }

  /** Heap after a collection with many viewings playing, over that with none. */
  private void heap(Report report, Carrying front) throws IOException, InterruptedException {
    int many = brief ? 500 : 2000;
    Thread.sleep(1000);
    long heldBefore = front.front.state().path("held").asLong();
    front.front.heap();
    long before = front.front.heap();
    HttpClient client = client(8);
    joinAll(client, front, many, 30_000);
    long held = front.front.state().path("held").asLong() - heldBefore;
    Thread.sleep(500);
    front.front.heap();
    long more = front.front.heap() - before;
    report.figure("viewings held for the heap's figure", held);
    report.claim(
        "heap for each viewing that plays",
        "at most 16 KiB",
        String.format(Locale.ROOT, "%.1f KiB", more / 1024.0 / Math.max(1, held)),
        held == many && more <= 16L * 1024 * held);
    client.close();
  }

  private static void waitFor(java.util.function.BooleanSupplier held, long millis)
      throws InterruptedException {
    long until = System.nanoTime() + millis * 1_000_000;
    while (!held.getAsBoolean() && System.nanoTime() < until) {
      Thread.sleep(10);
    }
  }

  private HttpClient client(int connections) {
    return vertx.createHttpClient(
        new HttpClientOptions().setTcpNoDelay(true),
        new PoolOptions().setHttp1MaxSize(connections).setMaxWaitQueueSize(100_000));
  }

  private RequestOptions join(Carrying to) {
    return new RequestOptions()
        .setMethod(HttpMethod.GET)
        .setHost(Ports.HOST)
        .setPort(to.port)
        .setURI("/titles/t/main.m3u8?package=plain&patience=10000");
  }

  private static String id(Buffer playlist) {
    String text = playlist.toString();
    int at = text.indexOf("/v/");
    return at < 0 ? text.strip() : text.substring(at + 3, text.indexOf('/', at + 3));
  }

  /** Joins a second, each ended at once, as fast as a fixed number of connections takes them. */
  private double joins(Carrying to, long millis, int connections) throws InterruptedException {
    AtomicLong done = new AtomicLong();
    AtomicInteger running = new AtomicInteger(connections);
    long began = System.nanoTime();
    long until = began + millis * 1_000_000;
    HttpClient client = client(connections);
    for (int i = 0; i < connections; i++) {
      vertx.getOrCreateContext().runOnContext(v -> joinOn(client, to, until, done, running));
    }
    waitFor(() -> running.get() == 0, millis + 10_000);
    client.close();
    return done.get() * 1e9 / (System.nanoTime() - began);
  }

  private void joinOn(
      HttpClient client, Carrying to, long until, AtomicLong done, AtomicInteger running) {
    if (System.nanoTime() >= until) {
      running.decrementAndGet();
      return;
    }
    client
        .request(join(to))
        .compose(RelayDrill::sent)
        .compose(
            r -> r.statusCode() == 200 ? r.body() : Future.failedFuture("status " + r.statusCode()))
        .compose(b -> client.request(leave(to, b)))
        .compose(RelayDrill::sent)
        .compose(r -> r.body())
        .onComplete(
            r -> {
              if (r.succeeded()) {
                done.incrementAndGet();
              }
              joinOn(client, to, until, done, running);
            });
  }

  private RequestOptions leave(Carrying to, Buffer playlist) {
    return new RequestOptions()
        .setMethod(HttpMethod.DELETE)
        .setHost(Ports.HOST)
        .setPort(to.port)
        .setURI("/v/" + id(playlist));
  }

  /**
   * Join times in microseconds from the intended moment, at a fixed rate whether or not replies
   * have come.
   */
  private Histogram spaced(Carrying to, double perSecond, long millis) throws InterruptedException {
    Histogram times = new Histogram(60_000_000L, 3);
    ConcurrentLinkedQueue<Long> taken = new ConcurrentLinkedQueue<>();
    HttpClient client = client(512);
    AtomicInteger out = new AtomicInteger();
    long began = System.nanoTime();
    long count = Math.round(perSecond * millis / 1000);
    for (long i = 0; i < count; i++) {
      long due = began + Math.round(i * 1e9 / perSecond);
      while (System.nanoTime() < due) {
        Thread.onSpinWait();
      }
      out.incrementAndGet();
      client
          .request(join(to))
          .compose(RelayDrill::sent)
          .compose(r -> r.body())
          .onComplete(
              b -> {
                taken.add((System.nanoTime() - due) / 1000);
                if (b.succeeded()) {
                  client
                      .request(leave(to, b.result()))
                      .compose(RelayDrill::sent)
                      .onComplete(r -> out.decrementAndGet());
                } else {
                  out.decrementAndGet();
                }
              });
    }
    waitFor(() -> out.get() == 0, 10_000);
    taken.forEach(t -> times.recordValue(Math.min(t, 59_000_000L)));
    client.close();
    return times;
  }

  private static Future<io.vertx.core.http.HttpClientResponse> sent(
      io.vertx.core.http.HttpClientRequest q) {
    q.exceptionHandler(e -> {}); // what fails is told by the futures
    return q.send();
  }

  /** Joins so many times at once and waits for the answers; the ids of viewings that play. */
  private List<String> joinAll(HttpClient client, Carrying to, int many, long millis)
      throws InterruptedException {
    AtomicInteger answered = new AtomicInteger();
    List<String> ids = java.util.Collections.synchronizedList(new ArrayList<>());
    for (int i = 0; i < many; i++) {
      client
          .request(join(to))
          .compose(RelayDrill::sent)
          .compose(r -> r.body())
          .onComplete(
              b -> {
                if (b.succeeded()) {
                  ids.add(id(b.result()));
                }
                answered.incrementAndGet();
              });
    }
    waitFor(() -> answered.get() == many, millis);
    return ids;
  }

  /** Bytes a second of segments through viewings that play. */
  private double bytes(Carrying to, long millis) throws InterruptedException {
    AtomicLong got = new AtomicLong();
    AtomicInteger running = new AtomicInteger(CONNECTIONS);
    HttpClient client = client(CONNECTIONS);
    long[] began = {0};
    List<String> ids = joinAll(client, to, CONNECTIONS, 10_000);
    began[0] = System.nanoTime();
    long until = began[0] + millis * 1_000_000;
    running.set(ids.size());
    for (String id : ids) {
      vertx.getOrCreateContext().runOnContext(v -> segmentOn(client, to, id, until, got, running));
    }
    waitFor(() -> running.get() == 0, millis + 10_000);
    double rate = got.get() * 1e9 / (System.nanoTime() - began[0]);
    AtomicInteger left = new AtomicInteger(ids.size());
    ids.forEach(
        id ->
            client
                .request(
                    new RequestOptions()
                        .setMethod(HttpMethod.DELETE)
                        .setHost(Ports.HOST)
                        .setPort(to.port)
                        .setURI("/v/" + id))
                .compose(RelayDrill::sent)
                .onComplete(r -> left.decrementAndGet()));
    waitFor(() -> left.get() == 0, 5000);
    client.close();
    return rate;
  }

  private void segmentOn(
      HttpClient client,
      Carrying to,
      String id,
      long until,
      AtomicLong got,
      AtomicInteger running) {
    if (System.nanoTime() >= until) {
      running.decrementAndGet();
      return;
    }
    client
        .request(
            new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(Ports.HOST)
                .setPort(to.port)
                .setURI("/v/" + id + "/m/segments/0.ts"))
        .compose(RelayDrill::sent)
        .compose(
            r -> {
              r.handler(b -> got.addAndGet(b.length()));
              return r.end();
            })
        .onComplete(r -> segmentOn(client, to, id, until, got, running));
  }

  /** A box that answers all at once, on loops of its own. */
  private void box() throws IOException, InterruptedException {
    List<Integer> ports = Ports.free(2);
    box = ports.get(0);
    list = ports.get(1);
    Tap tap = new Tap();
    DiscoveryService service = new DiscoveryService(vertx, Ports.HOST, list, 0, seed, tap);
    AtomicInteger ready = new AtomicInteger();
    service.open().onSuccess(v -> ready.incrementAndGet());
    service.publish(new BoxFleet.BoxLocation(1, Ports.HOST, box, 0, "a"), "small", "serving", 0);
    vertx
        .deployVerticle(
            () ->
                new VerticleBase() {
                  @Override
                  public Future<?> start() {
                    return vertx
                        .createHttpServer()
                        .requestHandler(RelayDrill.this::answer)
                        .listen(box, Ports.HOST);
                  }
                },
            new DeploymentOptions().setInstances(3))
        .onSuccess(v -> ready.incrementAndGet());
    waitFor(() -> ready.get() == 2, 10_000);
  }

  private void answer(HttpServerRequest r) {
    if (r.method() == HttpMethod.PUT) {
      String id = r.path().substring(r.path().lastIndexOf('/') + 1);
      r.body()
          .onSuccess(
              b ->
                  r.response()
                      .setStatusCode(201)
                      .end(
                          "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1000\n/v/"
                              + id
                              + "/media.m3u8\n#EXT-X-STREAM-INF:BANDWIDTH=2000\nx/media.m3u8\n"));
    } else if (r.path().contains("/segments/")) {
      r.response().end(SEGMENT);
    } else if (r.path().equals("/notes")) {
      r.response().setChunked(true).write("{\"life\":\"1\"}\n");
      long timer = vertx.setPeriodic(1000, t -> r.response().write("\n"));
      r.response().closeHandler(v -> vertx.cancelTimer(timer));
    } else {
      r.response().setStatusCode(r.method() == HttpMethod.DELETE ? 204 : 200).end();
    }
  }

  private Carrying bare(int loops) throws IOException, InterruptedException {
    int port = Ports.free(1).get(0);
    started.add(
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
                "" + box,
                "" + loops)
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("bare.log").toFile())
            .start());
    waitFor(
        () -> {
          try (java.net.Socket s = new java.net.Socket(Ports.HOST, port)) {
            return s.isConnected();
          } catch (IOException e) {
            return false;
          }
        },
        20_000);
    return new Carrying("bare", port, null);
  }

  private Carrying front(int loops) throws IOException, InterruptedException {
    List<Integer> ports = Ports.free(2);
    var s = JSON.createObjectNode().put("site", "relay");
    s.putArray("buildings").add("a");
    s.putObject("front")
        .put("number", 0)
        .put("building", "a")
        .put("viewers", Ports.HOST + ":" + ports.get(0))
        .put("control", Ports.HOST + ":" + ports.get(1));
    s.putObject("fronts").put("count", 1);
    s.putArray("ladder").addObject().put("kb", 0.1).put("value", 1);
    s.putArray("packages")
        .addObject()
        .put("name", "plain")
        .put("value", 1)
        .put("joinTargetMs", 1000);
    s.putObject("fleet")
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
    s.putObject("list").put("address", Ports.HOST + ":" + list);
    s.putObject("viewers").put("loops", loops);
    s.putObject("boxes")
        .put("connections", 256)
        .put("waitingSetUps", 4096)
        .put("mediaConnections", 32_000);
    s.putObject("flow").put("transfers", 3000).put("waitingBytes", 440_000_000);
    s.putObject("desk").put("viewings", 3000).put("idleMs", 120_000);
    s.putObject("stop").put("playingMs", 0);
    Path site = folder.resolve("front-" + loops + ".json5");
    Files.writeString(site, s.toString());
    FrontProcess p =
        new FrontProcess(
            0, site, folder.resolve("front.log"), Ports.HOST + ":" + ports.get(1), new Tap());
    p.start(seed, "-Xmx512m");
    started.add(p.process());
    waitFor(p::ready, 20_000);
    return new Carrying("front", ports.get(0), p);
  }

  /** The hidden process of the baseline. */
  public static void bareRelay(String host, int port, int box, int loops)
      throws InterruptedException {
    BareRelay.start(host, port, box, loops);
    while (true) {
      TimeUnit.HOURS.sleep(1);
    }
  }
}
