package linengauge.flow;

import linengauge.Span;

/**
 * Limits for incoming connections. Spans are in the time of the loop that serves the connection.
 *
 * @param enabled false: every connection is admitted and none times out; meant only to show the
 *     effect of the limits
 * @param maxConnections served at the same time over all loops
 * @param maxConnectionsPerAddress served at the same time from one address
 * @param maxRejecting connections over the limits from which one request is still read in order to
 *     reject it with a response
 * @param firstByteTimeout from the connection to its first byte
 * @param headersTimeout from the first byte of a request to the end of its headers
 * @param idleTimeout from a response to the first byte of the next request
 * @param maxPipelinedRequests that may wait on a connection behind the one in progress
 * @param maxRequestsPerKey requests for viewings with one key within {@code keyWindow}
 * @param keyWindow for which the requests of a key are counted
 * @param maxTrackedKeys keys for which requests are counted
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
