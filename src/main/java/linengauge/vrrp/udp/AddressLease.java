package linengauge.vrrp.udp;

/**
 * Tells any thread whether this node holds a shared address at this moment. The lease expires by
 * itself unless the node renews it, so that a node that was paused serves nobody before it knows
 * whether it was deposed.
 */
public final class AddressLease {
  private volatile long expiryMicros = Long.MIN_VALUE;

  void renewUntil(long newExpiryMicros) {
    expiryMicros = newExpiryMicros;
  }

  public boolean isHeld() {
    return System.nanoTime() / 1000 < expiryMicros;
  }
}
