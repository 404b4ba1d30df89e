package linengauge.front;

import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;

/**
 * Cuts a stream into lines of bounded length; a longer one ends the stream. Empty lines are signs
 * of life.
 */
final class LineSplitter {
  private final int maxLineBytes;
  private final Consumer<byte[]> lineHandler;
  private final Runnable overflowHandler;
  private Buffer partialLine = Buffer.buffer();
  private boolean closed;

  LineSplitter(int longest, Consumer<byte[]> line, Runnable tooLong) {
    this.maxLineBytes = longest;
    this.lineHandler = line;
    this.overflowHandler = tooLong;
  }

  void append(Buffer more) {
    if (closed) {
      return;
    }
    int from = 0;
    for (int i = 0; i < more.length() && !closed; i++) {
      if (more.getByte(i) == '\n') {
        partialLine.appendBuffer(more, from, i - from);
        from = i + 1;
        byte[] whole = partialLine.getBytes();
        partialLine = Buffer.buffer();
        if (whole.length > maxLineBytes) {
          overflow();
        } else if (whole.length > 0) {
          lineHandler.accept(whole);
        }
      }
    }
    if (!closed) {
      partialLine.appendBuffer(more, from, more.length() - from);
      if (partialLine.length() > maxLineBytes) {
        overflow();
      }
    }
  }

  /** Nothing more is wanted of this stream. */
  void close() {
    closed = true;
  }

  private void overflow() {
    closed = true;
    overflowHandler.run();
  }
}
