package linengauge.flow;

import linengauge.Span;

/**
 * What the door is held to. Spans are of a loop's own time.
 *
 * @param enabled false: everybody comes in and may wait for ever; only to show what the guards are
 *     for
 * @param maxConnections served at once over all loops, perAddress from one address, turningAway
 *     those beyond that are still read for one request, to be told so
 * @param firstByteTimeout from the connection to its first byte, headers from a request's first
 *     byte to the end of its headers, between from an answer to the next first byte
 * @param maxPipelinedRequests requests that may wait on one connection behind the one that is being
 *     answered
 * @param maxRequestsPerKey requests for viewings with one key in keyWindow; keys, how many keys are
 *     remembered
 */
public record ListenerSettings(
    boolean enabled,
    int maxConnections,
    int maxConnectionsPerAddress,
    int maxRejecting,
    Span firstByteTimeout,
    Span headersTimeout,
    Span idleTimeout,
    int maxPipelinedRequests,
    int maxRequestsPerKey,
    Span keyWindow,
    int maxTrackedKeys) {}
