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

/** Signals and system limits at critical moments of a front, each with a real process. */
@Timeout(60)
class SignalsAndLimitsProcessesTest {
  private static final int ANSWERED = 9;
  private static final int RELEASED = 12;
  private static final int DESCRIPTORS = 256;
  @TempDir private Path dir;
  private final List<PlatformBox> servers = new ArrayList<>();
  private PlatformJournal journal;
  private Path file;
  private Path log;
  private int port;
  private Process process;

  @BeforeEach
  void start() throws Exception {
    for (int i = 0; i < 2; i++) {
      servers.add(new PlatformBox());
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
    for (PlatformBox server : servers) {
      server.close();
    }
    journal.close();
  }

  private String configuration() {
    return TryOut.configuration(
        port, journal.port(), servers.stream().mapToInt(PlatformBox::port).toArray());
  }

  /** The shell replaces itself with the front, so that the process id is the front's. */
  private void startProcess() throws IOException {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    // The packaged front has a single archive open; here each library has one of its own.
    long libraries =
        Arrays.stream(System.getProperty("java.class.path").split(":"))
                .filter(entry -> entry.endsWith(".jar"))
                .count()
            - 1;
    ProcessBuilder builder =
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
    builder.environment().put("PROXY_CONFIG", file.toString());
    process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
  }

  private void startServing() throws Exception {
    Files.writeString(file, configuration());
    startProcess();
    waitUntil(
        () -> {
          try (var client = new PlatformViewers(port)) {
            client.sendProbe();
            FrontMessage reply = client.next(2000);
            return reply != null && reply.type() == 53;
          } catch (IOException | InterruptedException e) {
            return false;
          }
        });
  }

  private void signal(String name) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
  }

  private static void waitUntil(BooleanSupplier done) throws InterruptedException {
    for (int i = 0; i < 2000 && !done.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertTrue(done.getAsBoolean());
  }

  private static FrontMessage awaitReply(PlatformViewers client, long id)
      throws InterruptedException {
    for (FrontMessage reply = client.next(10_000); reply != null; reply = client.next(10_000)) {
      if (reply.id() == id || reply == FrontMessage.CLOSED) {
        return reply;
      }
    }
    return null;
  }

  private static byte[] setUp(long id) {
    return PlatformViewers.setUp(id, "lesson", 5000, "");
  }

  @Test
  void repeatedStopAndReloadSignalsReleaseAllSessionsAndExitCleanly() throws Exception {
    startServing();
    try (var first = new PlatformViewers(port);
        var second = new PlatformViewers(port)) {
      Set<Long> unreleased = new HashSet<>();
      for (long id = 1; id <= 60; id++) {
        PlatformViewers sender = id % 2 == 0 ? first : second;
        sender.send(setUp(id));
        if (awaitReply(sender, id).type() == ANSWERED) {
          unreleased.add(id);
        }
      }
      assertTrue(unreleased.size() > 40);
      signal("TERM");
      signal("HUP");
      signal("TERM");
      first.send(setUp(100));
      assertNotNull(awaitReply(first, 100), "requests that still arrive are answered");
      for (PlatformViewers client : List.of(first, second)) {
        for (FrontMessage message = client.next(10_000);
            message != null && message != FrontMessage.CLOSED;
            message = client.next(10_000)) {
          if (message.type() == RELEASED) {
            unreleased.remove(message.id());
          }
        }
      }
      assertEquals(Set.of(), unreleased, "sessions that were not released");
    }
    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
    assertEquals(0, process.exitValue());
  }

  /**
   * A named pipe blocks the process in reading its configuration: its signal handlers are
   * installed, and it does not listen yet.
   */
  @Test
  void aStopSignalBeforeListeningExitsCleanly() throws Exception {
    assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
    startProcess();
    try (var out = Files.newOutputStream(file)) { // The open returns once the process reads.
      signal("TERM");
      signal("HUP");
      Path neverWritten = dir.resolve("other");
      assertEquals(0, new ProcessBuilder("mkfifo", neverWritten.toString()).start().waitFor());
      // This file never yields any data: the reload blocks for ever.
      Files.move(neverWritten, file, StandardCopyOption.REPLACE_EXISTING);
      out.write(configuration().getBytes());
    }
    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
    assertEquals(0, process.exitValue(), Files.readString(log));
  }

  @Test
  void anUnusableConfigurationAtStartIsReportedInOneLine() throws Exception {
    Files.writeString(file, configuration().substring(0, 300));
    startProcess();
    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
    assertEquals(1, process.exitValue());
    assertEquals(1, Files.readAllLines(log).size(), Files.readString(log));
  }

  /**
   * Idle clients open as many connections as they can while the journal service is down; active
   * clients, servers and discovery still get a descriptor.
   */
  @Test
  void idleConnectionsFillingTheDescriptorsBlockNeitherClientsNorDiscovery() throws Exception {
    startServing();
    int journalPort = journal.port();
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
        try (var client = new PlatformViewers(port)) {
          client.send(setUp(id));
          FrontMessage reply = awaitReply(client, id);
          assertTrue(reply != null && reply.type() == ANSWERED, "session " + id + ": " + reply);
        }
      }
      journal = new PlatformJournal(1, journalPort);
      waitUntil(() -> !journal.requestedPositions.isEmpty());
      journal.publish(PlatformJournal.record(1, servers.get(0).port(), 1, 0, 0));
      try (var client = new PlatformViewers(port)) {
        waitUntil(
            () -> {
              try {
                long before = servers.get(0).receivedCount("START");
                for (long id = 1000 + 10 * before; id < 1010 + 10 * before; id++) {
                  client.send(setUp(id));
                  awaitReply(client, id);
                }
                return servers.get(0).receivedCount("START") == before;
              } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
              }
            });
      }
      assertTrue(process.isAlive());
      assertFalse(
          Files.readString(log).contains("Too many open files"),
          "the accept failed for lack of descriptors");
    } finally {
      for (Socket socket : idle) {
        socket.close();
      }
    }
  }
}
