package linengauge.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import linengauge.Moment;
import linengauge.session.BoxTable;
import linengauge.session.BoxTable.ListedBox;

/**
 * The adapter: reads one batch a line, hands what happened to the fronts that it hosts, and writes
 * what they decide, one reply a line. It decides nothing; the fronts share nothing but this door.
 */
public final class WireHost {
  private final InputStream in;
  private final OutputStream out;
  private final PrintStream complaints;
  private final JsonFactory json = new JsonFactory();
  private final ByteArrayOutputStream reply = new ByteArrayOutputStream(1 << 16);
  private final Map<Integer, WireFront> fronts = new HashMap<>();
  private final Map<Integer, List<ListedBox>> pools = new HashMap<>();

  /** Hosts on standard input and output until that ends; returns the process's exit code. */
  public static int onStandardStreams() {
    try (var in = new FileInputStream(FileDescriptor.in);
        var out = new FileOutputStream(FileDescriptor.out)) {
      new WireHost(in, out, System.err).run();
      return 0;
    } catch (MalformedLineException e) {
      System.err.println("linengauge: " + e.getMessage());
    } catch (IOException e) {
      System.err.println("linengauge: standard input or output broke: " + e.getMessage());
    }
    return 1;
  }

  public WireHost(InputStream in, OutputStream out, PrintStream complaints) {
    this.in = new BufferedInputStream(in, 1 << 16);
    this.out = out;
    this.complaints = complaints;
  }

  public void run() throws IOException, MalformedLineException {
    byte[] line = new byte[1 << 16];
    for (long number = 1; ; number++) {
      int length = 0;
      int c;
      while ((c = in.read()) >= 0 && c != '\n') {
        if (length == line.length) {
          line = java.util.Arrays.copyOf(line, 2 * length);
        }
        line[length++] = (byte) c;
      }
      if (c < 0 && length == 0) {
        return;
      }
      try {
        answer(line, length);
      } catch (JsonProcessingException e) {
        throw new MalformedLineException(number, "not a batch: " + e.getOriginalMessage());
      } catch (MalformedBatchException e) {
        throw new MalformedLineException(number, e.getMessage());
      }
    }
  }

  private void answer(byte[] line, int length) throws IOException, MalformedBatchException {
    reply.reset();
    try (JsonParser p = json.createParser(line, 0, length);
        JsonGenerator g = json.createGenerator(reply)) {
      if (p.nextToken() != JsonToken.START_OBJECT) {
        throw new MalformedBatchException("not a batch: an object was expected");
      }
      g.writeStartObject();
      g.writeArrayFieldStart("out");
      Moment now = null;
      boolean any = false;
      while (p.nextToken() == JsonToken.FIELD_NAME) {
        String key = p.currentName();
        JsonToken value = p.nextToken();
        if (key.equals("simTimeUs") && value == JsonToken.VALUE_NUMBER_INT) {
          now = new Moment(p.getLongValue());
        } else if (key.equals("happened") && value == JsonToken.START_ARRAY && now != null) {
          any = true;
          while (p.nextToken() != JsonToken.END_ARRAY) {
            event(new Message(p), now, g);
          }
        } else if (key.equals("simTimeUs") || key.equals("happened")) {
          throw new MalformedBatchException(
              "not a batch: '" + key + "' out of place or of the wrong type");
        } else {
          p.skipChildren();
        }
      }
      if (now == null || !any) {
        throw new MalformedBatchException("not a batch: simTimeUs and happened were expected");
      }
      if (p.nextToken() != null) {
        throw new MalformedBatchException("not a batch: more than one value on the line");
      }
      g.writeEndArray();
      g.writeEndObject();
    }
    reply.write('\n');
    reply.writeTo(out);
    out.flush();
  }

  private void event(Message m, Moment now, JsonGenerator g)
      throws IOException, MalformedBatchException {
    String name = m.name();
    if (name.equals("pool")) {
      int bank = m.integer("bank");
      pools.put(bank, rows(m));
      m.end();
      return;
    }
    int number = m.integer("front");
    if (name.equals("attach")) {
      long seed = m.whole("prng");
      fronts.put(number, new WireFront(number, seed, m.object("conf"), complaints));
      m.end();
      return;
    }
    if (name.equals("kill")) {
      fronts.remove(number);
      m.end();
      return;
    }
    WireFront front = fronts.get(number);
    if (!WireFront.knows(name)) {
      throw new MalformedBatchException("unknown event '" + name + "'");
    }
    if (front == null) {
      m.end();
      return;
    }
    if (name.equals("backendsChanged")) {
      int bank = m.integer("bank", -1);
      m.whole("revision", 0);
      String mode = m.text("mode");
      m.end();
      List<ListedBox> rows = pools.get(bank);
      if (rows == null && !mode.equals("refused")) {
        throw new MalformedBatchException(
            "backendsChanged names pool " + bank + ", which was not given");
      }
      front.listed(mode, rows, now, g);
    } else {
      front.happened(name, m, now, g);
    }
  }

  private static List<ListedBox> rows(Message m) throws IOException, MalformedBatchException {
    List<ListedBox> rows = new ArrayList<>();
    m.array("rowsIn");
    while (m.nextRow()) {
      rows.add(
          new ListedBox(
              m.whole("server"),
              null,
              m.number("powerHint", 1),
              m.integer("cell", 0),
              m.integer("type", 0),
              state(m.text("health")),
              m.integer("locality", 0),
              started(m.whole("lastStartUs", 0))));
      m.end();
    }
    return rows;
  }

  private static BoxTable.State state(String health) throws MalformedBatchException {
    return switch (health) {
      case "SERVING" -> BoxTable.State.SERVING;
      case "DRAINING" -> BoxTable.State.DRAINING;
      case "DELETED" -> BoxTable.State.GONE;
      default -> throw new MalformedBatchException("unknown health '" + health + "'");
    };
  }

  private static Moment started(long micros) {
    return micros <= 0 ? Moment.DISTANT_PAST : new Moment(micros);
  }

  /** What is wrong with a line; the line number is added where it is known. */
  static final class MalformedBatchException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedBatchException(String what) {
      super(what);
    }
  }
}
