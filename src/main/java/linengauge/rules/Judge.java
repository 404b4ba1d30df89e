package linengauge.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the six rules against a traffic record alone (docs/protocol/traffic.md), without any
 * knowledge of the front's code. Moments are taken at the sockets of the stand-ins, so they differ
 * a little from those at the front. The slack stated in the record's terms covers this difference,
 * and it is always applied in favour of the front.
 */
public final class Judge {
  private static final String ONE_ANSWER = "one-answer";
  private static final String NO_DOUBLE_SET_UP = "no-double-set-up";
  private static final Set<String> ANSWERS = Set.of("plays", "blocked", "aborted");

  private final TrafficRecord record;
  private final Verdict verdict = new Verdict();

  private Judge(TrafficRecord record) {
    this.record = record;
  }

  /** Judges a record that has one JSON object a line. */
  public static Verdict judge(List<String> lines) throws InvalidRecordException {
    Judge judge = new Judge(TrafficRecord.read(lines));
    judge.checkOneAnswer();
    judge.checkNoDoubleSetUp();
    judge.checkDrains();
    judge.checkColdBoxes();
    judge.checkRungLimits();
    judge.checkSeats();
    judge.checkRetryBudget();
    return judge.verdict;
  }

  /**
   * Rule 1: each accepted request has exactly one answer. A request counts as accepted unless its
   * front was down, was killed, or was paused beyond the viewer's deadline.
   */
  private void checkOneAnswer() {
    for (TrafficRecord.ViewerRequest request : record.requests.values()) {
      if (hadNoRunningFront(request)) {
        checkAnswersOfKilledFront(request);
      } else if (isAccepted(request)) {
        verdict.countCheck(ONE_ANSWER);
        String fault = answerFault(request);
        if (fault != null) {
          verdict.addBreach(ONE_ANSWER, request.at, request.id, 0, fault);
        }
      }
    }
  }

  /** The front was down, or was killed before the request ended. */
  private boolean hadNoRunningFront(TrafficRecord.ViewerRequest request) {
    long deadline = request.at + request.timeLimit;
    long last =
        request.outcomes.isEmpty()
            ? deadline
            : request.outcomes.get(request.outcomes.size() - 1).at();
    return record.isDown(request.front, request.at)
        || record.wasKilledWithin(
            request.front, request.at, Math.max(last, deadline) + record.terms.slack());
  }

  private void checkAnswersOfKilledFront(TrafficRecord.ViewerRequest request) {
    long answers = request.outcomes.stream().filter(e -> e.what().equals("answered")).count();
    if (answers > 1) {
      verdict.addBreach(
          ONE_ANSWER,
          request.at,
          request.id,
          0,
          "answered " + answers + " times by a front since killed");
    }
  }

  /**
   * The front was not paused at the viewer's deadline, and the network did not break the connection
   * because the shared address moved to another front.
   */
  private boolean isAccepted(TrafficRecord.ViewerRequest request) {
    long deadline = request.at + request.timeLimit;
    boolean cut =
        request.cutByNetwork
            && request.outcomes.size() == 1
            && !request.outcomes.get(0).what().equals("answered");
    return record.runsFrom(request.front, deadline) == deadline && !cut;
  }

  /** Returns what is wrong with the end of the request, or null. */
  private String answerFault(TrafficRecord.ViewerRequest request) {
    if (request.outcomes.size() != 1) {
      return request.outcomes.size() + " ends of one request";
    }
    RecordEvent end = request.outcomes.get(0);
    String how = end.text("how");
    long deadline = request.at + request.timeLimit;
    if (!end.what().equals("answered")) {
      return "no answer: " + end.what();
    }
    if (how == null || !ANSWERS.contains(how)) {
      return "an unclear answer: " + end.text("status");
    }
    if (end.at() > deadline + record.terms.slack()) {
      return "answered " + (end.at() - deadline) / 1000 + " ms after the viewer's patience";
    }
    return how.equals("plays") && !isPlayed(end.text("viewing"))
        ? "said to play, and no box plays it"
        : null;
  }

  private boolean isPlayed(String viewing) {
    return record.byViewing.getOrDefault(viewing, List.of()).stream()
        .anyMatch(setUp -> "plays".equals(setUp.answer));
  }

  /** Rule 2: no viewing is set up twice. */
  private void checkNoDoubleSetUp() {
    record.byViewing.values().forEach(this::checkSetUpsOfViewing);
    Map<String, List<TrafficRecord.SetUp>> byKey = new HashMap<>();
    record.setUps.forEach(
        setUp ->
            byKey
                .computeIfAbsent(setUp.key + "@" + setUp.front, k -> new ArrayList<>())
                .add(setUp));
    for (TrafficRecord.ViewerRequest request : record.requests.values()) {
      if (record.terms.packages().get(request.packageName).paid()
          && !request.outcomes.isEmpty()
          && "blocked".equals(request.outcomes.get(0).text("how"))) {
        checkRejectedDespitePayment(
            request, byKey.getOrDefault(request.key + "@" + request.front, List.of()));
      }
    }
  }

  private void checkSetUpsOfViewing(List<TrafficRecord.SetUp> setUps) {
    Set<Integer> numbers = new HashSet<>();
    for (int i = 0; i < setUps.size(); i++) {
      TrafficRecord.SetUp setUp = setUps.get(i);
      verdict.countCheck(NO_DOUBLE_SET_UP);
      if (!numbers.add(setUp.tuneIn)) {
        addDoubleSetUpBreach(setUp.at, setUp, "tune-in " + setUp.tuneIn + " was sent twice");
      }
      for (TrafficRecord.SetUp earlier : setUps.subList(0, i)) {
        if (earlier.pendingUntil() > setUp.at + record.terms.slack()) {
          addDoubleSetUpBreach(
              setUp.at, setUp, "two tune-ins out: the other at box " + earlier.box);
        }
        if (record.terms.packages().get(setUp.packageName).paid() && !earlier.provablyNeverRan()) {
          addDoubleSetUpBreach(
              setUp.at, setUp, "set up again though paid for at box " + earlier.box);
        }
      }
    }
  }

  private void checkRejectedDespitePayment(
      TrafficRecord.ViewerRequest request, List<TrafficRecord.SetUp> setUpsOfKey) {
    verdict.countCheck(NO_DOUBLE_SET_UP);
    long answered = request.outcomes.get(0).at();
    for (TrafficRecord.SetUp setUp : setUpsOfKey) {
      if (setUp.at >= request.at && setUp.at <= answered && !setUp.provablyNeverRan()) {
        addDoubleSetUpBreach(answered, setUp, "blocked, though paid for and perhaps set up");
      }
    }
  }

  private void addDoubleSetUpBreach(long at, TrafficRecord.SetUp setUp, String why) {
    verdict.addBreach(NO_DOUBLE_SET_UP, at, setUp.viewing, setUp.box, why);
  }

  /**
   * Rule 3: a draining box gets no set-ups after the grace period. A front receives reports only
   * while it runs; a complete list that no longer names a box reports that box as gone.
   */
  private void checkDrains() {
    String rule = "drains";
    Map<String, Long> notServing = new HashMap<>();
    Map<Integer, Set<Long>> known = new HashMap<>();
    for (RecordEvent event : record.events) {
      int front = (int) event.number("front");
      switch (event.what()) {
        case "front-started" -> {
          notServing.keySet().removeIf(k -> k.startsWith(front + "/"));
          known.remove(front);
        }
        case "told" ->
            updateBoxState(
                notServing,
                known,
                front,
                event.number("box"),
                event.at(),
                event.text("state").equals("serving"));
        case "told-whole" -> {
          Set<Long> named = new HashSet<>();
          event.fields().path("boxes").forEach(b -> named.add(b.asLong()));
          for (long box : List.copyOf(known.getOrDefault(front, Set.of()))) {
            if (!named.contains(box)) {
              updateBoxState(notServing, known, front, box, event.at(), false);
            }
          }
        }
        case "set-up" -> {
          Long since = notServing.get(front + "/" + event.number("box"));
          if (since != null
              && event.at()
                  > record.runsFrom(front, since) + record.terms.grace() + record.terms.slack()) {
            verdict.addBreach(
                rule,
                event.at(),
                event.text("viewing"),
                event.number("box"),
                "sent " + (event.at() - since) / 1000 + " ms after it was told not to serve");
          }
        }
        default -> {}
      }
    }
  }

  private void updateBoxState(
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
   * Rule 4: in no window of the length after which an overloaded cold box fails may all fronts
   * together send more set-ups than the allowed multiple of its pace.
   */
  private void checkColdBoxes() {
    String rule = "cold-boxes";
    Map<Long, long[]> cold = new HashMap<>();
    Map<Long, List<Long>> sends = new HashMap<>();
    for (RecordEvent event : record.events) {
      long box = event.number("box");
      if (event.what().equals("box-started")) {
        sends.remove(box);
        cold.remove(box);
        if (event.fields().path("cold").asBoolean()) {
          cold.put(box, new long[] {event.at(), event.number("streams")});
        }
      } else if (event.what().equals("box-fell")) {
        verdict.addBreach(rule, event.at(), "all", box, "the box fell over");
      } else if (event.what().equals("set-up") && cold.containsKey(box)) {
        long[] start = cold.get(box);
        if (event.at() - start[0] >= record.terms.cold()) {
          cold.remove(box);
          continue;
        }
        verdict.countCheck(rule);
        List<Long> recentSends = sends.computeIfAbsent(box, b -> new ArrayList<>());
        recentSends.add(event.at());
        long from = event.at() - record.terms.fallAfter();
        recentSends.removeIf(at -> at < from);
        double limit =
            Math.max(
                1,
                record.terms.fallMultiple()
                    * start[1]
                    * warmCapacity(Math.max(0, from - start[0]), event.at() - start[0])
                    / record.terms.cold());
        if (recentSends.size() > limit) {
          verdict.addBreach(
              rule,
              event.at(),
              event.text("viewing"),
              box,
              recentSends.size()
                  + " set-ups in a window of "
                  + String.format(java.util.Locale.ROOT, "%.1f", limit));
        }
      }
    }
  }

  /**
   * Returns the warm share of capacity, summed over a window of a cold box's age in microseconds. A
   * window that began before the box started counts in full.
   */
  private double warmCapacity(long from, long to) {
    double start = record.terms.startCapacity();
    double middle = start + (1 - start) * ((from + to) / 2.0) / record.terms.cold();
    return Math.min(1, middle) * record.terms.fallAfter();
  }

  /** Rule 5, rungs: each viewing stays within the rungs of its package. */
  private void checkRungLimits() {
    Map<String, Terms.PackageLimits> packs = new HashMap<>();
    for (RecordEvent event : record.events) {
      boolean isSetUp = event.what().equals("set-up");
      if (!isSetUp && !event.what().equals("rung")) {
        continue;
      }
      if (isSetUp) {
        packs.put(event.text("viewing"), record.terms.packages().get(event.text("package")));
      }
      Terms.PackageLimits limits = packs.get(event.text("viewing"));
      if (limits == null) {
        continue;
      }
      if (limits.lowest() > 0) {
        verdict.countCheck("terms");
      }
      if (event.number("rung") < limits.lowest() || event.number("rung") > limits.highest()) {
        verdict.addBreach(
            "terms",
            event.at(),
            event.text("viewing"),
            event.number("box"),
            "rung "
                + event.number("rung")
                + " of a package with "
                + limits.lowest()
                + " to "
                + limits.highest());
      }
    }
  }

  /**
   * Rule 5, seats: counts the viewings of one title and package that one life of a front has,
   * including set-ups.
   */
  private void checkSeats() {
    Map<String, List<TrafficRecord.SetUp>> viewingsByPackage = new HashMap<>();
    for (TrafficRecord.SetUp setUp : record.setUps) {
      int seats = record.terms.packages().get(setUp.packageName).seats();
      if (seats <= 0) {
        continue;
      }
      verdict.countCheck("terms");
      List<TrafficRecord.SetUp> occupied =
          viewingsByPackage.computeIfAbsent(
              setUp.life() + "/" + setUp.title + "/" + setUp.packageName, k -> new ArrayList<>());
      occupied.removeIf(
          other ->
              other.endedAt <= setUp.at + record.terms.slack()
                  || other.viewing.equals(setUp.viewing));
      occupied.add(setUp);
      if (occupied.size() > seats) {
        verdict.addBreach(
            "terms",
            setUp.at,
            setUp.viewing,
            setUp.box,
            occupied.size() + " viewings of " + setUp.title + " on " + seats + " seats");
      }
    }
  }

  /** Rule 6: the retry budget of each life of a front. */
  private void checkRetryBudget() {
    if (record.terms.furtherSpan() <= 0) {
      return;
    }
    Map<String, List<Long>> retriesByLife = new HashMap<>();
    for (TrafficRecord.SetUp setUp : record.setUps) {
      if (setUp.tuneIn == 0) {
        continue;
      }
      verdict.countCheck("further-tune-ins");
      List<Long> recentRetries =
          retriesByLife.computeIfAbsent(setUp.life(), l -> new ArrayList<>());
      recentRetries.add(setUp.at);
      long from = setUp.at - record.terms.furtherSpan();
      recentRetries.removeIf(at -> at <= from + record.terms.slack());
      long acceptedRequests =
          record.requests.values().stream()
              .filter(request -> request.front == setUp.front)
              .mapToLong(request -> record.runsFrom(request.front, request.at))
              .filter(
                  at -> at >= from - record.terms.slack() && at <= setUp.at + record.terms.slack())
              .count();
      double limit = record.terms.furtherFree() + record.terms.furtherShare() * acceptedRequests;
      if (recentRetries.size() > limit) {
        verdict.addBreach(
            "further-tune-ins",
            setUp.at,
            setUp.viewing,
            setUp.box,
            recentRetries.size()
                + " further tune-ins of "
                + String.format(java.util.Locale.ROOT, "%.1f", limit));
      }
    }
  }
}
