package linengauge.standin;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Records the events seen on the sockets, in order, as one JSON object a line
 * (docs/protocol/traffic.md). All stand-ins of a drill share one tap, so their times come from one
 * clock. It holds at most {@link #MAX_LINES} lines and then reports that it is full, because an
 * incomplete record proves nothing.
 */
public final class Tap {
  static final int MAX_LINES = 4_000_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final long origin = System.nanoTime();
  private final List<String> lines = new ArrayList<>();
  private boolean isFull;

  /** Returns the microseconds since the tap was created. */
  public long elapsedMicros() {
    return (System.nanoTime() - origin) / 1000;
  }

  /** Records one event; the values are pairs of name and value. */
  public synchronized void recordEvent(String what, Object... pairs) {
    if (lines.size() >= MAX_LINES) {
      isFull = true;
      return;
    }
    StringWriter text = new StringWriter(160);
    try (JsonGenerator generator = JSON.createGenerator(text)) {
      generator.writeStartObject();
      generator.writeNumberField("at", elapsedMicros());
      generator.writeStringField("what", what);
      for (int i = 0; i < pairs.length; i += 2) {
        generator.writeFieldName((String) pairs[i]);
        generator.writePOJO(pairs[i + 1]);
      }
      generator.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    lines.add(text.toString());
  }

  public synchronized List<String> lines() {
    return new ArrayList<>(lines);
  }

  public synchronized boolean isFull() {
    return isFull;
  }
}
