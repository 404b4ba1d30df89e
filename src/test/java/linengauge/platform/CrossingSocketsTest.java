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
import linengauge.platform.keep.DescriptorBudget;
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
 * Crossings on real sockets: a gate holds the front's loop between two events, so that what both
 * sides do meanwhile lies in the kernel when it goes on. The order of events is the gate's; sleeps
 * only make what has lain old.
 */
@Timeout(60)
@SuppressWarnings("try")
class CrossingSocketsTest {
  private static final int PLAYS = 9;
  private static final int OVER = 12;
  @TempDir private Path dir;
  private final List<PlatformBox> boxes = new ArrayList<>();
  private PlatformJournal journal;
  private Path file;
  private int port;
  private Service service;

  /** How a viewer leaves. */
  enum Leaves {
    AT_ONCE,
    LATER,
    CLOSES,
    RESETS
  }

  /** While it is open... the loop is not: it stands between two events. */
  private final class Gate implements AutoCloseable {
    private final CountDownLatch opens = new CountDownLatch(1);

    private Gate() throws InterruptedException {
      CountDownLatch stands = new CountDownLatch(1);
      service.onLoop(
          () -> {
            stands.countDown();
            try {
              opens.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
      stands.await();
    }

    @Override
    public void close() {
      opens.countDown();
    }
  }

  @BeforeEach
  void start() throws Exception {
    System.setProperty("vertx.disableDnsResolver", "true");
    for (int i = 0; i < 2; i++) {
      boxes.add(new PlatformBox());
    }
    journal = new PlatformJournal(1);
    port = PlatformTryOut.freePort();
    file = dir.resolve("config.json");
    Files.writeString(file, configuration(journal.port()));
    service = new Service(file, Configuration.read(file));
    service.begin().join();
    try (var v = new PlatformViewers(port)) { // each box has been met: a set-up can leave at once
      for (long id = 900_001; id < 900_009; id++) {
        plays(v, id);
        v.end(id, 16);
      }
    }
    until(() -> boxes.stream().allMatch(b -> b.playing().isEmpty()));
  }

  /** Nothing is asked of boxes before a set-up: it leaves in the turn in which it is begun. */
  private String configuration(int from) {
    return TryOut.configuration(port, from, boxes.stream().mapToInt(PlatformBox::port).toArray())
        .replace("\"probing\":true", "\"probing\":false");
  }

  @AfterEach
  void stop() throws Exception {
    service.tellToStop();
    assertEquals("", service.await());
    for (PlatformBox b : boxes) {
      b.close();
    }
    journal.close();
  }

  private static void until(BooleanSupplier done) throws InterruptedException {
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

  private static byte[] join(byte[]... parts) {
    var all = new ByteArrayOutputStream();
    for (byte[] p : parts) {
      all.writeBytes(p);
    }
    return all.toByteArray();
  }

  private static byte[] many(long from, long to) {
    var all = new ByteArrayOutputStream();
    for (long id = from; id < to; id++) {
      all.writeBytes(setUp(id));
    }
    return all.toByteArray();
  }

  private static FrontMessage answer(PlatformViewers v, long id) throws InterruptedException {
    for (FrontMessage s = v.next(10_000); s != null; s = v.next(10_000)) {
      if (s.id() == id || s == FrontMessage.CLOSED) {
        return s;
      }
    }
    return null;
  }

  private static void plays(PlatformViewers v, long id) throws Exception {
    v.send(setUp(id));
    FrontMessage s = answer(v, id);
    assertTrue(s != null && s.type() == PLAYS, "viewing " + id + ": " + s);
  }

  private PlatformBox boxOf(long id) {
    return boxes.stream().filter(b -> b.playing().containsKey(tag(id))).findFirst().orElseThrow();
  }

  private long started(long id) {
    String tag = tag(id);
    return boxes.stream()
        .flatMap(b -> b.received().stream())
        .filter(n -> n.path("verb").asText().equals("START") && n.path("tag").asText().equals(tag))
        .count();
  }

  /** All that had come before is read and dealt with: what is asked afterwards plays. */
  private void goesOn(long id) throws Exception {
    try (var v = new PlatformViewers(port)) {
      plays(v, id);
      v.end(id, 16);
    }
  }

  @ParameterizedTest
  @EnumSource
  void aViewerThatLeftBeforeItsSetUpWasReadIsSetUpNowhere(Leaves how) throws Exception {
    try (var v = new PlatformViewers(port);
        var socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      plays(v, 1);
      socket.setTcpNoDelay(true);
      try (Gate gate = new Gate()) {
        socket.getOutputStream().write(how == Leaves.AT_ONCE ? join(setUp(2), end(2)) : setUp(2));
        switch (how) {
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
        Thread.sleep(120); // longer than an attempt may begin after it
      }
      goesOn(3);
      assertEquals(0, started(2), "begun 0.1 s after its viewer had left");
    }
  }

  /** The attempt is refused while the loop stands, and the viewer leaves in the same time. */
  @Test
  void aRefusalAndTheViewersEndReadInOneTurnMakeNoFurtherAttempt() throws Exception {
    try (var v = new PlatformViewers(port)) {
      boxes.forEach(b -> b.behavior = Behavior.SILENT);
      v.send(setUp(2));
      until(() -> started(2) == 1);
      try (Gate gate = new Gate()) {
        for (PlatformBox b : boxes) {
          b.sendToAll(
              ("{\"verb\":\"FINISH\",\"tag\":\"" + tag(2) + "\",\"opts\":{},\"rc\":34}\n")
                  .getBytes(StandardCharsets.UTF_8));
        }
        v.end(2, 16);
        Thread.sleep(120);
      }
      boxes.forEach(b -> b.behavior = Behavior.NORMAL);
      goesOn(3);
      assertEquals(1, started(2));
    }
  }

  @Test
  void anEndBehindHundredsOfSetUpsOnAConnectionThatClosesIsHeard() throws Exception {
    try (var v = new PlatformViewers(port);
        var socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      plays(v, 1);
      PlatformBox at = boxOf(1);
      try (Gate gate = new Gate()) {
        socket.getOutputStream().write(join(many(1000, 1200), end(1)));
        socket.close();
        Thread.sleep(120); // longer than an attempt may begin after it
      }
      until(() -> !at.playing().containsKey(tag(1)));
      goesOn(3);
      assertEquals(
          0,
          java.util.stream.LongStream.range(1000, 1200).filter(id -> started(id) > 0).count(),
          "their viewer has gone");
    }
  }

  @Test
  void sessionsHandedOverOnAConnectionThatClosesAreHeld() throws Exception {
    try (var v = new PlatformViewers(port);
        var socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      plays(v, 1);
      var all = new ByteArrayOutputStream();
      for (long id = 2000; id < 2300; id++) {
        boxes.get(0).playing().put(tag(id), new Socket());
        all.writeBytes(PlatformViewers.setUp(id, "lesson", 0, ";at:s-00000001"));
      }
      try (Gate gate = new Gate()) {
        socket.getOutputStream().write(all.toByteArray());
        socket.close();
      }
      goesOn(3);
      Set<Long> released = new HashSet<>();
      for (long id = 2000; id < 2300; id++) {
        boxes
            .get(0)
            .sendToAll(
                ("{\"verb\":\"FINISH\",\"tag\":\"" + tag(id) + "\",\"opts\":{},\"rc\":16}\n")
                    .getBytes(StandardCharsets.UTF_8));
      }
      while (released.size() < 300) {
        FrontMessage s = v.next(5000);
        assertNotNull(s, "released so far: " + released.size());
        if (s.type() == OVER) {
          released.add(s.id());
        }
      }
    }
  }

  /**
   * The box ends what plays, and its viewer closes the connection, in the same turn: the release
   * reaches another one.
   */
  @ParameterizedTest
  @EnumSource(names = {"CLOSES", "RESETS"})
  void aReleaseThatCrossesItsConnectionsCloseIsHeardOnAnother(Leaves how) throws Exception {
    try (var other = new PlatformViewers(port);
        var socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      plays(other, 1);
      socket.getOutputStream().write(setUp(2));
      assertEquals(PLAYS, readType(socket.getInputStream()));
      PlatformBox at = boxOf(2);
      try (Gate gate = new Gate()) {
        at.end(tag(2), 16);
        if (how == Leaves.RESETS) {
          socket.setSoLinger(true, 0);
        }
        socket.close();
      }
      assertEquals(new FrontMessage(OVER, 2, 16, null, null), answer(other, 2));
    }
  }

  private static int readType(InputStream in) throws IOException {
    byte[] head = in.readNBytes(2);
    return in.readNBytes((head[0] & 0xff) << 8 | head[1] & 0xff)[0];
  }

  /**
   * Every place is taken; one that seems to rest asks while the loop stands, and others come for
   * its place.
   */
  @Test
  void aConnectionIsNotClosedForAnothersPlaceOverASetUpThatLiesUnread() throws Exception {
    int places = DescriptorBudget.of(256).viewers();
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < places; i++) {
        Socket s = new Socket(InetAddress.getLoopbackAddress(), port);
        s.getOutputStream().write(PlatformViewers.message(52, 1, 61, new byte[] {0}));
        assertEquals(53, readType(s.getInputStream()));
        sockets.add(s);
      }
      try (Gate gate = new Gate()) {
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
        assertEquals(PLAYS, readType(sockets.get(i).getInputStream()), "connection " + i);
      }
    } finally {
      for (Socket s : sockets) {
        s.close();
      }
    }
  }

  /**
   * The older file is still being read when the newer one is: a pipe holds its reader for as long
   * as the test wants.
   */
  @Test
  void ofTwoReloadsTheOneThatReadsLastHolds() throws Exception {
    Path pipe = dir.resolve("pipe");
    assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
    Files.delete(file);
    Files.createLink(file, pipe);
    try (var older = new PlatformJournal(1);
        var newer = new PlatformJournal(1)) {
      var first = CompletableFuture.runAsync(service::postedAnew);
      Thread.sleep(100);
      Path next = dir.resolve("next.json");
      Files.writeString(next, configuration(newer.port()));
      Files.move(next, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
      var second = CompletableFuture.runAsync(service::postedAnew);
      Thread.sleep(100);
      Files.writeString(pipe, configuration(older.port()));
      CompletableFuture.allOf(first, second).get(10, TimeUnit.SECONDS);
      until(() -> !newer.requestedPositions.isEmpty());
      goesOn(3);
      older.publish(PlatformJournal.record(1, boxes.get(0).port(), 1, 0, 0));
      newer.publish(PlatformJournal.record(2, boxes.get(1).port(), 1, 1, 0));
      Thread.sleep(200);
      long before = boxes.get(1).receivedCount("START");
      for (long id = 10; id < 16; id++) {
        goesOn(id);
      }
      assertEquals(
          before, boxes.get(1).receivedCount("START"), "the newer one's word holds: it drains");
    }
  }

  /* ---- the last words ---- */

  private static final int MUCH = 8 * 1024 * 1024;

  /** What a peer reads late is waited for; what one never reads is not, beyond the bound. */
  @ParameterizedTest
  @EnumSource(names = {"LATER", "CLOSES", "AT_ONCE"})
  void theLastWordsAreWaitedForWithinTheirBound(Leaves peer) throws Exception {
    VertxNet net = new VertxNet(Span.ofMillis(250));
    try (var door = new ServerSocket()) {
      door.setReceiveBufferSize(8192);
      door.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      var written = new CompletableFuture<Long>();
      var begun = new CompletableFuture<Void>();
      Span bound = peer == Leaves.AT_ONCE ? Span.ofMillis(150) : Span.ofSeconds(30);
      net.onLoop(
          () ->
              net.connect(
                  "127.0.0.1:" + door.getLocalPort(),
                  1024,
                  new Net.Tried() {
                    @Override
                    public void up(Net.Connection connection) {
                      connection.hears(data -> {}, () -> {});
                      connection.write(new byte[MUCH]);
                      long at = System.nanoTime();
                      net.written(bound, () -> written.complete(System.nanoTime() - at));
                      begun.complete(null);
                    }

                    @Override
                    public void failed(boolean refused, String why) {
                      begun.completeExceptionally(new IOException(why));
                    }
                  }));
      try (Socket s = door.accept()) {
        begun.get(10, TimeUnit.SECONDS);
        switch (peer) {
          case LATER -> {
            Thread.sleep(300);
            assertTrue(!written.isDone(), "nobody has read it");
            assertEquals(MUCH, s.getInputStream().readNBytes(MUCH).length);
          }
          case CLOSES -> {
            s.setSoLinger(true, 0);
            s.close();
          }
          default -> {
            // reads nothing
          }
        }
        assertNotNull(written.get(10, TimeUnit.SECONDS));
      }
    } finally {
      net.close();
    }
  }
}
