package linengauge.consensus.explore;

import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.consensus.PersistentState;
import linengauge.consensus.RaftMessage;
import linengauge.consensus.RaftNode;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.SaveFailedException;

/** A voter of a simulated cluster, with its disk. */
final class SimulatedVoter extends SimulatedProcess implements RaftNode.Port {
  private final RaftSettings settings;
  private final VoterFactory factory;
  private RaftNode node;
  private PersistentState disk;
  private NumberLog machine;
  private long checkedIndex;

  SimulatedVoter(
      ClusterSimulation cluster,
      int number,
      SplittableRandom random,
      RaftSettings settings,
      VoterFactory factory,
      PersistentState disk) {
    super(cluster, number, random);
    this.settings = settings;
    this.factory = factory;
    this.disk = disk;
  }

  /** Starts from the state on its disk. */
  void start() {
    startIncarnation();
    machine = new NumberLog(cluster().invariants()::checkApplied);
    node = factory.create(settings, number(), disk, machine, number() + 1, this);
    node.start(clock());
    updateTimer();
  }

  /** Restarts with another disk. */
  void startWith(PersistentState other) {
    disk = other;
    checkedIndex = 0;
    start();
  }

  /** The identifier of the store on its disk. */
  long store() {
    return disk.store();
  }

  boolean isLeader() {
    return node.role() == RaftNode.Role.LEADER;
  }

  /** Receives a message from another voter. */
  void receive(RaftMessage message) {
    node.heard(clock(), message);
  }

  /** Receives a request from a follower. */
  void receiveRequest(int follower, RaftMessage message) {
    node.ask(clock(), follower, message);
  }

  @Override
  Moment next() {
    return node.next();
  }

  @Override
  void step() {
    node.step(clock());
  }

  @Override
  public void save(PersistentState saved) throws SaveFailedException {
    if (cluster().faults().isOn(Fault.Kind.DISK_FULL, number(), cluster().now())) {
      throw new SaveFailedException("no space left on disk", null);
    }
    disk = PersistentState.read(saved.bytes());
  }

  @Override
  public void send(int to, RaftMessage message) {
    cluster().sendToVoter(this, to, message);
  }

  @Override
  public void answer(long asker, RaftMessage message) {
    cluster().sendToFollower(this, (int) asker, message);
  }

  @Override
  void checkInvariants() {
    ClusterInvariants invariants = cluster().invariants();
    if (isLeader()) {
      cluster().onLeader(number());
      invariants.checkLeader(node.term(), number());
    }
    for (long index = checkedIndex + 1; index <= node.commit(); index++) {
      invariants.checkCommitted(index, node.entry(index), number());
    }
    checkedIndex = node.commit();
    invariants.checkSameState(number(), node.decided().index(), machine);
  }
}
