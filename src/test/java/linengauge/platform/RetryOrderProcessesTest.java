package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import linengauge.cli.Main;
import linengauge.standin.FaultyServer;
import linengauge.standin.FaultyServer.Faults;
import linengauge.standin.PlatformJournal;
import linengauge.standin.PlatformTryOut;
import linengauge.standin.PlatformViewers;
import linengauge.standin.PlatformViewers.FrontMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A front process with servers that read each connection after a latency of its own, so that data
 * sent on two connections is read in any order.
 */
@Timeout(120)
class RetryOrderProcessesTest {
  private static final int SERVERS = 3;
  private static final int REQUESTS = 120;
  private static final int REQUEST_INTERVAL_MS = 50;
  private static final int DEADLINE_MS = 3000;
  private static final int TEST_PASSED = 53;
  private static final int ANSWERED = 9;
  private static final int RELEASED = 12;
  @TempDir private Path dir;
  private final List<FaultyServer> servers = new ArrayList<>();
  private PlatformJournal journal;
  private Process process;
  private int port;

  private void start(long seed, Faults faults) throws Exception {
    for (int i = 0; i < SERVERS; i++) {
      servers.add(new FaultyServer("s-" + i, seed * SERVERS + i, 0, faults));
    }
    journal = new PlatformJournal(1);
    port = PlatformTryOut.freePort();
    Path file = dir.resolve("config.json");
    Files.writeString(
        file,
        TryOut.configuration(
            port, journal.port(), servers.stream().mapToInt(FaultyServer::port).toArray()));
    ProcessBuilder builder =
        new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx64m",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("java.class.path"),
            Main.class.getName(),
            "serve");
    builder.environment().put("PROXY_CONFIG", file.toString());
    process = builder.redirectErrorStream(true).redirectOutput(dir.resolve("log").toFile()).start();
    for (int i = 0; i < 1000 && !passesTest(); i++) {
      Thread.sleep(10);
    }
  }

  private boolean passesTest() throws InterruptedException {
    try (var client = new PlatformViewers(port)) {
      client.sendProbe();
      FrontMessage reply = client.next(2000);
      return reply != null && reply.type() == TEST_PASSED;
    } catch (IOException e) {
      return false; // It is not listening yet.
    }
  }

  @AfterEach
  void stop() throws Exception {
    process.destroyForcibly().waitFor();
    for (FaultyServer server : servers) {
      server.close();
    }
    journal.close();
  }

  /** Requests sessions at an even rate, ends those established, and returns the answers by id. */
  private Map<Long, Integer> runRequests() throws Exception {
    Map<Long, Integer> answers = new HashMap<>();
    try (var client = new PlatformViewers(port)) {
      for (long id = 1; id <= REQUESTS; id++) {
        client.send(PlatformViewers.setUp(id, "lesson", DEADLINE_MS, ""));
        receiveReplies(client, answers, REQUEST_INTERVAL_MS);
      }
      for (int i = 0; i < DEADLINE_MS / 100 && answers.size() < REQUESTS; i++) {
        receiveReplies(client, answers, 100);
      }
    }
    return answers;
  }

  private static void receiveReplies(PlatformViewers client, Map<Long, Integer> answers, long ms)
      throws Exception {
    long until = System.nanoTime() + ms * 1_000_000;
    for (long left = ms; left > 0; left = (until - System.nanoTime()) / 1_000_000) {
      FrontMessage reply = client.next(left);
      if (reply != null && reply.type() == ANSWERED) {
        answers.put(reply.id(), ANSWERED);
        client.end(reply.id(), 16);
      } else if (reply != null && reply.type() == RELEASED) {
        answers.putIfAbsent(reply.id(), RELEASED);
      }
    }
  }

  private void assertNoneOvertaken(long seed, Faults faults) throws Exception {
    start(seed, faults);
    Map<Long, Integer> answers = runRequests();
    List<String> overtaken = new ArrayList<>();
    servers.forEach(server -> overtaken.addAll(server.overlappingAttempts()));
    assertEquals(List.of(), overtaken, () -> logOfFirst(overtaken));
    assertEquals(REQUESTS, answers.size(), "each request is answered");
    assertTrue(answers.containsValue(ANSWERED), "some are served");
  }

  /** Returns the front's log of the first overtaken request. */
  private String logOfFirst(List<String> overtaken) {
    String request = overtaken.get(0).split(" ")[1];
    try {
      return Files.readAllLines(dir.resolve("log")).stream()
          .filter(line -> line.contains(request))
          .collect(Collectors.joining("\n"));
    } catch (IOException e) {
      return "no log: " + e.getMessage();
    }
  }

  /** Guards against a retry that reaches a server before the end of the attempt it follows. */
  @ParameterizedTest
  @ValueSource(longs = {2, 3})
  void aRetryNeverReachesAServerBeforeTheEndOfTheAttemptBeforeIt(long seed) throws Exception {
    assertNoneOvertaken(seed, new Faults(200, 0.5, 0, 0, 0, 200, 450, false, 0));
  }

  /** Guards against a retry that reaches a server before the close that ended the one before it. */
  @ParameterizedTest
  @ValueSource(longs = {11, 12})
  void aRetryNeverReachesAServerBeforeTheCloseOfTheConnectionBeforeIt(long seed) throws Exception {
    assertNoneOvertaken(seed, new Faults(200, 0.2, 0.4, 0.1, 0.1, 50, 350, false, 0));
  }
}
