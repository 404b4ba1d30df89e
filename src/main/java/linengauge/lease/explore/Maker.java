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
 * Creates the agents and registrars that a simulation runs. Tests use implementations that leave
 * out one safeguard, to show which rule then breaks.
 */
public interface Maker {
  /** Creates the agents and registrars unchanged. */
  Maker USUAL = new Maker() {};

  /** Creates the agent for one life of a front. */
  default LeaseAgent agent(
      LeaseSettings settings,
      Member own,
      long incarnation,
      List<ControlMachine> controls,
      LeaseAgent.Port port,
      SplittableRandom chance) {
    return new LeaseAgent(settings, own, incarnation, controls, port, chance);
  }

  /** Creates the registrar for one life of a control machine. */
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
