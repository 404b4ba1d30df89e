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
 * SWIM's failure detector (4.1 and 4.3): one member pinged in each period, first by this front,
 * then by helpers in its place; periods and waits are lengthened while this front itself is slow
 * (Lifeguard, IV.A).
 */
final class FailureDetector {
  private static final int MOST_RELAYS = 64;

  /** This front's own ping of one period. */
  private static final class Probe {
    private final int target;
    private final int sequence;
    private final Moment askHelpersAt;
    private boolean helpersAsked;
    private boolean answered;
    private int owedNaks;

    private Probe(int target, int sequence, Moment askHelpersAt) {
      this.target = target;
      this.sequence = sequence;
      this.askHelpersAt = askHelpersAt;
    }

    private boolean waitsForDirectAnswer() {
      return !helpersAsked && !answered;
    }
  }

  /** A ping made in another's place. */
  private record Relay(
      String asker, int askerSequence, Moment nakAt, Moment goneAt, boolean nakSent) {
    private Moment next() {
      return nakSent ? goneAt : nakAt;
    }

    private Relay withNakSent() {
      return new Relay(asker, askerSequence, nakAt, goneAt, true);
    }
  }

  private final MembershipSettings settings;
  private final MemberTable table;
  private final Dissemination dissemination;
  private final LocalHealth health;
  private final SplittableRandom random;
  private final Map<Integer, Relay> relays = new TreeMap<>();
  private final List<Integer> round = new ArrayList<>();
  private Probe probe;
  private Moment periodAt;

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

  /** The moment at which it wants to be stepped, at the latest. */
  Moment next() {
    Moment next = periodAt;
    if (probe != null && probe.waitsForDirectAnswer()) {
      next = earlier(next, probe.askHelpersAt);
    }
    for (Relay relay : relays.values()) {
      next = earlier(next, relay.next());
    }
    return next;
  }

  static Moment earlier(Moment a, Moment b) {
    return b.before(a) ? b : a;
  }

  boolean isPeriodOver(Moment now) {
    return !now.before(periodAt);
  }

  void setPeriodEnd(Moment at) {
    periodAt = at;
  }

  /** Gives up all waits and begins a new period. */
  void restart(Moment now) {
    probe = null;
    relays.clear();
    periodAt = now;
  }

  /* ---- this front's own pings ---- */

  /** Ends the period's probe; the member that did not answer it and is held for there, or null. */
  MemberEntry endProbe() {
    if (probe == null || probe.answered) {
      return null;
    }
    health.worse(probe.owedNaks > 0 ? probe.owedNaks : 1);
    MemberEntry target = table.get(probe.target);
    return target != null && target.isThere() ? target : null;
  }

  /** Begins a period with a ping to the next member in turn. */
  void startPeriod(Moment now) {
    periodAt = now.plus(health.lengthened(settings.period()));
    probe = null;
    MemberEntry target = nextTarget();
    if (target == null) {
      return;
    }
    Moment askHelpersAt = now.plus(health.lengthened(settings.answer()));
    probe = new Probe(target.number(), dissemination.nextSequence(), askHelpersAt);
    // Whom somebody suspects hears of it with the ping, and can deny it (Lifeguard, IV.C).
    dissemination.send(Kind.PING, target.address(), probe.sequence, 0, updateIfSuspected(target));
  }

  /**
   * All there are, each once in a round, the rounds shuffled (SWIM, 4.3): whoever dies is pinged
   * within two rounds.
   */
  private MemberEntry nextTarget() {
    MemberEntry target = nextOfRound();
    if (target == null) {
      startRound();
      target = nextOfRound();
    }
    return target;
  }

  private MemberEntry nextOfRound() {
    while (!round.isEmpty()) {
      MemberEntry entry = table.get(round.remove(round.size() - 1));
      if (entry != null && entry.isThere()) {
        return entry;
      }
    }
    return null;
  }

  private void startRound() {
    table.all().stream().filter(MemberEntry::isThere).forEach(e -> round.add(e.number()));
    Collections.shuffle(round, new Random(random.nextLong()));
  }

  private static List<MemberUpdate> updateIfSuspected(MemberEntry entry) {
    return entry.suspicion() == null ? List.of() : List.of(entry.update());
  }

  /** Asks helpers to ping the member once it has not answered in time (SWIM, 4.1). */
  void probeIndirectly(Moment now) {
    if (probe == null || !probe.waitsForDirectAnswer() || now.before(probe.askHelpersAt)) {
      return;
    }
    probe.helpersAsked = true;
    MemberEntry target = table.get(probe.target);
    if (target == null) {
      return;
    }
    for (MemberEntry helper : table.sampleAlive(settings.helpers(), probe.target)) {
      dissemination.send(
          Kind.ASK, helper.address(), probe.sequence, probe.target, List.of(target.update()));
      probe.owedNaks++;
    }
  }

  /** Of a ping of this front's own, or of one made in another's place. */
  void onAck(int sequence) {
    if (probe != null && probe.sequence == sequence) {
      if (!probe.answered) {
        health.better();
      }
      probe.answered = true;
      return;
    }
    Relay relay = relays.remove(sequence);
    if (relay != null) {
      dissemination.answer(Kind.ACK, relay.asker, relay.askerSequence, 0, List.of());
    }
  }

  /** A helper is there and could not reach the member: this front is not what is slow. */
  void onNak(int sequence) {
    if (probe != null && probe.sequence == sequence && probe.owedNaks > 0) {
      probe.owedNaks--;
    }
  }

  /* ---- pings made in another's place ---- */

  /** Another asks this front to ping a member in its place. */
  void onAsk(String asker, Datagram datagram, Moment now) {
    MemberEntry target = table.get(datagram.argument());
    if (target == null || relays.size() >= MOST_RELAYS) {
      return;
    }
    int sequence = dissemination.nextSequence();
    Moment nakAt = now.plus(settings.answer());
    Moment goneAt = now.plus(settings.period());
    relays.put(sequence, new Relay(asker, datagram.sequence(), nakAt, goneAt, false));
    dissemination.answer(Kind.PING, target.address(), sequence, 0, updateIfSuspected(target));
  }

  /** Says of pings made in another's place that they were not answered in time. */
  void sendNaks(Moment now) {
    Iterator<Map.Entry<Integer, Relay>> entries = relays.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Integer, Relay> entry = entries.next();
      Relay relay = entry.getValue();
      if (!now.before(relay.goneAt)) {
        entries.remove();
      } else if (!relay.nakSent && !now.before(relay.nakAt)) {
        entry.setValue(relay.withNakSent());
        dissemination.send(Kind.NAK, relay.asker, relay.askerSequence, 0, List.of());
      }
    }
  }
}
