package linengauge.rehearsal;

import java.util.ArrayDeque;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.Net;
import linengauge.session.Transport.Timer;

/**
 * The network interface and event loop of one front process in virtual time. Its clock advances by
 * the processor time it uses: each reading of the time stands for one message or step, and costs
 * more while the process is young. Events queue up while another one runs.
 */
final class SimulatedNet implements Net {
  /** The cost of a step in a new process, when warm, and the steps until the process is warm. */
  record StepCost(Span first, Span warm, int stepsUntilWarm) {
    Span afterSteps(int steps) {
      double coldShare = Math.max(0, 1 - (double) steps / stepsUntilWarm);
      return warm.plus(first.minus(warm).times(coldShare));
    }
  }

  private final String name;
  private final VirtualClock clock;
  private final NetworkModel network;
  private final StepCost stepCost;
  private final TrafficRecorder recorder;
  private final ArrayDeque<Runnable> pendingEvents = new ArrayDeque<>();

  /**
   * The process's own time: ahead of the clock while an event runs, and until the clock follows.
   */
  private Moment localTime;

  private boolean running;
  private boolean scheduled;
  private boolean dead;
  private int steps;
  private Span longestTurn = Span.NONE;
  private final SimulatedProcess process =
      new SimulatedProcess() {
        @Override
        public void deliver(Runnable event) {
          if (!dead) {
            pendingEvents.add(event);
            scheduleNext();
          }
        }

        @Override
        public Moment now() {
          return running ? localTime : localTime.max(clock.now());
        }
      };

  SimulatedNet(
      String name,
      VirtualClock clock,
      NetworkModel network,
      StepCost stepCost,
      TrafficRecorder recorder) {
    this.name = name;
    this.clock = clock;
    this.network = network;
    this.stepCost = stepCost;
    this.recorder = recorder;
    this.localTime = clock.now();
  }

  void die() {
    dead = true;
    pendingEvents.clear();
  }

  boolean isDead() {
    return dead;
  }

  /** The longest turn so far. */
  Span longestTurn() {
    return longestTurn;
  }

  private void scheduleNext() {
    if (!scheduled && !pendingEvents.isEmpty()) {
      scheduled = true;
      clock.scheduleAt(localTime, this::runNext);
    }
  }

  private void runNext() {
    scheduled = false;
    Runnable event = pendingEvents.poll();
    if (dead || event == null) {
      return;
    }
    Moment turnStart = localTime.max(clock.now());
    localTime = turnStart;
    running = true;
    event.run();
    running = false;
    longestTurn = longestTurn.max(localTime.since(turnStart));
    scheduleNext();
  }

  @Override
  public Moment now() {
    if (running) {
      localTime = localTime.plus(stepCost.afterSteps(steps++));
    }
    return process.now();
  }

  @Override
  public void connect(String address, Span timeLimit, int mostUnread, ConnectHandler callback) {
    recorder.countConnection(address);
    network.connect(name, process, address, timeLimit, callback);
  }

  @Override
  public void listen(String address, int mostUnread, AcceptHandler listener) {
    network.listen(
        address,
        new NetworkModel.Acceptor() {
          @Override
          public SimulatedProcess process() {
            return process;
          }

          @Override
          public boolean accept(SimulatedConnection.Endpoint endpoint) {
            process.deliver(() -> listener.accepted(endpoint));
            return !dead;
          }
        });
    defer(() -> listener.listening(null));
  }

  @Override
  public Timer schedule(Span span, Runnable task) {
    boolean[] cancelled = {false};
    clock.scheduleAt(
        process.now().plus(span),
        () ->
            process.deliver(
                () -> {
                  if (!cancelled[0]) {
                    task.run();
                  }
                }));
    return () -> cancelled[0] = true;
  }

  @Override
  public void scheduleEvery(Span span, Runnable task) {
    schedule(
        span,
        () -> {
          task.run();
          scheduleEvery(span, task);
        });
  }

  @Override
  public void defer(Runnable task) {
    process.deliver(task);
  }

  @Override
  public void whenFlushed(Span atMost, Runnable task) {
    defer(task); // Writes are sent at once.
  }
}
