package linengauge.consensus;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import linengauge.Moment;
import linengauge.Span;

/** A leader's part of log replication (Raft, 5.3 and 5.4.2): heartbeats, entries, what counts. */
final class LeaderReplication {
  private final RaftNode node;
  private final RaftState state;
  private final Outbox outbox;
  private final Snapshots snapshots;
  private final Map<Integer, PeerProgress> peers = new TreeMap<>();
  private Moment heartbeatAt;
  private long round;
  private long firstOfTerm;

  LeaderReplication(RaftNode node, RaftState state, Outbox outbox, Snapshots snapshots) {
    this.node = node;
    this.state = state;
    this.outbox = outbox;
    this.snapshots = snapshots;
  }

  void copyFrom(LeaderReplication other) {
    other.peers.forEach((number, peer) -> peers.put(number, peer.copy()));
    heartbeatAt = other.heartbeatAt;
    round = other.round;
    firstOfTerm = other.firstOfTerm;
  }

  /** Begins to lead; its first entry is blank (8). */
  void start() {
    peers.clear();
    round = 0;
    trackPeers();
    firstOfTerm = state.log().last() + 1;
    state.durable().append(Entry.blank(state.term()));
    sendHeartbeats();
  }

  void stop() {
    peers.clear();
  }

  private void trackPeers() {
    Voters voters = state.voters();
    peers.keySet().removeIf(number -> !voters.chairs().containsKey(number));
    for (int number : voters.chairs().keySet()) {
      if (number != state.own()) {
        peers.computeIfAbsent(number, n -> new PeerProgress(state.log().last() + 1, state.now()));
      }
    }
  }

  /* ---- who is there ---- */

  /** A majority has answered within an election's time (thesis 6.2). */
  boolean hasQuorumContact() {
    return state.voters().most(this::isHeard);
  }

  /** That one, or this voter itself, has been heard within an election's time. */
  boolean isHeard(int number) {
    if (number == state.own()) {
      return true;
    }
    PeerProgress peer = peers.get(number);
    return peer != null
        && state.now().since(peer.heardAt).isShorterThan(state.settings().election());
  }

  /** For how long at the most no majority may have answered this leader. */
  Span quorumContactAge() {
    List<Long> ages = new ArrayList<>();
    for (int number : state.voters().voting()) {
      PeerProgress peer = peers.get(number);
      boolean own = number == state.own() || peer == null;
      ages.add(own ? 0 : state.now().since(peer.heardAt).micros());
    }
    ages.sort(null);
    return ages.isEmpty() ? Span.NONE : new Span(ages.get(ages.size() / 2));
  }

  /** An entry of the own term is committed: no other leader's can come to be any more. */
  boolean hasCommittedInOwnTerm() {
    return firstOfTerm <= state.commitIndex();
  }

  /* ---- heartbeats and entries ---- */

  Moment heartbeatAt() {
    return heartbeatAt;
  }

  void sendHeartbeats() {
    heartbeatAt = state.now().plus(state.settings().beat());
    peers.keySet().forEach(this::sendAppend);
  }

  /**
   * Begins a round of heartbeats whose answers prove that this leader was one after now.
   *
   * @return the round's number
   */
  long startRound() {
    round++;
    return round;
  }

  /** The last round that a majority has answered. */
  long quorumRound() {
    List<Long> rounds = new ArrayList<>();
    for (int number : state.voters().voting()) {
      PeerProgress peer = peers.get(number);
      rounds.add(number == state.own() ? round : peer == null ? 0 : peer.round);
    }
    return heldByMajority(rounds);
  }

  /** The highest value that more than half of these reach; 0 where there are none. */
  private static long heldByMajority(List<Long> values) {
    values.sort(null);
    return values.isEmpty() ? 0 : values.get((values.size() - 1) / 2);
  }

  private void sendAppend(int to) {
    PeerProgress peer = peers.get(to);
    Log log = state.log();
    long age = node.age().micros();
    if (peer.nextIndex <= log.base()) {
      sendSnapshot(to, peer, age);
      return;
    }
    List<Entry> entries = log.from(peer.nextIndex, state.settings().batch());
    long previous = peer.nextIndex - 1;
    outbox.send(
        to,
        state
            .newMessage(RaftMessage.Kind.APPEND)
            .committed(state.commitIndex(), age)
            .round(round)
            .at(previous, log.termAt(previous))
            .with(entries));
    peer.nextIndex += entries.size();
  }

  /** Once an election's time at the most: a snapshot is long, and may be on its way. */
  private void sendSnapshot(int to, PeerProgress peer, long age) {
    if (peer.snapshotSentAt.plus(state.settings().election()).isBefore(state.now())) {
      peer.snapshotSentAt = state.now();
      outbox.send(to, snapshots.newMessage(RaftMessage.Kind.INSTALL, round, age));
    }
  }

  void onAppendReply(RaftMessage message) {
    if (message.term() > state.term()) {
      node.adoptTerm(message.term());
      return;
    }
    PeerProgress peer = peers.get(message.from());
    if (!state.isLeader()
        || message.term() != state.term()
        || peer == null
        || !node.isFromKnownStore(message)) {
      return;
    }
    peer.heardAt = state.now();
    peer.round = Math.max(peer.round, message.round());
    long held = Math.min(message.index(), state.log().last());
    if (message.yes()) {
      onAccepted(message.from(), peer, held);
    } else {
      onRefused(message, peer, held);
    }
  }

  private void onAccepted(int from, PeerProgress peer, long held) {
    peer.matchIndex = Math.max(peer.matchIndex, held);
    peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
    if (peer.nextIndex <= state.log().last()) {
      sendAppend(from);
    }
    if (peer.matchIndex == state.log().last()) {
      node.promoteCaughtUp(from);
    }
  }

  /**
   * Guards against one that has less than it said it has (an old copy of its folder): it would be
   * asked, and say so, as fast as messages travel. It is asked again with the next heartbeat, and
   * never counted for what it has lost.
   */
  private void onRefused(RaftMessage message, PeerProgress peer, long held) {
    peer.nextIndex = Math.max(peer.matchIndex, held) + 1;
    if (message.index() >= peer.matchIndex) {
      sendAppend(message.from());
    }
  }

  /**
   * Adds an entry to the own log and sends it on.
   *
   * @return its index, or {@link RaftNode#NOT_PLACED} where this voter does not lead or too many
   *     wait
   */
  long appendToLog(Entry entry) {
    Log log = state.log();
    if (!state.isLeader()
        || log.last() - state.commitIndex() >= state.settings().mostOpen()
        || log.bytesAfter(state.commitIndex()) > RaftState.MOST_LOG_BYTES) {
      return RaftNode.NOT_PLACED;
    }
    state.durable().append(entry.inTerm(state.term()));
    if (entry.kind() == Entry.Kind.VOTERS) {
      state.refreshVoters();
      trackPeers();
    }
    peers.forEach(
        (number, peer) -> {
          if (peer.nextIndex == log.last()) {
            sendAppend(number);
          }
        });
    return log.last();
  }

  /* ---- what is committed ---- */

  /**
   * 5.4.2: of what a majority holds, only an entry of the own term is counted; those before it come
   * with it.
   */
  void advanceCommit() {
    List<Long> matches = new ArrayList<>();
    for (int number : state.voters().voting()) {
      PeerProgress peer = peers.get(number);
      matches.add(
          number == state.own() ? state.durable().lastSaved() : peer == null ? 0 : peer.matchIndex);
    }
    if (matches.isEmpty()) {
      return;
    }
    long held = heldByMajority(matches);
    if (held <= state.commitIndex() || !node.mayCommit(state.log().termAt(held))) {
      return;
    }
    state.setCommitIndex(held);
    // whoever follows hears of it now, not with the next heartbeat
    peers.keySet().forEach(this::sendAppend);
    if (state.log().lastVotersIndex() <= held && !state.voters().votes(state.own())) {
      // thesis 4.2.2: it led until it was decided that it goes
      node.becomeFollower(RaftState.NO_LEADER);
    }
  }

  /** All on which anything to come depends, but for the time of day; for an exploration. */
  List<Object> mark() {
    Map<Integer, List<Object>> others = new LinkedHashMap<>();
    peers.forEach((number, peer) -> others.put(number, peer.mark(state)));
    long untilHeartbeat = state.isLeader() ? heartbeatAt.since(state.now()).micros() : 0L;
    return List.of(others, untilHeartbeat, round, firstOfTerm);
  }
}
