package linengauge.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import linengauge.standin.FaultyServer;
import linengauge.standin.FaultyServer.Attempt;

/**
 * Judges a run by the operators' rules, from what clients, servers and discovery observed and from
 * the process runs; never from what a front reports about itself.
 */
final class SoakJudge {
  private static final long MILLISECOND = 1000;
  private static final long SECOND = 1_000_000;

  /** The operators' rules extend every time limit by 50 ms where real sockets are used. */
  private static final long SLACK = 50 * MILLISECOND;

  /** For this span after the deadline an answer earns nothing; later it counts as lost. */
  private static final long LATE_ANSWER_WINDOW = 500 * MILLISECOND;

  private static final long TERMINATION_WINDOW = 700 * MILLISECOND;
  private static final long REPORTED_AFTER_BREAK = 2 * SECOND;
  private static final long REPORTED_AFTER_SILENCE = 4 * SECOND;
  private static final long REPORTED_AFTER_OUTAGE = 6 * SECOND;
  private static final long REPORTED_AFTER_RELOAD = 4 * SECOND;
  private static final long RELEASE_LIMIT = SECOND;
  private static final long LATE_RELEASE_LIMIT = 8 * SECOND;

  /** What was observed in a run. */
  record Observations(
      SoakTerms terms,
      List<SoakFront> fronts,
      List<SoakRequest> requests,
      List<FaultyServer> servers,
      Map<String, Long> coldSince,
      List<SoakDiscovery.Removal> removals,
      List<SoakDiscovery.Outage> outages,
      List<Long> discoveryMoves,
      List<String> orphanedRequests,
      long endedAt) {}

  private final Observations observed;
  private final List<String> violations = new ArrayList<>();
  private final Map<String, SoakRequest> byTag = new HashMap<>();
  private final Map<String, List<Attempt>> attempts = new TreeMap<>();

  private SoakJudge(Observations day) {
    this.observed = day;
    day.requests.forEach(r -> byTag.put(r.tag, r));
    for (FaultyServer server : day.servers) {
      for (Attempt attempt : server.attempts()) {
        attempts.computeIfAbsent(attempt.request, t -> new ArrayList<>()).add(attempt);
      }
    }
    attempts.values().forEach(list -> list.sort(Comparator.comparingLong(a -> a.arrivedAt)));
  }

  /** The broken rules, a line each; empty where all were kept. */
  static List<String> judge(Observations day) {
    SoakJudge judge = new SoakJudge(day);
    day.requests.forEach(judge::judgeAnswers);
    judge.attempts.forEach(judge::judgeAttempts);
    day.servers.forEach(s -> judge.violations.addAll(s.overtaken()));
    judge.judgeDrains();
    judge.judgeColdServers();
    day.fronts.forEach(judge::judgeRetryBudget);
    day.fronts.forEach(judge::judgeProcesses);
    judge.judgeSessions();
    return judge.violations;
  }

  private void addViolation(String rule, String tag, String why) {
    SoakRequest request = byTag.get(tag);
    violations.add(rule + " " + tag + ": " + why + (request == null ? "" : "; " + request));
  }

  private static String elapsed(long from, long at) {
    return (at - from) / MILLISECOND + " ms";
  }

  /* ---- one answer, in time ---- */

  private void judgeAnswers(SoakRequest request) {
    if (request.sentAt == SoakRequest.NEVER || request.notConnected) {
      return;
    }
    if (request.wrongAnswer != null) {
      addViolation("lost", request.tag, request.wrongAnswer);
    }
    if (request.answers.size() > 1 && !request.abandonedByClose) {
      addViolation("lost", request.tag, "answered " + request.answers);
    }
    SoakFront.ProcessRun life = runAt(request.front, request.sentAt);
    if (life == null || request.cancelledAt != SoakRequest.NEVER) {
      return;
    }
    long deadline = request.sentAt + request.deadlineMs * MILLISECOND;
    if (request.answers.isEmpty()) {
      judgeUnanswered(request, life);
    } else if (request.answeredAt > deadline + LATE_ANSWER_WINDOW + SLACK) {
      addViolation(
          "lost", request.tag, "answered late by " + elapsed(deadline, request.answeredAt));
    }
  }

  private void judgeUnanswered(SoakRequest request, SoakFront.ProcessRun life) {
    boolean told = life.stopRequestedAt != SoakFront.ProcessRun.NEVER;
    long endedAt = Math.min(life.killedAt, life.endedAt);
    if (life.killedAt != SoakFront.ProcessRun.NEVER && !told) {
      return; // The front was killed without notice.
    }
    if (endedAt != SoakFront.ProcessRun.NEVER && endedAt - request.sentAt <= SLACK) {
      return; // The request was sent as the process ended, and sent again when nothing listened.
    }
    String when =
        told ? ", sent " + elapsed(life.stopRequestedAt, request.sentAt) + " after SIGTERM" : "";
    if (request.connectionLostAt != SoakRequest.NEVER) {
      addViolation(
          "lost",
          request.tag,
          "its connection ended "
              + elapsed(request.sentAt, request.connectionLostAt)
              + " after it"
              + when);
    } else if (observed.endedAt
        > request.sentAt + request.deadlineMs * MILLISECOND + LATE_ANSWER_WINDOW + SLACK) {
      addViolation("lost", request.tag, "never answered" + when);
    }
  }

  private SoakFront.ProcessRun runAt(int front, long at) {
    for (SoakFront.ProcessRun life : observed.fronts.get(front).runs) {
      if (life.isAliveAt(at)) {
        return life;
      }
    }
    return null;
  }

  /* ---- attempts ---- */

  private void judgeAttempts(String tag, List<Attempt> all) {
    SoakRequest request = byTag.get(tag);
    if (request == null) {
      addViolation("duplicates", tag, "a set-up that no client sent");
      return;
    }
    if (all.size() > observed.terms.maxAttempts()) {
      addViolation("attempts", tag, all.size() + " of " + observed.terms.maxAttempts());
    }
    for (int i = 0; i < all.size(); i++) {
      Attempt attempt = all.get(i);
      judgeRung(request, attempt);
      for (Attempt earlier : all.subList(0, i)) {
        judgePair(request, earlier, attempt);
      }
    }
    boolean refused = request.answers.contains("refused");
    if (request.paid && refused && all.stream().anyMatch(a -> !a.neverRan)) {
      addViolation("duplicates", tag, "refused though it may have run and must not be repeated");
    }
  }

  private void judgeRung(SoakRequest request, Attempt attempt) {
    int floor = request.paid ? SoakTerms.FLOOR_OF_PAID_CLASS : 0;
    if (attempt.rung < floor || attempt.rung > SoakTerms.TOP_RUNG) {
      addViolation("floors", request.tag, "rung " + attempt.rung);
    }
  }

  private void judgePair(SoakRequest request, Attempt earlier, Attempt later) {
    if (earlier.outUntil > later.arrivedAt + SLACK) {
      addViolation(
          "duplicates",
          request.tag,
          "out at "
              + earlier.server
              + " as it was set up at "
              + later.server
              + ", for "
              + (earlier.outUntil == Long.MAX_VALUE
                  ? "ever"
                  : elapsed(later.arrivedAt, earlier.outUntil)));
    }
    if (request.paid && !earlier.neverRan) {
      addViolation("duplicates", request.tag, "set up again though it may have run");
    }
  }

  /* ---- drains ---- */

  private void judgeDrains() {
    for (SoakDiscovery.Removal told : observed.removals) {
      long by = latestReportTime(told.recordedAt());
      for (FaultyServer server : observed.servers) {
        if (server.id().equals(told.server())) {
          server.attempts().stream()
              .filter(a -> a.arrivedAt > by + SoakTerms.DRAIN_GRACE_MS * MILLISECOND + SLACK)
              .forEach(a -> addDrainViolation(told, a, by));
        }
      }
    }
  }

  private void addDrainViolation(SoakDiscovery.Removal told, Attempt attempt, long by) {
    addViolation(
        "drain",
        attempt.request,
        "sent to "
            + told.server()
            + " "
            + elapsed(told.recordedAt(), attempt.arrivedAt)
            + " after discovery stored its end, which counts as reported "
            + elapsed(told.recordedAt(), by)
            + " after that");
  }

  /** The latest moment by which a front must know what discovery stored at the given time. */
  private long latestReportTime(long had) {
    long by = had;
    for (SoakDiscovery.Outage outage : observed.outages) {
      if (!outage.lasting()) {
        by = outage.from() <= had ? Math.max(by, outage.from() + REPORTED_AFTER_BREAK) : by;
      } else if (outage.from() <= had) {
        by = Math.max(by, outage.from() + REPORTED_AFTER_SILENCE);
        by = Math.max(by, outage.until() + REPORTED_AFTER_OUTAGE);
      }
    }
    for (long move : observed.discoveryMoves) {
      by = move <= had + SLACK ? Math.max(by, move + REPORTED_AFTER_RELOAD) : by;
    }
    return by;
  }

  /* ---- cold servers ---- */

  private void judgeColdServers() {
    for (FaultyServer server : observed.servers) {
      Long since = observed.coldSince.get(server.id());
      if (since == null) {
        continue;
      }
      long told = latestReportTime(since); // Only set-ups by fronts that know the server count.
      List<Long> window = new ArrayList<>();
      for (Attempt attempt : server.attempts()) {
        long age = attempt.arrivedAt - since;
        if (age > observed.terms.coldMs() * MILLISECOND) {
          break;
        }
        if (attempt.arrivedAt > told + SLACK) {
          window.add(attempt.arrivedAt);
        }
        window.removeIf(at -> at <= attempt.arrivedAt - observed.terms.tipMs() * MILLISECOND);
        double allowed = allowedInWindow(age);
        if (window.size() > allowed + 3 * Math.sqrt(allowed) + 3) {
          addViolation(
              "failback",
              attempt.request,
              window.size() + " set-ups at " + server.id() + ", " + allowed + " allowed");
        }
      }
    }
  }

  private double allowedInWindow(long age) {
    double cold = observed.terms.coldMs() * MILLISECOND;
    double middle = Math.max(0, age - observed.terms.tipMs() * MILLISECOND / 2.0);
    double warmth =
        Math.min(1, SoakTerms.START_CAPACITY + (1 - SoakTerms.START_CAPACITY) * middle / cold);
    return SoakTerms.FALL_MULTIPLE
        * SoakTerms.SESSIONS_PER_SERVER
        * warmth
        * observed.terms.tipMs()
        * MILLISECOND
        / cold;
  }

  /* ---- retries ---- */

  private void judgeRetryBudget(SoakFront front) {
    for (SoakFront.ProcessRun life : front.runs) {
      List<Long> retries = new ArrayList<>();
      attempts.forEach(
          (tag, all) -> {
            SoakRequest request = byTag.get(tag);
            if (request != null && request.front == front.number) {
              all.stream()
                  .skip(1)
                  .filter(a -> life.isAliveAt(a.arrivedAt))
                  .forEach(a -> retries.add(a.arrivedAt));
            }
          });
      retries.sort(Long::compare);
      for (int i = 0; i < retries.size(); i++) {
        judgeRetry(front, life, retries.subList(0, i + 1));
      }
    }
  }

  private void judgeRetry(SoakFront front, SoakFront.ProcessRun life, List<Long> soFar) {
    long at = soFar.get(soFar.size() - 1);
    long from = at - SoakTerms.RETRY_SPAN_MS * MILLISECOND;
    long made = soFar.stream().filter(r -> r > from + SLACK).count();
    long taken =
        observed.requests.stream()
            .filter(r -> r.front == front.number && !r.notConnected && life.isAliveAt(r.sentAt))
            .filter(r -> r.sentAt > from - SLACK && r.sentAt <= at + SLACK)
            .count();
    double allowed = SoakTerms.FREE_RETRIES + SoakTerms.RETRY_RATIO * taken;
    if (made > allowed) {
      addViolation("budget", "front " + front.number, made + " retries of " + allowed);
    }
  }

  /* ---- processes ---- */

  private void judgeProcesses(SoakFront front) {
    for (SoakFront.ProcessRun life : front.runs) {
      boolean ended = life.endedAt != SoakFront.ProcessRun.NEVER;
      boolean killed = life.killedAt != SoakFront.ProcessRun.NEVER;
      if (ended
          && !killed
          && (life.exitCode != 0 || life.stopRequestedAt == SoakFront.ProcessRun.NEVER)) {
        addViolation("crash", "front " + front.number, "ended with " + life.exitCode);
      }
    }
  }

  /* ---- sessions ---- */

  private void judgeSessions() {
    for (SoakRequest request : observed.requests) {
      if (request.server == null || request.endedByClientAt != SoakRequest.NEVER) {
        continue;
      }
      SoakFront.ProcessRun life = runAt(request.front, request.answeredAt);
      for (Attempt attempt : attempts.getOrDefault(request.tag, List.of())) {
        long limit =
            attempt.endedBy == FaultyServer.End.RELEASED ? RELEASE_LIMIT : LATE_RELEASE_LIMIT;
        long by = attempt.overAt + limit + SLACK;
        boolean judged =
            attempt.server.equals(request.server)
                && attempt.endedBy != FaultyServer.End.OPEN
                && life != null
                && by < Math.min(life.endedAt, observed.endedAt);
        if (judged && request.releasedAt > by) {
          addViolation(
              "standing", request.tag, "its client was not notified of the end at its server");
        }
      }
    }
    observed.orphanedRequests.forEach(
        tag -> addViolation("standing", tag, "open at its server without a client"));
  }
}
