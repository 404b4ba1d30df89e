package linengauge.vrrp;

/** A datagram that is no advertisement, and why. */
public final class InvalidPacketException extends Exception {
  private static final long serialVersionUID = 1L;
  private final DropReason reason;

  InvalidPacketException(DropReason cause) {
    super(cause.name(), null, false, false); // of these there may be a hundred thousand a second
    this.reason = cause;
  }

  public DropReason reason() {
    return reason;
  }
}
