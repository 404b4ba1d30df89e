package linengauge.zones;

import linengauge.Span;

/**
 * How soon evidence becomes a change. Regions have the same further, dearer, later.
 *
 * @param holds evidence counts so long
 * @param full so many tries make a front's word a whole one; it is never more
 * @param bad share of failures at which a place is to be given up, and below which it is well
 * @param after it has to be bad for so long
 * @param back it has to be well for so long to come back, doubled with each relapse
 * @param backAtMost the longest of these
 * @param step between two rises of the share taken back
 * @param first share taken back, doubled with each step
 * @param rested near for so long, a place's relapses are forgotten
 * @param fill of a place's room that newcomers may take
 * @param worth shares closer than this to the table's are left as they are
 */
public record FailoverSettings(
    Span holds,
    double full,
    double bad,
    double well,
    Span after,
    Span back,
    Span backAtMost,
    Span step,
    double first,
    Span rested,
    double fill,
    double worth) {
  public static final FailoverSettings ZONES =
      new FailoverSettings(
          Span.ofSeconds(3),
          10,
          0.5,
          0.15,
          Span.ofMillis(1200),
          Span.ofSeconds(4),
          Span.ofSeconds(120),
          Span.ofSeconds(2),
          0.1,
          Span.ofSeconds(300),
          0.9,
          0.05);
  public static final FailoverSettings REGIONS =
      new FailoverSettings(
          Span.ofSeconds(3),
          10,
          0.7,
          0.1,
          Span.ofSeconds(4),
          Span.ofSeconds(20),
          Span.ofSeconds(600),
          Span.ofSeconds(6),
          0.1,
          Span.ofSeconds(900),
          0.8,
          0.05);
}
