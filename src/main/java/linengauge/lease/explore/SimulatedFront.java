package linengauge.lease.explore;

import linengauge.Moment;
import linengauge.Span;
import linengauge.lease.DirectoryEntry;
import linengauge.lease.LeaseAgent;
import linengauge.lease.LeaseMessage;

/** A front of the simulation, which runs a lease agent in each of its successive lives. */
final class SimulatedFront extends SimulatedProcess implements LeaseAgent.Port {
  /** Time between the announcement that the front leaves and its end. */
  private static final Span LEAVE_TIME = Span.ofMillis(500);

  /** Wall clock at the start of the run, in milliseconds since the epoch. */
  private static final long START_EPOCH_MILLIS = 1_700_000_000_000L;

  private final LeaseSimulation simulation;
  private LeaseAgent agent;
  private long lifeIncarnation;
  private long highestVersion;
  private long copiesEmptied;
  private long completeVersion;
  private boolean leaving;

  /** Number of present faults that keep the front down. */
  private int downFaults;

  SimulatedFront(int number, LeaseSimulation simulation) {
    super(number, simulation.settings().drift(), simulation.events(), simulation.chance());
    this.simulation = simulation;
  }

  LeaseAgent agent() {
    return agent;
  }

  boolean isLeaving() {
    return leaving;
  }

  /** The version at which its view was last acknowledged as a complete copy; 0 if none. */
  long completeVersion() {
    return completeVersion;
  }

  void start() {
    if (isUp() || downFaults > 0) {
      return;
    }
    goUp();
    leaving = false;
    highestVersion = 0;
    completeVersion = 0;
    copiesEmptied = 0;
    agent =
        simulation
            .maker()
            .agent(
                simulation.settings(),
                Topology.member(number),
                START_EPOCH_MILLIS + clock().micros() / 1000,
                Topology.controls(),
                this,
                chance.split());
    lifeIncarnation = agent.incarnation();
    simulation.judge().begins(this);
    agent.start(clock());
    wake();
  }

  /** Ends unannounced. */
  void kill() {
    downFaults++;
    end();
  }

  private void end() {
    if (isUp()) {
      goDown();
      simulation.judge().ended(this);
    }
  }

  /** Announces that it leaves and ends a little later, whether or not that was received. */
  void leave() {
    downFaults++;
    if (!isUp()) {
      return;
    }
    deliver(this::announceLeave);
    long incarnation = agent.incarnation();
    events.at(
        events.now().plus(LEAVE_TIME),
        () -> {
          if (isUp() && agent.incarnation() == incarnation) {
            end();
          }
        });
  }

  private void announceLeave() {
    leaving = true;
    simulation.judge().leaves(this);
    agent.leave(clock());
  }

  /**
   * Ends one of the faults that keep the front down; it starts when none is left. If its previous
   * life has announced that it leaves and has not ended yet, it starts {@link #LEAVE_TIME} later.
   */
  void mayStart() {
    downFaults--;
    if (downFaults == 0 && isUp()) {
      events.at(
          events.now().plus(LEAVE_TIME), this::start); // its previous life is still about to end
    }
    start();
  }

  void receive(String from, LeaseMessage message) {
    deliver(
        () -> {
          agent.heard(clock(), from, message);
          if (message instanceof LeaseMessage.Acknowledgement acknowledgement
              && acknowledgement.upTo() == acknowledgement.latest()
              && agent.view().version() == acknowledgement.latest()) {
            completeVersion = acknowledgement.latest();
            simulation.judge().complete(this, acknowledgement);
          }
        });
  }

  @Override
  Moment next() {
    return agent.next();
  }

  @Override
  void step() {
    agent.step(clock());
  }

  /**
   * Checks that the agent never had to empty a copy that differs from the directory, and that the
   * version of its view falls only when it has emptied its copy.
   */
  @Override
  void inspect() {
    long version = agent.view().version();
    LeaseAgent.Figures figures = agent.figures();
    if (figures.mismatches() > 0) {
      simulation.judge().broken(number + " held a wrong copy, and emptied it");
    }
    boolean wasEmptied = figures.resets() + figures.mismatches() > copiesEmptied;
    copiesEmptied = figures.resets() + figures.mismatches();
    if (version < highestVersion && !wasEmptied) {
      simulation.judge().broken(number + " goes back from " + highestVersion + " to " + version);
    }
    highestVersion = version;
  }

  @Override
  public void send(String address, LeaseMessage message) {
    simulation.carry(this, address, message);
  }

  @Override
  public void changed(DirectoryEntry entry) {
    simulation.judge().learned(this, entry);
  }

  /** The life was ended by the control machines; the agent has begun another one. */
  @Override
  public void superseded(Moment now) {
    simulation.judge().superseded(this, lifeIncarnation);
    lifeIncarnation = agent.incarnation();
  }
}
