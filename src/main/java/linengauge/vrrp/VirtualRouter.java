package linengauge.vrrp;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import linengauge.Moment;
import linengauge.Span;

/**
 * One virtual router on this node: the state machine of RFC 9568, section 6.4, with extensions. It
 * is passed the time, keeps its timers as moments, and acts through {@link Port}. Every call first
 * advances it to the moment passed.
 */
public class VirtualRouter {
  /** The states of section 6.3. */
  public enum State {
    INITIALIZE,
    BACKUP,
    ACTIVE
  }

  /**
   * The inputs of the state machine. Advertisements are classified by what they mean to this node
   * in its state.
   */
  enum Event {
    STARTUP,
    STARTUP_OF_OWNER,
    SHUTDOWN,
    ACTIVE_DOWN_TIMER,
    ADVER_TIMER,
    /** An advertisement of priority 0: the Active node stops being Active. */
    PRIORITY_ZERO,
    /**
     * An advertisement to follow. In Backup: its priority is not lower, or this node does not
     * preempt; in Active: its priority is higher, or equal with a greater address.
     */
    SUPERIOR,
    /** Any other advertisement. */
    INFERIOR,
    /** Extension: this node was paused for so long that it must assume that it was deposed. */
    PAUSE_DETECTED,
    /** Extension: the partner does not receive this node's advertisements. */
    DEAF_PARTNER
  }

  private enum Action {
    SEND,
    SEND_ZERO,
    ACQUIRE_ADDRESS,
    RELEASE_ADDRESS,
    LEARN_INTERVAL,
    RESET_INTERVAL,
    SET_ADVER_TIMER,
    SET_ACTIVE_DOWN_TIMER,
    SET_SKEW_TIMER,
    CANCEL_TIMERS,
    ASSERT_PRIORITY
  }

  private record Transition(State target, List<Action> actions) {}

  private static final Map<State, Map<Event, Transition>> TRANSITIONS = new EnumMap<>(State.class);

  private static void transition(State from, Event event, State to, Action... actions) {
    TRANSITIONS
        .computeIfAbsent(from, state -> new EnumMap<>(Event.class))
        .put(event, new Transition(to, List.of(actions)));
  }

  static {
    // 6.4.1 Initialize
    transition(
        State.INITIALIZE,
        Event.STARTUP_OF_OWNER,
        State.ACTIVE,
        Action.SEND,
        Action.ACQUIRE_ADDRESS,
        Action.SET_ADVER_TIMER);
    transition(
        State.INITIALIZE,
        Event.STARTUP,
        State.BACKUP,
        Action.RESET_INTERVAL,
        Action.SET_ACTIVE_DOWN_TIMER);
    // 6.4.2 Backup
    transition(State.BACKUP, Event.SHUTDOWN, State.INITIALIZE, Action.CANCEL_TIMERS);
    transition(
        State.BACKUP,
        Event.ACTIVE_DOWN_TIMER,
        State.ACTIVE,
        Action.SEND,
        Action.ACQUIRE_ADDRESS,
        Action.SET_ADVER_TIMER);
    transition(State.BACKUP, Event.PRIORITY_ZERO, State.BACKUP, Action.SET_SKEW_TIMER);
    transition(
        State.BACKUP,
        Event.SUPERIOR,
        State.BACKUP,
        Action.LEARN_INTERVAL,
        Action.SET_ACTIVE_DOWN_TIMER);
    transition(State.BACKUP, Event.INFERIOR, State.BACKUP);
    // Advertisements that arrived during the pause have yet to be read.
    transition(State.BACKUP, Event.PAUSE_DETECTED, State.BACKUP, Action.SET_ACTIVE_DOWN_TIMER);
    // 6.4.3 Active
    transition(
        State.ACTIVE,
        Event.SHUTDOWN,
        State.INITIALIZE,
        Action.CANCEL_TIMERS,
        Action.SEND_ZERO,
        Action.RELEASE_ADDRESS);
    transition(State.ACTIVE, Event.ADVER_TIMER, State.ACTIVE, Action.SEND, Action.SET_ADVER_TIMER);
    transition(
        State.ACTIVE, Event.PRIORITY_ZERO, State.ACTIVE, Action.SEND, Action.SET_ADVER_TIMER);
    transition(
        State.ACTIVE,
        Event.SUPERIOR,
        State.BACKUP,
        Action.RELEASE_ADDRESS,
        Action.LEARN_INTERVAL,
        Action.SET_ACTIVE_DOWN_TIMER);
    transition(State.ACTIVE, Event.INFERIOR, State.ACTIVE, Action.ASSERT_PRIORITY);
    transition(
        State.ACTIVE,
        Event.PAUSE_DETECTED,
        State.BACKUP,
        Action.RELEASE_ADDRESS,
        Action.RESET_INTERVAL,
        Action.SET_ACTIVE_DOWN_TIMER);
    transition(
        State.ACTIVE,
        Event.DEAF_PARTNER,
        State.BACKUP,
        Action.RELEASE_ADDRESS,
        Action.LEARN_INTERVAL,
        Action.SET_ACTIVE_DOWN_TIMER);
  }

  /**
   * The actions of the router on its node. No call may lead to a call of the router before it has
   * returned.
   */
  public interface Port {
    /** Sends an advertisement to all partners. */
    void send(Advertisement advert);

    /**
     * Makes the shared address this node's own and announces it to whoever forwards traffic to it.
     */
    void acquireAddress(int vrid);

    /** Announces the shared address again, because another node claims it. */
    void announceAddress(int vrid);

    /** Releases the shared address. */
    void releaseAddress(int vrid);
  }

  /** Counters since the start. */
  public static final class Counts {
    public long activations;
    public long stepsDown;
    public long advertisementsSent;
    public long pauses;
    public long deafPartners;
    public long flaps;
  }

  /** The maximum number of answers to inferior advertisements in one advertisement interval. */
  private static final int MAX_ASSERTIONS_PER_INTERVAL = 4;

  private final RouterSettings settings;
  private final Port port;
  private final Counts counts = new Counts();
  private FlapDamping flapDamping;
  private HealthPenalty healthPenalty;
  private State state = State.INITIALIZE;
  private Moment now = Moment.DISTANT_PAST;
  private Moment activeDownTimer;
  private Moment adverTimer;
  private Moment lastSentAt = Moment.DISTANT_PAST;

  /** Active_Adver_Interval: the interval received from the Active node. */
  private Span activeAdverInterval;

  private Moment preemptAllowedFrom = Moment.DISTANT_PAST;
  private Moment retakeAllowedFrom = Moment.DISTANT_PAST;

  /** Whether the partner that is followed took over from this node and has not stepped down. */
  private boolean deposed;

  private boolean shutdownAdvertised;

  /** Since when a partner of lower priority has been Active beside this node; null: none is. */
  private Moment inferiorActiveSince;

  private Moment inferiorActiveSeenAt = Moment.DISTANT_PAST;

  /**
   * Until when any partner is followed, whatever its priority, as one was found to be deaf; the
   * time doubles on each repetition.
   */
  private Moment followAnyUntil = Moment.DISTANT_PAST;

  private int deafBackoffExponent;
  private int assertionsLeft = MAX_ASSERTIONS_PER_INTERVAL;

  public VirtualRouter(RouterSettings settings, Port port) {
    this.settings = settings;
    this.port = port;
    this.activeAdverInterval = settings.interval();
    this.flapDamping = new FlapDamping(settings.extensions());
    this.healthPenalty = new HealthPenalty(settings.extensions());
  }

  /** Copies a router with its state; the copy acts through another port. */
  protected VirtualRouter(VirtualRouter other, Port port) {
    this.settings = other.settings;
    this.port = port;
    this.flapDamping = other.flapDamping.copy(settings.extensions());
    this.healthPenalty = other.healthPenalty.copy(settings.extensions());
    this.state = other.state;
    this.now = other.now;
    this.activeDownTimer = other.activeDownTimer;
    this.adverTimer = other.adverTimer;
    this.lastSentAt = other.lastSentAt;
    this.activeAdverInterval = other.activeAdverInterval;
    this.preemptAllowedFrom = other.preemptAllowedFrom;
    this.retakeAllowedFrom = other.retakeAllowedFrom;
    this.deposed = other.deposed;
    this.shutdownAdvertised = other.shutdownAdvertised;
    this.inferiorActiveSince = other.inferiorActiveSince;
    this.inferiorActiveSeenAt = other.inferiorActiveSeenAt;
    this.followAnyUntil = other.followAnyUntil;
    this.deafBackoffExponent = other.deafBackoffExponent;
    this.assertionsLeft = other.assertionsLeft;
    this.counts.activations = other.counts.activations;
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
    return healthPenalty.isUnhealthy();
  }

  /** Skew_Time (section 6.1). */
  Span skewTime() {
    return new Span((256L - priority()) * activeAdverInterval.micros() / 256);
  }

  /** Active_Down_Interval (section 6.1). */
  Span activeDownInterval() {
    return activeAdverInterval.times(3).plus(skewTime());
  }

  /** Returns when the next timer expires, or null in Initialize. */
  public Moment nextTimer() {
    return state == State.ACTIVE ? adverTimer : activeDownTimer;
  }

  /**
   * Returns until when viewers may be served at the shared address unless it is renewed. A paused
   * node cannot know that it was deposed, so its lease on the address expires by itself, no later
   * than any partner takes over.
   */
  public Moment leaseExpiry() {
    return state == State.ACTIVE
        ? lastSentAt.plus(settings.interval().times(3))
        : Moment.DISTANT_PAST;
  }

  /**
   * Returns the priority that is advertised: the configured one less the reduction for poor health,
   * or one below the owner's while flap damping holds the address.
   */
  public int priority() {
    if (settings.isOwner()) {
      return RouterSettings.OWNER_PRIORITY;
    }
    int reduction = healthPenalty.priorityReduction(now);
    if (reduction == 0 && state == State.ACTIVE && flapDamping.isHolding(now)) {
      return RouterSettings.OWNER_PRIORITY - 1;
    }
    return Math.max(1, settings.priority() - reduction);
  }

  /* ---- inputs ---- */

  public void start(Moment at) {
    advanceTo(at);
    if (state == State.INITIALIZE) {
      shutdownAdvertised = false;
      preemptAllowedFrom = now.plus(settings.extensions().preemptDelay());
      handle(settings.isOwner() ? Event.STARTUP_OF_OWNER : Event.STARTUP, null);
    }
  }

  /**
   * Stops the router. An Active one advertises this, so that its partners take over within their
   * Skew_Time.
   */
  public void shutdown(Moment at) {
    advanceTo(at);
    if (state != State.INITIALIZE) {
      handle(Event.SHUTDOWN, null);
    }
  }

  /**
   * Repeats the advertisement of priority 0 after {@link #shutdown} if this node was Active then.
   * If the only one were lost, or overtaken by the advertisement before it, the takeover would last
   * a whole Active_Down_Interval. A repeated advertisement of priority 0 does partners no harm.
   */
  public void repeatShutdown() {
    if (shutdownAdvertised && state == State.INITIALIZE) {
      send(0);
    }
  }

  /** Reports the health of this front. */
  public void setUnhealthy(boolean isUnhealthy, Moment at) {
    advanceTo(at);
    healthPenalty.report(isUnhealthy, now);
  }

  /** Runs what is due, or, if that is long overdue, first does what a paused node has to do. */
  public void runTimers(Moment at) {
    advanceTo(at);
    Moment due = nextTimer();
    if (due == null || now.isBefore(due)) {
      return;
    }
    if (state == State.ACTIVE) {
      if (deafBackoffExponent > 0
          && !now.since(inferiorActiveSeenAt)
              .isShorterThan(
                  activeDownInterval().times(settings.extensions().deafAfterIntervals()))) {
        // The partner has followed this node since.
        deafBackoffExponent = 0;
      }
      handle(Event.ADVER_TIMER, null);
    } else if (now.isBefore(retakeAllowedFrom)) {
      activeDownTimer = retakeAllowedFrom;
    } else {
      boolean partnerFailed = deposed;
      handle(Event.ACTIVE_DOWN_TIMER, null);
      if (partnerFailed) {
        counts.flaps++;
        flapDamping.recordFlap(now);
      }
    }
  }

  /** Handles an advertisement for this virtual router from a partner's address. */
  public void receive(Advertisement advertisement, NodeAddress from, Moment at) {
    advanceTo(at);
    if (state == State.INITIALIZE) {
      return;
    }
    if (advertisement.priority() == 0) {
      // The partner stops being Active in an orderly way.
      deposed = false;
      inferiorActiveSince = null;
      handle(Event.PRIORITY_ZERO, advertisement);
      return;
    }
    boolean isSuperior =
        state == State.BACKUP
            ? !mayPreempt() || advertisement.priority() >= priority()
            : advertisement.priority() > priority()
                || advertisement.priority() == priority() && winsTie(from);
    if (state == State.ACTIVE && !isSuperior && isPartnerDeaf()) {
      deafBackoffExponent = Math.min(deafBackoffExponent + 1, 6);
      followAnyUntil =
          now.plus(
              activeDownInterval()
                  .times(settings.extensions().deafAfterIntervals())
                  .times(1 << deafBackoffExponent));
      inferiorActiveSince = null;
      counts.deafPartners++;
      handle(Event.DEAF_PARTNER, advertisement);
      return;
    }
    // A partner that is received and not followed has not failed.
    deposed = isSuperior && (deposed || state == State.ACTIVE);
    handle(isSuperior ? Event.SUPERIOR : Event.INFERIOR, advertisement);
  }

  /**
   * Returns whether a partner of equal priority is followed: the greater primary address wins
   * (section 6.4.3).
   */
  protected boolean winsTie(NodeAddress from) {
    return from.compareTo(settings.primaryAddress()) > 0;
  }

  private boolean mayPreempt() {
    return settings.preemptMode()
        && !now.isBefore(preemptAllowedFrom)
        && !now.isBefore(followAnyUntil);
  }

  /**
   * Returns whether a partner of lower priority has been Active beside this node for so long,
   * although this node asserts itself, that it cannot be receiving this node. The partner then
   * keeps the address for a time, because two nodes that answer for one address are worse than the
   * node of lower priority alone. This covers loss in one direction. Someone who replays the
   * partner's old advertisements could exploit it, so it should be used with the keyed trailer.
   */
  private boolean isPartnerDeaf() {
    int intervals = settings.extensions().deafAfterIntervals();
    if (intervals == 0) {
      return false;
    }
    boolean continues =
        inferiorActiveSince != null
            && now.since(inferiorActiveSeenAt).isShorterThan(activeDownInterval());
    inferiorActiveSince = continues ? inferiorActiveSince : now;
    inferiorActiveSeenAt = now;
    return !now.since(inferiorActiveSince).isShorterThan(settings.interval().times(intervals));
  }

  private void advanceTo(Moment at) {
    // A clock that steps back is ignored.
    now = now.max(at);
    Moment due = nextTimer();
    if (!settings.extensions().detectsPauses() || due == null) {
      return;
    }
    // An Active node that sent nothing for three intervals may have been deposed. A node in Backup
    // that is an interval late has advertisements to read before it may conclude that none
    // arrived.
    Span delay = now.since(due);
    Span maxDelay = state == State.ACTIVE ? settings.interval().times(2) : activeAdverInterval;
    if (!delay.isShorterThan(maxDelay)) {
      counts.pauses++;
      deposed = false;
      handle(Event.PAUSE_DETECTED, null);
    }
  }

  /* ---- state transitions ---- */

  private void handle(Event event, Advertisement advertisement) {
    Transition transition = TRANSITIONS.getOrDefault(state, Map.of()).get(event);
    if (transition == null) {
      // Section 6.4 defines no transition for it.
      return;
    }
    State previous = state;
    state = transition.target;
    if (state == State.ACTIVE && previous != State.ACTIVE) {
      counts.activations++;
      inferiorActiveSince = null;
    } else if (previous == State.ACTIVE && state == State.BACKUP) {
      counts.stepsDown++;
      retakeAllowedFrom = now.plus(settings.extensions().retakeDelay());
      preemptAllowedFrom = now.plus(settings.extensions().preemptDelay());
    }
    for (Action action : transition.actions) {
      perform(action, advertisement);
    }
  }

  private void perform(Action action, Advertisement advertisement) {
    switch (action) {
      case SEND -> send(priority());
      case SEND_ZERO -> {
        shutdownAdvertised = true;
        send(0);
      }
      case ACQUIRE_ADDRESS -> {
        deposed = false;
        port.acquireAddress(settings.vrid());
      }
      case RELEASE_ADDRESS -> port.releaseAddress(settings.vrid());
      case LEARN_INTERVAL -> activeAdverInterval = advertisement.interval();
      case RESET_INTERVAL -> activeAdverInterval = settings.interval();
      case SET_ADVER_TIMER -> {
        adverTimer =
            now.plus(
                new Span(
                    settings.interval().micros()
                        / settings.extensions().advertisementsPerInterval()));
        assertionsLeft = MAX_ASSERTIONS_PER_INTERVAL;
      }
      case SET_ACTIVE_DOWN_TIMER -> activeDownTimer = now.plus(activeDownInterval());
      case SET_SKEW_TIMER -> activeDownTimer = now.plus(skewTime());
      case CANCEL_TIMERS -> {
        activeDownTimer = null;
        adverTimer = null;
      }
      case ASSERT_PRIORITY -> {
        // The answer is sent at once (section 6.4.3), but limited in number, so that repeated
        // advertisements do not make this node send as many.
        if (assertionsLeft > 0) {
          assertionsLeft--;
          send(priority());
          port.announceAddress(settings.vrid());
        }
      }
    }
  }

  private void send(int priority) {
    lastSentAt = now;
    counts.advertisementsSent++;
    port.send(
        new Advertisement(settings.vrid(), priority, settings.interval(), settings.addresses()));
  }

  /**
   * Returns values that differ between states that behave differently, with moments relative to the
   * given one; used for exploration.
   */
  public List<Long> fingerprint(Moment from) {
    long limit = settings.interval().micros() * 1000;
    return List.of(
        (long) state.ordinal(),
        offset(activeDownTimer, from, limit),
        offset(adverTimer, from, limit),
        state == State.ACTIVE ? offset(lastSentAt, from, limit) : 0,
        activeAdverInterval.micros(),
        offset(preemptAllowedFrom, from, limit),
        offset(retakeAllowedFrom, from, limit),
        deposed ? 1L : 0L,
        offset(inferiorActiveSince, from, limit),
        offset(inferiorActiveSeenAt, from, limit),
        offset(followAnyUntil, from, limit),
        (long) deafBackoffExponent * 16 + assertionsLeft,
        flapDamping.fingerprint(from),
        healthPenalty.fingerprint());
  }

  private static long offset(Moment moment, Moment from, long limit) {
    return moment == null
        ? Long.MIN_VALUE
        : Math.max(-limit, Math.min(limit, moment.since(from).micros()));
  }
}
