package linengauge.consensus.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import linengauge.Moment;
import linengauge.Span;
import linengauge.consensus.MessageWriter;
import linengauge.consensus.PersistentState;
import linengauge.consensus.RaftMessage;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.Voters;
import linengauge.virtualtime.EventQueue;

/**
 * Seeded simulation of voters and followers in virtual time. Each process has its own clock with an
 * offset and a drift; the network loses, delays, reorders and duplicates messages; faults are
 * injected. This class drives the run, {@link ClusterInvariants} checks it.
 */
public final class ClusterSimulation {
  /**
   * The violations found and the measurements of the run.
   *
   * @param elections number of terms that had a leader
   * @param commitLatencies time from proposal to acknowledgement, for each acknowledged proposal
   * @param longestIsolatedLeadership the longest time that a voter that receives no messages
   *     remained leader
   */
  public record Outcome(
      List<String> violations,
      int elections,
      long committed,
      List<Span> commitLatencies,
      long messages,
      long bytes,
      int reads,
      Span longestIsolatedLeadership) {}

  private static final int MAX_EVENTS_AT_ONE_MOMENT = 10_000;
  private static final int MAX_REPLACEMENT_TRIES = 40;
  private static final Span REPLACEMENT_RETRY = Span.ofMillis(700);
  private static final Span QUIET_BEFORE_LAST_PROPOSAL = Span.ofSeconds(8);
  private static final Span QUIET_AFTER_LAST_PROPOSAL = Span.ofSeconds(4);
  private static final RaftSettings SETTINGS =
      new RaftSettings(Span.ofMillis(100), Span.ofMillis(600), Span.ofMillis(250), 24, 256, 16);

  private final EventQueue time = new EventQueue(new Moment(0));
  private final ClusterInvariants invariants = new ClusterInvariants(time);
  private final FaultPlan faults;
  private final VoterFactory factory;
  private final Span end;
  private final SplittableRandom random;
  private final SimulatedNetwork network;
  private final int voterCount;
  private final int followerCount;
  private final List<SimulatedVoter> voters = new ArrayList<>();
  private final List<SimulatedFollower> followers = new ArrayList<>();
  private final List<Span> commitLatencies = new ArrayList<>();
  private long lastProposed;
  private int reads;
  private Span longestIsolatedLeadership = Span.NONE;
  private int lastStore = 1000;

  public ClusterSimulation(
      long seed, int voters, int followers, List<Fault> faults, Span end, VoterFactory factory) {
    this.random = new SplittableRandom(seed ^ 0x9e3779b9L);
    this.voterCount = voters;
    this.followerCount = followers;
    this.faults = new FaultPlan(faults, voters);
    this.network = new SimulatedNetwork(time, this.faults, random);
    this.end = end;
    this.factory = factory;
  }

  Moment now() {
    return time.now();
  }

  void schedule(Moment at, Runnable task) {
    time.schedule(at, task);
  }

  FaultPlan faults() {
    return faults;
  }

  ClusterInvariants invariants() {
    return invariants;
  }

  /** Runs the whole simulation; may be called once. */
  public Outcome run() {
    startVoters();
    startFollowers();
    for (Fault fault : faults.all()) {
      schedule(fault.from(), () -> startFault(fault));
      schedule(fault.to(), () -> endFault(fault));
    }
    followers.forEach(this::scheduleProposals);
    runUntil(new Moment(end.micros()).plus(QUIET_BEFORE_LAST_PROPOSAL));
    int acknowledgedBefore = invariants.acknowledgedCount();
    SimulatedFollower last = followers.get(0);
    schedule(now(), () -> last.run(() -> propose(last)));
    runUntil(now().plus(QUIET_AFTER_LAST_PROPOSAL));
    checkConverged(acknowledgedBefore);
    return new Outcome(
        invariants.violations(),
        invariants.elections(),
        invariants.lastCommitted(),
        List.copyOf(commitLatencies),
        network.messages(),
        network.bytes(),
        reads,
        longestIsolatedLeadership);
  }

  private void startVoters() {
    SortedMap<Integer, Voters.Chair> chairs = new TreeMap<>();
    for (int i = 0; i < voterCount; i++) {
      chairs.put(i, new Voters.Chair(i, address(i), true));
    }
    Voters founding = new Voters(chairs);
    for (int i = 0; i <= voterCount; i++) { // one spare that may be added as a voter
      PersistentState disk =
          i < voterCount
              ? PersistentState.founding(i, founding, new NumberLog())
              : PersistentState.joining(i, new NumberLog());
      voters.add(new SimulatedVoter(this, i, random, SETTINGS, factory, disk));
    }
    voters.forEach(SimulatedVoter::start);
  }

  private void startFollowers() {
    SortedMap<Integer, String> addresses = new TreeMap<>();
    voters.forEach(voter -> addresses.put(voter.number(), address(voter.number())));
    for (int i = 0; i < followerCount; i++) {
      followers.add(new SimulatedFollower(this, FaultPlan.FIRST_FOLLOWER + i, random));
    }
    followers.forEach(follower -> follower.start(addresses));
  }

  private static String address(int number) {
    return "10.0.0." + number + ":7";
  }

  private void runUntil(Moment then) {
    int atOnce = 0;
    while (time.nextEventAt() != null
        && time.nextEventAt().isBefore(then)
        && !invariants.hasEnoughViolations()) {
      atOnce = time.nextEventAt().equals(now()) ? atOnce + 1 : 0;
      if (atOnce > MAX_EVENTS_AT_ONE_MOMENT) {
        invariants.report("too many events at one moment");
        return;
      }
      time.runNext();
    }
    time.advanceTo(then);
  }

  /* ---- messages ---- */

  void sendToVoter(SimulatedVoter from, int to, RaftMessage message) {
    if (to < voters.size()) {
      SimulatedVoter voter = voters.get(to);
      network.deliver(from, voter, message, voter::receive);
    }
  }

  void sendToFollower(SimulatedVoter from, int to, RaftMessage message) {
    SimulatedFollower follower = followers.get(to);
    network.deliver(from, follower, message, follower::receive);
  }

  void sendRequest(SimulatedFollower from, int to, RaftMessage message) {
    SimulatedVoter voter = voters.get(to);
    int asker = from.number() - FaultPlan.FIRST_FOLLOWER;
    network.deliver(from, voter, message, m -> voter.receiveRequest(asker, m));
  }

  /** The voter considers itself leader. */
  void onLeader(int number) {
    longestIsolatedLeadership = longestIsolatedLeadership.max(faults.deafFor(number, now()));
  }

  /* ---- proposals and reads ---- */

  private void scheduleProposals(SimulatedFollower follower) {
    Moment over = new Moment(end.micros());
    Moment at = new Moment(500_000 + random.nextInt(500_000));
    while (at.isBefore(over)) {
      schedule(at, () -> follower.run(() -> propose(follower)));
      at = at.plus(new Span(300_000 + random.nextInt(2_000_000)));
    }
  }

  private void propose(SimulatedFollower follower) {
    lastProposed++;
    long value = lastProposed;
    Moment proposedAt = now();
    follower.propose(
        new MessageWriter().num(value).done(),
        done -> {
          if (done) {
            invariants.onAcknowledged(value);
            commitLatencies.add(now().since(proposedAt));
          }
        });
    if (random.nextInt(3) == 0) {
      read(follower);
    }
  }

  private void read(SimulatedFollower follower) {
    long committed = invariants.lastCommitted();
    follower.readThen(
        () -> {
          reads++;
          invariants.checkRead(follower.number(), follower.index(), committed);
        });
  }

  /* ---- faults ---- */

  private void startFault(Fault fault) {
    switch (fault.kind()) {
      case CRASH -> voters.get(fault.target()).crash();
      case EMPTIED -> {
        lastStore++;
        voters.get(fault.target()).startWith(PersistentState.joining(lastStore, new NumberLog()));
      }
      case CHANGE -> removeVoter(fault.target(), followers.get(fault.peer() % followers.size()));
      default -> {
        // the fault plan applies it while it lasts
      }
    }
  }

  private void removeVoter(int number, SimulatedFollower by) {
    by.run(
        () -> {
          Voters held = by.voters();
          if (held.chairs().containsKey(number) && held.voting().size() > 2) {
            by.proposeVoters(held.without(number));
          }
        });
  }

  private void endFault(Fault fault) {
    switch (fault.kind()) {
      case CRASH -> {
        SimulatedVoter voter = voters.get(fault.target());
        if (!voter.isUp() && !faults.isOn(Fault.Kind.CRASH, fault.target(), now())) {
          voter.start();
        }
      }
      case EMPTIED, CHANGE -> replace(fault.target(), 0);
      default -> {
        // the fault plan ends it
      }
    }
  }

  /** Replaces the voter as an operator does: removes it, then adds it with its present store. */
  private void replace(int number, int tries) {
    SimulatedFollower by = followers.get(number % followers.size());
    by.run(
        () -> {
          long store = voters.get(number).store();
          Voters held = by.voters();
          Voters.Chair chair = held.chairs().get(number);
          boolean sameStore = chair != null && chair.store() == store;
          if (sameStore && chair.votes() || tries > MAX_REPLACEMENT_TRIES) {
            return;
          }
          if (chair == null) {
            by.proposeVoters(held.with(number, new Voters.Chair(store, address(number), false)));
          } else if (!sameStore) {
            by.proposeVoters(held.without(number));
          }
          schedule(now().plus(REPLACEMENT_RETRY), () -> replace(number, tries + 1));
        });
  }

  /**
   * Long enough after the last fault, there must be one leader, all followers must have caught up,
   * and a proposal made meanwhile must be committed.
   */
  private void checkConverged(int acknowledgedBefore) {
    invariants.checkSingleLeader(voters.stream().filter(SimulatedVoter::isLeader).count());
    invariants.checkProgress(acknowledgedBefore);
    followers.forEach(f -> invariants.checkCaughtUp(f.number(), f.index()));
    invariants.checkAppliedOnce();
  }
}
