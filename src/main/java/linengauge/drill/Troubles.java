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
 * Acts out the troubles of a day on the stand-ins and front processes, each drawn from the day's
 * seed.
 */
final class Troubles {
  private final Grounds grounds;
  private final SplittableRandom chance;

  /** Threads that signal or restart front processes; each ends with its trouble. */
  private final List<Thread> hands = new ArrayList<>();

  private final List<String> failures = new ArrayList<>();

  /** Boxes that a trouble has down or about to restart, so that two do not fight over one. */
  private final Set<StandInBox> taken = new HashSet<>();

  /** What each kind of trouble does. */
  private final Map<String, Consumer<DayScript.Trouble>> handlers = handlers();

  private double bursting = 1;

  Troubles(Grounds grounds, long seed) {
    this.grounds = grounds;
    this.chance = new SplittableRandom(seed);
  }

  /** How many times the usual number of viewers come now. */
  double arrivals() {
    return bursting;
  }

  /** Sets all troubles of the day on their way; on the boxes' loop. */
  void begin() {
    for (DayScript.Trouble t : grounds.day.troubles()) {
      grounds.vertx.setTimer(Math.max(1, Math.round(1000 * t.atS())), x -> act(t));
    }
  }

  List<String> finish() throws InterruptedException {
    for (Thread h : hands) {
      h.join(30_000);
    }
    return failures;
  }

  private void later(double seconds, Runnable step) {
    grounds.vertx.setTimer(Math.max(1, Math.round(1000 * seconds)), x -> step.run());
  }

  private List<StandInBox> some(double part) {
    List<StandInBox> all = new ArrayList<>(grounds.fleet.boxes());
    all.removeIf(b -> taken.contains(b) || !b.isUp());
    List<StandInBox> drawn = new ArrayList<>();
    long n = Math.max(1, Math.round(part * grounds.fleet.boxes().size()));
    while (drawn.size() < n && !all.isEmpty()) {
      drawn.add(all.remove(chance.nextInt(all.size())));
    }
    return drawn;
  }

  private void act(DayScript.Trouble t) {
    grounds.tap.recordEvent(
        "trouble", "kind", t.kind(), "forS", t.forS(), "part", t.part(), "size", t.size());
    Consumer<DayScript.Trouble> handler = handlers.get(t.kind());
    if (handler == null) {
      failures.add("unknown trouble " + t.kind());
    } else {
      handler.accept(t);
    }
  }

  private Map<String, Consumer<DayScript.Trouble>> handlers() {
    return Map.ofEntries(
        Map.entry(
            "fast_errors", t -> on(t, b -> b.setFailureRate(t.size()), b -> b.setFailureRate(0))),
        Map.entry("answer_lost", this::answersLost),
        Map.entry("hang", t -> on(t, b -> b.setHung(true), b -> b.setHung(false))),
        Map.entry(
            "bad_playlist",
            t -> on(t, b -> b.setBadPlaylists(true), b -> b.setBadPlaylists(false))),
        Map.entry("slow", t -> on(t, b -> slowDown(b, t.size()), b -> slowDown(b, 1))),
        Map.entry("neighbour", this::neighbour),
        Map.entry("shared_slow", this::allLinksSlow),
        Map.entry("origin_slow", this::uplinksSlow),
        Map.entry("report_late", this::notesLate),
        Map.entry("burst", this::burst),
        Map.entry("hot_key", this::hotTitle),
        Map.entry("peer_down", this::datagramsLost),
        Map.entry("vanish", t -> on(t, this::vanish, this::comeBack)),
        Map.entry(
            "ageing", t -> on(t, b -> b.setSlowdown(1 + t.size() / 2), b -> age(b, t.size()))),
        Map.entry("deploy", this::deploy),
        Map.entry("list_break", t -> grounds.list.interruptFor((int) (1000 * t.forS()))),
        Map.entry("list_gap", t -> listGap()),
        Map.entry("balancer_stall", this::stall),
        Map.entry("balancer_kill", this::kill));
  }

  /* ---- boxes ---- */

  private void answersLost(DayScript.Trouble t) {
    boolean byReset = "reset".equals(t.how());
    on(t, b -> b.setAnswerLoss(t.size(), byReset), b -> b.setAnswerLoss(0, false));
  }

  private static void slowDown(StandInBox b, double times) {
    b.setLinkCapacity(1 / times);
    b.setSlowdown(times);
  }

  private void neighbour(DayScript.Trouble t) {
    on(t, b -> flicker(b, t, System.nanoTime() + Math.round(t.forS() * 1e9), true), b -> {});
  }

  private void vanish(StandInBox b) {
    taken.add(b);
    b.becomeUnreachable();
    list(b, "gone", 2.5);
  }

  /** It slows down further, and is then started anew. */
  private void age(StandInBox b, double times) {
    b.setSlowdown(times);
    later(
        1,
        () -> {
          b.setSlowdown(1);
          taken.add(b);
          b.close();
          list(b, "gone", 1);
          later(2.5, () -> comeBack(b));
        });
  }

  /* ---- links, notes, the list, viewers ---- */

  private void allLinksSlow(DayScript.Trouble t) {
    grounds.fleet.boxes().forEach(b -> b.setLinkCapacity(1 / t.size()));
    later(t.forS(), () -> grounds.fleet.boxes().forEach(b -> b.setLinkCapacity(1)));
  }

  private void uplinksSlow(DayScript.Trouble t) {
    int racks = Math.max(1, (int) Math.round(t.part() * grounds.fleet.racks()));
    int first = chance.nextInt(grounds.fleet.racks());
    for (int i = 0; i < racks; i++) {
      int rack = (first + i) % grounds.fleet.racks();
      grounds.fleet.setUplinkCapacity(rack, 1 / t.size());
      later(t.forS(), () -> grounds.fleet.setUplinkCapacity(rack, 1));
    }
  }

  private void notesLate(DayScript.Trouble t) {
    grounds.fleet.setExtraNoteDelay((int) (1000 * t.size()));
    later(t.forS(), () -> grounds.fleet.setExtraNoteDelay(0));
  }

  private void burst(DayScript.Trouble t) {
    bursting = t.size();
    later(t.forS(), () -> bursting = 1);
  }

  private void hotTitle(DayScript.Trouble t) {
    String title = grounds.titles().get(chance.nextInt(grounds.titles().size()));
    grounds.crowd.setHotTitle(title, t.size());
    later(t.forS(), () -> grounds.crowd.setHotTitle(null, 0));
  }

  private void datagramsLost(DayScript.Trouble t) {
    grounds.post.setLossRate(t.size());
    later(t.forS(), () -> grounds.post.setLossRate(0));
  }

  private void listGap() {
    grounds.list.dropNextChange();
    StandInBox b = grounds.fleet.boxes().get(chance.nextInt(grounds.fleet.boxes().size()));
    if (b.isUp() && !taken.contains(b)) {
      list(b, "serving", 0);
      list(b, "serving", 0.2);
    }
  }

  /* ---- front processes ---- */

  private void kill(DayScript.Trouble t) {
    fronts(
        t,
        f -> {
          f.kill();
          Thread.sleep(Math.round(1000 * t.forS()));
          grounds.startAgain(f);
          grounds.awaitReady(f, 20_000);
        });
  }

  private void on(DayScript.Trouble t, Consumer<StandInBox> begin, Consumer<StandInBox> end) {
    for (StandInBox b : some(t.part())) {
      begin.accept(b);
      later(t.forS(), () -> end.accept(b));
    }
  }

  private void flicker(StandInBox b, DayScript.Trouble t, long until, boolean taking) {
    boolean over = System.nanoTime() >= until;
    b.setBackgroundUsage(taking && !over ? t.size() : 0);
    if (!over) {
      later(Math.max(0.2, t.extra()), () -> flicker(b, t, until, !taking));
    }
  }

  private void list(StandInBox b, String state, double after) {
    later(after, () -> grounds.list.publish(b.location(), "small", state, b.startedAtMillis()));
  }

  private void comeBack(StandInBox b) {
    b.restart();
    later(
        0.2,
        () -> {
          list(b, "serving", 0);
          taken.remove(b);
        });
  }

  /**
   * Boxes in turns of `size`: drained, closed after `extra` seconds, started cold and listed again.
   */
  private void deploy(DayScript.Trouble t) {
    List<StandInBox> turn = some(t.part());
    taken.addAll(turn);
    int at = 0;
    int size = Math.max(1, (int) Math.round(t.size()));
    double pace = t.forS() / Math.max(1, (turn.size() + size - 1) / size);
    for (int i = 0; i < turn.size(); i += size) {
      for (StandInBox b : turn.subList(i, Math.min(turn.size(), i + size))) {
        later(
            at * pace,
            () -> {
              list(b, "draining", 0);
              later(
                  t.extra() + grounds.day.list().lateMs() * 1.5e-3,
                  () -> {
                    b.close();
                    later(0.5, () -> comeBack(b));
                  });
            });
      }
      at++;
    }
  }

  /**
   * Once for the trouble's length; or, where `extra` is over 0, for `size` seconds every `extra`
   * seconds: each front at times of its own where `how` is apart, else all at once.
   */
  private void stall(DayScript.Trouble t) {
    if (t.extra() <= 0) {
      fronts(t, f -> f.stopFor(Math.round(1000 * t.forS())));
      return;
    }
    boolean apart = "apart".equals(t.how());
    long seed = chance.nextLong();
    fronts(
        t,
        f -> {
          long until = System.nanoTime() + Math.round(1e9 * t.forS());
          if (apart) {
            double turn = new SplittableRandom(seed + f.number()).nextDouble();
            Thread.sleep(Math.round(1000 * turn * (t.size() + t.extra())));
          }
          while (System.nanoTime() < until) {
            f.stopFor(Math.round(1000 * t.size()));
            Thread.sleep(Math.round(1000 * Math.max(0.5, t.extra())));
          }
        });
  }

  private interface Hand {
    void on(FrontProcess front) throws IOException, InterruptedException;
  }

  private void fronts(DayScript.Trouble t, Hand hand) {
    int first = chance.nextInt(grounds.fronts.size());
    List<FrontProcess> hit = new ArrayList<>();
    if ("building".equals(t.how())) { // all of one, and no other
      for (int i = first % grounds.day.fleet().buildings().size();
          i < grounds.fronts.size();
          i += grounds.day.fleet().buildings().size()) {
        hit.add(grounds.fronts.get(i));
      }
    } else {
      int n = Math.max(1, (int) Math.round(t.part() * grounds.fronts.size()));
      for (int i = 0; i < n; i++) {
        hit.add(grounds.fronts.get((first + i) % grounds.fronts.size()));
      }
    }
    for (FrontProcess f : hit) {
      Thread h =
          new Thread(
              () -> {
                try {
                  synchronized (f) {
                    hand.on(f);
                  }
                } catch (IOException | InterruptedException e) {
                  synchronized (failures) {
                    failures.add(t.kind() + ": " + e.getMessage());
                  }
                }
              },
              "trouble " + t.kind());
      h.setDaemon(true);
      hands.add(h);
      h.start();
    }
  }
}
