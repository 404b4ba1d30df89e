package linengauge.vrrp.udp;

/**
 * Whether this node holds a shared address at this very moment; asked on any thread. It ends by
 * itself where the node is not heard to say that it still holds it, so that one that stood still
 * serves nobody before it knows what happened.
 */
public final class AddressLease {
  private volatile long until = Long.MIN_VALUE;

  void renewUntil(long micros) {
    until = micros;
  }

  public boolean isHeld() {
    return System.nanoTime() / 1000 < until;
  }
}
