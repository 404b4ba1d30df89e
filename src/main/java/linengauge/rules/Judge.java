package linengauge.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Judges the six rules from a record of traffic alone (docs/protocol/traffic.md). It knows no code
 * of the front. Moments were taken at the ends of sockets, so a little slack, told in the record's
 * terms, stands between what a front did and what was seen of it; it always counts for the front.
 */
public final class Judge {
  private static final String ONE_ANSWER = "one-answer";
  private static final String NO_DOUBLE_SET_UP = "no-double-set-up";
  private static final Set<String> ANSWERS = Set.of("plays", "blocked", "aborted");

  private final TrafficRecord day;
  private final Verdict verdict = new Verdict();

  private Judge(TrafficRecord day) {
    this.day = day;
  }

  /** Judges a record, one JSON object a line. */
  public static Verdict judge(List<String> lines) throws InvalidRecordException {
    Judge j = new Judge(TrafficRecord.read(lines));
    j.oneAnswer();
    j.noDoubleSetUp();
    j.drains();
    j.coldBoxes();
    j.floors();
    j.seats();
    j.furtherTuneIns();
    return j.verdict;
  }

  /**
   * Rule 1. A request counts as taken unless its front was dead or killed, or stood still past the
   * viewer's patience.
   */
  private void oneAnswer() {
    for (TrafficRecord.ViewerRequest a : day.asks.values()) {
      if (hadNoFront(a)) {
        judgeAnswersOfKilled(a);
      } else if (isTaken(a)) {
        verdict.countCheck(ONE_ANSWER);
        String wrong = wrongAnswer(a);
        if (wrong != null) {
          verdict.addBreach(ONE_ANSWER, a.at, a.id, 0, wrong);
        }
      }
    }
  }

  /** Its front was dead, or killed before the request was over. */
  private boolean hadNoFront(TrafficRecord.ViewerRequest a) {
    long patienceEnds = a.at + a.patience;
    long last = a.ends.isEmpty() ? patienceEnds : a.ends.get(a.ends.size() - 1).at();
    return day.down(a.front, a.at)
        || day.killedWithin(a.front, a.at, Math.max(last, patienceEnds) + day.terms.slack());
  }

  private void judgeAnswersOfKilled(TrafficRecord.ViewerRequest a) {
    long answers = a.ends.stream().filter(e -> e.what().equals("answered")).count();
    if (answers > 1) {
      verdict.addBreach(
          ONE_ANSWER, a.at, a.id, 0, "answered " + answers + " times by a front since killed");
    }
  }

  /**
   * Its front did not stand still past the viewer's patience, and the network did not break it as
   * the shared address went to another front.
   */
  private boolean isTaken(TrafficRecord.ViewerRequest a) {
    long patienceEnds = a.at + a.patience;
    boolean cut = a.cut && a.ends.size() == 1 && !a.ends.get(0).what().equals("answered");
    return day.running(a.front, patienceEnds) == patienceEnds && !cut;
  }

  /** What is wrong with how the request ended, or null. */
  private String wrongAnswer(TrafficRecord.ViewerRequest a) {
    if (a.ends.size() != 1) {
      return a.ends.size() + " ends of one request";
    }
    RecordEvent end = a.ends.get(0);
    String how = end.text("how");
    long patienceEnds = a.at + a.patience;
    if (!end.what().equals("answered")) {
      return "no answer: " + end.what();
    }
    if (how == null || !ANSWERS.contains(how)) {
      return "an unclear answer: " + end.text("status");
    }
    if (end.at() > patienceEnds + day.terms.slack()) {
      return "answered " + (end.at() - patienceEnds) / 1000 + " ms after the viewer's patience";
    }
    return how.equals("plays") && !isPlayed(end.text("viewing"))
        ? "said to play, and no box plays it"
        : null;
  }

  private boolean isPlayed(String viewing) {
    return day.byViewing.getOrDefault(viewing, List.of()).stream()
        .anyMatch(u -> "plays".equals(u.how));
  }

  /** Rule 2. */
  private void noDoubleSetUp() {
    day.byViewing.values().forEach(this::judgeSetUpsOfOneViewing);
    Map<String, List<TrafficRecord.SetUp>> byKey = new HashMap<>();
    day.setUps.forEach(
        u -> byKey.computeIfAbsent(u.key + "@" + u.front, k -> new ArrayList<>()).add(u));
    for (TrafficRecord.ViewerRequest a : day.asks.values()) {
      if (day.terms.packages().get(a.pack).paid()
          && !a.ends.isEmpty()
          && "blocked".equals(a.ends.get(0).text("how"))) {
        judgeBlockedThoughPaid(a, byKey.getOrDefault(a.key + "@" + a.front, List.of()));
      }
    }
  }

  private void judgeSetUpsOfOneViewing(List<TrafficRecord.SetUp> setUps) {
    Set<Integer> numbers = new HashSet<>();
    for (int i = 0; i < setUps.size(); i++) {
      TrafficRecord.SetUp u = setUps.get(i);
      verdict.countCheck(NO_DOUBLE_SET_UP);
      if (!numbers.add(u.tuneIn)) {
        breaksNoDoubleSetUp(u.at, u, "tune-in " + u.tuneIn + " was sent twice");
      }
      for (TrafficRecord.SetUp earlier : setUps.subList(0, i)) {
        if (earlier.noLongerOut() > u.at + day.terms.slack()) {
          breaksNoDoubleSetUp(u.at, u, "two tune-ins out: the other at box " + earlier.box);
        }
        if (day.terms.packages().get(u.pack).paid() && !earlier.provablyNeverRan()) {
          breaksNoDoubleSetUp(u.at, u, "set up again though paid for at box " + earlier.box);
        }
      }
    }
  }

  private void judgeBlockedThoughPaid(
      TrafficRecord.ViewerRequest a, List<TrafficRecord.SetUp> ofItsKey) {
    verdict.countCheck(NO_DOUBLE_SET_UP);
    long answered = a.ends.get(0).at();
    for (TrafficRecord.SetUp u : ofItsKey) {
      if (u.at >= a.at && u.at <= answered && !u.provablyNeverRan()) {
        breaksNoDoubleSetUp(answered, u, "blocked, though paid for and perhaps set up");
      }
    }
  }

  private void breaksNoDoubleSetUp(long at, TrafficRecord.SetUp u, String why) {
    verdict.addBreach(NO_DOUBLE_SET_UP, at, u.viewing, u.box, why);
  }

  /**
   * Rule 3. A front hears when it runs; a whole list that no longer names a box says that it is
   * gone.
   */
  private void drains() {
    String rule = "drains";
    Map<String, Long> notServing = new HashMap<>();
    Map<Integer, Set<Long>> known = new HashMap<>();
    for (RecordEvent s : day.all) {
      int front = (int) s.number("front");
      switch (s.what()) {
        case "front-started" -> {
          notServing.keySet().removeIf(k -> k.startsWith(front + "/"));
          known.remove(front);
        }
        case "told" ->
            told(
                notServing,
                known,
                front,
                s.number("box"),
                s.at(),
                s.text("state").equals("serving"));
        case "told-whole" -> {
          Set<Long> named = new HashSet<>();
          s.fields().path("boxes").forEach(b -> named.add(b.asLong()));
          for (long box : List.copyOf(known.getOrDefault(front, Set.of()))) {
            if (!named.contains(box)) {
              told(notServing, known, front, box, s.at(), false);
            }
          }
        }
        case "set-up" -> {
          Long since = notServing.get(front + "/" + s.number("box"));
          if (since != null
              && s.at() > day.running(front, since) + day.terms.grace() + day.terms.slack()) {
            verdict.addBreach(
                rule,
                s.at(),
                s.text("viewing"),
                s.number("box"),
                "sent " + (s.at() - since) / 1000 + " ms after it was told not to serve");
          }
        }
        default -> {}
      }
    }
  }

  private void told(
      Map<String, Long> notServing,
      Map<Integer, Set<Long>> known,
      int front,
      long box,
      long at,
      boolean serving) {
    known.computeIfAbsent(front, f -> new HashSet<>()).add(box);
    if (serving) {
      notServing.remove(front + "/" + box);
    } else if (notServing.putIfAbsent(front + "/" + box, at) == null) {
      verdict.countCheck("drains");
    }
  }

  /**
   * Rule 4. In no window of the fall's length may all fronts together send more than the multiple
   * of the pace.
   */
  private void coldBoxes() {
    String rule = "cold-boxes";
    Map<Long, long[]> cold = new HashMap<>();
    Map<Long, List<Long>> sends = new HashMap<>();
    for (RecordEvent s : day.all) {
      long box = s.number("box");
      if (s.what().equals("box-started")) {
        sends.remove(box);
        cold.remove(box);
        if (s.fields().path("cold").asBoolean()) {
          cold.put(box, new long[] {s.at(), s.number("streams")});
        }
      } else if (s.what().equals("box-fell")) {
        verdict.addBreach(rule, s.at(), "all", box, "the box fell over");
      } else if (s.what().equals("set-up") && cold.containsKey(box)) {
        long[] start = cold.get(box);
        if (s.at() - start[0] >= day.terms.cold()) {
          cold.remove(box);
          continue;
        }
        verdict.countCheck(rule);
        List<Long> of = sends.computeIfAbsent(box, b -> new ArrayList<>());
        of.add(s.at());
        long from = s.at() - day.terms.fallAfter();
        of.removeIf(at -> at < from);
        double most =
            Math.max(
                1,
                day.terms.fallMultiple()
                    * start[1]
                    * warmed(Math.max(0, from - start[0]), s.at() - start[0])
                    / day.terms.cold());
        if (of.size() > most) {
          verdict.addBreach(
              rule,
              s.at(),
              s.text("viewing"),
              box,
              of.size()
                  + " set-ups in a window of "
                  + String.format(java.util.Locale.ROOT, "%.1f", most));
        }
      }
    }
  }

  /**
   * The share warmed, summed over a window of a cold box's age, microseconds. A window that began
   * before it counts whole.
   */
  private double warmed(long from, long to) {
    double start = day.terms.startCapacity();
    double middle = start + (1 - start) * ((from + to) / 2.0) / day.terms.cold();
    return Math.min(1, middle) * day.terms.fallAfter();
  }

  /** Rule 5, the rungs. */
  private void floors() {
    Map<String, Terms.Pack> packs = new HashMap<>();
    for (RecordEvent s : day.all) {
      boolean setUp = s.what().equals("set-up");
      if (!setUp && !s.what().equals("rung")) {
        continue;
      }
      if (setUp) {
        packs.put(s.text("viewing"), day.terms.packages().get(s.text("package")));
      }
      Terms.Pack p = packs.get(s.text("viewing"));
      if (p == null) {
        continue;
      }
      if (p.lowest() > 0) {
        verdict.countCheck("terms");
      }
      if (s.number("rung") < p.lowest() || s.number("rung") > p.highest()) {
        verdict.addBreach(
            "terms",
            s.at(),
            s.text("viewing"),
            s.number("box"),
            "rung " + s.number("rung") + " of a package with " + p.lowest() + " to " + p.highest());
      }
    }
  }

  /**
   * Rule 5, the seats: viewings of one title and package that one life of a front holds, set-ups
   * counted.
   */
  private void seats() {
    Map<String, List<TrafficRecord.SetUp>> held = new HashMap<>();
    for (TrafficRecord.SetUp u : day.setUps) {
      int seats = day.terms.packages().get(u.pack).seats();
      if (seats <= 0) {
        continue;
      }
      verdict.countCheck("terms");
      List<TrafficRecord.SetUp> of =
          held.computeIfAbsent(u.life() + "/" + u.title + "/" + u.pack, k -> new ArrayList<>());
      of.removeIf(
          other -> other.overAt <= u.at + day.terms.slack() || other.viewing.equals(u.viewing));
      of.add(u);
      if (of.size() > seats) {
        verdict.addBreach(
            "terms",
            u.at,
            u.viewing,
            u.box,
            of.size() + " viewings of " + u.title + " on " + seats + " seats");
      }
    }
  }

  /** Rule 6, for each life of a front. */
  private void furtherTuneIns() {
    if (day.terms.furtherSpan() <= 0) {
      return;
    }
    Map<String, List<Long>> further = new HashMap<>();
    for (TrafficRecord.SetUp u : day.setUps) {
      if (u.tuneIn == 0) {
        continue;
      }
      verdict.countCheck("further-tune-ins");
      List<Long> of = further.computeIfAbsent(u.life(), l -> new ArrayList<>());
      of.add(u.at);
      long from = u.at - day.terms.furtherSpan();
      of.removeIf(at -> at <= from + day.terms.slack());
      long taken =
          day.asks.values().stream()
              .filter(a -> a.front == u.front)
              .mapToLong(a -> day.running(a.front, a.at))
              .filter(at -> at >= from - day.terms.slack() && at <= u.at + day.terms.slack())
              .count();
      double most = day.terms.furtherFree() + day.terms.furtherShare() * taken;
      if (of.size() > most) {
        verdict.addBreach(
            "further-tune-ins",
            u.at,
            u.viewing,
            u.box,
            of.size()
                + " further tune-ins of "
                + String.format(java.util.Locale.ROOT, "%.1f", most));
      }
    }
  }
}
