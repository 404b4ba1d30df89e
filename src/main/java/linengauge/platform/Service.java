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

  private final Path file;
  private final Configuration posting;
  private final VertxNet net;
  private final Sparse sparse = new Sparse(LOG);
  private final EventWriter<LogEvent> events = new EventWriter<>(LOG, LogEvent::line);
  private final CompletableFuture<String> over = new CompletableFuture<>();
  private final Object reloadLock = new Object();
  private final AtomicBoolean reloadWaits = new AtomicBoolean();
  private PlatformFront front;

  Service(Path file, Configuration posting) {
    this.file = file;
    this.posting = posting;
    this.net = new VertxNet(posting.briefing().dial());
  }

  /** Runs a front until it is told to stop; returns the process's exit code. */
  public static int run(Map<String, String> environment) {
    // Signals may come before anything else is ready: they are remembered.
    var early = new CompletableFuture<Service>();
    if (!Signals.register("HUP", () -> early.thenAcceptAsync(Service::reload, Service::aside))
        || !Signals.register("TERM", () -> early.thenAccept(Service::stop))
        || !Signals.register("INT", () -> early.thenAccept(Service::stop))) {
      System.err.println("linengauge: this virtual machine hands no signals on");
      return 1;
    }
    String config = environment.get("PROXY_CONFIG");
    if (config == null || config.isEmpty()) {
      System.err.println("linengauge: PROXY_CONFIG should name the configuration file");
      return 1;
    }
    Service service;
    try {
      service = new Service(Path.of(config), Configuration.read(Path.of(config)));
    } catch (BadBriefing e) {
      System.err.println("linengauge: " + config + ": " + e.getMessage());
      return 1;
    }
    service.start().whenComplete((v, e) -> early.complete(service));
    String failed = service.over.join();
    service.events.flush();
    if (!failed.isEmpty()) {
      System.err.println("linengauge: " + failed);
    }
    return failed.isEmpty() ? 0 : 1;
  }

  /** Begins; the future is done once it listens. */
  CompletableFuture<Void> start() {
    var listening = new CompletableFuture<Void>();
    events.start();
    net.runOnLoop(
        () -> {
          front = new PlatformFront(posting, net, this);
          front.start(
              failed -> {
                if (failed == null) {
                  listening.complete(null);
                } else {
                  over.complete(failed);
                  listening.completeExceptionally(new IllegalStateException(failed));
                }
              });
        });
    return listening;
  }

  /** Waits for the end; empty, or what it failed by. Everything that it held is closed. */
  String awaitStop() {
    String failed = over.join();
    net.close();
    return failed;
  }

  /** Tells it to stop in order; from any thread. */
  void stop() {
    net.runOnLoop(() -> front.stop());
  }

  /**
   * On a thread of its own: a file is read, which the loop, where the future may be done, must not
   * wait for.
   */
  private static void aside(Runnable deed) {
    Thread thread = new Thread(deed, "reload");
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Not on the loop: a file that cannot be used leaves what is in force. Each signal has a thread
   * of its own; one reads at a time and hands over what it read before the next one reads, so that
   * what is applied last was read last. One that waits for that reads for all that came meanwhile.
   */
  void reload() {
    if (reloadWaits.getAndSet(true)) {
      return;
    }
    synchronized (reloadLock) {
      reloadWaits.set(false);
      try {
        Configuration anew = Configuration.read(file);
        net.runOnLoop(() -> front.reconfigure(anew));
      } catch (BadBriefing e) {
        net.runOnLoop(() -> warn("new configuration not used", file.getFileName(), e.getMessage()));
      }
    }
  }

  /** Runs it on the front's loop, which does nothing else meanwhile. */
  void runOnLoop(Runnable deed) {
    net.runOnLoop(deed);
  }

  @Override
  public void warn(String kind, Object about, String detail) {
    sparse.warn(kind, about + (detail.isEmpty() ? "" : ": " + detail), detail);
  }

  @Override
  public void info(String line) {
    LOG.info("{}", line);
  }

  @Override
  public void event(LogEvent event) {
    events.accept(event);
  }

  @Override
  public void stopped(String failed, RuntimeException cause) {
    if (cause != null) {
      LOG.error(failed, cause);
    }
    over.complete(failed);
  }
}
