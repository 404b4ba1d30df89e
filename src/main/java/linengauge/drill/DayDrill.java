package linengauge.drill;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.rules.InvalidRecordException;
import linengauge.rules.Judge;
import linengauge.rules.Verdict;
import linengauge.standin.PlayerSimulator;

/**
 * Plays a scripted day through real fronts, judges each pass from its traffic, and looks for what
 * leaked.
 */
public final class DayDrill {
  /**
   * What a front's heap may hold more after a day than before it, both after a collection: classes
   * met, pools warm.
   */
  private static final long HEAP_MORE = 10_000_000;

  private final DayScript day;
  private final long seed;
  private final Path traffic;
  private final boolean wantsEveryRule;

  /**
   * The traffic of all passes is written to a file where one is named. Where every rule is wanted,
   * one that a pass did not try is a claim not held; else the table says that it was not tried.
   */
  public DayDrill(DayScript day, long seed, Path traffic, boolean wantsEveryRule) {
    this.day = day;
    this.seed = seed;
    this.traffic = traffic;
    this.wantsEveryRule = wantsEveryRule;
  }

  public Report run() throws IOException, InterruptedException {
    Report report = new Report(day.name(), seed);
    int pass = 0;
    for (String paid : day.paidPasses()) {
      pass(report, pass++, paid);
    }
    return report;
  }

  private void pass(Report report, int number, String paid)
      throws IOException, InterruptedException {
    String name = "pass " + (number + 1) + (paid.isEmpty() ? "" : " (" + paid + " paid at set-up)");
    SplittableRandom seeds = new SplittableRandom(seed + 1_000_003L * number);
    List<String> record;
    try (Grounds g = new Grounds(day, paid, seeds.nextLong())) {
      record = play(report, name, g, seeds);
    }
    if (traffic != null) {
      Path to =
          number == 0
              ? traffic
              : traffic.resolveSibling(traffic.getFileName() + "." + (number + 1));
      Files.write(to, record);
    }
    judge(report, name, record);
  }

  /** Plays the day; the record of it. */
  private List<String> play(Report report, String name, Grounds g, SplittableRandom seeds)
      throws IOException, InterruptedException {
    g.open();
    long heap = 0;
    for (FrontProcess p : g.fronts) {
      heap = Math.max(heap, p.heap());
    }
    Troubles troubles = new Troubles(g, seeds.nextLong());
    SplittableRandom arrivals = seeds.split();
    long began = System.nanoTime();
    g.onBoxes(
        () -> {
          troubles.begin();
          arrive(g, troubles, arrivals, began, 0);
        });
    Thread.sleep(Math.round(1000 * day.lengthS()));
    g.onBoxes(g.crowd::close);
    List<String> failures = troubles.finish();
    settle(report, name, g, heap);
    report.claim(
        name + ": stand-ins and fronts did as told",
        "no failure",
        failures.isEmpty() ? "none" : failures,
        failures.isEmpty());
    boolean ended = g.endFronts().values().stream().allMatch(e -> e);
    report.claim(
        name + ": fronts ended in order when told", "all", ended ? "all" : "not all", ended);
    figures(report, name, g);
    List<String> record = g.tap.lines();
    long acted = record.stream().filter(l -> l.contains("\"what\":\"trouble\"")).count();
    report.claim(
        name + ": troubles acted out",
        "all " + day.troubles().size(),
        acted,
        acted == day.troubles().size());
    report.claim(
        name + ": the record is whole", "not cut short", record.size() + " lines", !g.tap.isFull());
    return record;
  }

  private void judge(Report report, String name, List<String> record) {
    try {
      Verdict v = Judge.judge(record);
      report.judged(name, v);
      for (String rule : wantsEveryRule ? Verdict.RULES : List.<String>of()) {
        report.claim(
            name + ": " + rule + " tried and kept",
            "over 0, 0 broken",
            v.checkCount(rule) + ", " + v.breachCount(rule),
            v.checkCount(rule) > 0 && v.breachCount(rule) == 0);
      }
    } catch (InvalidRecordException e) {
      report.claim(name + ": the record can be judged", "yes", e.getMessage(), false);
    }
  }

  /**
   * Viewers come at random moments, about so many a second, whether or not earlier ones were
   * answered.
   */
  private void arrive(
      Grounds g, Troubles troubles, SplittableRandom chance, long began, double at) {
    double rate =
        Math.max(0.05, day.traffic().perSecond() * day.traffic().times(at) * troubles.arrivals());
    double next = at - Math.log(1 - chance.nextDouble()) / rate;
    if (next >= day.lengthS()) {
      return;
    }
    long wait = Math.round(next * 1000 - (System.nanoTime() - began) / 1e6);
    g.vertx.setTimer(
        Math.max(1, wait),
        t -> {
          g.crowd.arrive();
          arrive(g, troubles, chance, began, next);
        });
  }

  /**
   * After the day nothing may be left: in the registries, routes and streams of the fronts, and at
   * the boxes.
   */
  private void settle(Report report, String name, Grounds g, long heapBefore)
      throws IOException, InterruptedException {
    long until = System.nanoTime() + 20_000_000_000L;
    List<String> left;
    do {
      Thread.sleep(200);
      left = left(g);
    } while (!left.isEmpty() && System.nanoTime() < until);
    report.claim(
        name + ": nothing is left in fronts and boxes",
        "nothing",
        left.isEmpty() ? "nothing" : left,
        left.isEmpty());
    long most = 0;
    long wordsHeard = 0;
    for (FrontProcess p : g.fronts) {
      JsonNode s = p.state();
      most = Math.max(most, p.heap());
      wordsHeard += s.path("wordsHeard").asLong();
      report.figure(name + ": front " + p.number(), counts(s));
    }
    report.figure(name + ": words heard by fronts", wordsHeard);
    report.claim(
        name + ": heap of a front after the day",
        "at most " + HEAP_MORE / 1_000_000 + " MB over before",
        String.format(java.util.Locale.ROOT, "%.1f MB, before %.1f", most / 1e6, heapBefore / 1e6),
        most < heapBefore + HEAP_MORE);
  }

  /** What is left now of viewers and viewings. */
  private static List<String> left(Grounds g) throws IOException, InterruptedException {
    List<String> left = new ArrayList<>();
    if (g.crowd.activePlayers() > 0) {
      left.add(g.crowd.activePlayers() + " viewers");
    }
    if (g.fleet.viewings() > 0) {
      left.add(g.fleet.viewings() + " viewings at boxes");
    }
    for (FrontProcess p : g.fronts) {
      JsonNode s = p.state();
      for (String what :
          List.of("held", "keys", "titles", "routes", "noteStreamsInUse", "callsWaiting")) {
        if (s.path(what).asInt() > 0) {
          left.add("front " + p.number() + ": " + s.path(what) + " " + what);
        }
      }
    }
    return left;
  }

  private static String counts(JsonNode state) {
    return "taken "
        + state.path("taken")
        + ", played "
        + state.path("played")
        + ", blocked "
        + state.path("blocked")
        + ", aborted "
        + state.path("aborted")
        + ", left "
        + state.path("left")
        + ", list breaks "
        + state.path("listBreaks")
        + ", gaps "
        + state.path("listGaps");
  }

  private void figures(Report report, String name, Grounds g) {
    PlayerSimulator.Figures f = g.crowd.figures();
    report.figure(
        name + ": requests",
        f.asked
            + " ("
            + f.played
            + " played, "
            + f.rejected
            + " blocked, "
            + f.failed
            + " aborted, "
            + f.disconnected
            + " broken off, "
            + f.notReached
            + " not reached, "
            + f.unanswered
            + " unanswered)");
    report.figure(name + ": came again, starved", f.retried + ", " + f.stalled);
    report.figure(
        name + ": join ms p50 p99 max",
        f.joinMicros.getValueAtPercentile(50) / 1000
            + " "
            + f.joinMicros.getValueAtPercentile(99) / 1000
            + " "
            + f.joinMicros.getMaxValue() / 1000);
    report.figure(
        name + ": value joined in time over asked", f.valueOnTime / Math.max(1, f.valueRequested));
    report.figure(name + ": megabytes played", f.bytes / 1_000_000);
    // An imported day may ask for more than the fleet gives: how much is played is its figure, not
    // its claim.
    report.claim(
        name + ": viewings played",
        !wantsEveryRule ? "some" : "over a third of the requests",
        f.played + " of " + f.asked,
        wantsEveryRule ? f.played * 3 > f.asked : f.played > 0);
  }
}
