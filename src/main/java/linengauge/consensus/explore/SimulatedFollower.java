package linengauge.consensus.explore;

import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.consensus.LogFollower;
import linengauge.consensus.RaftMessage;
import linengauge.consensus.Voters;

/** A non-voting process of a simulated cluster that follows the log and proposes entries. */
final class SimulatedFollower extends SimulatedProcess implements LogFollower.Port {
  private static final long PROPOSAL_NUMBERS_PER_INCARNATION = 1_000_000L;

  private LogFollower follower;
  private NumberLog machine;
  private long checkedIndex;
  private int incarnations;

  SimulatedFollower(ClusterSimulation cluster, int number, SplittableRandom random) {
    super(cluster, number, random);
  }

  /** Starts with no state but the addresses of the voters. */
  void start(SortedMap<Integer, String> addresses) {
    machine = new NumberLog(cluster().invariants()::checkApplied);
    checkedIndex = 0;
    incarnations++;
    follower =
        new LogFollower(
            LogFollower.Terms.USUAL,
            number(),
            new TreeMap<>(addresses),
            incarnations * PROPOSAL_NUMBERS_PER_INCARNATION,
            machine,
            this);
    follower.start(clock());
    updateTimer();
  }

  long index() {
    return follower.index();
  }

  Voters voters() {
    return follower.voters();
  }

  void propose(byte[] payload, Consumer<Boolean> whenDone) {
    follower.wants(clock(), payload, whenDone::accept);
  }

  void proposeVoters(Voters next) {
    follower.wantsVoters(clock(), next, done -> {});
  }

  void readThen(Runnable whenSure) {
    follower.whenSure(clock(), whenSure::run);
  }

  void receive(RaftMessage message) {
    follower.heard(clock(), message);
  }

  @Override
  Moment next() {
    return follower.next();
  }

  @Override
  void step() {
    follower.step(clock());
  }

  @Override
  public void send(int voter, String address, RaftMessage message) {
    cluster().sendRequest(this, voter, message);
  }

  @Override
  void checkInvariants() {
    ClusterInvariants invariants = cluster().invariants();
    invariants.checkMonotonic(number(), checkedIndex, follower.index());
    checkedIndex = follower.index();
    invariants.checkSameState(number(), checkedIndex, machine);
  }
}
