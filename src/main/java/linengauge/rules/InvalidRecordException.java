package linengauge.rules;

/** A record that cannot be judged; its message names the line and what is wrong. */
public final class InvalidRecordException extends Exception {
  private static final long serialVersionUID = 1L;

  InvalidRecordException(long line, String what) {
    super("line " + line + ": " + what);
  }
}
