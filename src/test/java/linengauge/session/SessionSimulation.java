package linengauge.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import linengauge.Deployment;
import linengauge.Environment;
import linengauge.Moment;
import linengauge.PackageSettings;
import linengauge.Span;
import linengauge.rules.InvalidRecordException;
import linengauge.rules.Judge;
import linengauge.rules.Verdict;

/**
 * Simulates the cores of several fronts with model boxes and viewers in virtual time, and records
 * what happens for the judge.
 */
final class SessionSimulation {
  static final PackageSettings PLAIN =
      new PackageSettings(1, Span.ofMillis(800), 1, 0, 4, 0, false);
  static final PackageSettings SEATED =
      new PackageSettings(2, Span.ofMillis(1000), 1, 1, 4, 2, false);
  static final PackageSettings PAID = new PackageSettings(1, Span.ofMillis(800), 1, 0, 4, 0, true);
  static final List<PackageSettings> PACKAGES = List.of(PLAIN, SEATED, PAID);
  private static final String[] PACKAGE_NAMES = {"plain", "seated", "paid"};
  static final SessionManager.Limits LIMITS =
      new SessionManager.Limits(
          20,
          Span.ofSeconds(6),
          Span.ofMillis(700),
          Span.ofMillis(25),
          Span.ofMillis(200),
          Span.ofMillis(40));

  private record ScheduledAction(Moment at, long number, Runnable action) {}

  /** How a box treats set-ups. */
  enum BoxBehaviour {
    HEALTHY,
    ANSWERS_ERROR,
    SILENT,
    TURNS_SET_UPS_AWAY,
    REFUSES_CONNECTIONS,
    RESETS_CONNECTIONS,
    ANSWERS_LATE
  }

  static final class Box {
    final long id;
    BoxBehaviour behaviour = BoxBehaviour.HEALTHY;
    Moment startedAt = Moment.DISTANT_PAST;
    final List<String> running = new ArrayList<>();
    final java.util.Set<String> ended = new java.util.HashSet<>();

    Box(long id) {
      this.id = id;
    }
  }

  final class RecordingViewer implements Viewer {
    final String requestId;
    final int front;
    final Moment requestedAt = now;
    Session session;
    String answer;
    Span retryAfter;
    EndReason endReason;
    Moment lastRequestAt = now;
    boolean leavesOnStart;

    RecordingViewer(String requestId, int front) {
      this.requestId = requestId;
      this.front = front;
    }

    private void answered(String outcome, String viewing) {
      answer = outcome;
      record(
          "'what':'answered','ask':'%s','front':%d,'how':'%s','status':0,'viewing':'%s'",
          requestId, front, outcome, viewing);
    }

    @Override
    public void started(Session session) {
      answered("plays", session.id());
      if (leavesOnStart) {
        session.viewerLeft();
      }
    }

    @Override
    public void rejected(Span advisedDelay, Environment.RejectionReason reason) {
      retryAfter = advisedDelay;
      answered("blocked", "");
    }

    @Override
    public void failed(FailureCause cause) {
      answered("aborted", "");
    }

    @Override
    public void ended(EndReason reason) {
      endReason = reason;
    }

    @Override
    public Moment lastRequestAt() {
      return lastRequestAt;
    }
  }

  final class Front implements Transport {
    final int number;
    final SessionManager manager;
    final List<RecordingViewer> viewers = new ArrayList<>();
    final List<byte[]> sentDatagrams = new ArrayList<>();
    Moment pausedUntil = Moment.DISTANT_PAST;
    RuntimeException failure;
    boolean delaysSending;
    int openTimers;

    /** Timers shorter than this never fire. */
    Span losesTimersUnder = Span.NONE;

    Front(int number, Deployment deployment, long seed) {
      this.number = number;
      this.manager = new SessionManager(deployment, LIMITS, seed, "a", this);
      record("'what':'front-started','front':%d", number);
      manager.updateTime(now);
    }

    /**
     * Runs an action on the session manager after the span, or once the front is no longer paused.
     */
    void runAfter(Span after, Runnable action) {
      runLater(
          after,
          () -> {
            if (now.isBefore(pausedUntil)) {
              runAfter(pausedUntil.since(now), action);
            } else {
              manager.updateTime(now);
              action.run();
            }
          });
    }

    void pauseFor(Span span) {
      if (now.isBefore(pausedUntil)) {
        return;
      }
      pausedUntil = now.plus(span);
      record("'what':'front-stopped','front':%d", number);
      runLater(span, () -> record("'what':'front-continued','front':%d", number));
    }

    RecordingViewer request(int packageIndex, String title, Span timeLimit, String key) {
      RecordingViewer viewer = new RecordingViewer("k" + requestCount++, number);
      viewers.add(viewer);
      record(
          "'what':'asked','ask':'%s','front':%d,'key':'%s','title':'%s','package':'%s','patienceMs':%d",
          viewer.requestId,
          number,
          key,
          title,
          PACKAGE_NAMES[packageIndex],
          timeLimit.micros() / 1000);
      runAfter(
          Span.NONE,
          () ->
              viewer.session =
                  manager.accept(
                      new Session.SessionRequest(
                          title,
                          title.hashCode() % 4,
                          3,
                          packageIndex,
                          PACKAGES.get(packageIndex),
                          4,
                          timeLimit,
                          key),
                      viewer));
      return viewer;
    }

    @Override
    public Timer schedule(Span span, Runnable step) {
      boolean[] done = {span.isShorterThan(losesTimersUnder)};
      openTimers++;
      runAfter(
          span,
          () -> {
            openTimers -= done[0] ? 0 : 1;
            if (!done[0]) {
              step.run();
            }
          });
      return () -> {
        openTimers -= done[0] ? 0 : 1;
        done[0] = true;
      };
    }

    @Override
    public void setUp(Session session, int tuneIn) {
      Box box = boxes.get((int) session.box().id());
      runAfter(
          Span.ofMillis(delaysSending ? 300 : 1),
          () -> {
            if (!session.tryBeginSend(tuneIn)) {
              session.setUpFailed(tuneIn, Environment.AttemptOutcome.NEVER_SENT);
              return;
            }
            if (box.behaviour == BoxBehaviour.REFUSES_CONNECTIONS) {
              session.setUpFailed(tuneIn, Environment.AttemptOutcome.NOT_REACHED);
              return;
            }
            record(
                "'what':'set-up','box':%d,'viewing':'%s','front':%d,'tuneIn':%d,'title':'%s','package':'%s','rung':%d,"
                    + "'key':'%s'",
                box.id,
                session.id(),
                number,
                tuneIn,
                session.request().title(),
                PACKAGE_NAMES[session.request().packageIndex()],
                session.currentRung(),
                session.request().key());
            switch (box.behaviour) {
              case HEALTHY, ANSWERS_LATE -> {
                long answerMillis =
                    box.behaviour == BoxBehaviour.ANSWERS_LATE ? 1500 : 20 + random.nextInt(40);
                runLater(
                    Span.ofMillis(answerMillis),
                    () -> {
                      if (box.ended.contains(session.id() + tuneIn)) {
                        return;
                      }
                      recordAnswer(box, session, tuneIn, "plays");
                      box.running.add(session.id());
                      runAfter(Span.ofMillis(1), () -> session.setUpSucceeded(tuneIn));
                    });
              }
              case ANSWERS_ERROR ->
                  failSetUp(box, session, tuneIn, "error", Environment.AttemptOutcome.ERROR);
              case TURNS_SET_UPS_AWAY ->
                  failSetUp(
                      box, session, tuneIn, "turned-away", Environment.AttemptOutcome.TURNED_AWAY);
              case RESETS_CONNECTIONS -> {
                record(
                    "'what':'set-up-broken','box':%d,'viewing':'%s','tuneIn':%d",
                    box.id, session.id(), tuneIn);
                runAfter(
                    Span.ofMillis(1),
                    () -> session.setUpFailed(tuneIn, Environment.AttemptOutcome.BROKEN));
              }
              default -> {}
            }
          });
    }

    private void failSetUp(
        Box box,
        Session session,
        int tuneIn,
        String outcome,
        Environment.AttemptOutcome attemptOutcome) {
      recordAnswer(box, session, tuneIn, outcome);
      runAfter(Span.ofMillis(1), () -> session.setUpFailed(tuneIn, attemptOutcome));
    }

    private void recordAnswer(Box box, Session session, int tuneIn, String outcome) {
      record(
          "'what':'set-up-answered','box':%d,'viewing':'%s','tuneIn':%d,'how':'%s'",
          box.id, session.id(), tuneIn, outcome);
    }

    @Override
    public void changeRung(Session session) {
      record(
          "'what':'rung','box':%d,'viewing':'%s','rung':%d",
          session.box().id(), session.id(), session.currentRung());
    }

    @Override
    public void cancelAtBox(Session session, BoxTable.Entry box, int tuneIn) {
      record("'what':'ended','box':%d,'viewing':'%s','why':'asked'", box.id(), session.id());
      boxes.get((int) box.id()).running.remove(session.id());
      boxes.get((int) box.id()).ended.add(session.id() + tuneIn);
    }

    @Override
    public void probe(BoxTable.Entry box) {
      runAfter(
          Span.ofMillis(3),
          () -> {
            manager.loadReported(box, random.nextDouble(), random.nextDouble(), 3);
            manager.probeCompleted(box, boxes.get((int) box.id()).behaviour != BoxBehaviour.SILENT);
          });
    }

    @Override
    public void send(int front, byte[] datagram) {
      sentDatagrams.add(datagram);
      Front receiver = fronts.get(front);
      if (random.nextInt(5) > 0) {
        receiver.runAfter(Span.ofMillis(5), () -> receiver.manager.datagramReceived(datagram));
      }
    }

    @Override
    public void coreFailed(RuntimeException cause) {
      failure = cause;
    }
  }

  final SplittableRandom random;
  final List<Front> fronts = new ArrayList<>();
  final List<Box> boxes = new ArrayList<>();
  private final List<String> records = new ArrayList<>();
  private final PriorityQueue<ScheduledAction> scheduled =
      new PriorityQueue<>(
          (a, b) -> a.at.equals(b.at) ? Long.compare(a.number, b.number) : a.at.compareTo(b.at));
  private long nextNumber;
  private int requestCount;
  Moment now = new Moment(5_000_000_000L);
  private final Moment origin = now;
  private final int frontCount;

  SessionSimulation(
      int fronts,
      int boxCount,
      boolean messages,
      boolean probing,
      boolean retriesLimited,
      long seed) {
    this.random = new SplittableRandom(seed);
    this.frontCount = fronts;
    Span retrySpan = retriesLimited ? Span.ofSeconds(10) : Span.NONE;
    records.add(
        ("{'at':0,'what':'terms','packages':[{'name':'plain','lowestRung':0,'highestRung':4,'seats':0,"
                + "'paidAtSetUp':false},{'name':'seated','lowestRung':1,'highestRung':4,'seats':2,'paidAtSetUp':false},"
                + "{'name':'paid','lowestRung':0,'highestRung':4,'seats':0,'paidAtSetUp':true}],'drainGraceMs':100,"
                + "'coldMs':10000,'startCapacity':0.4,'fallMultiple':2.5,'fallAfterMs':2000,'furtherFree':3,'furtherShare':0.2,"
                + "'furtherMs':"
                + retrySpan.micros() / 1000
                + ",'slackMs':10}")
            .replace('\'', '"'));
    for (int i = 0; i < boxCount; i++) {
      boxes.add(new Box(i));
    }
    for (int i = 0; i < fronts; i++) {
      Deployment deployment =
          new Deployment(
              fronts,
              i,
              0,
              PACKAGES,
              new double[] {30, 60, 100, 170, 300},
              new double[] {0.25, 0.45, 0.65, 0.82, 1},
              new Deployment.Fleet(
                  4, 2, new int[] {24}, 1000.0 * boxCount, 1000, 1700, Span.ofMillis(800)),
              new Deployment.Rules(
                  Span.ofSeconds(10), 0.4, 2.5, Span.ofSeconds(2), 3, 0.2, retrySpan),
              new Deployment.Permissions(
                  4, messages, probing, probing, 0.008, 0.01, 0, Span.ofSeconds(2)));
      this.fronts.add(new Front(i, deployment, seed + i));
      sendFullList(this.fronts.get(i));
    }
  }

  void record(String fields, Object... values) {
    records.add(
        "{\"at\":"
            + now.since(origin).micros()
            + ","
            + String.format(Locale.ROOT, fields, values).replace('\'', '"')
            + "}");
  }

  /** Counts the set-ups that were sent to boxes with that tune-in number. */
  long setUpsSent(int tuneIn) {
    return records.stream()
        .filter(line -> line.contains("\"set-up\"") && line.contains("\"tuneIn\":" + tuneIn + ","))
        .count();
  }

  void runLater(Span span, Runnable action) {
    scheduled.add(new ScheduledAction(now.plus(span), nextNumber++, action));
  }

  BoxTable.ListedBox listing(long id, BoxTable.State state, Moment startedAt) {
    return new BoxTable.ListedBox(id, "h:" + id, 1, (int) id, 0, state, 0, startedAt);
  }

  /** Sends one front the full list, with boxes that have been running for long. */
  void sendFullList(Front front) {
    List<BoxTable.ListedBox> listings = new ArrayList<>();
    for (Box box : boxes) {
      listings.add(listing(box.id, BoxTable.State.SERVING, Moment.DISTANT_PAST));
      recordListing(front, box.id, "serving");
    }
    front.manager.updateTime(now);
    front.manager.applyDiscovery(1, listings);
  }

  private void recordListing(Front front, long box, String state) {
    record("'what':'told','front':%d,'box':%d,'state':'%s'", front.number, box, state);
  }

  /** Sends a change of the list to all fronts; each applies it when it runs. */
  void changeListing(long box, BoxTable.State state) {
    for (Front front : fronts) {
      recordListing(front, box, state.name().toLowerCase(Locale.ROOT));
      front.runAfter(
          Span.NONE,
          () ->
              front.manager.applyDiscoveryChanges(
                  front.manager.discoveryRevision(),
                  front.manager.discoveryRevision() + 1,
                  List.of(listing(box, state, boxes.get((int) box).startedAt))));
    }
  }

  /**
   * A box is lost with all that it runs, is removed from the list, and starts cold after a time
   * longer than any pause of a front.
   */
  void restart(Box box) {
    record("'what':'box-lost','box':%d", box.id);
    List<String> lost = List.copyOf(box.running);
    box.running.clear();
    box.behaviour = BoxBehaviour.REFUSES_CONNECTIONS;
    for (Front front : fronts) {
      for (RecordingViewer viewer : front.viewers) {
        if (viewer.session != null && lost.contains(viewer.session.id())) {
          front.runAfter(Span.ofMillis(5), viewer.session::boxLost);
        }
      }
    }
    changeListing(box.id, BoxTable.State.GONE);
    runLater(
        Span.ofSeconds(3),
        () -> {
          record("'what':'box-started','box':%d,'cold':true,'streams':24", box.id);
          box.behaviour = BoxBehaviour.HEALTHY;
          box.startedAt = now;
          changeListing(box.id, BoxTable.State.SERVING);
        });
  }

  void advance(Span span) {
    Moment until = now.plus(span);
    while (!scheduled.isEmpty() && !until.isBefore(scheduled.peek().at)) {
      ScheduledAction next = scheduled.poll();
      now = now.max(next.at);
      next.action.run();
    }
    now = until;
  }

  Verdict judge() {
    try {
      return Judge.judge(records);
    } catch (InvalidRecordException e) {
      throw new AssertionError(e);
    }
  }
}
