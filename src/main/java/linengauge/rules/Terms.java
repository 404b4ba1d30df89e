package linengauge.rules;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/** What was agreed on the day of a record, as its first line tells; spans in microseconds. */
record Terms(
    Map<String, Pack> packages,
    long grace,
    long cold,
    double startCapacity,
    double fallMultiple,
    long fallAfter,
    double furtherFree,
    double furtherShare,
    long furtherSpan,
    long slack) {

  record Pack(int lowest, int highest, int seats, boolean paid) {}

  static Terms read(JsonNode line) throws InvalidRecordException {
    Map<String, Pack> packs = new HashMap<>();
    for (JsonNode p : line.path("packages")) {
      packs.put(
          p.path("name").asText(),
          new Pack(
              p.path("lowestRung").asInt(),
              p.path("highestRung").asInt(),
              p.path("seats").asInt(),
              p.path("paidAtSetUp").asBoolean()));
    }
    if (packs.isEmpty()
        || !line.path("drainGraceMs").isNumber()
        || !line.path("slackMs").isNumber()) {
      throw new InvalidRecordException(1, "the terms lack packages, drainGraceMs or slackMs");
    }
    return new Terms(
        packs,
        ms(line, "drainGraceMs"),
        ms(line, "coldMs"),
        line.path("startCapacity").asDouble(),
        line.path("fallMultiple").asDouble(),
        ms(line, "fallAfterMs"),
        line.path("furtherFree").asDouble(),
        line.path("furtherShare").asDouble(),
        ms(line, "furtherMs"),
        ms(line, "slackMs"));
  }

  private static long ms(JsonNode line, String name) {
    return line.path(name).asLong() * 1000;
  }
}
