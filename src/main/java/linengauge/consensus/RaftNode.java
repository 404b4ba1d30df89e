package linengauge.consensus;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import linengauge.Moment;
import linengauge.Span;
import linengauge.consensus.Entry.Kind;

/**
 * One voter of the council: Raft (Ongaro and Ousterhout 2014, figure 2; Ongaro's thesis 2014,
 * chapters 4, 6.4 and 9.6), which rule stands where is in docs/design/council.md. It is told the
 * time, hears words, and acts through {@link Port}. Each call ends in {@link #settle}, the one
 * place where anything leaves: not before all that it rests on lasts.
 */
public class RaftNode {
  /** What it acts through. */
  public interface Port {
    /** Makes it last; comes back only once it does. */
    void save(PersistentState saved) throws SaveFailedException;

    /** To another voter, to be lost if need be. */
    void send(int to, RaftMessage word);

    /** To whoever made that request. */
    void answer(long asker, RaftMessage word);
  }

  public enum Role {
    FOLLOWER,
    WOULD_LEAD,
    CANDIDATE,
    LEADER
  }

  /** What a leader holds of another (figure 2: nextIndex, matchIndex). */
  private static final class Peer {
    private long next;
    private long match;
    private Moment heardAt;
    private long round;
    private Moment wholeAt = Moment.DISTANT_PAST;

    private Peer copy() {
      Peer p = new Peer();
      p.next = next;
      p.match = match;
      p.heardAt = heardAt;
      p.round = round;
      p.wholeAt = wholeAt;
      return p;
    }
  }

  /** Somebody wants to know that all decided before now is known. */
  private record Read(long asker, long theirs, long index, long round) {}

  private record Out(int to, long asker, RaftMessage word) {}

  private static final int MOST_READS = 256;
  private static final int MOST_OPEN_BYTES = 512 * 1024;

  private final RaftSettings terms;
  private final int own;
  private final Port port;
  private final CommittedLog decided;
  private final long seed;
  /* What lasts. */
  private final long store;
  private long term;
  private int voted;
  private final Log log;
  private byte[] base;
  private Voters baseVoters;
  private boolean unsaved;
  private long savedLast;
  /* What does not. */
  private Moment now;
  private Role role = Role.FOLLOWER;
  private int leader = -1;
  private long commit;
  private Voters voters;
  private Moment heardLeaderAt = Moment.DISTANT_PAST;

  /** The latest moment of which it knows that all decided until then is known here. */
  private Moment sureAt = Moment.DISTANT_PAST;

  private Moment electionAt;
  private Moment beatAt;
  private Moment saveAt = Moment.DISTANT_PAST;
  private long failures;
  private int campaigns;
  private final TreeSet<Integer> ayes = new TreeSet<>();
  private final Map<Integer, Peer> peers = new TreeMap<>();
  private final List<Read> reads = new ArrayList<>();
  private long round;
  private long firstOwn;
  private final List<Out> outbox = new ArrayList<>();

  /**
   * @param seed of how long it waits before it wants to lead: one for each front, so that two
   *     seldom want it at once
   */
  public RaftNode(
      RaftSettings terms,
      int own,
      PersistentState saved,
      StateMachine machine,
      long seed,
      Port port) {
    this.terms = terms;
    this.own = own;
    this.port = port;
    this.seed = seed;
    this.store = saved.store();
    this.term = saved.term();
    this.voted = saved.voted();
    this.log = new Log(saved.baseIndex(), saved.baseTerm(), saved.entries());
    this.base = saved.base();
    this.decided = new CommittedLog(machine);
    decided.restore(saved.baseIndex(), base);
    this.baseVoters = decided.voters();
    this.voters = log.voters(baseVoters);
    this.commit = saved.baseIndex();
    this.savedLast = log.last();
  }

  /** The same voter in another world, for an exploration; the machine is a fresh one. */
  protected RaftNode(RaftNode o, StateMachine machine, Port port) {
    this(o.terms, o.own, o.saved(), machine, o.seed, port);
    this.now = o.now;
    this.role = o.role;
    this.leader = o.leader;
    this.heardLeaderAt = o.heardLeaderAt;
    this.sureAt = o.sureAt;
    this.electionAt = o.electionAt;
    this.beatAt = o.beatAt;
    this.saveAt = o.saveAt;
    this.failures = o.failures;
    this.campaigns = o.campaigns;
    this.ayes.addAll(o.ayes);
    o.peers.forEach((n, p) -> peers.put(n, p.copy()));
    this.reads.addAll(o.reads);
    this.round = o.round;
    this.firstOwn = o.firstOwn;
    this.unsaved = o.unsaved;
    this.savedLast = o.savedLast;
    this.commit = o.commit;
    apply();
  }

  public void start(Moment at) {
    now = at;
    electionAt = at.plus(patience());
  }

  /* ---- what is known of it ---- */

  public Role role() {
    return role;
  }

  public long term() {
    return term;
  }

  public int number() {
    return own;
  }

  /** Who leads, as far as it knows; -1. */
  public int leader() {
    return role == Role.LEADER ? own : leader;
  }

  public long commit() {
    return commit;
  }

  public long last() {
    return log.last();
  }

  /** Those that count now, decided or not. */
  public Voters voters() {
    return voters;
  }

  public CommittedLog decided() {
    return decided;
  }

  /** How often in a row a state could not be saved. */
  public long failures() {
    return failures;
  }

  /**
   * An entry that it holds, for whoever judges; null where it is folded into the state or not
   * there.
   */
  public Entry entry(long index) {
    return index <= log.base() || index > log.last() ? null : log.at(index);
  }

  /** The moment at which it wants to be stepped, at the latest. */
  public Moment next() {
    Moment next = role == Role.LEADER ? beatAt : electionAt;
    return unsaved && saveAt.before(next) ? saveAt : next;
  }

  private PersistentState saved() {
    return new PersistentState(store, term, voted, log.base(), log.baseTerm(), base, log.all());
  }

  /* ---- what happens ---- */

  public void step(Moment at) {
    now = at;
    if (role == Role.LEADER) {
      if (!mostHeard()) {
        follow(-1); // thesis 6.2: cut off from most of them, or frozen meanwhile, it leads nobody
      } else if (!now.before(beatAt)) {
        beat();
      }
    } else if (!now.before(electionAt)) {
      wouldLead();
    }
    settle();
  }

  /**
   * Wants a decision.
   *
   * @return where it was placed, which decides nothing yet; -1 where this voter does not lead or
   *     too many wait
   */
  public long propose(Moment at, long author, long number, byte[] payload) {
    now = at;
    long placed = place(new Entry(term, Kind.DECISION, author, number, payload));
    settle();
    return placed;
  }

  /**
   * Wants other voters, one step from those that count now, and not before the last step is
   * decided.
   *
   * @return where it was placed, or -1
   */
  public long change(Moment at, Voters next) {
    now = at;
    long placed = mayChange(next) ? place(new Entry(term, Kind.VOTERS, own, 0, next.bytes())) : -1;
    settle();
    return placed;
  }

  /**
   * Guards (Ongaro 2015, the mend of 4.1): two leaders' steps from one ground could have majorities
   * that never meet.
   */
  protected boolean mayChange(Voters next) {
    return next.isOneStepFrom(voters)
        && log.lastVotersIndex() <= commit
        && ownIsDecided()
        && next.most(n -> n == own || heardOf(n)); // or nothing could be decided ever after
  }

  /**
   * An entry of the own term is decided: no other leader's step can come to be decided any more.
   */
  protected boolean ownIsDecided() {
    return firstOwn <= commit;
  }

  /** A word has come, proved to be of the fleet. */
  public void heard(Moment at, RaftMessage w) {
    now = at;
    switch (w.kind()) {
      case WOULD_YOU -> would(w);
      case WOULD -> told(w, Role.WOULD_LEAD, term + 1);
      case VOTE_FOR_ME -> vote(w);
      case VOTED -> told(w, Role.CANDIDATE, term);
      case APPEND, INSTALL -> leads(w);
      case TAKEN -> taken(w);
      default -> {
        // whoever asks comes by ask()
      }
    }
    settle();
  }

  /**
   * Somebody who does not vote asks: to follow, to have something decided, to know how far all is
   * decided.
   */
  public void ask(Moment at, long asker, RaftMessage w) {
    now = at;
    switch (w.kind()) {
      case FOLLOW -> tell(asker, w);
      case PROPOSE -> {
        long placed = w.entries().size() == 1 ? asked(w.entries().get(0)) : -1;
        answer(
            asker,
            word(RaftMessage.Kind.PLACED)
                .round(w.round())
                .yes(placed > 0)
                .at(placed > 0 ? placed : leader(), 0));
      }
      case READ -> read(asker, w);
      default -> {
        // nothing else is asked
      }
    }
    settle();
  }

  private long asked(Entry e) {
    return e.kind() == Kind.DECISION || e.kind() == Kind.VOTERS && mayChange(Voters.of(e.payload()))
        ? place(e)
        : -1;
  }

  /* ---- elections ---- */

  /**
   * Between once and twice the least silence, another each time, the same for the same front, term
   * and try.
   */
  private Span patience() {
    var chance = new SplittableRandom(seed * 31 + term * 7919 + campaigns);
    return new Span(terms.election().micros() + chance.nextLong(terms.election().micros()));
  }

  /**
   * Asks first whether it could win (thesis 9.6): one that was cut off comes back without a higher
   * term.
   */
  private void wouldLead() {
    campaigns++;
    electionAt = now.plus(patience());
    leader = -1;
    if (!voters.votes(own) || !voters.holds(own, store)) {
      return;
    }
    role = Role.WOULD_LEAD;
    ayes.clear();
    ayes.add(own);
    if (!asksFirst() || voters.most(ayes::contains)) {
      campaign();
    } else {
      toAll(word(RaftMessage.Kind.WOULD_YOU, term + 1).at(log.last(), log.lastTerm()));
    }
  }

  protected boolean asksFirst() {
    return true;
  }

  private void campaign() {
    role = Role.CANDIDATE;
    term++;
    voted = own;
    unsaved = true;
    ayes.clear();
    ayes.add(own);
    electionAt = now.plus(patience());
    if (voters.most(ayes::contains)) {
      lead();
    } else {
      toAll(word(RaftMessage.Kind.VOTE_FOR_ME).at(log.last(), log.lastTerm()));
    }
  }

  private void would(RaftMessage w) {
    boolean yes = w.term() > term && upToDate(w) && !hearsLeader();
    send(w.from(), word(RaftMessage.Kind.WOULD, yes ? w.term() : term).yes(yes));
  }

  private boolean hearsLeader() {
    return role == Role.LEADER || now.since(heardLeaderAt).under(terms.election());
  }

  /** Its log is as new as this one's (5.4.1). */
  private boolean upToDate(RaftMessage w) {
    return w.indexTerm() > log.lastTerm()
        || w.indexTerm() == log.lastTerm() && w.index() >= log.last();
  }

  private void vote(RaftMessage w) {
    if (w.term() > term) {
      adopt(w.term());
    }
    boolean yes = w.term() == term && (voted < 0 || voted == w.from()) && upToDate(w);
    if (yes) {
      role = Role.FOLLOWER; // whoever leads or asks in this term has voted for itself
      unsaved |= voted != w.from();
      voted = w.from();
      electionAt = now.plus(patience());
    }
    send(w.from(), word(RaftMessage.Kind.VOTED).yes(yes));
  }

  private void told(RaftMessage w, Role as, long of) {
    if (!w.yes() && w.term() > term) {
      adopt(w.term());
    } else if (w.yes() && role == as && w.term() == of && counts(w)) {
      ayes.add(w.from());
      if (!voters.most(ayes::contains)) {
        return;
      }
      if (as == Role.WOULD_LEAD) {
        campaign();
      } else {
        lead();
      }
    }
  }

  /**
   * Guards against a voter whose folder was emptied: it has forgotten what it promised, and could
   * promise the opposite.
   */
  protected boolean counts(RaftMessage w) {
    return voters.holds(w.from(), w.store());
  }

  private void adopt(long t) {
    term = t;
    voted = -1;
    unsaved = true;
    follow(-1);
  }

  private void follow(int of) {
    if (role == Role.LEADER) {
      electionAt = now.plus(patience());
      for (Read r : reads) {
        answer(r.asker, word(RaftMessage.Kind.READABLE).round(r.theirs).at(of, 0));
      }
      reads.clear();
      peers.clear();
    }
    role = Role.FOLLOWER;
    leader = of;
  }

  private void lead() {
    role = Role.LEADER;
    leader = own;
    peers.clear();
    round = 0;
    peersOf(voters);
    firstOwn = log.last() + 1;
    log.add(Entry.blank(term));
    unsaved = true;
    beat();
  }

  private void peersOf(Voters all) {
    peers.keySet().removeIf(n -> !all.chairs().containsKey(n));
    for (int n : all.chairs().keySet()) {
      if (n != own && !peers.containsKey(n)) {
        Peer p = new Peer();
        p.next = log.last() + 1;
        p.heardAt = now;
        peers.put(n, p);
      }
    }
  }

  /* ---- a leader's words ---- */

  private boolean mostHeard() {
    return !checksMost() || voters.most(n -> n == own || heardOf(n));
  }

  private boolean heardOf(int n) {
    Peer p = peers.get(n);
    return p != null && now.since(p.heardAt).under(terms.election());
  }

  protected boolean checksMost() {
    return true;
  }

  /** For how long at the most no majority may have answered this leader. */
  private Span ageOfMost() {
    List<Long> ages = new ArrayList<>();
    for (int n : voters.voting()) {
      Peer p = peers.get(n);
      ages.add(n == own || p == null ? 0 : now.since(p.heardAt).micros());
    }
    ages.sort(null);
    return ages.isEmpty() ? Span.NONE : new Span(ages.get(ages.size() / 2));
  }

  private void beat() {
    beatAt = now.plus(terms.beat());
    peers.keySet().forEach(this::append);
  }

  private void append(int to) {
    Peer p = peers.get(to);
    RaftMessage w =
        word(RaftMessage.Kind.APPEND).committed(commit, ageOfMost().micros()).round(round);
    if (p.next <= log.base()) {
      if (p.wholeAt.plus(terms.election()).before(now)) {
        p.wholeAt = now;
        send(
            to,
            new RaftMessage(
                RaftMessage.Kind.INSTALL,
                own,
                store,
                term,
                log.base(),
                log.baseTerm(),
                commit,
                round,
                w.age(),
                false,
                List.of(),
                base));
      }
      return;
    }
    List<Entry> more = log.from(p.next, terms.batch());
    send(to, w.at(p.next - 1, log.termAt(p.next - 1)).with(more));
    p.next += more.size();
  }

  private void taken(RaftMessage w) {
    if (w.term() > term) {
      adopt(w.term());
      return;
    }
    Peer p = peers.get(w.from());
    if (role != Role.LEADER || w.term() != term || p == null || !counts(w)) {
      return;
    }
    p.heardAt = now;
    p.round = Math.max(p.round, w.round());
    if (!w.yes()) {
      p.next = Math.max(p.match, Math.min(w.index(), log.last())) + 1;
      // Guards against one that has less than it said it has (an old copy of its folder): it would
      // be asked, and say so, as
      // fast as words travel. It is asked again with the next beat, and never counted for what it
      // has lost.
      if (w.index() >= p.match) {
        append(w.from());
      }
    } else {
      p.match = Math.max(p.match, Math.min(w.index(), log.last()));
      p.next = Math.max(p.next, p.match + 1);
      if (p.next <= log.last()) {
        append(w.from());
      }
      promote(w.from(), p);
    }
  }

  /** One that is brought up votes from when it holds all (thesis 4.2.1). */
  private void promote(int number, Peer p) {
    Voters.Chair c = voters.chairs().get(number);
    if (!c.votes() && p.match == log.last()) {
      Voters next = voters.with(number, new Voters.Chair(c.store(), c.address(), true));
      if (mayChange(next)) {
        place(new Entry(term, Kind.VOTERS, own, 0, next.bytes()));
      }
    }
  }

  private long place(Entry e) {
    if (role != Role.LEADER
        || log.last() - commit >= terms.mostOpen()
        || log.bytesAfter(commit) > MOST_OPEN_BYTES) {
      return -1;
    }
    log.add(e.inTerm(term));
    unsaved = true;
    if (e.kind() == Kind.VOTERS) {
      voters = log.voters(baseVoters);
      peersOf(voters);
    }
    for (int n : peers.keySet()) {
      if (peers.get(n).next == log.last()) {
        append(n);
      }
    }
    return log.last();
  }

  /**
   * Never stale (thesis 6.4): a majority has to answer after it was asked, and an entry of its own
   * term be decided before.
   */
  private void read(long asker, RaftMessage w) {
    if (role != Role.LEADER || firstOwn > commit || reads.size() >= MOST_READS) {
      answer(asker, word(RaftMessage.Kind.READABLE).round(w.round()).at(leader(), 0));
      return;
    }
    reads.add(new Read(asker, w.round(), commit, ++round));
    beat();
  }

  /** A majority has answered since. */
  protected boolean isFresh(long asked, long most) {
    return most >= asked;
  }

  private long roundOfMost() {
    List<Long> rounds = new ArrayList<>();
    for (int n : voters.voting()) {
      Peer p = peers.get(n);
      rounds.add(n == own ? round : p == null ? 0 : p.round);
    }
    rounds.sort(null);
    return rounds.isEmpty() ? 0 : rounds.get((rounds.size() - 1) / 2);
  }

  private void readable() {
    long most = reads.isEmpty() ? 0 : roundOfMost();
    for (Iterator<Read> i = reads.iterator(); i.hasNext(); ) {
      Read r = i.next();
      if (isFresh(r.round, most)) {
        i.remove();
        answer(r.asker, word(RaftMessage.Kind.READABLE).round(r.theirs).at(r.index, 0).yes(true));
      }
    }
  }

  /* ---- a follower's part ---- */

  private void leads(RaftMessage w) {
    if (w.term() < term) {
      send(w.from(), word(RaftMessage.Kind.TAKEN));
      return;
    }
    if (w.term() > term) {
      adopt(w.term());
    }
    if (role == Role.LEADER) {
      throw new IllegalStateException(
          "two leaders of term " + term + ": " + own + " and " + w.from());
    }
    follow(w.from());
    heardLeaderAt = now;
    electionAt = now.plus(patience());
    if (w.kind() == RaftMessage.Kind.INSTALL) {
      install(w);
    } else {
      take(w);
    }
    if (commit >= w.commit()) {
      sureAt = sureAt.orLater(now.minus(new Span(Math.max(0, w.age()))));
    }
  }

  private void take(RaftMessage w) {
    List<Entry> more = w.entries();
    long before = w.index();
    long upTo = before + more.size();
    if (before < log.base()) { // what is folded into the state is decided, and the same there
      more = more.subList((int) Math.min(more.size(), log.base() - before), more.size());
      before = log.base();
    } else if (log.termAt(before)
        != w.indexTerm()) { // 5.3: nothing is taken unless what is before it is the same
      send(
          w.from(),
          word(RaftMessage.Kind.TAKEN)
              .round(w.round())
              .at(before > log.last() ? log.last() : commit, 0));
      return;
    }
    for (Entry e : more) {
      before++;
      if (log.termAt(before) == e.term()) {
        continue;
      }
      if (before <= commit) {
        throw new IllegalStateException(
            "entry " + before + " is decided, and the leader of term " + term + " has another");
      }
      if (before <= log.last()) {
        log.cutFrom(before);
      }
      log.add(e);
      unsaved = true;
    }
    voters = log.voters(baseVoters);
    commit = Math.max(commit, Math.min(w.commit(), upTo));
    send(w.from(), word(RaftMessage.Kind.TAKEN).round(w.round()).yes(true).at(upTo, 0));
  }

  /**
   * 7, figure 13: an older state than what is decided here is passed over; what is held beyond a
   * newer one stays.
   */
  private void install(RaftMessage w) {
    if (w.index() > commit) {
      decided.restore(w.index(), w.whole());
      base = w.whole();
      baseVoters = decided.voters();
      log.base(w.index(), w.indexTerm());
      voters = log.voters(baseVoters);
      commit = w.index();
      unsaved = true;
    }
    send(w.from(), word(RaftMessage.Kind.TAKEN).round(w.round()).yes(true).at(commit, 0));
  }

  /* ---- those who follow ---- */

  private void tell(long asker, RaftMessage w) {
    Span age = role == Role.LEADER ? ageOfMost() : now.since(sureAt).orLess(Span.ofSeconds(3600));
    RaftMessage told =
        word(RaftMessage.Kind.FOLLOWED).committed(commit, age.micros()).round(w.round());
    if (w.index() < log.base()) {
      answer(
          asker,
          new RaftMessage(
              RaftMessage.Kind.REPLACED,
              own,
              store,
              term,
              log.base(),
              log.baseTerm(),
              commit,
              w.round(),
              age.micros(),
              false,
              List.of(),
              base));
    } else {
      long most = Math.min(terms.batch(), Math.max(0, commit - w.index()));
      answer(asker, told.at(w.index(), 0).with(log.from(w.index() + 1, (int) most)));
    }
  }

  /* ---- the one place where anything leaves ---- */

  private void settle() {
    if (unsaved && !save()) {
      outbox.clear();
      if (role == Role.LEADER) {
        follow(-1);
        outbox.clear();
      }
      return;
    }
    if (role == Role.LEADER) {
      count();
      readable();
    }
    apply();
    compact();
    List<Out> out = List.copyOf(outbox);
    outbox.clear();
    for (Out o : out) {
      if (o.to >= 0) {
        port.send(o.to, o.word);
      } else {
        port.answer(o.asker, o.word);
      }
    }
  }

  /**
   * Guards against promises that a crash takes back (figure 2: persistent state is updated before
   * responding). Where the disk refuses, nothing is said; the next try waits, so that a full disk
   * is not asked all the time.
   */
  protected boolean save() {
    if (now.before(saveAt)) {
      return false;
    }
    try {
      port.save(saved());
      lasts();
      failures = 0;
      return true;
    } catch (SaveFailedException e) {
      failures++;
      saveAt = now.plus(terms.saveAgain());
      return false;
    }
  }

  protected final void lasts() {
    unsaved = false;
    savedLast = log.last();
  }

  /**
   * 5.4.2: of what a majority holds, only an entry of the own term is counted; those before it come
   * with it.
   */
  private void count() {
    List<Long> matches = new ArrayList<>();
    for (int n : voters.voting()) {
      Peer p = peers.get(n);
      matches.add(n == own ? savedLast : p == null ? 0 : p.match);
    }
    if (matches.isEmpty()) {
      return;
    }
    matches.sort(null);
    long most = matches.get((matches.size() - 1) / 2);
    if (most > commit && mayCount(log.termAt(most))) {
      commit = most;
      peers
          .keySet()
          .forEach(this::append); // whoever follows hears of it now, not with the next beat
      if (log.lastVotersIndex() <= commit && !voters.votes(own)) {
        follow(-1); // thesis 4.2.2: it led until it was decided that it goes
      }
    }
  }

  protected boolean mayCount(long ofTerm) {
    return ofTerm == term;
  }

  private void apply() {
    for (long i = decided.index() + 1; i <= commit; i++) {
      decided.apply(i, log.at(i));
    }
  }

  private void compact() {
    if (decided.index() - log.base() > terms.compactAt()
        || log.bytesAfter(log.base()) - log.bytesAfter(decided.index()) > MOST_OPEN_BYTES) {
      base = decided.whole();
      baseVoters = decided.voters();
      log.base(decided.index(), log.termAt(decided.index()));
      // Lasts with the next save: until then the store holds the same in longer form.
    }
  }

  private RaftMessage word(RaftMessage.Kind kind) {
    return word(kind, term);
  }

  private RaftMessage word(RaftMessage.Kind kind, long ofTerm) {
    return RaftMessage.of(kind, own, store, ofTerm);
  }

  private void toAll(RaftMessage w) {
    voters.voting().stream().filter(n -> n != own).forEach(n -> send(n, w));
  }

  private void send(int to, RaftMessage w) {
    outbox.add(new Out(to, -1, w));
  }

  private void answer(long asker, RaftMessage w) {
    outbox.add(new Out(-1, asker, w));
  }

  /** All on which anything to come depends, but for the time of day; for an exploration. */
  public List<Object> mark() {
    Map<Integer, List<Object>> others = new LinkedHashMap<>();
    peers.forEach(
        (n, p) -> others.put(n, List.of(p.next, p.match, p.round, ago(p.heardAt), ago(p.wholeAt))));
    return List.of(
        term,
        voted,
        log.base(),
        log.all(),
        Arrays.hashCode(base),
        unsaved,
        savedLast,
        role,
        leader,
        commit,
        campaigns,
        ago(heardLeaderAt),
        ago(sureAt),
        role == Role.LEADER ? 0L : electionAt.since(now).micros(),
        role == Role.LEADER ? beatAt.since(now).micros() : 0L,
        List.copyOf(ayes),
        others,
        List.copyOf(reads),
        round,
        firstOwn);
  }

  private long ago(Moment at) {
    return Math.min(now.since(at).micros(), terms.election().times(4).micros());
  }
}
