package linengauge.platform;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.file.FileSystemOptions;
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
import linengauge.session.Carrier.Wake;

/** Sockets and timers on one event loop. */
final class VertxNet implements Net {
  /** Where the settings give no time for dialling. */
  private static final Span UNLIMITED_DIAL = Span.ofSeconds(1);

  private final Vertx vertx;
  private final Context loop;
  private final NetClient client;
  private final NetServer server;

  /** Messages that have not left the process yet, and what waits for that; on the loop alone. */
  private long unwritten;

  private Runnable onceWritten;

  VertxNet(Span dial) {
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
    this.loop = vertx.getOrCreateContext();
    this.client =
        vertx.createNetClient(
            new NetClientOptions()
                .setTcpNoDelay(true)
                .setReconnectAttempts(0)
                .setConnectTimeout((int) ms(dial.equals(Span.NONE) ? UNLIMITED_DIAL : dial)));
    this.server =
        vertx.createNetServer(
            new NetServerOptions()
                .setAcceptBacklog(1024)
                .setTcpNoDelay(true)
                .setReuseAddress(true));
  }

  /** From any thread: runs it on the loop. */
  void onLoop(Runnable deed) {
    loop.runOnContext(v -> deed.run());
  }

  /** Closes everything and waits for it; not to be called on the loop. */
  void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @Override
  public Moment now() {
    return WallClock.now();
  }

  @Override
  public void connect(String address, int mostUnread, Tried then) {
    client
        .connect(Configuration.port(address), Configuration.host(address))
        .onComplete(
            done -> {
              if (done.succeeded()) {
                then.up(new Socket(done.result(), mostUnread));
              } else {
                Throwable cause = done.cause();
                boolean timeOut = cause.getClass().getSimpleName().contains("Timeout");
                then.failed(
                    cause instanceof ConnectException && !timeOut,
                    String.valueOf(cause.getMessage()));
              }
            });
  }

  @Override
  public void listen(String address, int mostUnread, Listener listener) {
    server.connectHandler(socket -> listener.arrived(new Socket(socket, mostUnread)));
    server.exceptionHandler(e -> listener.notTaken(String.valueOf(e.getMessage())));
    server
        .listen(Configuration.port(address), Configuration.host(address))
        .onComplete(
            done ->
                listener.listens(
                    done.succeeded() ? null : String.valueOf(done.cause().getMessage())));
  }

  @Override
  public Wake after(Span span, Runnable step) {
    long timer = vertx.setTimer(ms(span), t -> step.run());
    return () -> vertx.cancelTimer(timer);
  }

  @Override
  public void every(Span span, Runnable step) {
    vertx.setPeriodic(ms(span), t -> step.run());
  }

  @Override
  public void later(Runnable step) {
    vertx.runOnContext(v -> step.run());
  }

  @Override
  public void written(Span atMost, Runnable step) {
    boolean[] done = {false};
    Runnable once =
        () -> {
          if (!done[0]) {
            done[0] = true;
            step.run();
          }
        };
    onceWritten = once;
    after(atMost, once);
    later(this::leftOne);
  }

  private void leftOne() {
    if (unwritten == 0 && onceWritten != null) {
      Runnable step = onceWritten;
      onceWritten = null;
      step.run();
    }
  }

  private static long ms(Span span) {
    return Math.max(1, (span.micros() + 999) / 1000);
  }

  private final class Socket implements Connection {
    private final NetSocket socket;

    private Socket(NetSocket socket, int mostUnread) {
      this.socket = socket;
      socket.setWriteQueueMaxSize(mostUnread);
      socket.exceptionHandler(e -> {}); // the close that follows says all
    }

    @Override
    public void hears(Consumer<byte[]> data, Runnable closed) {
      socket.handler(b -> data.accept(b.getBytes()));
      socket.closeHandler(v -> closed.run());
    }

    @Override
    public void write(byte[] message) {
      unwritten++;
      socket
          .write(Buffer.buffer(message))
          .onComplete(
              left -> {
                unwritten--;
                leftOne();
              });
    }

    @Override
    public boolean isFull() {
      return socket.writeQueueFull();
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
      socket.close();
    }

    @Override
    public String peer() {
      return String.valueOf(socket.remoteAddress());
    }
  }
}
