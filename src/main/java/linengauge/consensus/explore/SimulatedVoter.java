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
  private final Maker maker;
  private RaftNode node;
  private PersistentState disk;
  private NumberLog machine;
  private long judgedUpTo;

  SimulatedVoter(
      ClusterSimulation cluster,
      int number,
      SplittableRandom random,
      RaftSettings settings,
      Maker maker,
      PersistentState disk) {
    super(cluster, number, random);
    this.settings = settings;
    this.maker = maker;
    this.disk = disk;
  }

  /** Begins with what is on its disk. */
  void begin() {
    beginLife();
    machine = new NumberLog(cluster().judge()::checkApplied);
    node = maker.make(settings, number(), disk, machine, number() + 1, this);
    node.start(clock());
    wake();
  }

  /** Begins anew with another disk. */
  void beginWith(PersistentState other) {
    disk = other;
    judgedUpTo = 0;
    begin();
  }

  /** The number of the store on its disk. */
  long store() {
    return disk.store();
  }

  boolean leads() {
    return node.role() == RaftNode.Role.LEADER;
  }

  /** From another voter. */
  void receive(RaftMessage message) {
    node.heard(clock(), message);
  }

  /** From a follower. */
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
      throw new SaveFailedException("no place", null);
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
  void judge() {
    ClusterJudge judge = cluster().judge();
    if (leads()) {
      cluster().onLeads(number());
      judge.checkLeader(node.term(), number());
    }
    for (long index = judgedUpTo + 1; index <= node.commit(); index++) {
      judge.checkCommitted(index, node.entry(index), number());
    }
    judgedUpTo = node.commit();
    judge.checkSameState(number(), node.decided().index(), machine);
  }
}
