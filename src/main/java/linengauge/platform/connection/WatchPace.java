package linengauge.platform.connection;

import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.session.Backoff;

/**
 * When a further watch may be opened beside those that are overdue. The first one is due at once,
 * so that a watch that was lost is replaced soon. If the service does not answer that one either,
 * the intervals grow up to a bound and are randomized: what a slow service needs least is to be
 * asked more often by all fronts.
 */
public final class WatchPace {
  private static final Span FIRST_INTERVAL = Span.ofMillis(6600);
  private static final Span MAX_INTERVAL = Span.ofSeconds(10);

  private final Backoff backoff;
  private Moment lastOpenedAt = Moment.DISTANT_PAST;
  private Span interval = Span.NONE;

  public WatchPace(SplittableRandom random) {
    this.backoff = new Backoff(FIRST_INTERVAL, MAX_INTERVAL, random);
  }

  /** Whether a further watch may be opened. */
  public boolean mayOpen(Moment now) {
    return !now.isBefore(lastOpenedAt.plus(interval));
  }

  /** A watch was opened beside others that are overdue. */
  public void onOpenedBeside(Moment now) {
    lastOpenedAt = now;
    interval = backoff.nextDelay();
  }

  /** The service has answered, or another service is asked from now on. */
  public void reset() {
    interval = Span.NONE;
    backoff.reset();
  }
}
