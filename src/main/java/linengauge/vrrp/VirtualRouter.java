package linengauge.vrrp;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import linengauge.Moment;
import linengauge.Span;

/**
 * One virtual router at this node: the state machine of RFC 9568, section 6.4, and what is added to
 * it. It is told the time, holds two timers as moments, and acts through {@link Port}. Every call
 * first brings it to the moment told.
 */
public class VirtualRouter {
  /** Section 6.3. */
  public enum State {
    INITIALIZE,
    BACKUP,
    ACTIVE
  }

  /**
   * What can happen to it. Of an advertisement it matters only what it means to this node in its
   * state.
   */
  enum Event {
    STARTUP,
    STARTUP_OF_OWNER,
    SHUTDOWN,
    ACTIVE_DOWN_TIMER,
    ADVER_TIMER,
    /** An advertisement of priority 0: the Active node gives up. */
    GIVEN_UP,
    /**
     * One to follow: in Backup of no lower priority, or not to be preempted; in Active of higher,
     * or equal and a greater address.
     */
    TO_FOLLOW,
    /** Any other. */
    NOT_TO_FOLLOW,
    /** Added: this node has not stepped for so long that it must take itself for deposed. */
    WOKEN,
    /** Added: the other one cannot hear this one. */
    DEAF_PARTNER
  }

  private enum Act {
    SEND,
    SEND_ZERO,
    TAKE,
    GIVE_UP,
    LEARN,
    OWN_INTERVAL,
    ARM_ADVER,
    ARM_DOWN,
    ARM_SKEW,
    DISARM,
    ASSERT
  }

  private record Row(State to, List<Act> acts) {}

  private static final Map<State, Map<Event, Row>> TABLE = new EnumMap<>(State.class);

  private static void row(State from, Event event, State to, Act... acts) {
    TABLE
        .computeIfAbsent(from, s -> new EnumMap<>(Event.class))
        .put(event, new Row(to, List.of(acts)));
  }

  static {
    // 6.4.1 Initialize
    row(State.INITIALIZE, Event.STARTUP_OF_OWNER, State.ACTIVE, Act.SEND, Act.TAKE, Act.ARM_ADVER);
    row(State.INITIALIZE, Event.STARTUP, State.BACKUP, Act.OWN_INTERVAL, Act.ARM_DOWN);
    // 6.4.2 Backup
    row(State.BACKUP, Event.SHUTDOWN, State.INITIALIZE, Act.DISARM);
    row(State.BACKUP, Event.ACTIVE_DOWN_TIMER, State.ACTIVE, Act.SEND, Act.TAKE, Act.ARM_ADVER);
    row(State.BACKUP, Event.GIVEN_UP, State.BACKUP, Act.ARM_SKEW);
    row(State.BACKUP, Event.TO_FOLLOW, State.BACKUP, Act.LEARN, Act.ARM_DOWN);
    row(State.BACKUP, Event.NOT_TO_FOLLOW, State.BACKUP);
    row(
        State.BACKUP,
        Event.WOKEN,
        State.BACKUP,
        Act.ARM_DOWN); // what came meanwhile is still to be read
    // 6.4.3 Active
    row(State.ACTIVE, Event.SHUTDOWN, State.INITIALIZE, Act.DISARM, Act.SEND_ZERO, Act.GIVE_UP);
    row(State.ACTIVE, Event.ADVER_TIMER, State.ACTIVE, Act.SEND, Act.ARM_ADVER);
    row(State.ACTIVE, Event.GIVEN_UP, State.ACTIVE, Act.SEND, Act.ARM_ADVER);
    row(State.ACTIVE, Event.TO_FOLLOW, State.BACKUP, Act.GIVE_UP, Act.LEARN, Act.ARM_DOWN);
    row(State.ACTIVE, Event.NOT_TO_FOLLOW, State.ACTIVE, Act.ASSERT);
    row(State.ACTIVE, Event.WOKEN, State.BACKUP, Act.GIVE_UP, Act.OWN_INTERVAL, Act.ARM_DOWN);
    row(State.ACTIVE, Event.DEAF_PARTNER, State.BACKUP, Act.GIVE_UP, Act.LEARN, Act.ARM_DOWN);
  }

  /**
   * What the node acts through. No call here may lead to a call of the router before it has
   * returned.
   */
  public interface Port {
    /** Sends an advertisement to all partners. */
    void send(Advertisement advert);

    /**
     * The shared address is this node's from now on: taken, and announced to whoever forwards to
     * it.
     */
    void acquireAddress(int vrid);

    /** Announced once more, as there was another that claims it. */
    void announceAddress(int vrid);

    /** The shared address is this node's no longer. */
    void releaseAddress(int vrid);
  }

  /** Counts since the start. */
  public static final class Counts {
    public long activations;
    public long stepsDown;
    public long advertisementsSent;
    public long pauses;
    public long deafPartners;
    public long flaps;
  }

  /** How many assertions against a worse partner one interval of this node's bears. */
  private static final int ASSERTIONS = 4;

  private final RouterSettings settings;
  private final Port port;
  private final Counts counts = new Counts();
  private FlapDamping flaps;
  private HealthPenalty penalty;
  private State state = State.INITIALIZE;
  private Moment now = Moment.DISTANT_PAST;
  private Moment downAt;
  private Moment adverAt;
  private Moment sentAt = Moment.DISTANT_PAST;

  /** Active_Adver_Interval: the Active node's, as heard. */
  private Span activeInterval;

  private Moment preemptFrom = Moment.DISTANT_PAST;
  private Moment takeFrom = Moment.DISTANT_PAST;

  /** The one followed took the address from this node, and has not given it up. */
  private boolean deposed;

  private boolean saidGoodbye;

  /** Since when a worse one has been Active beside this one; null where none is. */
  private Moment worseSince;

  private Moment worseAt = Moment.DISTANT_PAST;

  /**
   * A partner that did not hear this one is followed until then, whatever its priority; doubled
   * each time.
   */
  private Moment followAnyUntil = Moment.DISTANT_PAST;

  private int deafTimes;
  private int assertionsLeft = ASSERTIONS;

  public VirtualRouter(RouterSettings terms, Port port) {
    this.settings = terms;
    this.port = port;
    this.activeInterval = terms.interval();
    this.flaps = new FlapDamping(terms.extensions());
    this.penalty = new HealthPenalty(terms.extensions());
  }

  /** The same router in the same state, acting through another port. */
  protected VirtualRouter(VirtualRouter o, Port port) {
    this.settings = o.settings;
    this.port = port;
    this.flaps = o.flaps.copy(settings.extensions());
    this.penalty = o.penalty.copy(settings.extensions());
    this.state = o.state;
    this.now = o.now;
    this.downAt = o.downAt;
    this.adverAt = o.adverAt;
    this.sentAt = o.sentAt;
    this.activeInterval = o.activeInterval;
    this.preemptFrom = o.preemptFrom;
    this.takeFrom = o.takeFrom;
    this.deposed = o.deposed;
    this.saidGoodbye = o.saidGoodbye;
    this.worseSince = o.worseSince;
    this.worseAt = o.worseAt;
    this.followAnyUntil = o.followAnyUntil;
    this.deafTimes = o.deafTimes;
    this.assertionsLeft = o.assertionsLeft;
    this.counts.activations = o.counts.activations;
  }

  public VirtualRouter copy(Port other) {
    return new VirtualRouter(this, other);
  }

  public RouterSettings settings() {
    return settings;
  }

  public State state() {
    return state;
  }

  public Counts counts() {
    return counts;
  }

  public boolean isUnhealthy() {
    return penalty.isUnwell();
  }

  /** Skew_Time (section 6.1). */
  Span skewTime() {
    return new Span((256L - priority()) * activeInterval.micros() / 256);
  }

  /** Active_Down_Interval (section 6.1). */
  Span activeDownInterval() {
    return activeInterval.times(3).plus(skewTime());
  }

  /** When it wants to be told the time next; null: never, as it is not started. */
  public Moment nextTimer() {
    return state == State.ACTIVE ? adverAt : downAt;
  }

  /**
   * Until when viewers may be served at the shared address without another word from here. A node
   * that stands still cannot know that it was deposed, so what it holds ends by itself: no sooner
   * does any partner take over.
   */
  public Moment leaseExpiry() {
    return state == State.ACTIVE ? sentAt.plus(settings.interval().times(3)) : Moment.DISTANT_PAST;
  }

  /**
   * What stands in its advertisements now: as set up, less what it is unwell, or the mark by which
   * it keeps the address.
   */
  public int priority() {
    if (settings.isOwner()) {
      return RouterSettings.OWNER_PRIORITY;
    }
    int minus = penalty.minus(now);
    if (minus == 0 && state == State.ACTIVE && flaps.holds(now)) {
      return RouterSettings.OWNER_PRIORITY - 1;
    }
    return Math.max(1, settings.priority() - minus);
  }

  /* ---- what happens ---- */

  public void start(Moment at) {
    tell(at);
    if (state == State.INITIALIZE) {
      saidGoodbye = false;
      preemptFrom = now.plus(settings.extensions().preemptDelay());
      takes(settings.isOwner() ? Event.STARTUP_OF_OWNER : Event.STARTUP, null);
    }
  }

  /**
   * The node stops: an Active one says so to its partners, who take over within their Skew_Time.
   */
  public void shutdown(Moment at) {
    tell(at);
    if (state != State.INITIALIZE) {
      takes(Event.SHUTDOWN, null);
    }
  }

  /**
   * Said once more after {@link #shutdown}, where this node was Active then. Guards against a
   * goodbye that is lost, or is overtaken by the advertisement before it, which would cost a whole
   * Active_Down_Interval; partners bear it, as they bear any other of priority 0.
   */
  public void repeatShutdown() {
    if (saidGoodbye && state == State.INITIALIZE) {
      send(0);
    }
  }

  /** What the front says of itself. */
  public void setUnhealthy(boolean isUnwell, Moment at) {
    tell(at);
    penalty.report(isUnwell, now);
  }

  /**
   * Time has passed. What is due happens, or, where it is long overdue, what a node that stood
   * still must do first.
   */
  public void runTimers(Moment at) {
    tell(at);
    Moment due = nextTimer();
    if (due == null || now.before(due)) {
      return;
    }
    if (state == State.ACTIVE) {
      if (deafTimes > 0
          && !now.since(worseAt)
              .under(activeDownInterval().times(settings.extensions().deafAfterIntervals()))) {
        deafTimes = 0; // it has followed since
      }
      takes(Event.ADVER_TIMER, null);
    } else if (now.before(takeFrom)) {
      downAt = takeFrom;
    } else {
      boolean died = deposed;
      takes(Event.ACTIVE_DOWN_TIMER, null);
      if (died) {
        counts.flaps++;
        flaps.flapped(now);
      }
    }
  }

  /** An advertisement for this virtual router from a partner's address. */
  public void receive(Advertisement a, NodeAddress from, Moment at) {
    tell(at);
    if (state == State.INITIALIZE) {
      return;
    }
    if (a.priority() == 0) {
      deposed = false; // it gives up in order
      worseSince = null;
      takes(Event.GIVEN_UP, a);
      return;
    }
    boolean follows =
        state == State.BACKUP
            ? !preempts() || a.priority() >= priority()
            : a.priority() > priority() || a.priority() == priority() && winsTie(from);
    if (state == State.ACTIVE && !follows && isDeaf()) {
      deafTimes = Math.min(deafTimes + 1, 6);
      followAnyUntil =
          now.plus(
              activeDownInterval()
                  .times(settings.extensions().deafAfterIntervals())
                  .times(1 << deafTimes));
      worseSince = null;
      counts.deafPartners++;
      takes(Event.DEAF_PARTNER, a);
      return;
    }
    deposed =
        follows
            && (deposed
                || state == State.ACTIVE); // one that is heard and not followed has not died
    takes(follows ? Event.TO_FOLLOW : Event.NOT_TO_FOLLOW, a);
  }

  /** Ties go to the greater primary address (section 6.4.3). */
  protected boolean winsTie(NodeAddress from) {
    return from.compareTo(settings.primaryAddress()) > 0;
  }

  private boolean preempts() {
    return settings.preemptMode() && !now.before(preemptFrom) && !now.before(followAnyUntil);
  }

  /**
   * A worse one has been Active beside this one for long, though this one asserts itself: it does
   * not hear it. It keeps the address for now, as two that answer for one address are worse than
   * the lesser of both. Guards against loss in one direction; it could hurt where somebody else
   * sends its old advertisements again, so it wants the keyed trailer.
   */
  private boolean isDeaf() {
    int times = settings.extensions().deafAfterIntervals();
    if (times == 0) {
      return false;
    }
    boolean goesOn = worseSince != null && now.since(worseAt).under(activeDownInterval());
    worseSince = goesOn ? worseSince : now;
    worseAt = now;
    return !now.since(worseSince).under(settings.interval().times(times));
  }

  private void tell(Moment at) {
    now = now.orLater(at); // a clock that steps back tells nothing
    Moment due = nextTimer();
    if (!settings.extensions().detectsPauses() || due == null) {
      return;
    }
    // An Active node that said nothing for three intervals may have been deposed; one in Backup
    // that is an interval late
    // has advertisements to read before it may say that none came.
    Span late = now.since(due);
    Span most = state == State.ACTIVE ? settings.interval().times(2) : activeInterval;
    if (!late.under(most)) {
      counts.pauses++;
      deposed = false;
      takes(Event.WOKEN, null);
    }
  }

  /* ---- the table, carried out ---- */

  private void takes(Event event, Advertisement a) {
    Row row = TABLE.getOrDefault(state, Map.of()).get(event);
    if (row == null) {
      return; // section 6.4 has nothing for it
    }
    State before = state;
    state = row.to;
    if (state == State.ACTIVE && before != State.ACTIVE) {
      counts.activations++;
      worseSince = null;
    } else if (before == State.ACTIVE && state == State.BACKUP) {
      counts.stepsDown++;
      takeFrom = now.plus(settings.extensions().retakeDelay());
      preemptFrom = now.plus(settings.extensions().preemptDelay());
    }
    for (Act act : row.acts) {
      act(act, a);
    }
  }

  private void act(Act act, Advertisement a) {
    switch (act) {
      case SEND -> send(priority());
      case SEND_ZERO -> {
        saidGoodbye = true;
        send(0);
      }
      case TAKE -> {
        deposed = false;
        port.acquireAddress(settings.vrid());
      }
      case GIVE_UP -> port.releaseAddress(settings.vrid());
      case LEARN -> activeInterval = a.interval();
      case OWN_INTERVAL -> activeInterval = settings.interval();
      case ARM_ADVER -> {
        adverAt =
            now.plus(
                new Span(
                    settings.interval().micros()
                        / settings.extensions().advertisementsPerInterval()));
        assertionsLeft = ASSERTIONS;
      }
      case ARM_DOWN -> downAt = now.plus(activeDownInterval());
      case ARM_SKEW -> downAt = now.plus(skewTime());
      case DISARM -> {
        downAt = null;
        adverAt = null;
      }
      case ASSERT -> {
        // Said at once (6.4.3), but only so often: whoever sends copies must not make this node
        // send as many.
        if (assertionsLeft > 0) {
          assertionsLeft--;
          send(priority());
          port.announceAddress(settings.vrid());
        }
      }
    }
  }

  private void send(int priority) {
    sentAt = now;
    counts.advertisementsSent++;
    port.send(
        new Advertisement(settings.vrid(), priority, settings.interval(), settings.addresses()));
  }

  /** What tells two states apart, with moments as seen from a moment; for exploring. */
  public List<Long> fingerprint(Moment from) {
    long far = settings.interval().micros() * 1000;
    return List.of(
        (long) state.ordinal(),
        ahead(downAt, from, far),
        ahead(adverAt, from, far),
        state == State.ACTIVE ? ahead(sentAt, from, far) : 0,
        activeInterval.micros(),
        ahead(preemptFrom, from, far),
        ahead(takeFrom, from, far),
        deposed ? 1L : 0L,
        ahead(worseSince, from, far),
        ahead(worseAt, from, far),
        ahead(followAnyUntil, from, far),
        (long) deafTimes * 16 + assertionsLeft,
        flaps.mark(from),
        penalty.mark());
  }

  private static long ahead(Moment m, Moment from, long far) {
    return m == null ? Long.MIN_VALUE : Math.max(-far, Math.min(far, m.since(from).micros()));
  }
}
