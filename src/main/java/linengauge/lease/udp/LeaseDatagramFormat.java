package linengauge.lease.udp;

import linengauge.lease.LeaseCodec;
import linengauge.udp.SealedChannel;

/** How lease datagrams begin: version 2, a kind, the sender's number in two bytes. */
final class LeaseDatagramFormat {
  static final SealedChannel.Form FORM = new SealedChannel.Form(2, 2, 2, LeaseCodec.MOST);

  private LeaseDatagramFormat() {}
}
