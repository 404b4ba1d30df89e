package linengauge.platform;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import linengauge.briefing.BadBriefing;
import linengauge.carry.EventWriter;
import linengauge.carry.Sparse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The process of a front in the platform: its configuration file, its signals, its log, and sockets
 * that carry it.
 */
public final class Service implements PlatformFront.Observer {
  private static final Logger LOG = LoggerFactory.getLogger("linengauge.platform");

  private final Path configurationFile;
  private final Configuration configuration;
  private final VertxNet net;
  private final Sparse rateLimitedLog = new Sparse(LOG);
  private final EventWriter<LogEvent> events = new EventWriter<>(LOG, LogEvent::line);
  private final CompletableFuture<String> stopReason = new CompletableFuture<>();
  private final Object reloadLock = new Object();
  private final AtomicBoolean reloadPending = new AtomicBoolean();
  private PlatformFront front;

  Service(Path configurationFile, Configuration configuration) {
    this.configurationFile = configurationFile;
    this.configuration = configuration;
    this.net = new VertxNet(configuration.settings().dial());
  }

  /** Runs a front until it is told to stop; returns the process's exit code. */
  public static int run(Map<String, String> environment) {
    // Signals may come before anything else is ready: they are remembered.
    var started = new CompletableFuture<Service>();
    if (!Signals.register(
            "HUP", () -> started.thenAcceptAsync(Service::reload, Service::startReloadThread))
        || !Signals.register("TERM", () -> started.thenAccept(Service::stop))
        || !Signals.register("INT", () -> started.thenAccept(Service::stop))) {
      System.err.println("linengauge: this virtual machine hands no signals on");
      return 1;
    }
    String path = environment.get("PROXY_CONFIG");
    if (path == null || path.isEmpty()) {
      System.err.println("linengauge: PROXY_CONFIG should name the configuration file");
      return 1;
    }
    Service service;
    try {
      service = new Service(Path.of(path), Configuration.read(Path.of(path)));
    } catch (BadBriefing error) {
      System.err.println("linengauge: " + path + ": " + error.getMessage());
      return 1;
    }
    service.start().whenComplete((nothing, error) -> started.complete(service));
    String failure = service.stopReason.join();
    service.events.flush();
    if (!failure.isEmpty()) {
      System.err.println("linengauge: " + failure);
    }
    return failure.isEmpty() ? 0 : 1;
  }

  /** Begins; the future is done once it listens. */
  CompletableFuture<Void> start() {
    var listening = new CompletableFuture<Void>();
    events.start();
    net.runOnLoop(
        () -> {
          front = new PlatformFront(configuration, net, this);
          front.start(
              failure -> {
                if (failure == null) {
                  listening.complete(null);
                } else {
                  stopReason.complete(failure);
                  listening.completeExceptionally(new IllegalStateException(failure));
                }
              });
        });
    return listening;
  }

  /** Waits for the end; empty, or what it failed by. Everything that it held is closed. */
  String awaitStop() {
    String failure = stopReason.join();
    net.close();
    return failure;
  }

  /** Tells it to stop in order; from any thread. */
  void stop() {
    net.runOnLoop(() -> front.stop());
  }

  /**
   * On a thread of its own: a file is read, which the loop, where the future may be done, must not
   * wait for.
   */
  private static void startReloadThread(Runnable task) {
    Thread thread = new Thread(task, "reload");
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Not on the loop: a file that cannot be used leaves what is in force. Each signal has a thread
   * of its own; one reads at a time and hands over what it read before the next one reads, so that
   * what is applied last was read last. One that waits for that reads for all that came meanwhile.
   */
  void reload() {
    if (reloadPending.getAndSet(true)) {
      return;
    }
    synchronized (reloadLock) {
      reloadPending.set(false);
      try {
        Configuration updated = Configuration.read(configurationFile);
        net.runOnLoop(() -> front.reconfigure(updated));
      } catch (BadBriefing error) {
        net.runOnLoop(
            () ->
                warn(
                    "new configuration not used",
                    configurationFile.getFileName(),
                    error.getMessage()));
      }
    }
  }

  /** Runs it on the front's loop, which does nothing else meanwhile. */
  void runOnLoop(Runnable task) {
    net.runOnLoop(task);
  }

  @Override
  public void warn(String kind, Object subject, String detail) {
    rateLimitedLog.warn(kind, subject + (detail.isEmpty() ? "" : ": " + detail), detail);
  }

  @Override
  public void info(String message) {
    LOG.info("{}", message);
  }

  @Override
  public void event(LogEvent event) {
    events.accept(event);
  }

  @Override
  public void stopped(String failure, RuntimeException cause) {
    if (cause != null) {
      LOG.error(failure, cause);
    }
    stopReason.complete(failure);
  }
}
