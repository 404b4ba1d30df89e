package linengauge.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Map;
import linengauge.settings.JsonTree;
import linengauge.wire.WireHost.MalformedBatchException;

/** Reads the values of one message in order; null and a value left out at the end mean the same. */
final class Message {
  private final JsonParser parser;
  private boolean atEnd;

  Message(JsonParser parser) throws MalformedBatchException {
    this.parser = parser;
    if (parser.currentToken() != JsonToken.START_ARRAY) {
      throw new MalformedBatchException("an event must be an array");
    }
  }

  String readName() throws IOException, MalformedBatchException {
    return readText("event name");
  }

  private JsonToken nextToken() throws IOException {
    if (atEnd) {
      return JsonToken.VALUE_NULL;
    }
    JsonToken token = parser.nextToken();
    if (token == JsonToken.END_ARRAY) {
      atEnd = true;
      return JsonToken.VALUE_NULL;
    }
    return token;
  }

  private static MalformedBatchException typeMismatch(String field, String expected) {
    return new MalformedBatchException("'" + field + "' should be " + expected);
  }

  long readLong(String field) throws IOException, MalformedBatchException {
    if (nextToken() != JsonToken.VALUE_NUMBER_INT) {
      throw typeMismatch(field, "a whole number");
    }
    return currentLong(field);
  }

  long readLong(String field, long defaultValue) throws IOException, MalformedBatchException {
    JsonToken token = nextToken();
    if (token == JsonToken.VALUE_NULL) {
      return defaultValue;
    }
    if (token != JsonToken.VALUE_NUMBER_INT) {
      throw typeMismatch(field, "a whole number");
    }
    return currentLong(field);
  }

  private long currentLong(String field) throws IOException, MalformedBatchException {
    if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
      var bigValue = parser.getBigIntegerValue();
      if (bigValue.bitLength() > 64) {
        throw typeMismatch(field, "a whole number of 64 bits");
      }
      return bigValue.longValue();
    }
    return parser.getLongValue();
  }

  int readInt(String field) throws IOException, MalformedBatchException {
    return toInt(field, readLong(field));
  }

  int readInt(String field, int defaultValue) throws IOException, MalformedBatchException {
    return toInt(field, readLong(field, defaultValue));
  }

  private static int toInt(String field, long value) throws MalformedBatchException {
    if (value != (int) value) {
      throw typeMismatch(field, "a small number");
    }
    return (int) value;
  }

  double readDouble(String field, double defaultValue) throws IOException, MalformedBatchException {
    JsonToken token = nextToken();
    if (token == JsonToken.VALUE_NULL) {
      return defaultValue;
    }
    if (!token.isNumeric()) {
      throw typeMismatch(field, "a number");
    }
    return parser.getDoubleValue();
  }

  String readText(String field) throws IOException, MalformedBatchException {
    if (nextToken() != JsonToken.VALUE_STRING) {
      throw typeMismatch(field, "text");
    }
    return parser.getText();
  }

  void skip() throws IOException {
    nextToken();
    if (!atEnd) {
      parser.skipChildren();
    }
  }

  boolean readBoolean(String field) throws IOException, MalformedBatchException {
    JsonToken token = nextToken();
    if (token == JsonToken.VALUE_NULL) {
      return false;
    }
    if (!token.isBoolean()) {
      throw typeMismatch(field, "true or false");
    }
    return token == JsonToken.VALUE_TRUE;
  }

  /** Reads an object as nested maps and lists; empty where it is absent. */
  Map<?, ?> readObject(String field) throws IOException, MalformedBatchException {
    JsonToken token = nextToken();
    if (token == JsonToken.VALUE_NULL) {
      return Map.of();
    }
    if (token != JsonToken.START_OBJECT) {
      throw typeMismatch(field, "an object");
    }
    return (Map<?, ?>) JsonTree.read(parser, token);
  }

  void enterArray(String field) throws IOException, MalformedBatchException {
    if (nextToken() != JsonToken.START_ARRAY) {
      throw typeMismatch(field, "an array");
    }
  }

  /**
   * Enters the next row of the array just entered; false at its end, after which the outer values
   * follow.
   */
  boolean enterNextRow() throws IOException, MalformedBatchException {
    JsonToken token = parser.nextToken();
    atEnd = false;
    if (token == JsonToken.END_ARRAY) {
      return false;
    }
    if (token != JsonToken.START_ARRAY) {
      throw new MalformedBatchException("a row of a pool must be an array");
    }
    return true;
  }

  /** Skips what is left of the message or row. */
  void skipRest() throws IOException {
    while (!atEnd) {
      skip();
    }
  }
}
