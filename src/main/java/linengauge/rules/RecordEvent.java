package linengauge.rules;

import com.fasterxml.jackson.databind.JsonNode;

/** One line of a record: an event and its time in microseconds since the start of the record. */
record RecordEvent(long at, String what, JsonNode fields) {
  String text(String name) {
    JsonNode value = fields.path(name);
    return value.isMissingNode() || value.isNull() ? null : value.asText();
  }

  long number(String name) {
    return fields.path(name).asLong();
  }
}
