package linengauge.platform.connection;

import linengauge.Moment;
import linengauge.Span;

/**
 * Whether one media box can be reached, from what its connections do; its viewings are lost with
 * it. Guards against a machine that vanishes: its connections stay open and silent. TimeoutCause
 * alone proves nothing (a box that stands still says nothing, and plays on afterwards): only
 * connections that no longer come up do, for a while. It could hurt where the way to a box is cut
 * longer than that and the box plays on: its viewers come again.
 */
public final class ReachabilityDetector {
  /**
   * TimeoutCause after which the box is tested, and how long that may go unanswered until a
   * connection is tried; tries that fail for so long mean lost; and so do tries that fail for the
   * least span where there has been no sign for the latest; pauses between tries, doubled.
   */
  public record Terms(
      Span silence,
      Span answer,
      Span lost,
      Span latest,
      Span least,
      Span firstPause,
      Span longestPause) {
    /**
     * Boxes are silent by nature where nothing is set up and nothing is short, and each new
     * connection is priced over the whole fleet: only so late is silence looked into that what
     * played at a box that has vanished is still released within the 8 s that the platform gives
     * (its protocol page), with a second for a front that is itself late.
     */
    public static final Terms PLATFORM =
        new Terms(
            Span.ofMillis(5000),
            Span.ofMillis(500),
            Span.ofMillis(3500),
            Span.ofMillis(7000),
            Span.ofMillis(1000),
            Span.ofMillis(50),
            Span.ofMillis(800));
  }

  private final Terms terms;
  private Moment signAt;

  /** It has been tested since the last sign. */
  private boolean tested;

  private Moment failedSince;
  private Moment nextTry = Moment.DISTANT_PAST;
  private Span pause;

  /**
   * Connections that have closed so far, and how many of these closed before the latest one that
   * came up was begun.
   */
  private int closings;

  private int heardUpTo;

  public ReachabilityDetector(Terms terms, Moment now) {
    this.terms = terms;
    this.signAt = now;
    this.pause = terms.firstPause();
  }

  /** A connection has closed on which the box may have said something last that has not come. */
  public void closed() {
    closings++;
  }

  /** To be asked as a connection is begun, and told when it has come up. */
  public int closings() {
    return closings;
  }

  public void up(int closingsWhenBegun, Moment now) {
    heardUpTo = Math.max(heardUpTo, closingsWhenBegun);
    sign(now);
  }

  /**
   * Whether a connection is wanted for what plays at the box, beside those that can be used: there
   * is none, or the box has something to say again, as it does on the next one begun after a close,
   * or it has been silent for long.
   */
  public boolean wantsConnection(int usable, Moment now) {
    return (usable == 0 || heardUpTo < closings) && mayTry(now) || doubtful(now);
  }

  /** Something was read from the box. */
  public void sign(Moment now) {
    signAt = now;
    tested = false;
    failedSince = null;
    pause = terms.firstPause();
    nextTry = Moment.DISTANT_PAST;
  }

  /** Whether to test it now, on a connection that is open: once in a silence. */
  public boolean wantsTest(Moment now) {
    boolean wants = !tested && terms.silence().under(now.since(signAt));
    tested |= wants;
    return wants;
  }

  /** A connection did not come up. */
  public void failed(Moment now) {
    failedSince = failedSince == null ? now : failedSince;
    nextTry = now.plus(pause);
    pause = pause.times(2).orLess(terms.longestPause());
  }

  /** Bounded back-off: whether a connection may be tried now for what stands at the box. */
  private boolean mayTry(Moment now) {
    return !now.before(nextTry);
  }

  /** It has been silent for so long that a new connection should show whether it is there. */
  private boolean doubtful(Moment now) {
    return terms.silence().plus(terms.answer()).under(now.since(signAt)) && mayTry(now);
  }

  public boolean lost(Moment now) {
    return failedSince != null
        && (!now.before(failedSince.plus(terms.lost()))
            || !now.before(signAt.plus(terms.latest()))
                && !now.before(failedSince.plus(terms.least())));
  }
}
