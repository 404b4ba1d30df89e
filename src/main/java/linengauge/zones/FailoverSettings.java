package linengauge.zones;

import linengauge.Span;

/**
 * How quickly reports lead to a change. Failover between regions is more costly, so it has stricter
 * thresholds and longer delays.
 *
 * @param reportLifetime how long a report counts
 * @param fullWeightAttempts attempts that give a front's report its full weight, which is the
 *     maximum
 * @param unhealthyFailureShare share of failed attempts from which a zone is unhealthy
 * @param healthyFailureShare share of failed attempts below which a zone is healthy
 * @param failoverDelay how long a zone must be unhealthy before it is given up
 * @param recoveryDelay how long a zone must be healthy before it recovers; doubles with each
 *     relapse
 * @param maxRecoveryDelay upper limit of the recovery delay
 * @param stepInterval minimum time between two increases of the local share, and between two
 *     changes of shares alone
 * @param initialRecoveryShare local share at the start of a recovery; doubles with each step
 * @param relapseResetTime serving time after which a zone's relapses are reset
 * @param maxUtilization fraction of a zone's capacity up to which viewers are assigned to it
 * @param minShareChange smaller changes of a share are ignored
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
