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
 * Plays a scripted day against real fronts, checks each pass from its recorded traffic, and looks
 * for leaked resources.
 */
public final class DayDrill {
  /**
   * Limit on the growth of a front's heap over a day, both measured after a collection. The growth
   * covers classes loaded and pools filled during the day.
   */
  private static final long MAX_HEAP_GROWTH_BYTES = 10_000_000;

  private final DayScript day;
  private final long seed;
  private final Path traffic;
  private final boolean requiresEveryRule;

  /**
   * The traffic of all passes is written to a file if one is given. If every rule is required, a
   * rule that a pass does not exercise counts as a failed claim; otherwise the table only marks it
   * as untried.
   */
  public DayDrill(DayScript day, long seed, Path traffic, boolean requiresEveryRule) {
    this.day = day;
    this.seed = seed;
    this.traffic = traffic;
    this.requiresEveryRule = requiresEveryRule;
  }

  public Report run() throws IOException, InterruptedException {
    Report report = new Report(day.name(), seed);
    int pass = 0;
    for (String paidPackage : day.paidPasses()) {
      runPass(report, pass++, paidPackage);
    }
    return report;
  }

  private void runPass(Report report, int number, String paidPackage)
      throws IOException, InterruptedException {
    String name =
        "pass "
            + (number + 1)
            + (paidPackage.isEmpty() ? "" : " (" + paidPackage + " paid at set-up)");
    SplittableRandom seeds = new SplittableRandom(seed + 1_000_003L * number);
    List<String> trafficRecord;
    try (TestFleet testFleet = new TestFleet(day, paidPackage, seeds.nextLong())) {
      trafficRecord = play(report, name, testFleet, seeds);
    }
    if (traffic != null) {
      Path file =
          number == 0
              ? traffic
              : traffic.resolveSibling(traffic.getFileName() + "." + (number + 1));
      Files.write(file, trafficRecord);
    }
    judge(report, name, trafficRecord);
  }

  /** Plays the day and returns its traffic record. */
  private List<String> play(Report report, String name, TestFleet testFleet, SplittableRandom seeds)
      throws IOException, InterruptedException {
    testFleet.open();
    long heapBeforeBytes = 0;
    for (FrontProcess front : testFleet.fronts) {
      heapBeforeBytes = Math.max(heapBeforeBytes, front.heapAfterGc());
    }
    FaultInjector faults = new FaultInjector(testFleet, seeds.nextLong());
    SplittableRandom arrivals = seeds.split();
    long startedAtNanos = System.nanoTime();
    testFleet.runOnBoxLoop(
        () -> {
          faults.start();
          scheduleArrivals(testFleet, faults, arrivals, startedAtNanos, 0);
        });
    Thread.sleep(Math.round(1000 * day.lengthS()));
    testFleet.runOnBoxLoop(testFleet.playerCrowd::close);
    List<String> failures = faults.awaitEnd();
    checkLeftovers(report, name, testFleet, heapBeforeBytes);
    report.addClaim(
        name + ": stand-ins and fronts did as told",
        "no failure",
        failures.isEmpty() ? "none" : failures,
        failures.isEmpty());
    boolean allEnded = testFleet.stopFronts().values().stream().allMatch(ended -> ended);
    report.addClaim(
        name + ": fronts ended in order when told", "all", allEnded ? "all" : "not all", allEnded);
    reportFigures(report, name, testFleet);
    List<String> trafficRecord = testFleet.tap.lines();
    long injected =
        trafficRecord.stream().filter(line -> line.contains("\"what\":\"trouble\"")).count();
    report.addClaim(
        name + ": troubles acted out",
        "all " + day.troubles().size(),
        injected,
        injected == day.troubles().size());
    report.addClaim(
        name + ": the record is whole",
        "not cut short",
        trafficRecord.size() + " lines",
        !testFleet.tap.isFull());
    return trafficRecord;
  }

  private void judge(Report report, String name, List<String> trafficRecord) {
    try {
      Verdict verdict = Judge.judge(trafficRecord);
      report.addVerdict(name, verdict);
      for (String rule : requiresEveryRule ? Verdict.RULES : List.<String>of()) {
        report.addClaim(
            name + ": " + rule + " tried and kept",
            "over 0, 0 broken",
            verdict.checkCount(rule) + ", " + verdict.breachCount(rule),
            verdict.checkCount(rule) > 0 && verdict.breachCount(rule) == 0);
      }
    } catch (InvalidRecordException e) {
      report.addClaim(name + ": the record can be judged", "yes", e.getMessage(), false);
    }
  }

  /**
   * Schedules the next arrival. Arrivals follow a Poisson process at the scripted rate and do not
   * wait for answers to earlier requests.
   */
  private void scheduleArrivals(
      TestFleet testFleet,
      FaultInjector faults,
      SplittableRandom random,
      long startedAtNanos,
      double atSecond) {
    double rate =
        Math.max(
            0.05,
            day.traffic().perSecond()
                * day.traffic().arrivalMultiple(atSecond)
                * faults.currentArrivalMultiple());
    double nextSecond = atSecond - Math.log(1 - random.nextDouble()) / rate;
    if (nextSecond >= day.lengthS()) {
      return;
    }
    long delayMs = Math.round(nextSecond * 1000 - (System.nanoTime() - startedAtNanos) / 1e6);
    testFleet.vertx.setTimer(
        Math.max(1, delayMs),
        t -> {
          testFleet.playerCrowd.arrive();
          scheduleArrivals(testFleet, faults, random, startedAtNanos, nextSecond);
        });
  }

  /**
   * Checks that nothing is left after the day in the registries, routes and streams of the fronts
   * or at the boxes.
   */
  private void checkLeftovers(Report report, String name, TestFleet testFleet, long heapBeforeBytes)
      throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + 20_000_000_000L;
    List<String> leftovers;
    do {
      Thread.sleep(200);
      leftovers = findLeftovers(testFleet);
    } while (!leftovers.isEmpty() && System.nanoTime() < deadlineNanos);
    report.addClaim(
        name + ": nothing is left in fronts and boxes",
        "nothing",
        leftovers.isEmpty() ? "nothing" : leftovers,
        leftovers.isEmpty());
    long largestHeapBytes = 0;
    long messagesReceived = 0;
    for (FrontProcess front : testFleet.fronts) {
      JsonNode state = front.state();
      largestHeapBytes = Math.max(largestHeapBytes, front.heapAfterGc());
      messagesReceived += state.path("wordsHeard").asLong();
      report.addFigure(name + ": front " + front.number(), frontCounters(state));
    }
    report.addFigure(name + ": words heard by fronts", messagesReceived);
    report.addClaim(
        name + ": heap of a front after the day",
        "at most " + MAX_HEAP_GROWTH_BYTES / 1_000_000 + " MB over before",
        String.format(
            java.util.Locale.ROOT,
            "%.1f MB, before %.1f",
            largestHeapBytes / 1e6,
            heapBeforeBytes / 1e6),
        largestHeapBytes < heapBeforeBytes + MAX_HEAP_GROWTH_BYTES);
  }

  /** Lists the viewers and viewings that are still present. */
  private static List<String> findLeftovers(TestFleet testFleet)
      throws IOException, InterruptedException {
    List<String> leftovers = new ArrayList<>();
    if (testFleet.playerCrowd.activePlayers() > 0) {
      leftovers.add(testFleet.playerCrowd.activePlayers() + " viewers");
    }
    if (testFleet.fleet.viewings() > 0) {
      leftovers.add(testFleet.fleet.viewings() + " viewings at boxes");
    }
    for (FrontProcess front : testFleet.fronts) {
      JsonNode state = front.state();
      for (String key :
          List.of("held", "keys", "titles", "routes", "noteStreamsInUse", "callsWaiting")) {
        if (state.path(key).asInt() > 0) {
          leftovers.add("front " + front.number() + ": " + state.path(key) + " " + key);
        }
      }
    }
    return leftovers;
  }

  private static String frontCounters(JsonNode state) {
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

  private void reportFigures(Report report, String name, TestFleet testFleet) {
    PlayerSimulator.Figures figures = testFleet.playerCrowd.figures();
    report.addFigure(
        name + ": requests",
        figures.asked
            + " ("
            + figures.played
            + " played, "
            + figures.rejected
            + " blocked, "
            + figures.failed
            + " aborted, "
            + figures.disconnected
            + " broken off, "
            + figures.notReached
            + " not reached, "
            + figures.unanswered
            + " unanswered)");
    report.addFigure(name + ": came again, starved", figures.retried + ", " + figures.stalled);
    report.addFigure(
        name + ": join ms p50 p99 max",
        figures.joinMicros.getValueAtPercentile(50) / 1000
            + " "
            + figures.joinMicros.getValueAtPercentile(99) / 1000
            + " "
            + figures.joinMicros.getMaxValue() / 1000);
    report.addFigure(
        name + ": value joined in time over asked",
        figures.valueOnTime / Math.max(1, figures.valueRequested));
    report.addFigure(name + ": megabytes played", figures.bytes / 1_000_000);
    // An imported day may ask for more than the fleet can serve, so the share played is reported as
    // a figure and not required.
    report.addClaim(
        name + ": viewings played",
        !requiresEveryRule ? "some" : "over a third of the requests",
        figures.played + " of " + figures.asked,
        requiresEveryRule ? figures.played * 3 > figures.asked : figures.played > 0);
  }
}
