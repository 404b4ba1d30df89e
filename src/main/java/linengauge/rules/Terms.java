package linengauge.rules;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/** The limits that apply to a record, read from its first line; spans are in microseconds. */
record Terms(
    Map<String, PackageLimits> packages,
    long grace,
    long cold,
    double startCapacity,
    double fallMultiple,
    long fallAfter,
    double furtherFree,
    double furtherShare,
    long furtherSpan,
    long slack) {

  record PackageLimits(int lowest, int highest, int seats, boolean paid) {}

  static Terms read(JsonNode line) throws InvalidRecordException {
    Map<String, PackageLimits> packages = new HashMap<>();
    for (JsonNode entry : line.path("packages")) {
      packages.put(
          entry.path("name").asText(),
          new PackageLimits(
              entry.path("lowestRung").asInt(),
              entry.path("highestRung").asInt(),
              entry.path("seats").asInt(),
              entry.path("paidAtSetUp").asBoolean()));
    }
    if (packages.isEmpty()
        || !line.path("drainGraceMs").isNumber()
        || !line.path("slackMs").isNumber()) {
      throw new InvalidRecordException(1, "the terms lack packages, drainGraceMs or slackMs");
    }
    return new Terms(
        packages,
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
