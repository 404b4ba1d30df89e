package linengauge.vrrp;

import linengauge.Moment;
import linengauge.Span;

/**
 * Whether this front is fit to hold the address: it sees a serving box and its desk keeps up. A
 * change counts once it has lasted, so that one late beat moves nothing. Guards against an Active
 * front that can only block; it could hurt where both fronts of a pair fall ill and recover apart:
 * each change of the better one is a handover, one in `unwellAfter` at the most.
 */
final class Standing {
  private final int minus;
  private final Span lasts;
  private boolean unwell;
  private boolean told;
  private Moment toldAt = Moment.DISTANT_PAST;

  Standing(RouterTerms.Additions more) {
    this.minus = more.unwellMinus();
    this.lasts = more.unwellAfter();
  }

  void told(boolean isUnwell, Moment now) {
    if (isUnwell != told) {
      told = isUnwell;
      toldAt = now;
    }
  }

  /** What is taken off the priority now. */
  int minus(Moment now) {
    if (told != unwell && !now.since(toldAt).under(lasts)) {
      unwell = told;
    }
    return unwell ? minus : 0;
  }

  boolean isUnwell() {
    return unwell;
  }

  Standing copy(RouterTerms.Additions more) {
    Standing s = new Standing(more);
    s.unwell = unwell;
    s.told = told;
    s.toldAt = toldAt;
    return s;
  }

  long mark() {
    return (unwell ? 2 : 0) + (told ? 1 : 0);
  }
}
