package linengauge.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import linengauge.Moment;
import linengauge.membership.Datagram.Kind;

/**
 * Failure detector of SWIM (4.1 and 4.3). In each period it pings one member, first directly and
 * then through helpers. Periods and timeouts grow while this front itself is slow (Lifeguard,
 * IV.A).
 */
final class FailureDetector {
  private static final int MAX_RELAYED_PINGS = 64;

  /** The probe that this front runs in the current period. */
  private static final class Probe {
    private final int target;
    private final int sequence;
    private final Moment indirectProbesAt;
    private boolean indirectProbesSent;
    private boolean acknowledged;
    private int missingNaks;

    private Probe(int target, int sequence, Moment indirectProbesAt) {
      this.target = target;
      this.sequence = sequence;
      this.indirectProbesAt = indirectProbesAt;
    }

    private boolean isAwaitingDirectAck() {
      return !indirectProbesSent && !acknowledged;
    }
  }

  /** A ping sent on behalf of another front. */
  private record RelayedPing(
      String requesterAddress,
      int requesterSequence,
      Moment nakAt,
      Moment expiresAt,
      boolean nakSent) {
    private Moment nextStep() {
      return nakSent ? expiresAt : nakAt;
    }

    private RelayedPing withNakSent() {
      return new RelayedPing(requesterAddress, requesterSequence, nakAt, expiresAt, true);
    }
  }

  private final MembershipSettings settings;
  private final MemberTable table;
  private final Dissemination dissemination;
  private final LocalHealth health;
  private final SplittableRandom random;
  private final Map<Integer, RelayedPing> relayedPings = new TreeMap<>();
  private final List<Integer> remainingInRound = new ArrayList<>();
  private Probe probe;
  private Moment periodEndsAt;

  FailureDetector(
      MembershipSettings settings,
      MemberTable table,
      Dissemination dissemination,
      LocalHealth health,
      SplittableRandom random) {
    this.settings = settings;
    this.table = table;
    this.dissemination = dissemination;
    this.health = health;
    this.random = random;
  }

  /** Returns the time by which {@link Membership#step} has to be called. */
  Moment nextStep() {
    Moment next = periodEndsAt;
    if (probe != null && probe.isAwaitingDirectAck()) {
      next = earliest(next, probe.indirectProbesAt);
    }
    for (RelayedPing relay : relayedPings.values()) {
      next = earliest(next, relay.nextStep());
    }
    return next;
  }

  static Moment earliest(Moment first, Moment second) {
    return second.isBefore(first) ? second : first;
  }

  boolean isPeriodOver(Moment now) {
    return !now.isBefore(periodEndsAt);
  }

  void setPeriodEnd(Moment endsAt) {
    periodEndsAt = endsAt;
  }

  /** Discards all pending probes and starts a new period. */
  void restart(Moment now) {
    probe = null;
    relayedPings.clear();
    periodEndsAt = now;
  }

  /* ---- own probes ---- */

  /**
   * Ends the current probe. Returns its target if that is present and did not respond, else null.
   */
  MemberEntry endProbe() {
    if (probe == null || probe.acknowledged) {
      return null;
    }
    health.degrade(probe.missingNaks > 0 ? probe.missingNaks : 1);
    MemberEntry target = table.get(probe.target);
    return target != null && target.isPresent() ? target : null;
  }

  /** Starts a period by pinging the next member in the round. */
  void startPeriod(Moment now) {
    periodEndsAt = now.plus(health.scale(settings.period()));
    probe = null;
    MemberEntry target = nextTarget();
    if (target == null) {
      return;
    }
    Moment indirectProbesAt = now.plus(health.scale(settings.answer()));
    probe = new Probe(target.number(), dissemination.nextSequence(), indirectProbesAt);
    // The ping tells a suspected member of the suspicion so that it can refute it (Lifeguard,
    // IV.C).
    dissemination.send(Kind.PING, target.address(), probe.sequence, 0, updateIfSuspected(target));
  }

  /**
   * Visits each present member once per round, in shuffled order (SWIM, 4.3), so that a dead member
   * is pinged within two rounds.
   */
  private MemberEntry nextTarget() {
    MemberEntry target = nextInRound();
    if (target == null) {
      startRound();
      target = nextInRound();
    }
    return target;
  }

  private MemberEntry nextInRound() {
    while (!remainingInRound.isEmpty()) {
      MemberEntry entry = table.get(remainingInRound.remove(remainingInRound.size() - 1));
      if (entry != null && entry.isPresent()) {
        return entry;
      }
    }
    return null;
  }

  private void startRound() {
    table.all().stream()
        .filter(MemberEntry::isPresent)
        .forEach(entry -> remainingInRound.add(entry.number()));
    Collections.shuffle(remainingInRound, new Random(random.nextLong()));
  }

  private static List<MemberUpdate> updateIfSuspected(MemberEntry entry) {
    return entry.suspicion() == null ? List.of() : List.of(entry.update());
  }

  /** Requests indirect probes if the direct ping has timed out (SWIM, 4.1). */
  void probeIndirectly(Moment now) {
    if (probe == null || !probe.isAwaitingDirectAck() || now.isBefore(probe.indirectProbesAt)) {
      return;
    }
    probe.indirectProbesSent = true;
    MemberEntry target = table.get(probe.target);
    if (target == null) {
      return;
    }
    for (MemberEntry helper : table.sampleAlive(settings.helpers(), probe.target)) {
      dissemination.send(
          Kind.ASK, helper.address(), probe.sequence, probe.target, List.of(target.update()));
      probe.missingNaks++;
    }
  }

  /**
   * Handles the ACK of an own probe, or relays the ACK of a ping sent on behalf of another front.
   */
  void onAck(int sequence) {
    if (probe != null && probe.sequence == sequence) {
      if (!probe.acknowledged) {
        health.improve();
      }
      probe.acknowledged = true;
      return;
    }
    RelayedPing relay = relayedPings.remove(sequence);
    if (relay != null) {
      dissemination.respond(
          Kind.ACK, relay.requesterAddress, relay.requesterSequence, 0, List.of());
    }
  }

  /**
   * Handles a NAK: the helper is reachable but the target did not respond to it, so this front's
   * own slowness is not the cause.
   */
  void onNak(int sequence) {
    if (probe != null && probe.sequence == sequence && probe.missingNaks > 0) {
      probe.missingNaks--;
    }
  }

  /* ---- pings on behalf of other fronts ---- */

  /** Pings a member on behalf of another front. */
  void onPingRequest(String requesterAddress, Datagram datagram, Moment now) {
    MemberEntry target = table.get(datagram.argument());
    if (target == null || relayedPings.size() >= MAX_RELAYED_PINGS) {
      return;
    }
    int sequence = dissemination.nextSequence();
    Moment nakAt = now.plus(settings.answer());
    Moment expiresAt = now.plus(settings.period());
    relayedPings.put(
        sequence, new RelayedPing(requesterAddress, datagram.sequence(), nakAt, expiresAt, false));
    dissemination.respond(Kind.PING, target.address(), sequence, 0, updateIfSuspected(target));
  }

  /** Sends a NAK for each ping on behalf of another front that has timed out. */
  void sendNaks(Moment now) {
    Iterator<Map.Entry<Integer, RelayedPing>> entries = relayedPings.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Integer, RelayedPing> entry = entries.next();
      RelayedPing relay = entry.getValue();
      if (!now.isBefore(relay.expiresAt)) {
        entries.remove();
      } else if (!relay.nakSent && !now.isBefore(relay.nakAt)) {
        entry.setValue(relay.withNakSent());
        dissemination.send(Kind.NAK, relay.requesterAddress, relay.requesterSequence, 0, List.of());
      }
    }
  }
}
