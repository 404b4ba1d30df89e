package linengauge.hls;

/** A playlist that cannot be passed on; its message names the line and what is wrong. */
public final class MalformedPlaylistException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedPlaylistException(int line, String message) {
    super((line > 0 ? "line " + line + ": " : "") + message);
  }
}
