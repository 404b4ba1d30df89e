package linengauge.vrrp;

import java.util.List;
import linengauge.Span;

/**
 * A VRRP advertisement (RFC 9568, section 5.2).
 *
 * @param vrid the virtual router identifier, 1 to 255
 * @param priority 0 if the sender stops being Active, 255 if it owns the addresses
 * @param interval the sender's advertisement interval, 1 to 4095 whole centiseconds
 * @param addresses the 1 to 255 addresses of the virtual router, all of one family
 */
public record Advertisement(int vrid, int priority, Span interval, List<NodeAddress> addresses) {
  /** One hundredth of a second, the unit of intervals on the wire (section 5.2.7). */
  public static final Span CENTISECOND = Span.ofMillis(10);

  public static final int MAX_CENTISECONDS = 4095;

  public Advertisement {
    addresses = List.copyOf(addresses);
  }
}
