package linengauge.lease.explore;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;

/**
 * One process of the simulation, with its own clock. It may be down or paused; while it is paused,
 * incoming messages wait in a bounded buffer.
 */
abstract class SimulatedProcess {
  /** Datagrams buffered for a paused process; the operating system drops further ones. */
  private static final int MAX_UNREAD = 512;

  /** Greatest delay with which a timer fires. */
  private static final int MAX_TIMER_DELAY_MICROS = 1000;

  final int number;
  final EventQueue events;
  final SplittableRandom chance;
  final DriftingClock clock;
  private final ArrayDeque<Runnable> unread = new ArrayDeque<>();
  private boolean up;
  private int life;
  private Moment frozenUntil = Moment.DISTANT_PAST;
  private Moment wakesAt;

  SimulatedProcess(int number, double drift, EventQueue events, SplittableRandom chance) {
    this.number = number;
    this.events = events;
    this.chance = chance;
    this.clock = new DriftingClock(drift, chance);
  }

  /** When the next step is due, by the process's own clock. */
  abstract Moment next();

  abstract void step();

  /** Checks the process's state after each of its actions. */
  abstract void inspect();

  final Moment clock() {
    return clock.shown(events.now());
  }

  final boolean isUp() {
    return up;
  }

  final boolean isFrozen() {
    return events.now().isBefore(frozenUntil);
  }

  /** Begins a new life; the caller starts what runs in it. */
  final void goUp() {
    life++;
    up = true;
    wakesAt = null;
    unread.clear();
    frozenUntil = Moment.DISTANT_PAST;
  }

  final void goDown() {
    life++;
    up = false;
    unread.clear();
  }

  final void freeze(Moment until) {
    if (!up) {
      return;
    }
    boolean already = isFrozen();
    frozenUntil = frozenUntil.max(until);
    if (!already) {
      thawAt(frozenUntil);
    }
  }

  private void thawAt(Moment then) {
    int scheduledLife = life;
    events.at(
        then,
        () -> {
          if (scheduledLife != life) {
            return;
          }
          if (isFrozen()) {
            thawAt(frozenUntil);
            return;
          }
          while (!unread.isEmpty() && scheduledLife == life) {
            perform(unread.poll());
          }
          wake();
        });
  }

  /** Performs the action now, or when the process resumes if it is paused. */
  final void deliver(Runnable action) {
    if (!up) {
      return;
    }
    if (!isFrozen()) {
      perform(action);
    } else if (unread.size() < MAX_UNREAD) {
      unread.add(action);
    }
  }

  private void perform(Runnable action) {
    action.run();
    if (up) {
      inspect();
      wake();
    }
  }

  /** Sets the timer, unless it is already set for the same moment or an earlier one. */
  final void wake() {
    if (!up) {
      return;
    }
    Moment due = clock.trueTime(next()).max(events.now());
    if (wakesAt != null && !due.isBefore(wakesAt)) {
      return;
    }
    wakesAt = due;
    int scheduledLife = life;
    Moment served = due.plus(new Span(chance.nextInt(MAX_TIMER_DELAY_MICROS)));
    events.at(served, () -> timer(scheduledLife, due));
  }

  private void timer(int scheduledLife, Moment due) {
    if (scheduledLife != life || !due.equals(wakesAt)) {
      return;
    }
    wakesAt = null;
    if (isFrozen()) {
      return; // resuming sets the timer again
    }
    if (!clock().isBefore(next())) {
      perform(this::step);
    } else {
      wake();
    }
  }
}
