package linengauge.rules;

/** Thrown for a record that cannot be judged; the message names the line and the fault. */
public final class InvalidRecordException extends Exception {
  private static final long serialVersionUID = 1L;

  InvalidRecordException(long line, String what) {
    super("line " + line + ": " + what);
  }
}
