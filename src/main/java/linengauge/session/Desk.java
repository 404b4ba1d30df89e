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
 * runs it tells the time with clock() before each round of calls and acts through {@link Carrier}.
 */
public final class Desk implements Outside {
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
  public record Bounds(
      int viewings, Span idle, Span advice, Span beat, Span lateBeat, Span answerMargin) {}

  /** Counts since the start. */
  public static final class Counts {
    public long taken;
    public long played;
    public long blocked;
    public long aborted;
    public long left;
    public long letGo;
    public long turnedAwayFull;
    public long listGaps;
    public long wordsHeard;
    public long wordsPassedOver;
  }

  private final Headend house;
  private final Bounds bounds;
  private final Carrier carrier;
  private final String prefix;
  private final Policy policy;
  private final BoxTable boxes;
  private final TitleTable titles;
  private final ListFollower list;
  private final StandStill standStill;
  private final Counts counts = new Counts();

  /**
   * Viewings whose answer is owed or which have a tune-in out or playing; bounded; each leaves when
   * neither holds.
   */
  private final Set<Held> held = new LinkedHashSet<>();

  /** Those of them whose viewer gave a key. */
  private final Map<String, Held> byKey = new HashMap<>();

  private Moment now = Moment.DISTANT_PAST;
  private long number;
  private boolean stopping;
  private boolean broken;

  /** The epoch tells this life of the front from earlier ones in the ids of viewings. */
  public Desk(Headend house, Bounds bounds, long seed, String epoch, Carrier carrier) {
    this.house = house;
    this.bounds = bounds;
    this.carrier = carrier;
    this.prefix = house.ownNumber() + "-" + epoch + "-";
    this.policy = new Policy(house, seed, this);
    this.boxes = new BoxTable(policy, carrier::probe);
    this.titles = new TitleTable(policy);
    this.list = new ListFollower(boxes);
    this.standStill = new StandStill(bounds.beat(), bounds.lateBeat(), bounds.beat().times(4));
  }

  /** Tells the time of the calls that follow; the first one starts the core. */
  public void clock(Moment moment) {
    boolean first = now == Moment.DISTANT_PAST;
    now = moment;
    standStill.running(now);
    policy.clock(now);
    if (first) {
      beat();
    }
  }

  private void beat() {
    carrier.wakeAfter(bounds.beat(), this::beat);
  }

  Moment now() {
    return now;
  }

  Carrier carrier() {
    return carrier;
  }

  public BoxTable boxes() {
    return boxes;
  }

  public Counts counts() {
    return counts;
  }

  public int viewings() {
    return held.size();
  }

  public int keys() {
    return byKey.size();
  }

  public int titlesHeld() {
    return titles.size();
  }

  public boolean hasFailed() {
    return broken;
  }

  /* ---- viewers ---- */

  /** A request is turned away before it is taken, for want of room; returns when to come back. */
  public Span turnedAway() {
    counts.turnedAwayFull++;
    counts.blocked++;
    return bounds.advice();
  }

  /**
   * Takes a request for a viewing; the viewer gets its one answer within the patience asked for.
   * Null where the answer, blocked, has been given already.
   */
  public Held take(Held.Ask ask, Viewer viewer) {
    Span unseen = standStill.unseen(now);
    Span margin = bounds.answerMargin().orLess(ask.patience().times(Policy.MARGIN_PART));
    Span patience = ask.patience().minus(unseen).minus(margin);
    Held before = ask.key() == null ? null : byKey.get(ask.key());
    boolean full = held.size() >= bounds.viewings();
    Refusal refusal = refusal(full, patience, before);
    if (refusal != null) {
      counts.turnedAwayFull += full ? 1 : 0;
      counts.blocked++;
      viewer.blocked(bounds.advice(), refusal);
      return null;
    }
    if (before != null) {
      call(() -> before.leave(Viewer.End.REPLACED)); // the same viewer has come again
    }
    counts.taken++;
    Held vw = new Held(this, viewer, ask, prefix + number++, now.plus(patience));
    held.add(vw);
    if (ask.key() != null) {
      byKey.put(ask.key(), vw);
    }
    call(
        () -> {
          vw.handle(
              policy.take(
                  vw,
                  ask.terms(),
                  titles.hold(ask.title(), ask.firstCell(), ask.cellsInRow()),
                  ask.ceiling(),
                  patience));
          if (vw.done()) {
            release(vw);
          }
        });
    if (!vw.isAnswered()) {
      vw.answerBy(wake(patience, () -> overdue(vw)));
    }
    return vw;
  }

  /** Why a request is not taken; null where it is. */
  private Refusal refusal(boolean full, Span patience, Held before) {
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
  public Held handOver(Held.Ask ask, long box, Viewer viewer) {
    BoxTable.Entry at = boxes.get(box);
    if (stopping
        || broken
        || held.size() >= bounds.viewings()
        || at == null
        || at.state() == BoxTable.State.GONE) {
      viewer.ended(Viewer.End.BOX_LOST);
      return null;
    }
    Held vw = new Held(this, viewer, ask, prefix + number++, now);
    held.add(vw);
    call(
        () ->
            vw.handedOver(
                at,
                policy.handOver(
                    vw,
                    ask.terms(),
                    titles.hold(ask.title(), ask.firstCell(), ask.cellsInRow()),
                    ask.ceiling(),
                    at.handle())));
    return vw;
  }

  /**
   * Guards against any way in which an answer was not given in time, also by the module; a last
   * resort.
   */
  private void overdue(Held vw) {
    if (!vw.isAnswered()) {
      vw.giveUp(Viewer.Cause.NO_ANSWER);
    }
  }

  /** Takes a viewing out of the registry where its answer is given and nothing of it is out. */
  void release(Held vw) {
    if (vw.done() && held.remove(vw)) {
      titles.release(vw.ask().title());
      if (vw.ask().key() != null) {
        byKey.remove(vw.ask().key(), vw);
      }
    }
  }

  /** The next look at whether a viewing that plays is still asked for. */
  Carrier.Wake lookAfter(Span span, Held vw) {
    return wake(span, () -> vw.look(bounds.idle()));
  }

  /** How long the front stood still just now. */
  Span unseen() {
    return standStill.unseen(now);
  }

  Span idle() {
    return bounds.idle();
  }

  /* ---- boxes ---- */

  /** A whole box list. */
  public void listed(long revision, List<BoxTable.Row> rows) {
    call(() -> list.whole(revision, rows));
  }

  /** Changes of the box list; false where the whole list must be asked for. */
  public boolean listChanged(long from, long to, List<BoxTable.Row> rows) {
    boolean[] whole = {false};
    call(
        () -> {
          whole[0] = list.changes(from, to, rows) == ListFollower.Heard.GAP;
          counts.listGaps += whole[0] ? 1 : 0;
        });
    if (whole[0]) {
      list.forget();
    }
    return !whole[0];
  }

  /**
   * The revision from which changes may be asked for; {@link ListFollower#NONE}: the whole list.
   */
  public long listRevision() {
    return list.revision();
  }

  /** The list cannot say what changed since the revision known: the whole one is wanted next. */
  public void forgetList() {
    list.forget();
  }

  /** A box has told of its load, in an answer or to a probe; NaN for what it does not tell. */
  public void reported(BoxTable.Entry box, double linkAsked, double uplinkAsked, double streams) {
    call(() -> box.handle().reported(linkAsked, uplinkAsked, streams));
  }

  /** A box has told how long it has been running; its word beats a list that is late. */
  public void ageTold(BoxTable.Entry box, Span age) {
    call(() -> boxes.started(box, now.minus(age), AGE_SLACK));
  }

  /**
   * A box with which this front was in touch cannot be reached: it may come back cold before the
   * list says so.
   */
  public void lostSight(BoxTable.Entry box) {
    call(
        () -> {
          box.lostSight();
          box.handle().probed(false);
        });
  }

  public void probed(BoxTable.Entry box, boolean answered) {
    call(() -> box.handle().probed(answered));
  }

  /** A probe has come to this: FINISHED where it was answered. */
  public void probed(BoxTable.Entry box, Outside.Ending how) {
    call(() -> box.handle().probed(how));
  }

  /* ---- words between fronts ---- */

  @Override
  public void tell(int front, Policy.MediaBox box, int viewings, double kb, double uplinkShare) {
    send(front, Words.told(box, viewings, kb, uplinkShare));
  }

  @Override
  public void answer(
      int front,
      Policy.MediaBox box,
      int othersViewings,
      double othersKb,
      double rackKb,
      double rackSizeKb) {
    send(front, Words.answered(box, othersViewings, othersKb, rackKb, rackSizeKb));
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
  public void heard(byte[] datagram) {
    call(
        () -> {
          int from =
              datagram.length < 3 || datagram[0] != DATAGRAM
                  ? -1
                  : Short.toUnsignedInt(ByteBuffer.wrap(datagram).getShort(1));
          if (from < 0
              || from >= house.fronts()
              || from == house.ownNumber()
              || !Words.hear(boxes, from, Arrays.copyOfRange(datagram, 3, datagram.length))) {
            counts.wordsPassedOver++;
          } else {
            counts.wordsHeard++;
          }
        });
  }

  /* ---- time and order ---- */

  @Override
  public void wakeAfter(Span span, Runnable step) {
    wake(span, step);
  }

  Carrier.Wake wake(Span span, Runnable step) {
    return carrier.wakeAfter(span, () -> call(step));
  }

  /**
   * Every call that may reach the module passes here. A module that throws may be half way through
   * a change: the core answers what it owes, ends what plays, takes nothing more and says so to the
   * carrier.
   */
  void call(Runnable deed) {
    if (broken) {
      return;
    }
    try {
      deed.run();
    } catch (RuntimeException e) {
      broken = true;
      for (Held vw : List.copyOf(held)) {
        vw.frontFailed();
      }
      held.clear();
      byKey.clear();
      carrier.failed(e);
    }
  }

  /** Takes nothing more; what plays goes on until {@link #endAll}. */
  public void stopTaking() {
    stopping = true;
  }

  /** Ends every viewing: those that wait are aborted, those that play are told so. */
  public void endAll() {
    stopping = true;
    for (Held vw : List.copyOf(held)) {
      call(() -> vw.frontStops());
    }
  }
}
