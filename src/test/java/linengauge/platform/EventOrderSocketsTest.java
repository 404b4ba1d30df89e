package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import linengauge.Span;
import linengauge.platform.connection.DescriptorBudget;
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
 * Concurrent events on real sockets. A blocker holds the front's event loop between two events, so
 * that whatever both peers send meanwhile is in the kernel when the loop continues. The blocker
 * determines the order of events; sleeps only let pending data age.
 */
@Timeout(60)
@SuppressWarnings("try")
class EventOrderSocketsTest {
  private static final int ANSWERED = 9;
  private static final int RELEASED = 12;
  @TempDir private Path dir;
  private final List<PlatformBox> servers = new ArrayList<>();
  private PlatformJournal journal;
  private Path file;
  private int port;
  private Service service;

  /** How a client leaves. */
  enum Departure {
    AT_ONCE,
    LATER,
    CLOSES,
    RESETS
  }

  /** Blocks the event loop between two events until it is closed. */
  private final class LoopBlocker implements AutoCloseable {
    private final CountDownLatch unblocked = new CountDownLatch(1);

    private LoopBlocker() throws InterruptedException {
      CountDownLatch blocked = new CountDownLatch(1);
      service.runOnLoop(
          () -> {
            blocked.countDown();
            try {
              unblocked.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
      blocked.await();
    }

    @Override
    public void close() {
      unblocked.countDown();
    }
  }

  @BeforeEach
  void start() throws Exception {
    System.setProperty("vertx.disableDnsResolver", "true");
    for (int i = 0; i < 2; i++) {
      servers.add(new PlatformBox());
    }
    journal = new PlatformJournal(1);
    port = PlatformTryOut.freePort();
    file = dir.resolve("config.json");
    Files.writeString(file, configuration(journal.port()));
    service = new Service(file, Configuration.read(file));
    service.start().join();
    // Each server has been used once, so that a set-up can be sent at once.
    try (var client = new PlatformViewers(port)) {
      for (long id = 900_001; id < 900_009; id++) {
        startSession(client, id);
        client.end(id, 16);
      }
    }
    waitUntil(() -> servers.stream().allMatch(server -> server.playing().isEmpty()));
  }

  /** Without probing, a set-up is sent in the turn in which it is started. */
  private String configuration(int journalPort) {
    return TryOut.configuration(
            port, journalPort, servers.stream().mapToInt(PlatformBox::port).toArray())
        .replace("\"probing\":true", "\"probing\":false");
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
    for (int i = 0; i < 2000 && !done.getAsBoolean(); i++) {
      Thread.sleep(5);
    }
    assertTrue(done.getAsBoolean());
  }

  private static String tag(long id) {
    return String.format("%016x", id);
  }

  private static byte[] setUp(long id) {
    return PlatformViewers.setUp(id, "lesson", 5000, "");
  }

  private static byte[] end(long id) {
    return PlatformViewers.message(12, id, 61, new byte[] {16});
  }

  private static byte[] concatenate(byte[]... parts) {
    var joined = new ByteArrayOutputStream();
    for (byte[] part : parts) {
      joined.writeBytes(part);
    }
    return joined.toByteArray();
  }

  private static byte[] setUps(long from, long to) {
    var all = new ByteArrayOutputStream();
    for (long id = from; id < to; id++) {
      all.writeBytes(setUp(id));
    }
    return all.toByteArray();
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

  private static void startSession(PlatformViewers client, long id) throws Exception {
    client.send(setUp(id));
    FrontMessage reply = awaitReply(client, id);
    assertTrue(reply != null && reply.type() == ANSWERED, "session " + id + ": " + reply);
  }

  private PlatformBox serverOf(long id) {
    return servers.stream()
        .filter(server -> server.playing().containsKey(tag(id)))
        .findFirst()
        .orElseThrow();
  }

  private long setUpsReceived(long id) {
    String tag = tag(id);
    return servers.stream()
        .flatMap(server -> server.received().stream())
        .filter(
            line ->
                line.path("verb").asText().equals("START") && line.path("tag").asText().equals(tag))
        .count();
  }

  /**
   * Runs a session; once it is established, everything that arrived before it has been processed.
   */
  private void runSession(long id) throws Exception {
    try (var client = new PlatformViewers(port)) {
      startSession(client, id);
      client.end(id, 16);
    }
  }

  @ParameterizedTest
  @EnumSource
  void aSetUpWhoseClientLeftBeforeItWasReadIsNotSent(Departure departure) throws Exception {
    try (var client = new PlatformViewers(port);
        var socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      startSession(client, 1);
      socket.setTcpNoDelay(true);
      try (LoopBlocker blocker = new LoopBlocker()) {
        socket
            .getOutputStream()
            .write(departure == Departure.AT_ONCE ? concatenate(setUp(2), end(2)) : setUp(2));
        switch (departure) {
          case LATER -> {
            Thread.sleep(20);
            socket.getOutputStream().write(end(2));
          }
          case CLOSES -> socket.close();
          case RESETS -> {
            socket.setSoLinger(true, 0);
            socket.close();
          }
          default -> {}
        }
        Thread.sleep(120); // Longer than an attempt may still start after its client has left.
      }
      runSession(3);
      assertEquals(0, setUpsReceived(2), "set up 0.1 s after its client had left");
    }
  }

  /** The attempt is refused while the loop is blocked, and the client leaves meanwhile. */
  @Test
  void aRefusalReadTogetherWithTheClientsEndCausesNoRetry() throws Exception {
    try (var client = new PlatformViewers(port)) {
      servers.forEach(server -> server.behavior = Behavior.SILENT);
      client.send(setUp(2));
      waitUntil(() -> setUpsReceived(2) == 1);
      try (LoopBlocker blocker = new LoopBlocker()) {
        for (PlatformBox server : servers) {
          server.sendToAll(
              ("{\"verb\":\"FINISH\",\"tag\":\"" + tag(2) + "\",\"opts\":{},\"rc\":34}\n")
                  .getBytes(StandardCharsets.UTF_8));
        }
        client.end(2, 16);
        Thread.sleep(120);
      }
      servers.forEach(server -> server.behavior = Behavior.NORMAL);
      runSession(3);
      assertEquals(1, setUpsReceived(2));
    }
  }

  @Test
  void anEndBehindHundredsOfSetUpsOnAClosingConnectionIsProcessed() throws Exception {
    try (var client = new PlatformViewers(port);
        var socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      startSession(client, 1);
      PlatformBox server = serverOf(1);
      try (LoopBlocker blocker = new LoopBlocker()) {
        socket.getOutputStream().write(concatenate(setUps(1000, 1200), end(1)));
        socket.close();
        Thread.sleep(120); // Longer than an attempt may still start after its client has left.
      }
      waitUntil(() -> !server.playing().containsKey(tag(1)));
      runSession(3);
      assertEquals(
          0,
          java.util.stream.LongStream.range(1000, 1200)
              .filter(id -> setUpsReceived(id) > 0)
              .count(),
          "their client has left");
    }
  }

  @Test
  void sessionsHandedOverOnAClosingConnectionAreKept() throws Exception {
    try (var client = new PlatformViewers(port);
        var socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      startSession(client, 1);
      var all = new ByteArrayOutputStream();
      for (long id = 2000; id < 2300; id++) {
        servers.get(0).playing().put(tag(id), new Socket());
        all.writeBytes(PlatformViewers.setUp(id, "lesson", 0, ";at:s-00000001"));
      }
      try (LoopBlocker blocker = new LoopBlocker()) {
        socket.getOutputStream().write(all.toByteArray());
        socket.close();
      }
      runSession(3);
      Set<Long> released = new HashSet<>();
      for (long id = 2000; id < 2300; id++) {
        servers
            .get(0)
            .sendToAll(
                ("{\"verb\":\"FINISH\",\"tag\":\"" + tag(id) + "\",\"opts\":{},\"rc\":16}\n")
                    .getBytes(StandardCharsets.UTF_8));
      }
      while (released.size() < 300) {
        FrontMessage message = client.next(5000);
        assertNotNull(message, "released so far: " + released.size());
        if (message.type() == RELEASED) {
          released.add(message.id());
        }
      }
    }
  }

  /**
   * The server ends the session, and its client closes the connection, in the same turn: the
   * release is sent on another connection.
   */
  @ParameterizedTest
  @EnumSource(names = {"CLOSES", "RESETS"})
  void aReleaseConcurrentWithAConnectionCloseArrivesOnAnother(Departure departure)
      throws Exception {
    try (var other = new PlatformViewers(port);
        var socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      startSession(other, 1);
      socket.getOutputStream().write(setUp(2));
      assertEquals(ANSWERED, readType(socket.getInputStream()));
      PlatformBox server = serverOf(2);
      try (LoopBlocker blocker = new LoopBlocker()) {
        server.end(tag(2), 16);
        if (departure == Departure.RESETS) {
          socket.setSoLinger(true, 0);
        }
        socket.close();
      }
      assertEquals(new FrontMessage(RELEASED, 2, 16, null, null), awaitReply(other, 2));
    }
  }

  private static int readType(InputStream in) throws IOException {
    byte[] head = in.readNBytes(2);
    return in.readNBytes((head[0] & 0xff) << 8 | head[1] & 0xff)[0];
  }

  /**
   * All connection slots are taken; idle connections send requests while the loop is blocked, and
   * further connections compete for their slots.
   */
  @Test
  void aConnectionWithAnUnreadSetUpIsNotEvicted() throws Exception {
    int maxConnections = DescriptorBudget.of(256).clients();
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < maxConnections; i++) {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.getOutputStream().write(PlatformViewers.message(52, 1, 61, new byte[] {0}));
        assertEquals(53, readType(socket.getInputStream()));
        sockets.add(socket);
      }
      try (LoopBlocker blocker = new LoopBlocker()) {
        for (int i = 0; i < 8; i++) {
          sockets.add(new Socket(InetAddress.getLoopbackAddress(), port));
        }
        for (int i = 0; i < 8; i++) {
          sockets.get(i).getOutputStream().write(setUp(100 + i));
        }
        Thread.sleep(120);
      }
      for (int i = 0; i < 8; i++) {
        sockets.get(i).setSoTimeout(5000);
        assertEquals(ANSWERED, readType(sockets.get(i).getInputStream()), "connection " + i);
      }
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  /**
   * The older file is still being read when the newer one is: a named pipe blocks its reader for as
   * long as the test requires.
   */
  @Test
  void ofTwoConcurrentReloadsTheLaterOneWins() throws Exception {
    Path pipe = dir.resolve("pipe");
    assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
    Files.delete(file);
    Files.createLink(file, pipe);
    try (var older = new PlatformJournal(1);
        var newer = new PlatformJournal(1)) {
      var first = CompletableFuture.runAsync(service::reload);
      Thread.sleep(100);
      Path next = dir.resolve("next.json");
      Files.writeString(next, configuration(newer.port()));
      Files.move(next, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
      var second = CompletableFuture.runAsync(service::reload);
      Thread.sleep(100);
      Files.writeString(pipe, configuration(older.port()));
      CompletableFuture.allOf(first, second).get(10, TimeUnit.SECONDS);
      waitUntil(() -> !newer.requestedPositions.isEmpty());
      runSession(3);
      older.publish(PlatformJournal.record(1, servers.get(0).port(), 1, 0, 0));
      newer.publish(PlatformJournal.record(2, servers.get(1).port(), 1, 1, 0));
      Thread.sleep(200);
      long before = servers.get(1).receivedCount("START");
      for (long id = 10; id < 16; id++) {
        runSession(id);
      }
      assertEquals(
          before,
          servers.get(1).receivedCount("START"),
          "the newer configuration applies, by which this server drains");
    }
  }

  /* ---- last writes ---- */

  private static final int LARGE_MESSAGE_BYTES = 8 * 1024 * 1024;

  /** Waits for a peer that reads late; does not wait beyond the bound for one that never reads. */
  @ParameterizedTest
  @EnumSource(names = {"LATER", "CLOSES", "AT_ONCE"})
  void lastWritesAreWaitedForWithinTheirBound(Departure peer) throws Exception {
    VertxNet net = new VertxNet(Span.ofMillis(250), error -> {});
    try (var serverSocket = new ServerSocket()) {
      serverSocket.setReceiveBufferSize(8192);
      serverSocket.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      var written = new CompletableFuture<Long>();
      var connected = new CompletableFuture<Void>();
      Span bound = peer == Departure.AT_ONCE ? Span.ofMillis(150) : Span.ofSeconds(30);
      net.runOnLoop(
          () ->
              net.connect(
                  "127.0.0.1:" + serverSocket.getLocalPort(),
                  Span.NONE,
                  1024,
                  new Net.ConnectHandler() {
                    @Override
                    public void connected(Net.Connection connection) {
                      connection.setHandlers(data -> {}, () -> {});
                      connection.write(new byte[LARGE_MESSAGE_BYTES]);
                      long writtenAtNanos = System.nanoTime();
                      net.whenFlushed(
                          bound, () -> written.complete(System.nanoTime() - writtenAtNanos));
                      connected.complete(null);
                    }

                    @Override
                    public void failed(boolean refused, String reason) {
                      connected.completeExceptionally(new IOException(reason));
                    }
                  }));
      try (Socket accepted = serverSocket.accept()) {
        connected.get(10, TimeUnit.SECONDS);
        switch (peer) {
          case LATER -> {
            Thread.sleep(300);
            assertTrue(!written.isDone(), "the peer has not read it");
            assertEquals(
                LARGE_MESSAGE_BYTES,
                accepted.getInputStream().readNBytes(LARGE_MESSAGE_BYTES).length);
          }
          case CLOSES -> {
            accepted.setSoLinger(true, 0);
            accepted.close();
          }
          default -> {
            // It reads nothing.
          }
        }
        assertNotNull(written.get(10, TimeUnit.SECONDS));
      }
    } finally {
      net.close();
    }
  }
}
