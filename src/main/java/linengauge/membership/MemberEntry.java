package linengauge.membership;

import linengauge.Moment;

/** This front's record of another member. */
final class MemberEntry {
  private MemberUpdate update;
  private Suspicion suspicion;
  private Moment since;

  MemberEntry(Moment since) {
    this.since = since;
  }

  /** Returns the latest accepted update, or null before the first one. */
  MemberUpdate update() {
    return update;
  }

  /** Replaces the current update and clears the suspicion that belonged to it. */
  void setUpdate(MemberUpdate next, Moment now) {
    since = update == null || update.state() != next.state() ? now : since;
    update = next;
    suspicion = null;
  }

  /** Returns the time at which the member entered its current state. */
  Moment since() {
    return since;
  }

  /** Returns the active suspicion, or null. */
  Suspicion suspicion() {
    return suspicion;
  }

  void setSuspicion(Suspicion running) {
    suspicion = running;
  }

  int number() {
    return update.member().number();
  }

  String address() {
    return update.member().address();
  }

  boolean isPresent() {
    return update.state().isPresent();
  }

  boolean is(MemberState state) {
    return update.state() == state;
  }
}
