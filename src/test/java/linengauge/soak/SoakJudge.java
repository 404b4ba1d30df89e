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
 * Judges a day by the rules of the operators' page, from what clients, servers and discovery saw,
 * and from the lives of the processes; never from what a front says of itself.
 */
final class SoakJudge {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;

  /** The page: every time limit on sockets is 50 ms longer. */
  private static final long SLACK = 50 * MS;

  /** After a deadline an answer earns nothing for so long; later it is lost. */
  private static final long LATE_ANSWER = 500 * MS;

  private static final long TERM_COVERS = 700 * MS;
  private static final long TOLD_AFTER_BREAK = 2 * SECOND;
  private static final long TOLD_AFTER_SILENCE = 4 * SECOND;
  private static final long TOLD_AFTER_OUTAGE = 6 * SECOND;
  private static final long TOLD_AFTER_RELOAD = 4 * SECOND;
  private static final long RELEASE_WITHIN = SECOND;
  private static final long RELEASE_AT_LAST = 8 * SECOND;

  /** What a day left to be judged. */
  record Day(
      SoakTerms terms,
      List<SoakFront> fronts,
      List<SoakRequest> requests,
      List<FaultyServer> servers,
      Map<String, Long> coldSince,
      List<SoakDiscovery.Told> withdrawn,
      List<SoakDiscovery.Outage> outages,
      List<Long> moves,
      List<String> standing,
      long endedAt) {}

  private final Day day;
  private final List<String> broken = new ArrayList<>();
  private final Map<String, SoakRequest> byTag = new HashMap<>();
  private final Map<String, List<Attempt>> attempts = new TreeMap<>();

  private SoakJudge(Day day) {
    this.day = day;
    day.requests.forEach(r -> byTag.put(r.tag, r));
    for (FaultyServer server : day.servers) {
      for (Attempt attempt : server.attempts()) {
        attempts.computeIfAbsent(attempt.request, t -> new ArrayList<>()).add(attempt);
      }
    }
    attempts.values().forEach(list -> list.sort(Comparator.comparingLong(a -> a.arrivedAt)));
  }

  /** What was broken, a line each; empty where the rules were kept. */
  static List<String> judge(Day day) {
    SoakJudge judge = new SoakJudge(day);
    day.requests.forEach(judge::answers);
    judge.attempts.forEach(judge::attemptsOf);
    day.servers.forEach(s -> judge.broken.addAll(s.overlappingAttempts()));
    judge.drains();
    judge.coldServers();
    day.fronts.forEach(judge::retryBudget);
    day.fronts.forEach(judge::lives);
    judge.sessions();
    return judge.broken;
  }

  private void breaks(String rule, String tag, String why) {
    SoakRequest request = byTag.get(tag);
    broken.add(rule + " " + tag + ": " + why + (request == null ? "" : "; " + request));
  }

  private static String after(long from, long at) {
    return (at - from) / MS + " ms";
  }

  /* ---- one answer, in time ---- */

  private void answers(SoakRequest request) {
    if (request.sentAt == SoakRequest.NEVER || request.notTaken) {
      return;
    }
    if (request.wrong != null) {
      breaks("lost", request.tag, request.wrong);
    }
    if (request.answers.size() > 1 && !request.leftByClose) {
      breaks("lost", request.tag, "answered " + request.answers);
    }
    SoakFront.Life life = lifeAt(request.front, request.sentAt);
    if (life == null || request.gaveUpAt != SoakRequest.NEVER) {
      return;
    }
    long deadline = request.sentAt + request.deadlineMs * MS;
    if (request.answers.isEmpty()) {
      unanswered(request, life);
    } else if (request.answeredAt > deadline + LATE_ANSWER + SLACK) {
      breaks("lost", request.tag, "answered late by " + after(deadline, request.answeredAt));
    }
  }

  private void unanswered(SoakRequest request, SoakFront.Life life) {
    boolean told = life.toldToStopAt != SoakFront.Life.NEVER;
    long endedAt = Math.min(life.killedAt, life.endedAt);
    if (life.killedAt != SoakFront.Life.NEVER && !told) {
      return; // killed outright
    }
    if (endedAt != SoakFront.Life.NEVER && endedAt - request.sentAt <= SLACK) {
      return; // crossed the end, and was sent again to nobody
    }
    String when =
        told ? ", sent " + after(life.toldToStopAt, request.sentAt) + " after SIGTERM" : "";
    if (request.cutAt != SoakRequest.NEVER) {
      breaks(
          "lost",
          request.tag,
          "its connection ended " + after(request.sentAt, request.cutAt) + " after it" + when);
    } else if (day.endedAt > request.sentAt + request.deadlineMs * MS + LATE_ANSWER + SLACK) {
      breaks("lost", request.tag, "never answered" + when);
    }
  }

  private SoakFront.Life lifeAt(int front, long at) {
    for (SoakFront.Life life : day.fronts.get(front).lives) {
      if (life.covers(at)) {
        return life;
      }
    }
    return null;
  }

  /* ---- attempts ---- */

  private void attemptsOf(String tag, List<Attempt> all) {
    SoakRequest request = byTag.get(tag);
    if (request == null) {
      breaks("duplicates", tag, "a set-up that no client sent");
      return;
    }
    if (all.size() > day.terms.maxAttempts()) {
      breaks("attempts", tag, all.size() + " of " + day.terms.maxAttempts());
    }
    for (int i = 0; i < all.size(); i++) {
      Attempt attempt = all.get(i);
      judgeOne(request, attempt);
      for (Attempt earlier : all.subList(0, i)) {
        judgePair(request, earlier, attempt);
      }
    }
    boolean refused = request.answers.contains("refused");
    if (request.paid && refused && all.stream().anyMatch(a -> !a.neverRan)) {
      breaks("duplicates", tag, "refused though it may have run and must not be repeated");
    }
  }

  private void judgeOne(SoakRequest request, Attempt attempt) {
    int floor = request.paid ? SoakTerms.FLOOR_OF_PAID : 0;
    if (attempt.rung < floor || attempt.rung > SoakTerms.TOP_RUNG) {
      breaks("floors", request.tag, "rung " + attempt.rung);
    }
  }

  private void judgePair(SoakRequest request, Attempt earlier, Attempt later) {
    if (earlier.pendingUntil > later.arrivedAt + SLACK) {
      breaks(
          "duplicates",
          request.tag,
          "out at "
              + earlier.server
              + " as it was set up at "
              + later.server
              + ", for "
              + (earlier.pendingUntil == Long.MAX_VALUE
                  ? "ever"
                  : after(later.arrivedAt, earlier.pendingUntil)));
    }
    if (request.paid && !earlier.neverRan) {
      breaks("duplicates", request.tag, "set up again though it may have run");
    }
  }

  /* ---- drains ---- */

  private void drains() {
    for (SoakDiscovery.Told told : day.withdrawn) {
      long by = countsAsTold(told.had());
      for (FaultyServer server : day.servers) {
        if (server.id().equals(told.server())) {
          server.attempts().stream()
              .filter(a -> a.arrivedAt > by + SoakTerms.DRAIN_GRACE_MS * MS + SLACK)
              .forEach(a -> drained(told, a, by));
        }
      }
    }
  }

  private void drained(SoakDiscovery.Told told, Attempt attempt, long by) {
    breaks(
        "drain",
        attempt.request,
        "sent to "
            + told.server()
            + " "
            + after(told.had(), attempt.arrivedAt)
            + " after discovery had its end, told "
            + after(told.had(), by)
            + " after that");
  }

  /** The latest moment at which a front counts as told of what discovery had then. */
  private long countsAsTold(long had) {
    long by = had;
    for (SoakDiscovery.Outage outage : day.outages) {
      if (!outage.down()) {
        by = outage.from() <= had ? Math.max(by, outage.from() + TOLD_AFTER_BREAK) : by;
      } else if (outage.from() <= had) {
        by = Math.max(by, outage.from() + TOLD_AFTER_SILENCE);
        by = Math.max(by, outage.until() + TOLD_AFTER_OUTAGE);
      }
    }
    for (long move : day.moves) {
      by = move <= had + SLACK ? Math.max(by, move + TOLD_AFTER_RELOAD) : by;
    }
    return by;
  }

  /* ---- cold servers ---- */

  private void coldServers() {
    for (FaultyServer server : day.servers) {
      Long since = day.coldSince.get(server.id());
      if (since == null) {
        continue;
      }
      long told = countsAsTold(since); // only what comes from fronts that know counts
      List<Long> window = new ArrayList<>();
      for (Attempt attempt : server.attempts()) {
        long age = attempt.arrivedAt - since;
        if (age > day.terms.coldMs() * MS) {
          break;
        }
        if (attempt.arrivedAt > told + SLACK) {
          window.add(attempt.arrivedAt);
        }
        window.removeIf(at -> at <= attempt.arrivedAt - day.terms.tipMs() * MS);
        double allowed = allowedInWindow(age);
        if (window.size() > allowed + 3 * Math.sqrt(allowed) + 3) {
          breaks(
              "failback",
              attempt.request,
              window.size() + " set-ups at " + server.id() + ", " + allowed + " allowed");
        }
      }
    }
  }

  private double allowedInWindow(long age) {
    double cold = day.terms.coldMs() * MS;
    double middle = Math.max(0, age - day.terms.tipMs() * MS / 2.0);
    double warmth =
        Math.min(1, SoakTerms.START_CAPACITY + (1 - SoakTerms.START_CAPACITY) * middle / cold);
    return SoakTerms.FALL_MULTIPLE * SoakTerms.PLACES * warmth * day.terms.tipMs() * MS / cold;
  }

  /* ---- retries ---- */

  private void retryBudget(SoakFront front) {
    for (SoakFront.Life life : front.lives) {
      List<Long> retries = new ArrayList<>();
      attempts.forEach(
          (tag, all) -> {
            SoakRequest request = byTag.get(tag);
            if (request != null && request.front == front.number) {
              all.stream()
                  .skip(1)
                  .filter(a -> life.covers(a.arrivedAt))
                  .forEach(a -> retries.add(a.arrivedAt));
            }
          });
      retries.sort(Long::compare);
      for (int i = 0; i < retries.size(); i++) {
        judgeRetry(front, life, retries.subList(0, i + 1));
      }
    }
  }

  private void judgeRetry(SoakFront front, SoakFront.Life life, List<Long> soFar) {
    long at = soFar.get(soFar.size() - 1);
    long from = at - SoakTerms.RETRY_SPAN_MS * MS;
    long made = soFar.stream().filter(r -> r > from + SLACK).count();
    long taken =
        day.requests.stream()
            .filter(r -> r.front == front.number && !r.notTaken && life.covers(r.sentAt))
            .filter(r -> r.sentAt > from - SLACK && r.sentAt <= at + SLACK)
            .count();
    double allowed = SoakTerms.FREE_RETRIES + SoakTerms.RETRY_RATIO * taken;
    if (made > allowed) {
      breaks("budget", "front " + front.number, made + " retries of " + allowed);
    }
  }

  /* ---- processes ---- */

  private void lives(SoakFront front) {
    for (SoakFront.Life life : front.lives) {
      boolean ended = life.endedAt != SoakFront.Life.NEVER;
      boolean killed = life.killedAt != SoakFront.Life.NEVER;
      if (ended && !killed && (life.exit != 0 || life.toldToStopAt == SoakFront.Life.NEVER)) {
        breaks("crash", "front " + front.number, "ended with " + life.exit);
      }
    }
  }

  /* ---- sessions ---- */

  private void sessions() {
    for (SoakRequest request : day.requests) {
      if (request.server == null || request.endedByClientAt != SoakRequest.NEVER) {
        continue;
      }
      SoakFront.Life life = lifeAt(request.front, request.answeredAt);
      for (Attempt attempt : attempts.getOrDefault(request.tag, List.of())) {
        long limit =
            attempt.endedBy == FaultyServer.EndCause.RELEASED ? RELEASE_WITHIN : RELEASE_AT_LAST;
        long by = attempt.endedAt + limit + SLACK;
        boolean judged =
            attempt.server.equals(request.server)
                && attempt.endedBy != FaultyServer.EndCause.OPEN
                && life != null
                && by < Math.min(life.endedAt, day.endedAt);
        if (judged && request.releasedAt > by) {
          breaks("standing", request.tag, "its client was not told the end at its server");
        }
      }
    }
    day.standing.forEach(tag -> breaks("standing", tag, "at its server, for nobody"));
  }
}
