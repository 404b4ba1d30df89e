package linengauge.lease.explore;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;

/**
 * One process of the simulation, with a clock of its own. It may be down, or stand still: then what
 * comes to it waits until it goes on, as far as there is room.
 */
abstract class SimulatedProcess {
  /** Datagrams that wait for a process that stands still; the system drops further ones. */
  private static final int MOST_UNREAD = 512;

  /** A timer is served so much late at the most. */
  private static final int MOST_LATE_MICROS = 1000;

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

  /** When it wants to be stepped, by its own clock. */
  abstract Moment next();

  abstract void step();

  /** Looks at it after it has done anything. */
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

  /** A new life begins; the caller starts what runs in it. */
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
    int mine = life;
    events.at(
        then,
        () -> {
          if (mine != life) {
            return;
          }
          if (isFrozen()) {
            thawAt(frozenUntil);
            return;
          }
          while (!unread.isEmpty() && mine == life) {
            perform(unread.poll());
          }
          wake();
        });
  }

  /** Something has come that it reads now, or when it goes on. */
  final void deliver(Runnable deed) {
    if (!up) {
      return;
    }
    if (!isFrozen()) {
      perform(deed);
    } else if (unread.size() < MOST_UNREAD) {
      unread.add(deed);
    }
  }

  private void perform(Runnable deed) {
    deed.run();
    if (up) {
      inspect();
      wake();
    }
  }

  /** Sets its timer, unless it is set as early. */
  final void wake() {
    if (!up) {
      return;
    }
    Moment due = clock.trueTime(next()).max(events.now());
    if (wakesAt != null && !due.isBefore(wakesAt)) {
      return;
    }
    wakesAt = due;
    int mine = life;
    Moment served = due.plus(new Span(chance.nextInt(MOST_LATE_MICROS)));
    events.at(served, () -> timer(mine, due));
  }

  private void timer(int ofLife, Moment due) {
    if (ofLife != life || !due.equals(wakesAt)) {
      return;
    }
    wakesAt = null;
    if (isFrozen()) {
      return; // it is stepped by itself when it goes on
    }
    if (!clock().isBefore(next())) {
      perform(this::step);
    } else {
      wake();
    }
  }
}
