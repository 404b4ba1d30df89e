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

  private SoakJudge(Observations observations) {
    this.observed = observations;
    observations.requests.forEach(request -> byTag.put(request.tag, request));
    for (FaultyServer server : observations.servers) {
      for (Attempt attempt : server.attempts()) {
        attempts.computeIfAbsent(attempt.request, tag -> new ArrayList<>()).add(attempt);
      }
    }
    attempts
        .values()
        .forEach(list -> list.sort(Comparator.comparingLong(attempt -> attempt.arrivedAt)));
  }

  /** The broken rules, a line each; empty where all were kept. */
  static List<String> judge(Observations observations) {
    SoakJudge judge = new SoakJudge(observations);
    observations.requests.forEach(judge::judgeAnswers);
    judge.attempts.forEach(judge::judgeAttempts);
    observations.servers.forEach(server -> judge.violations.addAll(server.overlappingAttempts()));
    judge.judgeDrains();
    judge.judgeColdServers();
    observations.fronts.forEach(judge::judgeRetryBudget);
    observations.fronts.forEach(judge::judgeProcesses);
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
    SoakFront.ProcessRun run = runAt(request.front, request.sentAt);
    if (run == null || request.cancelledAt != SoakRequest.NEVER) {
      return;
    }
    long deadline = request.sentAt + request.deadlineMs * MILLISECOND;
    if (request.answers.isEmpty()) {
      judgeUnanswered(request, run);
    } else if (request.answeredAt > deadline + LATE_ANSWER_WINDOW + SLACK) {
      addViolation(
          "lost", request.tag, "answered late by " + elapsed(deadline, request.answeredAt));
    }
  }

  private void judgeUnanswered(SoakRequest request, SoakFront.ProcessRun run) {
    boolean stopRequested = run.stopRequestedAt != SoakFront.ProcessRun.NEVER;
    long endedAt = Math.min(run.killedAt, run.endedAt);
    if (run.killedAt != SoakFront.ProcessRun.NEVER && !stopRequested) {
      return; // The front was killed without notice.
    }
    if (endedAt != SoakFront.ProcessRun.NEVER && endedAt - request.sentAt <= SLACK) {
      return; // The request was sent as the process ended, and sent again when nothing listened.
    }
    String when =
        stopRequested
            ? ", sent " + elapsed(run.stopRequestedAt, request.sentAt) + " after SIGTERM"
            : "";
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
    for (SoakFront.ProcessRun run : observed.fronts.get(front).runs) {
      if (run.isAliveAt(at)) {
        return run;
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
    if (request.paid && refused && all.stream().anyMatch(attempt -> !attempt.neverRan)) {
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
    if (earlier.pendingUntil > later.arrivedAt + SLACK) {
      addViolation(
          "duplicates",
          request.tag,
          "open at "
              + earlier.server
              + " while it was set up at "
              + later.server
              + ", for "
              + (earlier.pendingUntil == Long.MAX_VALUE
                  ? "ever"
                  : elapsed(later.arrivedAt, earlier.pendingUntil)));
    }
    if (request.paid && !earlier.neverRan) {
      addViolation(
          "duplicates", request.tag, "set up again though an earlier attempt may have run");
    }
  }

  /* ---- drains ---- */

  private void judgeDrains() {
    for (SoakDiscovery.Removal removal : observed.removals) {
      long reportedBy = latestReportTime(removal.recordedAt());
      for (FaultyServer server : observed.servers) {
        if (server.id().equals(removal.server())) {
          server.attempts().stream()
              .filter(
                  attempt ->
                      attempt.arrivedAt
                          > reportedBy + SoakTerms.DRAIN_GRACE_MS * MILLISECOND + SLACK)
              .forEach(attempt -> addDrainViolation(removal, attempt, reportedBy));
        }
      }
    }
  }

  private void addDrainViolation(SoakDiscovery.Removal removal, Attempt attempt, long reportedBy) {
    addViolation(
        "drain",
        attempt.request,
        "sent to "
            + removal.server()
            + " "
            + elapsed(removal.recordedAt(), attempt.arrivedAt)
            + " after discovery stored its end, which counts as reported "
            + elapsed(removal.recordedAt(), reportedBy)
            + " after that");
  }

  /** The latest moment by which a front must know what discovery stored at the given time. */
  private long latestReportTime(long storedAt) {
    long latest = storedAt;
    for (SoakDiscovery.Outage outage : observed.outages) {
      if (!outage.lasting()) {
        latest =
            outage.from() <= storedAt
                ? Math.max(latest, outage.from() + REPORTED_AFTER_BREAK)
                : latest;
      } else if (outage.from() <= storedAt) {
        latest = Math.max(latest, outage.from() + REPORTED_AFTER_SILENCE);
        latest = Math.max(latest, outage.until() + REPORTED_AFTER_OUTAGE);
      }
    }
    for (long move : observed.discoveryMoves) {
      latest = move <= storedAt + SLACK ? Math.max(latest, move + REPORTED_AFTER_RELOAD) : latest;
    }
    return latest;
  }

  /* ---- cold servers ---- */

  private void judgeColdServers() {
    for (FaultyServer server : observed.servers) {
      Long since = observed.coldSince.get(server.id());
      if (since == null) {
        continue;
      }
      // Only set-ups by fronts that must know the server by then count.
      long reportedAt = latestReportTime(since);
      List<Long> window = new ArrayList<>();
      for (Attempt attempt : server.attempts()) {
        long age = attempt.arrivedAt - since;
        if (age > observed.terms.coldMs() * MILLISECOND) {
          break;
        }
        if (attempt.arrivedAt > reportedAt + SLACK) {
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
    for (SoakFront.ProcessRun run : front.runs) {
      List<Long> retries = new ArrayList<>();
      attempts.forEach(
          (tag, all) -> {
            SoakRequest request = byTag.get(tag);
            if (request != null && request.front == front.number) {
              all.stream()
                  .skip(1)
                  .filter(attempt -> run.isAliveAt(attempt.arrivedAt))
                  .forEach(attempt -> retries.add(attempt.arrivedAt));
            }
          });
      retries.sort(Long::compare);
      for (int i = 0; i < retries.size(); i++) {
        judgeRetry(front, run, retries.subList(0, i + 1));
      }
    }
  }

  private void judgeRetry(SoakFront front, SoakFront.ProcessRun run, List<Long> soFar) {
    long at = soFar.get(soFar.size() - 1);
    long from = at - SoakTerms.RETRY_SPAN_MS * MILLISECOND;
    long made = soFar.stream().filter(retriedAt -> retriedAt > from + SLACK).count();
    long taken =
        observed.requests.stream()
            .filter(
                request ->
                    request.front == front.number
                        && !request.notConnected
                        && run.isAliveAt(request.sentAt))
            .filter(request -> request.sentAt > from - SLACK && request.sentAt <= at + SLACK)
            .count();
    double allowed = SoakTerms.FREE_RETRIES + SoakTerms.RETRY_RATIO * taken;
    if (made > allowed) {
      addViolation("budget", "front " + front.number, made + " retries of " + allowed);
    }
  }

  /* ---- processes ---- */

  private void judgeProcesses(SoakFront front) {
    for (SoakFront.ProcessRun run : front.runs) {
      boolean ended = run.endedAt != SoakFront.ProcessRun.NEVER;
      boolean killed = run.killedAt != SoakFront.ProcessRun.NEVER;
      if (ended
          && !killed
          && (run.exitCode != 0 || run.stopRequestedAt == SoakFront.ProcessRun.NEVER)) {
        addViolation("crash", "front " + front.number, "ended with " + run.exitCode);
      }
    }
  }

  /* ---- sessions ---- */

  private void judgeSessions() {
    for (SoakRequest request : observed.requests) {
      if (request.server == null || request.endedByClientAt != SoakRequest.NEVER) {
        continue;
      }
      SoakFront.ProcessRun run = runAt(request.front, request.answeredAt);
      for (Attempt attempt : attempts.getOrDefault(request.tag, List.of())) {
        long limit =
            attempt.endedBy == FaultyServer.EndCause.RELEASED ? RELEASE_LIMIT : LATE_RELEASE_LIMIT;
        long limitAt = attempt.endedAt + limit + SLACK;
        boolean judged =
            attempt.server.equals(request.server)
                && attempt.endedBy != FaultyServer.EndCause.OPEN
                && run != null
                && limitAt < Math.min(run.endedAt, observed.endedAt);
        if (judged && request.releasedAt > limitAt) {
          addViolation(
              "standing", request.tag, "its client was not notified of the end at its server");
        }
      }
    }
    observed.orphanedRequests.forEach(
        tag -> addViolation("standing", tag, "open at its server without a client"));
  }
}
