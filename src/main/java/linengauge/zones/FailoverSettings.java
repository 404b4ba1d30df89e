package linengauge.zones;

import linengauge.Span;

/**
 * How soon evidence becomes a change. Regions have the same further, dearer, later.
 *
 * @param reportLifetime evidence counts so long
 * @param fullWeightAttempts so many tries make a front's word a whole one; it is never more
 * @param unhealthyFailureShare share of failures at which a place is to be given up, and below
 *     which it is well
 * @param failoverDelay it has to be bad for so long
 * @param recoveryDelay it has to be well for so long to come back, doubled with each relapse
 * @param maxRecoveryDelay the longest of these
 * @param stepInterval between two rises of the share taken back
 * @param initialRecoveryShare share taken back, doubled with each step
 * @param relapseResetTime near for so long, a place's relapses are forgotten
 * @param maxUtilization of a place's room that newcomers may take
 * @param minShareChange shares closer than this to the table's are left as they are
 */
public record FailoverSettings(
    Span reportLifetime,
    double fullWeightAttempts,
    double unhealthyFailureShare,
    double healthyFailureShare,
    Span failoverDelay,
    Span recoveryDelay,
    Span maxRecoveryDelay,
    Span stepInterval,
    double initialRecoveryShare,
    Span relapseResetTime,
    double maxUtilization,
    double minShareChange) {
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
