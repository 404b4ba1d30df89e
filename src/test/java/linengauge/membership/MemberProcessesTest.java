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
 * Five processes of the program exchange membership over loopback. The checks read what each
 * process records about the others.
 */
class MemberProcessesTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int PROCESSES = 5;

  @TempDir private Path directory;
  private final List<Integer> ports = new ArrayList<>();
  private final List<Process> processes = new ArrayList<>();
  private final List<Path> records = new ArrayList<>();

  @BeforeEach
  void start() throws Exception {
    Files.writeString(directory.resolve("key"), "a key of the whole fleet");
    Files.writeString(directory.resolve("other-key"), "a key of somebody else's");
    for (int i = 0; i <= PROCESSES; i++) {
      try (DatagramSocket free = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
        ports.add(free.getLocalPort());
      }
      records.add(null);
      processes.add(null);
    }
    for (int i = 0; i < PROCESSES; i++) {
      startProcess(i, "key");
    }
    awaitTrue(() -> commonState(0, 1, 2, 3, 4).equals("ALIVE"));
  }

  @AfterEach
  void stop() throws Exception {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly().waitFor();
      }
    }
  }

  private void startProcess(int number, String key) throws Exception {
    Path record = directory.resolve("record-" + number + "-" + System.nanoTime());
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
                directory.resolve(key).toString(),
                "--record",
                record.toString(),
                "--period-ms",
                "200")
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve("log-" + number).toFile())
            .start());
  }

  private void signal(int number, String name) throws Exception {
    assertEquals(
        0,
        new ProcessBuilder("kill", "-" + name, Long.toString(processes.get(number).pid()))
            .start()
            .waitFor());
  }

  private static void awaitTrue(BooleanSupplier condition) throws InterruptedException {
    for (int i = 0; i < 6000 && !condition.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertTrue(condition.getAsBoolean());
  }

  private List<JsonNode> readRecord(int number) {
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

  private JsonNode lastView(int number) {
    List<JsonNode> lines = readRecord(number);
    for (int i = lines.size() - 1; i >= 0; i--) {
      if (lines.get(i).path("what").asText().equals("holds")) {
        return lines.get(i);
      }
    }
    return JSON.createObjectNode();
  }

  private String stateSeen(int observer, int member) {
    for (JsonNode other : lastView(observer).path("others")) {
      if (other.path("number").asInt() == member) {
        return other.path("standing").asText();
      }
    }
    return "unknown";
  }

  /** Returns the state that these processes record of each other if all agree, else the counts. */
  private String commonState(int... numbers) {
    var counts = new TreeMap<String, Integer>();
    for (int observer : numbers) {
      for (int member : numbers) {
        if (observer != member) {
          counts.merge(stateSeen(observer, member), 1, Integer::sum);
        }
      }
    }
    return counts.size() == 1 ? counts.firstKey() : counts.toString();
  }

  private boolean othersSee(int member, String state) {
    for (int observer = 0; observer < PROCESSES; observer++) {
      if (observer != member && !stateSeen(observer, member).equals(state)) {
        return false;
      }
    }
    return true;
  }

  @Test
  void aPausedProcessIsDeclaredDeadAndRejoinsWithoutDeclaringOthersDead() throws Exception {
    signal(3, "STOP");
    awaitTrue(() -> othersSee(3, "DEAD"));
    assertEquals("ALIVE", commonState(0, 1, 2, 4));
    int before = readRecord(3).size();
    signal(3, "CONT");
    awaitTrue(() -> commonState(0, 1, 2, 3, 4).equals("ALIVE"));
    for (JsonNode line : readRecord(3).subList(before, readRecord(3).size())) {
      assertTrue(!line.path("other").path("standing").asText().equals("DEAD"), line.toString());
    }
  }

  @Test
  void aKilledProcessIsDeclaredDeadAndRejoinsAfterARestart() throws Exception {
    processes.get(0).destroyForcibly().waitFor(); // Process 0 is also a seed.
    awaitTrue(() -> othersSee(0, "DEAD"));
    startProcess(0, "key");
    awaitTrue(() -> commonState(0, 1, 2, 3, 4).equals("ALIVE"));
  }

  @Test
  void aProcessThatLeavesIsNeverDeclaredDead() throws Exception {
    processes.get(2).getOutputStream().write('\n');
    processes.get(2).getOutputStream().flush();
    assertEquals(0, processes.get(2).waitFor());
    awaitTrue(() -> othersSee(2, "LEFT"));
    for (int observer : new int[] {0, 1, 3, 4}) {
      assertTrue(
          readRecord(observer).stream()
              .noneMatch(
                  line ->
                      line.path("other").path("number").asInt() == 2
                          && line.path("other").path("standing").asText().equals("DEAD")));
    }
  }

  @Test
  void datagramsWithAWrongKeyOrRandomBytesAreDropped() throws Exception {
    startProcess(PROCESSES, "other-key");
    SplittableRandom random = new SplittableRandom(1);
    try (DatagramSocket noise = new DatagramSocket()) {
      for (int i = 0; i < 2000; i++) {
        byte[] bytes = new byte[random.nextInt(1, 1500)];
        random.nextBytes(bytes);
        if (bytes.length > 6 && i % 2 == 0) {
          Arrays.fill(bytes, 2, 5, (byte) 0); // A sender number that is in range.
        }
        noise.send(
            new DatagramPacket(
                bytes, bytes.length, InetAddress.getByName("127.0.0.1"), ports.get(i % PROCESSES)));
      }
    }
    awaitTrue(
        () ->
            lastView(0).path("strangers").asLong() > 5
                && lastView(0).path("unreadable").asLong() > 0);
    awaitTrue(
        () ->
            lastView(PROCESSES).path("strangers").asLong() > 0 || !readRecord(PROCESSES).isEmpty());
    assertEquals("ALIVE", commonState(0, 1, 2, 3, 4));
    assertEquals("unknown", stateSeen(0, PROCESSES));
    assertEquals(0, lastView(PROCESSES).path("others").size());
  }

  @Test
  void shortKeysAndHostNamesAreRejected() {
    Member named = new Member(0, "localhost:7000", 0, 0);
    assertThrows(
        IllegalArgumentException.class,
        () ->
            new MembershipNode(
                MembershipSettings.DEFAULT, named, List.of(), new byte[15], update -> {}));
    assertThrows(
        IllegalArgumentException.class,
        () ->
            new MembershipNode(
                MembershipSettings.DEFAULT, named, List.of(), new byte[16], update -> {}));
  }
}
