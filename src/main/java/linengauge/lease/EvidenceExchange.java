package linengauge.lease;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import linengauge.Moment;
import linengauge.Span;

/**
 * What control machines tell each other of whom they heard: own rounds that wait for the leader's
 * confirmation, and the others' rounds that are confirmed to them.
 */
final class EvidenceExchange {
  /** Rounds of a process begin at a number drawn below this: never at those of its last life. */
  private static final long FIRST_ROUND_BELOW = 1L << 46;

  /** A gap of so many exchanges ends an unbroken run of evidence. */
  private static final int MOST_GAP = 3;

  private static final int MOST_ROUNDS = 64;

  private record Heard(long incarnation, Moment at) {}

  private record Round(long number, Map<Integer, Heard> heard) {}

  private static final class Peer {
    private final TakenRounds taken = new TakenRounds();
    private Moment lastAt;
    private Moment runSince;
  }

  private final int own;
  private final Span period;
  private final int mostRounds;
  private final Map<Integer, Peer> peers = new TreeMap<>();
  private final ArrayDeque<Round> unconfirmed = new ArrayDeque<>();
  private TreeMap<Integer, Heard> heard = new TreeMap<>();
  private long round;

  EvidenceExchange(
      LeaseSettings settings, int own, List<ControlMachine> others, SplittableRandom chance) {
    this.own = own;
    period = settings.evidence();
    long inLease = settings.lease().micros() / settings.evidence().micros();
    mostRounds = (int) Math.min(MOST_ROUNDS, inLease + 2);
    round = 1 + chance.nextLong(FIRST_ROUND_BELOW);
    others.forEach(machine -> peers.put(machine.number(), new Peer()));
  }

  /** A heartbeat of a listed life was heard here: part of the next round. */
  void heardHere(int number, long incarnation, Moment now) {
    heard.put(number, new Heard(incarnation, now));
  }

  /** Ends a round; gives back the numbers of it that the others are to be told, in parts. */
  List<List<Integer>> endRound(MemberDirectory directory) {
    round++;
    heard.entrySet().removeIf(one -> !isListed(directory, one.getKey(), one.getValue()));
    unconfirmed.add(new Round(round, heard));
    if (unconfirmed.size() > mostRounds) {
      unconfirmed.poll();
    }
    List<List<Integer>> parts = LeaseCodec.split(new ArrayList<>(heard.keySet()));
    heard = new TreeMap<>();
    return parts;
  }

  private static boolean isListed(MemberDirectory directory, int number, Heard life) {
    DirectoryEntry entry = directory.entry(number);
    return entry != null
        && entry.state() == DirectoryEntry.State.PRESENT
        && entry.incarnation() == life.incarnation();
  }

  /**
   * The datagrams of the round that ended last, for one other control machine.
   *
   * @param version of the directory as the round ended
   * @param confirms whether the receiver's own rounds are confirmed
   */
  List<LeaseMessage.Evidence> toldTo(
      int machine, long version, List<List<Integer>> parts, boolean confirms) {
    TakenRounds taken = peers.get(machine).taken;
    long last = confirms ? taken.last() : 0;
    long before = confirms ? taken.before() : 0;
    List<LeaseMessage.Evidence> told = new ArrayList<>();
    for (int part = 0; part < parts.size(); part++) {
      told.add(
          new LeaseMessage.Evidence(
              own, round, last, before, version, part, parts.size(), parts.get(part)));
    }
    return told;
  }

  boolean knows(int machine) {
    return peers.containsKey(machine);
  }

  /** Another control machine's evidence came. */
  void take(LeaseMessage.Evidence evidence, boolean withheld, Moment now) {
    Peer peer = peers.get(evidence.from());
    Span gap = period.times(MOST_GAP);
    if (peer.lastAt == null || gap.under(now.since(peer.lastAt))) {
      peer.runSince = now;
    }
    peer.lastAt = now;
    peer.taken.part(evidence, withheld);
  }

  /** Enters into the table what the leader confirms of the own rounds. */
  void confirmed(LeaseMessage.Evidence confirmation, LeaseTable table) {
    for (Round one : unconfirmed) {
      if (TakenRounds.covers(confirmation, one.number())) {
        one.heard()
            .forEach((number, life) -> table.confirmed(number, life.incarnation(), life.at()));
      }
    }
  }

  /** Whether nothing came from it for so long. */
  boolean silentFor(int machine, Span span, Moment now) {
    Peer peer = peers.get(machine);
    return peer != null && (peer.lastAt == null || span.under(now.since(peer.lastAt)));
  }

  /** Whether it has been heard without a gap for so long. */
  boolean heardFor(int machine, Span span, Moment now) {
    Peer peer = peers.get(machine);
    return peer != null
        && peer.lastAt != null
        && !silentFor(machine, period.times(MOST_GAP), now)
        && !now.since(peer.runSince).under(span);
  }
}
