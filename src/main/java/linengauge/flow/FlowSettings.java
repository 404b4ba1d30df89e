package linengauge.flow;

import linengauge.Span;

/**
 * Settings for the detection of slow peers on one loop; sums are the loop's part of the front's
 * totals. All spans are in loop time, which excludes process pauses (see {@link LoopClock}).
 *
 * @param enabled false: no peer is paused or disconnected; meant only to show the effect of the
 *     limits
 * @param tickInterval how often peers are evaluated
 * @param lateTolerance a tick that comes more than this after its due time indicates a process
 *     pause
 * @param window over which the throughput of a peer is measured
 * @param minOwedTime how long within the window a peer must have been owed bytes before it can be
 *     found slow
 * @param gracePeriod after a peer connects, in which it is never found slow
 * @param viewerRateFraction of the lowest rung's rate that a viewer must read at
 * @param boxRateFraction of the current rung's rate that a box must send at
 * @param maxQueuedBytes for all peers of the loop
 * @param maxQueuedBytesPerPeer for one peer
 * @param floorBytes that each of at most {@code maxPeers} peers may always have queued
 * @param chunkBytes the most that is read at once for a peer
 * @param maxPeers viewers with a transfer in progress at the same time
 * @param disconnectWindow for which the number of disconnected peers is limited
 * @param baseDisconnects peers that may be disconnected within the window in any case
 * @param disconnectsPerProgressingPeer further peers that may be disconnected for each peer that
 *     makes progress
 */
public record FlowSettings(
    boolean enabled,
    Span tickInterval,
    Span lateTolerance,
    Span window,
    Span minOwedTime,
    Span gracePeriod,
    double viewerRateFraction,
    double boxRateFraction,
    long maxQueuedBytes,
    long maxQueuedBytesPerPeer,
    long floorBytes,
    long chunkBytes,
    int maxPeers,
    Span disconnectWindow,
    int baseDisconnects,
    double disconnectsPerProgressingPeer) {}
