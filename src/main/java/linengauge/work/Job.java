package linengauge.work;

import linengauge.Span;

/**
 * Something to be done when there is time for it.
 *
 * @param name one job of a name waits at a time: a further submission is the same one
 * @param urgency 0: before all others of a higher number
 * @param startWithin how soon it should have begun after it is submitted or due; from then on it
 *     goes before all that are not late themselves
 * @param interval how long after it was done it is due again; none: it is done once
 * @param maxAttempts how often it may fail in a row; 0: for ever
 * @param loopTime that it is thought to take of the desk; learnt from what it takes
 * @param bytes that it is thought to read or write; learnt too
 * @param action does it, or begins it; must tell the job of its end, then or later
 */
public record Job(
    String name,
    int urgency,
    Span startWithin,
    Span interval,
    int maxAttempts,
    Span loopTime,
    long bytes,
    Action action) {
  /** What is done. */
  public interface Action {
    void run(ScheduledJob job);

    /** It has failed for the last time, or had to leave for more urgent ones. */
    default void abandoned(ScheduledJob job) {
      // most have nothing to take back
    }
  }
}
