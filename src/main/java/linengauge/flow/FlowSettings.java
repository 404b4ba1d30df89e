package linengauge.flow;

import linengauge.Span;

/**
 * What slow peers are held to, on one loop (a loop's part of the front's figures, where they are
 * sums). All spans are of the loop's own time, in which a stand-still of the loop does not count
 * ({@link LoopClock}).
 *
 * @param enabled false: nobody is held back or let go; only to show what the guards are for
 * @param tickInterval how often the accounts are looked at; a look that comes `late` after that
 *     tells of a stand-still
 * @param window over which what moved is weighed, and `evidence`, how much of it a peer must have
 *     been owed bytes in before it can be found slow; `grace` after its start nobody is
 * @param viewerRateFraction of the lowest rung's rate that a viewer must take; boxShare, of the
 *     rung in force, that a box must bring
 * @param maxQueuedBytes that may wait for all peers of the loop; peerBytes for one; floorBytes that
 *     each of at most `peers` may always have waiting; chunkBytes, the most that is read at once
 *     for a peer
 * @param disconnectWindow in which at most letGoLeast peers are let go, and letGoPerMover more for
 *     each peer that moves
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
