package linengauge.platform.codec;

/** Bytes that cannot be read; what comes after them on the same connection cannot be trusted. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  public MalformedMessageException(String message) {
    super(message, null, false, false);
  }
}
