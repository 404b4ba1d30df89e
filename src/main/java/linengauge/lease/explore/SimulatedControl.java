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
 * A control machine of the simulation: a voter if it has a vote, a follower of the log, and the
 * registrar that reads the follower's directory. Its disk survives its restarts.
 */
final class SimulatedControl extends SimulatedProcess
    implements RaftNode.Port, LogFollower.Port, Registrar.Port {
  /** Size of the range of proposal numbers of one life, so that no two lives use the same one. */
  private static final long MAX_PROPOSALS_PER_LIFE = 1_000_000_000L;

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
  private int downFaults;

  /**
   * @param disk a voter's disk with the initial state; null if the machine has no vote
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
            LogFollower.Terms.USUAL,
            number,
            voters,
            lives * MAX_PROPOSALS_PER_LIFE,
            directory,
            this);
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
    downFaults++;
    if (isUp()) {
      goDown();
    }
  }

  /** Ends one of the faults that keep it down; it starts when none is left. */
  void mayStart() {
    downFaults--;
    if (downFaults == 0 && !isUp()) {
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
    return b.isBefore(a) ? b : a;
  }

  @Override
  void step() {
    Moment now = clock();
    if (voter != null && !now.isBefore(voter.next())) {
      voter.step(now);
    }
    if (!now.isBefore(follower.next())) {
      follower.step(now);
    }
    updateRegistrar();
    if (!now.isBefore(registrar.next())) {
      registrar.step(now);
    }
  }

  @Override
  void inspect() {
    updateRegistrar();
    if (voter != null) {
      votersVersion = simulation.judge().directory(number, votersDirectory, votersVersion);
    }
  }

  /**
   * Tells the registrar of new decisions, of the leader and of the age of what is known of the log,
   * as the thread of a real control machine does.
   */
  private void updateRegistrar() {
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
  public void propose(byte[] decision, Consumer<Boolean> onOutcome) {
    boolean accepted = follower.wants(clock(), decision, onOutcome::accept);
    if (!accepted) {
      onOutcome.accept(false);
    }
  }
}
