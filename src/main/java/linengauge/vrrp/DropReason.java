package linengauge.vrrp;

/**
 * Why a datagram was not accepted as an advertisement (RFC 9568, section 7.1, and the checks that
 * UDP and the keyed trailer add).
 */
public enum DropReason {
  /**
   * The sender is not a configured partner. Over UDP, there is no TTL of 255 that identifies a node
   * on the same link.
   */
  FOREIGN_SENDER,
  /** Shorter than the header, or shorter or longer than its address count requires. */
  LENGTH,
  /** The trailer is missing or was not made with the key of this group. */
  SEAL,
  /**
   * The trailer's sequence number was received before, or is 64 or more behind the highest received
   * from this sender: a duplicate or a replayed datagram. Datagrams of a sender whose clock was set
   * back while it was down are dropped for this reason too.
   */
  REPLAYED,
  /** Another version of VRRP than 3. */
  VERSION,
  /** Not an advertisement. */
  TYPE,
  CHECKSUM,
  /** The address count is zero. */
  COUNT,
  /** The advertisement interval is zero. */
  INTERVAL,
  /** The virtual router is not configured on this node. */
  VRID,
  /** This node owns the addresses and ignores all advertisements for them. */
  OWNER,
  /** This node's own advertisement, received back. */
  OWN
}
