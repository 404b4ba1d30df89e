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
import linengauge.rules.BadRecord;
import linengauge.rules.Holders;
import linengauge.rules.Judge;
import linengauge.site.InvalidSiteException;
import linengauge.standin.PlayerCrowd;
import linengauge.standin.SharedLan;

/**
 * Two fronts, each Active for one of two shared addresses and Backup for the other, on a stand-in
 * LAN with viewers joining at both addresses throughout. In seeded turns the holder is killed,
 * stopped for a while, told to end, cut off, not heard; what viewers see is measured, and who
 * claimed what is judged from the LAN, beside the six rules.
 */
public final class FailoverDrill {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int FRONTS = 2;

  /** Between two viewers of one address; no silence can be seen that is shorter. */
  private static final int EVERY_MS = 20;

  /** In each hundredth of a second, beside the usual. */
  private static final int SURGE_EACH = 4;

  private static final int SURGE_MS = 5000;
  private static final String KEY = "a key for this drill alone";

  /** What befalls a node, or the LAN between the two. */
  enum Trouble {
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
  private final Vertx players = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final Map<Trouble, List<Long>> silences = new TreeMap<>();

  /**
   * @param rounds of troubles, one at a time
   * @param flapSeconds for how long afterwards the better front dies and comes back; 0: not
   * @param advertMs between advertisements
   * @param additions whether what is added to the standard acts
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

  /** What a virtual router costs a node, with and without the trailer. */
  public static void cost(Report report, int advertMs) throws IOException, InterruptedException {
    report.figure(
        "processor time of a node for each of 100 virtual routers, us a second, without and with a key",
        VrrpCost.measure(100, advertMs, null)
            + " "
            + VrrpCost.measure(
                100, advertMs, KEY.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
  }

  private long down() {
    return 4L * advertMs;
  }

  /** Runs it; what it finds is added to the report under a name. */
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
    List<SharedLan.Shared> shared = new ArrayList<>();
    for (int i = 0; i < FRONTS; i++) {
      Map<Integer, String> doors = new TreeMap<>();
      for (int v = 0; v < FRONTS; v++) {
        doors.put(v + 1, Ports.HOST + ":" + ports.get(2 * FRONTS + FRONTS * i + v));
      }
      nodes.add(new SharedLan.Node(i, Ports.node(i), ports.get(i), ports.get(FRONTS + i), doors));
      shared.add(new SharedLan.Shared(i + 1, Ports.HOST, ports.get(4 * FRONTS + i)));
    }
    int announcePort = ports.get(5 * FRONTS);
    List<String> record;
    try (Grounds g =
        new Grounds(day, "", seeds.nextLong(), ports, i -> site(i, nodes, announcePort, keyFile))) {
      record = play(report, name, g, nodes, shared, announcePort, seeds);
    } finally {
      players.close();
      Files.deleteIfExists(keyFile);
    }
    if (traffic != null) {
      Files.write(traffic, record);
    }
    judge(report, name, record);
  }

  /** Plays all of it; the record. */
  private List<String> play(
      Report report,
      String name,
      Grounds g,
      List<SharedLan.Node> nodes,
      List<SharedLan.Shared> shared,
      int announcePort,
      SplittableRandom seeds)
      throws IOException, InterruptedException {
    SharedLan lan =
        new SharedLan(g.vertx, nodes, shared, Ports.HOST, announcePort, seeds.nextLong(), g.tap);
    g.await(lan::open);
    g.onBoxes(() -> lan.trouble(0, 0.02, 5));
    g.open(
        "-Xmx384m",
        "-Xms384m",
        "-XX:MaxDirectMemorySize=512m",
        "-XX:+UseG1GC",
        "-XX:MaxGCPauseMillis=20");
    List<PlayerCrowd> crowds = new ArrayList<>();
    for (SharedLan.Shared s : shared) {
      crowds.add(crowd(g, lan, s, seeds.nextLong()));
    }
    Thread.sleep(4000 + 4 * down());
    g.tap.saw("pair-quiet");
    Thread.sleep(1000);
    for (int i = 0; i < rounds; i++) {
      Trouble t = Trouble.values()[i % Trouble.values().length];
      round(g, lan, crowds, t, seeds);
    }
    if (flapSeconds > 0) {
      flap(report, name, g, crowds);
    }
    played(report, name, crowds);
    surge(report, name, g, nodes, crowds);
    lateness(report, name, g);
    crowds.forEach(c -> players.getOrCreateContext().runOnContext(v -> c.close()));
    Thread.sleep(3500);
    boolean ended = g.endFronts().values().stream().allMatch(e -> e);
    report.claim(
        name + ": the fronts ended in order when told", "yes", ended ? "yes" : "no", ended);
    List<String> record = g.tap.lines();
    figures(report, name, crowds, lan);
    report.claim(
        name + ": the record is whole", "not cut short", record.size() + " lines", !g.tap.full());
    return record;
  }

  private ObjectNode site(int number, List<SharedLan.Node> nodes, int announcePort, Path keyFile) {
    ObjectNode s = JSON.createObjectNode();
    s.putObject("viewers").put("perAddress", 20_000); // all viewers here come from one
    ObjectNode v =
        s.putObject("vrrp")
            .put("listen", nodes.get(number).host() + ":" + nodes.get(number).port())
            .put("announce", Ports.HOST + ":" + announcePort);
    v.putArray("partners")
        .add(nodes.get(1 - number).host() + ":" + nodes.get(1 - number).lanPort());
    if (additions) {
      v.put("frozen", true)
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
      v.put("frozen", false);
    }
    ArrayNode routers = v.putArray("routers");
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
    return s;
  }

  private PlayerCrowd crowd(Grounds g, SharedLan lan, SharedLan.Shared at, long chance) {
    PlayerCrowd crowd =
        new PlayerCrowd(
            players,
            List.of(new PlayerCrowd.Door(-1, at.host(), at.port(), "east-hall")),
            g.wants(),
            g.titles(),
            g.day.ladder().size(),
            (int) (1000 * g.day.traffic().shortestS()),
            (int) (1000 * g.day.traffic().longestS()),
            chance,
            g.tap,
            "a" + at.vrid() + "-");
    crowd.by(lan);
    Context loop = players.getOrCreateContext();
    loop.runOnContext(
        v ->
            players.setPeriodic(
                EVERY_MS,
                t -> {
                  if (!crowd.isClosing()) {
                    crowd.arrive();
                  }
                }));
    return crowd;
  }

  /** One trouble to the holder of one address, what its viewers saw of it, and quiet again. */
  private void round(
      Grounds g, SharedLan lan, List<PlayerCrowd> crowds, Trouble t, SplittableRandom seeds)
      throws IOException, InterruptedException {
    int vrid = 1 + seeds.nextInt(FRONTS);
    Integer holder = g.await(() -> io.vertx.core.Future.succeededFuture(lan.holder(vrid)));
    int node = holder == null ? vrid - 1 : holder;
    long freeze = new long[] {500, 2000, 10_000}[seeds.nextInt(3)];
    FrontProcess front = g.fronts.get(node);
    long from = g.tap.micros() - 100_000;
    g.tap.saw("pair-trouble", "kind", t.name(), "node", node, "vrid", vrid);
    act(g, lan, t, node, freeze);
    if (t == Trouble.SPLIT) {
      g.tap.saw(
          "pair-quiet"); // at once: two that claim one address are judged from the moment they hear
      // each other
    }
    long to = g.tap.micros();
    silences
        .computeIfAbsent(t, k -> new ArrayList<>())
        .add(crowds.get(vrid - 1).longestSilence(from, to));
    if (t == Trouble.KILL || t == Trouble.STOP) {
      g.startAgain(front);
      g.awaitReady(front, 20_000);
    }
    // A deaf node's address is held by the other for some time, and a better one waits before it
    // takes over again.
    Thread.sleep(1500 + 6 * down());
    if (t != Trouble.SPLIT) {
      g.tap.saw("pair-quiet");
    }
    Thread.sleep(1000 + 2 * down());
  }

  /** Does that to a front for as long as it takes others to see it. */
  private void act(Grounds g, SharedLan lan, Trouble t, int node, long freeze)
      throws IOException, InterruptedException {
    FrontProcess front = g.fronts.get(node);
    long lasts = 2000 + 5 * down();
    switch (t) {
      case KILL -> {
        front.kill();
        Thread.sleep(lasts);
      }
      case STOP -> {
        if (!front.end(8000)) {
          throw new IOException("front " + node + " did not end");
        }
        g.tap.saw("front-killed", "front", node); // it runs no more, and had time to answer all
        Thread.sleep(lasts);
      }
      case FREEZE -> {
        front.stopFor(freeze);
        Thread.sleep(1000);
      }
      case SPLIT -> {
        g.onBoxes(() -> both(lan, true));
        Thread.sleep(lasts);
        g.onBoxes(() -> both(lan, false));
      }
      case ONE_WAY -> {
        g.onBoxes(() -> lan.cut(node, 1 - node, true));
        Thread.sleep(lasts);
        g.onBoxes(() -> lan.cut(node, 1 - node, false));
      }
    }
  }

  private static void both(SharedLan lan, boolean cut) {
    lan.cut(0, 1, cut);
    lan.cut(1, 0, cut);
  }

  /** The better front for the first address dies and comes back, again and again. */
  private void flap(Report report, String name, Grounds g, List<PlayerCrowd> crowds)
      throws IOException, InterruptedException {
    FrontProcess front = g.fronts.get(0);
    long from = g.tap.micros();
    g.tap.saw("pair-trouble", "kind", "FLAP", "node", 0, "vrid", 1);
    int times = 0;
    while (g.tap.micros() - from < flapSeconds * 1_000_000L) {
      front.kill();
      Thread.sleep(600 + 2 * down());
      g.startAgain(front);
      g.awaitReady(front, 20_000);
      Thread.sleep(700 + 4 * down());
      times++;
    }
    long to = g.tap.micros();
    Holders.Outcome o;
    try {
      o = Holders.judge(g.tap.lines(), advertMs, 10_000, 100_000);
    } catch (BadRecord e) {
      throw new IOException(e);
    }
    long handovers =
        o.handoversAt.getOrDefault(1L, List.of()).stream()
            .filter(at -> at >= from && at <= to)
            .count();
    double aMinute = handovers * 60e6 / (to - from);
    String seen =
        String.format(Locale.ROOT, "%d in %.0f s, %d deaths", handovers, (to - from) / 1e6, times);
    if (additions) {
      report.claim(
          name + ": handovers while a partner dies every few seconds",
          "at most 10 a minute",
          seen,
          aMinute <= 10);
    } else {
      report.figure(name + ": handovers while a partner dies every few seconds", seen);
    }
    report.figure(
        name + ": longest silence while it does, ms",
        crowds.get(0).longestSilence(from, to) / 1000);
    Thread.sleep(1000 + 4 * down());
  }

  /**
   * Many join at once while garbage comes in a partner's name; then the front that has most to do
   * is killed.
   */
  private void surge(
      Report report, String name, Grounds g, List<SharedLan.Node> nodes, List<PlayerCrowd> crowds)
      throws IOException, InterruptedException {
    Context loop = players.getOrCreateContext();
    long[] timers = {-1};
    loop.runOnContext(
        v ->
            timers[0] =
                players.setPeriodic(
                    10,
                    t -> {
                      for (int i = 0; i < SURGE_EACH; i++) {
                        crowds.get(0).arrive();
                      }
                    }));
    long before = handovers(g);
    long sent = sendGarbage(nodes);
    long moved = handovers(g) - before;
    report.claim(
        name + ": handovers in a surge with garbage in a partner's name",
        "none",
        moved + " in " + SURGE_MS + " ms, " + 1000 * sent / SURGE_MS + " datagrams a second",
        moved == 0);
    lateness(report, name + ", to the end of the surge", g);
    int vrid = 1;
    long at = g.tap.micros() - 100_000;
    g.tap.saw("pair-trouble", "kind", "KILL", "node", 0, "vrid", vrid);
    g.fronts.get(0).kill();
    Thread.sleep(2000 + 5 * down());
    loop.runOnContext(v -> players.cancelTimer(timers[0]));
    report.figure(
        name + ": silence as the holder is killed in the surge, ms",
        crowds.get(0).longestSilence(at, g.tap.micros()) / 1000);
    g.startAgain(g.fronts.get(0));
    g.awaitReady(g.fronts.get(0), 20_000);
    Thread.sleep(1500 + 6 * down());
    g.tap.saw("pair-quiet");
    Thread.sleep(1000 + 2 * down());
  }

  /** Garbage in a partner's name, for the length of the surge; how many datagrams went out. */
  private long sendGarbage(List<SharedLan.Node> nodes) throws IOException, InterruptedException {
    long sent = 0;
    SplittableRandom chance = new SplittableRandom(seed);
    long from = System.nanoTime();
    try (DatagramSocket as = new DatagramSocket(0, InetAddress.getByName(nodes.get(1).host()))) {
      while (System.nanoTime() - from < SURGE_MS * 1_000_000L) {
        // Evenly, a hundred in each millisecond, or as many as this machine gets out.
        while (sent < (System.nanoTime() - from) / 10_000) {
          byte[] garbage = new byte[8 + chance.nextInt(60)];
          chance.nextBytes(garbage);
          as.send(
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

  private long handovers(Grounds g) throws IOException {
    try {
      return Holders.judge(g.tap.lines(), advertMs, 10_000, 100_000).handovers;
    } catch (BadRecord e) {
      throw new IOException(e);
    }
  }

  private void lateness(Report report, String name, Grounds g) throws IOException {
    for (FrontProcess p : g.fronts) {
      JsonNode v = p.state().path("vrrp");
      report.figure(
          name + ": front " + p.number() + " adverts late, ms p99.9 and most",
          String.format(
              Locale.ROOT,
              "%.1f %.1f",
              v.path("lateMicrosP999").asLong() / 1e3,
              v.path("lateMicrosMost").asLong() / 1e3));
      report.figure(name + ": front " + p.number() + " dropped", v.path("dropped").toString());
    }
  }

  private void figures(Report report, String name, List<PlayerCrowd> crowds, SharedLan lan) {
    List<Long> all = new ArrayList<>();
    silences.forEach(
        (t, list) -> {
          long[] ms = list.stream().mapToLong(s -> s / 1000).sorted().toArray();
          report.figure(name + ": silence after " + t + ", ms", Arrays.toString(ms));
          all.addAll(list);
        });
    long[] sorted = all.stream().mapToLong(s -> s / 1000).sorted().toArray();
    if (sorted.length > 0) {
      long p99 = sorted[(int) Math.min(sorted.length - 1, Math.ceil(0.99 * sorted.length) - 1)];
      long p50 = sorted[sorted.length / 2];
      String seen = p50 + " and " + p99 + " over " + sorted.length + " rounds";
      if (additions && advertMs <= 100) {
        report.claim(
            name + ": silence as viewers see it, ms p50 and p99",
            "p99 at most 1000",
            seen,
            p99 <= 1000);
      } else {
        report.figure(name + ": silence as viewers see it, ms p50 and p99", seen);
      }
    }
    Map<String, Integer> sums = new HashMap<>();
    for (PlayerCrowd c : crowds) {
      PlayerCrowd.Figures f = c.figures();
      sums.merge("asked", f.asked, Integer::sum);
      sums.merge("played", f.played, Integer::sum);
      sums.merge("blocked", f.blocked, Integer::sum);
      sums.merge("aborted", f.aborted, Integer::sum);
      sums.merge("broken off", f.brokenOff, Integer::sum);
      sums.merge("not reached", f.refused, Integer::sum);
      sums.merge("unanswered", f.unanswered, Integer::sum);
    }
    report.figure(name + ": requests, surge and all", new TreeMap<>(sums).toString());
    report.figure(name + ": datagrams carried", lan.carried());
  }

  private static void played(Report report, String name, List<PlayerCrowd> crowds) {
    int asked = crowds.stream().mapToInt(c -> c.figures().asked).sum();
    int played = crowds.stream().mapToInt(c -> c.figures().played).sum();
    report.claim(
        name + ": viewings played, before the surge",
        "over nine tenths of the requests",
        played + " of " + asked,
        played * 10 > asked * 9);
  }

  private void judge(Report report, String name, List<String> record) {
    try {
      report.judged(name, Judge.judge(record));
      // An interval, the LAN's delay, and what two processes on a busy machine are late.
      Holders.Outcome o =
          Holders.judge(record, advertMs, advertMs + 60, down() + 4L * advertMs + 1000);
      report.claim(
          name + ": two claimed one address in quiet times",
          "at most an interval and 60 ms",
          o.bothMost / 1000 + " ms over " + o.claims + " claims",
          o.breaches.isEmpty() && o.claims > 0);
      report.figure(name + ": longest span in which none did, ms", o.noneMost / 1000);
      report.figure(name + ": nodes that woke and kept silent", o.woken);
      report.figure(name + ": handovers in all", o.handovers);
      o.breaches.stream().limit(10).forEach(b -> report.figure(name + ": " + b, "broken"));
      report.claim(
          name + ": requests answered twice, or by a front they were not handed to",
          "0 and 0 of " + o.answered,
          o.answeredTwice + " and " + o.answeredByOther,
          o.answeredTwice + o.answeredByOther == 0 && o.answered > 0);
    } catch (BadRecord e) {
      report.claim(name + ": the record can be judged", "yes", e.getMessage(), false);
    }
  }
}
