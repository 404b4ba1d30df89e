package linengauge.lease.explore;

import java.util.List;
import java.util.SplittableRandom;
import linengauge.lease.ControlMachine;
import linengauge.lease.LeaseAgent;
import linengauge.lease.LeaseSettings;
import linengauge.lease.MemberDirectory;
import linengauge.lease.Registrar;
import linengauge.membership.Member;

/**
 * Makes the cores that a simulation plays; another one leaves a guard out, to see what it guards.
 */
public interface Maker {
  /** The cores as they are. */
  Maker USUAL = new Maker() {};

  /** One life of a front. */
  default LeaseAgent agent(
      LeaseSettings settings,
      Member own,
      long incarnation,
      List<ControlMachine> controls,
      LeaseAgent.Port port,
      SplittableRandom chance) {
    return new LeaseAgent(settings, own, incarnation, controls, port, chance);
  }

  /** One life of a control machine. */
  default Registrar registrar(
      LeaseSettings settings,
      int own,
      List<ControlMachine> controls,
      MemberDirectory directory,
      Registrar.Port port,
      SplittableRandom chance) {
    return new Registrar(settings, own, controls, directory, port, chance);
  }
}
