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
 * A front's process, and servers that read each connection after a latency of its own: what leaves
 * on two connections is read in any order.
 */
@Timeout(120)
class RetryOrderProcessesTest {
  private static final int SERVERS = 3;
  private static final int REQUESTS = 120;
  private static final int REQUEST_EACH_MS = 50;
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
    ProcessBuilder run =
        new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx64m",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("java.class.path"),
            Main.class.getName(),
            "serve");
    run.environment().put("PROXY_CONFIG", file.toString());
    process = run.redirectErrorStream(true).redirectOutput(dir.resolve("log").toFile()).start();
    for (int i = 0; i < 1000 && !passesTest(); i++) {
      Thread.sleep(10);
    }
  }

  private boolean passesTest() throws InterruptedException {
    try (var viewers = new PlatformViewers(port)) {
      viewers.sendProbe();
      FrontMessage said = viewers.next(2000);
      return said != null && said.type() == TEST_PASSED;
    } catch (IOException e) {
      return false; // not listening yet
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

  /** Asks for sessions at an even pace, ends each that stands, and returns the answers by id. */
  private Map<Long, Integer> ask() throws Exception {
    Map<Long, Integer> answers = new HashMap<>();
    try (var viewers = new PlatformViewers(port)) {
      for (long id = 1; id <= REQUESTS; id++) {
        viewers.send(PlatformViewers.setUp(id, "lesson", DEADLINE_MS, ""));
        hear(viewers, answers, REQUEST_EACH_MS);
      }
      for (int i = 0; i < DEADLINE_MS / 100 && answers.size() < REQUESTS; i++) {
        hear(viewers, answers, 100);
      }
    }
    return answers;
  }

  private static void hear(PlatformViewers viewers, Map<Long, Integer> answers, long ms)
      throws Exception {
    long until = System.nanoTime() + ms * 1_000_000;
    for (long left = ms; left > 0; left = (until - System.nanoTime()) / 1_000_000) {
      FrontMessage said = viewers.next(left);
      if (said != null && said.type() == ANSWERED) {
        answers.put(said.id(), ANSWERED);
        viewers.end(said.id(), 16);
      } else if (said != null && said.type() == RELEASED) {
        answers.putIfAbsent(said.id(), RELEASED);
      }
    }
  }

  private void noneOvertakes(long seed, Faults faults) throws Exception {
    start(seed, faults);
    Map<Long, Integer> answers = ask();
    List<String> overtaken = new ArrayList<>();
    servers.forEach(server -> overtaken.addAll(server.overlappingAttempts()));
    assertEquals(List.of(), overtaken, () -> logged(overtaken));
    assertEquals(REQUESTS, answers.size(), "each request is answered");
    assertTrue(answers.containsValue(ANSWERED), "some are served");
  }

  /** What the front's own log says of the first of them. */
  private String logged(List<String> overtaken) {
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
    noneOvertakes(seed, new Faults(200, 0.5, 0, 0, 0, 200, 450, false, 0));
  }

  /** Guards against a retry that reaches a server before the close that ended the one before it. */
  @ParameterizedTest
  @ValueSource(longs = {11, 12})
  void aRetryNeverReachesAServerBeforeTheCloseOfTheConnectionBeforeIt(long seed) throws Exception {
    noneOvertakes(seed, new Faults(200, 0.2, 0.4, 0.1, 0.1, 50, 350, false, 0));
  }
}
