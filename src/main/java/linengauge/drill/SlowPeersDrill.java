package linengauge.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import linengauge.rules.InvalidRecordException;
import linengauge.rules.Judge;
import linengauge.site.InvalidSiteException;
import linengauge.standin.PlayerSimulator;
import linengauge.standin.SlowPlayerSimulator;
import linengauge.standin.SlowPlayerSimulator.SlowMode;
import org.HdrHistogram.Histogram;

/**
 * Measures the effect of slow viewers on healthy ones. Healthy viewers join one front at a steady
 * rate, first alone, then beside a thousand slow ones of every kind; then the front is suspended
 * for two seconds among many honest viewers, and a surge follows. The healthy viewers' results are
 * compared within the run, disconnects are observed on the slow players' own sockets, and the six
 * rules are judged from the traffic.
 */
public final class SlowPeersDrill {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long MAX_WAITING_BYTES = 60_000_000;

  /** The budget for waiting bytes plus 8 MiB for each of the front's four event loops. */
  private static final long MAX_DIRECT_BYTES = MAX_WAITING_BYTES + 4 * (8 << 20);

  private static final int HEADERS_TIMEOUT_MS = 4000;
  private static final int IDLE_TIMEOUT_MS = 10_000;

  /**
   * Time limit within which a slow reader is disconnected. The burst at the start of a segment
   * counts in its favour until it has left the front's throughput window; a few checks by the front
   * come on top.
   */
  private static final long SLOW_READER_LIMIT_MS = 9_000;

  private final long seed;
  private final boolean brief;
  private final boolean guards;
  private final Path traffic;
  private final SlowMode onlyWay;
  private volatile long peakDirectBytes;

  /**
   * Healthy players have an event loop of their own, so that load on the boxes' loop does not show
   * in their results.
   */
  private final Vertx playerVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

  /** The slow viewers are a mixture of all kinds unless a single one is given. */
  public SlowPeersDrill(long seed, boolean brief, boolean guards, SlowMode onlyWay, Path traffic) {
    this.onlyWay = onlyWay;
    this.seed = seed;
    this.brief = brief;
    this.guards = guards;
    this.traffic = traffic;
  }

  public Report run() throws IOException, InterruptedException {
    Report report =
        new Report(
            "slow-peers"
                + (onlyWay == null ? "" : ", all " + onlyWay)
                + (guards ? "" : ", guards off"),
            seed);
    SplittableRandom seeds = new SplittableRandom(seed);
    DayScript day;
    try {
      day = DayScript.read("builtin:slow-peers");
    } catch (InvalidSiteException e) {
      throw new IOException(e);
    }
    List<String> trafficRecord;
    try (TestFleet testFleet =
        new TestFleet(day, "", seeds.nextLong(), List.of(), i -> siteSettings())) {
      // The heap size is fixed, since the front would pause while the heap grows.
      testFleet.open("-Xmx96m", "-Xms96m", "-XX:MaxDirectMemorySize=" + MAX_DIRECT_BYTES);
      play(report, testFleet, seeds);
      boolean allEnded = testFleet.stopFronts().values().stream().allMatch(ended -> ended);
      report.addClaim(
          "the front ended in order when told", "yes", allEnded ? "yes" : "no", allEnded);
      trafficRecord = testFleet.tap.lines();
      playerVertx.close();
      report.addClaim(
          "the record is whole",
          "not cut short",
          trafficRecord.size() + " lines",
          !testFleet.tap.isFull());
    }
    if (traffic != null) {
      Files.write(traffic, trafficRecord);
    }
    try {
      report.addVerdict("day", Judge.judge(trafficRecord));
    } catch (InvalidRecordException e) {
      report.addClaim("the record can be judged", "yes", e.getMessage(), false);
    }
    return report;
  }

  private ObjectNode siteSettings() {
    ObjectNode site = JSON.createObjectNode();
    site.putObject("flow")
        .put("guards", guards)
        .put("waitingBytes", MAX_WAITING_BYTES)
        .put("transfers", 2000);
    site.putObject("viewers")
        .put("headersMs", HEADERS_TIMEOUT_MS)
        .put("firstByteMs", HEADERS_TIMEOUT_MS)
        .put("keepAliveMs", IDLE_TIMEOUT_MS)
        .put("sendBufferBytes", 4096)
        .put("perAddress", 5000);
    site.putObject("desk").put("idleMs", IDLE_TIMEOUT_MS);
    site.putObject("boxes").put("waitingMedia", 2000).put("readBytes", 16_384);
    return site;
  }

  /** Starts healthy viewers over a span; the same seed gives the same viewers and arrival times. */
  private PlayerSimulator startHealthy(TestFleet testFleet, long arrivalSeed, long spanMs) {
    return startHealthy(testFleet, arrivalSeed, spanMs, testFleet.day.traffic().perSecond());
  }

  private PlayerSimulator startHealthy(
      TestFleet testFleet, long arrivalSeed, long spanMs, double perSecond) {
    DayScript.PackagePlan plan = testFleet.day.packages().get(0);
    Context context = playerVertx.getOrCreateContext();
    PlayerSimulator crowd =
        new PlayerSimulator(
            playerVertx,
            testFleet.frontEndpoints,
            List.of(
                new PlayerSimulator.PlayerProfile(
                    plan.name(), 1, plan.patienceMs(), plan.joinTargetMs(), plan.value())),
            testFleet.titles(),
            testFleet.day.ladder().size(),
            (int) (1000 * testFleet.day.traffic().shortestS()),
            (int) (1000 * testFleet.day.traffic().longestS()),
            arrivalSeed,
            testFleet.tap,
            "h" + testFleet.tap.elapsedMicros() + "-");
    SplittableRandom random = new SplittableRandom(arrivalSeed);
    for (double atMs = 0;
        atMs < spanMs;
        atMs += -Math.log(1 - random.nextDouble()) * 1000 / perSecond) {
      long delayMs = Math.max(1, Math.round(atMs));
      context.runOnContext(v -> playerVertx.setTimer(delayMs, t -> crowd.arrive()));
    }
    return crowd;
  }

  private static void awaitNoViewers(PlayerSimulator crowd) throws InterruptedException {
    for (int i = 0; i < 300 && crowd.activePlayers() > 0; i++) {
      Thread.sleep(50);
    }
  }

  private void play(Report report, TestFleet testFleet, SplittableRandom seeds)
      throws IOException, InterruptedException {
    long spanMs = brief ? 8000 : 20_000;
    int slowCount = brief ? 400 : 1000;
    int honestCount = brief ? 150 : 500;
    long arrivalSeed = seeds.nextLong();
    FrontProcess front = testFleet.fronts.get(0);
    Thread sampler =
        new Thread(
            () -> {
              while (front.isAlive()) {
                try {
                  JsonNode state = front.state();
                  peakDirectBytes = Math.max(peakDirectBytes, state.path("directUsed").asLong());
                  Thread.sleep(500);
                } catch (IOException | InterruptedException e) {
                  return; // the front has ended
                }
              }
            },
            "direct buffers");
    sampler.setDaemon(true);
    sampler.start();
    PlayerSimulator warmUp = startHealthy(testFleet, seeds.nextLong(), brief ? 3000 : 6000);
    Thread.sleep(brief ? 3000 : 6000);
    awaitNoViewers(warmUp);
    // As many join at once as there are slow viewers later, so that the measured phase does not
    // include the JIT compilation that the first burst causes.
    PlayerSimulator wave = startHealthy(testFleet, seeds.nextLong(), 3000, slowCount / 3.0);
    Thread.sleep(3000);
    awaitNoViewers(wave);
    LoopDelay delayAlone = new LoopDelay(testFleet.vertx, testFleet.boxLoop);
    PlayerSimulator alone = startHealthy(testFleet, arrivalSeed, spanMs);
    Thread.sleep(spanMs);
    awaitNoViewers(alone);
    report.addFigure("boxes' loop late alone: ms p50 p99", delayAlone.percentiles());
    try (SlowPlayerSimulator slow =
        new SlowPlayerSimulator(
            testFleet.frontEndpoints.get(0).host(),
            testFleet.frontEndpoints.get(0).port(),
            0,
            "lesson",
            testFleet.titles(),
            testFleet.tap)) {
      Map<SlowMode, Integer> counts = new EnumMap<>(SlowMode.class);
      if (onlyWay == null) {
        counts.put(SlowMode.BYTE_A_SECOND, slowCount / 4);
        counts.put(SlowMode.HEADER_A_SECOND, slowCount / 4);
        counts.put(SlowMode.NEVER_AGAIN, slowCount / 5);
        counts.put(SlowMode.THIRD, slowCount / 10);
        counts.put(SlowMode.PAUSES, slowCount * 3 / 20);
        counts.put(SlowMode.WEAK, slowCount / 20);
      } else {
        counts.put(onlyWay, slowCount);
      }
      counts.forEach((way, count) -> slow.schedulePlayers(way, count, 3000));
      Thread.sleep(1000);
      LoopDelay delayBeside = new LoopDelay(testFleet.vertx, testFleet.boxLoop);
      PlayerSimulator beside = startHealthy(testFleet, arrivalSeed, spanMs);
      Thread.sleep(spanMs);
      report.addFigure("boxes' loop late beside the slow: ms p50 p99", delayBeside.percentiles());
      Thread.sleep(Math.max(1, IDLE_TIMEOUT_MS + 5000 - spanMs));
      awaitNoViewers(beside);
      compareJoins(report, alone, beside);
      checkSlowViewers(report, slow.outcomes(), counts, testFleet.tap.lines());
      JsonNode state = front.state();
      long peakWaitingBytes = state.path("flow").path("mostWaitingBytes").asLong();
      report.addClaim(
          "bytes that waited at the most",
          "at most " + MAX_WAITING_BYTES,
          peakWaitingBytes,
          peakWaitingBytes <= MAX_WAITING_BYTES);
      report.addFigure(
          "front after the slow thousand", state.path("flow") + " " + state.path("door"));
      pauseFront(report, testFleet, front, slow, honestCount, seeds.nextLong());
      report.addClaim(
          "direct buffers of the front at the most, beside a heap of 96 MB",
          "at most " + MAX_DIRECT_BYTES,
          peakDirectBytes,
          peakDirectBytes <= MAX_DIRECT_BYTES);
    }
  }

  /** Measures the delay of a stand-in's event loop, so that it is not attributed to the front. */
  private static final class LoopDelay {
    private final Histogram micros = new Histogram(60_000_000L, 2);
    private final Vertx vertx;
    private boolean stopped;

    private LoopDelay(Vertx vertx, Context context) {
      this.vertx = vertx;
      context.runOnContext(v -> scheduleSample(System.nanoTime()));
    }

    private void scheduleSample(long fromNanos) {
      vertx.setTimer(
          10,
          t -> {
            if (!stopped) {
              micros.recordValue(Math.max(0, (System.nanoTime() - fromNanos) / 1000 - 10_000));
              scheduleSample(System.nanoTime());
            }
          });
    }

    private String percentiles() {
      stopped = true;
      return String.format(
          Locale.ROOT,
          "%.1f %.1f",
          micros.getValueAtPercentile(50) / 1e3,
          micros.getValueAtPercentile(99) / 1e3);
    }
  }

  private void compareJoins(Report report, PlayerSimulator alone, PlayerSimulator beside) {
    PlayerSimulator.Figures aloneFigures = alone.figures();
    PlayerSimulator.Figures besideFigures = beside.figures();
    for (PlayerSimulator.Figures figures : List.of(aloneFigures, besideFigures)) {
      String when = figures == aloneFigures ? "alone" : "beside the slow";
      report.addClaim(
          "healthy viewers joined within their join target, " + when,
          "all of them",
          Math.round(figures.valueOnTime) + " of " + Math.round(figures.valueRequested),
          figures.valueOnTime == figures.valueRequested);
      report.addFigure(
          "healthy " + when + ": join ms p50 p99 max",
          String.format(
              Locale.ROOT,
              "%.1f %.1f %.1f",
              figures.joinMicros.getValueAtPercentile(50) / 1e3,
              figures.joinMicros.getValueAtPercentile(99) / 1e3,
              figures.joinMicros.getMaxValue() / 1e3));
      report.addFigure(
          "healthy " + when + ": requests, megabytes, starved",
          figures.asked + ", " + figures.bytes / 1_000_000 + ", " + figures.stalled);
    }
    double p99Ratio =
        (double) besideFigures.joinMicros.getValueAtPercentile(99)
            / aloneFigures.joinMicros.getValueAtPercentile(99);
    report.addClaim(
        "p99 of healthy joins, over that alone",
        "at most 1.25",
        String.format(Locale.ROOT, "%.2f", p99Ratio),
        p99Ratio <= 1.25);
    double bytesRatio = (double) besideFigures.bytes / aloneFigures.bytes;
    report.addClaim(
        "healthy bytes, over those alone",
        "at least 0.95",
        String.format(Locale.ROOT, "%.2f", bytesRatio),
        bytesRatio >= 0.95);
  }

  private void checkSlowViewers(
      Report report,
      List<SlowPlayerSimulator.PlayerOutcome> fates,
      Map<SlowMode, Integer> counts,
      List<String> trafficRecord)
      throws IOException {
    Map<String, Long> endedAtBox = new HashMap<>();
    for (String line : trafficRecord) {
      JsonNode entry = JSON.readTree(line);
      if (entry.path("what").asText().equals("ended")) {
        endedAtBox.putIfAbsent(entry.path("viewing").asText(), entry.path("at").asLong());
      }
    }
    counts.forEach(
        (way, count) -> {
          List<SlowPlayerSimulator.PlayerOutcome> ofWay =
              fates.stream().filter(fate -> fate.mode() == way && fate.slowSince() >= 0).toList();
          if (way.isLegitimate()) {
            long ended = ofWay.stream().filter(fate -> fate.endedAt() >= 0).count();
            int fewestSegments =
                ofWay.stream()
                    .mapToInt(SlowPlayerSimulator.PlayerOutcome::segments)
                    .min()
                    .orElse(0);
            report.addClaim(
                way + ": honest, served",
                "all " + count + ", none ended",
                ofWay.size()
                    + ", "
                    + ended
                    + " ended, "
                    + fewestSegments
                    + " segments or more each",
                ofWay.size() == count && ended == 0 && fewestSegments > 0);
            return;
          }
          // A viewing is over when its box is notified; a connection without a viewing when it is
          // closed.
          List<Long> durationsMs = new ArrayList<>();
          for (SlowPlayerSimulator.PlayerOutcome fate : ofWay) {
            long endedAtMicros =
                fate.viewing() == null
                    ? fate.endedAt()
                    : endedAtBox.getOrDefault(fate.viewing(), -1L);
            if (endedAtMicros >= 0) {
              durationsMs.add((endedAtMicros - fate.slowSince()) / 1000);
            }
          }
          long longestMs =
              durationsMs.stream().mapToLong(durationMs -> durationMs).max().orElse(-1);
          long limitMs =
              switch (way) {
                case HEADER_A_SECOND -> HEADERS_TIMEOUT_MS + 1500;
                case NEVER_AGAIN -> IDLE_TIMEOUT_MS + 1500;
                default -> SLOW_READER_LIMIT_MS;
              };
          report.addClaim(
              way + ": let go within its bound",
              "all " + count + " in " + limitMs + " ms",
              durationsMs.size() + " of " + ofWay.size() + ", longest " + longestMs,
              ofWay.size() == count && durationsMs.size() == count && longestMs <= limitMs);
        });
  }

  /**
   * Suspends the front for two seconds while honest viewers play; a surge arrives as it resumes.
   */
  private void pauseFront(
      Report report,
      TestFleet testFleet,
      FrontProcess front,
      SlowPlayerSimulator crowd,
      int honestCount,
      long arrivalSeed)
      throws IOException, InterruptedException {
    crowd.schedulePlayers(SlowMode.WEAK, honestCount, 2000);
    Thread.sleep(6000);
    long disconnectsBefore = countDisconnects(front);
    long endedBefore =
        crowd.outcomes().stream()
            .filter(fate -> fate.mode().isLegitimate() && fate.endedAt() >= 0)
            .count();
    front.pauseFor(2000);
    PlayerSimulator surge = startHealthy(testFleet, arrivalSeed, 1);
    for (int i = 0; i < (brief ? 40 : 100); i++) {
      playerVertx.getOrCreateContext().runOnContext(v -> surge.arrive());
    }
    Thread.sleep(9000);
    awaitNoViewers(surge);
    List<SlowPlayerSimulator.PlayerOutcome> fates = new ArrayList<>(crowd.outcomes());
    long playing =
        fates.stream()
            .filter(
                fate -> fate.mode().isLegitimate() && fate.viewing() != null && fate.endedAt() < 0)
            .count();
    long ended =
        fates.stream().filter(fate -> fate.mode().isLegitimate() && fate.endedAt() >= 0).count()
            - endedBefore;
    report.addClaim(
        "front stopped for 2 s: let go, of those who play",
        "0 of " + honestCount + " and more",
        countDisconnects(front)
            - disconnectsBefore
            + " by the front, "
            + ended
            + " connections of "
            + playing,
        countDisconnects(front) == disconnectsBefore && ended == 0 && playing >= honestCount);
    PlayerSimulator.Figures surgeFigures = surge.figures();
    report.addClaim(
        "the surge after it: answered",
        "all " + (int) surgeFigures.valueRequested,
        surgeFigures.played
            + " played, "
            + surgeFigures.rejected
            + " blocked, "
            + surgeFigures.unanswered
            + " unanswered",
        surgeFigures.unanswered + surgeFigures.disconnected + surgeFigures.failed == 0
            && surgeFigures.played >= surgeFigures.valueRequested);
    report.addFigure(
        "the surge: join ms p50 p99",
        String.format(
            Locale.ROOT,
            "%.1f %.1f",
            surgeFigures.joinMicros.getValueAtPercentile(50) / 1e3,
            surgeFigures.joinMicros.getValueAtPercentile(99) / 1e3));
  }

  private static long countDisconnects(FrontProcess front) throws IOException {
    JsonNode state = front.state();
    return state.path("letGo").asLong()
        + state.path("flow").path("viewersLetGo").asLong()
        + state.path("flow").path("boxesLetGo").asLong();
  }
}
