package linengauge.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A JSON value as nested maps and lists, numbers as doubles: for what is read once and small. */
public final class JsonTree {
  private JsonTree() {}

  /** The value whose first token is given. Bad JSON, also one that ends too soon, throws. */
  public static Object read(JsonParser p, JsonToken first) throws IOException {
    if (first == JsonToken.START_OBJECT) {
      Map<String, Object> map = new LinkedHashMap<>();
      while (p.nextToken() == JsonToken.FIELD_NAME) {
        String key = p.currentName();
        map.put(key, read(p, p.nextToken()));
      }
      return map;
    }
    if (first == JsonToken.START_ARRAY) {
      List<Object> list = new ArrayList<>();
      for (JsonToken e = p.nextToken(); e != JsonToken.END_ARRAY; e = p.nextToken()) {
        list.add(read(p, e));
      }
      return list;
    }
    if (first.isNumeric()) {
      return p.getDoubleValue();
    }
    return first == JsonToken.VALUE_NULL
        ? null
        : first.isBoolean() ? (Object) p.getBooleanValue() : p.getText();
  }
}
