package linengauge.lease.udp;

import linengauge.lease.LeaseCodec;
import linengauge.udp.SealedChannel;

/** Header of lease datagrams: version 2, a kind, the sender's number in two bytes. */
final class LeaseDatagramFormat {
  static final SealedChannel.DatagramFormat FORM =
      new SealedChannel.DatagramFormat(2, 2, 2, LeaseCodec.MOST);

  private LeaseDatagramFormat() {}
}
