package linengauge.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads a JSON value as nested maps and lists, with numbers as doubles; meant for small documents
 * that are read once.
 */
public final class JsonTree {
  private JsonTree() {}

  /** Reads the value whose first token is given. Throws on malformed or truncated JSON. */
  public static Object read(JsonParser parser, JsonToken firstToken) throws IOException {
    if (firstToken == JsonToken.START_OBJECT) {
      Map<String, Object> map = new LinkedHashMap<>();
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String key = parser.currentName();
        map.put(key, read(parser, parser.nextToken()));
      }
      return map;
    }
    if (firstToken == JsonToken.START_ARRAY) {
      List<Object> list = new ArrayList<>();
      for (JsonToken token = parser.nextToken();
          token != JsonToken.END_ARRAY;
          token = parser.nextToken()) {
        list.add(read(parser, token));
      }
      return list;
    }
    if (firstToken.isNumeric()) {
      return parser.getDoubleValue();
    }
    return firstToken == JsonToken.VALUE_NULL
        ? null
        : firstToken.isBoolean() ? (Object) parser.getBooleanValue() : parser.getText();
  }
}
