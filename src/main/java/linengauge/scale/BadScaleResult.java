package linengauge.scale;

import java.nio.file.Path;

/** A result file that cannot be used; the message names it and says why. */
public final class BadScaleResult extends Exception {
  private static final long serialVersionUID = 1L;

  BadScaleResult(Path file, String reason) {
    super(file + ": " + reason);
  }
}
