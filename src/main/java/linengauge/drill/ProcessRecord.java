package linengauge.drill;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What a process of a trial writes down: one JSON object a line, with the wall's clock. */
final class ProcessRecord implements AutoCloseable {
  private final BufferedWriter out;
  private boolean closed;

  ProcessRecord(Path file) throws IOException {
    out = Files.newBufferedWriter(file);
  }

  /** One line now; fields are the rest of the object as JSON, not empty. */
  void write(String event, String fields) {
    write(System.currentTimeMillis(), event, fields);
  }

  /** One line of that time. */
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
