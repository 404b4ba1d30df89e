package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import linengauge.standin.PlatformBox;
import linengauge.standin.PlatformBox.Behavior;
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

/**
 * A front of the platform on loopback with simulated clients, servers and journal service; verified
 * by what these received.
 */
@Timeout(60)
class ServiceTest {
  private static final int ANSWERED = 9;
  private static final int RELEASED = 12;
  @TempDir private Path dir;
  private final List<PlatformBox> servers = new ArrayList<>();
  private PlatformJournal journal;
  private Path file;
  private int port;
  private Service service;

  @BeforeEach
  void start() throws Exception {
    System.setProperty("vertx.disableDnsResolver", "true");
    for (int i = 0; i < 3; i++) {
      servers.add(new PlatformBox());
    }
    journal = new PlatformJournal(1);
    port = PlatformTryOut.freePort();
    file = dir.resolve("config.json");
    Files.writeString(file, TryOut.configuration(port, journal.port(), ports()));
    service = new Service(file, Configuration.read(file));
    service.start().join();
  }

  private int[] ports() {
    return servers.stream().mapToInt(PlatformBox::port).toArray();
  }

  @AfterEach
  void stop() throws Exception {
    service.stop();
    assertEquals("", service.awaitStop());
    for (PlatformBox server : servers) {
      server.close();
    }
    journal.close();
  }

  private static void waitUntil(BooleanSupplier done) throws InterruptedException {
    for (int i = 0; i < 1000 && !done.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertTrue(done.getAsBoolean());
  }

  private static String tag(long id) {
    return String.format("%016x", id);
  }

  private PlatformBox serverOf(long id) {
    return servers.stream()
        .filter(server -> server.playing().containsKey(tag(id)))
        .findFirst()
        .orElseThrow();
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

  @Test
  void aSessionStartsAndIsEndedByEitherSide() throws Exception {
    try (var client = new PlatformViewers(port)) {
      client.sendProbe();
      assertEquals(53, client.next(5000).type());
      client.send(PlatformViewers.setUp(1, "lesson", 5000, ""));
      FrontMessage reply = awaitReply(client, 1);
      assertEquals(ANSWERED, reply.type());
      assertEquals("made for " + tag(1) + "\r\nm=audio of 1\r\n", reply.description());
      serverOf(1).end(tag(1), 16);
      assertEquals(RELEASED, awaitReply(client, 1).type());
      client.send(PlatformViewers.setUp(2, "lesson", 5000, ""));
      assertEquals(ANSWERED, awaitReply(client, 2).type());
      PlatformBox server = serverOf(2);
      client.end(2, 16);
      waitUntil(() -> server.playing().isEmpty());
    }
  }

  /**
   * No faulty reply is forwarded as an answer; the session is established at another server, and
   * nothing is answered twice.
   */
  @ParameterizedTest
  @EnumSource(
      names = {
        "ERROR",
        "FULL",
        "GARBAGE",
        "TRUNCATED",
        "ENDLESS",
        "RESET",
        "DUPLICATE",
        "NO_DESCRIPTION",
        "SILENT"
      })
  void eachRequestHasOneAnswerWhateverAFaultyServerDoes(Behavior mood) throws Exception {
    servers.get(0).behavior = mood;
    Map<Long, Integer> answers = new HashMap<>();
    Map<Long, String> descriptions = new HashMap<>();
    try (var client = new PlatformViewers(port)) {
      for (long id = 1; id <= 12; id++) {
        client.send(PlatformViewers.setUp(id, "lesson", 5000, ""));
      }
      waitUntil(
          () -> {
            try {
              for (FrontMessage reply = client.next(1); reply != null; reply = client.next(1)) {
                answers.merge(reply.id(), 1, Integer::sum);
                if (reply.type() == ANSWERED) {
                  descriptions.put(reply.id(), reply.description());
                }
              }
            } catch (InterruptedException e) {
              throw new IllegalStateException(e);
            }
            return answers.size() == 12;
          });
      Thread.sleep(200);
      for (FrontMessage reply = client.next(1); reply != null; reply = client.next(1)) {
        answers.merge(reply.id(), 1, Integer::sum);
      }
    }
    assertEquals(12, answers.values().stream().mapToInt(count -> count).sum(), answers.toString());
    descriptions.forEach(
        (id, description) ->
            assertTrue(description.startsWith("made for " + tag(id)), description));
    assertTrue(descriptions.size() >= 8, descriptions.toString());
  }

  @Test
  void clientsOfAFailedServerAreNotifiedOnAnotherConnection() throws Exception {
    long id = 5;
    try (var client = new PlatformViewers(port)) {
      client.send(PlatformViewers.setUp(id, "lesson", 5000, ""));
      assertEquals(ANSWERED, awaitReply(client, id).type());
    }
    PlatformBox server = serverOf(id);
    Thread.sleep(200);
    server.close();
    try (var tester = new PlatformViewers(port);
        var other = new PlatformViewers(port)) {
      tester.sendProbe();
      assertEquals(53, tester.next(5000).type());
      other.send(PlatformViewers.setUp(99, "lesson", 5000, ""));
      List<FrontMessage> replies = new ArrayList<>(List.of(other.next(10_000), other.next(10_000)));
      replies.removeIf(reply -> reply.id() == 99);
      assertEquals(List.of(new FrontMessage(RELEASED, id, 41, null, null)), replies);
      assertEquals(
          null, tester.next(100), "a connection that only tests the front is not a client's");
    }
  }

  /**
   * What a server reported on a connection as it closed is repeated on the next one, which must be
   * opened without a further request.
   */
  @Test
  void aClosedServerConnectionIsReplacedWhileSessionsRemain() throws Exception {
    try (var client = new PlatformViewers(port)) {
      for (long id = 6; id < 18; id++) {
        client.send(PlatformViewers.setUp(id, "lesson", 5000, ""));
      }
      waitUntil(() -> servers.stream().mapToInt(server -> server.playing().size()).sum() > 8);
      PlatformBox server =
          servers.stream()
              .filter(candidate -> candidate.connections() > 1 && !candidate.playing().isEmpty())
              .findFirst()
              .orElseThrow();
      long before = server.connections();
      server.playing().values().iterator().next().close();
      waitUntil(() -> server.connections() > before);
    }
  }

  @Test
  void aSessionHandedOverIsKeptAndItsEndReported() throws Exception {
    try (var client = new PlatformViewers(port)) {
      servers.get(1).playing().put(tag(7), new java.net.Socket());
      client.send(PlatformViewers.setUp(7, "lesson", 5000, ";at:s-00000002"));
      client.send(PlatformViewers.setUp(7, "lesson", 5000, ";at:s-00000002"));
      client.send(PlatformViewers.setUp(8, "lesson", 5000, ";at:s-0000ffff"));
      assertEquals(RELEASED, awaitReply(client, 8).type(), "an unknown server");
      waitUntil(() -> servers.get(1).connections() > 0);
      servers
          .get(1)
          .sendToAll(
              ("{\"verb\":\"FINISH\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"rc\":16}\n")
                  .getBytes(StandardCharsets.UTF_8));
      assertEquals(RELEASED, awaitReply(client, 7).type());
    }
  }

  @Test
  void misbehavingConnectionsAreRefusedOrClosed() throws Exception {
    try (var wellBehaved = new PlatformViewers(port);
        var duplicate = new PlatformViewers(port);
        var silent = new PlatformViewers(port);
        var huge = new PlatformViewers(port);
        var partial = new PlatformViewers(port)) {
      huge.send(new byte[] {(byte) 0xff, (byte) 0xff, 1, 2, 3});
      partial.send(new byte[] {0, 40, 1, 2});
      servers.forEach(server -> server.behavior = Behavior.SILENT);
      wellBehaved.send(PlatformViewers.setUp(9, "lesson", 8000, ""));
      waitUntil(() -> servers.stream().anyMatch(server -> server.receivedCount("START") > 0));
      duplicate.send(PlatformViewers.setUp(9, "lesson", 8000, ";x:1"));
      assertEquals(
          RELEASED, awaitReply(duplicate, 9).type(), "the id is in use by another connection");
      duplicate.send(PlatformViewers.setUp(10, "cinema", 5000, ""));
      assertEquals(RELEASED, awaitReply(duplicate, 10).type());
      assertEquals(FrontMessage.CLOSED, huge.next(5000));
      assertEquals(FrontMessage.CLOSED, partial.next(5000));
      assertEquals(FrontMessage.CLOSED, silent.next(5000));
      servers.forEach(server -> server.behavior = Behavior.NORMAL);
      assertNotNull(awaitReply(wellBehaved, 9));
    }
  }

  @Test
  void discoveryResumesAfterABreakAndAMove() throws Exception {
    waitUntil(() -> journal.requestedPositions.contains(1L));
    journal.breakDuringEvent(PlatformJournal.record(1, servers.get(0).port(), 1, 0, 0));
    waitUntil(() -> journal.requestedPositions.size() == 2);
    assertEquals(
        1L, journal.requestedPositions.get(1), "an incomplete event has not been delivered");
    try (var next = new PlatformJournal(2)) {
      Files.writeString(file, "{ half a file");
      service.reload();
      Files.writeString(file, TryOut.configuration(port, next.port(), ports()));
      service.reload();
      waitUntil(() -> next.requestedPositions.contains(2L));
      next.publish(PlatformJournal.record(2, servers.get(1).port(), 1, 1, 0));
      try (var client = new PlatformViewers(port)) {
        for (long id = 20; id < 30; id++) {
          client.send(PlatformViewers.setUp(id, "lesson", 5000, ""));
          awaitReply(client, id);
        }
      }
      assertEquals(
          0,
          servers.get(0).receivedCount("START") + servers.get(1).receivedCount("START"),
          "both servers drain");
      assertTrue(servers.get(2).receivedCount("START") > 0);
    }
  }

  @Test
  void aStoppingServiceAnswersPendingAndNewRequests() throws Exception {
    try (var client = new PlatformViewers(port)) {
      servers.forEach(server -> server.behavior = Behavior.SILENT);
      client.send(PlatformViewers.setUp(31, "lesson", 5000, ""));
      waitUntil(() -> servers.stream().anyMatch(server -> server.receivedCount("START") > 0));
      servers.forEach(server -> server.behavior = Behavior.NORMAL);
      service.stop();
      client.send(PlatformViewers.setUp(32, "lesson", 5000, ""));
      assertNotNull(awaitReply(client, 31));
      try (var late = new PlatformViewers(port)) {
        late.send(PlatformViewers.setUp(33, "lesson", 5000, ""));
        assertTrue(awaitReply(late, 33).type() == ANSWERED);
      }
    }
  }

  @Test
  void anUnusableConfigurationIsRejectedInOneLine() throws IOException {
    String valid = Files.readString(file);
    for (String invalid :
        List.of(
            "",
            "[]",
            valid.replace("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"x\""),
            valid.replace("\"state\":\"up\"", "\"state\":\"away\""),
            valid
                .replace("\"listen\":\"127.0.0.1", "\"listen\":\"")
                .replace("\"listen\":\":", "\"listen\":\""),
            valid.substring(0, valid.length() / 2))) {
      Files.writeString(file, invalid);
      var thrown =
          org.junit.jupiter.api.Assertions.assertThrows(
              linengauge.settings.InvalidSettingsException.class, () -> Configuration.read(file));
      assertTrue(thrown.getMessage().lines().count() == 1, thrown.getMessage());
    }
  }
}
