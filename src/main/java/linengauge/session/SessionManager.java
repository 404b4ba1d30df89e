package linengauge.session;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import linengauge.Deployment;
import linengauge.Environment;
import linengauge.Environment.RejectionReason;
import linengauge.Moment;
import linengauge.Policy;
import linengauge.Span;

/**
 * The front's core: keeps the registry of sessions, gives each request exactly one answer, applies
 * discovery, exchanges messages with other fronts and drives the module. It has no clock, thread or
 * socket: its caller sets the time with {@link #updateTime} before each round of calls, and it acts
 * through {@link Transport}.
 */
public final class SessionManager implements Environment {
  /** First byte of every datagram between fronts. */
  private static final byte DATAGRAM_MARKER = 0x4c;

  /**
   * Ages reported for the same start differ by the time that answers wait and by the rounding of
   * clocks.
   */
  private static final Span START_TOLERANCE = Span.ofSeconds(1);

  /**
   * Handed-over viewings that do not count and are held all the same: if one of them does play, its
   * viewer is told when it is over. Further ones are told at once that they are over.
   */
  private static final int MAX_UNCOUNTED_SESSIONS = 2000;

  /**
   * Share of the limit of sessions that viewings may take of which no box has reported anything.
   */
  private static final double UNVERIFIED_SHARE = 0.5;

  /** How long after a hand-over its box has time to report the rung in force. */
  private static final Span VERIFICATION_SPAN = Span.ofSeconds(10);

  /**
   * The limits of the core: sessions held at once; how long a playing session may go without a
   * request (NONE: for ever, where its box or its viewer reports its end); the retry advice given
   * with requests that are not accepted; the interval of the tick by which a pause of the front
   * itself is detected, and how late a tick may come; and how long before a request's deadline the
   * answer is given at the latest.
   */
  public record Limits(
      int sessions,
      Span idleTimeout,
      Span retryAfter,
      Span tickInterval,
      Span tickTolerance,
      Span answerMargin) {}

  /** Counts since the start. */
  public static final class Counters {
    public long accepted;
    public long played;
    public long rejected;
    public long failed;
    public long left;
    public long slowViewersDropped;
    public long rejectedFull;
    public long discoveryGaps;
    public long messagesReceived;
    public long messagesIgnored;
  }

  private final Deployment deployment;
  private final Limits limits;
  private final Transport transport;
  private final String idPrefix;
  private final Policy policy;
  private final BoxTable boxes;
  private final TitleTable titles;
  private final DiscoveryCache discovery;
  private final PauseDetector pauseDetector;
  private final Counters counters = new Counters();

  /**
   * Sessions whose answer is owed or which have a tune-in open or playing. Bounded by {@link
   * Limits#sessions}; each is removed when neither holds.
   */
  private final Set<Session> sessions = new LinkedHashSet<>();

  /** The sessions whose viewer gave a key. */
  private final Map<String, Session> sessionsByKey = new HashMap<>();

  private Moment now = Moment.DISTANT_PAST;
  private long nextNumber;

  /** The sessions that do not count. */
  private int uncountedSessions;

  /** The sessions that count although no box has reported anything of them. */
  private int countedUnverifiedSessions;

  private boolean stopping;
  private boolean failed;

  /**
   * The epoch distinguishes the session ids of this process from those of earlier starts of the
   * front.
   */
  public SessionManager(
      Deployment deployment, Limits limits, long seed, String epoch, Transport transport) {
    this.deployment = deployment;
    this.limits = limits;
    this.transport = transport;
    this.idPrefix = deployment.frontNumber() + "-" + epoch + "-";
    this.policy = new Policy(deployment, seed, this);
    this.boxes = new BoxTable(policy, transport::probe);
    this.titles = new TitleTable(policy);
    this.discovery = new DiscoveryCache(boxes);
    this.pauseDetector =
        new PauseDetector(
            limits.tickInterval(), limits.tickTolerance(), limits.tickInterval().times(4));
  }

  /** Sets the time of the calls that follow; the first call starts the core. */
  public void updateTime(Moment moment) {
    boolean first = now == Moment.DISTANT_PAST;
    now = moment;
    pauseDetector.recordActivity(now);
    policy.setTime(now);
    if (first) {
      scheduleTick();
    }
  }

  private void scheduleTick() {
    transport.schedule(limits.tickInterval(), this::scheduleTick);
  }

  Moment now() {
    return now;
  }

  Transport transport() {
    return transport;
  }

  public BoxTable boxes() {
    return boxes;
  }

  public Counters counters() {
    return counters;
  }

  public int sessionCount() {
    return sessions.size();
  }

  /** The sessions among these that were handed over and do not count. */
  public int uncountedSessionCount() {
    return uncountedSessions;
  }

  public int keyCount() {
    return sessionsByKey.size();
  }

  public int titleCount() {
    return titles.size();
  }

  public boolean hasFailed() {
    return failed;
  }

  /* ---- viewers ---- */

  /**
   * Counts a request that is rejected for want of capacity before it gets here; returns the advised
   * delay before a retry.
   */
  public Span rejectForCapacity() {
    counters.rejectedFull++;
    counters.rejected++;
    return limits.retryAfter();
  }

  /**
   * Accepts a request for a viewing; the viewer gets its one answer within the time limit that it
   * asked for. Null where it has already been answered as rejected.
   */
  public Session accept(Session.SessionRequest request, Viewer viewer) {
    Span pause = pauseDetector.recentPause(now);
    Span margin = limits.answerMargin().min(request.timeLimit().times(Policy.ANSWER_MARGIN_SHARE));
    Span timeLeft = request.timeLimit().minus(pause).minus(margin);
    Session previous = request.key() == null ? null : sessionsByKey.get(request.key());
    boolean full = isFull();
    RejectionReason reason = rejectionReason(full, timeLeft, previous);
    if (reason != null) {
      counters.rejectedFull += full ? 1 : 0;
      counters.rejected++;
      viewer.rejected(limits.retryAfter(), reason);
      return null;
    }
    if (previous != null) {
      // The same viewer asks again.
      runGuarded(() -> previous.terminate(Viewer.EndReason.REPLACED));
    }
    counters.accepted++;
    Session session =
        new Session(this, viewer, request, idPrefix + nextNumber++, now.plus(timeLeft));
    sessions.add(session);
    if (request.key() != null) {
      sessionsByKey.put(request.key(), session);
    }
    runGuarded(
        () -> {
          session.setViewing(
              policy.requestViewing(
                  session,
                  request.packageSettings(),
                  titles.acquire(request.title(), request.firstCell(), request.cellsInRow()),
                  request.ceilingRung(),
                  timeLeft));
          if (session.isComplete()) {
            removeIfComplete(session);
          }
        });
    if (!session.isAnswered()) {
      session.setDeadlineTimer(startTimer(timeLeft, () -> failOverdue(session)));
    }
    return session;
  }

  /** Why a request is not accepted; null where it is. */
  private RejectionReason rejectionReason(boolean full, Span timeLeft, Session previous) {
    if (failed) {
      return RejectionReason.FRONT_FAILED;
    }
    if (stopping) {
      return RejectionReason.FRONT_STOPPING;
    }
    if (full) {
      return RejectionReason.FRONT_FULL;
    }
    if (!Span.NONE.isShorterThan(timeLeft)) {
      return RejectionReason.DEADLINE_TOO_CLOSE;
    }
    return previous != null && !previous.isPlaying() ? RejectionReason.SAME_KEY_OPEN : null;
  }

  private boolean isFull() {
    return countedSessions() >= limits.sessions();
  }

  private int countedSessions() {
    return sessions.size() - uncountedSessions;
  }

  /**
   * Adopts a viewing that is said to play already at a box. Null where it cannot be held (the box
   * is not known here or is gone, the front is stopping, or too many are held): the viewer has then
   * been notified that it is over.
   *
   * <p>Anyone can say so. It counts from the start only where the front may expect hand-overs and
   * the box could run that many; else it counts once the box has reported on it. Where the box
   * reports the rungs of others that were handed over, one that it has not reported within {@link
   * #VERIFICATION_SPAN} counts no longer, unless it has a seat: seats must not be given out twice.
   * What does not count is held, and released if its box says that it is over.
   */
  public Session adopt(
      Session.SessionRequest request, long boxId, Viewer viewer, boolean isExpected) {
    BoxTable.Entry box = boxes.get(boxId);
    boolean mayCount = box != null && isExpected && mayCountUnverified(box);
    if (stopping
        || failed
        || box == null
        || box.state() == BoxTable.State.GONE
        || !mayCount && uncountedSessions >= MAX_UNCOUNTED_SESSIONS) {
      viewer.ended(Viewer.EndReason.BOX_LOST);
      return null;
    }
    Session session = new Session(this, viewer, request, idPrefix + nextNumber++, now);
    sessions.add(session);
    session.adopted(box);
    box.unverifiedViewingAdded();
    session.setCounted(false);
    uncountedSessions++;
    if (mayCount) {
      runGuarded(() -> count(session));
      countedUnverifiedSessions++;
      session.setVerificationTimer(
          startTimer(VERIFICATION_SPAN, () -> stopCountingUnverified(session)));
    }
    return session;
  }

  private boolean mayCountUnverified(BoxTable.Entry box) {
    return !isFull()
        && countedUnverifiedSessions < limits.sessions() * UNVERIFIED_SHARE
        && box.unverifiedViewings() < box.mediaBox().maxStreams();
  }

  /** From here on a handed-over viewing is treated as if it had been set up here. */
  private void count(Session session) {
    Session.SessionRequest request = session.request();
    session.setCounted(true);
    uncountedSessions--;
    session.setViewing(
        policy.adoptViewing(
            session,
            request.packageSettings(),
            titles.acquire(request.title(), request.firstCell(), request.cellsInRow()),
            request.ceilingRung(),
            session.box().mediaBox()));
  }

  private void stopCountingUnverified(Session session) {
    boolean hasSeat = session.request().packageSettings().maxViewingsPerTitle() > 0;
    if (session.isPlaying()
        && !session.isVerified()
        && !hasSeat
        && session.box().reportsHandOvers()) {
      countedUnverifiedSessions--;
      uncountedSessions++;
      session.setCounted(false);
      session.forgetViewing();
      titles.release(session.request().title());
    }
  }

  /** A box has reported on a viewing that was handed over. */
  void handOverVerified(Session session) {
    session.box().unverifiedViewingEnded();
    if (session.isCounted()) {
      countedUnverifiedSessions--;
    } else if (!isFull()) {
      count(session);
    }
  }

  /**
   * A last resort against every way in which an answer is not given in time, also by the module.
   */
  private void failOverdue(Session session) {
    if (!session.isAnswered()) {
      session.failAndCancel(Viewer.FailureCause.NO_ANSWER);
    }
  }

  /**
   * Removes a session from the registry once its answer is given and no tune-in is open or playing.
   */
  void removeIfComplete(Session session) {
    if (session.isComplete() && sessions.remove(session)) {
      if (session.isCounted()) {
        countedUnverifiedSessions -= session.isVerified() ? 0 : 1;
        titles.release(session.request().title());
      } else {
        uncountedSessions--;
      }
      if (session.request().key() != null) {
        sessionsByKey.remove(session.request().key(), session);
      }
    }
  }

  /** Schedules the next check whether the viewer of a playing session still makes requests. */
  Transport.Timer scheduleIdleCheck(Span span, Session session) {
    return startTimer(span, () -> session.checkIdle(limits.idleTimeout()));
  }

  /** How long a request read now may have waited unread while the front was paused. */
  Span recentPause() {
    return pauseDetector.recentPause(now);
  }

  Span idleTimeout() {
    return limits.idleTimeout();
  }

  /* ---- discovery and boxes ---- */

  /** Applies a full discovery list. */
  public void applyDiscovery(long revision, List<BoxTable.ListedBox> listings) {
    runGuarded(() -> discovery.applyFull(revision, listings));
  }

  /** Applies changes of the discovery list; false where the full list must be requested. */
  public boolean applyDiscoveryChanges(long from, long to, List<BoxTable.ListedBox> listings) {
    boolean[] gap = {false};
    runGuarded(
        () -> {
          gap[0] = discovery.applyChanges(from, to, listings) == DiscoveryCache.UpdateResult.GAP;
          counters.discoveryGaps += gap[0] ? 1 : 0;
        });
    if (gap[0]) {
      discovery.reset();
    }
    return !gap[0];
  }

  /**
   * The revision from which changes may be requested; {@link DiscoveryCache#NO_REVISION}: the full
   * list is needed.
   */
  public long discoveryRevision() {
    return discovery.revision();
  }

  /** Discovery cannot report the changes since the known revision: the full list is needed next. */
  public void resetDiscovery() {
    discovery.reset();
  }

  /** A box has reported its load, in an answer or to a probe; NaN for what it does not report. */
  public void loadReported(
      BoxTable.Entry box, double linkAsked, double uplinkAsked, double streams) {
    runGuarded(() -> box.mediaBox().loadReported(linkAsked, uplinkAsked, streams));
  }

  /**
   * A box has reported how long it has been running. This takes precedence over discovery, which
   * may be out of date.
   */
  public void ageReported(BoxTable.Entry box, Span age) {
    runGuarded(() -> boxes.startReported(box, now.minus(age), START_TOLERANCE));
  }

  /**
   * A box with which this front was in contact cannot be reached: it may restart cold before
   * discovery reports it.
   */
  public void contactLost(BoxTable.Entry box) {
    runGuarded(
        () -> {
          box.contactLost();
          box.mediaBox().probeEnded(false);
        });
  }

  public void probeCompleted(BoxTable.Entry box, boolean answered) {
    runGuarded(() -> box.mediaBox().probeEnded(answered));
  }

  /** The outcome of a probe: FINISHED where it was answered. */
  public void probeCompleted(BoxTable.Entry box, Environment.AttemptOutcome outcome) {
    runGuarded(() -> box.mediaBox().probeEnded(outcome));
  }

  /* ---- messages between fronts ---- */

  @Override
  public void sendUsage(
      int front, Policy.MediaBox box, int viewings, double kb, double uplinkShare) {
    send(front, PeerMessages.encodeReport(box, viewings, kb, uplinkShare));
  }

  @Override
  public void sendRackUsage(
      int front,
      Policy.MediaBox box,
      int othersViewings,
      double othersKb,
      double rackKb,
      double rackSizeKb) {
    send(front, PeerMessages.encodeReply(box, othersViewings, othersKb, rackKb, rackSizeKb));
  }

  private void send(int front, byte[] message) {
    transport.send(
        front,
        ByteBuffer.allocate(3 + message.length)
            .put(DATAGRAM_MARKER)
            .putShort((short) deployment.frontNumber())
            .put(message)
            .array());
  }

  /**
   * A datagram from the address of another front. What is not a valid message of one is ignored and
   * counted.
   */
  public void datagramReceived(byte[] datagram) {
    runGuarded(
        () -> {
          int from =
              datagram.length < 3 || datagram[0] != DATAGRAM_MARKER
                  ? -1
                  : Short.toUnsignedInt(ByteBuffer.wrap(datagram).getShort(1));
          if (from < 0
              || from >= deployment.frontCount()
              || from == deployment.frontNumber()
              || !PeerMessages.deliver(
                  boxes, from, Arrays.copyOfRange(datagram, 3, datagram.length))) {
            counters.messagesIgnored++;
          } else {
            counters.messagesReceived++;
          }
        });
  }

  /* ---- timers and shutdown ---- */

  @Override
  public void schedule(Span span, Runnable step) {
    startTimer(span, step);
  }

  Transport.Timer startTimer(Span span, Runnable step) {
    return transport.schedule(span, () -> runGuarded(step));
  }

  /**
   * Every call that may reach the module passes through here. A module that throws may be half way
   * through a change, so the core answers all open requests, ends what plays, accepts nothing more
   * and reports the failure to the transport.
   */
  void runGuarded(Runnable action) {
    if (failed) {
      return;
    }
    try {
      action.run();
    } catch (RuntimeException e) {
      failed = true;
      for (Session session : List.copyOf(sessions)) {
        session.abandon();
      }
      sessions.clear();
      sessionsByKey.clear();
      transport.coreFailed(e);
    }
  }

  /** Accepts nothing more; what plays goes on until {@link #endAll}. */
  public void stopAccepting() {
    stopping = true;
  }

  /** Ends every session: those that wait are answered as failed, those that play are notified. */
  public void endAll() {
    stopping = true;
    for (Session session : List.copyOf(sessions)) {
      runGuarded(() -> session.shutDown());
    }
  }
}
