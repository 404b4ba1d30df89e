package linengauge.consensus.explore;

import java.util.SplittableRandom;
import linengauge.Moment;

/**
 * A process of a simulated cluster: its clock is off and runs fast or slow, and it may stand still.
 */
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

  /** The process ends: what it was about to do is not done. */
  void crash() {
    up = false;
    incarnation++;
  }

  /** The process is there, in a life of its own. */
  void startIncarnation() {
    incarnation++;
    up = true;
    timerAt = null;
  }

  /** What its own clock shows. */
  Moment clock() {
    return new Moment((long) (cluster.now().micros() * clockRate) + clockOffset);
  }

  private Moment trueTime(Moment ofClock) {
    double micros = Math.ceil((ofClock.micros() - clockOffset) / clockRate);
    return new Moment((long) micros + 1).orLater(cluster.now());
  }

  /** The moment, by its own clock, at which it wants to be stepped. */
  abstract Moment next();

  abstract void step();

  /** Judges what it holds now. */
  abstract void checkInvariants();

  /** Sets its timer anew where it is to be stepped sooner than that says. */
  void updateTimer() {
    Moment at = trueTime(next());
    if (timerAt != null && !at.before(timerAt)) {
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

  /** One that stands still reads and steps when it goes on. */
  void run(Runnable task) {
    Moment now = cluster.now();
    Moment until = cluster.faults().frozenUntil(number, now);
    if (now.before(until)) {
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
