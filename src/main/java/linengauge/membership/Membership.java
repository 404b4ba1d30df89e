package linengauge.membership;

import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.membership.Datagram.Kind;

/**
 * Membership of the fleet as one front sees it: SWIM's direct and indirect probes, suspicion and
 * piggybacked updates (Das et al. 2002), with Lifeguard's awareness of local health (Dadgar et al.
 * 2017). It has no clock of its own: callers pass the time and read the next timer from {@link
 * #nextStep}; effects go through {@link Port}. It extends the papers in three points: a front that
 * was paused restarts its timeouts, a reported death is only a suspicion to a front that has not
 * suspected the member before, and absent members are contacted again.
 *
 * <p>{@link MemberTable} holds the state, {@link FailureDetector} probes members, {@link
 * UpdateHandler} evaluates updates, {@link Dissemination} sends them on, and {@link Reconnection}
 * contacts absent members.
 */
public class Membership {
  /** Effects of the membership protocol on its environment. */
  public interface Port {
    void send(String address, Datagram datagram);

    /** Called when the state or the incarnation of another member has changed. */
    void stateChanged(MemberUpdate update);

    /** Called when another process at that address uses this member's number. */
    void numberConflict(String address);
  }

  private final MembershipSettings settings;
  private final OwnMember own;
  private final Port port;
  private final LocalHealth health;
  private final MemberTable table;
  private final Dissemination dissemination;
  private final FailureDetector detector;
  private final UpdateHandler updates;
  private final Reconnection reconnection;

  /**
   * @param incarnation higher than in any earlier run of this front, such as the wall clock in
   *     milliseconds
   * @param seeds addresses contacted at startup and whenever no other member is reachable
   */
  public Membership(
      MembershipSettings settings,
      Member own,
      long incarnation,
      List<String> seeds,
      Port port,
      SplittableRandom random) {
    this.settings = settings;
    this.own = new OwnMember(own, incarnation);
    this.port = port;
    this.health = new LocalHealth(settings.healthMost());
    this.table = new MemberTable(settings.most(), random);
    this.dissemination = new Dissemination(settings, own.number(), port, table);
    this.detector = new FailureDetector(settings, table, dissemination, health, random);
    this.updates = new UpdateHandler(this, settings, this.own, table, dissemination, health, port);
    this.reconnection = new Reconnection(settings, this.own, seeds, table, dissemination, random);
  }

  public void start(Moment now) {
    detector.setPeriodEnd(now);
    reconnection.setNextStep(now);
    dissemination.add(own.update());
    step(now);
  }

  /** Announces to some members that this one leaves. After that it only sends responses. */
  public void leave(Moment now) {
    own.leave();
    dissemination.add(own.update());
    for (MemberEntry entry : table.sampleAlive(settings.helpers(), MemberTable.NO_EXCLUSION)) {
      int sequence = dissemination.nextSequence();
      dissemination.send(Kind.PING, entry.address(), sequence, 0, List.of(own.update()));
    }
  }

  /** Returns the time by which {@link #step} has to be called. */
  public Moment nextStep() {
    Moment next = FailureDetector.earliest(detector.nextStep(), reconnection.nextStep());
    for (MemberEntry entry : table.all()) {
      if (entry.suspicion() != null) {
        next = FailureDetector.earliest(next, entry.suspicion().endsAt());
      }
    }
    return next;
  }

  /** Returns the current update of every other member, ordered by number. */
  public List<MemberUpdate> members() {
    return table.updates();
  }

  public long incarnation() {
    return own.incarnation();
  }

  /** Number of members rejected because the table was full. */
  public int rejectedMembers() {
    return table.rejected();
  }

  /** Returns the local health score; 0 is healthy. */
  public int healthScore() {
    return health.score();
  }

  public void step(Moment now) {
    checkProcessPause(now);
    if (own.hasLeft()) {
      Moment next = now.plus(settings.period());
      detector.setPeriodEnd(next);
      reconnection.setNextStep(next);
      return;
    }
    updates.expireSuspicions(now);
    detector.sendNaks(now);
    detector.probeIndirectly(now);
    if (detector.isPeriodOver(now)) {
      startPeriod(now);
    }
    if (!now.isBefore(reconnection.nextStep())) {
      reconnection.step(now);
    }
  }

  private void startPeriod(Moment now) {
    MemberEntry unresponsive = detector.endProbe();
    if (unresponsive != null) {
      updates.suspect(unresponsive, own.number(), unresponsive.update().incarnation(), now);
    }
    dissemination.startPeriod();
    reconnection.startPeriod();
    table.removeExpired(now, settings.deadKept());
    detector.startPeriod(now);
  }

  /**
   * Restarts all timeouts after a process pause and raises the local health score. A front that
   * acted on timeouts which ran out while it could not receive anything would suspect healthy
   * members. The cost: where steps are habitually late, deaths are detected late, as they should be
   * by such a front.
   */
  private void checkProcessPause(Moment now) {
    Span late = now.since(nextStep());
    if (!isProcessPause(late)) {
      return;
    }
    health.degrade(1);
    detector.restart(now);
    table.extendSuspicions(late);
    reconnection.setNextStep(now.max(reconnection.nextStep()));
  }

  /** Handles an authenticated datagram from the given address. */
  public void onDatagram(Moment now, String address, Datagram datagram) {
    checkProcessPause(now);
    if (datagram.from() == own.number()) {
      if (!address.equals(own.address())) {
        port.numberConflict(address);
      }
      return;
    }
    boolean disseminate = datagram.kind() != Kind.PAGE;
    for (MemberUpdate update : datagram.updates()) {
      updates.onUpdate(update, now, disseminate);
    }
    switch (datagram.kind()) {
      case PING -> dissemination.respond(Kind.ACK, address, datagram.sequence(), 0, List.of());
      case ACK -> detector.onAck(datagram.sequence());
      case NAK -> detector.onNak(datagram.sequence());
      case ASK -> detector.onPingRequest(address, datagram, now);
      case PULL -> reconnection.onPageRequest(address, datagram);
      case PAGE -> reconnection.onPage(address, datagram);
    }
  }

  /* ---- safeguards; overridden by tests to disable them one at a time ---- */

  /** Whether a step this late means that the process was paused. */
  protected boolean isProcessPause(Span late) {
    return !late.isShorterThan(settings.answer());
  }

  /** Whether a death reported by another front is treated as a suspicion first. */
  protected boolean verifiesReportedDeaths() {
    return true;
  }

  /** Whether this front refutes false updates about itself. */
  protected boolean refutes() {
    return true;
  }
}
