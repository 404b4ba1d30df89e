package linengauge.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import linengauge.rules.AddressOwnershipJudge;
import linengauge.rules.InvalidRecordException;
import linengauge.rules.Judge;
import linengauge.site.InvalidSiteException;
import linengauge.standin.PlayerSimulator;
import linengauge.standin.SharedLan;

/**
 * Measures failover between two fronts, each Active for one of two shared addresses and Backup for
 * the other, on a stand-in LAN with viewers joining at both addresses throughout. In a seeded order
 * the holder of an address is killed, suspended, stopped in order, cut off, or cut off in one
 * direction. The outage that viewers see is measured; address ownership is checked from the LAN's
 * record, together with the six rules.
 */
public final class FailoverDrill {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int FRONTS = 2;

  /** Interval between viewers of one address; a shorter outage cannot be observed. */
  private static final int ARRIVAL_INTERVAL_MS = 20;

  /** Additional arrivals in each 10 ms of the surge. */
  private static final int SURGE_ARRIVALS_PER_10_MS = 4;

  private static final int SURGE_MS = 5000;
  private static final String KEY = "a key for this drill alone";

  /**
   * Faults of a node, or of the LAN between the two: SPLIT drops their datagrams in both
   * directions, ONE_WAY only those that the node sends.
   */
  enum Fault {
    KILL,
    FREEZE,
    STOP,
    SPLIT,
    ONE_WAY
  }

  private final long seed;
  private final int rounds;
  private final int flapSeconds;
  private final int advertMs;
  private final boolean additions;
  private final Path traffic;
  private final Vertx playerVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final Map<Fault, List<Long>> silences = new TreeMap<>();

  /**
   * Creates a drill.
   *
   * @param rounds number of faults, injected one at a time
   * @param flapSeconds duration of the final phase in which the front of higher priority is killed
   *     and restarted repeatedly; 0 skips it
   * @param advertMs advertisement interval
   * @param additions whether the additions to the standard are enabled
   */
  public FailoverDrill(
      long seed, int rounds, int flapSeconds, int advertMs, boolean additions, Path traffic) {
    this.seed = seed;
    this.rounds = rounds;
    this.flapSeconds = flapSeconds;
    this.advertMs = advertMs;
    this.additions = additions;
    this.traffic = traffic;
  }

  /**
   * Reports the processor time of a virtual router on a node, without and with the authentication
   * trailer.
   */
  public static void cost(Report report, int advertMs) throws IOException, InterruptedException {
    report.addFigure(
        "processor time of a node for each of 100 virtual routers, us a second, without and with a key",
        VrrpCost.measure(100, advertMs, null)
            + " "
            + VrrpCost.measure(
                100, advertMs, KEY.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
  }

  private long activeDownMs() {
    return 4L * advertMs;
  }

  /** Runs the drill and adds its results to the report under the given name. */
  public void run(Report report, String name) throws IOException, InterruptedException {
    SplittableRandom seeds = new SplittableRandom(seed);
    DayScript day;
    try {
      day = DayScript.read("builtin:failover");
    } catch (InvalidSiteException e) {
      throw new IOException(e);
    }
    List<Integer> ports = Ports.free(2 * FRONTS + 2 * FRONTS + FRONTS + 1);
    Path keyFile = Files.createTempFile("linengauge-drill", ".key");
    Files.writeString(keyFile, KEY);
    List<SharedLan.Node> nodes = new ArrayList<>();
    List<SharedLan.SharedAddress> shared = new ArrayList<>();
    for (int i = 0; i < FRONTS; i++) {
      Map<Integer, String> viewerAddresses = new TreeMap<>();
      for (int router = 0; router < FRONTS; router++) {
        viewerAddresses.put(
            router + 1, Ports.HOST + ":" + ports.get(2 * FRONTS + FRONTS * i + router));
      }
      nodes.add(
          new SharedLan.Node(
              i, Ports.nodeAddress(i), ports.get(i), ports.get(FRONTS + i), viewerAddresses));
      shared.add(new SharedLan.SharedAddress(i + 1, Ports.HOST, ports.get(4 * FRONTS + i)));
    }
    int announcePort = ports.get(5 * FRONTS);
    List<String> record;
    try (TestFleet fleet =
        new TestFleet(
            day, "", seeds.nextLong(), ports, i -> siteSettings(i, nodes, announcePort, keyFile))) {
      record = play(report, name, fleet, nodes, shared, announcePort, seeds);
    } finally {
      playerVertx.close();
      Files.deleteIfExists(keyFile);
    }
    if (traffic != null) {
      Files.write(traffic, record);
    }
    judge(report, name, record);
  }

  /** Runs all phases and returns the traffic record. */
  private List<String> play(
      Report report,
      String name,
      TestFleet fleet,
      List<SharedLan.Node> nodes,
      List<SharedLan.SharedAddress> shared,
      int announcePort,
      SplittableRandom seeds)
      throws IOException, InterruptedException {
    SharedLan lan =
        new SharedLan(
            fleet.vertx, nodes, shared, Ports.HOST, announcePort, seeds.nextLong(), fleet.tap);
    fleet.await(lan::open);
    fleet.runOnBoxLoop(() -> lan.setImpairments(0, 0.02, 5));
    fleet.open(
        "-Xmx384m",
        "-Xms384m",
        "-XX:MaxDirectMemorySize=512m",
        "-XX:+UseG1GC",
        "-XX:MaxGCPauseMillis=20");
    List<PlayerSimulator> crowds = new ArrayList<>();
    for (SharedLan.SharedAddress sharedAddress : shared) {
      crowds.add(startCrowd(fleet, lan, sharedAddress, seeds.nextLong()));
    }
    Thread.sleep(4000 + 4 * activeDownMs());
    fleet.tap.recordEvent("pair-quiet");
    Thread.sleep(1000);
    for (int i = 0; i < rounds; i++) {
      Fault fault = Fault.values()[i % Fault.values().length];
      runRound(fleet, lan, crowds, fault, seeds);
    }
    if (flapSeconds > 0) {
      flap(report, name, fleet, crowds);
    }
    checkPlayed(report, name, crowds);
    surge(report, name, fleet, nodes, crowds);
    reportLateness(report, name, fleet);
    crowds.forEach(crowd -> playerVertx.getOrCreateContext().runOnContext(v -> crowd.close()));
    Thread.sleep(3500);
    boolean allEnded = fleet.stopFronts().values().stream().allMatch(ended -> ended);
    report.addClaim(
        name + ": the fronts ended in order when told", "yes", allEnded ? "yes" : "no", allEnded);
    List<String> record = fleet.tap.lines();
    reportFigures(report, name, crowds, lan);
    report.addClaim(
        name + ": the record is whole",
        "not cut short",
        record.size() + " lines",
        !fleet.tap.isFull());
    return record;
  }

  private ObjectNode siteSettings(
      int number, List<SharedLan.Node> nodes, int announcePort, Path keyFile) {
    ObjectNode site = JSON.createObjectNode();
    site.putObject("viewers")
        .put("perAddress", 20_000); // all viewers of the drill connect from one address
    ObjectNode vrrp =
        site.putObject("vrrp")
            .put("listen", nodes.get(number).host() + ":" + nodes.get(number).port())
            .put("announce", Ports.HOST + ":" + announcePort);
    vrrp.putArray("partners")
        .add(nodes.get(1 - number).host() + ":" + nodes.get(1 - number).lanPort());
    if (additions) {
      vrrp.put("frozen", true)
          .put("advertsPerInterval", 2)
          .put("keyFile", keyFile.toString())
          .put("preemptDelayMs", 500)
          .put("paceMs", 2 * advertMs)
          .put("flapHalfLifeMs", 15_000)
          .put("flapsBeforeHold", 2)
          .put("deafAfter", 10)
          .put("unwellMinus", 120)
          .put("unwellAfterMs", 500)
          .put("overloadedMs", 400);
    } else {
      vrrp.put("frozen", false);
    }
    ArrayNode routers = vrrp.putArray("routers");
    for (int i = 0; i < FRONTS; i++) {
      routers
          .addObject()
          .put("vrid", i + 1)
          .put("priority", i == number ? 200 : 100)
          .put("advertMs", advertMs)
          .put("preempt", true)
          .put("accept", true)
          .put("viewers", nodes.get(number).viewers().get(i + 1))
          .putArray("addresses")
          .add("192.0.2." + (100 + i));
    }
    return site;
  }

  private PlayerSimulator startCrowd(
      TestFleet fleet, SharedLan lan, SharedLan.SharedAddress address, long crowdSeed) {
    PlayerSimulator crowd =
        new PlayerSimulator(
            playerVertx,
            List.of(new PlayerSimulator.Front(-1, address.host(), address.port(), "east-hall")),
            fleet.packageMix(),
            fleet.titles(),
            fleet.day.ladder().size(),
            (int) (1000 * fleet.day.traffic().shortestS()),
            (int) (1000 * fleet.day.traffic().longestS()),
            crowdSeed,
            fleet.tap,
            "a" + address.vrid() + "-");
    crowd.setLan(lan);
    Context context = playerVertx.getOrCreateContext();
    context.runOnContext(
        v ->
            playerVertx.setPeriodic(
                ARRIVAL_INTERVAL_MS,
                t -> {
                  if (!crowd.isClosing()) {
                    crowd.arrive();
                  }
                }));
    return crowd;
  }

  /**
   * Injects one fault at the holder of one address, measures the outage its viewers see, and waits
   * until the pair has settled.
   */
  private void runRound(
      TestFleet fleet,
      SharedLan lan,
      List<PlayerSimulator> crowds,
      Fault fault,
      SplittableRandom seeds)
      throws IOException, InterruptedException {
    int vrid = 1 + seeds.nextInt(FRONTS);
    Integer holder = fleet.await(() -> io.vertx.core.Future.succeededFuture(lan.owner(vrid)));
    int node = holder == null ? vrid - 1 : holder;
    long freezeMs = new long[] {500, 2000, 10_000}[seeds.nextInt(3)];
    FrontProcess front = fleet.fronts.get(node);
    long fromMicros = fleet.tap.elapsedMicros() - 100_000;
    fleet.tap.recordEvent("pair-trouble", "kind", fault.name(), "node", node, "vrid", vrid);
    inject(fleet, lan, fault, node, freezeMs);
    if (fault == Fault.SPLIT) {
      // At once: two nodes that claim one address are judged from the moment they receive each
      // other's advertisements.
      fleet.tap.recordEvent("pair-quiet");
    }
    long toMicros = fleet.tap.elapsedMicros();
    silences
        .computeIfAbsent(fault, key -> new ArrayList<>())
        .add(crowds.get(vrid - 1).longestGapMicros(fromMicros, toMicros));
    if (fault == Fault.KILL || fault == Fault.STOP) {
      fleet.restart(front);
      fleet.awaitReady(front, 20_000);
    }
    // The other node holds a deaf node's address for some time, and a node of higher priority waits
    // before it takes over again.
    Thread.sleep(1500 + 6 * activeDownMs());
    if (fault != Fault.SPLIT) {
      fleet.tap.recordEvent("pair-quiet");
    }
    Thread.sleep(1000 + 2 * activeDownMs());
  }

  /** Applies the fault to a front for as long as others need to detect it. */
  private void inject(TestFleet fleet, SharedLan lan, Fault fault, int node, long freezeMs)
      throws IOException, InterruptedException {
    FrontProcess front = fleet.fronts.get(node);
    long durationMs = 2000 + 5 * activeDownMs();
    switch (fault) {
      case KILL -> {
        front.kill();
        Thread.sleep(durationMs);
      }
      case STOP -> {
        if (!front.terminate(8000)) {
          throw new IOException("front " + node + " did not end");
        }
        fleet.tap.recordEvent(
            "front-killed",
            "front",
            node); // it no longer runs, and had time to answer all requests
        Thread.sleep(durationMs);
      }
      case FREEZE -> {
        front.pauseFor(freezeMs);
        Thread.sleep(1000);
      }
      case SPLIT -> {
        fleet.runOnBoxLoop(() -> setBothLinksCut(lan, true));
        Thread.sleep(durationMs);
        fleet.runOnBoxLoop(() -> setBothLinksCut(lan, false));
      }
      case ONE_WAY -> {
        fleet.runOnBoxLoop(() -> lan.setCut(node, 1 - node, true));
        Thread.sleep(durationMs);
        fleet.runOnBoxLoop(() -> lan.setCut(node, 1 - node, false));
      }
    }
  }

  private static void setBothLinksCut(SharedLan lan, boolean cut) {
    lan.setCut(0, 1, cut);
    lan.setCut(1, 0, cut);
  }

  /** Kills and restarts the front of higher priority for the first address repeatedly. */
  private void flap(Report report, String name, TestFleet fleet, List<PlayerSimulator> crowds)
      throws IOException, InterruptedException {
    FrontProcess front = fleet.fronts.get(0);
    long fromMicros = fleet.tap.elapsedMicros();
    fleet.tap.recordEvent("pair-trouble", "kind", "FLAP", "node", 0, "vrid", 1);
    int kills = 0;
    while (fleet.tap.elapsedMicros() - fromMicros < flapSeconds * 1_000_000L) {
      front.kill();
      Thread.sleep(600 + 2 * activeDownMs());
      fleet.restart(front);
      fleet.awaitReady(front, 20_000);
      Thread.sleep(700 + 4 * activeDownMs());
      kills++;
    }
    long toMicros = fleet.tap.elapsedMicros();
    AddressOwnershipJudge.Outcome outcome;
    try {
      outcome = AddressOwnershipJudge.judge(fleet.tap.lines(), advertMs, 10_000, 100_000);
    } catch (InvalidRecordException e) {
      throw new IOException(e);
    }
    long changes =
        outcome.handoversAt.getOrDefault(1L, List.of()).stream()
            .filter(at -> at >= fromMicros && at <= toMicros)
            .count();
    double handoversPerMinute = changes * 60e6 / (toMicros - fromMicros);
    String seen =
        String.format(
            Locale.ROOT, "%d in %.0f s, %d deaths", changes, (toMicros - fromMicros) / 1e6, kills);
    if (additions) {
      report.addClaim(
          name + ": handovers while a partner dies every few seconds",
          "at most 10 a minute",
          seen,
          handoversPerMinute <= 10);
    } else {
      report.addFigure(name + ": handovers while a partner dies every few seconds", seen);
    }
    report.addFigure(
        name + ": longest silence while it does, ms",
        crowds.get(0).longestGapMicros(fromMicros, toMicros) / 1000);
    Thread.sleep(1000 + 4 * activeDownMs());
  }

  /**
   * Adds a burst of joins and sends garbage from a partner's address, then kills the front with the
   * highest load.
   */
  private void surge(
      Report report,
      String name,
      TestFleet fleet,
      List<SharedLan.Node> nodes,
      List<PlayerSimulator> crowds)
      throws IOException, InterruptedException {
    Context context = playerVertx.getOrCreateContext();
    long[] timers = {-1};
    context.runOnContext(
        v ->
            timers[0] =
                playerVertx.setPeriodic(
                    10,
                    t -> {
                      for (int i = 0; i < SURGE_ARRIVALS_PER_10_MS; i++) {
                        crowds.get(0).arrive();
                      }
                    }));
    long handoversBefore = countHandovers(fleet);
    long sent = sendGarbage(nodes);
    long handovers = countHandovers(fleet) - handoversBefore;
    report.addClaim(
        name + ": handovers in a surge with garbage in a partner's name",
        "none",
        handovers + " in " + SURGE_MS + " ms, " + 1000 * sent / SURGE_MS + " datagrams a second",
        handovers == 0);
    reportLateness(report, name + ", to the end of the surge", fleet);
    int vrid = 1;
    long fromMicros = fleet.tap.elapsedMicros() - 100_000;
    fleet.tap.recordEvent("pair-trouble", "kind", "KILL", "node", 0, "vrid", vrid);
    fleet.fronts.get(0).kill();
    Thread.sleep(2000 + 5 * activeDownMs());
    context.runOnContext(v -> playerVertx.cancelTimer(timers[0]));
    report.addFigure(
        name + ": silence as the holder is killed in the surge, ms",
        crowds.get(0).longestGapMicros(fromMicros, fleet.tap.elapsedMicros()) / 1000);
    fleet.restart(fleet.fronts.get(0));
    fleet.awaitReady(fleet.fronts.get(0), 20_000);
    Thread.sleep(1500 + 6 * activeDownMs());
    fleet.tap.recordEvent("pair-quiet");
    Thread.sleep(1000 + 2 * activeDownMs());
  }

  /**
   * Sends garbage from a partner's address for the length of the surge; returns the number of
   * datagrams sent.
   */
  private long sendGarbage(List<SharedLan.Node> nodes) throws IOException, InterruptedException {
    long sent = 0;
    SplittableRandom random = new SplittableRandom(seed);
    long startedAtNanos = System.nanoTime();
    try (DatagramSocket socket =
        new DatagramSocket(0, InetAddress.getByName(nodes.get(1).host()))) {
      while (System.nanoTime() - startedAtNanos < SURGE_MS * 1_000_000L) {
        // Spread evenly: a hundred in each millisecond, or as many as this machine can send.
        while (sent < (System.nanoTime() - startedAtNanos) / 10_000) {
          byte[] garbage = new byte[8 + random.nextInt(60)];
          random.nextBytes(garbage);
          socket.send(
              new DatagramPacket(
                  garbage,
                  garbage.length,
                  InetAddress.getByName(nodes.get(0).host()),
                  nodes.get(0).port()));
          sent++;
        }
        Thread.sleep(1);
      }
    }
    return sent;
  }

  private long countHandovers(TestFleet fleet) throws IOException {
    try {
      return AddressOwnershipJudge.judge(fleet.tap.lines(), advertMs, 10_000, 100_000).handovers;
    } catch (InvalidRecordException e) {
      throw new IOException(e);
    }
  }

  private void reportLateness(Report report, String name, TestFleet fleet) throws IOException {
    for (FrontProcess front : fleet.fronts) {
      JsonNode vrrp = front.state().path("vrrp");
      report.addFigure(
          name + ": front " + front.number() + " adverts late, ms p99.9 and most",
          String.format(
              Locale.ROOT,
              "%.1f %.1f",
              vrrp.path("lateMicrosP999").asLong() / 1e3,
              vrrp.path("lateMicrosMost").asLong() / 1e3));
      report.addFigure(
          name + ": front " + front.number() + " dropped", vrrp.path("dropped").toString());
    }
  }

  private void reportFigures(
      Report report, String name, List<PlayerSimulator> crowds, SharedLan lan) {
    List<Long> allSilences = new ArrayList<>();
    silences.forEach(
        (fault, list) -> {
          long[] ms = list.stream().mapToLong(micros -> micros / 1000).sorted().toArray();
          report.addFigure(name + ": silence after " + fault + ", ms", Arrays.toString(ms));
          allSilences.addAll(list);
        });
    long[] sorted = allSilences.stream().mapToLong(micros -> micros / 1000).sorted().toArray();
    if (sorted.length > 0) {
      long p99 = sorted[(int) Math.min(sorted.length - 1, Math.ceil(0.99 * sorted.length) - 1)];
      long p50 = sorted[sorted.length / 2];
      String seen = p50 + " and " + p99 + " over " + sorted.length + " rounds";
      if (additions && advertMs <= 100) {
        report.addClaim(
            name + ": silence as viewers see it, ms p50 and p99",
            "p99 at most 1000",
            seen,
            p99 <= 1000);
      } else {
        report.addFigure(name + ": silence as viewers see it, ms p50 and p99", seen);
      }
    }
    Map<String, Integer> sums = new HashMap<>();
    for (PlayerSimulator crowd : crowds) {
      PlayerSimulator.Figures figures = crowd.figures();
      sums.merge("asked", figures.asked, Integer::sum);
      sums.merge("played", figures.played, Integer::sum);
      sums.merge("blocked", figures.rejected, Integer::sum);
      sums.merge("aborted", figures.failed, Integer::sum);
      sums.merge("broken off", figures.disconnected, Integer::sum);
      sums.merge("not reached", figures.notReached, Integer::sum);
      sums.merge("unanswered", figures.unanswered, Integer::sum);
    }
    report.addFigure(name + ": requests, surge and all", new TreeMap<>(sums).toString());
    report.addFigure(name + ": datagrams carried", lan.relayed());
  }

  private static void checkPlayed(Report report, String name, List<PlayerSimulator> crowds) {
    int asked = crowds.stream().mapToInt(crowd -> crowd.figures().asked).sum();
    int played = crowds.stream().mapToInt(crowd -> crowd.figures().played).sum();
    report.addClaim(
        name + ": viewings played, before the surge",
        "over nine tenths of the requests",
        played + " of " + asked,
        played * 10 > asked * 9);
  }

  private void judge(Report report, String name, List<String> record) {
    try {
      report.addVerdict(name, Judge.judge(record));
      // Allows for an advertisement interval, the LAN's delay, and the scheduling delay of two
      // processes on a busy machine.
      AddressOwnershipJudge.Outcome outcome =
          AddressOwnershipJudge.judge(
              record, advertMs, advertMs + 60, activeDownMs() + 4L * advertMs + 1000);
      report.addClaim(
          name + ": two claimed one address in quiet times",
          "at most an interval and 60 ms",
          outcome.longestOverlapMicros / 1000 + " ms over " + outcome.claims + " claims",
          outcome.breaches.isEmpty() && outcome.claims > 0);
      report.addFigure(
          name + ": longest span in which none did, ms", outcome.longestGapMicros / 1000);
      report.addFigure(name + ": nodes that woke and kept silent", outcome.resumedNodes);
      report.addFigure(name + ": handovers in all", outcome.handovers);
      outcome.breaches.stream()
          .limit(10)
          .forEach(breach -> report.addFigure(name + ": " + breach, "broken"));
      report.addClaim(
          name + ": requests answered twice, or by a front they were not handed to",
          "0 and 0 of " + outcome.answered,
          outcome.answeredTwice + " and " + outcome.answeredByOther,
          outcome.answeredTwice + outcome.answeredByOther == 0 && outcome.answered > 0);
    } catch (InvalidRecordException e) {
      report.addClaim(name + ": the record can be judged", "yes", e.getMessage(), false);
    }
  }
}
