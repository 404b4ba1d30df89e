package linengauge.lease.explore;

import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.lease.ControlMachine;
import linengauge.lease.DirectoryEntry;
import linengauge.lease.LeaseAgent;
import linengauge.lease.LeaseMessage;
import linengauge.lease.LeaseSettings;
import linengauge.lease.MemberDirectory;
import linengauge.lease.Registrar;
import linengauge.membership.Member;

/** A guard of the cores that a simulation can leave out. */
enum Guard implements Maker {
  AGENT_STOOD_STILL,
  AGENT_FAILS_OVER,
  AGENT_COUNTS_DRIFT,
  AGENT_BUDGET,
  REGISTRAR_STOOD_STILL,
  REGISTRAR_TAKEOVER,
  REGISTRAR_FRESH,
  REGISTRAR_LISTED_LIFE,
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
      protected boolean stoodStill(Moment due, Moment now) {
        return Guard.this != AGENT_STOOD_STILL && super.stoodStill(due, now);
      }

      @Override
      protected boolean failsOver() {
        return Guard.this != AGENT_FAILS_OVER && super.failsOver();
      }

      @Override
      protected Span counted(Span remaining) {
        return Guard.this == AGENT_COUNTS_DRIFT ? remaining : super.counted(remaining);
      }

      @Override
      protected Moment budgetAllows(Moment now) {
        return Guard.this == AGENT_BUDGET ? now : super.budgetAllows(now);
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
      protected boolean stoodStill(Moment due, Moment at) {
        return Guard.this != REGISTRAR_STOOD_STILL && super.stoodStill(due, at);
      }

      @Override
      protected Moment takeoverUntil(Moment leadingSince) {
        return Guard.this == REGISTRAR_TAKEOVER
            ? Moment.DISTANT_PAST
            : super.takeoverUntil(leadingSince);
      }

      @Override
      protected boolean isFresh() {
        return Guard.this == REGISTRAR_FRESH || super.isFresh();
      }

      @Override
      protected boolean isListedLife(DirectoryEntry entry, LeaseMessage.Heartbeat heartbeat) {
        return Guard.this == REGISTRAR_LISTED_LIFE || super.isListedLife(entry, heartbeat);
      }

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
