package linengauge.lease.explore;

import java.util.TreeMap;
import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.consensus.LogFollower;
import linengauge.consensus.PersistentState;
import linengauge.consensus.RaftMessage;
import linengauge.consensus.RaftNode;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.SaveFailedException;
import linengauge.lease.LeaseMessage;
import linengauge.lease.MemberDirectory;
import linengauge.lease.Registrar;

/**
 * A control machine of the simulation: a voter where it votes, a follower of the log, and the
 * registrar that reads the follower's directory. Its disk outlasts its lives.
 */
final class SimulatedControl extends SimulatedProcess
    implements RaftNode.Port, LogFollower.Port, Registrar.Port {
  /** Numbers of proposals that one life may use up. */
  private static final long PROPOSALS_A_LIFE = 1_000_000_000L;

  private final LeaseSimulation simulation;
  private PersistentState disk;
  private RaftNode voter;
  private MemberDirectory votersDirectory;
  private LogFollower follower;
  private MemberDirectory directory;
  private Registrar registrar;
  private long highestVersion;
  private long votersVersion;
  private int lives;
  private int keptDown;

  /**
   * @param disk of a voter, with the founding state; null: it has no vote
   */
  SimulatedControl(int number, PersistentState disk, LeaseSimulation simulation) {
    super(number, simulation.settings().drift(), simulation.events(), simulation.chance());
    this.simulation = simulation;
    this.disk = disk;
  }

  MemberDirectory directory() {
    return directory;
  }

  boolean leads() {
    return isUp() && voter != null && voter.role() == RaftNode.Role.LEADER;
  }

  void start() {
    goUp();
    lives++;
    highestVersion = 0;
    votersVersion = 0;
    if (disk != null) {
      votersDirectory = new MemberDirectory(simulation.settings());
      voter = new RaftNode(RaftSettings.USUAL, number, disk, votersDirectory, number + 1L, this);
      voter.start(clock());
    }
    directory = new MemberDirectory(simulation.settings());
    TreeMap<Integer, String> voters = new TreeMap<>();
    for (int i = 0; i < Topology.VOTERS; i++) {
      voters.put(i, Topology.address(i));
    }
    follower =
        new LogFollower(
            LogFollower.Terms.USUAL, number, voters, lives * PROPOSALS_A_LIFE, directory, this);
    follower.start(clock());
    registrar =
        simulation
            .maker()
            .registrar(
                simulation.settings(),
                number,
                Topology.controls(),
                directory,
                this,
                chance.split());
    registrar.start(clock());
    inspect();
    wake();
  }

  void kill() {
    keptDown++;
    if (isUp()) {
      goDown();
    }
  }

  /** One of the faults that keep it down is over. */
  void mayStart() {
    keptDown--;
    if (keptDown == 0 && !isUp()) {
      start();
    }
  }

  void receive(String from, LeaseMessage message) {
    deliver(() -> registrar.heard(clock(), from, message));
  }

  @Override
  Moment next() {
    Moment next = earlier(follower.next(), registrar.next());
    return voter == null ? next : earlier(next, voter.next());
  }

  private static Moment earlier(Moment a, Moment b) {
    return b.before(a) ? b : a;
  }

  @Override
  void step() {
    Moment now = clock();
    if (voter != null && !now.before(voter.next())) {
      voter.step(now);
    }
    if (!now.before(follower.next())) {
      follower.step(now);
    }
    tellRegistrar();
    if (!now.before(registrar.next())) {
      registrar.step(now);
    }
  }

  @Override
  void inspect() {
    tellRegistrar();
    if (voter != null) {
      votersVersion = simulation.judge().directory(number, votersDirectory, votersVersion);
    }
  }

  /** What is decided and who leads, as the process's own thread tells its registrar. */
  private void tellRegistrar() {
    long known = highestVersion;
    highestVersion = simulation.judge().directory(number, directory, highestVersion);
    if (highestVersion != known) {
      registrar.decided(clock());
    }
    int leader = voter == null ? follower.leader() : voter.leader();
    registrar.control(clock(), leader, clock().since(follower.sureAt()));
  }

  @Override
  public void save(PersistentState saved) throws SaveFailedException {
    if (simulation.conditions().isDiskFull(number)) {
      throw new SaveFailedException("no room", null);
    }
    disk = saved;
  }

  @Override
  public void send(int to, RaftMessage message) {
    SimulatedControl other = simulation.control(to);
    simulation.consensus(this, other, message, m -> other.voter.heard(other.clock(), m));
  }

  @Override
  public void answer(long asker, RaftMessage message) {
    SimulatedControl other = simulation.control((int) asker);
    simulation.consensus(this, other, message, m -> other.follower.heard(other.clock(), m));
  }

  @Override
  public void send(int to, String address, RaftMessage message) {
    SimulatedControl other = simulation.control(to);
    simulation.consensus(this, other, message, m -> other.voter.ask(other.clock(), number, m));
  }

  @Override
  public void send(String address, LeaseMessage message) {
    simulation.carry(this, address, message);
  }

  @Override
  public void propose(byte[] decision, Consumer<Boolean> ended) {
    boolean taken = follower.wants(clock(), decision, ended::accept);
    if (!taken) {
      ended.accept(false);
    }
  }
}
