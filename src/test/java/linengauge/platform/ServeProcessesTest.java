package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
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
 * Front processes with real signals: reloaded, frozen, killed and stopped; verified by what their
 * peers received.
 */
@Timeout(120)
class ServeProcessesTest {
  private static final int ANSWERED = 9;
  private static final int RELEASED = 12;

  private final class Front {
    private final int port;
    private final Path file;
    private final Path classes;
    private Process process;

    private Front(int number) throws Exception {
      port = PlatformTryOut.freePort();
      file = dir.resolve("front-" + number + ".json");
      classes = dir.resolve("classes-" + number + ".log");
      writeConfiguration(journal);
    }

    private void writeConfiguration(PlatformJournal source) throws Exception {
      Files.writeString(
          file,
          TryOut.configuration(
              port, source.port(), servers.stream().mapToInt(PlatformBox::port).toArray()));
    }

    private void start() throws Exception {
      ProcessBuilder builder =
          new ProcessBuilder(
              Path.of(System.getProperty("java.home"), "bin", "java").toString(),
              "-Xmx64m",
              "-XX:TieredStopAtLevel=1",
              "-Xlog:class+load:file=" + classes,
              "-cp",
              System.getProperty("java.class.path"),
              Main.class.getName(),
              "serve");
      builder.environment().put("PROXY_CONFIG", file.toString());
      process =
          builder
              .redirectErrorStream(true)
              .redirectOutput(dir.resolve("log-" + port).toFile())
              .start();
      waitUntil(this::passesTest);
    }

    private boolean passesTest() {
      try (var client = new PlatformViewers(port)) {
        client.sendProbe();
        FrontMessage reply = client.next(2000);
        return reply != null && reply.type() == 53;
      } catch (Exception e) {
        return false;
      }
    }

    private void signal(String name) throws Exception {
      assertEquals(
          0,
          new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
    }
  }

  @TempDir private Path dir;
  private final List<PlatformBox> servers = new ArrayList<>();
  private final List<Front> fronts = new ArrayList<>();
  private PlatformJournal journal;

  @BeforeEach
  void start() throws Exception {
    for (int i = 0; i < 3; i++) {
      servers.add(new PlatformBox());
    }
    journal = new PlatformJournal(1);
    for (int i = 0; i < 3; i++) {
      fronts.add(new Front(i));
    }
    for (Front front : fronts) {
      front.start();
    }
  }

  @AfterEach
  void stop() throws Exception {
    for (Front front : fronts) {
      front.process.destroyForcibly().waitFor();
    }
    for (PlatformBox server : servers) {
      server.close();
    }
    journal.close();
  }

  private static void waitUntil(BooleanSupplier done) throws InterruptedException {
    for (int i = 0; i < 2000 && !done.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertTrue(done.getAsBoolean());
  }

  private static String tag(long id) {
    return String.format("%016x", id);
  }

  private boolean isPlayingAnywhere(long id) {
    return servers.stream().anyMatch(server -> server.playing().containsKey(tag(id)));
  }

  /** Receives messages until they concern the given number of ids. */
  private static Map<Long, List<FrontMessage>> receiveReplies(PlatformViewers client, int ids)
      throws Exception {
    Map<Long, List<FrontMessage>> replies = new HashMap<>();
    while (replies.size() < ids) {
      FrontMessage reply = client.next(20_000);
      assertTrue(
          reply != null && reply != FrontMessage.CLOSED,
          "received messages of " + replies.keySet());
      replies.computeIfAbsent(reply.id(), key -> new ArrayList<>()).add(reply);
    }
    for (FrontMessage reply = client.next(300); reply != null; reply = client.next(1)) {
      replies.computeIfAbsent(reply.id(), key -> new ArrayList<>()).add(reply);
    }
    return replies;
  }

  @Test
  void frozenRestartedAndReloadedFrontsReleaseEverySession() throws Exception {
    Front frozen = fronts.get(0);
    Front killed = fronts.get(1);
    Front reloaded = fronts.get(2);
    try (var clientOfFrozen = new PlatformViewers(frozen.port);
        var next = new PlatformJournal(1)) {
      // Frozen beyond the time limit of its requests: each is answered once, and no server keeps an
      // orphaned session.
      frozen.signal("STOP");
      for (long id = 100; id < 110; id++) {
        clientOfFrozen.send(PlatformViewers.setUp(id, "lesson", 300, ""));
      }
      Thread.sleep(700);
      // Meanwhile another is killed with established sessions, and restarted: they are handed
      // over to it, and it reports their ends.
      try (var clientOfKilled = new PlatformViewers(killed.port)) {
        for (long id = 200; id < 206; id++) {
          clientOfKilled.send(PlatformViewers.setUp(id, "lesson", 5000, ""));
        }
        receiveReplies(clientOfKilled, 6)
            .forEach(
                (id, replies) ->
                    assertEquals(
                        List.of(ANSWERED), replies.stream().map(FrontMessage::type).toList()));
      }
      killed.process.destroyForcibly().waitFor();
      frozen.signal("CONT");
      receiveReplies(clientOfFrozen, 10)
          .forEach(
              (id, replies) ->
                  assertEquals(
                      List.of(RELEASED),
                      replies.stream().map(FrontMessage::type).toList(),
                      "session " + id));
      for (long id = 100; id < 110; id++) {
        long clientGone = id;
        waitUntil(() -> !isPlayingAnywhere(clientGone));
      }
      killed.start();
      try (var clientOfKilled = new PlatformViewers(killed.port)) {
        for (long id = 200; id < 206; id++) {
          for (int index = 0; index < 3; index++) {
            if (servers.get(index).playing().containsKey(tag(id))) {
              clientOfKilled.send(
                  PlatformViewers.setUp(
                      id, "lesson", 0, ";at:" + String.format("s-%08x", index + 1)));
            }
          }
        }
        waitUntil(
            () ->
                servers.stream()
                    .filter(server -> !server.playing().isEmpty())
                    .allMatch(server -> server.connections() > 0));
        Thread.sleep(300);
        for (PlatformBox server : servers) {
          for (String tag : List.copyOf(server.playing().keySet())) {
            server.sendToAll(
                ("{\"verb\":\"FINISH\",\"tag\":\"" + tag + "\",\"opts\":{},\"rc\":16}\n")
                    .getBytes());
          }
        }
        receiveReplies(clientOfKilled, 6)
            .forEach(
                (id, replies) ->
                    assertEquals(
                        List.of(RELEASED),
                        replies.stream().map(FrontMessage::type).toList(),
                        "session " + id));
      }
      // SIGHUP moves the journal service: events of the new one apply.
      reloaded.writeConfiguration(next);
      reloaded.signal("HUP");
      waitUntil(() -> next.requestedPositions.contains(1L));
      next.publish(
          PlatformJournal.record(1, servers.get(0).port(), 1, 0, 0),
          PlatformJournal.record(2, servers.get(1).port(), 1, 1, 0));
      Thread.sleep(300);
      long before = servers.get(0).receivedCount("START") + servers.get(1).receivedCount("START");
      try (var clientOfReloaded = new PlatformViewers(reloaded.port)) {
        for (long id = 300; id < 306; id++) {
          clientOfReloaded.send(PlatformViewers.setUp(id, "lesson", 5000, ""));
        }
        receiveReplies(clientOfReloaded, 6);
        // SIGTERM: requests that still arrive are answered, and the process exits cleanly.
        reloaded.signal("TERM");
        clientOfReloaded.send(PlatformViewers.setUp(306, "lesson", 5000, ""));
        assertTrue(receiveReplies(clientOfReloaded, 1).containsKey(306L));
      }
      assertEquals(
          before,
          servers.get(0).receivedCount("START") + servers.get(1).receivedCount("START"),
          "both servers drain");
      assertEquals(0, reloaded.process.waitFor());
    }
  }

  @Test
  void serveLoadsOnlyItsOwnPackages() throws Exception {
    try (var client = new PlatformViewers(fronts.get(0).port)) {
      client.send(PlatformViewers.setUp(7, "lesson", 5000, ""));
      receiveReplies(client, 1);
    }
    var packages = new TreeSet<String>();
    for (String line : Files.readAllLines(fronts.get(0).classes)) {
      int start = line.indexOf(" linengauge.");
      if (start >= 0) {
        String name = line.substring(start + 1, line.indexOf(' ', start + 1));
        packages.add(name.substring(0, name.lastIndexOf('.')));
      }
    }
    assertTrue(
        packages.containsAll(List.of("linengauge", "linengauge.platform", "linengauge.session")),
        packages.toString());
    // `serve` uses neither lease-based membership nor the replicated log nor their benchmarks:
    // it must not load any of their classes.
    for (String unused : List.of("membership", "lease", "consensus", "scale", "udp")) {
      assertTrue(
          packages.stream()
              .noneMatch(name -> (name + ".").startsWith("linengauge." + unused + ".")),
          unused + " in " + packages);
    }
    packages.removeAll(
        List.of(
            "linengauge",
            "linengauge.settings",
            "linengauge.net",
            "linengauge.cli",
            "linengauge.platform",
            "linengauge.platform.codec",
            "linengauge.platform.connection",
            "linengauge.session"));
    assertEquals(new TreeSet<>(), packages);
  }
}
