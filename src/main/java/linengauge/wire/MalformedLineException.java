package linengauge.wire;

/** A line of input that cannot be read; its message names the line and what is wrong. */
public final class MalformedLineException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedLineException(long line, String what) {
    super("line " + line + ": " + what);
  }
}
