package linengauge.vrrp;

/**
 * Why a datagram was not taken for an advertisement (RFC 9568, section 7.1, and what this carriage
 * adds).
 */
public enum DropReason {
  /**
   * From an address that is no partner's: over UDP there is no TTL of 255 to tell a neighbour by.
   */
  FOREIGN_SENDER,
  /** Shorter or longer than its count says. */
  LENGTH,
  /** The trailer is not by the key of this group. */
  SEAL,
  /**
   * The trailer's number was heard before, or lies far behind: a copy, or an old one sent again.
   */
  REPLAYED,
  VERSION,
  TYPE,
  CHECKSUM,
  /** No addresses, or more than there can be. */
  COUNT,
  /** An interval of nothing. */
  INTERVAL,
  /** A virtual router that is not set up here. */
  VRID,
  /** This node owns the addresses and hears nobody about them. */
  OWNER,
  /** Its own advertisement, come back. */
  OWN
}
