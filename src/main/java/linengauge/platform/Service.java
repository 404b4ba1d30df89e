package linengauge.platform;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import linengauge.briefing.BadBriefing;
import linengauge.net.EventWriter;
import linengauge.net.RateLimitedLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The process of a front in the platform: its configuration file, its signals, its log, and sockets
 * that carry it.
 */
public final class Service implements PlatformFront.Told {
  private static final Logger LOG = LoggerFactory.getLogger("linengauge.platform");

  private final Path file;
  private final Configuration posting;
  private final VertxNet net;
  private final RateLimitedLog sparse = new RateLimitedLog(LOG);
  private final EventWriter<LogEvent> events = new EventWriter<>(LOG, LogEvent::line);
  private final CompletableFuture<String> over = new CompletableFuture<>();
  private final Object reload = new Object();
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
    if (!Signals.on("HUP", () -> early.thenAcceptAsync(Service::postedAnew, Service::aside))
        || !Signals.on("TERM", () -> early.thenAccept(Service::tellToStop))
        || !Signals.on("INT", () -> early.thenAccept(Service::tellToStop))) {
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
    service.begin().whenComplete((v, e) -> early.complete(service));
    String failed = service.over.join();
    service.events.flush();
    if (!failed.isEmpty()) {
      System.err.println("linengauge: " + failed);
    }
    return failed.isEmpty() ? 0 : 1;
  }

  /** Begins; the future is done once it listens. */
  CompletableFuture<Void> begin() {
    var listening = new CompletableFuture<Void>();
    events.start();
    net.onLoop(
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
  String await() {
    String failed = over.join();
    net.close();
    return failed;
  }

  /** Tells it to stop in order; from any thread. */
  void tellToStop() {
    net.onLoop(() -> front.stop());
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
  void postedAnew() {
    if (reloadWaits.getAndSet(true)) {
      return;
    }
    synchronized (reload) {
      reloadWaits.set(false);
      try {
        Configuration anew = Configuration.read(file);
        net.onLoop(() -> front.postedAnew(anew));
      } catch (BadBriefing e) {
        net.onLoop(() -> warn("new configuration not used", file.getFileName(), e.getMessage()));
      }
    }
  }

  /** Runs it on the front's loop, which does nothing else meanwhile. */
  void onLoop(Runnable deed) {
    net.onLoop(deed);
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
  public void over(String failed, RuntimeException cause) {
    if (cause != null) {
      LOG.error(failed, cause);
    }
    over.complete(failed);
  }
}
