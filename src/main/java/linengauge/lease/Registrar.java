package linengauge.lease;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.Span;
import linengauge.membership.Member;

/**
 * A control machine's part in membership by lease (docs/design/lease.md): answers heartbeats,
 * proposes registrations and leavings in batches, tells the other control machines whom it heard,
 * and as the leader lets leases expire.
 */
public class Registrar {
  /** What it acts through. */
  public interface Port extends LeasePort {
    /** Has that decided; at its end told whether it was, or was given up on and may still be. */
    void propose(byte[] decision, Consumer<Boolean> ended);
  }

  /**
   * What it has done so far.
   *
   * @param evidence datagrams of evidence sent
   * @param changes proposed, however often each
   * @param refused heartbeats of members that cannot be
   */
  public record Figures(
      long heartbeats,
      long acknowledgements,
      long evidence,
      long proposals,
      long changes,
      long refused) {}

  private static final Moment NEVER = new Moment(Long.MAX_VALUE / 4);

  private final LeaseSettings settings;
  private final int own;
  private final List<ControlMachine> others;
  private final MemberDirectory directory;
  private final Port port;
  private final long life;
  private final Set<Integer> controlNumbers = new HashSet<>();
  private final SplittableRandom chance;
  private final LeaseTable table = new LeaseTable();
  private final EvidenceExchange exchange;
  private final ChangeBatcher batcher;
  private final RegionWatch regions;
  private final LeaseExpiry expiry;

  private Moment now = Moment.DISTANT_PAST;
  private Moment dueAt = NEVER;
  private Moment evidenceAt = NEVER;
  private int controlLeader = MemberDirectory.NOBODY;
  private Moment sureAt = Moment.DISTANT_PAST;
  private Moment trustsAgeFrom = Moment.DISTANT_PAST;
  private long termSeen;
  private boolean ledBefore;
  private Moment termSeenAt = Moment.DISTANT_PAST;

  /** All leases run at the least from here on. */
  private Moment leasesFrom = Moment.DISTANT_PAST;

  private long heartbeats;
  private long acknowledgements;
  private long evidence;
  private long refused;

  /**
   * @param own its number among all
   * @param directory that the log's decisions change
   */
  public Registrar(
      LeaseSettings settings,
      int own,
      List<ControlMachine> all,
      MemberDirectory directory,
      Port port,
      SplittableRandom chance) {
    this.settings = settings;
    this.own = own;
    this.others = all.stream().filter(machine -> machine.number() != own).toList();
    this.directory = directory;
    this.port = port;
    this.chance = chance;
    this.life = chance.nextLong();
    all.forEach(machine -> controlNumbers.add(machine.number()));
    exchange = new EvidenceExchange(settings, own, others, chance);
    batcher = new ChangeBatcher(settings, directory);
    regions = new RegionWatch(settings, own, all, exchange);
    expiry = new LeaseExpiry(settings, directory, table, regions);
  }

  /** Begins; the first exchange follows within one period. */
  public void start(Moment at) {
    now = at;
    leasesFrom = at;
    evidenceAt = at.plus(settings.evidence().times(chance.nextDouble()));
    followDirectory();
    dueAt = next();
  }

  /** The moment at which it wants to be stepped, at the latest. */
  public Moment next() {
    Moment batch = batcher.next();
    return batch == null || evidenceAt.isBefore(batch) ? evidenceAt : batch;
  }

  /** Does what is due. */
  public void step(Moment at) {
    arrive(at);
    batcher.giveUpLate(now);
    if (!now.isBefore(evidenceAt)) {
      Moment following = evidenceAt.plus(settings.evidence());
      evidenceAt = now.isBefore(following) ? following : now.plus(settings.evidence());
      exchangeEvidence();
      judge();
    }
    if (batcher.isDue(now)) {
      propose();
    }
    dueAt = next();
  }

  private void arrive(Moment at) {
    if (stoodStill(dueAt, at)) {
      leasesFrom = leasesFrom.max(at);
      trustsAgeFrom = at.plus(settings.evidence());
    }
    now = at;
    dueAt = dueAt.max(at); // counted once
  }

  /**
   * Guards against taking for the fronts' silence what was this process's own: after a pause all
   * leases are taken anew. Hurts by a lease more until whoever did fall silent is let go.
   */
  protected boolean stoodStill(Moment due, Moment at) {
    return due.plus(settings.heartbeat().times(0.5)).isBefore(at);
  }

  /**
   * Guards against the log's messages that queued while this process stood still: read now, they
   * seem to have been sent now. Hurts by half a second in which nothing is granted.
   */
  protected boolean trustsAge() {
    return !now.isBefore(trustsAgeFrom);
  }

  /**
   * What the log's follower knows.
   *
   * @param leader who leads the log, or -1
   * @param age for how long, at the most, the directory may be out of date
   */
  public void control(Moment at, int leader, Span age) {
    arrive(at);
    controlLeader = leader;
    if (trustsAge()) {
      sureAt = sureAt.max(at.minus(age));
    }
    dueAt = next();
  }

  /** The directory has changed. */
  public void decided(Moment at) {
    arrive(at);
    followDirectory();
    batcher.dropNeedless(now);
    dueAt = next();
  }

  private void followDirectory() {
    regions.follow(directory.unreachable(), now);
    if (directory.term() == termSeen) {
      return;
    }
    termSeen = directory.term();
    termSeenAt = now;
    if (leads() && !ledBefore) {
      leasesFrom = leasesFrom.max(takeoverUntil(now));
    }
    ledBefore = leads();
  }

  /**
   * Guards against leases that the leader before still confirmed, unheard of here. Hurts by as much
   * more until whoever fell silent about then is let go.
   */
  protected Moment takeoverUntil(Moment leadingSince) {
    return leadingSince.plus(settings.takeover());
  }

  /** Whether this process, in this life, is the one that grants leases and lets them expire. */
  private boolean leads() {
    return directory.leader() == own && directory.leaderLife() == life;
  }

  private Span age() {
    return now.since(sureAt);
  }

  /**
   * Guards against granting by a leader's word that is deposed: the directory is so fresh that a
   * leader who followed still waits. Hurts where the log has no majority: nothing is granted then.
   */
  protected boolean isFresh() {
    return !settings.takeover().isShorterThan(age());
  }

  /** A datagram came. */
  public void heard(Moment at, String address, LeaseMessage message) {
    arrive(at);
    followDirectory();
    if (message instanceof LeaseMessage.Heartbeat heartbeat) {
      heartbeats++;
      if (isPossible(heartbeat)) {
        answer(address, heartbeat);
      } else {
        refused++;
      }
    } else if (message instanceof LeaseMessage.Evidence told && exchange.knows(told.from())) {
      takeEvidence(told);
    }
    dueAt = next();
  }

  private boolean isPossible(LeaseMessage.Heartbeat heartbeat) {
    Member member = heartbeat.member();
    return !controlNumbers.contains(member.number())
        && member.number() >= 0
        && member.number() <= Layout.MOST_NUMBER
        && member.zone() >= 0
        && member.zone() <= Layout.MOST_ZONE
        && member.region() >= 0
        && member.region() <= Layout.MOST_REGION
        && heartbeat.incarnation() > 0
        && heartbeat.incarnation() <= Layout.MOST_LONG;
  }

  private void answer(String address, LeaseMessage.Heartbeat heartbeat) {
    DirectoryEntry entry = directory.entry(heartbeat.member().number());
    LeaseMessage.Registration registration = registration(entry, heartbeat);
    Span remaining = Span.NONE;
    switch (registration) {
      case HELD -> remaining = hear(entry, heartbeat);
      case PENDING -> register(heartbeat);
      default -> {
        // that life is over
      }
    }
    acknowledgements++;
    port.send(address, acknowledgement(heartbeat, entry, registration, remaining));
  }

  private LeaseMessage.Registration registration(
      DirectoryEntry entry, LeaseMessage.Heartbeat heartbeat) {
    if (entry == null || entry.incarnation() < heartbeat.incarnation()) {
      return LeaseMessage.Registration.PENDING;
    }
    boolean present = entry.state() == DirectoryEntry.State.PRESENT;
    return present && isListedLife(entry, heartbeat)
        ? LeaseMessage.Registration.HELD
        : LeaseMessage.Registration.SUPERSEDED;
  }

  /**
   * Guards against a process whose number has passed to another: its heartbeats hold nothing. Hurts
   * the earlier of two processes that were started with one number.
   */
  protected boolean isListedLife(DirectoryEntry entry, LeaseMessage.Heartbeat heartbeat) {
    return entry.incarnation() == heartbeat.incarnation();
  }

  private void register(LeaseMessage.Heartbeat heartbeat) {
    if (!heartbeat.leaving() && directory.hasRoom()) {
      DirectoryChange wanted =
          new DirectoryChange.Registered(heartbeat.member(), heartbeat.incarnation());
      batcher.want(heartbeat.member().number(), wanted, now);
    }
  }

  /** A listed life was heard; what remains of its lease. */
  private Span hear(DirectoryEntry entry, LeaseMessage.Heartbeat heartbeat) {
    int number = entry.member().number();
    if (heartbeat.leaving()) {
      DirectoryChange wanted =
          new DirectoryChange.Departed(number, entry.incarnation(), DirectoryEntry.State.LEFT, 0);
      batcher.want(number, wanted, now);
      return Span.NONE;
    }
    table.heardHere(entry, now);
    exchange.heardHere(number, entry.incarnation(), now);
    if (leads() && isFresh() && !isWithheld(number)) {
      table.confirmed(number, entry.incarnation(), now);
    }
    Span elapsed = now.since(leaseFrom(table.of(entry, now)));
    Span counted = elapsed.times(1 / ((1 - settings.drift()) * (1 - settings.drift())));
    return settings.lease().minus(counted).max(Span.NONE);
  }

  /**
   * Guards against a lease granted by a control machine that the leader does not hear. Hurts by an
   * exchange there and back: so much less remains.
   */
  Moment leaseFrom(LeaseTable.Lease lease) {
    return trustsOnlyConfirmed() ? lease.confirmedAt() : lease.heardHereAt();
  }

  /** See {@link #leaseFrom}. */
  protected boolean trustsOnlyConfirmed() {
    return true;
  }

  private LeaseMessage.Acknowledgement acknowledgement(
      LeaseMessage.Heartbeat heartbeat,
      DirectoryEntry entry,
      LeaseMessage.Registration registration,
      Span remaining) {
    boolean behind = directory.version() < Math.max(heartbeat.version(), heartbeat.begun());
    boolean reset = !behind && isReset(heartbeat);
    MemberDirectory.Page page =
        behind
            ? new MemberDirectory.Page(List.of(), heartbeat.version())
            : directory.page(
                reset ? 0 : heartbeat.version(), heartbeat.begun(), LeaseCodec.ENTRIES_ROOM);
    return new LeaseMessage.Acknowledgement(
        own,
        heartbeat.sequence(),
        heartbeat.incarnation(),
        entry == null ? 0 : entry.incarnation(),
        registration,
        remaining,
        age(),
        directory.version(),
        page.upTo(),
        reset,
        directory.digest(),
        directory.unreachable(),
        page.entries());
  }

  /**
   * Guards against a front that missed a departure which is not kept any more. Hurts by one whole
   * directory.
   */
  protected boolean isReset(LeaseMessage.Heartbeat heartbeat) {
    return heartbeat.version() > 0
        && directory.resets(heartbeat.version())
        && directory.resets(heartbeat.begun());
  }

  private void takeEvidence(LeaseMessage.Evidence told) {
    boolean withheld = told.directoryVersion() < directory.floor();
    for (int number : told.heard()) {
      DirectoryEntry entry = directory.entry(number);
      if (entry == null) {
        continue; // the sender's copy is ahead of this one
      }
      boolean sameLife =
          entry.state() == DirectoryEntry.State.PRESENT
              && entry.version() <= told.directoryVersion();
      if (sameLife) {
        table.heardElsewhere(entry, now);
      }
      withheld |= !sameLife || isWithheld(number);
    }
    boolean cameBack = regions.isSilent(told.from(), now);
    exchange.take(told, withheld, now);
    exchange.confirmed(told);
    if (cameBack) {
      regions.cameBack(told.from(), now);
    }
    boolean ofLeader = told.from() == directory.leader();
    if (ofLeader && isFresh()) {
      exchange.enter(told.from(), table);
    }
  }

  /**
   * Guards against confirming the lease of a life whose expiry is on its way. Hurts the other
   * fronts of that round: their leases are confirmed with the next.
   */
  protected boolean isWithheld(int number) {
    return batcher.isExpiring(number);
  }

  private void exchangeEvidence() {
    followDirectory();
    exchange.endRound();
    boolean confirms = isFresh() && (directory.leader() != own || leads());
    for (ControlMachine machine : others) {
      for (LeaseMessage.Evidence told : exchange.toldTo(machine.number(), directory, confirms)) {
        evidence++;
        port.send(machine.address(), told);
      }
    }
  }

  /** What the leader makes of the silence of fronts; where nobody leads, whether to. */
  private void judge() {
    batcher.dropNeedless(now);
    table.retainListed(directory);
    if (batcher.isIdle() && !ofLeader().isEmpty()) {
      batcher.scheduleBy(now);
    }
  }

  private void propose() {
    batcher.propose(now, ofLeader(), mostChanges(), port, this::ended);
  }

  private void ended() {
    followDirectory();
    batcher.ended(now);
  }

  /**
   * Guards against a decision that the log would not take. Hurts a large change by some batches.
   */
  protected int mostChanges() {
    return Math.min(settings.mostBatch(), ChangeBatcher.MOST_BYTES / DirectoryCodec.MOST_CHANGE);
  }

  private List<DirectoryChange> ofLeader() {
    boolean ownLog = controlLeader == own && isFresh();
    boolean claims =
        leads()
            ? batcher.needsNewTerm()
            : ownLog && !now.since(termSeenAt).isShorterThan(settings.takeover());
    if (claims) {
      return List.of(new DirectoryChange.Leads(own, life, directory.term() + 1));
    }
    return leads()
        ? expiry.changes(leasesFrom, now, region -> isRegionLost(region, now))
        : List.of();
  }

  /** See {@link RegionWatch}. */
  protected boolean isRegionLost(int region, Moment at) {
    return regions.isLost(region, at);
  }

  /** What it has done so far. */
  public Figures figures() {
    return new Figures(
        heartbeats, acknowledgements, evidence, batcher.proposals(), batcher.changes(), refused);
  }
}
