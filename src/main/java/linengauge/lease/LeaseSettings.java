package linengauge.lease;

import linengauge.Span;

/**
 * Time spans and bounds of membership by lease (docs/design/lease.md).
 *
 * @param heartbeat between two heartbeats of a front
 * @param answer how long an acknowledgement may take; after that the next control machine is asked
 * @param lease how long a member stays listed after the last heartbeat that the leader knows of
 * @param drift the most by which a clock's rate may be off, as a fraction: a front counts its lease
 *     shorter by it
 * @param evidence between two exchanges of the control machines among each other
 * @param batch how long changes are gathered before they are proposed together
 * @param takeover what a new leader adds to a full lease before it lets any lease expire: longer
 *     than a deposed leader may still confirm leases
 * @param mostBytesASecond what a front may ask for in one second, beyond its plain heartbeats
 * @param mostMembers entries of the directory at the most, departed members included
 * @param mostBatch changes in one decision at the most
 */
public record LeaseSettings(
    Span heartbeat,
    Span answer,
    Span lease,
    double drift,
    Span evidence,
    Span batch,
    Span takeover,
    int mostBytesASecond,
    int mostMembers,
    int mostBatch) {
  /** Fit for some thousands of fronts in a few regions. */
  public static final LeaseSettings USUAL =
      new LeaseSettings(
          Span.ofMillis(1000),
          Span.ofMillis(700),
          Span.ofSeconds(6),
          0.01,
          Span.ofMillis(500),
          Span.ofMillis(200),
          Span.ofSeconds(2),
          4096,
          4096,
          128);

  /** The same with another heartbeat, and all other spans in proportion. */
  public LeaseSettings withHeartbeat(Span each) {
    double scale = each.seconds() / heartbeat.seconds();
    return new LeaseSettings(
        each,
        answer.times(scale),
        lease.times(scale),
        drift,
        evidence.times(scale),
        batch.times(scale),
        takeover.times(scale),
        (int) (mostBytesASecond / scale),
        mostMembers,
        mostBatch);
  }
}
