package linengauge.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import linengauge.cli.Main;
import linengauge.standin.FaultyDatagramLinks;
import linengauge.standin.FaultyLink;

/**
 * Control machines `c0` to `c2` and fronts `f10` and up as processes of the program, each with a
 * link of its own to each control machine, and their records.
 */
final class LeaseProcesses {
  static final int MACHINES = 3;
  static final long HEARTBEAT_MS = 250;
  private static final int FIRST_FRONT = 10;
  private static final int MOST_FRONTS = 6;
  private static final long BEAT_MS = 60;
  private static final String HERE = "127.0.0.1:";
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Path dir = Files.createTempDirectory("lease-processes");
  private final Vertx vertx = Vertx.vertx();
  private final FaultyDatagramLinks datagrams = new FaultyDatagramLinks();
  private final Map<String, Integer> ports = new TreeMap<>();
  private final int[] logPorts = new int[MACHINES];
  private final int[] gossipPorts = new int[MOST_FRONTS];
  private final Map<String, FaultyDatagramLinks.Link> links = new TreeMap<>();
  private final FaultyLink[][] logLinks = new FaultyLink[MACHINES][MACHINES];
  private final int[][] logWays = new int[MACHINES][MACHINES];
  private final Map<String, Process> processes = new TreeMap<>();
  private final Map<String, List<Path>> records = new TreeMap<>();

  LeaseProcesses() throws Exception {
    Files.writeString(dir.resolve("key"), "a key of the whole fleet");
    Files.writeString(dir.resolve("other-key"), "a key of somebody else's");
    for (int machine = 0; machine < MACHINES; machine++) {
      ports.put("c" + machine, freePort());
      try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
        logPorts[machine] = free.getLocalPort();
      }
    }
    for (int front = 0; front < MOST_FRONTS; front++) {
      ports.put("f" + (FIRST_FRONT + front), freePort());
      gossipPorts[front] = freePort();
    }
    for (int from = 0; from < MACHINES; from++) {
      for (int to = 0; to < MACHINES; to++) {
        logLinks[from][to] = new FaultyLink(vertx, "127.0.0.1", logPorts[to]);
        logWays[from][to] =
            logLinks[from][to].open().toCompletionStage().toCompletableFuture().get();
      }
    }
    for (String from : ports.keySet()) {
      for (int to = 0; to < MACHINES; to++) {
        links.put(from + ">" + to, datagrams.open(ports.get("c" + to)));
      }
    }
  }

  private static int freePort() throws IOException {
    try (DatagramSocket free = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      return free.getLocalPort();
    }
  }

  static String freeAddress() throws IOException {
    return HERE + freePort();
  }

  int port(String who) {
    return ports.get(who);
  }

  static void until(BooleanSupplier done) throws InterruptedException {
    for (int i = 0; i < 3000 && !done.getAsBoolean(); i++) {
      Thread.sleep(20);
    }
    assertTrue(done.getAsBoolean());
  }

  void startMachine(int number) throws IOException {
    List<String> command = command("control", "c" + number, "key");
    command.addAll(
        List.of(
            "--number",
            "" + number,
            "--listen",
            HERE + ports.get("c" + number),
            "--log-listen",
            HERE + logPorts[number],
            "--store",
            dir.resolve("store-" + number).toString(),
            "--beat-ms",
            "" + BEAT_MS));
    for (int voter = 0; voter < MACHINES; voter++) {
      command.addAll(List.of("--voter", voter + "=" + HERE + logPorts[voter]));
      command.addAll(List.of("--way", voter + "=" + HERE + logWays[number][voter]));
    }
    start("c" + number, command);
  }

  void startFront(int number, String key, boolean leases, boolean gossips) throws IOException {
    List<String> command = command("lease-member", "f" + number, key);
    command.addAll(List.of("--number", "" + number, "--region", "" + number % MACHINES));
    if (leases) {
      command.addAll(List.of("--at", HERE + ports.get("f" + number)));
    }
    if (gossips) {
      command.addAll(List.of("--gossip-at", HERE + gossipPorts[number - FIRST_FRONT]));
      command.addAll(List.of("--seed", HERE + gossipPorts[0], "--seed", HERE + gossipPorts[3]));
    }
    start("f" + number, command);
  }

  private List<String> command(String subcommand, String who, String key) {
    Path record = dir.resolve("record-" + who + "-" + System.nanoTime());
    records.computeIfAbsent(who, w -> new ArrayList<>()).add(record);
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
                subcommand,
                "--key-file",
                dir.resolve(key).toString(),
                "--record",
                record.toString(),
                "--heartbeat-ms",
                "" + HEARTBEAT_MS));
    for (int to = 0; to < MACHINES; to++) {
      command.addAll(
          List.of("--machine", to + "=" + to + "@" + HERE + links.get(who + ">" + to).port()));
    }
    return command;
  }

  private void start(String who, List<String> command) throws IOException {
    processes.put(
        who,
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(dir.resolve("log-" + who).toFile())
            .start());
  }

  void kill(String who) throws InterruptedException {
    processes.get(who).destroyForcibly().waitFor();
  }

  void signal(String who, String name) throws Exception {
    String pid = Long.toString(processes.get(who).pid());
    assertEquals(0, new ProcessBuilder("kill", "-" + name, pid).start().waitFor());
  }

  void endInput(String who) throws Exception {
    processes.get(who).getOutputStream().close();
    assertEquals(0, processes.get(who).waitFor());
  }

  /** What a control machine says is heard by no other, or is again. */
  void cutMachine(int machine, boolean cut) {
    for (int to = 0; to < MACHINES; to++) {
      if (to != machine) {
        links.get("c" + machine + ">" + to).dropRequests(cut);
        logLinks[machine][to].holdRequests(cut);
      }
    }
  }

  /** What a front says is not heard by that control machine, or is again. */
  void cutFront(int front, int machine, boolean cut) {
    links.get("f" + front + ">" + machine).dropRequests(cut);
  }

  private static List<JsonNode> lines(Path record) {
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

  /** All lines of this life of the front's process. */
  List<JsonNode> ofFront(int number) {
    return lines("f" + number);
  }

  private List<JsonNode> lines(String who) {
    List<Path> lives = records.getOrDefault(who, List.of());
    return lives.isEmpty() ? List.of() : lines(lives.get(lives.size() - 1));
  }

  JsonNode lastOfFront(int number, String what) {
    return last("f" + number, what);
  }

  /** The last line of that kind in this life. */
  JsonNode last(String who, String what) {
    List<JsonNode> all = lines(who);
    for (int i = all.size() - 1; i >= 0; i--) {
      if (all.get(i).path("what").asText().equals(what)) {
        return all.get(i);
      }
    }
    return JSON.createObjectNode();
  }

  /** Whom all control machines that run take for the one that leads; -1 where they differ. */
  int leader() {
    Set<Integer> told = new TreeSet<>();
    for (int machine = 0; machine < MACHINES; machine++) {
      Process process = processes.get("c" + machine);
      boolean fresh =
          System.currentTimeMillis() - last("c" + machine, "holds").path("at").asLong() < 1000;
      if (process.isAlive() && fresh) {
        told.add(last("c" + machine, "holds").path("leader").asInt(-1));
      }
    }
    return told.size() == 1 ? told.iterator().next() : -1;
  }

  static Set<Integer> numbers(JsonNode all) {
    Set<Integer> numbers = new TreeSet<>();
    all.forEach(one -> numbers.add(one.isInt() ? one.asInt() : one.path("number").asInt()));
    return numbers;
  }

  /** All lives of all, as the judge names them. */
  Map<String, List<JsonNode>> lives() {
    Map<String, List<JsonNode>> all = new TreeMap<>();
    records.forEach(
        (who, lives) -> {
          for (int life = 0; life < lives.size(); life++) {
            all.put(who + "/" + life, lines(lives.get(life)));
          }
        });
    return all;
  }

  void close() throws Exception {
    for (Process process : processes.values()) {
      process.destroyForcibly().waitFor();
    }
    datagrams.close();
    vertx.close().toCompletionStage().toCompletableFuture().get();
    try (Stream<Path> all = Files.walk(dir)) {
      for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }
}
