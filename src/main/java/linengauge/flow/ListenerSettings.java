package linengauge.flow;

import linengauge.Span;

/**
 * What the door is held to. Spans are of a loop's own time.
 *
 * @param guards false: everybody comes in and may wait for ever; only to show what the guards are
 *     for
 * @param connections served at once over all loops, perAddress from one address, turningAway those
 *     beyond that are still read for one request, to be told so
 * @param firstByte from the connection to its first byte, headers from a request's first byte to
 *     the end of its headers, between from an answer to the next first byte
 * @param pipelined requests that may wait on one connection behind the one that is being answered
 * @param keyAsks requests for viewings with one key in keyWindow; keys, how many keys are
 *     remembered
 */
public record ListenerSettings(
    boolean guards,
    int connections,
    int perAddress,
    int turningAway,
    Span firstByte,
    Span headers,
    Span between,
    int pipelined,
    int keyAsks,
    Span keyWindow,
    int keys) {}
