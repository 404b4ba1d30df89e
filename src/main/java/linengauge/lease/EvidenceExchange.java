package linengauge.lease;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
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

  /** Rounds back from which one that was not confirmed in time is told again. */
  private static final int RETOLD_FROM = 2;

  private static final int RETOLD_TO = 4;

  private record Heard(long incarnation, Moment at) {}

  private record Round(long number, Map<Integer, Heard> heard) {}

  private static final class Peer {
    private final TakenRounds taken = new TakenRounds();

    /** Own rounds that were told with each of the last ones. */
    private final TreeMap<Long, List<Long>> toldWith = new TreeMap<>();

    /** Own rounds that it has confirmed. */
    private final TreeSet<Long> confirmed = new TreeSet<>();

    private Moment lastAt;
    private Moment runSince;
  }

  private final int own;
  private final Span period;
  private final int mostRounds;
  private final Map<Integer, Peer> peers = new TreeMap<>();
  private final ArrayDeque<Round> rounds = new ArrayDeque<>();
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

  /** Ends a round. */
  void endRound() {
    round++;
    rounds.add(new Round(round, heard));
    if (rounds.size() > mostRounds) {
      rounds.poll();
    }
    heard = new TreeMap<>();
  }

  /**
   * The datagrams of the round that ended last, for one other control machine. What that one did
   * not confirm in time is told once more: guards against a front that is let go for some lost
   * datagrams. Hurts whoever is waited for: a front that truly fell silent just then is heard of
   * later by as many rounds.
   *
   * @param confirms whether the receiver's own rounds are confirmed
   */
  List<LeaseMessage.Evidence> toldTo(int machine, MemberDirectory directory, boolean confirms) {
    Peer peer = peers.get(machine);
    long last = confirms ? peer.taken.last() : 0;
    long before = confirms ? peer.taken.before() : 0;
    List<List<Integer>> parts = LeaseCodec.split(numbersFor(peer, directory));
    List<LeaseMessage.Evidence> told = new ArrayList<>();
    for (int part = 0; part < parts.size(); part++) {
      told.add(
          new LeaseMessage.Evidence(
              own, round, last, before, directory.version(), part, parts.size(), parts.get(part)));
    }
    return told;
  }

  private List<Integer> numbersFor(Peer peer, MemberDirectory directory) {
    TreeSet<Integer> numbers = new TreeSet<>();
    List<Long> told = new ArrayList<>();
    for (Round one : rounds) {
      long back = round - one.number();
      boolean overdue =
          back >= RETOLD_FROM && back <= RETOLD_TO && !peer.confirmed.contains(one.number());
      if (back == 0 || overdue) {
        told.add(one.number());
        one.heard()
            .forEach(
                (number, life) -> {
                  if (isListed(directory, number, life)) {
                    numbers.add(number);
                  }
                });
      }
    }
    peer.toldWith.put(round, told);
    peer.toldWith.headMap(round - mostRounds).clear();
    return new ArrayList<>(numbers);
  }

  private static boolean isListed(MemberDirectory directory, int number, Heard life) {
    DirectoryEntry entry = directory.entry(number);
    return entry != null
        && entry.state() == DirectoryEntry.State.PRESENT
        && entry.incarnation() == life.incarnation();
  }

  boolean knows(int machine) {
    return peers.containsKey(machine);
  }

  /** Another control machine's evidence came. */
  void take(LeaseMessage.Evidence evidence, boolean withheld, Moment now) {
    Peer peer = peers.get(evidence.from());
    if (silentFor(evidence.from(), longestGap(), now)) {
      peer.runSince = now;
    }
    peer.lastAt = now;
    peer.taken.part(evidence, withheld);
  }

  /** Notes which of the own rounds another control machine confirms. */
  void confirmed(LeaseMessage.Evidence confirmation) {
    Peer peer = peers.get(confirmation.from());
    peer.toldWith.forEach(
        (number, told) -> {
          if (TakenRounds.covers(confirmation, number)) {
            peer.confirmed.addAll(told);
          }
        });
    peer.confirmed.headSet(round - mostRounds).clear();
  }

  /** Enters into the table what that one, the leader, has confirmed of the own rounds. */
  void enter(int leader, LeaseTable table) {
    Peer peer = peers.get(leader);
    for (Round one : rounds) {
      if (peer.confirmed.contains(one.number())) {
        one.heard()
            .forEach((number, life) -> table.confirmed(number, life.incarnation(), life.at()));
      }
    }
  }

  /** The longest gap in an unbroken run of evidence. */
  Span longestGap() {
    return period.times(MOST_GAP);
  }

  /** Whether nothing came from it for so long. */
  boolean silentFor(int machine, Span span, Moment now) {
    Peer peer = peers.get(machine);
    return peer != null && (peer.lastAt == null || span.isShorterThan(now.since(peer.lastAt)));
  }

  /** Whether it has been heard without a gap for so long. */
  boolean heardFor(int machine, Span span, Moment now) {
    Peer peer = peers.get(machine);
    return peer != null
        && peer.lastAt != null
        && !silentFor(machine, longestGap(), now)
        && !now.since(peer.runSince).isShorterThan(span);
  }
}
