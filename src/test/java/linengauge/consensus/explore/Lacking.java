package linengauge.consensus.explore;

import java.util.EnumSet;
import java.util.Set;
import linengauge.consensus.PersistentState;
import linengauge.consensus.RaftMessage;
import linengauge.consensus.RaftNode;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.StateMachine;
import linengauge.consensus.Voters;

/** A voter with some of its guards taken out. */
final class Lacking extends RaftNode {
  /** What can be taken out. */
  enum Guard {
    ASKS_FIRST,
    SAVES,
    STORES,
    OWN_TERM,
    FRESH,
    ONE_CHANGE,
    OWN_DECIDED,
    MOST
  }

  private final Set<Guard> out;

  private Lacking(
      Set<Guard> out,
      RaftSettings terms,
      int own,
      PersistentState saved,
      StateMachine machine,
      long seed,
      Port port) {
    super(terms, own, saved, machine, seed, port);
    this.out = out;
  }

  private Lacking(Set<Guard> out, RaftNode of, StateMachine machine, Port port) {
    super(of, machine, port);
    this.out = out;
  }

  static Maker maker(Guard... guards) {
    Set<Guard> out = EnumSet.noneOf(Guard.class);
    out.addAll(Set.of(guards));
    return new Maker() {
      @Override
      public RaftNode make(
          RaftSettings terms,
          int own,
          PersistentState saved,
          StateMachine machine,
          long seed,
          Port port) {
        return new Lacking(out, terms, own, saved, machine, seed, port);
      }

      @Override
      public RaftNode copy(RaftNode of, StateMachine machine, Port port) {
        return new Lacking(out, of, machine, port);
      }
    };
  }

  @Override
  protected boolean asksFirst() {
    return !out.contains(Guard.ASKS_FIRST);
  }

  @Override
  protected boolean save() {
    if (out.contains(Guard.SAVES)) {
      lasts();
      return true;
    }
    return super.save();
  }

  @Override
  protected boolean counts(RaftMessage w) {
    return out.contains(Guard.STORES) || super.counts(w);
  }

  @Override
  protected boolean mayCount(long ofTerm) {
    return out.contains(Guard.OWN_TERM) || super.mayCount(ofTerm);
  }

  @Override
  protected boolean isFresh(long asked, long most) {
    return out.contains(Guard.FRESH) || super.isFresh(asked, most);
  }

  @Override
  protected boolean mayChange(Voters next) {
    return out.contains(Guard.ONE_CHANGE) || super.mayChange(next);
  }

  @Override
  protected boolean ownIsDecided() {
    return out.contains(Guard.OWN_DECIDED) || super.ownIsDecided();
  }

  @Override
  protected boolean checksMost() {
    return !out.contains(Guard.MOST);
  }
}
