package linengauge.vrrp;

/** Thrown for a datagram that is not a valid advertisement. */
public final class InvalidPacketException extends Exception {
  private static final long serialVersionUID = 1L;
  private final DropReason reason;

  InvalidPacketException(DropReason cause) {
    // No stack trace, as a flood can bring a hundred thousand of these a second.
    super(cause.name(), null, false, false);
    this.reason = cause;
  }

  public DropReason reason() {
    return reason;
  }
}
