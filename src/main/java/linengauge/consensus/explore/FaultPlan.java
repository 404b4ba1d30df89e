package linengauge.consensus.explore;

import java.util.List;
import linengauge.Moment;
import linengauge.Span;

/** Tells which faults are active at a moment, and which processes they affect. */
final class FaultPlan {
  /** Simulated followers are numbered from here; voters are fewer. */
  static final int FIRST_FOLLOWER = 32;

  private final List<Fault> faults;
  private final int voters;

  FaultPlan(List<Fault> faults, int voters) {
    this.faults = List.copyOf(faults);
    this.voters = voters;
  }

  List<Fault> all() {
    return faults;
  }

  boolean isOn(Fault.Kind kind, int number, Moment now) {
    return faults.stream().anyMatch(f -> f.kind() == kind && f.target() == number && f.isOn(now));
  }

  /** Whether all messages from one process to the other are lost. */
  boolean isCut(int from, int to, Moment now) {
    return from != to
        && (isOn(Fault.Kind.MUTE, from, now)
            || isOn(Fault.Kind.DEAF, to, now)
            || isLinkCut(from, to, now));
  }

  private boolean isLinkCut(int from, int to, Moment now) {
    return faults.stream()
        .anyMatch(
            f ->
                f.kind() == Fault.Kind.CUT
                    && processOf(f.target()) == from
                    && f.peer() == to
                    && f.isOn(now));
  }

  /** The end of the pause of that process; {@code now} if it is not paused. */
  Moment frozenUntil(int number, Moment now) {
    Moment until = now;
    for (Fault fault : faults) {
      if (fault.kind() == Fault.Kind.FREEZE
          && processOf(fault.target()) == number
          && fault.isOn(now)) {
        until = until.max(fault.to());
      }
    }
    return until;
  }

  /** How long that voter has received no messages. */
  Span deafFor(int number, Moment now) {
    Span longest = Span.NONE;
    for (Fault fault : faults) {
      if (fault.kind() == Fault.Kind.DEAF && fault.target() == number && fault.isOn(now)) {
        longest = longest.max(now.since(fault.from()));
      }
    }
    return longest;
  }

  /** Fault targets from the number of voters on are followers. */
  private int processOf(int number) {
    return number < voters ? number : FIRST_FOLLOWER + number - voters;
  }
}
