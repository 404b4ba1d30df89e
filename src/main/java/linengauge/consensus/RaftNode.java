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
    void send(int to, RaftMessage message);

    /** To whoever made that request. */
    void answer(long asker, RaftMessage message);
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
    private Moment snapshotSentAt = Moment.DISTANT_PAST;

    private Peer copy() {
      Peer p = new Peer();
      p.next = next;
      p.match = match;
      p.heardAt = heardAt;
      p.round = round;
      p.snapshotSentAt = snapshotSentAt;
      return p;
    }
  }

  /** Somebody wants to know that all decided before now is known. */
  private record Read(long asker, long requestId, long index, long round) {}

  private record Outgoing(int to, long asker, RaftMessage message) {}

  private static final int MOST_READS = 256;
  private static final int MOST_OPEN_BYTES = 512 * 1024;

  private final RaftSettings terms;
  private final int own;
  private final Port port;
  private final CommittedLog decided;
  private final long seed;
  /* What lasts. */
  private final long storeId;
  private long term;
  private int votedFor;
  private final Log log;
  private byte[] snapshot;
  private Voters snapshotVoters;
  private boolean unsaved;
  private long lastSaved;
  /* What does not. */
  private Moment now;
  private Role role = Role.FOLLOWER;
  private int leader = -1;
  private long commit;
  private Voters voters;
  private Moment leaderHeardAt = Moment.DISTANT_PAST;

  /** The latest moment of which it knows that all decided until then is known here. */
  private Moment currentUntil = Moment.DISTANT_PAST;

  private Moment electionDeadline;
  private Moment heartbeatAt;
  private Moment nextSaveAt = Moment.DISTANT_PAST;
  private long failures;
  private int electionAttempts;
  private final TreeSet<Integer> votesGranted = new TreeSet<>();
  private final Map<Integer, Peer> peers = new TreeMap<>();
  private final List<Read> reads = new ArrayList<>();
  private long round;
  private long firstOfTerm;
  private final List<Outgoing> outbox = new ArrayList<>();

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
    this.storeId = saved.store();
    this.term = saved.term();
    this.votedFor = saved.voted();
    this.log = new Log(saved.baseIndex(), saved.baseTerm(), saved.entries());
    this.snapshot = saved.base();
    this.decided = new CommittedLog(machine);
    decided.restore(saved.baseIndex(), snapshot);
    this.snapshotVoters = decided.voters();
    this.voters = log.voters(snapshotVoters);
    this.commit = saved.baseIndex();
    this.lastSaved = log.last();
  }

  /** The same voter in another world, for an exploration; the machine is a fresh one. */
  protected RaftNode(RaftNode o, StateMachine machine, Port port) {
    this(o.terms, o.own, o.saved(), machine, o.seed, port);
    this.now = o.now;
    this.role = o.role;
    this.leader = o.leader;
    this.leaderHeardAt = o.leaderHeardAt;
    this.currentUntil = o.currentUntil;
    this.electionDeadline = o.electionDeadline;
    this.heartbeatAt = o.heartbeatAt;
    this.nextSaveAt = o.nextSaveAt;
    this.failures = o.failures;
    this.electionAttempts = o.electionAttempts;
    this.votesGranted.addAll(o.votesGranted);
    o.peers.forEach((n, p) -> peers.put(n, p.copy()));
    this.reads.addAll(o.reads);
    this.round = o.round;
    this.firstOfTerm = o.firstOfTerm;
    this.unsaved = o.unsaved;
    this.lastSaved = o.lastSaved;
    this.commit = o.commit;
    applyCommitted();
  }

  public void start(Moment at) {
    now = at;
    electionDeadline = at.plus(electionTimeout());
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
    Moment next = role == Role.LEADER ? heartbeatAt : electionDeadline;
    return unsaved && nextSaveAt.before(next) ? nextSaveAt : next;
  }

  private PersistentState saved() {
    return new PersistentState(
        storeId, term, votedFor, log.base(), log.baseTerm(), snapshot, log.all());
  }

  /* ---- what happens ---- */

  public void step(Moment at) {
    now = at;
    if (role == Role.LEADER) {
      if (!hasQuorumContact()) {
        becomeFollower(
            -1); // thesis 6.2: cut off from most of them, or frozen meanwhile, it leads nobody
      } else if (!now.before(heartbeatAt)) {
        sendHeartbeats();
      }
    } else if (!now.before(electionDeadline)) {
      startPreVote();
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
    long placed = appendToLog(new Entry(term, Kind.DECISION, author, number, payload));
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
    long placed =
        mayChange(next) ? appendToLog(new Entry(term, Kind.VOTERS, own, 0, next.bytes())) : -1;
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
        && hasCommittedInOwnTerm()
        && next.most(n -> n == own || hasHeardFrom(n)); // or nothing could be decided ever after
  }

  /**
   * An entry of the own term is decided: no other leader's step can come to be decided any more.
   */
  protected boolean hasCommittedInOwnTerm() {
    return firstOfTerm <= commit;
  }

  /** A word has come, proved to be of the fleet. */
  public void heard(Moment at, RaftMessage message) {
    now = at;
    switch (message.kind()) {
      case WOULD_YOU -> onPreVoteRequest(message);
      case WOULD -> onVoteReply(message, Role.WOULD_LEAD, term + 1);
      case VOTE_FOR_ME -> onVoteRequest(message);
      case VOTED -> onVoteReply(message, Role.CANDIDATE, term);
      case APPEND, INSTALL -> onLeaderMessage(message);
      case TAKEN -> onAppendReply(message);
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
  public void ask(Moment at, long asker, RaftMessage message) {
    now = at;
    switch (message.kind()) {
      case FOLLOW -> onFollowRequest(asker, message);
      case PROPOSE -> {
        long placed = message.entries().size() == 1 ? onProposal(message.entries().get(0)) : -1;
        answer(
            asker,
            newMessage(RaftMessage.Kind.PLACED)
                .round(message.round())
                .yes(placed > 0)
                .at(placed > 0 ? placed : leader(), 0));
      }
      case READ -> onReadRequest(asker, message);
      default -> {
        // nothing else is asked
      }
    }
    settle();
  }

  private long onProposal(Entry e) {
    return e.kind() == Kind.DECISION || e.kind() == Kind.VOTERS && mayChange(Voters.of(e.payload()))
        ? appendToLog(e)
        : -1;
  }

  /* ---- elections ---- */

  /**
   * Between once and twice the least silence, another each time, the same for the same front, term
   * and try.
   */
  private Span electionTimeout() {
    var chance = new SplittableRandom(seed * 31 + term * 7919 + electionAttempts);
    return new Span(terms.election().micros() + chance.nextLong(terms.election().micros()));
  }

  /**
   * Asks first whether it could win (thesis 9.6): one that was cut off comes back without a higher
   * term.
   */
  private void startPreVote() {
    electionAttempts++;
    electionDeadline = now.plus(electionTimeout());
    leader = -1;
    if (!voters.votes(own) || !voters.holds(own, storeId)) {
      return;
    }
    role = Role.WOULD_LEAD;
    votesGranted.clear();
    votesGranted.add(own);
    if (!usesPreVote() || voters.most(votesGranted::contains)) {
      startElection();
    } else {
      sendToVoters(newMessage(RaftMessage.Kind.WOULD_YOU, term + 1).at(log.last(), log.lastTerm()));
    }
  }

  protected boolean usesPreVote() {
    return true;
  }

  private void startElection() {
    role = Role.CANDIDATE;
    term++;
    votedFor = own;
    unsaved = true;
    votesGranted.clear();
    votesGranted.add(own);
    electionDeadline = now.plus(electionTimeout());
    if (voters.most(votesGranted::contains)) {
      becomeLeader();
    } else {
      sendToVoters(newMessage(RaftMessage.Kind.VOTE_FOR_ME).at(log.last(), log.lastTerm()));
    }
  }

  private void onPreVoteRequest(RaftMessage message) {
    boolean yes = message.term() > term && upToDate(message) && !hearsLeader();
    send(message.from(), newMessage(RaftMessage.Kind.WOULD, yes ? message.term() : term).yes(yes));
  }

  private boolean hearsLeader() {
    return role == Role.LEADER || now.since(leaderHeardAt).under(terms.election());
  }

  /** Its log is as new as this one's (5.4.1). */
  private boolean upToDate(RaftMessage message) {
    return message.indexTerm() > log.lastTerm()
        || message.indexTerm() == log.lastTerm() && message.index() >= log.last();
  }

  private void onVoteRequest(RaftMessage message) {
    if (message.term() > term) {
      adoptTerm(message.term());
    }
    boolean yes =
        message.term() == term && (votedFor < 0 || votedFor == message.from()) && upToDate(message);
    if (yes) {
      role = Role.FOLLOWER; // whoever leads or asks in this term has voted for itself
      unsaved |= votedFor != message.from();
      votedFor = message.from();
      electionDeadline = now.plus(electionTimeout());
    }
    send(message.from(), newMessage(RaftMessage.Kind.VOTED).yes(yes));
  }

  private void onVoteReply(RaftMessage message, Role as, long of) {
    if (!message.yes() && message.term() > term) {
      adoptTerm(message.term());
    } else if (message.yes() && role == as && message.term() == of && isFromKnownStore(message)) {
      votesGranted.add(message.from());
      if (!voters.most(votesGranted::contains)) {
        return;
      }
      if (as == Role.WOULD_LEAD) {
        startElection();
      } else {
        becomeLeader();
      }
    }
  }

  /**
   * Guards against a voter whose folder was emptied: it has forgotten what it promised, and could
   * promise the opposite.
   */
  protected boolean isFromKnownStore(RaftMessage message) {
    return voters.holds(message.from(), message.store());
  }

  private void adoptTerm(long t) {
    term = t;
    votedFor = -1;
    unsaved = true;
    becomeFollower(-1);
  }

  private void becomeFollower(int of) {
    if (role == Role.LEADER) {
      electionDeadline = now.plus(electionTimeout());
      for (Read r : reads) {
        answer(r.asker, newMessage(RaftMessage.Kind.READABLE).round(r.requestId).at(of, 0));
      }
      reads.clear();
      peers.clear();
    }
    role = Role.FOLLOWER;
    leader = of;
  }

  private void becomeLeader() {
    role = Role.LEADER;
    leader = own;
    peers.clear();
    round = 0;
    trackPeers(voters);
    firstOfTerm = log.last() + 1;
    log.add(Entry.blank(term));
    unsaved = true;
    sendHeartbeats();
  }

  private void trackPeers(Voters all) {
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

  private boolean hasQuorumContact() {
    return !checksQuorum() || voters.most(n -> n == own || hasHeardFrom(n));
  }

  private boolean hasHeardFrom(int n) {
    Peer p = peers.get(n);
    return p != null && now.since(p.heardAt).under(terms.election());
  }

  protected boolean checksQuorum() {
    return true;
  }

  /** For how long at the most no majority may have answered this leader. */
  private Span quorumContactAge() {
    List<Long> ages = new ArrayList<>();
    for (int n : voters.voting()) {
      Peer p = peers.get(n);
      ages.add(n == own || p == null ? 0 : now.since(p.heardAt).micros());
    }
    ages.sort(null);
    return ages.isEmpty() ? Span.NONE : new Span(ages.get(ages.size() / 2));
  }

  private void sendHeartbeats() {
    heartbeatAt = now.plus(terms.beat());
    peers.keySet().forEach(this::sendAppend);
  }

  private void sendAppend(int to) {
    Peer p = peers.get(to);
    RaftMessage message =
        newMessage(RaftMessage.Kind.APPEND)
            .committed(commit, quorumContactAge().micros())
            .round(round);
    if (p.next <= log.base()) {
      if (p.snapshotSentAt.plus(terms.election()).before(now)) {
        p.snapshotSentAt = now;
        send(
            to,
            new RaftMessage(
                RaftMessage.Kind.INSTALL,
                own,
                storeId,
                term,
                log.base(),
                log.baseTerm(),
                commit,
                round,
                message.age(),
                false,
                List.of(),
                snapshot));
      }
      return;
    }
    List<Entry> more = log.from(p.next, terms.batch());
    send(to, message.at(p.next - 1, log.termAt(p.next - 1)).with(more));
    p.next += more.size();
  }

  private void onAppendReply(RaftMessage message) {
    if (message.term() > term) {
      adoptTerm(message.term());
      return;
    }
    Peer p = peers.get(message.from());
    if (role != Role.LEADER || message.term() != term || p == null || !isFromKnownStore(message)) {
      return;
    }
    p.heardAt = now;
    p.round = Math.max(p.round, message.round());
    if (!message.yes()) {
      p.next = Math.max(p.match, Math.min(message.index(), log.last())) + 1;
      // Guards against one that has less than it said it has (an old copy of its folder): it would
      // be asked, and say so, as
      // fast as words travel. It is asked again with the next beat, and never counted for what it
      // has lost.
      if (message.index() >= p.match) {
        sendAppend(message.from());
      }
    } else {
      p.match = Math.max(p.match, Math.min(message.index(), log.last()));
      p.next = Math.max(p.next, p.match + 1);
      if (p.next <= log.last()) {
        sendAppend(message.from());
      }
      promoteCaughtUp(message.from(), p);
    }
  }

  /** One that is brought up votes from when it holds all (thesis 4.2.1). */
  private void promoteCaughtUp(int number, Peer p) {
    Voters.Chair c = voters.chairs().get(number);
    if (!c.votes() && p.match == log.last()) {
      Voters next = voters.with(number, new Voters.Chair(c.store(), c.address(), true));
      if (mayChange(next)) {
        appendToLog(new Entry(term, Kind.VOTERS, own, 0, next.bytes()));
      }
    }
  }

  private long appendToLog(Entry e) {
    if (role != Role.LEADER
        || log.last() - commit >= terms.mostOpen()
        || log.bytesAfter(commit) > MOST_OPEN_BYTES) {
      return -1;
    }
    log.add(e.inTerm(term));
    unsaved = true;
    if (e.kind() == Kind.VOTERS) {
      voters = log.voters(snapshotVoters);
      trackPeers(voters);
    }
    for (int n : peers.keySet()) {
      if (peers.get(n).next == log.last()) {
        sendAppend(n);
      }
    }
    return log.last();
  }

  /**
   * Never stale (thesis 6.4): a majority has to answer after it was asked, and an entry of its own
   * term be decided before.
   */
  private void onReadRequest(long asker, RaftMessage message) {
    if (role != Role.LEADER || firstOfTerm > commit || reads.size() >= MOST_READS) {
      answer(asker, newMessage(RaftMessage.Kind.READABLE).round(message.round()).at(leader(), 0));
      return;
    }
    reads.add(new Read(asker, message.round(), commit, ++round));
    sendHeartbeats();
  }

  /** A majority has answered since. */
  protected boolean isFresh(long asked, long most) {
    return most >= asked;
  }

  private long quorumRound() {
    List<Long> rounds = new ArrayList<>();
    for (int n : voters.voting()) {
      Peer p = peers.get(n);
      rounds.add(n == own ? round : p == null ? 0 : p.round);
    }
    rounds.sort(null);
    return rounds.isEmpty() ? 0 : rounds.get((rounds.size() - 1) / 2);
  }

  private void answerReads() {
    long most = reads.isEmpty() ? 0 : quorumRound();
    for (Iterator<Read> i = reads.iterator(); i.hasNext(); ) {
      Read r = i.next();
      if (isFresh(r.round, most)) {
        i.remove();
        answer(
            r.asker,
            newMessage(RaftMessage.Kind.READABLE).round(r.requestId).at(r.index, 0).yes(true));
      }
    }
  }

  /* ---- a follower's part ---- */

  private void onLeaderMessage(RaftMessage message) {
    if (message.term() < term) {
      send(message.from(), newMessage(RaftMessage.Kind.TAKEN));
      return;
    }
    if (message.term() > term) {
      adoptTerm(message.term());
    }
    if (role == Role.LEADER) {
      throw new IllegalStateException(
          "two leaders of term " + term + ": " + own + " and " + message.from());
    }
    becomeFollower(message.from());
    leaderHeardAt = now;
    electionDeadline = now.plus(electionTimeout());
    if (message.kind() == RaftMessage.Kind.INSTALL) {
      onInstallSnapshot(message);
    } else {
      onAppendEntries(message);
    }
    if (commit >= message.commit()) {
      currentUntil = currentUntil.orLater(now.minus(new Span(Math.max(0, message.age()))));
    }
  }

  private void onAppendEntries(RaftMessage message) {
    List<Entry> more = message.entries();
    long before = message.index();
    long upTo = before + more.size();
    if (before < log.base()) { // what is folded into the state is decided, and the same there
      more = more.subList((int) Math.min(more.size(), log.base() - before), more.size());
      before = log.base();
    } else if (log.termAt(before)
        != message.indexTerm()) { // 5.3: nothing is taken unless what is before it is the same
      send(
          message.from(),
          newMessage(RaftMessage.Kind.TAKEN)
              .round(message.round())
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
    voters = log.voters(snapshotVoters);
    commit = Math.max(commit, Math.min(message.commit(), upTo));
    send(
        message.from(),
        newMessage(RaftMessage.Kind.TAKEN).round(message.round()).yes(true).at(upTo, 0));
  }

  /**
   * 7, figure 13: an older state than what is decided here is passed over; what is held beyond a
   * newer one stays.
   */
  private void onInstallSnapshot(RaftMessage message) {
    if (message.index() > commit) {
      decided.restore(message.index(), message.whole());
      snapshot = message.whole();
      snapshotVoters = decided.voters();
      log.base(message.index(), message.indexTerm());
      voters = log.voters(snapshotVoters);
      commit = message.index();
      unsaved = true;
    }
    send(
        message.from(),
        newMessage(RaftMessage.Kind.TAKEN).round(message.round()).yes(true).at(commit, 0));
  }

  /* ---- those who follow ---- */

  private void onFollowRequest(long asker, RaftMessage message) {
    Span age =
        role == Role.LEADER
            ? quorumContactAge()
            : now.since(currentUntil).orLess(Span.ofSeconds(3600));
    RaftMessage reply =
        newMessage(RaftMessage.Kind.FOLLOWED)
            .committed(commit, age.micros())
            .round(message.round());
    if (message.index() < log.base()) {
      answer(
          asker,
          new RaftMessage(
              RaftMessage.Kind.REPLACED,
              own,
              storeId,
              term,
              log.base(),
              log.baseTerm(),
              commit,
              message.round(),
              age.micros(),
              false,
              List.of(),
              snapshot));
    } else {
      long most = Math.min(terms.batch(), Math.max(0, commit - message.index()));
      answer(asker, reply.at(message.index(), 0).with(log.from(message.index() + 1, (int) most)));
    }
  }

  /* ---- the one place where anything leaves ---- */

  private void settle() {
    if (unsaved && !save()) {
      outbox.clear();
      if (role == Role.LEADER) {
        becomeFollower(-1);
        outbox.clear();
      }
      return;
    }
    if (role == Role.LEADER) {
      advanceCommit();
      answerReads();
    }
    applyCommitted();
    compact();
    List<Outgoing> out = List.copyOf(outbox);
    outbox.clear();
    for (Outgoing o : out) {
      if (o.to >= 0) {
        port.send(o.to, o.message);
      } else {
        port.answer(o.asker, o.message);
      }
    }
  }

  /**
   * Guards against promises that a crash takes back (figure 2: persistent state is updated before
   * responding). Where the disk refuses, nothing is said; the next try waits, so that a full disk
   * is not asked all the time.
   */
  protected boolean save() {
    if (now.before(nextSaveAt)) {
      return false;
    }
    try {
      port.save(saved());
      markSaved();
      failures = 0;
      return true;
    } catch (SaveFailedException e) {
      failures++;
      nextSaveAt = now.plus(terms.saveAgain());
      return false;
    }
  }

  protected final void markSaved() {
    unsaved = false;
    lastSaved = log.last();
  }

  /**
   * 5.4.2: of what a majority holds, only an entry of the own term is counted; those before it come
   * with it.
   */
  private void advanceCommit() {
    List<Long> matches = new ArrayList<>();
    for (int n : voters.voting()) {
      Peer p = peers.get(n);
      matches.add(n == own ? lastSaved : p == null ? 0 : p.match);
    }
    if (matches.isEmpty()) {
      return;
    }
    matches.sort(null);
    long most = matches.get((matches.size() - 1) / 2);
    if (most > commit && mayCommit(log.termAt(most))) {
      commit = most;
      peers
          .keySet()
          .forEach(this::sendAppend); // whoever follows hears of it now, not with the next beat
      if (log.lastVotersIndex() <= commit && !voters.votes(own)) {
        becomeFollower(-1); // thesis 4.2.2: it led until it was decided that it goes
      }
    }
  }

  protected boolean mayCommit(long ofTerm) {
    return ofTerm == term;
  }

  private void applyCommitted() {
    for (long i = decided.index() + 1; i <= commit; i++) {
      decided.apply(i, log.at(i));
    }
  }

  private void compact() {
    if (decided.index() - log.base() > terms.compactAt()
        || log.bytesAfter(log.base()) - log.bytesAfter(decided.index()) > MOST_OPEN_BYTES) {
      snapshot = decided.whole();
      snapshotVoters = decided.voters();
      log.base(decided.index(), log.termAt(decided.index()));
      // Lasts with the next save: until then the store holds the same in longer form.
    }
  }

  private RaftMessage newMessage(RaftMessage.Kind kind) {
    return newMessage(kind, term);
  }

  private RaftMessage newMessage(RaftMessage.Kind kind, long ofTerm) {
    return RaftMessage.of(kind, own, storeId, ofTerm);
  }

  private void sendToVoters(RaftMessage message) {
    voters.voting().stream().filter(n -> n != own).forEach(n -> send(n, message));
  }

  private void send(int to, RaftMessage message) {
    outbox.add(new Outgoing(to, -1, message));
  }

  private void answer(long asker, RaftMessage message) {
    outbox.add(new Outgoing(-1, asker, message));
  }

  /** All on which anything to come depends, but for the time of day; for an exploration. */
  public List<Object> mark() {
    Map<Integer, List<Object>> others = new LinkedHashMap<>();
    peers.forEach(
        (n, p) ->
            others.put(
                n,
                List.of(
                    p.next,
                    p.match,
                    p.round,
                    boundedAge(p.heardAt),
                    boundedAge(p.snapshotSentAt))));
    return List.of(
        term,
        votedFor,
        log.base(),
        log.all(),
        Arrays.hashCode(snapshot),
        unsaved,
        lastSaved,
        role,
        leader,
        commit,
        electionAttempts,
        boundedAge(leaderHeardAt),
        boundedAge(currentUntil),
        role == Role.LEADER ? 0L : electionDeadline.since(now).micros(),
        role == Role.LEADER ? heartbeatAt.since(now).micros() : 0L,
        List.copyOf(votesGranted),
        others,
        List.copyOf(reads),
        round,
        firstOfTerm);
  }

  private long boundedAge(Moment at) {
    return Math.min(now.since(at).micros(), terms.election().times(4).micros());
  }
}
