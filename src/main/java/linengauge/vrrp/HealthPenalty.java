package linengauge.vrrp;

import linengauge.Moment;
import linengauge.Span;

/**
 * Whether this front is fit to hold the address: it sees a serving box and its desk keeps up. A
 * change counts once it has lasted, so that one late beat moves nothing. Guards against an Active
 * front that can only block; it could hurt where both fronts of a pair fall ill and recover apart:
 * each change of the better one is a handover, one in `unwellAfter` at the most.
 */
final class HealthPenalty {
  private final int minus;
  private final Span lasts;
  private boolean unwell;
  private boolean reported;
  private Moment reportedAt = Moment.DISTANT_PAST;

  HealthPenalty(RouterSettings.Extensions more) {
    this.minus = more.unhealthyPriorityReduction();
    this.lasts = more.healthChangeDelay();
  }

  void report(boolean isUnwell, Moment now) {
    if (isUnwell != reported) {
      reported = isUnwell;
      reportedAt = now;
    }
  }

  /** What is taken off the priority now. */
  int minus(Moment now) {
    if (reported != unwell && !now.since(reportedAt).under(lasts)) {
      unwell = reported;
    }
    return unwell ? minus : 0;
  }

  boolean isUnwell() {
    return unwell;
  }

  HealthPenalty copy(RouterSettings.Extensions more) {
    HealthPenalty s = new HealthPenalty(more);
    s.unwell = unwell;
    s.reported = reported;
    s.reportedAt = reportedAt;
    return s;
  }

  long mark() {
    return (unwell ? 2 : 0) + (reported ? 1 : 0);
  }
}
