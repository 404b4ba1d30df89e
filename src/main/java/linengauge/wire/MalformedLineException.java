package linengauge.wire;

/** A line of input that cannot be read; the message names the line and the problem. */
public final class MalformedLineException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedLineException(long line, String problem) {
    super("line " + line + ": " + problem);
  }
}
