package linengauge.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Map;
import linengauge.settings.JsonTree;
import linengauge.wire.WireHost.MalformedBatchException;

/**
 * Walks the values of one message in their order; null and a value left out at the end mean the
 * same.
 */
final class Message {
  private final JsonParser p;
  private boolean over;

  Message(JsonParser p) throws MalformedBatchException {
    this.p = p;
    if (p.currentToken() != JsonToken.START_ARRAY) {
      throw new MalformedBatchException("an event must be an array");
    }
  }

  String name() throws IOException, MalformedBatchException {
    return text("event name");
  }

  private JsonToken next() throws IOException {
    if (over) {
      return JsonToken.VALUE_NULL;
    }
    JsonToken t = p.nextToken();
    if (t == JsonToken.END_ARRAY) {
      over = true;
      return JsonToken.VALUE_NULL;
    }
    return t;
  }

  private static MalformedBatchException wrongType(String what, String wanted) {
    return new MalformedBatchException("'" + what + "' should be " + wanted);
  }

  long whole(String what) throws IOException, MalformedBatchException {
    if (next() != JsonToken.VALUE_NUMBER_INT) {
      throw wrongType(what, "a whole number");
    }
    return exact(what);
  }

  long whole(String what, long absent) throws IOException, MalformedBatchException {
    JsonToken t = next();
    if (t == JsonToken.VALUE_NULL) {
      return absent;
    }
    if (t != JsonToken.VALUE_NUMBER_INT) {
      throw wrongType(what, "a whole number");
    }
    return exact(what);
  }

  private long exact(String what) throws IOException, MalformedBatchException {
    if (p.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
      var big = p.getBigIntegerValue();
      if (big.bitLength() > 64) {
        throw wrongType(what, "a whole number of 64 bits");
      }
      return big.longValue();
    }
    return p.getLongValue();
  }

  int integer(String what) throws IOException, MalformedBatchException {
    return narrow(what, whole(what));
  }

  int integer(String what, int absent) throws IOException, MalformedBatchException {
    return narrow(what, whole(what, absent));
  }

  private static int narrow(String what, long value) throws MalformedBatchException {
    if (value != (int) value) {
      throw wrongType(what, "a small number");
    }
    return (int) value;
  }

  double number(String what, double absent) throws IOException, MalformedBatchException {
    JsonToken t = next();
    if (t == JsonToken.VALUE_NULL) {
      return absent;
    }
    if (!t.isNumeric()) {
      throw wrongType(what, "a number");
    }
    return p.getDoubleValue();
  }

  String text(String what) throws IOException, MalformedBatchException {
    if (next() != JsonToken.VALUE_STRING) {
      throw wrongType(what, "text");
    }
    return p.getText();
  }

  void skip() throws IOException {
    next();
    if (!over) {
      p.skipChildren();
    }
  }

  boolean flag(String what) throws IOException, MalformedBatchException {
    JsonToken t = next();
    if (t == JsonToken.VALUE_NULL) {
      return false;
    }
    if (!t.isBoolean()) {
      throw wrongType(what, "true or false");
    }
    return t == JsonToken.VALUE_TRUE;
  }

  /** The object that comes next as nested maps and lists; empty where it is absent. */
  Map<?, ?> object(String what) throws IOException, MalformedBatchException {
    JsonToken t = next();
    if (t == JsonToken.VALUE_NULL) {
      return Map.of();
    }
    if (t != JsonToken.START_OBJECT) {
      throw wrongType(what, "an object");
    }
    return (Map<?, ?>) JsonTree.read(p, t);
  }

  void array(String what) throws IOException, MalformedBatchException {
    if (next() != JsonToken.START_ARRAY) {
      throw wrongType(what, "an array");
    }
  }

  /**
   * Steps into the next row of the array just entered; false at its end, and then back among the
   * outer values.
   */
  boolean nextRow() throws IOException, MalformedBatchException {
    JsonToken t = p.nextToken();
    over = false;
    if (t == JsonToken.END_ARRAY) {
      return false;
    }
    if (t != JsonToken.START_ARRAY) {
      throw new MalformedBatchException("a row of a pool must be an array");
    }
    return true;
  }

  /** Passes over what is left of the message or row. */
  void end() throws IOException {
    while (!over) {
      skip();
    }
  }
}
