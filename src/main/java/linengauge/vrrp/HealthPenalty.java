package linengauge.vrrp;

import linengauge.Moment;
import linengauge.Span;

/**
 * Lowers the priority while this front is not fit to hold the address: it sees no serving box, or
 * its session manager is overloaded. A change takes effect only once it has lasted for the
 * configured delay, so that a single late tick has no effect. This prevents a front that can only
 * reject viewings from staying Active. Where both fronts of a pair become unhealthy and recover at
 * different times, each change of the better one causes a handover, at most one in {@link
 * RouterSettings.Extensions#healthChangeDelay}.
 */
final class HealthPenalty {
  private final int priorityReduction;
  private final Span changeDelay;
  private boolean unhealthy;
  private boolean reported;
  private Moment reportedAt = Moment.DISTANT_PAST;

  HealthPenalty(RouterSettings.Extensions extensions) {
    this.priorityReduction = extensions.unhealthyPriorityReduction();
    this.changeDelay = extensions.healthChangeDelay();
  }

  void report(boolean isUnhealthy, Moment now) {
    if (isUnhealthy != reported) {
      reported = isUnhealthy;
      reportedAt = now;
    }
  }

  /** Returns the current reduction of the priority. */
  int priorityReduction(Moment now) {
    if (reported != unhealthy && !now.since(reportedAt).isShorterThan(changeDelay)) {
      unhealthy = reported;
    }
    return unhealthy ? priorityReduction : 0;
  }

  boolean isUnhealthy() {
    return unhealthy;
  }

  HealthPenalty copy(RouterSettings.Extensions extensions) {
    HealthPenalty copy = new HealthPenalty(extensions);
    copy.unhealthy = unhealthy;
    copy.reported = reported;
    copy.reportedAt = reportedAt;
    return copy;
  }

  long fingerprint() {
    return (unhealthy ? 2 : 0) + (reported ? 1 : 0);
  }
}
