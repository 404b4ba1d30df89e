package linengauge.drill;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import linengauge.standin.StandInBox;

/**
 * Injects the faults of a day into the stand-ins and front processes; the affected parts are drawn
 * from the day's seed.
 */
final class FaultInjector {
  private final TestFleet testFleet;
  private final SplittableRandom random;

  /** Threads that signal or restart front processes; each ends with its fault. */
  private final List<Thread> threads = new ArrayList<>();

  private final List<String> failures = new ArrayList<>();

  /**
   * Boxes that a fault has taken down or is about to restart, so that no two faults act on the same
   * box.
   */
  private final Set<StandInBox> busyBoxes = new HashSet<>();

  /** The handler of each kind of fault. */
  private final Map<String, Consumer<DayScript.Fault>> handlers = handlers();

  private double arrivalMultiple = 1;

  FaultInjector(TestFleet testFleet, long seed) {
    this.testFleet = testFleet;
    this.random = new SplittableRandom(seed);
  }

  /** Returns the current multiple of the base arrival rate. */
  double currentArrivalMultiple() {
    return arrivalMultiple;
  }

  /** Schedules all faults of the day. Must be called on the boxes' event loop. */
  void start() {
    for (DayScript.Fault fault : testFleet.day.troubles()) {
      testFleet.vertx.setTimer(
          Math.max(1, Math.round(1000 * fault.atS())), timerId -> inject(fault));
    }
  }

  List<String> awaitEnd() throws InterruptedException {
    for (Thread thread : threads) {
      thread.join(30_000);
    }
    return failures;
  }

  private void scheduleAfter(double seconds, Runnable task) {
    testFleet.vertx.setTimer(Math.max(1, Math.round(1000 * seconds)), timerId -> task.run());
  }

  private List<StandInBox> drawBoxes(double part) {
    List<StandInBox> candidates = new ArrayList<>(testFleet.fleet.boxes());
    candidates.removeIf(box -> busyBoxes.contains(box) || !box.isUp());
    List<StandInBox> drawn = new ArrayList<>();
    long count = Math.max(1, Math.round(part * testFleet.fleet.boxes().size()));
    while (drawn.size() < count && !candidates.isEmpty()) {
      drawn.add(candidates.remove(random.nextInt(candidates.size())));
    }
    return drawn;
  }

  private void inject(DayScript.Fault fault) {
    testFleet.tap.recordEvent(
        "trouble",
        "kind",
        fault.kind(),
        "forS",
        fault.forS(),
        "part",
        fault.part(),
        "size",
        fault.size());
    Consumer<DayScript.Fault> handler = handlers.get(fault.kind());
    if (handler == null) {
      failures.add("unknown trouble " + fault.kind());
    } else {
      handler.accept(fault);
    }
  }

  private Map<String, Consumer<DayScript.Fault>> handlers() {
    return Map.ofEntries(
        Map.entry(
            "fast_errors",
            fault ->
                applyToBoxes(
                    fault, box -> box.setFailureRate(fault.size()), box -> box.setFailureRate(0))),
        Map.entry("answer_lost", this::answersLost),
        Map.entry(
            "hang",
            fault -> applyToBoxes(fault, box -> box.setHung(true), box -> box.setHung(false))),
        Map.entry(
            "bad_playlist",
            fault ->
                applyToBoxes(
                    fault, box -> box.setBadPlaylists(true), box -> box.setBadPlaylists(false))),
        Map.entry(
            "slow",
            fault ->
                applyToBoxes(fault, box -> slowDown(box, fault.size()), box -> slowDown(box, 1))),
        Map.entry("neighbour", this::neighbour),
        Map.entry("shared_slow", this::allLinksSlow),
        Map.entry("origin_slow", this::uplinksSlow),
        Map.entry("report_late", this::notesLate),
        Map.entry("burst", this::burst),
        Map.entry("hot_key", this::hotTitle),
        Map.entry("peer_down", this::datagramsLost),
        Map.entry("vanish", fault -> applyToBoxes(fault, this::vanish, this::restart)),
        Map.entry(
            "ageing",
            fault ->
                applyToBoxes(
                    fault,
                    box -> box.setSlowdown(1 + fault.size() / 2),
                    box -> age(box, fault.size()))),
        Map.entry("deploy", this::deploy),
        Map.entry(
            "list_break", fault -> testFleet.boxList.interruptFor((int) (1000 * fault.forS()))),
        Map.entry("list_gap", fault -> listGap()),
        Map.entry("balancer_stall", this::stall),
        Map.entry("balancer_kill", this::kill));
  }

  /* ---- boxes ---- */

  private void answersLost(DayScript.Fault fault) {
    boolean byReset = "reset".equals(fault.how());
    applyToBoxes(
        fault, box -> box.setAnswerLoss(fault.size(), byReset), box -> box.setAnswerLoss(0, false));
  }

  private static void slowDown(StandInBox box, double factor) {
    box.setLinkCapacity(1 / factor);
    box.setSlowdown(factor);
  }

  private void neighbour(DayScript.Fault fault) {
    applyToBoxes(
        fault,
        box -> flicker(box, fault, System.nanoTime() + Math.round(fault.forS() * 1e9), true),
        box -> {});
  }

  private void vanish(StandInBox box) {
    busyBoxes.add(box);
    box.becomeUnreachable();
    publishState(box, "gone", 2.5);
  }

  /** Slows the box down further, then restarts it. */
  private void age(StandInBox box, double factor) {
    box.setSlowdown(factor);
    scheduleAfter(
        1,
        () -> {
          box.setSlowdown(1);
          busyBoxes.add(box);
          box.close();
          publishState(box, "gone", 1);
          scheduleAfter(2.5, () -> restart(box));
        });
  }

  /* ---- links, notes, discovery, viewers ---- */

  private void allLinksSlow(DayScript.Fault fault) {
    testFleet.fleet.boxes().forEach(box -> box.setLinkCapacity(1 / fault.size()));
    scheduleAfter(
        fault.forS(), () -> testFleet.fleet.boxes().forEach(box -> box.setLinkCapacity(1)));
  }

  private void uplinksSlow(DayScript.Fault fault) {
    int racks = Math.max(1, (int) Math.round(fault.part() * testFleet.fleet.racks()));
    int first = random.nextInt(testFleet.fleet.racks());
    for (int i = 0; i < racks; i++) {
      int rack = (first + i) % testFleet.fleet.racks();
      testFleet.fleet.setUplinkCapacity(rack, 1 / fault.size());
      scheduleAfter(fault.forS(), () -> testFleet.fleet.setUplinkCapacity(rack, 1));
    }
  }

  private void notesLate(DayScript.Fault fault) {
    testFleet.fleet.setExtraNoteDelay((int) (1000 * fault.size()));
    scheduleAfter(fault.forS(), () -> testFleet.fleet.setExtraNoteDelay(0));
  }

  private void burst(DayScript.Fault fault) {
    arrivalMultiple = fault.size();
    scheduleAfter(fault.forS(), () -> arrivalMultiple = 1);
  }

  private void hotTitle(DayScript.Fault fault) {
    String title = testFleet.titles().get(random.nextInt(testFleet.titles().size()));
    testFleet.playerCrowd.setHotTitle(title, fault.size());
    scheduleAfter(fault.forS(), () -> testFleet.playerCrowd.setHotTitle(null, 0));
  }

  private void datagramsLost(DayScript.Fault fault) {
    testFleet.datagramRelay.setLossRate(fault.size());
    scheduleAfter(fault.forS(), () -> testFleet.datagramRelay.setLossRate(0));
  }

  private void listGap() {
    testFleet.boxList.dropNextChange();
    StandInBox box = testFleet.fleet.boxes().get(random.nextInt(testFleet.fleet.boxes().size()));
    if (box.isUp() && !busyBoxes.contains(box)) {
      publishState(box, "serving", 0);
      publishState(box, "serving", 0.2);
    }
  }

  /* ---- front processes ---- */

  private void kill(DayScript.Fault fault) {
    applyToFronts(
        fault,
        front -> {
          front.kill();
          Thread.sleep(Math.round(1000 * fault.forS()));
          testFleet.restart(front);
          testFleet.awaitReady(front, 20_000);
        });
  }

  private void applyToBoxes(
      DayScript.Fault fault, Consumer<StandInBox> begin, Consumer<StandInBox> end) {
    for (StandInBox box : drawBoxes(fault.part())) {
      begin.accept(box);
      scheduleAfter(fault.forS(), () -> end.accept(box));
    }
  }

  private void flicker(StandInBox box, DayScript.Fault fault, long untilNanos, boolean loaded) {
    boolean ended = System.nanoTime() >= untilNanos;
    box.setBackgroundUsage(loaded && !ended ? fault.size() : 0);
    if (!ended) {
      scheduleAfter(Math.max(0.2, fault.extra()), () -> flicker(box, fault, untilNanos, !loaded));
    }
  }

  private void publishState(StandInBox box, String state, double delaySeconds) {
    scheduleAfter(
        delaySeconds,
        () -> testFleet.boxList.publish(box.location(), "small", state, box.startedAtMillis()));
  }

  private void restart(StandInBox box) {
    box.restart();
    scheduleAfter(
        0.2,
        () -> {
          publishState(box, "serving", 0);
          busyBoxes.remove(box);
        });
  }

  /**
   * Restarts boxes in batches of `size`: each is drained, closed after `extra` seconds, started
   * cold and listed again.
   */
  private void deploy(DayScript.Fault fault) {
    List<StandInBox> boxes = drawBoxes(fault.part());
    busyBoxes.addAll(boxes);
    int batch = 0;
    int size = Math.max(1, (int) Math.round(fault.size()));
    double pace = fault.forS() / Math.max(1, (boxes.size() + size - 1) / size);
    for (int i = 0; i < boxes.size(); i += size) {
      for (StandInBox box : boxes.subList(i, Math.min(boxes.size(), i + size))) {
        scheduleAfter(
            batch * pace,
            () -> {
              publishState(box, "draining", 0);
              scheduleAfter(
                  fault.extra() + testFleet.day.list().lateMs() * 1.5e-3,
                  () -> {
                    box.close();
                    scheduleAfter(0.5, () -> restart(box));
                  });
            });
      }
      batch++;
    }
  }

  /**
   * Suspends fronts: once for the length of the fault or, if `extra` is above 0, for `size` seconds
   * every `extra` seconds. If `how` is "apart", each front starts at a different time; otherwise
   * all start at once.
   */
  private void stall(DayScript.Fault fault) {
    if (fault.extra() <= 0) {
      applyToFronts(fault, front -> front.pauseFor(Math.round(1000 * fault.forS())));
      return;
    }
    boolean apart = "apart".equals(fault.how());
    long seed = random.nextLong();
    applyToFronts(
        fault,
        front -> {
          long untilNanos = System.nanoTime() + Math.round(1e9 * fault.forS());
          if (apart) {
            double offset = new SplittableRandom(seed + front.number()).nextDouble();
            Thread.sleep(Math.round(1000 * offset * (fault.size() + fault.extra())));
          }
          while (System.nanoTime() < untilNanos) {
            front.pauseFor(Math.round(1000 * fault.size()));
            Thread.sleep(Math.round(1000 * Math.max(0.5, fault.extra())));
          }
        });
  }

  private interface FrontAction {
    void apply(FrontProcess front) throws IOException, InterruptedException;
  }

  private void applyToFronts(DayScript.Fault fault, FrontAction action) {
    int first = random.nextInt(testFleet.fronts.size());
    List<FrontProcess> chosen = new ArrayList<>();
    if ("building".equals(fault.how())) { // all fronts of one building, and no others
      for (int i = first % testFleet.day.fleet().buildings().size();
          i < testFleet.fronts.size();
          i += testFleet.day.fleet().buildings().size()) {
        chosen.add(testFleet.fronts.get(i));
      }
    } else {
      int count = Math.max(1, (int) Math.round(fault.part() * testFleet.fronts.size()));
      for (int i = 0; i < count; i++) {
        chosen.add(testFleet.fronts.get((first + i) % testFleet.fronts.size()));
      }
    }
    for (FrontProcess front : chosen) {
      Thread thread =
          new Thread(
              () -> {
                try {
                  synchronized (front) {
                    action.apply(front);
                  }
                } catch (IOException | InterruptedException e) {
                  synchronized (failures) {
                    failures.add(fault.kind() + ": " + e.getMessage());
                  }
                }
              },
              "trouble " + fault.kind());
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }
}
