package linengauge.drill;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The event record of a test process: one JSON object a line, with the wall clock time. */
final class ProcessRecord implements AutoCloseable {
  private final BufferedWriter out;
  private boolean closed;

  ProcessRecord(Path file) throws IOException {
    out = Files.newBufferedWriter(file);
  }

  /**
   * Writes one line with the current time.
   *
   * @param fields the remaining fields of the JSON object, without braces and not empty
   */
  void write(String event, String fields) {
    write(System.currentTimeMillis(), event, fields);
  }

  /** Writes one line with the given time. */
  synchronized void write(long atMs, String event, String fields) {
    if (closed) {
      return;
    }
    try {
      out.write("{\"at\":" + atMs + ",\"what\":\"" + event + "\"," + fields + "}\n");
      out.flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public synchronized void close() throws IOException {
    closed = true;
    out.close();
  }
}
