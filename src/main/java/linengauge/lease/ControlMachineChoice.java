package linengauge.lease;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;

/**
 * Which control machine a front sends its heartbeats to: those of its own region first, in an order
 * drawn by each front, so that the load is spread; the next one after two heartbeats without a good
 * answer; back to an earlier one of its own region after a while.
 */
final class ControlMachineChoice {
  /** Heartbeats without a good answer after which the next machine is asked. */
  static final int MOST_FAILURES = 2;

  /** Leases after which an earlier machine is tried again, at the least. */
  private static final int LEASES_AWAY = 5;

  private final List<ControlMachine> order = new ArrayList<>();
  private final int ofOwnRegion;
  private final Span lease;
  private final SplittableRandom chance;
  private int current;
  private int failures;
  private int movesInVain;
  private int probed;
  private Moment probeAt;

  ControlMachineChoice(List<ControlMachine> all, int region, Span lease, SplittableRandom chance) {
    if (all.isEmpty()) {
      throw new IllegalArgumentException("no control machine");
    }
    this.lease = lease;
    this.chance = chance;
    List<ControlMachine> others = new ArrayList<>();
    all.forEach(machine -> (machine.region() == region ? order : others).add(machine));
    ofOwnRegion = order.size();
    shuffle(order);
    shuffle(others);
    order.addAll(others);
  }

  private void shuffle(List<ControlMachine> machines) {
    for (int i = machines.size() - 1; i > 0; i--) {
      Collections.swap(machines, i, chance.nextInt(i + 1));
    }
  }

  ControlMachine current() {
    return order.get(current);
  }

  /**
   * Whether the machine has failed often enough: twice, or once where the one before failed just
   * now too, until all were tried. Guards against a lease that runs out while one dead machine
   * after another is tried. Hurts little: some heartbeats more where none answers.
   */
  boolean hasFailed() {
    boolean hurries = movesInVain > 0 && movesInVain < order.size();
    return failures >= (hurries ? 1 : MOST_FAILURES);
  }

  void answeredWell() {
    failures = 0;
    movesInVain = 0;
  }

  void failed() {
    failures++;
  }

  void forgetFailures() {
    failures = 0;
  }

  void next(Moment now) {
    current = (current + 1) % order.size();
    failures = 0;
    movesInVain++;
    scheduleProbe(now);
  }

  /**
   * Draws when to try an earlier machine of its own region, so that a fleet does not do at once.
   */
  private void scheduleProbe(Moment now) {
    boolean earlierOne = current > 0 && ofOwnRegion > 0;
    probeAt = earlierOne ? now.plus(lease.times(LEASES_AWAY * (1 + chance.nextDouble()))) : null;
  }

  /** When an earlier machine is to be tried, or null. */
  Moment probeAt() {
    return probeAt;
  }

  void postponeProbe(Moment until) {
    probeAt = probeAt == null ? null : probeAt.max(until);
  }

  /** The earlier machine to try now. */
  ControlMachine probe(Moment now) {
    ControlMachine machine = order.get(probed++ % Math.min(ofOwnRegion, current));
    scheduleProbe(now);
    return machine;
  }

  /** A machine that was tried answered well: it is the one from here on. */
  void returnTo(ControlMachine machine, Moment now) {
    current = order.indexOf(machine);
    answeredWell();
    scheduleProbe(now);
  }
}
