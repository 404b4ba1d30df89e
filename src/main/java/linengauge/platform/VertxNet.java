package linengauge.platform;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.ConnectOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.net.ConnectException;
import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.Span;
import linengauge.net.WallClock;
import linengauge.platform.connection.HeapBudget;
import linengauge.session.Transport.Timer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sockets and timers on one event loop. */
final class VertxNet implements Net {
  private static final Logger LOG = LoggerFactory.getLogger("linengauge.platform");

  /** Heap that writes to all clients, and to all servers, may occupy until they are received. */
  private static final long MAX_OUTPUT_HEAP_BYTES = 2L * 1024 * 1024;

  /** Heap that one write occupies beside its bytes. */
  private static final int WRITE_HEAP_BYTES = 512;

  /** A closed connection is given this long for its peer to receive what was written. */
  private static final Span CLOSE_TIMEOUT = Span.ofSeconds(2);

  /** Used if the settings give no connect timeout. */
  private static final Span DEFAULT_CONNECT_TIMEOUT = Span.ofSeconds(1);

  private final Vertx vertx;
  private final Context context;
  private final NetClient client;
  private final NetServer server;

  /**
   * Writes that have not left the process yet, and the task that waits for them; used on the event
   * loop only.
   */
  private long pendingWrites;

  private Runnable flushTask;

  private final HeapBudget clientOutput = new HeapBudget(MAX_OUTPUT_HEAP_BYTES);
  private final HeapBudget serverOutput = new HeapBudget(MAX_OUTPUT_HEAP_BYTES);

  /** The thread of the event loop; null until it has run its first task. */
  private volatile Thread loopThread;

  /**
   * Creates the loop.
   *
   * @param errorHandler is passed every {@link Error} that a task of the loop throws; the state of
   *     the front is unknown then
   */
  VertxNet(Span connectTimeout, Consumer<Error> errorHandler) {
    this.vertx =
        Vertx.builder()
            .withTransport(new OneLoopTransport())
            .with(
                new VertxOptions()
                    .setEventLoopPoolSize(1)
                    .setWorkerPoolSize(1)
                    .setInternalBlockingPoolSize(1)
                    .setFileSystemOptions(
                        new FileSystemOptions()
                            .setClassPathResolvingEnabled(false)
                            .setFileCachingEnabled(false)))
            .build();
    vertx.exceptionHandler(thrown -> handleThrown(thrown, errorHandler));
    this.context = vertx.getOrCreateContext();
    this.client =
        vertx.createNetClient(
            new NetClientOptions()
                .setTcpNoDelay(true)
                .setReconnectAttempts(0)
                .setConnectTimeout(
                    (int)
                        toMillis(
                            connectTimeout.equals(Span.NONE)
                                ? DEFAULT_CONNECT_TIMEOUT
                                : connectTimeout)));
    this.server =
        vertx.createNetServer(
            new NetServerOptions()
                .setAcceptBacklog(1024)
                .setTcpNoDelay(true)
                .setReuseAddress(true));
  }

  private static void handleThrown(Throwable thrown, Consumer<Error> errorHandler) {
    if (thrown instanceof Error error) {
      errorHandler.accept(error);
    } else {
      LOG.error("unhandled exception", thrown);
    }
  }

  /** Runs the task on the event loop; may be called from any thread. */
  void runOnLoop(Runnable task) {
    context.runOnContext(
        ignored -> {
          loopThread = Thread.currentThread();
          task.run();
        });
  }

  /** Returns whether the event loop has started and its thread has ended. */
  boolean hasLoopEnded() {
    Thread thread = loopThread;
    return thread != null && !thread.isAlive();
  }

  /** Closes everything and waits for it; must not be called on the event loop. */
  void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @Override
  public Moment now() {
    return WallClock.now();
  }

  @Override
  public void connect(
      String address, Span timeLimit, int writeBufferBytes, ConnectHandler handler) {
    ConnectOptions options =
        new ConnectOptions()
            .setHost(Configuration.host(address))
            .setPort(Configuration.port(address));
    if (!timeLimit.equals(Span.NONE)) {
      options.setTimeout((int) toMillis(timeLimit));
    }
    client
        .connect(options)
        .onComplete(
            result -> {
              if (result.succeeded()) {
                handler.connected(new Socket(result.result(), writeBufferBytes, serverOutput));
              } else {
                Throwable cause = result.cause();
                boolean isTimeout = cause.getClass().getSimpleName().contains("Timeout");
                handler.failed(
                    cause instanceof ConnectException && !isTimeout,
                    String.valueOf(cause.getMessage()));
              }
            });
  }

  @Override
  public void listen(String address, int writeBufferBytes, AcceptHandler handler) {
    server.connectHandler(
        socket -> handler.accepted(new Socket(socket, writeBufferBytes, clientOutput)));
    server.exceptionHandler(e -> handler.acceptFailed(String.valueOf(e.getMessage())));
    server
        .listen(Configuration.port(address), Configuration.host(address))
        .onComplete(
            result ->
                handler.listening(
                    result.succeeded() ? null : String.valueOf(result.cause().getMessage())));
  }

  @Override
  public Timer schedule(Span delay, Runnable task) {
    long timer = vertx.setTimer(toMillis(delay), timerId -> task.run());
    return () -> vertx.cancelTimer(timer);
  }

  @Override
  public void scheduleEvery(Span interval, Runnable task) {
    vertx.setPeriodic(toMillis(interval), timerId -> task.run());
  }

  @Override
  public void defer(Runnable task) {
    vertx.runOnContext(ignored -> task.run());
  }

  @Override
  public void whenFlushed(Span timeLimit, Runnable task) {
    boolean[] hasRun = {false};
    Runnable runOnce =
        () -> {
          if (!hasRun[0]) {
            hasRun[0] = true;
            task.run();
          }
        };
    flushTask = runOnce;
    schedule(timeLimit, runOnce);
    defer(this::runFlushTask);
  }

  private void runFlushTask() {
    if (pendingWrites == 0 && flushTask != null) {
      Runnable task = flushTask;
      flushTask = null;
      task.run();
    }
  }

  private static long toMillis(Span span) {
    return Math.max(1, (span.micros() + 999) / 1000);
  }

  private final class Socket implements Connection {
    private final NetSocket socket;
    private final HeapBudget.Account heap;
    private Runnable closeHandler = () -> {};

    private Socket(NetSocket socket, int writeBufferBytes, HeapBudget outputHeap) {
      this.socket = socket;
      this.heap = outputHeap.openAccount();
      socket.setWriteQueueMaxSize(writeBufferBytes);
      socket.exceptionHandler(e -> {}); // the close handler is called as well
    }

    @Override
    public void setHandlers(Consumer<byte[]> dataHandler, Runnable closeHandler) {
      socket.handler(buffer -> dataHandler.accept(buffer.getBytes()));
      this.closeHandler = closeHandler;
      socket.closeHandler(ignored -> onClosed());
    }

    @Override
    public void write(byte[] message) {
      long heapBytes = WRITE_HEAP_BYTES + (long) message.length;
      heap.add(heapBytes);
      pendingWrites++;
      socket
          .write(Buffer.buffer(message))
          .onComplete(
              result -> {
                heap.add(-heapBytes);
                pendingWrites--;
                runFlushTask();
              });
    }

    @Override
    public boolean isFull() {
      return socket.writeQueueFull() || heap.isOverShare();
    }

    @Override
    public void pause() {
      socket.pause();
    }

    @Override
    public void resume() {
      socket.resume();
    }

    @Override
    public void close() {
      // The library closes only once the peer has received everything.
      socket.close();
      long timer = vertx.setTimer(toMillis(CLOSE_TIMEOUT), timerId -> abort());
      socket.closeHandler(
          ignored -> {
            vertx.cancelTimer(timer);
            onClosed();
          });
    }

    @Override
    public void abort() {
      ((NetSocketInternal) socket).channelHandlerContext().close();
    }

    private void onClosed() {
      heap.close();
      closeHandler.run();
    }

    @Override
    public String peer() {
      return String.valueOf(socket.remoteAddress());
    }
  }
}
