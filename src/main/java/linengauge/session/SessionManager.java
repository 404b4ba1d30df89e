package linengauge.session;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import linengauge.Headend;
import linengauge.Moment;
import linengauge.Outside;
import linengauge.Outside.Refusal;
import linengauge.Policy;
import linengauge.Span;

/**
 * The front's core: keeps the registry of viewings, owes each one answer, follows the box list,
 * carries words between fronts and drives the module. It holds no clock, thread or socket: whoever
 * runs it tells the time with clock() before each round of calls and acts through {@link
 * Transport}.
 */
public final class SessionManager implements Outside {
  /** First byte of every datagram between fronts. */
  private static final byte DATAGRAM = 0x4c;

  /** Ages told of one start differ by what answers wait and clocks round. */
  private static final Span AGE_SLACK = Span.ofSeconds(1);

  /**
   * What the core is bounded by: viewings held at once; how long one that plays may ask for nothing
   * (NONE: for ever, where its box or its viewer tells of its end); advice to those turned away at
   * the door; the beat by which a stand-still of the front itself is noticed, and how much later
   * than that it may come; and how long before a viewer's patience ends the answer is given at the
   * latest.
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

  private final Headend house;
  private final Limits bounds;
  private final Transport carrier;
  private final String prefix;
  private final Policy policy;
  private final BoxTable boxes;
  private final TitleTable titles;
  private final DiscoveryCache list;
  private final PauseDetector standStill;
  private final Counters counters = new Counters();

  /**
   * Viewings whose answer is owed or which have a tune-in out or playing; bounded; each leaves when
   * neither holds.
   */
  private final Set<Session> held = new LinkedHashSet<>();

  /** Those of them whose viewer gave a key. */
  private final Map<String, Session> byKey = new HashMap<>();

  private Moment now = Moment.DISTANT_PAST;
  private long number;
  private boolean stopping;
  private boolean broken;

  /** The epoch tells this life of the front from earlier ones in the ids of viewings. */
  public SessionManager(Headend house, Limits bounds, long seed, String epoch, Transport carrier) {
    this.house = house;
    this.bounds = bounds;
    this.carrier = carrier;
    this.prefix = house.ownNumber() + "-" + epoch + "-";
    this.policy = new Policy(house, seed, this);
    this.boxes = new BoxTable(policy, carrier::probe);
    this.titles = new TitleTable(policy);
    this.list = new DiscoveryCache(boxes);
    this.standStill =
        new PauseDetector(
            bounds.tickInterval(), bounds.tickTolerance(), bounds.tickInterval().times(4));
  }

  /** Tells the time of the calls that follow; the first one starts the core. */
  public void updateTime(Moment moment) {
    boolean first = now == Moment.DISTANT_PAST;
    now = moment;
    standStill.recordActivity(now);
    policy.clock(now);
    if (first) {
      beat();
    }
  }

  private void beat() {
    carrier.schedule(bounds.tickInterval(), this::beat);
  }

  Moment now() {
    return now;
  }

  Transport carrier() {
    return carrier;
  }

  public BoxTable boxes() {
    return boxes;
  }

  public Counters counters() {
    return counters;
  }

  public int sessionCount() {
    return held.size();
  }

  public int keyCount() {
    return byKey.size();
  }

  public int titleCount() {
    return titles.size();
  }

  public boolean hasFailed() {
    return broken;
  }

  /* ---- viewers ---- */

  /** A request is turned away before it is taken, for want of room; returns when to come back. */
  public Span rejectForCapacity() {
    counters.rejectedFull++;
    counters.rejected++;
    return bounds.retryAfter();
  }

  /**
   * Takes a request for a viewing; the viewer gets its one answer within the patience asked for.
   * Null where the answer, blocked, has been given already.
   */
  public Session accept(Session.SessionRequest ask, Viewer viewer) {
    Span unseen = standStill.recentPause(now);
    Span margin = bounds.answerMargin().orLess(ask.timeLimit().times(Policy.MARGIN_PART));
    Span patience = ask.timeLimit().minus(unseen).minus(margin);
    Session before = ask.key() == null ? null : byKey.get(ask.key());
    boolean full = held.size() >= bounds.sessions();
    Refusal refusal = refusal(full, patience, before);
    if (refusal != null) {
      counters.rejectedFull += full ? 1 : 0;
      counters.rejected++;
      viewer.rejected(bounds.retryAfter(), refusal);
      return null;
    }
    if (before != null) {
      runGuarded(
          () -> before.terminate(Viewer.EndReason.REPLACED)); // the same viewer has come again
    }
    counters.accepted++;
    Session vw = new Session(this, viewer, ask, prefix + number++, now.plus(patience));
    held.add(vw);
    if (ask.key() != null) {
      byKey.put(ask.key(), vw);
    }
    runGuarded(
        () -> {
          vw.setViewing(
              policy.take(
                  vw,
                  ask.packageSettings(),
                  titles.acquire(ask.title(), ask.firstCell(), ask.cellsInRow()),
                  ask.ceilingRung(),
                  patience));
          if (vw.isComplete()) {
            removeIfComplete(vw);
          }
        });
    if (!vw.isAnswered()) {
      vw.setDeadlineTimer(startTimer(patience, () -> failOverdue(vw)));
    }
    return vw;
  }

  /** Why a request is not taken; null where it is. */
  private Refusal refusal(boolean full, Span patience, Session before) {
    if (broken) {
      return Refusal.FRONT_FAILED;
    }
    if (stopping) {
      return Refusal.FRONT_STOPPING;
    }
    if (full) {
      return Refusal.FRONT_FULL;
    }
    if (!Span.NONE.under(patience)) {
      return Refusal.DEADLINE_TOO_CLOSE;
    }
    return before != null && !before.isPlaying() ? Refusal.SAME_KEY_OPEN : null;
  }

  /**
   * A viewing that plays already at a box, handed over to this front. Null where it cannot be held
   * (the box is not known here or gone, or the front is full or stopping): the viewer has been told
   * that it is over.
   */
  public Session adopt(Session.SessionRequest ask, long box, Viewer viewer) {
    BoxTable.Entry at = boxes.get(box);
    if (stopping
        || broken
        || held.size() >= bounds.sessions()
        || at == null
        || at.state() == BoxTable.State.GONE) {
      viewer.ended(Viewer.EndReason.BOX_LOST);
      return null;
    }
    Session vw = new Session(this, viewer, ask, prefix + number++, now);
    held.add(vw);
    runGuarded(
        () ->
            vw.adopted(
                at,
                policy.handOver(
                    vw,
                    ask.packageSettings(),
                    titles.acquire(ask.title(), ask.firstCell(), ask.cellsInRow()),
                    ask.ceilingRung(),
                    at.mediaBox())));
    return vw;
  }

  /**
   * Guards against any way in which an answer was not given in time, also by the module; a last
   * resort.
   */
  private void failOverdue(Session vw) {
    if (!vw.isAnswered()) {
      vw.failAndCancel(Viewer.FailureCause.NO_ANSWER);
    }
  }

  /** Takes a viewing out of the registry where its answer is given and nothing of it is out. */
  void removeIfComplete(Session vw) {
    if (vw.isComplete() && held.remove(vw)) {
      titles.release(vw.request().title());
      if (vw.request().key() != null) {
        byKey.remove(vw.request().key(), vw);
      }
    }
  }

  /** The next look at whether a viewing that plays is still asked for. */
  Transport.Timer scheduleIdleCheck(Span span, Session vw) {
    return startTimer(span, () -> vw.checkIdle(bounds.idleTimeout()));
  }

  /** How long the front stood still just now. */
  Span recentPause() {
    return standStill.recentPause(now);
  }

  Span idleTimeout() {
    return bounds.idleTimeout();
  }

  /* ---- boxes ---- */

  /** A whole box list. */
  public void applyDiscovery(long revision, List<BoxTable.ListedBox> rows) {
    runGuarded(() -> list.applyFull(revision, rows));
  }

  /** Changes of the box list; false where the whole list must be asked for. */
  public boolean applyDiscoveryChanges(long from, long to, List<BoxTable.ListedBox> rows) {
    boolean[] whole = {false};
    runGuarded(
        () -> {
          whole[0] = list.applyChanges(from, to, rows) == DiscoveryCache.UpdateResult.GAP;
          counters.discoveryGaps += whole[0] ? 1 : 0;
        });
    if (whole[0]) {
      list.reset();
    }
    return !whole[0];
  }

  /**
   * The revision from which changes may be asked for; {@link DiscoveryCache#NO_REVISION}: the whole
   * list.
   */
  public long discoveryRevision() {
    return list.revision();
  }

  /** The list cannot say what changed since the revision known: the whole one is wanted next. */
  public void resetDiscovery() {
    list.reset();
  }

  /** A box has told of its load, in an answer or to a probe; NaN for what it does not tell. */
  public void loadReported(
      BoxTable.Entry box, double linkAsked, double uplinkAsked, double streams) {
    runGuarded(() -> box.mediaBox().reported(linkAsked, uplinkAsked, streams));
  }

  /** A box has told how long it has been running; its word beats a list that is late. */
  public void ageReported(BoxTable.Entry box, Span age) {
    runGuarded(() -> boxes.startReported(box, now.minus(age), AGE_SLACK));
  }

  /**
   * A box with which this front was in touch cannot be reached: it may come back cold before the
   * list says so.
   */
  public void contactLost(BoxTable.Entry box) {
    runGuarded(
        () -> {
          box.contactLost();
          box.mediaBox().probed(false);
        });
  }

  public void probeCompleted(BoxTable.Entry box, boolean answered) {
    runGuarded(() -> box.mediaBox().probed(answered));
  }

  /** A probe has come to this: FINISHED where it was answered. */
  public void probeCompleted(BoxTable.Entry box, Outside.Ending how) {
    runGuarded(() -> box.mediaBox().probed(how));
  }

  /* ---- words between fronts ---- */

  @Override
  public void tell(int front, Policy.MediaBox box, int viewings, double kb, double uplinkShare) {
    send(front, PeerMessages.encodeReport(box, viewings, kb, uplinkShare));
  }

  @Override
  public void answer(
      int front,
      Policy.MediaBox box,
      int othersViewings,
      double othersKb,
      double rackKb,
      double rackSizeKb) {
    send(front, PeerMessages.encodeReply(box, othersViewings, othersKb, rackKb, rackSizeKb));
  }

  private void send(int front, byte[] word) {
    carrier.send(
        front,
        ByteBuffer.allocate(3 + word.length)
            .put(DATAGRAM)
            .putShort((short) house.ownNumber())
            .put(word)
            .array());
  }

  /**
   * A datagram from the address of another front; what is no word of one is passed over and
   * counted.
   */
  public void datagramReceived(byte[] datagram) {
    runGuarded(
        () -> {
          int from =
              datagram.length < 3 || datagram[0] != DATAGRAM
                  ? -1
                  : Short.toUnsignedInt(ByteBuffer.wrap(datagram).getShort(1));
          if (from < 0
              || from >= house.fronts()
              || from == house.ownNumber()
              || !PeerMessages.deliver(
                  boxes, from, Arrays.copyOfRange(datagram, 3, datagram.length))) {
            counters.messagesIgnored++;
          } else {
            counters.messagesReceived++;
          }
        });
  }

  /* ---- time and order ---- */

  @Override
  public void wakeAfter(Span span, Runnable step) {
    startTimer(span, step);
  }

  Transport.Timer startTimer(Span span, Runnable step) {
    return carrier.schedule(span, () -> runGuarded(step));
  }

  /**
   * Every call that may reach the module passes here. A module that throws may be half way through
   * a change: the core answers what it owes, ends what plays, takes nothing more and says so to the
   * carrier.
   */
  void runGuarded(Runnable deed) {
    if (broken) {
      return;
    }
    try {
      deed.run();
    } catch (RuntimeException e) {
      broken = true;
      for (Session vw : List.copyOf(held)) {
        vw.abandon();
      }
      held.clear();
      byKey.clear();
      carrier.coreFailed(e);
    }
  }

  /** Takes nothing more; what plays goes on until {@link #endAll}. */
  public void stopAccepting() {
    stopping = true;
  }

  /** Ends every viewing: those that wait are aborted, those that play are told so. */
  public void endAll() {
    stopping = true;
    for (Session vw : List.copyOf(held)) {
      runGuarded(() -> vw.shutDown());
    }
  }
}
