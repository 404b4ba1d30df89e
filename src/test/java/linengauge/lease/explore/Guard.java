package linengauge.lease.explore;

import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.lease.ControlMachine;
import linengauge.lease.LeaseAgent;
import linengauge.lease.LeaseSettings;
import linengauge.lease.MemberDirectory;
import linengauge.lease.Registrar;
import linengauge.membership.Member;

/** Safeguards of the agent and the registrar that a simulation can leave out. */
enum Guard implements Maker {
  /** The agent turns to another control machine if its own is down or cut off from the leader. */
  AGENT_FAILS_OVER,
  /** A lease counts from the last heartbeat that the leader confirmed, not the last received. */
  REGISTRAR_TRUSTS_CONFIRMED,
  /** After a pause, the registrar does not take queued messages of the log for recent ones. */
  REGISTRAR_TRUSTS_AGE,
  /** The members of a region that cannot be reached as a whole stay in the directory. */
  REGISTRAR_REGION_LOST;

  @Override
  public LeaseAgent agent(
      LeaseSettings settings,
      Member own,
      long incarnation,
      List<ControlMachine> controls,
      LeaseAgent.Port port,
      SplittableRandom chance) {
    return new LeaseAgent(settings, own, incarnation, controls, port, chance) {
      @Override
      protected boolean failsOver() {
        return Guard.this != AGENT_FAILS_OVER && super.failsOver();
      }
    };
  }

  @Override
  public Registrar registrar(
      LeaseSettings settings,
      int own,
      List<ControlMachine> controls,
      MemberDirectory directory,
      Registrar.Port port,
      SplittableRandom chance) {
    return new Registrar(settings, own, controls, directory, port, chance) {
      @Override
      protected boolean trustsOnlyConfirmed() {
        return Guard.this != REGISTRAR_TRUSTS_CONFIRMED && super.trustsOnlyConfirmed();
      }

      @Override
      protected boolean trustsAge() {
        return Guard.this == REGISTRAR_TRUSTS_AGE || super.trustsAge();
      }

      @Override
      protected boolean isRegionLost(int region, Moment at) {
        return Guard.this != REGISTRAR_REGION_LOST && super.isRegionLost(region, at);
      }
    };
  }
}
