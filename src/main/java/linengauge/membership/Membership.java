package linengauge.membership;

import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.membership.Datagram.Kind;

/**
 * Who of the fleet is there, as one front holds it: SWIM's pings, indirect pings, suspicion and
 * updates sent on with them (Das and others 2002), made aware of its own slowness (Lifeguard,
 * Dadgar and others 2017). It is told the time, has its next timer read by {@link #nextStep}, and
 * acts through {@link Port}. Added to the papers, each at its place: a front that stood still takes
 * its waits anew; word of a death is a suspicion to whoever has not suspected; those gone are
 * called on again.
 *
 * <p>Split by concern: {@link MemberTable} is what is held, {@link FailureDetector} pings, {@link
 * UpdateHandler} weighs updates, {@link Dissemination} sends them on, {@link Reconnection} calls on
 * those gone.
 */
public class Membership {
  /** What it acts through. */
  public interface Port {
    void send(String address, Datagram datagram);

    /** Another is held for something else than before. */
    void stateChanged(MemberUpdate update);

    /** Another process goes by this one's number, from that address. */
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
   * @param incarnation higher than in any earlier life of this front: the wall's clock in
   *     milliseconds
   * @param seeds addresses to begin with, and to turn to when nobody is there
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

  /** Tells some that it leaves; nothing more is sent of its own accord. */
  public void leave(Moment now) {
    own.leave();
    dissemination.add(own.update());
    for (MemberEntry entry : table.sampleAlive(settings.helpers(), MemberTable.NO_EXCLUSION)) {
      int sequence = dissemination.nextSequence();
      dissemination.send(Kind.PING, entry.address(), sequence, 0, List.of(own.update()));
    }
  }

  /** The moment at which it wants to be stepped, at the latest. */
  public Moment nextStep() {
    Moment next = FailureDetector.earliest(detector.nextStep(), reconnection.nextStep());
    for (MemberEntry entry : table.all()) {
      if (entry.suspicion() != null) {
        next = FailureDetector.earliest(next, entry.suspicion().endsAt());
      }
    }
    return next;
  }

  /** All that is held of others, by number. */
  public List<MemberUpdate> members() {
    return table.updates();
  }

  public long incarnation() {
    return own.incarnation();
  }

  /** Members that were not taken in since there were too many. */
  public int rejectedMembers() {
    return table.rejected();
  }

  /** How slow this front takes itself to be, from 0. */
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
    if (!now.before(reconnection.nextStep())) {
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
   * Guards against a front that was stopped and then acts on waits in which it could hear nobody:
   * all of them begin anew, and it takes itself for slow. It could hurt where steps are late by
   * habit: deaths would be found late, as they should.
   */
  private void checkProcessPause(Moment now) {
    Span late = now.since(nextStep());
    if (!isProcessPause(late)) {
      return;
    }
    health.degrade(1);
    detector.restart(now);
    table.extendSuspicions(late);
    reconnection.setNextStep(now.orLater(reconnection.nextStep()));
  }

  /** A datagram has come, proved to be of the fleet, from that address. */
  public void onDatagram(Moment now, String address, Datagram datagram) {
    checkProcessPause(now);
    if (datagram.from() == own.number()) {
      if (!address.equals(own.address())) {
        port.numberConflict(address);
      }
      return;
    }
    boolean sendOn = datagram.kind() != Kind.PAGE;
    for (MemberUpdate update : datagram.updates()) {
      updates.onUpdate(update, now, sendOn);
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

  /* ---- guards; a test takes them out one by one ---- */

  /** A step that is so late. */
  protected boolean isProcessPause(Span late) {
    return !late.under(settings.answer());
  }

  /** Whether a death that it has only heard of is a suspicion to it. */
  protected boolean verifiesReportedDeaths() {
    return true;
  }

  /** Whether it speaks against what is not so. */
  protected boolean refutes() {
    return true;
  }
}
