package linengauge.vrrp;

/** A datagram that is no advertisement, and why. */
public final class BadPacket extends Exception {
  private static final long serialVersionUID = 1L;
  private final Drop cause;

  BadPacket(Drop cause) {
    super(cause.name(), null, false, false); // of these there may be a hundred thousand a second
    this.cause = cause;
  }

  public Drop cause() {
    return cause;
  }
}
