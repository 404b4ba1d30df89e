package linengauge.lease;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.membership.Member;

/**
 * A front's part in membership by lease (docs/design/lease.md): sends heartbeats to one control
 * machine, keeps a copy of the directory, and knows until when it holds its lease.
 */
public class LeaseAgent {
  /** What it acts through. */
  public interface Port extends LeasePort {
    /** A member has changed in the view. */
    void changed(DirectoryEntry entry);

    /** This life of the front is over; another begins, unless the agent gives up. */
    void superseded(Moment now);
  }

  /** How far the view can be relied on. */
  public enum Mode {
    /** It has not been brought up to date yet, or was emptied since. */
    STARTING,
    /** It is at the most a lease old. */
    CURRENT,
    /** It is older. */
    STALE
  }

  /**
   * What it has done so far.
   *
   * @param failovers changes of the control machine
   * @param mismatches views emptied since their digest was not the directory's
   * @param resets views emptied since the directory no longer kept what they missed
   */
  public record Figures(
      long heartbeats, long acknowledgements, long failovers, long mismatches, long resets) {}

  /** A moment that never comes. */
  private static final Moment NEVER = new Moment(Long.MAX_VALUE / 4);

  /** Heartbeats that may still be answered; an earlier one's answer is not taken. */
  private static final int MOST_OUTSTANDING = 8;

  private static final int MOST_FAREWELLS = 5;

  private enum Purpose {
    REGULAR,
    /** Asks for the next page of changes. */
    PAGE,
    /** Tries a control machine of the own region. */
    PROBE
  }

  /**
   * A heartbeat that was sent.
   *
   * @param viewOrdinal which view it spoke of: one is begun from nothing after another
   */
  private record Sent(
      ControlMachine to, Moment at, Purpose purpose, long version, int viewOrdinal) {}

  private final LeaseSettings settings;
  private final Member own;
  private final Port port;
  private final SplittableRandom chance;
  private final ControlMachineChoice choice;
  private final ByteBudget budget;
  private final LifeContest contest;
  private final DirectoryView view = new DirectoryView();
  private final Map<Integer, Sent> outstanding = new LinkedHashMap<>();

  private long incarnation;
  private int sequence;
  private int awaited;
  private int viewOrdinal;
  private Moment dueAt = NEVER;
  private Moment heartbeatAt = NEVER;
  private Moment answerBy = NEVER;
  private Moment pageAt = NEVER;
  private Moment pageAnswerBy = Moment.DISTANT_PAST;
  private Moment graceFrom = Moment.DISTANT_PAST;
  private Moment heldUntil = Moment.DISTANT_PAST;
  private Moment currentAsOf = Moment.DISTANT_PAST;
  private boolean started;
  private boolean registered;
  private boolean complete;
  private boolean leaving;
  private boolean silent;
  private int farewells;
  private long heartbeats;
  private long acknowledgements;
  private long failovers;
  private long mismatches;
  private long resets;

  /**
   * @param incarnation higher than in any earlier life: the wall's clock in milliseconds
   * @param all control machines of the fleet
   */
  public LeaseAgent(
      LeaseSettings settings,
      Member own,
      long incarnation,
      List<ControlMachine> all,
      Port port,
      SplittableRandom chance) {
    this.settings = settings;
    this.own = own;
    this.incarnation = incarnation;
    this.port = port;
    this.chance = chance;
    this.choice = new ControlMachineChoice(all, own.region(), settings.lease(), chance);
    this.budget = new ByteBudget(settings.mostBytesASecond());
    this.contest = new LifeContest(settings);
  }

  /** The first heartbeat follows within one period, at a point drawn, so that a fleet is spread. */
  public void start(Moment now) {
    started = true;
    heartbeatAt = now.plus(settings.heartbeat().times(chance.nextDouble()));
    graceFrom = now;
    dueAt = next();
  }

  /** The moment at which it wants to be stepped, at the latest. */
  public Moment next() {
    if (!started || silent) {
      return NEVER;
    }
    Moment next = earlier(heartbeatAt, answerBy);
    next = earlier(next, pageAt);
    return choice.probeAt() == null ? next : earlier(next, choice.probeAt());
  }

  private static Moment earlier(Moment a, Moment b) {
    return a.isBefore(b) ? a : b;
  }

  /** Does what is due. */
  public void step(Moment now) {
    if (!started || silent) {
      return;
    }
    if (stoodStill(dueAt, now)) {
      forgetOutstanding(now);
    }
    if (!now.isBefore(answerBy)) {
      answerBy = NEVER;
      failed(now);
    }
    if (!now.isBefore(heartbeatAt)) {
      regularHeartbeat(now);
    }
    if (!now.isBefore(pageAt)) {
      pageAt = NEVER;
      askForPage(now);
    }
    if (choice.probeAt() != null && !now.isBefore(choice.probeAt())) {
      send(now, choice.probe(now), Purpose.PROBE);
    }
    dueAt = next();
  }

  /**
   * Guards against counting as a control machine's silence what was this process's own: after a
   * pause the answers to what was sent before it say nothing. Hurts little: one heartbeat more.
   */
  protected boolean stoodStill(Moment due, Moment now) {
    return due.plus(settings.heartbeat().times(0.5)).isBefore(now);
  }

  private void forgetOutstanding(Moment now) {
    outstanding.clear();
    answerBy = NEVER;
    pageAnswerBy = now;
    choice.forgetFailures();
    graceFrom = now;
    heartbeatAt = earlier(heartbeatAt, now);
  }

  private void regularHeartbeat(Moment now) {
    if (leaving && farewells++ >= MOST_FAREWELLS) {
      silent = true;
      return;
    }
    heartbeatAt = following(heartbeatAt, leaving ? settings.answer() : settings.heartbeat(), now);
    awaited = send(now, choice.current(), Purpose.REGULAR);
    answerBy = now.plus(settings.answer());
  }

  /** Keeps the rhythm, and begins another where more than one beat was missed. */
  private static Moment following(Moment at, Span period, Moment now) {
    Moment next = at.plus(period);
    return now.isBefore(next) ? next : now.plus(period);
  }

  private int send(Moment now, ControlMachine to, Purpose purpose) {
    sequence++;
    heartbeats++;
    outstanding.put(sequence, new Sent(to, now, purpose, view.version(), viewOrdinal));
    if (outstanding.size() > MOST_OUTSTANDING) {
      outstanding.remove(outstanding.keySet().iterator().next());
    }
    LeaseMessage.Heartbeat heartbeat =
        new LeaseMessage.Heartbeat(
            own, incarnation, sequence, view.version(), view.begun(), leaving);
    if (purpose != Purpose.REGULAR) {
      budget.spend(now, LeaseCodec.size(heartbeat));
    }
    port.send(to.address(), heartbeat);
    return sequence;
  }

  /** A heartbeat without an answer, or with one that is of no use. */
  private void failed(Moment now) {
    choice.failed();
    if (failsOver()) {
      choice.next(now);
      failovers++;
      graceFrom = now;
      heartbeatAt = earlier(heartbeatAt, now);
    }
  }

  /**
   * Guards against a control machine that is gone, or cut off from the leader. Hurts where no
   * control machine has a majority: fronts then go from one to the next, at their usual rate.
   */
  protected boolean failsOver() {
    return choice.hasFailed();
  }

  /** A datagram came; all but acknowledgements of own heartbeats are passed over. */
  public void heard(Moment now, String address, LeaseMessage message) {
    if (!started || silent || !(message instanceof LeaseMessage.Acknowledgement ack)) {
      return;
    }
    if (stoodStill(dueAt, now)) {
      forgetOutstanding(now);
    }
    Sent sent = outstanding.get(ack.sequence());
    if (sent != null && sent.to().number() == ack.from() && isOwnLife(ack)) {
      outstanding.remove(ack.sequence());
      acknowledged(now, sent, ack);
    }
    step(now);
  }

  /**
   * Guards against an answer to an earlier life, whose lease is not this one's. Hurts nothing: the
   * heartbeat of this life has its own answer.
   */
  protected boolean isOwnLife(LeaseMessage.Acknowledgement ack) {
    return ack.incarnation() == incarnation;
  }

  private void acknowledged(Moment now, Sent sent, LeaseMessage.Acknowledgement ack) {
    acknowledgements++;
    budget.spend(now, LeaseCodec.size(ack));
    noticeRegistration(now, ack);
    boolean useful = isUseful(now, sent, ack);
    if (ack.sequence() == awaited) {
      answerBy = NEVER;
      if (useful) {
        choice.answeredWell();
      } else {
        failed(now);
      }
    }
    if (sent.purpose() == Purpose.PROBE && useful) {
      choice.returnTo(sent.to(), now);
      graceFrom = now;
    }
    if (sent.purpose() == Purpose.PAGE) {
      pageAnswerBy = now;
    }
    takeLease(now, sent, ack);
    if (sent.viewOrdinal() == viewOrdinal) {
      takeChanges(now, sent, ack);
    }
  }

  private void noticeRegistration(Moment now, LeaseMessage.Acknowledgement ack) {
    boolean held = ack.registration() == LeaseMessage.Registration.HELD;
    if (held && !registered) {
      graceFrom = now;
    }
    registered = held;
  }

  /**
   * Whether the control machine is near enough to the leader. One that was just chosen, or has just
   * registered this life, has to have the time to get its evidence confirmed.
   */
  private boolean isUseful(Moment now, Sent sent, LeaseMessage.Acknowledgement ack) {
    Span half = settings.lease().times(0.5);
    boolean old = half.isShorterThan(ack.age());
    boolean hadTime = half.isShorterThan(now.since(graceFrom)) && sent.purpose() != Purpose.PROBE;
    boolean held = ack.registration() == LeaseMessage.Registration.HELD && !leaving;
    return !old && !(held && hadTime && ack.remaining().isShorterThan(half));
  }

  private void takeLease(Moment now, Sent sent, LeaseMessage.Acknowledgement ack) {
    if (ack.registration() == LeaseMessage.Registration.SUPERSEDED) {
      superseded(now, ack.listed());
      return;
    }
    if (ack.registration() == LeaseMessage.Registration.HELD && !leaving) {
      heldUntil = heldUntil.max(sent.at().plus(counted(ack.remaining())));
    }
    if (holdsLease(now)) {
      contest.held(now);
    } else {
      contest.notHeld();
    }
  }

  /**
   * Guards against a clock here that is slower than the leader's. Hurts by the same fraction of
   * each lease.
   */
  protected Span counted(Span remaining) {
    return remaining.times(1 - settings.drift());
  }

  private void superseded(Moment now, long listed) {
    heldUntil = Moment.DISTANT_PAST;
    outstanding.clear();
    answerBy = NEVER;
    if (leaving) {
      silent = true;
      return;
    }
    Span wait = Span.NONE;
    if (listed > incarnation) { // a life that this process did not begin
      wait = contest.lost();
      silent = contest.givesUp();
    }
    incarnation = Math.max(incarnation, listed) + 1;
    heartbeatAt = now.plus(wait);
    choice.postponeProbe(heartbeatAt);
    pageAt = NEVER;
    port.superseded(now);
  }

  private void takeChanges(Moment now, Sent sent, LeaseMessage.Acknowledgement ack) {
    if (ack.reset()) {
      if (sent.version() != view.version()) {
        return; // an answer to an earlier heartbeat of a view that has gone on since
      }
      if (honoursReset()) {
        resets++;
        emptyView();
      }
    }
    view.take(ack).forEach(port::changed);
    if (differs(ack)) {
      mismatches++;
      emptyView();
      return;
    }
    if (view.version() == ack.latest() && view.isWhole()) {
      complete = true;
      currentAsOf = currentAsOf.max(sent.at().minus(ack.age()));
    } else if (ack.upTo() < ack.latest() && ack.upTo() > sent.version()) {
      pageAt = now;
    }
  }

  /**
   * Guards against members that departed unseen and are no longer kept as entries. Hurts by one
   * whole directory.
   */
  protected boolean honoursReset() {
    return true;
  }

  /**
   * Guards against a copy that went wrong in any way: it is emptied and begun again. Hurts by one
   * whole directory each time.
   */
  protected boolean differs(LeaseMessage.Acknowledgement ack) {
    return ack.latest() == view.version() && view.isWhole() && ack.digest() != view.digest();
  }

  private void emptyView() {
    view.clear();
    viewOrdinal++;
    complete = false;
    currentAsOf = Moment.DISTANT_PAST;
    pageAt = NEVER;
  }

  private void askForPage(Moment now) {
    if (now.isBefore(pageAnswerBy)) {
      return; // one page at a time; a lost one is made good by the next regular heartbeat
    }
    Moment allowed = budgetAllows(now);
    if (now.isBefore(allowed)) {
      pageAt = allowed;
      return;
    }
    send(now, choice.current(), Purpose.PAGE);
    pageAnswerBy = now.plus(settings.answer());
  }

  /**
   * Guards against a fleet that asks for the whole directory at once. Hurts a front that starts: it
   * waits for its copy.
   */
  protected Moment budgetAllows(Moment now) {
    return budget.allows(now, LeaseCodec.MOST + LeaseCodec.MOST_HEARTBEAT);
  }

  /** Says that it leaves, some times if need be, and is silent then. */
  public void leave(Moment now) {
    leaving = true;
    heldUntil = Moment.DISTANT_PAST;
    heartbeatAt = now;
    step(now);
  }

  /** Whether its lease runs, and so it is listed. */
  public boolean holdsLease(Moment now) {
    return now.isBefore(heldUntil);
  }

  /** Its copy of the directory. */
  public DirectoryView view() {
    return view;
  }

  /** For how long, at the most, the view may be out of date. */
  public Span age(Moment now) {
    return now.since(currentAsOf);
  }

  /** How far the view can be relied on. */
  public Mode mode(Moment now) {
    if (!complete) {
      return Mode.STARTING;
    }
    return settings.lease().isShorterThan(age(now)) ? Mode.STALE : Mode.CURRENT;
  }

  /** Which life this is. */
  public long incarnation() {
    return incarnation;
  }

  /** Whether it has stopped for good: it left, or another process has its number. */
  public boolean isSilent() {
    return silent;
  }

  /** What it has done so far. */
  public Figures figures() {
    return new Figures(heartbeats, acknowledgements, failovers, mismatches, resets);
  }
}
