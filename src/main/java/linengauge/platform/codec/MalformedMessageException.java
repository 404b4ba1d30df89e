package linengauge.platform.codec;

/**
 * Thrown for bytes that cannot be decoded. Whatever follows them on the same connection cannot be
 * trusted, so the connection must be closed.
 */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  public MalformedMessageException(String message) {
    super(message, null, false, false);
  }
}
