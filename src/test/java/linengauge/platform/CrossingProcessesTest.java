package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import linengauge.cli.Main;
import linengauge.standin.PlatformBox;
import linengauge.standin.PlatformJournal;
import linengauge.standin.PlatformTryOut;
import linengauge.standin.PlatformViewers;
import linengauge.standin.PlatformViewers.FrontMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Signals and limits of the system, crossing with what a front's process does; a real process each.
 */
@Timeout(60)
class CrossingProcessesTest {
  private static final int PLAYS = 9;
  private static final int OVER = 12;
  private static final int DESCRIPTORS = 256;
  @TempDir private Path dir;
  private final List<PlatformBox> boxes = new ArrayList<>();
  private PlatformJournal journal;
  private Path file;
  private Path log;
  private int port;
  private Process process;

  @BeforeEach
  void start() throws Exception {
    for (int i = 0; i < 2; i++) {
      boxes.add(new PlatformBox());
    }
    journal = new PlatformJournal(1);
    port = PlatformTryOut.freePort();
    file = dir.resolve("config.json");
    log = dir.resolve("log");
  }

  @AfterEach
  void stop() throws Exception {
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
    for (PlatformBox b : boxes) {
      b.close();
    }
    journal.close();
  }

  private String configuration() {
    return TryOut.configuration(
        port, journal.port(), boxes.stream().mapToInt(PlatformBox::port).toArray());
  }

  /** Its shell gives way to it, so that its id is that of the front. */
  private void run() throws IOException {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    // As it is run it has one archive open; here it has each library's.
    long libraries =
        Arrays.stream(System.getProperty("java.class.path").split(":"))
                .filter(p -> p.endsWith(".jar"))
                .count()
            - 1;
    ProcessBuilder run =
        new ProcessBuilder(
            "sh",
            "-c",
            "ulimit -n "
                + (DESCRIPTORS + libraries)
                + "; exec \"$0\" -Xmx64m -XX:TieredStopAtLevel=1 "
                + "-cp \"$1\" "
                + Main.class.getName()
                + " serve",
            java,
            System.getProperty("java.class.path"));
    run.environment().put("PROXY_CONFIG", file.toString());
    process = run.redirectErrorStream(true).redirectOutput(log.toFile()).start();
  }

  private void serves() throws Exception {
    Files.writeString(file, configuration());
    run();
    until(
        () -> {
          try (var v = new PlatformViewers(port)) {
            v.sendProbe();
            FrontMessage s = v.next(2000);
            return s != null && s.type() == 53;
          } catch (IOException | InterruptedException e) {
            return false;
          }
        });
  }

  private void signal(String name) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
  }

  private static void until(BooleanSupplier done) throws InterruptedException {
    for (int i = 0; i < 2000 && !done.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertTrue(done.getAsBoolean());
  }

  private static FrontMessage answer(PlatformViewers v, long id) throws InterruptedException {
    for (FrontMessage s = v.next(10_000); s != null; s = v.next(10_000)) {
      if (s.id() == id || s == FrontMessage.CLOSED) {
        return s;
      }
    }
    return null;
  }

  private static byte[] setUp(long id) {
    return PlatformViewers.setUp(id, "lesson", 5000, "");
  }

  @Test
  void toldToStopTwiceAndToReloadMeanwhileItReleasesAllThatPlaysAndEndsInOrder() throws Exception {
    serves();
    try (var a = new PlatformViewers(port);
        var b = new PlatformViewers(port)) {
      Set<Long> owed = new HashSet<>();
      for (long id = 1; id <= 60; id++) {
        PlatformViewers by = id % 2 == 0 ? a : b;
        by.send(setUp(id));
        if (answer(by, id).type() == PLAYS) {
          owed.add(id);
        }
      }
      assertTrue(owed.size() > 40);
      signal("TERM");
      signal("HUP");
      signal("TERM");
      a.send(setUp(100));
      assertNotNull(answer(a, 100), "what still comes is answered");
      for (PlatformViewers v : List.of(a, b)) {
        for (FrontMessage s = v.next(10_000);
            s != null && s != FrontMessage.CLOSED;
            s = v.next(10_000)) {
          if (s.type() == OVER) {
            owed.remove(s.id());
          }
        }
      }
      assertEquals(Set.of(), owed, "its end was not told");
    }
    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
    assertEquals(0, process.exitValue());
  }

  /**
   * A pipe holds the process in the reading of its configuration: it has its signals, and listens
   * not yet.
   */
  @Test
  void toldToStopBeforeItListensItEndsInOrder() throws Exception {
    assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
    run();
    try (var out = Files.newOutputStream(file)) { // opens once the process reads
      signal("TERM");
      signal("HUP");
      Path other = dir.resolve("other");
      assertEquals(0, new ProcessBuilder("mkfifo", other.toString()).start().waitFor());
      Files.move(
          other,
          file,
          StandardCopyOption
              .REPLACE_EXISTING); // a file that never comes: the reload waits for ever
      out.write(configuration().getBytes());
    }
    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
    assertEquals(0, process.exitValue(), Files.readString(log));
  }

  @Test
  void aConfigurationThatCannotBeUsedAtTheStartIsOneLineAndAFailure() throws Exception {
    Files.writeString(file, configuration().substring(0, 300));
    run();
    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
    assertEquals(1, process.exitValue());
    assertEquals(1, Files.readAllLines(log).size(), Files.readString(log));
  }

  /**
   * Idle clients take all that they can while the journal service is away: real viewers, boxes and
   * the list still find a place.
   */
  @Test
  void idleClientsFillingTheDescriptorsKeepNeitherViewersNorTheListOut() throws Exception {
    serves();
    int at = journal.port();
    journal.close();
    List<Socket> idle = new ArrayList<>();
    try {
      for (int i = 0; i < 2 * DESCRIPTORS; i++) {
        idle.add(new Socket(InetAddress.getLoopbackAddress(), port));
      }
      for (long id = 1; id <= 30; id++) {
        for (int i = 0; i < 10; i++) {
          idle.add(new Socket(InetAddress.getLoopbackAddress(), port));
        }
        try (var v = new PlatformViewers(port)) {
          v.send(setUp(id));
          FrontMessage s = answer(v, id);
          assertTrue(s != null && s.type() == PLAYS, "viewing " + id + ": " + s);
        }
      }
      journal = new PlatformJournal(1, at);
      until(() -> !journal.requestedPositions.isEmpty());
      journal.publish(PlatformJournal.record(1, boxes.get(0).port(), 1, 0, 0));
      try (var v = new PlatformViewers(port)) {
        until(
            () -> {
              try {
                long before = boxes.get(0).receivedCount("START");
                for (long id = 1000 + 10 * before; id < 1010 + 10 * before; id++) {
                  v.send(setUp(id));
                  answer(v, id);
                }
                return boxes.get(0).receivedCount("START") == before;
              } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
              }
            });
      }
      assertTrue(process.isAlive());
      assertFalse(
          Files.readString(log).contains("Too many open files"), "an accept found no descriptor");
    } finally {
      for (Socket s : idle) {
        s.close();
      }
    }
  }
}
