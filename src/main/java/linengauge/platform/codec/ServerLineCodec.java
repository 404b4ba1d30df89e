package linengauge.platform.codec;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import linengauge.Outside.Ending;

/**
 * Media boxes' lines of JSON (docs/protocol/platform.md, "Boxes"). One reader a connection; a line
 * is stored up to the bound and no further, and one that cannot be read spoils the connection.
 */
public final class ServerLineCodec {
  /** Bytes of a line at the most, its line feed included. */
  public static final int MAX_LINE_BYTES = 16 * 1024;

  private static final int CAUSE_NORMAL_RELEASE = 16;
  private static final JsonFactory JSON = new JsonFactory();

  /** What one connection says. */
  public interface Handler {
    void onStarted(long id, byte[] description);

    void onEnded(long id, int cause, Load load);

    /** The end that was written for that id has been read. */
    void onEndConfirmed(long id);

    void onTestAnswered(long id, boolean passed, Load load);

    void onShareDelivered(long id, double share);

    void onRungApplied(long id, int rung);

    /** What is asked of link and uplink over what they give; NaN for what is not told. */
    void onLoadsReported(long id, double link, double uplink);
  }

  /** What a box reports of itself; NaN for what it does not tell. */
  public record Load(double linkAsked, double uplinkAsked, double streams) {}

  private final Handler handler;
  private byte[] partialLine = new byte[0];
  private int partialLength;

  public ServerLineCodec(Handler handler) {
    this.handler = handler;
  }

  /** A line has begun and not ended. */
  public boolean hasPartialLine() {
    return partialLength > 0;
  }

  /**
   * Reads on; returns how many lines ended. Throws at the first one that cannot be read or passes
   * the bound.
   */
  public int feed(byte[] data) throws MalformedMessageException {
    int lineStart = 0;
    int completed = 0;
    for (int i = 0; i < data.length; i++) {
      if (data[i] != '\n') {
        continue;
      }
      if (partialLength + i - lineStart >= MAX_LINE_BYTES) {
        throw new MalformedMessageException("a line over the bound");
      }
      byte[] line = Arrays.copyOf(partialLine, partialLength + i - lineStart);
      System.arraycopy(data, lineStart, line, partialLength, i - lineStart);
      partialLength = 0;
      partialLine = new byte[0];
      lineStart = i + 1;
      completed++;
      decodeLine(line);
    }
    int remaining = data.length - lineStart;
    if (partialLength + remaining >= MAX_LINE_BYTES) {
      throw new MalformedMessageException("a line over the bound");
    }
    if (remaining > 0) {
      partialLine = Arrays.copyOf(partialLine, partialLength + remaining);
      System.arraycopy(data, lineStart, partialLine, partialLength, remaining);
      partialLength += remaining;
    }
    return completed;
  }

  private void decodeLine(byte[] line) throws MalformedMessageException {
    String verb = null;
    String tag = null;
    String blob = null;
    int cause = -1;
    Map<String, String> fields = new HashMap<>();
    try (JsonParser parser = JSON.createParser(line)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new MalformedMessageException("a line that is no object");
      }
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String name = parser.currentName();
        JsonToken token = parser.nextToken();
        switch (name) {
          case "verb" -> verb = readText(parser, token);
          case "tag" -> tag = readText(parser, token);
          case "blob" -> blob = readText(parser, token);
          case "rc" -> cause = readCause(parser, token);
          case "opts" -> readFields(parser, token, fields);
          default -> parser.skipChildren();
        }
      }
      if (parser.currentToken() != JsonToken.END_OBJECT || parser.nextToken() != null) {
        throw new MalformedMessageException("more than one object in a line");
      }
    } catch (IOException e) {
      throw new MalformedMessageException("a line that is no JSON");
    }
    if (verb == null || tag == null || tag.length() != 16 || !TextFormat.isHex(tag, 0)) {
      throw new MalformedMessageException("a line without type or id");
    }
    long id = Long.parseUnsignedLong(tag, 16);
    switch (verb) {
      case "STARTED" -> {
        byte[] description = blob == null ? null : blob.getBytes(StandardCharsets.UTF_8);
        if (description == null || !ClientMessageCodec.fitsInMessage(description)) {
          throw new MalformedMessageException("an answer with no description, or one too long");
        }
        handler.onStarted(id, description);
      }
      case "FINISH" -> {
        if (cause < 0) {
          throw new MalformedMessageException("a release without cause");
        }
        handler.onEnded(id, cause, parseLoad(fields.get("load")));
      }
      case "ECHOED" -> {
        if (cause < 0) {
          throw new MalformedMessageException("a test without its result");
        }
        handler.onTestAnswered(id, cause == 1, parseLoad(fields.get("load")));
      }
      case "NOTICE" ->
          decodeNote(id, String.valueOf(fields.get("note")), parseNumber(fields.get("value")));
      case "FINISHED" -> handler.onEndConfirmed(id);
      case "PENDING", "ECHO", "MOVE", "RATE" -> {
        // nothing is owed for these
      }
      default -> throw new MalformedMessageException("a line of no known type");
    }
  }

  /** A note of a kind not known here, or without a figure, tells nothing. */
  private void decodeNote(long id, String kind, double value) {
    if (Double.isNaN(value)) {
      return;
    }
    switch (kind) {
      case "got" -> handler.onShareDelivered(id, value);
      case "level" -> handler.onRungApplied(id, (int) value);
      case "port" -> handler.onLoadsReported(id, value, Double.NaN);
      case "spine" -> handler.onLoadsReported(id, Double.NaN, value);
      default -> {}
    }
  }

  /** What the cause of a release means for a set-up that was not answered. */
  public static Ending setUpOutcome(int cause) {
    return switch (cause) {
      case 34 -> Ending.TURNED_AWAY;
      case 47 -> Ending.ERROR;
      case 102 -> Ending.NEVER_SENT;
      default -> Ending.RESET;
    };
  }

  /**
   * What it means for a viewing that plays; WITHDRAWN: its viewer has ended it and is owed nothing.
   */
  public static Ending sessionOutcome(int cause) {
    return switch (cause) {
      case 16 -> Ending.FINISHED;
      case 31 -> Ending.WITHDRAWN;
      default -> Ending.BROKEN;
    };
  }

  private static String readText(JsonParser parser, JsonToken token)
      throws IOException, MalformedMessageException {
    if (token != JsonToken.VALUE_STRING) {
      throw new MalformedMessageException("a number or object where text belongs");
    }
    return parser.getText();
  }

  private static int readCause(JsonParser parser, JsonToken token)
      throws IOException, MalformedMessageException {
    if (token != JsonToken.VALUE_NUMBER_INT
        || parser.getNumberType() != JsonParser.NumberType.INT
        || parser.getIntValue() < 0
        || parser.getIntValue() > 255) {
      throw new MalformedMessageException("a cause that is none");
    }
    return parser.getIntValue();
  }

  private static void readFields(JsonParser parser, JsonToken token, Map<String, String> into)
      throws IOException, MalformedMessageException {
    if (token != JsonToken.START_OBJECT) {
      throw new MalformedMessageException("fields that are no object");
    }
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      if (!parser.nextToken().isScalarValue()) {
        throw new MalformedMessageException("a field that is no text or number");
      }
      into.put(name, parser.getText());
    }
  }

  /** A report that cannot be read tells nothing: null. */
  static Load parseLoad(String text) {
    if (text == null) {
      return null;
    }
    double link = Double.NaN;
    double uplink = Double.NaN;
    double streams = Double.NaN;
    for (String figure : text.split(";")) {
      int colon = figure.indexOf(':');
      double value = colon < 0 ? Double.NaN : parseNumber(figure.substring(colon + 1));
      switch (colon < 0 ? "" : figure.substring(0, colon)) {
        case "x0" -> link = value;
        case "x1" -> uplink = value;
        case "outstanding", "inflight" -> streams = value;
        default -> {
          // figures that nobody asks for
        }
      }
    }
    return new Load(link, uplink, streams);
  }

  private static double parseNumber(String text) {
    try {
      double number = text == null ? Double.NaN : Double.parseDouble(text);
      return number >= 0 && number < 1e9 ? number : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  /* ---- what fronts write ---- */

  public static byte[] encodeSetUp(
      long id, String packageName, String title, long timeLeftMs, int rung, String description) {
    return encodeLine(
        "START",
        id,
        -1,
        description,
        "class",
        packageName,
        "key",
        title,
        "left",
        Long.toString(timeLeftMs),
        "rung",
        Integer.toString(rung));
  }

  /** Takes back a set-up, or ends a viewing that plays. */
  public static byte[] encodeEnd(long id) {
    return encodeLine("FINISH", id, CAUSE_NORMAL_RELEASE, null);
  }

  public static byte[] encodeRung(long id, int rung) {
    return encodeLine("RATE", id, -1, null, "rung", Integer.toString(rung));
  }

  /**
   * A test that wants a report of the box's load with its answer: one with cause 1; with cause 0
   * none comes.
   */
  public static byte[] encodeTest(long id) {
    return encodeLine("ECHO", id, 1, null);
  }

  private static byte[] encodeLine(
      String verb, long id, int cause, String description, String... fields) {
    var out = new ByteArrayOutputStream(256);
    try (JsonGenerator generator = JSON.createGenerator(out)) {
      generator.writeStartObject();
      generator.writeStringField("verb", verb);
      generator.writeStringField("tag", TextFormat.formatId(id));
      generator.writeObjectFieldStart("opts");
      for (int i = 0; i < fields.length; i += 2) {
        generator.writeStringField(fields[i], fields[i + 1]);
      }
      generator.writeEndObject();
      if (cause >= 0) {
        generator.writeNumberField("rc", cause);
      }
      if (description != null) {
        generator.writeStringField("blob", description);
      }
      generator.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    out.write('\n');
    return out.toByteArray();
  }
}
