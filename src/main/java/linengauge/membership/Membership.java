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
import linengauge.Span;
import linengauge.membership.Datagram.Kind;

/**
 * Who of the fleet is there, as one front holds it: SWIM's pings, indirect pings, suspicion and
 * news sent on with them (Das and others 2002), made aware of its own slowness (Lifeguard, Dadgar
 * and others 2017). It is told the time, has its next timer read by {@link #next}, and acts through
 * {@link Port}. Added to the papers, each at its place: a front that stood still takes its waits
 * anew; word of a death is a suspicion to whoever has not suspected; those gone are called on
 * again.
 */
public class Membership {
  /** What it acts through. */
  public interface Port {
    void send(String address, Datagram words);

    /** Another is held for something else than before. */
    void changed(MemberUpdate held);

    /** Another process goes by this one's number, from that address. */
    void clash(String address);
  }

  /**
   * Sent because another asked, in one period: bounds what this front spends on a storm. Of
   * answers, the first so many carry news and the others are bare: a front that many call at once,
   * as a seed is when the fleet starts, is not there for those whom it leaves without one.
   */
  private static final int MOST_ANSWERS = 2048;

  private static final int MOST_WITH_NEWS = 32;
  private static final int MOST_PAGES = 32;
  private static final int MOST_RELAYS = 64;

  /**
   * No front lives so many milliseconds: an incarnation further ahead is nonsense, and could not be
   * denied.
   */
  private static final long MOST_AHEAD = 1L << 40;

  private static final class Entry {
    private MemberUpdate news;
    private Suspicion suspicion;
    private Moment since;
  }

  /** This front's own ping of one period. */
  private static final class Probe {
    private final int target;
    private final int sequence;
    private final Moment asksAt;
    private boolean asked;
    private boolean answered;
    private int owedNaks;

    private Probe(int target, int sequence, Moment asksAt) {
      this.target = target;
      this.sequence = sequence;
      this.asksAt = asksAt;
    }
  }

  /** A ping made in another's place. */
  private record Relay(String asker, int theirs, Moment nakAt, Moment goneAt, boolean told) {}

  private final MembershipSettings terms;
  private final Member own;
  private final long firstIncarnation;
  private final List<String> seeds;
  private final Port port;
  private final SplittableRandom chance;
  private final Map<Integer, Entry> others = new TreeMap<>();
  private final GossipQueue rumours = new GossipQueue();
  private final Map<Integer, Relay> relays = new TreeMap<>();
  private final LocalHealth health;
  private final List<Integer> round = new ArrayList<>();
  private long incarnation;
  private int sequence;
  private boolean left;
  private Probe probe;
  private Moment periodAt;
  private Moment regatherAt;
  private int answered;
  private int pages;
  private int pullFrom;
  private int pulled;
  private int refused;

  /**
   * @param incarnation higher than in any earlier life of this front: the wall's clock in
   *     milliseconds
   * @param seeds addresses to begin with, and to turn to when nobody is there
   */
  public Membership(
      MembershipSettings terms,
      Member own,
      long incarnation,
      List<String> seeds,
      Port port,
      SplittableRandom chance) {
    this.terms = terms;
    this.own = own;
    this.firstIncarnation = incarnation;
    this.incarnation = incarnation;
    this.seeds = seeds.stream().filter(s -> !s.equals(own.address())).toList();
    this.port = port;
    this.chance = chance;
    this.health = new LocalHealth(terms.healthMost());
  }

  public void start(Moment now) {
    periodAt = now;
    regatherAt = now;
    rumours.add(ownNews());
    step(now);
  }

  /** Tells some that it leaves; nothing more is sent of its own accord. */
  public void leave(Moment now) {
    left = true;
    rumours.add(ownNews());
    for (int number : someThere(terms.helpers(), -1)) {
      send(
          Kind.PING, others.get(number).news.member().address(), ++sequence, 0, List.of(ownNews()));
    }
  }

  /** The moment at which it wants to be stepped, at the latest. */
  public Moment next() {
    Moment next = periodAt;
    if (probe != null && !probe.asked && !probe.answered) {
      next = earlier(next, probe.asksAt);
    }
    for (Relay r : relays.values()) {
      next = earlier(next, r.told ? r.goneAt : r.nakAt);
    }
    for (Entry e : others.values()) {
      if (e.suspicion != null) {
        next = earlier(next, e.suspicion.endsAt());
      }
    }
    return earlier(next, regatherAt);
  }

  private static Moment earlier(Moment a, Moment b) {
    return b.before(a) ? b : a;
  }

  /** All that is held of others, by number. */
  public List<MemberUpdate> held() {
    return others.values().stream().map(e -> e.news).toList();
  }

  public long incarnation() {
    return incarnation;
  }

  /** Members that were not taken in since there were too many. */
  public int refused() {
    return refused;
  }

  /** How slow this front takes itself to be, from 0. */
  public int slowness() {
    return health.count();
  }

  public void step(Moment now) {
    awake(now);
    if (left) {
      periodAt = now.plus(terms.period());
      regatherAt = periodAt;
      return;
    }
    for (Entry e : List.copyOf(others.values())) {
      if (e.suspicion != null && !now.before(e.suspicion.endsAt())) {
        hold(
            e,
            new MemberUpdate(e.news.member(), e.news.incarnation(), MemberState.DEAD, own.number()),
            now,
            true);
      }
    }
    relay(now);
    if (probe != null && !probe.asked && !probe.answered && !now.before(probe.asksAt)) {
      askOthers();
    }
    if (!now.before(periodAt)) {
      period(now);
    }
    if (!now.before(regatherAt)) {
      regather(now);
    }
  }

  /**
   * Guards against a front that was stopped and then acts on waits in which it could hear nobody:
   * all of them begin anew, and it takes itself for slow. It could hurt where steps are late by
   * habit: deaths would be found late, as they should.
   */
  private void awake(Moment now) {
    Span late = now.since(next());
    if (!stoodStill(late)) {
      return;
    }
    health.worse(1);
    probe = null;
    relays.clear();
    others.values().stream()
        .filter(e -> e.suspicion != null)
        .forEach(e -> e.suspicion.heldUp(late));
    periodAt = now;
    regatherAt = now.orLater(regatherAt);
  }

  /** A step that is so late. */
  protected boolean stoodStill(Span late) {
    return !late.under(terms.answer());
  }

  private void period(Moment now) {
    if (probe != null && !probe.answered) {
      health.worse(probe.owedNaks > 0 ? probe.owedNaks : 1);
      Entry e = others.get(probe.target);
      if (e != null && e.news.standing().isThere()) {
        suspected(e, own.number(), e.news.incarnation(), now);
      }
    }
    answered = 0;
    pages = 0;
    others
        .values()
        .removeIf(e -> !e.news.standing().isThere() && terms.deadKept().under(now.since(e.since)));
    periodAt = now.plus(health.lengthened(terms.period()));
    probe = null;
    Entry target = nextOfRound();
    if (target != null) {
      probe =
          new Probe(
              target.news.member().number(),
              ++sequence,
              now.plus(health.lengthened(terms.answer())));
      // Whom somebody suspects hears of it with the ping, and can deny it (Lifeguard, IV.C).
      send(
          Kind.PING,
          target.news.member().address(),
          probe.sequence,
          0,
          target.suspicion == null ? List.of() : List.of(target.news));
    }
  }

  /**
   * All there are, each once in a round, the rounds shuffled (SWIM, 4.3): whoever dies is pinged
   * within two rounds.
   */
  private Entry nextOfRound() {
    for (boolean again : new boolean[] {true, false}) {
      while (!round.isEmpty()) {
        Entry e = others.get(round.remove(round.size() - 1));
        if (e != null && e.news.standing().isThere()) {
          return e;
        }
      }
      if (again) {
        others.values().stream()
            .filter(e -> e.news.standing().isThere())
            .forEach(e -> round.add(e.news.member().number()));
        Collections.shuffle(round, new Random(chance.nextLong()));
      }
    }
    return null;
  }

  private void askOthers() {
    probe.asked = true;
    Entry e = others.get(probe.target);
    if (e == null) {
      return;
    }
    for (int helper : someThere(terms.helpers(), probe.target)) {
      send(
          Kind.ASK,
          others.get(helper).news.member().address(),
          probe.sequence,
          probe.target,
          List.of(e.news));
      probe.owedNaks++;
    }
  }

  private List<Integer> someThere(int most, int but) {
    List<Integer> all = new ArrayList<>();
    others.forEach(
        (number, e) -> {
          if (number != but && e.news.standing() == MemberState.ALIVE) {
            all.add(number);
          }
        });
    Collections.shuffle(all, new Random(chance.nextLong()));
    return all.subList(0, Math.min(most, all.size()));
  }

  private void relay(Moment now) {
    for (Iterator<Map.Entry<Integer, Relay>> i = relays.entrySet().iterator(); i.hasNext(); ) {
      Map.Entry<Integer, Relay> at = i.next();
      Relay r = at.getValue();
      if (!now.before(r.goneAt)) {
        i.remove();
      } else if (!r.told && !now.before(r.nakAt)) {
        at.setValue(new Relay(r.asker, r.theirs, r.nakAt, r.goneAt, true));
        send(Kind.NAK, r.asker, r.theirs, 0, List.of());
      }
    }
  }

  /**
   * Calls on one that is gone or has never been heard, and asks one that is there for a page of
   * what it holds. Guards against two halves of the fleet that were cut apart and have each given
   * the other up: without it nobody would call across again. It could hurt where many are gone for
   * good: one datagram each such time, until they are forgotten.
   */
  private void regather(Moment now) {
    if (!Span.NONE.under(terms.regather())) {
      regatherAt = now.plus(terms.deadKept());
      return;
    }
    List<Integer> there = someThere(1, -1);
    regatherAt = now.plus(there.isEmpty() ? terms.period() : terms.regather());
    List<String> away = new ArrayList<>();
    others.values().stream()
        .filter(e -> e.news.standing() == MemberState.DEAD)
        .forEach(e -> away.add(e.news.member().address()));
    seeds.stream()
        .filter(s -> others.values().stream().noneMatch(e -> e.news.member().address().equals(s)))
        .forEach(away::add);
    if (!away.isEmpty()) {
      String to = away.get(chance.nextInt(away.size()));
      List<MemberUpdate> first = new ArrayList<>(List.of(ownNews()));
      others.values().stream()
          .map(e -> e.news)
          .filter(n -> n.member().address().equals(to))
          .forEach(first::add);
      send(Kind.PING, to, ++sequence, 0, first);
      if (there.isEmpty()) {
        pull(to);
      }
    }
    if (!there.isEmpty()) {
      pull(others.get(there.get(0)).news.member().address());
    }
  }

  private void pull(String from) {
    pulled = ++sequence;
    send(Kind.PULL, from, pulled, pullFrom, List.of(ownNews()));
  }

  /** A datagram has come, proved to be of the fleet, from that address. */
  public void heard(Moment now, String address, Datagram w) {
    awake(now);
    if (w.from() == own.number()) {
      if (!address.equals(own.address())) {
        port.clash(address);
      }
      return;
    }
    boolean page = w.kind() == Kind.PAGE;
    for (MemberUpdate n : w.news()) {
      told(n, now, !page);
    }
    switch (w.kind()) {
      case PING -> answer(Kind.ACK, address, w.sequence(), 0, List.of());
      case ACK -> acknowledged(w.sequence());
      case NAK -> {
        if (probe != null && probe.sequence == w.sequence() && probe.owedNaks > 0) {
          probe.owedNaks--;
        }
      }
      case ASK -> pingFor(address, w, now);
      case PULL -> page(address, w);
      case PAGE -> {
        if (w.sequence() == pulled) {
          pullFrom = Math.max(0, w.about());
          if (w.about() > 0) {
            pull(address);
          }
        }
      }
    }
  }

  private void acknowledged(int seq) {
    if (probe != null && probe.sequence == seq) {
      if (!probe.answered) {
        health.better();
      }
      probe.answered = true;
      return;
    }
    Relay r = relays.remove(seq);
    if (r != null) {
      answer(Kind.ACK, r.asker, r.theirs, 0, List.of());
    }
  }

  private void pingFor(String asker, Datagram w, Moment now) {
    Entry e = others.get(w.about());
    if (e == null || relays.size() >= MOST_RELAYS) {
      return;
    }
    relays.put(
        ++sequence,
        new Relay(asker, w.sequence(), now.plus(terms.answer()), now.plus(terms.period()), false));
    answer(
        Kind.PING,
        e.news.member().address(),
        sequence,
        0,
        e.suspicion == null ? List.of() : List.of(e.news));
  }

  private void page(String asker, Datagram w) {
    List<MemberUpdate> all = new ArrayList<>(held());
    all.add(ownNews());
    all.sort((a, b) -> Integer.compare(a.member().number(), b.member().number()));
    List<MemberUpdate> out = new ArrayList<>();
    int room = Datagram.room();
    int next = -1;
    for (MemberUpdate n : all) {
      if (n.member().number() < w.about()) {
        continue;
      }
      room -= Datagram.size(n);
      if (room < 0) {
        next = n.member().number();
        break;
      }
      out.add(n);
    }
    if (pages++ < MOST_PAGES) {
      port.send(asker, new Datagram(Kind.PAGE, own.number(), w.sequence(), next, out));
    }
  }

  private void answer(Kind kind, String to, int seq, int about, List<MemberUpdate> first) {
    if (answered++ < MOST_WITH_NEWS) {
      send(kind, to, seq, about, first);
    } else if (answered <= MOST_ANSWERS) {
      port.send(to, new Datagram(kind, own.number(), seq, about, first));
    }
  }

  private void send(Kind kind, String to, int seq, int about, List<MemberUpdate> first) {
    int room = Datagram.room() - first.stream().mapToInt(Datagram::size).sum();
    List<MemberUpdate> news = new ArrayList<>(first);
    news.addAll(rumours.take(room, times()));
    port.send(to, new Datagram(kind, own.number(), seq, about, news));
  }

  private int times() {
    return (int)
        Math.ceil(
            terms.retellings() * (Integer.SIZE - Integer.numberOfLeadingZeros(others.size() + 1)));
  }

  private MemberUpdate ownNews() {
    return new MemberUpdate(
        own, incarnation, left ? MemberState.LEFT : MemberState.ALIVE, own.number());
  }

  private void told(MemberUpdate n, Moment now, boolean sendOn) {
    if (Math.abs(n.incarnation() - firstIncarnation) > MOST_AHEAD) {
      return;
    }
    if (n.member().number() == own.number()) {
      ofThis(n);
      return;
    }
    Entry e = others.get(n.member().number());
    if (e == null) {
      if (!n.standing().isThere()) {
        return; // forgotten, or never known: nothing to give up
      }
      if (others.size() >= terms.most()) {
        refused++;
        return;
      }
      e = new Entry();
      e.since = now;
      others.put(n.member().number(), e);
      hold(e, n, now, sendOn);
    } else if (n.standing() == MemberState.DEAD
        && e.news.standing().isThere()
        && n.overrules(e.news)) {
      dead(e, n, now);
    } else if (n.overrules(e.news)) {
      hold(e, n, now, sendOn);
    } else if (n.standing() == MemberState.SUSPECT
        && n.incarnation() == e.news.incarnation()
        && e.suspicion != null
        && n.by() != own.number()
        && e.suspicion.confirmed(n.by())) {
      rumours.add(n);
    }
  }

  /**
   * Word of a death. Guards against one sick front that gives up all others: whoever has not
   * suspected the member yet only does so now, and the member can deny it. It could hurt where the
   * suspicion was never heard here: a death is found later by one more wait, shortened by whoever
   * confirms it.
   */
  private void dead(Entry e, MemberUpdate n, Moment now) {
    if (!doubts()) {
      hold(e, n, now, true);
    } else if (e.suspicion != null && e.news.incarnation() == n.incarnation()) {
      e.suspicion.confirmed(n.by());
      if (!now.before(e.suspicion.endsAt())) {
        hold(e, n, now, true);
      }
    } else {
      suspected(e, n.by(), n.incarnation(), now);
    }
  }

  /** Whether a death that it has only heard of is a suspicion to it. */
  protected boolean doubts() {
    return true;
  }

  private void suspected(Entry e, int by, long at, Moment now) {
    if (e.suspicion != null && e.news.incarnation() == at) {
      if (e.suspicion.confirmed(by)) {
        rumours.add(new MemberUpdate(e.news.member(), at, MemberState.SUSPECT, by));
      }
    } else {
      hold(e, new MemberUpdate(e.news.member(), at, MemberState.SUSPECT, by), now, true);
    }
  }

  private void hold(Entry e, MemberUpdate n, Moment now, boolean sendOn) {
    boolean other =
        e.news == null
            || e.news.standing() != n.standing()
            || e.news.incarnation() != n.incarnation();
    e.since = e.news == null || e.news.standing() != n.standing() ? now : e.since;
    e.news = n;
    e.suspicion = null;
    if (n.standing() == MemberState.SUSPECT) {
      long there = others.values().stream().filter(o -> o.news.standing().isThere()).count() + 1;
      Span least = terms.period().times(terms.suspicion() * Math.max(1, Math.log10(there)));
      int confirming = (int) Math.min(terms.confirmed(), Math.max(0, there - 3));
      e.suspicion =
          new Suspicion(
              now, least, least.times(terms.longest()), confirming, n.by(), n.by() == own.number());
    }
    if (sendOn) {
      rumours.add(n);
    }
    if (other) {
      port.changed(n);
    }
  }

  /** Whether it speaks against what is not so. */
  protected boolean denies() {
    return true;
  }

  /**
   * Somebody speaks of this front: what is not so it denies, by an incarnation that overrules it
   * (SWIM, 4.2).
   */
  private void ofThis(MemberUpdate n) {
    boolean another =
        !n.member().address().equals(own.address()) && n.standing() == MemberState.ALIVE;
    if (another && n.incarnation() >= incarnation) {
      port.clash(n.member().address());
    }
    if (!denies()) {
      return;
    }
    if (n.incarnation() > incarnation
        || n.incarnation() == incarnation && n.standing() != MemberState.ALIVE && !left) {
      incarnation = n.incarnation() + 1;
      health.worse(n.standing() == MemberState.SUSPECT || n.standing() == MemberState.DEAD ? 1 : 0);
      rumours.add(ownNews());
    }
  }
}
