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
  AGENT_FAILS_OVER,
  REGISTRAR_TRUSTS_CONFIRMED,
  REGISTRAR_TRUSTS_AGE,
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
