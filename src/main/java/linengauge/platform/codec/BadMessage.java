package linengauge.platform.codec;

/** Bytes that cannot be read; what comes after them on the same connection cannot be trusted. */
public final class BadMessage extends Exception {
  private static final long serialVersionUID = 1L;

  public BadMessage(String what) {
    super(what, null, false, false);
  }
}
