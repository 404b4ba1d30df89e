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
 * The adapter between the simulator and the fronts that it hosts. Each line of input is a batch of
 * events at one simulated time; the events are passed to their fronts, whose decisions make up one
 * line of output. The adapter decides nothing itself, and the fronts share nothing but this input
 * and output.
 */
public final class WireHost {
  private final InputStream in;
  private final OutputStream out;
  private final PrintStream errors;
  private final JsonFactory json = new JsonFactory();
  private final ByteArrayOutputStream reply = new ByteArrayOutputStream(1 << 16);
  private final Map<Integer, WireFront> fronts = new HashMap<>();
  private final Map<Integer, List<ListedBox>> pools = new HashMap<>();

  /** Serves standard input and output until the input ends; returns the process's exit code. */
  public static int onStandardStreams() {
    try (var in = new FileInputStream(FileDescriptor.in);
        var out = new FileOutputStream(FileDescriptor.out)) {
      new WireHost(in, out, System.err).run();
      return 0;
    } catch (MalformedLineException e) {
      System.err.println("linengauge: " + e.getMessage());
    } catch (IOException e) {
      System.err.println("linengauge: standard input or output failed: " + e.getMessage());
    }
    return 1;
  }

  public WireHost(InputStream in, OutputStream out, PrintStream errors) {
    this.in = new BufferedInputStream(in, 1 << 16);
    this.out = out;
    this.errors = errors;
  }

  public void run() throws IOException, MalformedLineException {
    byte[] line = new byte[1 << 16];
    for (long number = 1; ; number++) {
      int length = 0;
      int next;
      while ((next = in.read()) >= 0 && next != '\n') {
        if (length == line.length) {
          line = java.util.Arrays.copyOf(line, 2 * length);
        }
        line[length++] = (byte) next;
      }
      if (next < 0 && length == 0) {
        return;
      }
      try {
        answerBatch(line, length);
      } catch (JsonProcessingException e) {
        throw new MalformedLineException(number, "not a batch: " + e.getOriginalMessage());
      } catch (MalformedBatchException e) {
        throw new MalformedLineException(number, e.getMessage());
      }
    }
  }

  private void answerBatch(byte[] line, int length) throws IOException, MalformedBatchException {
    reply.reset();
    try (JsonParser parser = json.createParser(line, 0, length);
        JsonGenerator generator = json.createGenerator(reply)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new MalformedBatchException("not a batch: an object was expected");
      }
      generator.writeStartObject();
      generator.writeArrayFieldStart("out");
      Moment now = null;
      boolean hasEvents = false;
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String key = parser.currentName();
        JsonToken value = parser.nextToken();
        if (key.equals("simTimeUs") && value == JsonToken.VALUE_NUMBER_INT) {
          now = new Moment(parser.getLongValue());
        } else if (key.equals("happened") && value == JsonToken.START_ARRAY && now != null) {
          hasEvents = true;
          while (parser.nextToken() != JsonToken.END_ARRAY) {
            dispatch(new Message(parser), now, generator);
          }
        } else if (key.equals("simTimeUs") || key.equals("happened")) {
          throw new MalformedBatchException(
              "not a batch: '" + key + "' out of place or of the wrong type");
        } else {
          parser.skipChildren();
        }
      }
      if (now == null || !hasEvents) {
        throw new MalformedBatchException("not a batch: simTimeUs and happened were expected");
      }
      if (parser.nextToken() != null) {
        throw new MalformedBatchException("not a batch: more than one value on the line");
      }
      generator.writeEndArray();
      generator.writeEndObject();
    }
    reply.write('\n');
    reply.writeTo(out);
    out.flush();
  }

  /**
   * Handles one event of a batch. "pool" gives a numbered box list, which "backendsChanged" applies
   * to a front; "attach" starts a front and "kill" removes it. All others go to their front; those
   * for a front that is not hosted are ignored.
   */
  private void dispatch(Message message, Moment now, JsonGenerator generator)
      throws IOException, MalformedBatchException {
    String name = message.readName();
    if (name.equals("pool")) {
      int poolNumber = message.readInt("bank");
      pools.put(poolNumber, readListings(message));
      message.skipRest();
      return;
    }
    int number = message.readInt("front");
    if (name.equals("attach")) {
      long seed = message.readLong("prng");
      fronts.put(number, new WireFront(number, seed, message.readObject("conf"), errors));
      message.skipRest();
      return;
    }
    if (name.equals("kill")) {
      fronts.remove(number);
      message.skipRest();
      return;
    }
    WireFront front = fronts.get(number);
    if (!WireFront.isKnownEvent(name)) {
      throw new MalformedBatchException("unknown event '" + name + "'");
    }
    if (front == null) {
      message.skipRest();
      return;
    }
    if (name.equals("backendsChanged")) {
      int poolNumber = message.readInt("bank", -1);
      message.readLong("revision", 0);
      String mode = message.readText("mode");
      message.skipRest();
      List<ListedBox> listings = pools.get(poolNumber);
      if (listings == null && !mode.equals("refused")) {
        throw new MalformedBatchException(
            "backendsChanged names pool " + poolNumber + ", which was not given");
      }
      front.applyPool(mode, listings, now, generator);
    } else {
      front.handleEvent(name, message, now, generator);
    }
  }

  private static List<ListedBox> readListings(Message message)
      throws IOException, MalformedBatchException {
    List<ListedBox> listings = new ArrayList<>();
    message.enterArray("rowsIn");
    while (message.enterNextRow()) {
      listings.add(
          new ListedBox(
              message.readLong("server"),
              null,
              message.readDouble("powerHint", 1),
              message.readInt("cell", 0),
              message.readInt("type", 0),
              boxState(message.readText("health")),
              message.readInt("locality", 0),
              startMoment(message.readLong("lastStartUs", 0))));
      message.skipRest();
    }
    return listings;
  }

  private static BoxTable.State boxState(String health) throws MalformedBatchException {
    return switch (health) {
      case "SERVING" -> BoxTable.State.SERVING;
      case "DRAINING" -> BoxTable.State.DRAINING;
      case "DELETED" -> BoxTable.State.GONE;
      default -> throw new MalformedBatchException("unknown health '" + health + "'");
    };
  }

  private static Moment startMoment(long micros) {
    return micros <= 0 ? Moment.DISTANT_PAST : new Moment(micros);
  }

  /** The problem of a line; the line number is added where it is known. */
  static final class MalformedBatchException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedBatchException(String problem) {
      super(problem);
    }
  }
}
