package linengauge.hls;

/** Thrown if a playlist is malformed; the message names the line and the fault. */
public final class MalformedPlaylistException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedPlaylistException(int line, String message) {
    super((line > 0 ? "line " + line + ": " : "") + message);
  }
}
