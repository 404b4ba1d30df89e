package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
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
import java.util.function.Consumer;
import java.util.stream.IntStream;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

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

  private void replaceConfiguration(Consumer<PrintStream> content) throws IOException {
    Path next = dir.resolve("next");
    try (var out = new PrintStream(new BufferedOutputStream(Files.newOutputStream(next)))) {
      content.accept(out);
    }
    Files.move(next, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  private void assertServes(long id) throws Exception {
    try (var client = new PlatformViewers(port)) {
      client.send(setUp(id));
      FrontMessage reply = awaitReply(client, id);
      assertTrue(reply != null && reply.type() == ANSWERED, id + ": " + reply);
    }
  }

  /**
   * Guards against a reload that ends the front for want of heap (review/6): the known events of
   * the new configuration, which the front has had already, are larger than its heap.
   */
  @Test
  void aReloadTakesNoHeapForTheKnownEvents() throws Exception {
    startServing();
    try (var nextJournal = new PlatformJournal(1)) {
      String text =
          configuration().replace("127.0.0.1:" + journal.port(), "127.0.0.1:" + nextJournal.port());
      int endOfRows = text.indexOf("]}}]}");
      replaceConfiguration(
          out -> {
            out.append(text, 0, endOfRows);
            for (int i = 0; i < 300_000; i++) {
              out.printf(
                  ",{\"uid\":\"s-%08x\",\"endpoint\":\"127.0.0.1:9\",\"az\":\"hall\","
                      + "\"model\":\"box\",\"pod_group\":1,\"state\":\"removed\",\"boot_ms\":0}",
                  1000 + i);
            }
            out.append(text, endOfRows, text.length());
          });
      signal("HUP");
      waitUntil(() -> !nextJournal.requestedPositions.isEmpty() || !process.isAlive());
      assertTrue(process.isAlive(), Files.readString(log));
      assertServes(1);
    }
  }

  /** More of one thing than any configuration needs, and more than the heap holds. */
  private enum Excess {
    TEXT {
      @Override
      void write(PrintStream out) {
        String part = "x".repeat(1 << 20);
        out.append("\"listen\":\"");
        IntStream.range(0, 100).forEach(i -> out.append(part));
        out.append("\"");
      }
    },
    VALUES {
      @Override
      void write(PrintStream out) {
        out.append("\"settings\":[0");
        IntStream.range(0, 4_000_000).forEach(i -> out.append(",0"));
        out.append("]");
      }
    },
    NAMES {
      @Override
      void write(PrintStream out) {
        out.append("\"n\":0");
        IntStream.range(0, 1_000_000).forEach(i -> out.append(",\"n" + i + "\":0"));
        out.append(",\"known\":0");
      }
    };

    abstract void write(PrintStream out);
  }

  /**
   * Guards against a reload that ends the front for want of heap: one that fails leaves the front
   * as it was, whatever the file contains.
   */
  @ParameterizedTest
  @EnumSource
  void aFileThatCannotBeUsedLeavesTheFrontAsItWas(Excess excess) throws Exception {
    startServing();
    String text = configuration().replaceFirst(".known.:", "\"unknown\":");
    replaceConfiguration(
        out -> {
          out.append("{");
          excess.write(out);
          out.append(",").append(text, 1, text.length());
        });
    signal("HUP");
    waitUntil(() -> readLog().contains("new configuration rejected") || !process.isAlive());
    assertTrue(process.isAlive(), readLog());
    assertServes(1);
    assertEquals(1, journal.requestedPositions.size(), "the stream of events has gone on");
  }

  private String readLog() {
    try {
      return Files.readString(log);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
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
