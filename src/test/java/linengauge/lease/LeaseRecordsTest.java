package linengauge.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The judge of the process tests' records finds what is wrong in records that were doctored. */
class LeaseRecordsTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String REGISTERED =
      "{'at':100,'what':'changed','number':11,'state':'PRESENT','incarnation':7,'version':1}";
  private static final String EXPIRED =
      "{'at':500,'what':'changed','number':11,'state':'EXPIRED','incarnation':7,'version':2}";

  private static JsonNode line(String text) {
    try {
      return JSON.readTree(text.replace('\'', '"'));
    } catch (java.io.IOException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private static String holds(long at, int version, boolean lease) {
    return "{'at':%d,'what':'holds','version':%d,'lease':%b,'incarnation':7}"
        .formatted(at, version, lease);
  }

  /** A control machine that lets front 11 expire at 500, and the front that stops believing. */
  private static Map<String, List<JsonNode>> sound() {
    Map<String, List<JsonNode>> lives = new TreeMap<>();
    lives.put("c0/0", lines(REGISTERED, holds(110, 1, false), EXPIRED, holds(510, 2, false)));
    lives.put("c1/0", lines(REGISTERED, EXPIRED, holds(560, 2, false)));
    lives.put("f11/0", lines(REGISTERED, holds(200, 1, true), holds(499, 1, true)));
    lives.put("f12/0", lines(REGISTERED, EXPIRED, holds(600, 2, true), holds(601, 0, true)));
    return lives;
  }

  private static List<JsonNode> lines(String... all) {
    List<JsonNode> lines = new ArrayList<>();
    for (String text : all) {
      lines.add(line(text));
    }
    return lines;
  }

  private static List<String> broken(Map<String, List<JsonNode>> lives, Integer... ailing) {
    return new LeaseRecords(lives, Set.of(ailing)).broken();
  }

  private static void found(String what, List<String> broken) {
    assertTrue(broken.stream().anyMatch(b -> b.contains(what)), what + " in " + broken);
  }

  @Test
  void soundRecordsAreNotFaulted() {
    assertEquals(List.of(), broken(sound(), 11));
  }

  @Test
  void anExpiryOfAFrontThatNothingAiledIsFound() {
    found("11 expired though nothing ailed it", broken(sound(), 12));
  }

  @Test
  void aLeaseBelievedAfterItsExpiryIsFound() {
    // given
    Map<String, List<JsonNode>> lives = sound();
    // when
    lives.get("f11/0").add(line(holds(501, 1, true)));
    // then
    found("believed its lease 1 ms after it had expired", broken(lives, 11));
  }

  @Test
  void aVersionThatGoesBackIsFound() {
    // given
    Map<String, List<JsonNode>> ofFront = sound();
    Map<String, List<JsonNode>> ofControlMachine = sound();
    // when
    ofFront.put("f12/0", lines(holds(1, 2, true), holds(2, 1, true)));
    ofControlMachine.put("c1/0", lines(holds(1, 2, false), holds(2, 0, false)));
    // then
    found("f12/0: version 1 after 2", broken(ofFront, 11));
    found("c1/0: version 0 after 2", broken(ofControlMachine, 11));
  }

  @Test
  void twoChangesOfOneVersionAreFound() {
    // given
    Map<String, List<JsonNode>> lives = sound();
    // when
    lives.get("f12/0").set(0, line(REGISTERED.replace("'number':11", "'number':13")));
    // then
    found("version 1 is", broken(lives, 11));
  }
}
