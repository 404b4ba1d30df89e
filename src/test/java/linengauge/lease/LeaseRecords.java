package linengauge.lease;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Judges what control machines and fronts have written down, all lives together, by code that
 * shares nothing with theirs. A life is named `c0/1` or `f12/0`: control machine or front, number,
 * and which of its processes.
 */
final class LeaseRecords {
  private final TreeMap<String, List<JsonNode>> lives;
  private final Set<Integer> ailing;
  private final List<String> broken = new ArrayList<>();

  /** When a control machine first had applied that a life's lease has expired. */
  private final Map<String, Long> expiredAt = new HashMap<>();

  /**
   * @param ailing numbers of the fronts that something was done to: only they may expire
   */
  LeaseRecords(Map<String, List<JsonNode>> lives, Set<Integer> ailing) {
    this.lives = new TreeMap<>(lives);
    this.ailing = ailing;
  }

  /** What rule was broken where; empty where all hold. */
  List<String> broken() {
    changesAgree();
    versionsOnlyRise();
    onlyTheAilingExpire();
    nobodyBelievesAnExpiredLease();
    return broken;
  }

  private static String change(JsonNode line) {
    return line.path("number") + " " + line.path("state") + " " + line.path("incarnation");
  }

  private static boolean is(JsonNode line, String what) {
    return line.path("what").asText().equals(what);
  }

  /** One change has one version, at whoever tells of it. */
  private void changesAgree() {
    Map<Long, String> byVersion = new HashMap<>();
    lives.forEach(
        (life, lines) ->
            lines.stream()
                .filter(line -> is(line, "changed"))
                .forEach(
                    line -> {
                      long version = line.path("version").asLong();
                      String before = byVersion.putIfAbsent(version, change(line));
                      if (before != null && !before.equals(change(line))) {
                        broken.add(
                            life
                                + ": version "
                                + version
                                + " is "
                                + change(line)
                                + ", not "
                                + before);
                      }
                    }));
  }

  /** A view goes forward, or is begun again from nothing. */
  private void versionsOnlyRise() {
    lives.forEach(
        (life, lines) -> {
          long before = 0;
          for (JsonNode line : lines) {
            if (!is(line, "holds")) {
              continue;
            }
            long version = line.path("version").asLong();
            if (version < before && (version > 0 || life.startsWith("c"))) {
              broken.add(life + ": version " + version + " after " + before);
            }
            before = version;
          }
        });
  }

  private void onlyTheAilingExpire() {
    lives.forEach(
        (life, lines) ->
            lines.stream()
                .filter(line -> is(line, "changed"))
                .filter(line -> line.path("state").asText().equals("EXPIRED"))
                .forEach(
                    line -> {
                      int number = line.path("number").asInt();
                      if (!ailing.contains(number)) {
                        broken.add(life + ": " + number + " expired though nothing ailed it");
                      }
                      if (life.startsWith("c")) {
                        expiredAt.merge(
                            number + " " + line.path("incarnation"),
                            line.path("at").asLong(),
                            Math::min);
                      }
                    }));
  }

  private void nobodyBelievesAnExpiredLease() {
    lives.forEach(
        (life, lines) -> {
          if (!life.startsWith("f")) {
            return;
          }
          String number = life.substring(1, life.indexOf('/'));
          for (JsonNode line : lines) {
            Long expired = expiredAt.get(number + " " + line.path("incarnation"));
            if (is(line, "holds")
                && line.path("lease").asBoolean()
                && expired != null
                && expired < line.path("at").asLong()) {
              broken.add(
                  life
                      + ": believed its lease "
                      + (line.path("at").asLong() - expired)
                      + " ms after it had expired");
              return;
            }
          }
        });
  }
}
