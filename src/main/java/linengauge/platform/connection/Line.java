package linengauge.platform.connection;

import linengauge.Moment;
import linengauge.Span;

/**
 * One connection to a media box, as far as its use must be judged: whether it takes more set-ups,
 * and when it must go. Guards against a connection of which nothing more comes, though it stays
 * open, and against closing one on which a box may be telling of viewings that play: what was on
 * its way then is lost. It could hurt where a box answers some and not others: it is taken for well
 * as long as anything comes.
 */
public final class Line {
  /** A line that has begun and not gone on for so long will not: its box has spoilt it. */
  private static final Span MID_LINE = Span.ofMillis(400);

  /** What is to become of it. */
  public enum Verdict {
    STAYS,
    RESTS,
    SPOILT
  }

  private Moment upAt = Moment.DISTANT_PAST;
  private Moment heardAt;
  private Moment usedAt;
  private Moment midSince;
  private int standing;
  private boolean retired;

  public Line(Moment now) {
    this.heardAt = now;
    this.usedAt = now;
  }

  /** It has come up. */
  public void up(Moment now) {
    upAt = now;
  }

  Moment upAt() {
    return upAt;
  }

  /** Something comes. */
  public void heard(Moment now) {
    heardAt = now;
  }

  /** What came was read; ended: a line ended in it; mid: another has begun since and not ended. */
  public void read(boolean ended, boolean mid, Moment now) {
    midSince = !mid ? null : ended || midSince == null ? now : midSince;
  }

  public void used(Moment now) {
    usedAt = now;
  }

  /**
   * A set-up written then has had no answer in its time: where nothing else came either, it takes
   * nothing more.
   */
  public void unanswered(Moment writtenAt) {
    retired |= heardAt.before(writtenAt);
  }

  /** Viewings set up on it that play, more or less. */
  public void stands(int more) {
    standing += more;
  }

  public int standing() {
    return standing;
  }

  public boolean isRetired() {
    return retired;
  }

  public Moment heardAt() {
    return heardAt;
  }

  /** With so many set-ups and tests out on it; a bound of NONE lets it rest for ever. */
  public Verdict verdict(int out, Span rests, Moment now) {
    if (midSince != null && MID_LINE.under(now.since(midSince))) {
      return Verdict.SPOILT;
    }
    boolean rested = Span.NONE.under(rests) && rests.under(now.since(usedAt.orLater(heardAt)));
    return out == 0 && standing == 0 && (retired || rested) ? Verdict.RESTS : Verdict.STAYS;
  }
}
