package linengauge.membership;

import linengauge.Moment;

/** One other member as this front holds it. */
final class MemberEntry {
  private MemberUpdate update;
  private Suspicion suspicion;
  private Moment since;

  MemberEntry(Moment since) {
    this.since = since;
  }

  /** The last update that overruled what was held before; null until there was one. */
  MemberUpdate update() {
    return update;
  }

  /** Takes an update in the place of what was held; a suspicion of that ends with it. */
  void setUpdate(MemberUpdate next, Moment now) {
    since = update == null || update.state() != next.state() ? now : since;
    update = next;
    suspicion = null;
  }

  /** Since when it has been held for what it is held for now. */
  Moment since() {
    return since;
  }

  /** The running suspicion, or null. */
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
