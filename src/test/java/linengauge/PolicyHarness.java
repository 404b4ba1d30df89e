package linengauge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** One front with its boxes and viewers, and the six rules checked at every send and answer. */
final class PolicyHarness implements Environment {
  private static final Span DRAIN_GRACE = Span.ofMillis(1000);

  final class Box implements BoxPort {
    final Policy.MediaBox handle;
    int cell;
    boolean serving;
    Moment told = Moment.DISTANT_PAST;
    Moment startedAt = Moment.DISTANT_PAST;
    Moment witnessed = Moment.DISTANT_PAST;
    int probes;
    final List<Moment> sends = new ArrayList<>();

    final long id = nextBoxId++;

    Box(int cell) {
      this.cell = cell;
      this.handle = policy.createBox(this);
    }

    void serving(Moment startedAt) {
      serving = true;
      this.startedAt = startedAt;
      handle.markServing(1, cell, 0, 0, startedAt);
    }

    void draining() {
      told = serving ? now : told;
      serving = false;
      handle.markDraining();
    }

    void gone() {
      told = serving ? now : told;
      serving = false;
      handle.markGone();
    }

    @Override
    public long id() {
      return id;
    }

    @Override
    public void probe() {
      assertTrue(headend.permissions().mayProbe(), "probed where it may not");
      probes++;
    }
  }

  final class Viewer implements ViewingPort {
    /** Attempts that ended here without a word of their servers. */
    final Map<Integer, Box> unconfirmed = new HashMap<>();

    final PackageSettings terms;
    final Policy.Title title;
    final int ceiling;
    final Moment end;
    Policy.Viewing handle;
    Box out;
    int tuneIns;
    int rung;
    boolean playing;
    boolean mayHaveRun;
    String answer;
    Span timeout;

    Viewer(PackageSettings terms, Policy.Title title, int ceiling, Span patience) {
      this.terms = terms;
      this.title = title;
      this.ceiling = ceiling;
      this.end = now.plus(patience);
    }

    @Override
    public void tuneIn(Policy.MediaBox at, Span timeout) {
      Box box = (Box) at.port();
      Deployment.Rules rules = headend.rules();
      assertNull(answer, "sent after the answer");
      assertNull(out, "two tune-ins out");
      assertFalse(terms.paidAtSetUp() && mayHaveRun, "set up twice");
      assertTrue(++tuneIns <= headend.permissions().maxTuneIns(), "too many tune-ins");
      assertTrue(
          box.serving || now.since(box.told).isShorterThan(DRAIN_GRACE),
          "sent past the drain grace");
      assertTrue(
          timeout.micros() > 0 && !end.isBefore(now.plus(timeout)), "time-out past the patience");
      Moment coldSince = box.startedAt.max(box.witnessed);
      box.sends.add(now);
      if (now.isBefore(coldSince.plus(rules.coldPeriod()))) {
        box.sends.removeIf(m -> m.isBefore(now.minus(rules.overloadWindow())));
        double all =
            rules.overloadMultiple()
                * headend.fleet().streamsByKind()[0]
                * rules.coldStartCapacity()
                * rules.overloadWindow().seconds()
                / rules.coldPeriod().seconds();
        int fair = Math.max(1, (int) Math.floor(all / headend.frontCount()));
        assertTrue(
            box.sends.size() <= fair, "cold box pushed: " + box.sends.size() + " of " + fair);
      }
      if (tuneIns > 1 && !rules.retryWindow().equals(Span.NONE)) {
        further.add(now);
        Moment from = now.minus(rules.retryWindow());
        long made = further.stream().filter(m -> !m.isBefore(from)).count();
        long took = taken.stream().filter(m -> !m.isBefore(from)).count();
        assertTrue(
            made <= rules.freeRetries() + rules.retriesPerRequest() * took,
            "further tune-ins over budget");
      }
      assertFalse(unconfirmed.containsValue(box), "sent where an earlier attempt may still be out");
      out = box;
      this.timeout = timeout;
      int sent = tuneIns;
      schedule(
          timeout,
          () -> {
            if (out != null && !playing && tuneIns == sent) {
              ends(AttemptOutcome.NO_ANSWER);
            }
          });
      if (terms.maxViewingsPerTitle() > 0) {
        long held =
            viewers.stream()
                .filter(v -> v.out != null && v.title == title && v.terms == terms)
                .count();
        assertTrue(held <= terms.maxViewingsPerTitle(), "more viewings than seats");
      }
    }

    @Override
    public void setRung(int rung) {
      assertTrue(rung >= terms.lowestRung() && rung <= ceiling, "rung " + rung + " not allowed");
      this.rung = rung;
    }

    @Override
    public void reject(Span comeBackAfter, Environment.RejectionReason reason) {
      assertFalse(terms.paidAtSetUp() && mayHaveRun, "blocked though it may have run");
      answered("blocked");
    }

    @Override
    public void fail() {
      answered("aborted");
    }

    private void answered(String how) {
      assertNull(answer, "answered twice");
      assertFalse(end.isBefore(now), "answered too late");
      answer = how;
    }

    /** The server shows that it has read the end of that attempt. */
    void endConfirmed(int attempt) {
      unconfirmed.remove(attempt);
      handle.endConfirmed(attempt);
    }

    void plays() {
      answered("plays");
      playing = true;
      handle.playbackStarted();
    }

    void ends(AttemptOutcome how) {
      boolean over = playing;
      if (how == AttemptOutcome.NO_ANSWER
          || how == AttemptOutcome.NOT_REACHED
          || how == AttemptOutcome.BROKEN) {
        out.witnessed = now;
      }
      playing = false;
      mayHaveRun |= !how.neverRan;
      Box at = out;
      out = null;
      if (over || answer != null) {
        viewers.remove(this);
      }
      if (!how.confirmed) {
        unconfirmed.put(tuneIns - 1, at);
      }
      handle.tuneInEnded(how, over, how.confirmed);
    }
  }

  private record Step(Moment at, long number, Runnable deed) {}

  final Deployment headend;
  final Policy policy;
  final List<Box> boxes = new ArrayList<>();
  final List<Viewer> viewers = new ArrayList<>();
  final List<Double> answered = new ArrayList<>();
  final List<Double> sizes = new ArrayList<>();
  private final ArrayDeque<Moment> taken = new ArrayDeque<>();
  private final ArrayDeque<Moment> further = new ArrayDeque<>();
  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(
          (a, b) -> a.at.equals(b.at) ? Long.compare(a.number, b.number) : a.at.compareTo(b.at));
  private long number;
  private long nextBoxId;
  Moment now;

  PolicyHarness(Deployment headend, long seed, int boxCount) {
    this(headend, seed, boxCount, new Moment(1_000_000_000L));
  }

  /** One that starts at that moment. */
  PolicyHarness(Deployment headend, long seed, int boxCount, Moment begun) {
    this.now = begun;
    this.headend = headend;
    this.policy = new Policy(headend, seed, this);
    policy.setTime(now);
    for (int i = 0; i < boxCount; i++) {
      Box b = new Box(i);
      boxes.add(b);
      b.serving(Moment.DISTANT_PAST);
    }
  }

  /**
   * A small place: five rungs, links of 1000 kB, one rack of 4000 kB, nothing rationed unless said.
   */
  static Deployment place(
      int fronts, boolean messages, boolean probes, Span ration, PackageSettings... packages) {
    return new Deployment(
        fronts,
        0,
        0,
        List.of(packages),
        new double[] {30, 60, 100, 170, 300},
        new double[] {0.25, 0.45, 0.65, 0.82, 1},
        new Deployment.Fleet(4, 1, new int[] {24}, 4000, 1000, 4000, Span.ofMillis(800)),
        new Deployment.Rules(Span.ofSeconds(10), 0.4, 2.5, Span.ofSeconds(2), 3, 0.2, ration),
        new Deployment.Permissions(4, messages, probes, probes, 0.008, 0.01, 0, Span.ofSeconds(2)));
  }

  static PackageSettings terms(int floor, int seats, boolean paid) {
    return new PackageSettings(1, Span.ofMillis(800), 1, floor, 4, seats, paid);
  }

  static Deployment numbered(Deployment p, int own) {
    return new Deployment(
        p.frontCount(),
        own,
        p.building(),
        p.packages(),
        p.ladderKbPerSecond(),
        p.rungValues(),
        p.fleet(),
        p.rules(),
        p.permissions());
  }

  Viewer take(PackageSettings terms, Policy.Title title, Span patience) {
    taken.add(now);
    Viewer v = new Viewer(terms, title, 4, patience);
    viewers.add(v);
    v.handle = policy.requestViewing(v, terms, title, 4, patience);
    assertNotNull(v.handle);
    return v;
  }

  /** A viewing that has played at the box since before. */
  Viewer plays(PackageSettings terms, Policy.Title title, Box at, int rung) {
    Viewer v = new Viewer(terms, title, 4, Span.NONE);
    viewers.add(v);
    v.answer = "plays";
    v.playing = true;
    v.out = at;
    v.rung = rung;
    v.handle = policy.adoptViewing(v, terms, title, 4, at.handle);
    v.handle.rungReported(rung);
    return v;
  }

  void pass(Span span) {
    Moment until = now.plus(span);
    while (!steps.isEmpty() && !until.isBefore(steps.peek().at)) {
      Step s = steps.poll();
      now = s.at;
      policy.setTime(now);
      s.deed.run();
      checkAnswersOwed();
    }
    now = until;
    policy.setTime(now);
    checkAnswersOwed();
  }

  /**
   * The front stands still: what fell due meanwhile it finds all at once, and some viewers are
   * gone.
   */
  void standStill(Span span) {
    now = now.plus(span);
    policy.setTime(now);
    for (Viewer v : List.copyOf(viewers)) {
      if (v.answer == null && v.end.isBefore(now)) {
        v.answer = "left";
        v.handle.viewerLeft();
        if (v.out == null) {
          viewers.remove(v);
        }
      }
    }
    while (!steps.isEmpty() && !now.isBefore(steps.peek().at)) {
      steps.poll().deed.run();
    }
    checkAnswersOwed();
  }

  /** A viewing out of patience is answered, or its time-out has just run down. */
  void checkAnswersOwed() {
    for (Viewer v : viewers) {
      assertTrue(v.answer != null || !v.end.isBefore(now), "no answer before the patience ran out");
    }
    assertEquals(
        0,
        viewers.stream()
            .filter(
                v ->
                    v.answer == null && v.out == null && v.end.isBefore(now.plus(Span.ofMillis(1))))
            .count(),
        "held past its patience");
  }

  @Override
  public void schedule(Span span, Runnable step) {
    steps.add(new Step(now.plus(span), number++, step));
  }

  @Override
  public void sendUsage(
      int front, Policy.MediaBox box, int viewings, double kb, double uplinkShare) {
    assertTrue(headend.permissions().mayMessageFronts(), "talked where it may not");
  }

  @Override
  public void sendRackUsage(
      int front,
      Policy.MediaBox box,
      int othersViewings,
      double othersKb,
      double rackKb,
      double rackSizeKb) {
    answered.add(othersKb);
    sizes.add(rackSizeKb);
  }
}
