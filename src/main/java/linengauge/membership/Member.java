package linengauge.membership;

/**
 * Identity and location of a front, as it announces them.
 *
 * @param number number in the site file, from 0
 * @param address address in the transport's notation, at most {@link Datagram#MAX_ADDRESS_BYTES}
 *     bytes of UTF-8
 * @param zone zone number
 * @param region region number
 */
public record Member(int number, String address, int zone, int region) {}
