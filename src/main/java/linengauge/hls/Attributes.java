package linengauge.hls;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

/** Attribute lists of tags (RFC 8216, section 4.2). */
final class Attributes {
  private static final Pattern NAME = Pattern.compile("[A-Z0-9-]+");

  private Attributes() {}

  /** Names and raw values (quoted strings with their quotes), in order. */
  static Map<String, String> read(int line, String list) throws MalformedPlaylistException {
    Map<String, String> read = new LinkedHashMap<>();
    int i = 0;
    while (i < list.length()) {
      int equals = list.indexOf('=', i);
      if (equals < 0) {
        throw new MalformedPlaylistException(line, "an attribute has no value");
      }
      String name = list.substring(i, equals).trim();
      if (!NAME.matcher(name).matches()) {
        throw new MalformedPlaylistException(line, "'" + name + "' is no attribute name");
      }
      int end;
      if (equals + 1 < list.length() && list.charAt(equals + 1) == '"') {
        int close = list.indexOf('"', equals + 2);
        if (close < 0) {
          throw new MalformedPlaylistException(line, "a quoted string does not end");
        }
        end = close + 1;
      } else {
        int comma = list.indexOf(',', equals);
        end = comma < 0 ? list.length() : comma;
      }
      if (read.put(name, list.substring(equals + 1, end)) != null) {
        throw new MalformedPlaylistException(line, "attribute " + name + " stands twice");
      }
      if (end < list.length() && list.charAt(end) != ',') {
        throw new MalformedPlaylistException(line, "a comma was expected after attribute " + name);
      }
      i = end + 1;
    }
    return read;
  }

  /** The text of a quoted string; null where the attribute is absent or not quoted. */
  static String quoted(Map<String, String> attributes, String name) {
    String v = attributes.get(name);
    return v != null && v.length() >= 2 && v.startsWith("\"")
        ? v.substring(1, v.length() - 1)
        : null;
  }

  static String write(Map<String, String> attributes) {
    StringBuilder s = new StringBuilder();
    attributes.forEach(
        (name, value) ->
            s.append(s.length() > 0 ? "," : "").append(name).append('=').append(value));
    return s.toString();
  }
}
