package linengauge.consensus;

import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import linengauge.Moment;
import linengauge.Span;
import linengauge.consensus.RaftNode.Role;

/** Leader election (Raft, 5.2 and 5.4.1) with a pre-vote (thesis 9.6). */
final class Elections {
  private final RaftNode node;
  private final RaftState state;
  private final Outbox outbox;
  private final long seed;
  private final TreeSet<Integer> votesGranted = new TreeSet<>();
  private Moment leaderHeardAt = Moment.DISTANT_PAST;
  private Moment deadline;
  private int attempts;

  Elections(RaftNode node, RaftState state, Outbox outbox, long seed) {
    this.node = node;
    this.state = state;
    this.outbox = outbox;
    this.seed = seed;
  }

  void copyFrom(Elections other) {
    votesGranted.addAll(other.votesGranted);
    leaderHeardAt = other.leaderHeardAt;
    deadline = other.deadline;
    attempts = other.attempts;
  }

  long seed() {
    return seed;
  }

  /** The moment at which it wants to lead if it hears no leader until then. */
  Moment deadline() {
    return deadline;
  }

  void resetTimer() {
    deadline = state.now().plus(electionTimeout());
  }

  void leaderHeard() {
    leaderHeardAt = state.now();
    resetTimer();
  }

  /**
   * Between once and twice the least silence, another each time, the same for the same front, term
   * and try.
   */
  private Span electionTimeout() {
    var chance = new SplittableRandom(seed * 31 + state.term() * 7919 + attempts);
    Span least = state.settings().election();
    return new Span(least.micros() + chance.nextLong(least.micros()));
  }

  /**
   * Asks first whether it could win (thesis 9.6): one that was cut off comes back without a higher
   * term.
   */
  void startPreVote() {
    attempts++;
    resetTimer();
    state.setLeader(RaftState.NO_LEADER);
    Voters voters = state.voters();
    if (!voters.votes(state.own()) || !voters.holds(state.own(), state.durable().storeId())) {
      return;
    }
    state.setRole(Role.WOULD_LEAD);
    grantOwnVote();
    if (!node.usesPreVote() || hasMajority()) {
      startElection();
    } else {
      requestVotes(RaftMessage.Kind.WOULD_YOU, state.term() + 1);
    }
  }

  private void startElection() {
    state.setRole(Role.CANDIDATE);
    state.durable().enterTerm(state.term() + 1, state.own());
    grantOwnVote();
    resetTimer();
    if (hasMajority()) {
      node.becomeLeader();
    } else {
      requestVotes(RaftMessage.Kind.VOTE_FOR_ME, state.term());
    }
  }

  private void grantOwnVote() {
    votesGranted.clear();
    votesGranted.add(state.own());
  }

  private boolean hasMajority() {
    return state.voters().most(votesGranted::contains);
  }

  private void requestVotes(RaftMessage.Kind kind, long term) {
    Log log = state.log();
    RaftMessage request = state.newMessage(kind, term).at(log.last(), log.lastTerm());
    state.voters().voting().stream()
        .filter(number -> number != state.own())
        .forEach(number -> outbox.send(number, request));
  }

  /** Whoever hears a leader says no (thesis 4.2.3). */
  void onPreVoteRequest(RaftMessage message) {
    boolean yes = message.term() > state.term() && upToDate(message) && !hearsLeader();
    outbox.send(
        message.from(),
        state.newMessage(RaftMessage.Kind.WOULD, yes ? message.term() : state.term()).yes(yes));
  }

  private boolean hearsLeader() {
    return state.isLeader()
        || state.now().since(leaderHeardAt).isShorterThan(state.settings().election());
  }

  /** Its log is as new as this one's (5.4.1). */
  private boolean upToDate(RaftMessage message) {
    Log log = state.log();
    return message.indexTerm() > log.lastTerm()
        || message.indexTerm() == log.lastTerm() && message.index() >= log.last();
  }

  void onVoteRequest(RaftMessage message) {
    if (message.term() > state.term()) {
      node.adoptTerm(message.term());
    }
    int votedFor = state.durable().votedFor();
    boolean yes =
        message.term() == state.term()
            && (votedFor < 0 || votedFor == message.from())
            && upToDate(message);
    if (yes) {
      // whoever leads or asks in this term has voted for itself
      state.setRole(Role.FOLLOWER);
      state.durable().voteFor(message.from());
      resetTimer();
    }
    outbox.send(message.from(), state.newMessage(RaftMessage.Kind.VOTED).yes(yes));
  }

  void onPreVoteReply(RaftMessage message) {
    if (isGranted(message, Role.WOULD_LEAD, state.term() + 1)) {
      startElection();
    }
  }

  void onVoteReply(RaftMessage message) {
    if (isGranted(message, Role.CANDIDATE, state.term())) {
      node.becomeLeader();
    }
  }

  /** Counts a reply; true where it makes the majority of those asked in that role and term. */
  private boolean isGranted(RaftMessage message, Role askedAs, long askedIn) {
    if (!message.yes() && message.term() > state.term()) {
      node.adoptTerm(message.term());
      return false;
    }
    if (!message.yes()
        || state.role() != askedAs
        || message.term() != askedIn
        || !node.isFromKnownStore(message)) {
      return false;
    }
    votesGranted.add(message.from());
    return hasMajority();
  }

  /** All on which anything to come depends, but for the time of day; for an exploration. */
  List<Object> mark() {
    return List.of(
        attempts,
        state.boundedAge(leaderHeardAt),
        state.isLeader() ? 0L : deadline.since(state.now()).micros(),
        List.copyOf(votesGranted));
  }
}
