package linengauge.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import linengauge.Moment;
import linengauge.Span;

/**
 * One front that follows the council without a vote: asks one voter for what has been decided
 * since, has its own wishes decided, and knows how old its word is. It never goes back: what it
 * holds has a number, and only the next one follows.
 */
public final class LogFollower {
  /** What it acts through. */
  public interface Port {
    /** To that voter, at that address; to be lost if need be. */
    void send(int voter, String address, RaftMessage word);
  }

  /** A wish on its way; its end is a call on it, once. */
  public interface Proposal {
    /** CommittedLog, or given up on: then it may still be decided. */
    void ended(boolean decided);
  }

  /**
   * @param ask between two questions to a voter
   * @param silent after which another voter is asked
   */
  public record Terms(Span ask, Span silent, Span wishes) {
    public static final Terms USUAL =
        new Terms(Span.ofMillis(200), Span.ofMillis(700), Span.ofSeconds(10));
  }

  private static final int MOST_WISHES = 64;

  /** Two that each name the other are not asked in turn without a pause. */
  private static final int MOST_HOPS = 3;

  private static final class Open {
    private final Entry entry;
    private final Proposal wish;
    private final Moment until;
    private Moment askAt;
    private boolean unanswered;

    private Open(Entry entry, Proposal wish, Moment until, Moment askAt) {
      this.entry = entry;
      this.wish = wish;
      this.until = until;
      this.askAt = askAt;
    }
  }

  /** Somebody waits to know that all decided before it asked is known here. */
  private static final class Reader {
    private final Runnable then;
    private final Moment until;
    private long request;
    private Moment askAt;
    private boolean unanswered;

    private Reader(Runnable then, Moment until, Moment askAt) {
      this.then = then;
      this.until = until;
      this.askAt = askAt;
    }
  }

  private record Ready(long index, Reader reader) {}

  private final Terms terms;
  private final int own;
  private final Port port;
  private final CommittedLog decided;

  /** Where the voters of the site file are, until the council itself names others. */
  private final TreeMap<Integer, String> first;

  private final TreeMap<Long, Open> wishes = new TreeMap<>();
  private final List<Reader> readers = new ArrayList<>();

  /**
   * Told how far to wait, in no order; each leaves as that far is known, or as its time is over.
   */
  private final List<Ready> readable = new ArrayList<>();

  private Moment now;
  private Moment askAt;
  private Moment heardAt;
  private Moment sureAt = Moment.DISTANT_PAST;
  private int asked;
  private int turn;
  private int leader = -1;
  private int hops;
  private long request;
  private long number;

  /**
   * @param firstNumber of its wishes, higher than in any earlier life: the wall's clock in
   *     microseconds
   */
  public LogFollower(
      Terms terms,
      int own,
      TreeMap<Integer, String> first,
      long firstNumber,
      StateMachine machine,
      Port port) {
    this.terms = terms;
    this.own = own;
    this.first = first;
    this.port = port;
    this.number = firstNumber;
    this.decided = new CommittedLog(machine);
    this.turn = own;
  }

  public void start(Moment at) {
    now = at;
    askAt = at;
    heardAt = at;
    asked = nextVoter();
    step(at);
  }

  /** How many decisions it knows. */
  public long index() {
    return decided.index();
  }

  /**
   * The latest moment at which, as it knows, a majority answered a leader: how old its word may be.
   */
  public Moment sureAt() {
    return sureAt;
  }

  /** The voter that it asks, or -1. */
  public int asks() {
    return asked;
  }

  /** Who leads the council, as it was last told; -1. */
  public int leader() {
    return leader;
  }

  public Voters voters() {
    return decided.voters();
  }

  /** Wants something decided; false where too much waits. */
  public boolean wants(Moment at, byte[] decision, Proposal wish) {
    return wants(at, Entry.Kind.DECISION, decision, wish);
  }

  /**
   * Wants other voters. Whether they have come to be shows in {@link #voters}: the wish ends once
   * it is placed.
   */
  public boolean wantsVoters(Moment at, Voters next, Proposal wish) {
    return wants(at, Entry.Kind.VOTERS, next.bytes(), wish);
  }

  private boolean wants(Moment at, Entry.Kind kind, byte[] payload, Proposal wish) {
    now = at;
    if (wishes.size() >= MOST_WISHES) {
      return false;
    }
    Open o =
        new Open(new Entry(0, kind, own, number++, payload), wish, now.plus(terms.wishes()), now);
    wishes.put(o.entry.number(), o);
    step(at);
    return true;
  }

  /**
   * Runs it once all that was decided before now is known here; not at all where that takes too
   * long.
   */
  public boolean whenSure(Moment at, Runnable then) {
    now = at;
    if (readers.size() + readable.size() >= MOST_WISHES) {
      return false;
    }
    readers.add(new Reader(then, now.plus(terms.wishes()), now));
    step(at);
    return true;
  }

  /** The moment at which it wants to be stepped, at the latest. */
  public Moment next() {
    Moment next = askAt;
    if (!wishes.isEmpty()) {
      Open o = wishes.firstEntry().getValue();
      next = o.askAt.before(next) ? o.askAt : next;
    }
    for (Reader r : readers) {
      next = r.askAt.before(next) ? r.askAt : next;
    }
    return next;
  }

  public void step(Moment at) {
    now = at;
    if (!now.before(heardAt.plus(terms.silent()))) {
      asked = nextVoter();
      heardAt = now;
      askAt = now;
    }
    if (!now.before(askAt)) {
      askAt = now.plus(terms.ask());
      send(
          asked,
          RaftMessage.of(RaftMessage.Kind.FOLLOW, own, 0, 0)
              .at(decided.index(), 0)
              .round(++request));
    }
    for (Open o : List.copyOf(wishes.values())) {
      if (!now.before(o.until)) {
        ended(o, false);
      }
    }
    // One at a time: a later one that is decided first would have the earlier one passed over as an
    // old one.
    Open first = wishes.isEmpty() ? null : wishes.firstEntry().getValue();
    if (first != null && !now.before(first.askAt)) {
      leader = first.unanswered ? -1 : leader; // it may be gone: whoever is followed knows better
      first.unanswered = true;
      first.askAt = now.plus(terms.silent());
      send(
          RaftMessage.of(RaftMessage.Kind.PROPOSE, own, 0, 0)
              .round(first.entry.number())
              .with(List.of(first.entry)));
    }
    readers.removeIf(r -> !now.before(r.until));
    readable.removeIf(r -> !now.before(r.reader().until));
    for (Reader r : readers) {
      if (!now.before(r.askAt)) {
        leader = r.unanswered ? -1 : leader;
        r.unanswered = true;
        r.askAt = now.plus(terms.silent());
        r.request = ++request;
        send(RaftMessage.of(RaftMessage.Kind.READ, own, 0, 0).round(request));
      }
    }
  }

  /** To the leader, as far as it is known. */
  private void send(RaftMessage w) {
    send(leader >= 0 ? leader : asked, w);
  }

  private int nextVoter() {
    List<Integer> all =
        new ArrayList<>(
            decided.voters().chairs().isEmpty() ? first.keySet() : decided.voters().voting());
    if (all.isEmpty()) {
      return -1;
    }
    return all.get(Math.floorMod(turn++, all.size()));
  }

  private void send(int voter, RaftMessage w) {
    Voters.Chair c = decided.voters().chairs().get(voter);
    String address = c == null ? first.get(voter) : c.address();
    if (address != null) {
      port.send(voter, address, w);
    }
  }

  public void heard(Moment at, RaftMessage w) {
    now = at;
    switch (w.kind()) {
      case FOLLOWED -> {
        long i = w.index();
        for (Entry e : w.entries()) {
          if (++i == decided.index() + 1) {
            decided.apply(i, e);
          }
        }
        fresh(w);
        came(w);
      }
      case REPLACED -> {
        if (w.index() > decided.index()) {
          decided.restore(w.index(), w.whole());
        }
        fresh(w);
        came(w);
      }
      case PLACED -> {
        Open o = wishes.get(w.round());
        boolean elsewhere = leads(w);
        if (o != null && w.yes() && o.entry.kind() == Entry.Kind.DECISION) {
          o.unanswered = false;
        } else if (o != null && w.yes()) {
          ended(o, true);
        } else if (o != null && !w.yes()) {
          o.unanswered = false;
          o.askAt = elsewhere ? now : now.plus(terms.ask());
        }
      }
      case READABLE -> {
        boolean elsewhere = leads(w);
        for (Reader r : List.copyOf(readers)) {
          if (r.request == w.round() && w.yes()) {
            readers.remove(r);
            readable.add(new Ready(w.index(), r));
            askAt = now;
          } else if (r.request == w.round()) {
            r.unanswered = false;
            r.askAt = elsewhere ? now : now.plus(terms.ask());
          }
        }
        sure();
      }
      default -> {
        // nothing else is told to whoever follows
      }
    }
    step(at);
  }

  /** Takes whom it names as the leader; true where that is somebody else, to be asked at once. */
  private boolean leads(RaftMessage w) {
    leader = w.yes() ? w.from() : (int) Math.min(w.index(), 0xffff);
    return !w.yes() && leader >= 0 && leader != w.from() && hops++ < MOST_HOPS;
  }

  private void fresh(RaftMessage w) {
    hops = 0;
    // Guards against a voter that answers and is itself cut off, or votes no more: another is
    // asked. It could hurt where the
    // council has no majority: then one after another is asked, each for as long.
    heardAt = w.age() < terms.silent().times(2).micros() ? now : heardAt;
    if (decided.index() >= w.commit()) {
      sureAt =
          sureAt.orLater(
              now.minus(new Span(Math.max(0, Math.min(w.age(), Span.ofSeconds(3600).micros())))));
    }
  }

  /** More is there than one word held: it is asked for at once. */
  private void came(RaftMessage w) {
    if (decided.index() < w.commit()) {
      askAt = now;
    }
    for (Open o : List.copyOf(wishes.values())) {
      if (o.entry.number() <= decided.lastOf(own) && o.entry.kind() == Entry.Kind.DECISION) {
        ended(o, true);
      }
    }
    sure();
  }

  private void sure() {
    for (Ready r : List.copyOf(readable)) {
      if (r.index() <= decided.index()) {
        readable.remove(r);
        r.reader().then.run();
      }
    }
  }

  private void ended(Open o, boolean done) {
    wishes.remove(o.entry.number());
    o.wish.ended(done);
  }
}
