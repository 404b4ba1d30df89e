package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import linengauge.Span;
import linengauge.standin.PlatformTryOut;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The event loop and the sockets of a front. */
@Timeout(60)
class VertxNetTest {
  /** As many sessions as may stand at once, each released by a message of this size. */
  private static final int RELEASES = 8000;

  private static final int RELEASE_BYTES = 15;

  /** A connection is gone this soon after its close, although its peer reads nothing. */
  private static final int CLOSED_WITHIN_MS = 5000;

  private static int listen(VertxNet net, Consumer<Net.Connection> accepted) throws Exception {
    int port = PlatformTryOut.freePort();
    var listening = new CompletableFuture<String>();
    net.runOnLoop(
        () ->
            net.listen(
                "127.0.0.1:" + port,
                ClientListener.WRITE_BUFFER_BYTES,
                new Net.AcceptHandler() {
                  @Override
                  public void listening(String failure) {
                    listening.complete(String.valueOf(failure));
                  }

                  @Override
                  public void accepted(Net.Connection connection) {
                    accepted.accept(connection);
                  }

                  @Override
                  public void acceptFailed(String reason) {
                    listening.complete(reason);
                  }
                }));
    assertEquals("null", listening.get(10, TimeUnit.SECONDS));
    return port;
  }

  private static void fill(Net.Connection connection) {
    while (!connection.isFull()) {
      connection.write(new byte[1024]);
    }
  }

  /**
   * Guards against answers that stay in the heap, and a descriptor that stays in use, until a
   * client that does not read leaves by itself.
   */
  @Test
  void aConnectionWhosePeerReadsNothingIsGoneSoonAfterItsClose() throws Exception {
    assertGoneAfter(
        connection -> {
          fill(connection);
          connection.close();
        });
  }

  @Test
  void anAbortedConnectionIsGoneAtOnce() throws Exception {
    assertGoneAfter(
        connection -> {
          fill(connection);
          connection.abort();
        });
  }

  private static void assertGoneAfter(Consumer<Net.Connection> action) throws Exception {
    VertxNet net = new VertxNet(Span.ofMillis(250), error -> {});
    var closed = new CompletableFuture<Void>();
    int port =
        listen(
            net,
            connection -> {
              connection.setHandlers(data -> {}, () -> closed.complete(null));
              action.accept(connection);
            });
    try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
      closed.get(CLOSED_WITHIN_MS, TimeUnit.MILLISECONDS);
      assertTrue(client.isConnected());
    } finally {
      net.close();
    }
  }

  @Test
  void whatWasWrittenBeforeACloseArrives() throws Exception {
    VertxNet net = new VertxNet(Span.ofMillis(250), error -> {});
    int port =
        listen(
            net,
            connection -> {
              connection.setHandlers(data -> {}, () -> {});
              connection.write(new byte[RELEASE_BYTES]);
              connection.close();
            });
    try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
      assertEquals(RELEASE_BYTES, client.getInputStream().readAllBytes().length);
    } finally {
      net.close();
    }
  }

  /** Guards against a process that stays up although a handler has left its state unknown. */
  @Test
  void anErrorInAHandlerOfASocketIsReported() throws Exception {
    var reported = new CompletableFuture<Error>();
    VertxNet net = new VertxNet(Span.ofMillis(250), reported::complete);
    int port =
        listen(
            net,
            connection ->
                connection.setHandlers(
                    data -> {
                      throw new StackOverflowError("thrown by the test");
                    },
                    () -> {}));
    try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
      client.getOutputStream().write(1);
      assertEquals("thrown by the test", reported.get(10, TimeUnit.SECONDS).getMessage());
    } finally {
      net.close();
    }
  }

  /** Guards against a process that stays up although its event loop can serve nobody. */
  @Test
  void anErrorOnTheEventLoopIsReported() throws Exception {
    var reported = new CompletableFuture<Error>();
    VertxNet net = new VertxNet(Span.ofMillis(250), reported::complete);
    net.runOnLoop(
        () -> {
          throw new StackOverflowError("thrown by the test");
        });
    assertEquals("thrown by the test", reported.get(10, TimeUnit.SECONDS).getMessage());
    assertFalse(net.hasLoopEnded());
    net.close();
    for (int i = 0; i < 1000 && !net.hasLoopEnded(); i++) {
      Thread.sleep(10);
    }
    assertTrue(net.hasLoopEnded(), "the process must end with its loop");
  }

  /** Guards against a client that reads and is closed over the releases of a stop in order. */
  @Test
  void thousandsOfMessagesInOneTurnDoNotFillAConnectionWhosePeerReads() throws Exception {
    VertxNet net = new VertxNet(Span.ofMillis(250), error -> {});
    var full = new CompletableFuture<Boolean>();
    try (var listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Thread reader =
          new Thread(
              () -> {
                try (var socket = listener.accept()) {
                  socket.getInputStream().readNBytes(RELEASES * RELEASE_BYTES);
                } catch (IOException e) {
                  full.completeExceptionally(e);
                }
              });
      reader.start();
      net.runOnLoop(
          () ->
              net.connect(
                  "127.0.0.1:" + listener.getLocalPort(),
                  Span.NONE,
                  ClientListener.WRITE_BUFFER_BYTES,
                  new Net.ConnectHandler() {
                    @Override
                    public void connected(Net.Connection connection) {
                      connection.setHandlers(data -> {}, () -> {});
                      boolean wasFull = false;
                      for (int i = 0; i < RELEASES; i++) {
                        wasFull |= connection.isFull();
                        connection.write(new byte[RELEASE_BYTES]);
                      }
                      full.complete(wasFull);
                    }

                    @Override
                    public void failed(boolean refused, String reason) {
                      full.completeExceptionally(new IOException(reason));
                    }
                  }));
      assertFalse(full.get(10, TimeUnit.SECONDS));
      reader.join(10_000);
      assertFalse(reader.isAlive(), "all of it was read");
    } finally {
      net.close();
    }
  }

  /** Guards against connections to discovery that are given up after the time for servers. */
  @Test
  void aConnectionMayHaveATimeLimitOfItsOwn() throws Exception {
    VertxNet net = new VertxNet(Span.ofMillis(250), error -> {});
    List<Socket> queued = new ArrayList<>();
    try (var listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      fillAcceptQueue(listener, queued);
      assertTrue(millisUntilFailure(net, listener, Span.NONE) < 700);
      assertTrue(millisUntilFailure(net, listener, Span.ofMillis(900)) >= 890);
    } finally {
      net.close();
      for (Socket socket : queued) {
        socket.close();
      }
    }
  }

  /** Connections to the listener do not come up from now on. */
  private static void fillAcceptQueue(ServerSocket listener, List<Socket> queued) {
    for (int i = 0; i < 8; i++) {
      Socket socket = new Socket();
      queued.add(socket);
      try {
        socket.connect(listener.getLocalSocketAddress(), 100);
      } catch (IOException e) {
        return;
      }
    }
  }

  private static long millisUntilFailure(VertxNet net, ServerSocket listener, Span timeLimit)
      throws Exception {
    var failure = new CompletableFuture<Boolean>();
    long startedAtNanos = System.nanoTime();
    net.runOnLoop(
        () ->
            net.connect(
                "127.0.0.1:" + listener.getLocalPort(),
                timeLimit,
                ClientListener.WRITE_BUFFER_BYTES,
                new Net.ConnectHandler() {
                  @Override
                  public void connected(Net.Connection connection) {
                    failure.completeExceptionally(new IOException("the connection came up"));
                  }

                  @Override
                  public void failed(boolean refused, String reason) {
                    failure.complete(refused);
                  }
                }));
    assertFalse(failure.get(10, TimeUnit.SECONDS), "timed out, not refused");
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
  }
}
