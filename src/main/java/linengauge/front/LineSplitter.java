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

  LineSplitter(int maxLineBytes, Consumer<byte[]> lineHandler, Runnable overflowHandler) {
    this.maxLineBytes = maxLineBytes;
    this.lineHandler = lineHandler;
    this.overflowHandler = overflowHandler;
  }

  void append(Buffer chunk) {
    if (closed) {
      return;
    }
    int lineStart = 0;
    for (int i = 0; i < chunk.length() && !closed; i++) {
      if (chunk.getByte(i) == '\n') {
        partialLine.appendBuffer(chunk, lineStart, i - lineStart);
        lineStart = i + 1;
        byte[] line = partialLine.getBytes();
        partialLine = Buffer.buffer();
        if (line.length > maxLineBytes) {
          overflow();
        } else if (line.length > 0) {
          lineHandler.accept(line);
        }
      }
    }
    if (!closed) {
      partialLine.appendBuffer(chunk, lineStart, chunk.length() - lineStart);
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
