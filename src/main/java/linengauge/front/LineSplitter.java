package linengauge.front;

import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;

/**
 * Splits a stream into lines of limited length. A longer line ends the stream; empty lines are
 * keep-alives and are skipped.
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

  /** Ignores the rest of the stream. */
  void close() {
    closed = true;
  }

  private void overflow() {
    closed = true;
    overflowHandler.run();
  }
}
