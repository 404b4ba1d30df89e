package linengauge.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import linengauge.cli.Main;
import linengauge.membership.udp.MembershipNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Five processes of the program that tell each other of themselves; judged by what each has written
 * of the others.
 */
class MemberProcessesTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int ALL = 5;

  @TempDir private Path dir;
  private final List<Integer> ports = new ArrayList<>();
  private final List<Process> processes = new ArrayList<>();
  private final List<Path> records = new ArrayList<>();

  @BeforeEach
  void start() throws Exception {
    Files.writeString(dir.resolve("key"), "a key of the whole fleet");
    Files.writeString(dir.resolve("other-key"), "a key of somebody else's");
    for (int i = 0; i <= ALL; i++) {
      try (DatagramSocket free = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
        ports.add(free.getLocalPort());
      }
      records.add(null);
      processes.add(null);
    }
    for (int i = 0; i < ALL; i++) {
      life(i, "key");
    }
    until(() -> all(0, 1, 2, 3, 4).equals("ALIVE"));
  }

  @AfterEach
  void stop() throws Exception {
    for (Process p : processes) {
      if (p != null) {
        p.destroyForcibly().waitFor();
      }
    }
  }

  private void life(int number, String key) throws Exception {
    Path record = dir.resolve("record-" + number + "-" + System.nanoTime());
    records.set(number, record);
    processes.set(
        number,
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx48m",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "drill",
                "member",
                "--number",
                "" + number,
                "--at",
                "127.0.0.1:" + ports.get(number),
                "--zone",
                "" + number % 2,
                "--seed",
                "127.0.0.1:" + ports.get(0),
                "--seed",
                "127.0.0.1:" + ports.get(1),
                "--key-file",
                dir.resolve(key).toString(),
                "--record",
                record.toString(),
                "--period-ms",
                "200")
            .redirectErrorStream(true)
            .redirectOutput(dir.resolve("log-" + number).toFile())
            .start());
  }

  private void signal(int number, String name) throws Exception {
    assertEquals(
        0,
        new ProcessBuilder("kill", "-" + name, Long.toString(processes.get(number).pid()))
            .start()
            .waitFor());
  }

  private static void until(BooleanSupplier done) throws InterruptedException {
    for (int i = 0; i < 6000 && !done.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertTrue(done.getAsBoolean());
  }

  private List<JsonNode> record(int number) {
    try {
      List<JsonNode> lines = new ArrayList<>();
      for (String line : Files.readString(records.get(number)).split("\n")) {
        if (line.endsWith("}")) {
          lines.add(JSON.readTree(line));
        }
      }
      return lines;
    } catch (java.io.IOException e) {
      return List.of();
    }
  }

  private JsonNode view(int number) {
    List<JsonNode> lines = record(number);
    for (int i = lines.size() - 1; i >= 0; i--) {
      if (lines.get(i).path("what").asText().equals("holds")) {
        return lines.get(i);
      }
    }
    return JSON.createObjectNode();
  }

  private String standing(int by, int of) {
    for (JsonNode other : view(by).path("others")) {
      if (other.path("number").asInt() == of) {
        return other.path("standing").asText();
      }
    }
    return "unknown";
  }

  /** What these hold of each other, where that is one word; else all of it. */
  private String all(int... numbers) {
    var seen = new TreeMap<String, Integer>();
    for (int by : numbers) {
      for (int of : numbers) {
        if (by != of) {
          seen.merge(standing(by, of), 1, Integer::sum);
        }
      }
    }
    return seen.size() == 1 ? seen.firstKey() : seen.toString();
  }

  private boolean othersHold(int of, String standing) {
    for (int by = 0; by < ALL; by++) {
      if (by != of && !standing(by, of).equals(standing)) {
        return false;
      }
    }
    return true;
  }

  @Test
  void oneThatIsFrozenIsGivenUpAndComesBackWithoutGivingUpAnybody() throws Exception {
    signal(3, "STOP");
    until(() -> othersHold(3, "DEAD"));
    assertEquals("ALIVE", all(0, 1, 2, 4));
    int before = record(3).size();
    signal(3, "CONT");
    until(() -> all(0, 1, 2, 3, 4).equals("ALIVE"));
    for (JsonNode line : record(3).subList(before, record(3).size())) {
      assertTrue(!line.path("other").path("standing").asText().equals("DEAD"), line.toString());
    }
  }

  @Test
  void oneThatIsKilledIsGivenUpAndItsNextLifeIsTakenIn() throws Exception {
    processes.get(0).destroyForcibly().waitFor(); // the seed itself
    until(() -> othersHold(0, "DEAD"));
    life(0, "key");
    until(() -> all(0, 1, 2, 3, 4).equals("ALIVE"));
  }

  @Test
  void oneThatLeavesIsNotMissed() throws Exception {
    processes.get(2).getOutputStream().write('\n');
    processes.get(2).getOutputStream().flush();
    assertEquals(0, processes.get(2).waitFor());
    until(() -> othersHold(2, "LEFT"));
    for (int by : new int[] {0, 1, 3, 4}) {
      assertTrue(
          record(by).stream()
              .noneMatch(
                  l ->
                      l.path("other").path("number").asInt() == 2
                          && l.path("other").path("standing").asText().equals("DEAD")));
    }
  }

  @Test
  void whoeverHasNoKeyOrSendsNoiseIsNotHeard() throws Exception {
    life(ALL, "other-key");
    SplittableRandom chance = new SplittableRandom(1);
    try (DatagramSocket noise = new DatagramSocket()) {
      for (int i = 0; i < 2000; i++) {
        byte[] b = new byte[chance.nextInt(1, 1500)];
        chance.nextBytes(b);
        if (b.length > 6 && i % 2 == 0) {
          Arrays.fill(b, 2, 5, (byte) 0); // a number that could be
        }
        noise.send(
            new DatagramPacket(
                b, b.length, InetAddress.getByName("127.0.0.1"), ports.get(i % ALL)));
      }
    }
    until(() -> view(0).path("strangers").asLong() > 5 && view(0).path("unreadable").asLong() > 0);
    until(() -> view(ALL).path("strangers").asLong() > 0 || !record(ALL).isEmpty());
    assertEquals("ALIVE", all(0, 1, 2, 3, 4));
    assertEquals("unknown", standing(0, ALL));
    assertEquals(0, view(ALL).path("others").size());
  }

  @Test
  void aKeyThatIsShortAndAnAddressThatIsANameAreRefused() {
    Member named = new Member(0, "localhost:7000", 0, 0);
    assertThrows(
        IllegalArgumentException.class,
        () ->
            new MembershipNode(
                MembershipSettings.DEFAULT, named, List.of(), new byte[15], n -> {}));
    assertThrows(
        IllegalArgumentException.class,
        () ->
            new MembershipNode(
                MembershipSettings.DEFAULT, named, List.of(), new byte[16], n -> {}));
  }
}
