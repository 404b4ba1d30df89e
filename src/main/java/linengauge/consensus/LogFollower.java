package linengauge.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import linengauge.Moment;
import linengauge.Span;

/**
 * One front that follows the council without a vote: asks one voter for what has been decided
 * since, has its own proposals decided, and knows how old its word is. It never goes back: what it
 * holds has a number, and only the next one follows.
 */
public final class LogFollower {
  /** What it acts through. */
  public interface Port {
    /** To that voter, at that address; to be lost if need be. */
    void send(int voter, String address, RaftMessage message);
  }

  /** A proposal on its way; its end is a call on it, once. */
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

  private static final int MOST_WAITING = 64;

  /** Two that each name the other are not asked in turn without a pause. */
  private static final int MOST_HOPS = 3;

  private static final class PendingProposal {
    private final Entry entry;
    private final Proposal proposal;
    private final Moment until;
    private Moment askAt;
    private boolean unanswered;

    private PendingProposal(Entry entry, Proposal proposal, Moment until, Moment askAt) {
      this.entry = entry;
      this.proposal = proposal;
      this.until = until;
      this.askAt = askAt;
    }
  }

  /** Somebody waits to know that all decided before it asked is known here. */
  private static final class PendingRead {
    private final Runnable then;
    private final Moment until;
    private long request;
    private Moment askAt;
    private boolean unanswered;

    private PendingRead(Runnable then, Moment until, Moment askAt) {
      this.then = then;
      this.until = until;
      this.askAt = askAt;
    }
  }

  private record ReadyRead(long index, PendingRead read) {}

  private final Terms terms;
  private final int own;
  private final Port port;
  private final CommittedLog decided;

  /** Where the voters of the site file are, until the council itself names others. */
  private final TreeMap<Integer, String> firstAddresses;

  private final TreeMap<Long, PendingProposal> proposals = new TreeMap<>();
  private final List<PendingRead> reads = new ArrayList<>();

  /**
   * Told how far to wait, in no order; each leaves as that far is known, or as its time is over.
   */
  private final List<ReadyRead> readyReads = new ArrayList<>();

  private Moment now;
  private Moment askAt;
  private Moment freshAt;
  private Moment sureAt = Moment.DISTANT_PAST;
  private int askedVoter;
  private int nextTurn;
  private int leader = -1;
  private int hops;
  private long request;
  private long number;

  /**
   * @param firstNumber of its proposals, higher than in any earlier life: the wall's clock in
   *     microseconds
   */
  public LogFollower(
      Terms terms,
      int own,
      TreeMap<Integer, String> firstAddresses,
      long firstNumber,
      StateMachine machine,
      Port port) {
    this.terms = terms;
    this.own = own;
    this.firstAddresses = firstAddresses;
    this.port = port;
    this.number = firstNumber;
    this.decided = new CommittedLog(machine);
    this.nextTurn = own;
  }

  public void start(Moment at) {
    now = at;
    askAt = at;
    freshAt = at;
    askedVoter = nextVoter();
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
    return askedVoter;
  }

  /** Who leads the council, as it was last told; -1. */
  public int leader() {
    return leader;
  }

  public Voters voters() {
    return decided.voters();
  }

  /** Wants something decided; false where too much waits. */
  public boolean wants(Moment at, byte[] decision, Proposal proposal) {
    return propose(at, Entry.Kind.DECISION, decision, proposal);
  }

  /**
   * Wants other voters. Whether they have come to be shows in {@link #voters}: the proposal ends
   * once it is placed.
   */
  public boolean wantsVoters(Moment at, Voters next, Proposal proposal) {
    return propose(at, Entry.Kind.VOTERS, next.bytes(), proposal);
  }

  private boolean propose(Moment at, Entry.Kind kind, byte[] payload, Proposal proposal) {
    now = at;
    if (proposals.size() >= MOST_WAITING) {
      return false;
    }
    PendingProposal o =
        new PendingProposal(
            new Entry(0, kind, own, number++, payload), proposal, now.plus(terms.wishes()), now);
    proposals.put(o.entry.number(), o);
    step(at);
    return true;
  }

  /**
   * Runs it once all that was decided before now is known here; not at all where that takes too
   * long.
   */
  public boolean whenSure(Moment at, Runnable then) {
    now = at;
    if (reads.size() + readyReads.size() >= MOST_WAITING) {
      return false;
    }
    reads.add(new PendingRead(then, now.plus(terms.wishes()), now));
    step(at);
    return true;
  }

  /** The moment at which it wants to be stepped, at the latest. */
  public Moment next() {
    Moment next = askAt;
    if (!proposals.isEmpty()) {
      PendingProposal o = proposals.firstEntry().getValue();
      next = o.askAt.isBefore(next) ? o.askAt : next;
    }
    for (PendingRead r : reads) {
      next = r.askAt.isBefore(next) ? r.askAt : next;
    }
    return next;
  }

  public void step(Moment at) {
    now = at;
    follow();
    for (PendingProposal pending : List.copyOf(proposals.values())) {
      if (!now.isBefore(pending.until)) {
        end(pending, false);
      }
    }
    sendOldestProposal();
    reads.removeIf(read -> !now.isBefore(read.until));
    readyReads.removeIf(ready -> !now.isBefore(ready.read().until));
    sendReads();
  }

  /** Asks one voter for what has been decided since; another where that one is silent. */
  private void follow() {
    if (!now.isBefore(freshAt.plus(terms.silent()))) {
      askedVoter = nextVoter();
      freshAt = now;
      askAt = now;
    }
    if (!now.isBefore(askAt)) {
      askAt = now.plus(terms.ask());
      request++;
      send(
          askedVoter,
          RaftMessage.of(RaftMessage.Kind.FOLLOW, own, 0, 0).at(decided.index(), 0).round(request));
    }
  }

  /**
   * One at a time: a later one that is decided first would have the earlier one passed over as an
   * old one.
   */
  private void sendOldestProposal() {
    PendingProposal oldest = proposals.isEmpty() ? null : proposals.firstEntry().getValue();
    if (oldest == null || now.isBefore(oldest.askAt)) {
      return;
    }
    leader = oldest.unanswered ? -1 : leader; // it may be gone: whoever is followed knows better
    oldest.unanswered = true;
    oldest.askAt = now.plus(terms.silent());
    sendToLeader(
        RaftMessage.of(RaftMessage.Kind.PROPOSE, own, 0, 0)
            .round(oldest.entry.number())
            .with(List.of(oldest.entry)));
  }

  private void sendReads() {
    for (PendingRead read : reads) {
      if (now.isBefore(read.askAt)) {
        continue;
      }
      leader = read.unanswered ? -1 : leader;
      read.unanswered = true;
      read.askAt = now.plus(terms.silent());
      request++;
      read.request = request;
      sendToLeader(RaftMessage.of(RaftMessage.Kind.READ, own, 0, 0).round(request));
    }
  }

  /** To the leader, as far as it is known. */
  private void sendToLeader(RaftMessage message) {
    send(leader >= 0 ? leader : askedVoter, message);
  }

  private int nextVoter() {
    List<Integer> all =
        new ArrayList<>(
            decided.voters().chairs().isEmpty()
                ? firstAddresses.keySet()
                : decided.voters().voting());
    if (all.isEmpty()) {
      return -1;
    }
    return all.get(Math.floorMod(nextTurn++, all.size()));
  }

  private void send(int voter, RaftMessage message) {
    Voters.Chair c = decided.voters().chairs().get(voter);
    String address = c == null ? firstAddresses.get(voter) : c.address();
    if (address != null) {
      port.send(voter, address, message);
    }
  }

  /** A voter has answered. */
  public void heard(Moment at, RaftMessage message) {
    now = at;
    switch (message.kind()) {
      case FOLLOWED -> onEntries(message);
      case REPLACED -> onSnapshot(message);
      case PLACED -> onPlaced(message);
      case READABLE -> onReadable(message);
      default -> {
        // nothing else is told to whoever follows
      }
    }
    step(at);
  }

  private void onEntries(RaftMessage message) {
    long index = message.index();
    for (Entry entry : message.entries()) {
      index++;
      if (index == decided.index() + 1) {
        decided.apply(index, entry);
      }
    }
    noteFreshness(message);
    onProgress(message);
  }

  private void onSnapshot(RaftMessage message) {
    if (message.index() > decided.index()) {
      decided.restore(message.index(), message.whole());
    }
    noteFreshness(message);
    onProgress(message);
  }

  /** Its proposal was placed in the leader's log, or refused. */
  private void onPlaced(RaftMessage message) {
    boolean elsewhere = learnLeader(message);
    PendingProposal pending = proposals.get(message.round());
    if (pending == null) {
      return;
    }
    if (message.yes() && pending.entry.kind() == Entry.Kind.VOTERS) {
      end(pending, true);
      return;
    }
    pending.unanswered = false;
    if (!message.yes()) {
      pending.askAt = retryAt(elsewhere);
    }
  }

  /** Its question how far all is decided was answered, or refused. */
  private void onReadable(RaftMessage message) {
    boolean elsewhere = learnLeader(message);
    for (PendingRead read : List.copyOf(reads)) {
      if (read.request != message.round()) {
        continue;
      }
      if (message.yes()) {
        reads.remove(read);
        readyReads.add(new ReadyRead(message.index(), read));
        askAt = now;
      } else {
        read.unanswered = false;
        read.askAt = retryAt(elsewhere);
      }
    }
    runReadyReads();
  }

  /** Refused: asked again at once where another leads, or else with the next question. */
  private Moment retryAt(boolean elsewhere) {
    return elsewhere ? now : now.plus(terms.ask());
  }

  /** Takes whom it names as the leader; true where that is somebody else, to be asked at once. */
  private boolean learnLeader(RaftMessage message) {
    leader = message.yes() ? message.from() : (int) Math.min(message.index(), 0xffff);
    return !message.yes() && leader >= 0 && leader != message.from() && hops++ < MOST_HOPS;
  }

  private void noteFreshness(RaftMessage message) {
    hops = 0;
    // Guards against a voter that answers and is itself cut off, or votes no more: another is
    // asked. It could hurt where the council has no majority: then one after another is asked, each
    // for as long.
    freshAt = message.age() < terms.silent().times(2).micros() ? now : freshAt;
    if (decided.index() >= message.commit()) {
      sureAt =
          sureAt.max(
              now.minus(
                  new Span(Math.max(0, Math.min(message.age(), Span.ofSeconds(3600).micros())))));
    }
  }

  /** More is there than one message held: it is asked for at once. */
  private void onProgress(RaftMessage message) {
    if (decided.index() < message.commit()) {
      askAt = now;
    }
    for (PendingProposal o : List.copyOf(proposals.values())) {
      if (o.entry.number() <= decided.lastOf(own) && o.entry.kind() == Entry.Kind.DECISION) {
        end(o, true);
      }
    }
    runReadyReads();
  }

  private void runReadyReads() {
    for (ReadyRead r : List.copyOf(readyReads)) {
      if (r.index() <= decided.index()) {
        readyReads.remove(r);
        r.read().then.run();
      }
    }
  }

  private void end(PendingProposal o, boolean done) {
    proposals.remove(o.entry.number());
    o.proposal.ended(done);
  }
}
