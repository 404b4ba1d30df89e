package linengauge.hls;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

/** Parses and writes attribute lists of tags (RFC 8216, section 4.2). */
final class Attributes {
  private static final Pattern NAME = Pattern.compile("[A-Z0-9-]+");

  private Attributes() {}

  /** Parses a list into names and raw values, in order; quoted strings keep their quotes. */
  static Map<String, String> read(int line, String list) throws MalformedPlaylistException {
    Map<String, String> attributes = new LinkedHashMap<>();
    int position = 0;
    while (position < list.length()) {
      int equals = list.indexOf('=', position);
      if (equals < 0) {
        throw new MalformedPlaylistException(line, "an attribute has no value");
      }
      String name = list.substring(position, equals).trim();
      if (!NAME.matcher(name).matches()) {
        throw new MalformedPlaylistException(line, "'" + name + "' is no attribute name");
      }
      int end;
      if (equals + 1 < list.length() && list.charAt(equals + 1) == '"') {
        int closingQuote = list.indexOf('"', equals + 2);
        if (closingQuote < 0) {
          throw new MalformedPlaylistException(line, "a quoted string does not end");
        }
        end = closingQuote + 1;
      } else {
        int comma = list.indexOf(',', equals);
        end = comma < 0 ? list.length() : comma;
      }
      if (attributes.put(name, list.substring(equals + 1, end)) != null) {
        throw new MalformedPlaylistException(line, "attribute " + name + " stands twice");
      }
      if (end < list.length() && list.charAt(end) != ',') {
        throw new MalformedPlaylistException(line, "a comma was expected after attribute " + name);
      }
      position = end + 1;
    }
    return attributes;
  }

  /** The content of a quoted string; null if the attribute is absent or not quoted. */
  static String quoted(Map<String, String> attributes, String name) {
    String value = attributes.get(name);
    return value != null && value.length() >= 2 && value.startsWith("\"")
        ? value.substring(1, value.length() - 1)
        : null;
  }

  static String write(Map<String, String> attributes) {
    StringBuilder text = new StringBuilder();
    attributes.forEach(
        (name, value) ->
            text.append(text.length() > 0 ? "," : "").append(name).append('=').append(value));
    return text.toString();
  }
}
