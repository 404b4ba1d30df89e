package linengauge.work;

import linengauge.Span;

/**
 * Limits for background jobs.
 *
 * @param window length of the sliding window: the budgets hold in any span of this length
 * @param loopTime time on the session loop that jobs may use in a window
 * @param bytes that jobs may read or write in a window
 * @param floor fraction of both budgets that remains while the session loop is late, above 0 and at
 *     most 1
 * @param lateThreshold delay from which the session loop counts as late
 * @param maxJobs waiting or running at the same time
 * @param maxRunning running at the same time
 * @param agingInterval waiting time that makes a job more urgent by one level
 * @param initialBackoff between the first two attempts of a failing job
 * @param maxBackoff between two attempts of a failing job
 */
public record WorkSettings(
    Span window,
    Span loopTime,
    long bytes,
    double floor,
    Span lateThreshold,
    int maxJobs,
    int maxRunning,
    Span agingInterval,
    Span initialBackoff,
    Span maxBackoff) {}
