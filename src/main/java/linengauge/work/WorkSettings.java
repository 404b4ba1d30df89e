package linengauge.work;

import linengauge.Span;

/**
 * What background work is held to.
 *
 * @param window in any one of which the budgets hold
 * @param loopTime of the desk that jobs may take in a window
 * @param bytes that jobs may read or write in a window
 * @param floor part of both budgets that is left while the desk is late, over 0 and at most 1
 * @param lateThreshold how late the desk must be for that
 * @param maxJobs that may wait or run at once
 * @param maxRunning jobs under way at once
 * @param agingInterval after which a job that waits counts as one step more urgent
 * @param initialBackoff and mostPause between tries of a job that fails
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
