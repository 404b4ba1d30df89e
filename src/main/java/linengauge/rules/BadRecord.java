package linengauge.rules;

/** A record that cannot be judged; its message names the line and what is wrong. */
public final class BadRecord extends Exception {
  private static final long serialVersionUID = 1L;

  BadRecord(long line, String what) {
    super("line " + line + ": " + what);
  }
}
