package linengauge.consensus.explore;

import java.util.SplittableRandom;
import linengauge.Moment;

/** A process of a simulated cluster, whose clock has an offset and a drift, and which may pause. */
abstract class SimulatedProcess {
  private static final long MAX_CLOCK_OFFSET_MICROS = 60_000_000L;

  private final ClusterSimulation cluster;
  private final int number;
  private final long clockOffset;
  private final double clockRate;
  private boolean up = true;
  private int incarnation;
  private Moment timerAt;

  SimulatedProcess(ClusterSimulation cluster, int number, SplittableRandom random) {
    this.cluster = cluster;
    this.number = number;
    this.clockOffset = random.nextLong(2 * MAX_CLOCK_OFFSET_MICROS) - MAX_CLOCK_OFFSET_MICROS;
    this.clockRate = 0.98 + random.nextInt(5) / 100.0;
  }

  ClusterSimulation cluster() {
    return cluster;
  }

  int number() {
    return number;
  }

  boolean isUp() {
    return up;
  }

  /** Ends the process; its scheduled tasks are dropped. */
  void crash() {
    up = false;
    incarnation++;
  }

  /** Marks the process as running in a new incarnation, without its earlier tasks. */
  void startIncarnation() {
    incarnation++;
    up = true;
    timerAt = null;
  }

  /** The time on the process's own clock. */
  Moment clock() {
    return new Moment((long) (cluster.now().micros() * clockRate) + clockOffset);
  }

  private Moment trueTime(Moment ofClock) {
    double micros = Math.ceil((ofClock.micros() - clockOffset) / clockRate);
    return new Moment((long) micros + 1).max(cluster.now());
  }

  /** The time on its own clock at which {@link #step} is due. */
  abstract Moment next();

  abstract void step();

  /** Checks its present state. */
  abstract void checkInvariants();

  /** Reschedules the timer if the next step is due earlier. */
  void updateTimer() {
    Moment at = trueTime(next());
    if (timerAt != null && !at.isBefore(timerAt)) {
      return;
    }
    timerAt = at;
    int scheduledIn = incarnation;
    cluster.schedule(
        at,
        () -> {
          if (up && scheduledIn == incarnation && at.equals(timerAt)) {
            run(this::onTimer);
          }
        });
  }

  private void onTimer() {
    timerAt = null;
    step();
  }

  /** Runs the task now, or when the process resumes if it is paused. */
  void run(Runnable task) {
    Moment now = cluster.now();
    Moment until = cluster.faults().frozenUntil(number, now);
    if (now.isBefore(until)) {
      int scheduledIn = incarnation;
      cluster.schedule(
          until,
          () -> {
            if (scheduledIn == incarnation) {
              run(task);
            }
          });
      return;
    }
    try {
      task.run();
    } catch (IllegalStateException e) {
      cluster.invariants().report(number + ": " + e.getMessage());
    }
    if (up) {
      checkInvariants();
      updateTimer();
    }
  }
}
