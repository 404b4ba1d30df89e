package linengauge.front;

import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;

/**
 * Cuts a stream into lines of bounded length; a longer one ends the stream. Empty lines are signs
 * of life.
 */
final class LineSplitter {
  private final int longest;
  private final Consumer<byte[]> line;
  private final Runnable tooLong;
  private Buffer rest = Buffer.buffer();
  private boolean over;

  LineSplitter(int longest, Consumer<byte[]> line, Runnable tooLong) {
    this.longest = longest;
    this.line = line;
    this.tooLong = tooLong;
  }

  void hear(Buffer more) {
    if (over) {
      return;
    }
    int from = 0;
    for (int i = 0; i < more.length() && !over; i++) {
      if (more.getByte(i) == '\n') {
        rest.appendBuffer(more, from, i - from);
        from = i + 1;
        byte[] whole = rest.getBytes();
        rest = Buffer.buffer();
        if (whole.length > longest) {
          stop();
        } else if (whole.length > 0) {
          line.accept(whole);
        }
      }
    }
    if (!over) {
      rest.appendBuffer(more, from, more.length() - from);
      if (rest.length() > longest) {
        stop();
      }
    }
  }

  /** Nothing more is wanted of this stream. */
  void close() {
    over = true;
  }

  private void stop() {
    over = true;
    tooLong.run();
  }
}
