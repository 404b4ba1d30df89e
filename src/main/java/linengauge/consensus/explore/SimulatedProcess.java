package linengauge.consensus.explore;

import java.util.SplittableRandom;
import linengauge.Moment;

/**
 * A process of a simulated cluster: its clock is off and runs fast or slow, and it may stand still.
 */
abstract class SimulatedProcess {
  private static final long MOST_OFF_MICROS = 60_000_000L;

  private final ClusterSimulation cluster;
  private final int number;
  private final long clockOffset;
  private final double clockRate;
  private boolean up = true;
  private int life;
  private Moment wakesAt;

  SimulatedProcess(ClusterSimulation cluster, int number, SplittableRandom random) {
    this.cluster = cluster;
    this.number = number;
    this.clockOffset = random.nextLong(2 * MOST_OFF_MICROS) - MOST_OFF_MICROS;
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
    life++;
  }

  /** The process is there, in a life of its own. */
  void beginLife() {
    life++;
    up = true;
    wakesAt = null;
  }

  /** What its own clock shows. */
  Moment clock() {
    return new Moment((long) (cluster.now().micros() * clockRate) + clockOffset);
  }

  private Moment trueTime(Moment ofClock) {
    double micros = Math.ceil((ofClock.micros() - clockOffset) / clockRate);
    return new Moment((long) micros + 1).max(cluster.now());
  }

  /** The moment, by its own clock, at which it wants to be stepped. */
  abstract Moment next();

  abstract void step();

  /** Judges what it holds now. */
  abstract void judge();

  /** Sets its timer anew where it is to be stepped sooner than that says. */
  void wake() {
    Moment at = trueTime(next());
    if (wakesAt != null && !at.isBefore(wakesAt)) {
      return;
    }
    wakesAt = at;
    int mine = life;
    cluster.schedule(
        at,
        () -> {
          if (up && mine == life && at.equals(wakesAt)) {
            run(this::onTimer);
          }
        });
  }

  private void onTimer() {
    wakesAt = null;
    step();
  }

  /** One that stands still reads and steps when it goes on. */
  void run(Runnable task) {
    Moment now = cluster.now();
    Moment until = cluster.faults().frozenUntil(number, now);
    if (now.isBefore(until)) {
      int mine = life;
      cluster.schedule(
          until,
          () -> {
            if (mine == life) {
              run(task);
            }
          });
      return;
    }
    try {
      task.run();
    } catch (IllegalStateException e) {
      cluster.judge().report(number + ": " + e.getMessage());
    }
    if (up) {
      judge();
      wake();
    }
  }
}
