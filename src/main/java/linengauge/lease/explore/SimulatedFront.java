package linengauge.lease.explore;

import linengauge.Moment;
import linengauge.Span;
import linengauge.lease.DirectoryEntry;
import linengauge.lease.LeaseAgent;
import linengauge.lease.LeaseMessage;

/** A front of the simulation: a lease agent's lives, one after the other. */
final class SimulatedFront extends SimulatedProcess implements LeaseAgent.Port {
  /** Between its word that it leaves and its end. */
  private static final Span LEAVING = Span.ofMillis(500);

  /** The wall's clock shows so many milliseconds at the start of the run. */
  private static final long EPOCH_MILLIS = 1_700_000_000_000L;

  private final LeaseSimulation simulation;
  private LeaseAgent agent;
  private long lifeIncarnation;
  private long highestVersion;
  private long emptied;
  private long completeVersion;
  private boolean leaving;

  /** Faults that keep it from being up. */
  private int keptDown;

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

  /** The version at which its view was last a whole copy, as it was told; 0: none. */
  long completeVersion() {
    return completeVersion;
  }

  void start() {
    if (isUp() || keptDown > 0) {
      return;
    }
    goUp();
    leaving = false;
    highestVersion = 0;
    completeVersion = 0;
    emptied = 0;
    agent =
        simulation
            .maker()
            .agent(
                simulation.settings(),
                Topology.member(number),
                EPOCH_MILLIS + clock().micros() / 1000,
                Topology.controls(),
                this,
                chance.split());
    lifeIncarnation = agent.incarnation();
    simulation.judge().begins(this);
    agent.start(clock());
    wake();
  }

  /** Ends without a word. */
  void kill() {
    keptDown++;
    end();
  }

  private void end() {
    if (isUp()) {
      goDown();
      simulation.judge().ended(this);
    }
  }

  /** Says that it leaves, and ends a little later, whether or not it was heard. */
  void leave() {
    keptDown++;
    if (!isUp()) {
      return;
    }
    deliver(this::sayGoodbye);
    long incarnation = agent.incarnation();
    events.at(
        events.now().plus(LEAVING),
        () -> {
          if (isUp() && agent.incarnation() == incarnation) {
            end();
          }
        });
  }

  private void sayGoodbye() {
    leaving = true;
    simulation.judge().leaves(this);
    agent.leave(clock());
  }

  /** One of the faults that keep it down is over. */
  void mayStart() {
    keptDown--;
    if (keptDown == 0 && isUp()) {
      events.at(events.now().plus(LEAVING), this::start); // its last life is about to end
    }
    start();
  }

  void receive(String from, LeaseMessage message) {
    deliver(
        () -> {
          agent.heard(clock(), from, message);
          if (message instanceof LeaseMessage.Acknowledgement told
              && told.upTo() == told.latest()
              && agent.view().version() == told.latest()) {
            completeVersion = told.latest();
            simulation.judge().complete(this, told);
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

  @Override
  void inspect() {
    long version = agent.view().version();
    LeaseAgent.Figures figures = agent.figures();
    if (figures.mismatches() > 0) {
      simulation.judge().broken(number + " held a wrong copy, and emptied it");
    }
    boolean wasEmptied = figures.resets() + figures.mismatches() > emptied;
    emptied = figures.resets() + figures.mismatches();
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

  /** Its life was over without its doing; the agent has begun another. */
  @Override
  public void superseded(Moment now) {
    simulation.judge().superseded(this, lifeIncarnation);
    lifeIncarnation = agent.incarnation();
  }
}
