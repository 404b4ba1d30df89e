package linengauge.platform;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import linengauge.net.EventWriter;
import linengauge.net.RateLimitedLog;
import linengauge.settings.InvalidSettingsException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The process of a front of the platform: its configuration file, signals, log and sockets. */
public final class Service implements PlatformFront.Observer {
  private static final Logger LOG = LoggerFactory.getLogger("linengauge.platform");

  private static final int LOOP_CHECK_INTERVAL_MS = 1000;
  private static final int FATAL_ERROR_EXIT_CODE = 3;

  private final Path configurationFile;
  private final VertxNet net;
  private final RateLimitedLog rateLimitedLog = new RateLimitedLog(LOG);
  private final EventWriter<LogEvent> events = new EventWriter<>(LOG, LogEvent::line);
  private final CompletableFuture<String> stopReason = new CompletableFuture<>();
  private final Object reloadLock = new Object();
  private final AtomicBoolean reloadPending = new AtomicBoolean();
  private PlatformFront front;

  /** Null once the front has started: it holds what is needed of it later. */
  private Configuration initialConfiguration;

  Service(Path configurationFile, Configuration configuration) {
    this.configurationFile = configurationFile;
    this.initialConfiguration = configuration;
    this.net = new VertxNet(configuration.settings().dialTimeout(), Service::haltOnError);
  }

  /** Runs a front until it is asked to stop; returns the exit code of the process. */
  public static int run(Map<String, String> environment) {
    // Signals may arrive before the front is ready: they are kept until it is.
    var started = new CompletableFuture<Service>();
    if (!Signals.register(
            "HUP", () -> started.thenAcceptAsync(Service::reload, Service::startReloadThread))
        || !Signals.register("TERM", () -> started.thenAccept(Service::stop))
        || !Signals.register("INT", () -> started.thenAccept(Service::stop))) {
      System.err.println("linengauge: this virtual machine does not support signal handlers");
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
    } catch (InvalidSettingsException error) {
      System.err.println("linengauge: " + path + ": " + error.getMessage());
      return 1;
    }
    service.start().whenComplete((ignored, error) -> started.complete(service));
    String failure = service.awaitStopReason();
    service.events.flush();
    if (!failure.isEmpty()) {
      System.err.println("linengauge: " + failure);
    }
    return failure.isEmpty() ? 0 : 1;
  }

  /** Starts the front; the future completes once it listens. */
  CompletableFuture<Void> start() {
    var listening = new CompletableFuture<Void>();
    events.start();
    net.runOnLoop(
        () -> {
          front = new PlatformFront(initialConfiguration, net, this);
          initialConfiguration = null;
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

  /**
   * Waits until the front has stopped and closes all that it held; returns the failure, or an empty
   * text if there was none.
   */
  String awaitStop() {
    String failure = stopReason.join();
    net.close();
    return failure;
  }

  /**
   * Waits for the reason of the stop. A front whose event loop has ended serves nobody any more, so
   * its process must end: then the platform can start another one.
   */
  private String awaitStopReason() {
    while (true) {
      try {
        return stopReason.get(LOOP_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
      } catch (TimeoutException e) {
        if (net.hasLoopEnded()) {
          return "the event loop has ended";
        }
      } catch (InterruptedException | ExecutionException e) {
        return e.toString();
      }
    }
  }

  /**
   * Ends the process at once: after an error, such as a lack of memory, the front's state is
   * unknown, and an orderly stop would need what has failed.
   */
  private static void haltOnError(Error error) {
    try {
      LOG.error("the front cannot go on", error);
    } finally {
      Runtime.getRuntime().halt(FATAL_ERROR_EXIT_CODE);
    }
  }

  /** Asks the front to stop in order; may be called from any thread. */
  void stop() {
    net.runOnLoop(() -> front.stop());
  }

  /**
   * Runs the task on a thread of its own: a reload reads a file, and the event loop, on which the
   * future may complete, must not wait for that.
   */
  private static void startReloadThread(Runnable task) {
    Thread thread = new Thread(task, "reload");
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Reads the configuration file again; must not run on the event loop. If the file cannot be used,
   * the current configuration stays in force. Each signal has a thread of its own; one thread at a
   * time reads the file and passes the result on before the next one reads, so that the
   * configuration applied last is the one read last. A thread that waits reads on behalf of all
   * signals that arrive meanwhile.
   */
  void reload() {
    if (reloadPending.getAndSet(true)) {
      return;
    }
    synchronized (reloadLock) {
      reloadPending.set(false);
      try {
        String journalAddress =
            Configuration.readWithoutKnownEvents(configurationFile).journalAddress();
        net.runOnLoop(() -> front.changeJournalAddress(journalAddress));
      } catch (InvalidSettingsException error) {
        net.runOnLoop(
            () ->
                warn(
                    "new configuration rejected",
                    configurationFile.getFileName(),
                    error.getMessage()));
      }
    }
  }

  /** Runs the task on the front's event loop, which does nothing else meanwhile. */
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
