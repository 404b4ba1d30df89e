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
import linengauge.Environment.AttemptOutcome;

/**
 * Encodes and decodes the lines of JSON exchanged with servers (docs/protocol/platform.md,
 * "Boxes"). Each connection has a decoder of its own. At most {@link #MAX_LINE_BYTES} of a line are
 * buffered; after a malformed line the connection cannot be used any more.
 */
public final class ServerLineCodec {
  /** Maximum length of a line in bytes, including its line feed. */
  public static final int MAX_LINE_BYTES = 16 * 1024;

  private static final int CAUSE_NORMAL_RELEASE = 16;
  private static final JsonFactory JSON = new JsonFactory();

  /** Receives the decoded lines of one connection. */
  public interface Handler {
    void onStarted(long id, byte[] description);

    void onEnded(long id, int cause, Load load);

    /** The server has read the end that was written for this id. */
    void onEndConfirmed(long id);

    void onTestAnswered(long id, boolean passed, Load load);

    void onShareDelivered(long id, double share);

    void onRungApplied(long id, int rung);

    /** The load of link and uplink relative to their capacity; NaN where it is not reported. */
    void onLoadsReported(long id, double link, double uplink);
  }

  /** The load that a server reports of itself; NaN for figures that it does not report. */
  public record Load(double linkAsked, double uplinkAsked, double streams) {}

  private final Handler handler;
  private byte[] partialLine = new byte[0];
  private int partialLength;

  public ServerLineCodec(Handler handler) {
    this.handler = handler;
  }

  /** Returns whether a line has begun and not ended. */
  public boolean hasPartialLine() {
    return partialLength > 0;
  }

  /**
   * Decodes the next bytes of the connection and returns how many lines were completed.
   *
   * @throws MalformedMessageException at the first line that is malformed or too long
   */
  public int feed(byte[] data) throws MalformedMessageException {
    int lineStart = 0;
    int completed = 0;
    for (int i = 0; i < data.length; i++) {
      if (data[i] != '\n') {
        continue;
      }
      if (partialLength + i - lineStart >= MAX_LINE_BYTES) {
        throw new MalformedMessageException("line exceeds the maximum length");
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
      throw new MalformedMessageException("line exceeds the maximum length");
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
        throw new MalformedMessageException("line is not a JSON object");
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
        throw new MalformedMessageException("line contains more than one JSON object");
      }
    } catch (IOException e) {
      throw new MalformedMessageException("line is not valid JSON");
    }
    if (verb == null || tag == null || tag.length() != 16 || !TextFormat.isHex(tag, 0)) {
      throw new MalformedMessageException("line without a verb or a valid tag");
    }
    long id = Long.parseUnsignedLong(tag, 16);
    switch (verb) {
      case "STARTED" -> {
        byte[] description = blob == null ? null : blob.getBytes(StandardCharsets.UTF_8);
        if (description == null || !ClientMessageCodec.fitsInMessage(description)) {
          throw new MalformedMessageException(
              "answer without a description, or with one that is too long");
        }
        handler.onStarted(id, description);
      }
      case "FINISH" -> {
        if (cause < 0) {
          throw new MalformedMessageException("release without a cause");
        }
        handler.onEnded(id, cause, parseLoad(fields.get("load")));
      }
      case "ECHOED" -> {
        if (cause < 0) {
          throw new MalformedMessageException("test answer without a result");
        }
        handler.onTestAnswered(id, cause == 1, parseLoad(fields.get("load")));
      }
      case "NOTICE" ->
          decodeNote(id, String.valueOf(fields.get("note")), parseNumber(fields.get("value")));
      case "FINISHED" -> handler.onEndConfirmed(id);
      case "PENDING", "ECHO", "MOVE", "RATE" -> {
        // These lines require no action.
      }
      default -> throw new MalformedMessageException("line with an unknown verb");
    }
  }

  /** Notes of an unknown kind or without a number are ignored. */
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

  /**
   * Maps the cause of a release to the outcome of a set-up that has not been answered. 34: the
   * server turned it away; 102: it never ran; 47 (an error at the server) and any other cause (a
   * reset): it may have run.
   */
  public static AttemptOutcome setUpOutcome(int cause) {
    return switch (cause) {
      case 34 -> AttemptOutcome.TURNED_AWAY;
      case 47 -> AttemptOutcome.ERROR;
      case 102 -> AttemptOutcome.NEVER_SENT;
      default -> AttemptOutcome.RESET;
    };
  }

  /**
   * Maps the cause of a release to the outcome of an established session. 16: it has come to its
   * end; 31: WITHDRAWN, the client has ended it and is owed no further message; any other cause: it
   * was cut.
   */
  public static AttemptOutcome sessionOutcome(int cause) {
    return switch (cause) {
      case 16 -> AttemptOutcome.FINISHED;
      case 31 -> AttemptOutcome.WITHDRAWN;
      default -> AttemptOutcome.BROKEN;
    };
  }

  private static String readText(JsonParser parser, JsonToken token)
      throws IOException, MalformedMessageException {
    if (token != JsonToken.VALUE_STRING) {
      throw new MalformedMessageException("expected a text value");
    }
    return parser.getText();
  }

  private static int readCause(JsonParser parser, JsonToken token)
      throws IOException, MalformedMessageException {
    if (token != JsonToken.VALUE_NUMBER_INT
        || parser.getNumberType() != JsonParser.NumberType.INT
        || parser.getIntValue() < 0
        || parser.getIntValue() > 255) {
      throw new MalformedMessageException("cause is not a number from 0 to 255");
    }
    return parser.getIntValue();
  }

  private static void readFields(JsonParser parser, JsonToken token, Map<String, String> target)
      throws IOException, MalformedMessageException {
    if (token != JsonToken.START_OBJECT) {
      throw new MalformedMessageException("opts is not an object");
    }
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      if (!parser.nextToken().isScalarValue()) {
        throw new MalformedMessageException("value in opts is neither text nor number");
      }
      target.put(name, parser.getText());
    }
  }

  /** Parses a load report; returns null if there is none. Figures that cannot be parsed are NaN. */
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
          // Other figures are not used.
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

  /* ---- messages to servers ---- */

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

  /** Cancels a set-up, or ends an established session. */
  public static byte[] encodeEnd(long id) {
    return encodeLine("FINISH", id, CAUSE_NORMAL_RELEASE, null);
  }

  public static byte[] encodeRung(long id, int rung) {
    return encodeLine("RATE", id, -1, null, "rung", Integer.toString(rung));
  }

  /**
   * Tests the server. Cause 1 requests a load report with the answer; with cause 0 none is sent.
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
