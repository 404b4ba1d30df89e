package linengauge.scale.hollow;

import java.net.InetSocketAddress;
import linengauge.udp.SealedChannel;

/** Loses what goes between this process's region and all others while that region is cut. */
final class RegionGate implements SealedChannel.Filter {
  private final HollowPorts ports;
  private final int ownRegion;
  private volatile HollowEvent.Direction cut;

  RegionGate(HollowPorts ports, int ownRegion) {
    this.ports = ports;
    this.ownRegion = ownRegion;
  }

  /** Null: nothing is lost. */
  void cut(HollowEvent.Direction direction) {
    cut = direction;
  }

  @Override
  public boolean passes(InetSocketAddress other, boolean outgoing) {
    HollowEvent.Direction now = cut;
    if (now == null || ports.regionOf(other.getPort()) == ownRegion) {
      return true;
    }
    HollowEvent.Direction of = outgoing ? HollowEvent.Direction.OUT : HollowEvent.Direction.IN;
    return now != HollowEvent.Direction.BOTH && now != of;
  }
}
