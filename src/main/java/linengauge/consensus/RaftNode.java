package linengauge.consensus;

import java.util.List;
import linengauge.Moment;
import linengauge.Span;
import linengauge.consensus.Entry.Kind;

/**
 * One voter of the council: Raft (Ongaro and Ousterhout 2014, figure 2; Ongaro's thesis 2014,
 * chapters 4, 6.4 and 9.6), which rule stands where is in docs/design/council.md. It is told the
 * time, receives messages, and acts through {@link Port}.
 *
 * <p>This class takes calls from outside, changes role and term, and ends each call in {@link
 * #settle}, the one place where anything leaves: not before all that it rests on lasts. The rest is
 * split by concern: {@link Elections}, {@link LeaderReplication} and {@link FollowerReplication},
 * {@link Snapshots}, {@link VoterChanges}, {@link ReadRequests}, {@link FollowRequests}, over
 * {@link RaftState}.
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

  /** Raft's roles (5.1), and that of one in a pre-vote (thesis 9.6). */
  public enum Role {
    FOLLOWER,
    WOULD_LEAD,
    CANDIDATE,
    LEADER
  }

  /** In the place of an index: the entry was not placed in the log. */
  public static final long NOT_PLACED = -1;

  /** A step so late, as a part of an election's time, is a pause of this process. */
  private static final double STAND_STILL = 0.5;

  private final Port port;
  private final RaftState state;
  private final Outbox outbox = new Outbox();
  private final Elections elections;
  private final Snapshots snapshots;
  private final LeaderReplication leading;
  private final FollowerReplication following;
  private final VoterChanges voterChanges;
  private final ReadRequests reads;
  private final FollowRequests followRequests;
  private Moment nextSaveAt = Moment.DISTANT_PAST;
  private long failures;

  /** When it last went on after it stood still. */
  private Moment resumedAt = Moment.DISTANT_PAST;

  /**
   * @param seed of how long it waits before it wants to lead: one for each front, so that two
   *     seldom want it at once
   */
  public RaftNode(
      RaftSettings settings,
      int own,
      PersistentState saved,
      StateMachine machine,
      long seed,
      Port port) {
    this.port = port;
    this.state = new RaftState(settings, own, saved, machine);
    this.elections = new Elections(this, state, outbox, seed);
    this.snapshots = new Snapshots(state, outbox);
    this.leading = new LeaderReplication(this, state, outbox, snapshots);
    this.following = new FollowerReplication(this, state, outbox, elections, snapshots);
    this.voterChanges = new VoterChanges(this, state, leading);
    this.reads = new ReadRequests(this, state, outbox, leading);
    this.followRequests = new FollowRequests(this, state, outbox, snapshots);
  }

  /** The same voter in another world, for an exploration; the machine is a fresh one. */
  protected RaftNode(RaftNode other, StateMachine machine, Port port) {
    this(
        other.state.settings(),
        other.state.own(),
        other.state.durable().toSave(),
        machine,
        other.elections.seed(),
        port);
    state.copyVolatile(other.state);
    elections.copyFrom(other.elections);
    leading.copyFrom(other.leading);
    following.copyFrom(other.following);
    reads.copyFrom(other.reads);
    nextSaveAt = other.nextSaveAt;
    failures = other.failures;
    resumedAt = other.resumedAt;
    state.applyCommitted();
  }

  public void start(Moment at) {
    state.setNow(at);
    elections.resetTimer();
  }

  /* ---- what is known of it ---- */

  public Role role() {
    return state.role();
  }

  public long term() {
    return state.term();
  }

  public int number() {
    return state.own();
  }

  /** Who leads, as far as it knows; -1. */
  public int leader() {
    return state.leader();
  }

  public long commit() {
    return state.commitIndex();
  }

  public long last() {
    return state.log().last();
  }

  /** Those that count now, decided or not. */
  public Voters voters() {
    return state.voters();
  }

  public CommittedLog decided() {
    return state.committed();
  }

  /**
   * For how long at the most what is known here may be out of date. Guards against a leader that
   * has committed nothing of its own term yet: what earlier leaders committed last may be unknown
   * to it (Raft, 8). Hurts by an exchange after each election, in which nobody is told a fresh
   * word.
   */
  Span age() {
    boolean knowsAll =
        state.isLeader() && leading.hasCommittedInOwnTerm() && !mayReadQueuedMessages();
    return knowsAll ? leading.quorumContactAge() : following.age();
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
    Log log = state.log();
    return index <= log.base() || index > log.last() ? null : log.at(index);
  }

  /** The moment at which it wants to be stepped, at the latest. */
  public Moment next() {
    Moment next = state.isLeader() ? leading.heartbeatAt() : elections.deadline();
    return state.durable().isUnsaved() && nextSaveAt.isBefore(next) ? nextSaveAt : next;
  }

  /* ---- what happens ---- */

  private void arrive(Moment at) {
    if (stoodStill(next(), at)) {
      resumedAt = at;
    }
    state.setNow(at);
  }

  /**
   * Guards against messages that queued while this process stood still, taken for just sent: what
   * they say of how fresh it is counts from the pause's end. Hurts by an election's time after each
   * pause, in which nobody is told a fresh word.
   */
  protected boolean stoodStill(Moment due, Moment at) {
    return due.plus(state.settings().election().times(STAND_STILL)).isBefore(at);
  }

  /** Whether what it reads now may have been sent long ago. */
  boolean mayReadQueuedMessages() {
    return state.now().since(resumedAt).isShorterThan(state.settings().election());
  }

  public void step(Moment at) {
    arrive(at);
    if (state.isLeader()) {
      if (checksQuorum() && !leading.hasQuorumContact()) {
        // thesis 6.2: cut off from most of them, or frozen meanwhile, it leads nobody
        becomeFollower(RaftState.NO_LEADER);
      } else if (!at.isBefore(leading.heartbeatAt())) {
        leading.sendHeartbeats();
      }
    } else if (!at.isBefore(elections.deadline())) {
      elections.startPreVote();
    }
    settle();
  }

  /**
   * Wants a decision.
   *
   * @return where it was placed, which decides nothing yet; {@link #NOT_PLACED} where this voter
   *     does not lead or too many wait
   */
  public long propose(Moment at, long author, long number, byte[] payload) {
    arrive(at);
    long placed =
        leading.appendToLog(new Entry(state.term(), Kind.DECISION, author, number, payload));
    settle();
    return placed;
  }

  /**
   * Wants other voters, one step from those that count now, and not before the last step is
   * decided.
   *
   * @return where it was placed, or {@link #NOT_PLACED}
   */
  public long change(Moment at, Voters next) {
    arrive(at);
    long placed = voterChanges.change(next);
    settle();
    return placed;
  }

  /** A message has come from another voter, proved to be of the fleet. */
  public void heard(Moment at, RaftMessage message) {
    arrive(at);
    switch (message.kind()) {
      case WOULD_YOU -> elections.onPreVoteRequest(message);
      case WOULD -> elections.onPreVoteReply(message);
      case VOTE_FOR_ME -> elections.onVoteRequest(message);
      case VOTED -> elections.onVoteReply(message);
      case APPEND, INSTALL -> following.onLeaderMessage(message);
      case TAKEN -> leading.onAppendReply(message);
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
    arrive(at);
    switch (message.kind()) {
      case FOLLOW -> followRequests.onFollowRequest(asker, message);
      case PROPOSE -> onProposal(asker, message);
      case READ -> reads.onReadRequest(asker, message);
      default -> {
        // nothing else is asked
      }
    }
    settle();
  }

  private void onProposal(long asker, RaftMessage message) {
    List<Entry> entries = message.entries();
    long placed = entries.size() == 1 ? place(entries.get(0)) : NOT_PLACED;
    boolean yes = placed > 0;
    outbox.answer(
        asker,
        state
            .newMessage(RaftMessage.Kind.PLACED)
            .round(message.round())
            .yes(yes)
            .at(yes ? placed : leader(), 0));
  }

  private long place(Entry entry) {
    boolean allowed =
        switch (entry.kind()) {
          case DECISION -> true;
          case VOTERS -> mayChange(Voters.of(entry.payload()));
          default -> false;
        };
    return allowed ? leading.appendToLog(entry) : NOT_PLACED;
  }

  /* ---- role and term ---- */

  /** 5.1: whoever learns of a higher term follows in it. */
  void adoptTerm(long term) {
    state.durable().enterTerm(term, DurableState.NOBODY);
    becomeFollower(RaftState.NO_LEADER);
  }

  void becomeFollower(int leader) {
    if (state.isLeader()) {
      elections.resetTimer();
      reads.refuseAll(leader);
      leading.stop();
    }
    state.setRole(Role.FOLLOWER);
    state.setLeader(leader);
  }

  void becomeLeader() {
    state.setRole(Role.LEADER);
    state.setLeader(state.own());
    leading.start();
  }

  void promoteCaughtUp(int number) {
    voterChanges.promoteCaughtUp(number);
  }

  /* ---- guards; an exploration takes them out one by one ---- */

  /** Asks whether it could win before it raises its term. */
  protected boolean usesPreVote() {
    return true;
  }

  /** A leader that a majority does not answer leads nobody. */
  protected boolean checksQuorum() {
    return true;
  }

  /**
   * Guards against a voter whose folder was emptied: it has forgotten what it promised, and could
   * promise the opposite.
   */
  protected boolean isFromKnownStore(RaftMessage message) {
    return state.voters().holds(message.from(), message.store());
  }

  /** Other voters may be placed in the log now. */
  protected boolean mayChange(Voters next) {
    return voterChanges.mayChange(next);
  }

  /**
   * An entry of the own term is decided: no other leader's step can come to be decided any more.
   */
  protected boolean hasCommittedInOwnTerm() {
    return leading.hasCommittedInOwnTerm();
  }

  /** An entry of that term, which a majority holds, is committed by that (5.4.2). */
  protected boolean mayCommit(long ofTerm) {
    return ofTerm == state.term();
  }

  /** A majority has answered since. */
  protected boolean isFresh(long asked, long answered) {
    return answered >= asked;
  }

  /* ---- the one place where anything leaves ---- */

  private void settle() {
    if (state.durable().isUnsaved() && !save()) {
      outbox.clear();
      if (state.isLeader()) {
        becomeFollower(RaftState.NO_LEADER);
        outbox.clear();
      }
      return;
    }
    if (state.isLeader()) {
      leading.advanceCommit();
      reads.answerReads();
    }
    state.applyCommitted();
    snapshots.compact();
    outbox.flush(port);
  }

  /**
   * Guards against promises that a crash takes back (figure 2: persistent state is updated before
   * responding). Where the disk refuses, nothing is said; the next try waits, so that a full disk
   * is not asked all the time.
   */
  protected boolean save() {
    if (state.now().isBefore(nextSaveAt)) {
      return false;
    }
    try {
      port.save(state.durable().toSave());
      markSaved();
      failures = 0;
      return true;
    } catch (SaveFailedException e) {
      failures++;
      nextSaveAt = state.now().plus(state.settings().saveAgain());
      return false;
    }
  }

  protected final void markSaved() {
    state.durable().markSaved();
  }

  /** All on which anything to come depends, but for the time of day; for an exploration. */
  public List<Object> mark() {
    return List.of(state.mark(), elections.mark(), leading.mark(), following.mark(), reads.mark());
  }
}
