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
 * Media boxes' lines of JSON (docs/protocol/platform.md, "Boxes"). One reader a connection; a line
 * is stored up to the bound and no further, and one that cannot be read spoils the connection.
 */
public final class BoxLines {
  /** Bytes of a line at the most, its line feed included. */
  public static final int MOST = 16 * 1024;

  private static final int GIVEN_UP = 16;
  private static final JsonFactory JSON = new JsonFactory();

  /** What one connection says. */
  public interface Heard {
    void plays(long id, byte[] description);

    void ended(long id, int cause, Load load);

    /** The end that was written for that id has been read. */
    void endConfirmed(long id);

    void tested(long id, boolean passed, Load load);

    void shareDelivered(long id, double share);

    void rungInForce(long id, int rung);

    /** What is asked of link and uplink over what they give; NaN for what is not told. */
    void loadsTold(long id, double link, double uplink);
  }

  /** What a box reports of itself; NaN for what it does not tell. */
  public record Load(double linkAsked, double uplinkAsked, double streams) {}

  private final Heard heard;
  private byte[] part = new byte[0];
  private int held;

  public BoxLines(Heard heard) {
    this.heard = heard;
  }

  /** A line has begun and not ended. */
  public boolean isMidLine() {
    return held > 0;
  }

  /**
   * Reads on; returns how many lines ended. Throws at the first one that cannot be read or passes
   * the bound.
   */
  public int feed(byte[] data) throws BadMessage {
    int from = 0;
    int ended = 0;
    for (int i = 0; i < data.length; i++) {
      if (data[i] != '\n') {
        continue;
      }
      if (held + i - from >= MOST) {
        throw new BadMessage("a line over the bound");
      }
      byte[] line = Arrays.copyOf(part, held + i - from);
      System.arraycopy(data, from, line, held, i - from);
      held = 0;
      part = new byte[0];
      from = i + 1;
      ended++;
      line(line);
    }
    int rest = data.length - from;
    if (held + rest >= MOST) {
      throw new BadMessage("a line over the bound");
    }
    if (rest > 0) {
      part = Arrays.copyOf(part, held + rest);
      System.arraycopy(data, from, part, held, rest);
      held += rest;
    }
    return ended;
  }

  private void line(byte[] line) throws BadMessage {
    String verb = null;
    String tag = null;
    String blob = null;
    int cause = -1;
    Map<String, String> fields = new HashMap<>();
    try (JsonParser p = JSON.createParser(line)) {
      if (p.nextToken() != JsonToken.START_OBJECT) {
        throw new BadMessage("a line that is no object");
      }
      while (p.nextToken() == JsonToken.FIELD_NAME) {
        String name = p.currentName();
        JsonToken t = p.nextToken();
        switch (name) {
          case "verb" -> verb = text(p, t);
          case "tag" -> tag = text(p, t);
          case "blob" -> blob = text(p, t);
          case "rc" -> cause = cause(p, t);
          case "opts" -> fields(p, t, fields);
          default -> p.skipChildren();
        }
      }
      if (p.currentToken() != JsonToken.END_OBJECT || p.nextToken() != null) {
        throw new BadMessage("more than one object in a line");
      }
    } catch (IOException e) {
      throw new BadMessage("a line that is no JSON");
    }
    if (verb == null || tag == null || tag.length() != 16 || !Texts.hex(tag, 0)) {
      throw new BadMessage("a line without type or id");
    }
    long id = Long.parseUnsignedLong(tag, 16);
    switch (verb) {
      case "STARTED" -> {
        byte[] description = blob == null ? null : blob.getBytes(StandardCharsets.UTF_8);
        if (description == null || !ViewerMessages.fits(description)) {
          throw new BadMessage("an answer with no description, or one too long");
        }
        heard.plays(id, description);
      }
      case "FINISH" -> {
        if (cause < 0) {
          throw new BadMessage("a release without cause");
        }
        heard.ended(id, cause, load(fields.get("load")));
      }
      case "ECHOED" -> {
        if (cause < 0) {
          throw new BadMessage("a test without its result");
        }
        heard.tested(id, cause == 1, load(fields.get("load")));
      }
      case "NOTICE" -> note(id, String.valueOf(fields.get("note")), number(fields.get("value")));
      case "FINISHED" -> heard.endConfirmed(id);
      case "PENDING", "ECHO", "MOVE", "RATE" -> {
        // nothing is owed for these
      }
      default -> throw new BadMessage("a line of no known type");
    }
  }

  /** A note of a kind not known here, or without a figure, tells nothing. */
  private void note(long id, String kind, double value) {
    if (Double.isNaN(value)) {
      return;
    }
    switch (kind) {
      case "got" -> heard.shareDelivered(id, value);
      case "level" -> heard.rungInForce(id, (int) value);
      case "port" -> heard.loadsTold(id, value, Double.NaN);
      case "spine" -> heard.loadsTold(id, Double.NaN, value);
      default -> {}
    }
  }

  /** What the cause of a release means for a set-up that was not answered. */
  public static AttemptOutcome unanswered(int cause) {
    return switch (cause) {
      case 34 -> AttemptOutcome.TURNED_AWAY;
      case 47 -> AttemptOutcome.ERROR;
      case 102 -> AttemptOutcome.NEVER_SENT;
      default -> AttemptOutcome.RESET;
    };
  }

  /**
   * What it means for a viewing that plays; WITHDRAWN: its viewer has ended it and is owed nothing.
   */
  public static AttemptOutcome played(int cause) {
    return switch (cause) {
      case 16 -> AttemptOutcome.FINISHED;
      case 31 -> AttemptOutcome.WITHDRAWN;
      default -> AttemptOutcome.BROKEN;
    };
  }

  private static String text(JsonParser p, JsonToken t) throws IOException, BadMessage {
    if (t != JsonToken.VALUE_STRING) {
      throw new BadMessage("a number or object where text belongs");
    }
    return p.getText();
  }

  private static int cause(JsonParser p, JsonToken t) throws IOException, BadMessage {
    if (t != JsonToken.VALUE_NUMBER_INT
        || p.getNumberType() != JsonParser.NumberType.INT
        || p.getIntValue() < 0
        || p.getIntValue() > 255) {
      throw new BadMessage("a cause that is none");
    }
    return p.getIntValue();
  }

  private static void fields(JsonParser p, JsonToken t, Map<String, String> into)
      throws IOException, BadMessage {
    if (t != JsonToken.START_OBJECT) {
      throw new BadMessage("fields that are no object");
    }
    while (p.nextToken() == JsonToken.FIELD_NAME) {
      String name = p.currentName();
      if (!p.nextToken().isScalarValue()) {
        throw new BadMessage("a field that is no text or number");
      }
      into.put(name, p.getText());
    }
  }

  /** A report that cannot be read tells nothing: null. */
  static Load load(String text) {
    if (text == null) {
      return null;
    }
    double link = Double.NaN;
    double uplink = Double.NaN;
    double streams = Double.NaN;
    for (String one : text.split(";")) {
      int colon = one.indexOf(':');
      double value = colon < 0 ? Double.NaN : number(one.substring(colon + 1));
      switch (colon < 0 ? "" : one.substring(0, colon)) {
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

  private static double number(String text) {
    try {
      double d = text == null ? Double.NaN : Double.parseDouble(text);
      return d >= 0 && d < 1e9 ? d : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  /* ---- what fronts write ---- */

  public static byte[] setUp(
      long id, String pack, String title, long waitMs, int rung, String description) {
    return line(
        "START",
        id,
        -1,
        description,
        "class",
        pack,
        "key",
        title,
        "left",
        Long.toString(waitMs),
        "rung",
        Integer.toString(rung));
  }

  /** Takes back a set-up, or ends a viewing that plays. */
  public static byte[] end(long id) {
    return line("FINISH", id, GIVEN_UP, null);
  }

  public static byte[] rung(long id, int rung) {
    return line("RATE", id, -1, null, "rung", Integer.toString(rung));
  }

  /**
   * A test that wants a report of the box's load with its answer: one with cause 1; with cause 0
   * none comes.
   */
  public static byte[] test(long id) {
    return line("ECHO", id, 1, null);
  }

  private static byte[] line(
      String verb, long id, int cause, String description, String... fields) {
    var out = new ByteArrayOutputStream(256);
    try (JsonGenerator g = JSON.createGenerator(out)) {
      g.writeStartObject();
      g.writeStringField("verb", verb);
      g.writeStringField("tag", Texts.id(id));
      g.writeObjectFieldStart("opts");
      for (int i = 0; i < fields.length; i += 2) {
        g.writeStringField(fields[i], fields[i + 1]);
      }
      g.writeEndObject();
      if (cause >= 0) {
        g.writeNumberField("rc", cause);
      }
      if (description != null) {
        g.writeStringField("blob", description);
      }
      g.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    out.write('\n');
    return out.toByteArray();
  }
}
