package linengauge.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import linengauge.cli.Main;
import linengauge.drill.Ports;
import linengauge.standin.FaultyLink;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Three voters and two followers, each a process, with a link of its own from each to each voter;
 * judged by what their records say, all lives together, by code that shares nothing with theirs.
 */
class ConsensusProcessesTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int VOTERS = 3;
  private static final int ALL = 5;

  @TempDir private Path dir;
  private final List<Integer> ports = new ArrayList<>();
  private final Process[] processes = new Process[ALL + 1];
  private final List<List<Path>> records = new ArrayList<>();
  private final Vertx vertx = Vertx.vertx();
  private final int[][] ways = new int[ALL + 1][VOTERS];
  private final FaultyLink[][] links = new FaultyLink[ALL + 1][VOTERS];

  @BeforeEach
  void start() throws Exception {
    Files.writeString(dir.resolve("key"), "a key of the whole fleet");
    Files.writeString(dir.resolve("other-key"), "a key of somebody else's");
    // The system gives these ports to no connection while a voter that was killed is away.
    ports.addAll(Ports.free("127.0.0.1", ALL + 1));
    for (int i = 0; i <= ALL; i++) {
      records.add(new ArrayList<>());
    }
    for (int i = 0; i <= ALL; i++) {
      for (int v = 0; v < VOTERS; v++) {
        links[i][v] = new FaultyLink(vertx, "127.0.0.1", ports.get(v));
        ways[i][v] = links[i][v].open().toCompletionStage().toCompletableFuture().get();
      }
    }
    for (int i = 0; i < ALL; i++) {
      life(i, "key", true);
    }
    until(() -> leader() >= 0);
  }

  @AfterEach
  void stop() throws Exception {
    for (Process p : processes) {
      if (p != null) {
        p.destroyForcibly().waitFor();
      }
    }
    vertx.close().toCompletionStage().toCompletableFuture().get();
  }

  private void life(int number, String key, boolean founds) throws Exception {
    Path record = dir.resolve("record-" + number + "-" + System.nanoTime());
    records.get(number).add(record);
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx48m",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "drill",
                "council-member",
                "--number",
                "" + number,
                "--listen",
                "127.0.0.1:" + ports.get(number),
                "--key-file",
                dir.resolve(key).toString(),
                "--record",
                record.toString(),
                "--beat-ms",
                "60"));
    for (int v = 0; v < VOTERS; v++) {
      command.addAll(
          List.of(
              "--voter",
              v + "=127.0.0.1:" + ports.get(v),
              "--way",
              v + "=127.0.0.1:" + ways[number][v]));
    }
    if (number < VOTERS) {
      command.addAll(List.of("--store", dir.resolve("store-" + number).toString()));
      if (founds) {
        command.add("--found");
      }
    }
    processes[number] =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(dir.resolve("log-" + number).toFile())
            .start();
  }

  private void signal(int number, String name) throws Exception {
    assertEquals(
        0,
        new ProcessBuilder("kill", "-" + name, Long.toString(processes[number].pid()))
            .start()
            .waitFor());
  }

  private void kill(int number) throws Exception {
    processes[number].destroyForcibly().waitFor();
  }

  private void say(int number, String line) throws IOException {
    processes[number]
        .getOutputStream()
        .write((line + "\n").getBytes(java.nio.charset.StandardCharsets.UTF_8));
    processes[number].getOutputStream().flush();
  }

  private void want(int number, String text) throws IOException {
    say(number, "want " + text);
  }

  private static void until(BooleanSupplier done) throws InterruptedException {
    for (int i = 0; i < 6000 && !done.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertTrue(done.getAsBoolean());
  }

  private List<JsonNode> lines(Path record) {
    try {
      List<JsonNode> all = new ArrayList<>();
      for (String line : Files.readString(record).split("\n")) {
        if (line.endsWith("}")) {
          all.add(JSON.readTree(line));
        }
      }
      return all;
    } catch (IOException e) {
      return List.of();
    }
  }

  /** This life's lines of that kind. */
  private List<JsonNode> lines(int number, String what) {
    List<Path> lives = records.get(number);
    return lines(lives.get(lives.size() - 1)).stream()
        .filter(l -> l.path("what").asText().equals(what))
        .toList();
  }

  private JsonNode stands(int number) {
    List<JsonNode> all = lines(number, "stands");
    return all.isEmpty() ? JSON.createObjectNode() : all.get(all.size() - 1);
  }

  /** Whom a majority of the voters that run take for the leader, and who does so itself; -1. */
  private int leader() {
    for (int v = 0; v < VOTERS; v++) {
      if (processes[v] != null
          && processes[v].isAlive()
          && stands(v).path("role").asText().equals("LEADER")) {
        int of = v;
        long agree =
            Stream.of(0, 1, 2)
                .filter(
                    o ->
                        stands(o).path("leader").asInt(-1) == of
                            && stands(o).path("term").asLong() == stands(of).path("term").asLong())
                .count();
        if (agree >= 2) {
          return v;
        }
      }
    }
    return -1;
  }

  /**
   * One wish more with each look, up to as many as may wait; for use while something else is waited
   * for.
   */
  private boolean wantedMeanwhile(int[] load) {
    try {
      if (load[0] < 40) {
        want(4, "load-" + load[0]++);
      }
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private boolean decided(int by, String text) {
    return lines(by, "decided").stream().anyMatch(l -> l.path("text").asText().equals(text));
  }

  private boolean known(int by, String text) {
    return lines(by, "applied").stream().anyMatch(l -> l.path("text").asText().equals(text))
        || lines(by, "restored").stream()
            .anyMatch(l -> l.path("texts").toString().contains("\"" + text + "\""));
  }

  /**
   * One leader a term, one text an index, each wish once, none that was told decided missing: over
   * all lives of all.
   */
  private static List<String> broken(Map<String, List<JsonNode>> all) {
    Map<String, List<JsonNode>> lives = new TreeMap<>(all);
    List<String> wrong = new ArrayList<>();
    Map<Long, String> led = new HashMap<>();
    TreeMap<Long, String> texts = new TreeMap<>();
    lives.forEach(
        (who, lines) -> {
          for (JsonNode l : lines) {
            if (l.path("role").asText().equals("LEADER")) {
              String number = who.substring(0, who.indexOf('/'));
              String other = led.putIfAbsent(l.path("term").asLong(), number);
              if (other != null && !other.equals(number)) {
                wrong.add("two led term " + l.path("term") + ": " + other + " and " + number);
              }
            }
            if (l.path("what").asText().equals("applied")) {
              String before = texts.putIfAbsent(l.path("index").asLong(), l.path("text").asText());
              if (before != null && !before.equals(l.path("text").asText())) {
                wrong.add(
                    "decision " + l.path("index") + " is " + before + " and " + l.path("text"));
              }
            }
          }
        });
    if (texts.values().stream().distinct().count() < texts.size()) {
      wrong.add("a wish was decided twice: " + texts);
    }
    lives.forEach(
        (who, lines) ->
            lines.stream()
                .filter(
                    l ->
                        l.path("what").asText().equals("decided")
                            && !texts.containsValue(l.path("text").asText()))
                .forEach(l -> wrong.add(who + " was told " + l.path("text") + " is decided")));
    return wrong;
  }

  private Map<String, List<JsonNode>> lives() {
    Map<String, List<JsonNode>> all = new TreeMap<>();
    for (int i = 0; i < records.size(); i++) {
      for (int life = 0; life < records.get(i).size(); life++) {
        all.put(i + "/" + life, lines(records.get(i).get(life)));
      }
    }
    return all;
  }

  /** All follow to the end, and nothing was broken on the way. */
  private void comesRound() throws Exception {
    want(4, "the-end");
    until(() -> known(3, "the-end") && known(4, "the-end"));
    assertEquals(List.of(), broken(lives()));
  }

  @Test
  void aLeaderThatIsKilledIsFollowedByAnotherAndComesBackAsItLeft() throws Exception {
    for (int round = 0; round < 3; round++) {
      want(3, "before-" + round);
      int was = leader();
      kill(was);
      want(4, "after-" + round);
      int r = round;
      until(() -> decided(4, "after-" + r) && leader() >= 0);
      assertNotEquals(was, leader());
      life(was, "key", false);
      until(() -> stands(was).path("leader").asInt(-1) >= 0);
    }
    comesRound();
    assertTrue(known(3, "after-2"));
  }

  @Test
  void aLeaderThatWakesFromAFreezeIsRefusedByNumber() throws Exception {
    int was = leader();
    long term = stands(was).path("term").asLong();
    signal(was, "STOP");
    want(3, "meanwhile");
    until(() -> decided(3, "meanwhile"));
    signal(was, "CONT");
    until(
        () ->
            stands(was).path("term").asLong() > term
                && !stands(was).path("role").asText().equals("LEADER"));
    comesRound();
  }

  @Test
  void aLeaderThatIsNotHeardOneWayIsFollowedByAnother() throws Exception {
    int was = leader();
    for (int v = 0; v < VOTERS; v++) {
      links[was][v].holdRequests(v != was); // it hears all the others
    }
    int other = (was + 1) % VOTERS;
    until(() -> !stands(was).path("role").asText().equals("LEADER"));
    want(3, "without-it");
    until(() -> decided(3, "without-it"));
    assertFalse(stands(other).path("role").isMissingNode());
    for (int v = 0; v < VOTERS; v++) {
      links[was][v].holdRequests(false);
    }
    until(() -> leader() >= 0);
    comesRound();
  }

  @Test
  void aLeaderThatHearsNobodyStepsDownAndDeposesNobodyAfterwards() throws Exception {
    int was = leader();
    for (int v = 0; v < VOTERS; v++) {
      links[v][was].holdRequests(v != was); // the others hear it
    }
    until(() -> !stands(was).path("role").asText().equals("LEADER"));
    want(3, "meanwhile");
    until(() -> decided(3, "meanwhile") && leader() >= 0);
    int now = leader();
    long term = stands(now).path("term").asLong();
    Thread.sleep(1500); // it wants to lead all the while
    for (int v = 0; v < VOTERS; v++) {
      links[v][was].holdRequests(false);
    }
    until(() -> stands(was).path("leader").asInt(-1) == now);
    comesRound();
    assertEquals(term, stands(now).path("term").asLong(), "asked first, it raised no term");
    assertEquals(now, leader());
  }

  @Test
  void withoutAMajorityNothingIsDecidedAndNothingIsLost() throws Exception {
    want(3, "first");
    until(() -> decided(3, "first"));
    int was = leader();
    kill((was + 1) % VOTERS);
    kill((was + 2) % VOTERS);
    until(() -> !stands(was).path("role").asText().equals("LEADER"));
    want(3, "alone");
    say(4, "sure nobody");
    Thread.sleep(500);
    assertFalse(decided(3, "alone"));
    assertTrue(lines(4, "sure").isEmpty(), "nobody can be sure");
    life((was + 1) % VOTERS, "key", false);
    until(() -> decided(3, "alone"));
    life((was + 2) % VOTERS, "key", false);
    comesRound();
  }

  @Test
  void whoLostItsFolderDoesNotVoteUntilItIsBroughtUpAgain() throws Exception {
    want(3, "kept");
    until(() -> decided(3, "kept"));
    int was = (leader() + 1) % VOTERS;
    kill(was);
    try (Stream<Path> all = Files.walk(dir.resolve("store-" + was))) {
      for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(p);
      }
    }
    life(was, "key", false);
    until(() -> !lines(was, "store").isEmpty());
    String store = lines(was, "store").get(0).path("number").asText();
    want(3, "meanwhile");
    until(() -> decided(3, "meanwhile"));
    assertTrue(
        lines(was, "stands").stream()
            .noneMatch(l -> l.path("role").asText().matches("CANDIDATE|LEADER|WOULD_LEAD")));
    say(3, "without " + was);
    int[] load = {0};
    until(
        () -> wantedMeanwhile(load) && stands(3).path("voters").toString().split(",").length == 2);
    say(3, "with " + was + " " + store + " 127.0.0.1:" + ports.get(was));
    until(() -> wantedMeanwhile(load) && stands(3).path("voters").toString().equals("[0,1,2]"));
    for (int i = 0; i < load[0]; i++) {
      String text = "load-" + i;
      until(() -> decided(4, text));
    }
    assertTrue(load[0] > 3, "replaced while there was something to decide");
    comesRound();
  }

  /** Its folder is moved away, so that every write fails, as on a full disk, and back. */
  @Test
  void aLeaderWhoseDiskTakesNothingKeepsSilentUntilItDoes() throws Exception {
    want(3, "first");
    until(() -> decided(3, "first"));
    int was = leader();
    Path away = dir.resolve("away");
    Files.move(dir.resolve("store-" + was), away);
    want(3, "meanwhile");
    until(() -> decided(3, "meanwhile") && leader() >= 0 && leader() != was);
    for (int i = 0; i < 5; i++) {
      want(4, "more-" + i);
    }
    until(() -> decided(4, "more-4"));
    assertNotEquals(was, leader());
    Files.move(away, dir.resolve("store-" + was));
    kill((was + 1) % VOTERS); // the council needs it again
    want(3, "with-it");
    until(() -> decided(3, "with-it"));
    life((was + 1) % VOTERS, "key", false);
    comesRound();
  }

  @Test
  void aFolderWhoseNewestStateIsBrokenIsRefused() throws Exception {
    want(3, "one");
    want(3, "two");
    until(() -> decided(3, "two"));
    int was = (leader() + 1) % VOTERS;
    kill(was);
    Path newest;
    try (Stream<Path> all = Files.list(dir.resolve("store-" + was))) {
      newest =
          all.filter(p -> p.getFileName().toString().startsWith("council-"))
              .max(
                  Comparator.comparingLong(
                      p ->
                          Long.parseLong(
                              p.getFileName().toString().substring("council-".length()))))
              .orElseThrow();
    }
    byte[] bytes = Files.readAllBytes(newest);
    bytes[bytes.length / 2] ^= 1;
    Files.write(newest, bytes);
    life(was, "key", false);
    assertEquals(1, processes[was].waitFor());
    String log = Files.readString(dir.resolve("log-" + was));
    assertTrue(
        log.contains("cannot vote with this folder") && log.strip().lines().count() == 1, log);
    comesRound();
  }

  @Test
  void whoeverHasNoKeyIsNotHeard() throws Exception {
    life(ALL, "other-key", false);
    want(ALL, "a-strangers");
    byte[] noise = new byte[200_000];
    new java.util.Random(1).nextBytes(noise);
    for (int v = 0; v < VOTERS; v++) {
      try (Socket s = new Socket("127.0.0.1", ports.get(v))) {
        s.getOutputStream().write(noise);
      } catch (IOException e) {
        continue; // closed on the way
      }
    }
    want(3, "a-friends");
    until(() -> decided(3, "a-friends"));
    comesRound();
    assertFalse(known(3, "a-strangers"));
  }

  /** The judge is seen to fail: records in which each rule is broken. */
  @Test
  void doctoredRecordsAreFound() throws Exception {
    List<JsonNode> good =
        List.of(
            JSON.readTree("{\"what\":\"stands\",\"role\":\"LEADER\",\"term\":4}"),
            JSON.readTree("{\"what\":\"applied\",\"index\":7,\"text\":\"a\"}"),
            JSON.readTree("{\"what\":\"decided\",\"text\":\"a\"}"));
    assertEquals(List.of(), broken(Map.of("0/0", good, "1/0", good.subList(1, 3))));
    assertEquals(1, broken(Map.of("0/0", good, "1/0", good.subList(0, 1))).size());
    assertEquals(
        1,
        broken(
                Map.of(
                    "0/0",
                    good,
                    "1/0",
                    List.of(JSON.readTree("{\"what\":\"applied\",\"index\":7,\"text\":\"b\"}"))))
            .size());
    assertEquals(
        1,
        broken(
                Map.of(
                    "0/0",
                    good,
                    "1/0",
                    List.of(JSON.readTree("{\"what\":\"applied\",\"index\":8,\"text\":\"a\"}"))))
            .size());
    assertEquals(
        1,
        broken(
                Map.of(
                    "0/0",
                    good,
                    "1/0",
                    List.of(JSON.readTree("{\"what\":\"decided\",\"text\":\"c\"}"))))
            .size());
  }
}
