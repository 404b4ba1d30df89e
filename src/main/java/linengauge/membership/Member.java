package linengauge.membership;

/**
 * A front of the fleet, as it tells of itself.
 *
 * @param number its number in the site file, from 0
 * @param address where it is reached, as the carrier writes addresses; at most {@link
 *     Datagram#MAX_ADDRESS_BYTES} bytes of UTF-8
 * @param zone its zone's number
 * @param region its region's number
 */
public record Member(int number, String address, int zone, int region) {}
