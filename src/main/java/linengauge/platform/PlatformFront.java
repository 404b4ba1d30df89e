package linengauge.platform;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.Policy;
import linengauge.Span;
import linengauge.briefing.Briefing;
import linengauge.platform.keep.DescriptorBudget;
import linengauge.platform.keep.EventLoopLag;
import linengauge.session.Carrier.Wake;
import linengauge.session.Desk;

/**
 * A front in the operators' platform (docs/protocol/platform.md): viewers, boxes, the journal
 * service and the core, all of them carried by one {@link Net}. Whatever comes from outside enters
 * by {@link #handleEvent}, which tells the core the time.
 */
public final class PlatformFront {
  private static final Span SWEEP_INTERVAL = Span.ofMillis(200);
  private static final Span TICK_INTERVAL = Span.ofMillis(20);

  /** A turn of the loop so long is told. */
  private static final Span LOGGED_PAUSE = Span.ofMillis(200);

  private static final Span ACCEPT_AFTER_STOP = Span.ofMillis(750);
  private static final Span MAX_STOP_TIME_LIMIT = Span.ofSeconds(3);
  private static final Span STOP_AFTER_TIME_LIMIT = Span.ofMillis(500);

  /**
   * For its last words to leave, at the most; with what follows less than is left until it could be
   * killed.
   */
  private static final Span FLUSH_TIME_LIMIT = Span.ofMillis(90);

  /**
   * For peers to read them. Guards against the process's end over bytes that peers have sent
   * meanwhile: the system resets such a connection, and what the peer has not read is lost with it.
   */
  private static final Span LINGER_TIME = Span.ofMillis(60);

  /** What the platform allows for two words that cross. */
  private static final Span MAX_CROSSING_TIME = Span.ofMillis(50);

  /** What may run in one turn of what waits, and the next one. */
  private static final Span MAX_BATCH_TIME = Span.ofMillis(10);

  private static final Span NEXT_ITERATION_DELAY = Span.ofMillis(1);
  private static final Span RETRY_AFTER = Span.ofMillis(600);
  private static final int MAX_SESSIONS = 8000;

  /** Where it tells what operators should know. */
  public interface Observer {
    /** Something that may come by the thousand: what kind, of whom, and more. */
    void warn(String kind, Object subject, String detail);

    /** Something that comes seldom. */
    void info(String message);

    /** Something that happened to a request, a connection or a server; may come by the thousand. */
    default void event(LogEvent event) {}

    /** It has ended: in order (empty, null), or by a failure, which is named. */
    void stopped(String failure, RuntimeException cause);
  }

  /** How full its tables are. */
  public record TableSizes(
      int sessions,
      int clientSessions,
      int clientConnections,
      int pendingReleases,
      int servers,
      int linkedServers,
      int serverConnections,
      int titles) {}

  private final Configuration configuration;
  private final Net net;
  private final Observer observer;
  private final EventLoopLag lag;
  private final EventLog events;
  private final ServerLinks serverLinks;
  private final ClientListener clientListener;
  private final Desk sessionManager;
  private final DiscoveryWatch discoveryWatch;

  /** What waits until the loop has read what may have come meanwhile; the next turns empty it. */
  private final ArrayDeque<DeferredTask> deferredTasks = new ArrayDeque<>();

  private Moment now;
  private boolean stopping;

  /** Turns in which something waited there. */
  private long iterations;

  private boolean iterationScheduled;

  private record DeferredTask(long iteration, Moment addedAt, Runnable task) {}

  /** To be made and used where the net's calls run. */
  public PlatformFront(Configuration configuration, Net net, Observer observer) {
    this.configuration = configuration;
    this.net = net;
    this.observer = observer;
    this.now = net.now();
    this.lag = new EventLoopLag(MAX_CROSSING_TIME, now);
    this.events = new EventLog(this::now, observer::event);
    DescriptorBudget budget = DescriptorBudget.of(configuration.descriptorLimit());
    this.serverLinks = new ServerLinks(this, budget.boxes());
    this.clientListener = new ClientListener(this, budget.viewers());
    // No idle bound; and no stand-still of the core's own noticing: each request says how long it
    // may have lain.
    var limits =
        new Desk.Bounds(
            MAX_SESSIONS,
            Span.NONE,
            RETRY_AFTER.orLess(configuration.settings().headend().permits().longestAdvice()),
            Span.ofMillis(500),
            Span.ofSeconds(3600),
            Policy.ANSWER_MARGIN);
    this.sessionManager =
        new Desk(
            configuration.settings().headend(),
            limits,
            configuration.seed(),
            Long.toString(now.micros(), 36),
            serverLinks);
    this.discoveryWatch =
        new DiscoveryWatch(this, configuration.journalAddress(), configuration.seed());
  }

  /** Begins to serve; the outcome is told once: null, or why it cannot. */
  public void start(Consumer<String> outcome) {
    sessionManager.clock(now);
    configuration.knownEvents().forEach(discoveryWatch::applyKnown);
    discoveryWatch.connect();
    net.scheduleEvery(
        TICK_INTERVAL,
        () -> {
          now = net.now();
          Span sinceLastTick = lag.beat(now);
          clientListener.tick(now);
          if (LOGGED_PAUSE.under(sinceLastTick)) {
            warn("stood still", sinceLastTick.micros() / 1000 + " ms", "");
          }
        });
    net.scheduleEvery(
        SWEEP_INTERVAL,
        () ->
            handleEvent(
                () -> {
                  clientListener.sweep(now);
                  serverLinks.sweep();
                  discoveryWatch.checkSilence(now);
                }));
    net.listen(
        configuration.listenAddress(),
        ClientListener.WRITE_BUFFER_BYTES,
        new Net.AcceptHandler() {
          @Override
          public void listening(String failure) {
            if (failure == null) {
              observer.info(
                  "serving on "
                      + configuration.listenAddress()
                      + " with "
                      + sessionManager.boxes().size()
                      + " boxes known");
            }
            outcome.accept(
                failure == null
                    ? null
                    : "cannot listen on " + configuration.listenAddress() + ": " + failure);
          }

          @Override
          public void accepted(Net.Connection connection) {
            handleEvent(() -> clientListener.accepted(connection));
          }

          @Override
          public void acceptFailed(String reason) {
            warn("connection not taken", null, reason);
          }
        });
  }

  /** Anything that comes from outside: the core is told the time, then it runs. */
  void handleEvent(Runnable task) {
    updateClock();
    task.run();
  }

  /**
   * The time anew, for each message of a piece that was read: the process may have been held up in
   * its midst, and a yes must not leave after the viewer's patience.
   */
  void updateClock() {
    now = net.now();
    sessionManager.clock(now);
  }

  /** Tries a connection; what comes of it enters as an event of its own. */
  void connect(String address, int writeBufferBytes, Net.ConnectHandler handler) {
    net.connect(
        address,
        writeBufferBytes,
        new Net.ConnectHandler() {
          @Override
          public void connected(Net.Connection connection) {
            handleEvent(() -> handler.connected(connection));
          }

          @Override
          public void failed(boolean refused, String reason) {
            handleEvent(() -> handler.failed(refused, reason));
          }
        });
  }

  /** Runs it as an event of its own, once the present one is over. */
  void defer(Runnable task) {
    net.defer(() -> handleEvent(task));
  }

  /** Runs it once, after the span and never within the present event. */
  Wake schedule(Span delay, Runnable task) {
    return net.schedule(delay, () -> handleEvent(task));
  }

  /** How long what is read now may have lain unread. */
  Span maxReadDelay() {
    return lag.unread(now);
  }

  /** What came longer ago than words may cross may still lie unread. */
  boolean isBehind() {
    return lag.isBehind(net.now());
  }

  /**
   * Runs it once the loop has read what may have come longer ago than words may cross: at once
   * where it keeps up, else some turns later. Guards against acting, in or after a long turn, on
   * what a word that lies unread has undone: a set-up whose viewer has left, a connection closed
   * under a request. What waits runs in shares of a turn, so that it makes no long turn itself. It
   * could hurt by those turns where nothing had come; where they are long, one reading after 50 ms
   * must do.
   */
  void runOnceCaughtUp(Runnable task) {
    if (deferredTasks.isEmpty() && !isBehind()) {
      task.run();
    } else {
      deferredTasks.add(new DeferredTask(iterations, net.now(), task));
      scheduleDeferredTasks();
    }
  }

  private void scheduleDeferredTasks() {
    if (!iterationScheduled) {
      iterationScheduled = true;
      net.schedule(
          NEXT_ITERATION_DELAY,
          this::runDeferredTasks); // by a timer: what is merely put off runs before the loop reads
    }
  }

  private void runDeferredTasks() {
    iterationScheduled = false;
    iterations++;
    Moment startedAt = net.now();
    while (!deferredTasks.isEmpty()
        && net.now().before(startedAt.plus(MAX_BATCH_TIME))
        && (deferredTasks.peek().iteration() + EventLoopLag.READS <= iterations
            || !startedAt.before(deferredTasks.peek().addedAt().plus(MAX_CROSSING_TIME)))) {
      handleEvent(deferredTasks.poll().task());
    }
    if (!deferredTasks.isEmpty()) {
      scheduleDeferredTasks();
    }
  }

  EventLog events() {
    return events;
  }

  EventLoopLag lag() {
    return lag;
  }

  Moment now() {
    return now;
  }

  Desk sessionManager() {
    return sessionManager;
  }

  ServerLinks serverLinks() {
    return serverLinks;
  }

  ClientListener clientListener() {
    return clientListener;
  }

  Briefing settings() {
    return configuration.settings();
  }

  void warn(String kind, Object subject, String detail) {
    observer.warn(kind, subject, detail);
  }

  void failed(RuntimeException cause) {
    observer.stopped("the module failed: " + cause, cause);
  }

  public TableSizes tableSizes() {
    return new TableSizes(
        sessionManager.viewings(),
        clientListener.sessionCount(),
        clientListener.connectionCount(),
        clientListener.pendingReleaseCount(),
        sessionManager.boxes().size(),
        serverLinks.linkCount(),
        serverLinks.connectionCount(),
        sessionManager.titlesHeld());
  }

  /** A new configuration: of it the address of the journal service counts. */
  public void reconfigure(Configuration updated) {
    handleEvent(() -> discoveryWatch.changeAddress(updated.journalAddress()));
  }

  /**
   * The end in order: what comes is taken for as long as it may still come, every answer is given,
   * and what plays is kept playing until shortly before the process could be killed.
   */
  public void stop() {
    if (stopping) {
      return;
    }
    stopping = true;
    updateClock();
    observer.info(
        "told to stop: "
            + clientListener.sessionCount()
            + " viewings, "
            + clientListener.connectionCount()
            + " connections");
    // Killed no sooner than the longest patience (3 s at the most) and 0.7 s from now
    // (docs/protocol/platform.md); where that is
    // short it may come before this end: all is answered by then, and what plays is handed to the
    // next life.
    Span stopDelay =
        settings()
            .longestPatience()
            .orLess(MAX_STOP_TIME_LIMIT)
            .orMore(ACCEPT_AFTER_STOP)
            .plus(STOP_AFTER_TIME_LIMIT);
    // The listener stays: closing it would close every connection that came by it, with what is
    // owed there.
    schedule(ACCEPT_AFTER_STOP, sessionManager::stopTaking);
    schedule(
        stopDelay,
        () -> {
          observer.info(
              "ending: "
                  + clientListener.sessionCount()
                  + " viewings, "
                  + clientListener.connectionCount()
                  + " connections, "
                  + serverLinks.summary()
                  + ", longest turn "
                  + lag.longest().micros() / 1000
                  + " ms");
          clientListener.logOpenRequests();
          clientListener.startAllQueued();
          sessionManager.endAll();
          observer.info(
              "ended: "
                  + clientListener.sessionCount()
                  + " viewings, "
                  + clientListener.connectionCount()
                  + " connections, "
                  + clientListener.pendingReleaseCount()
                  + " ends untold");
          net.whenFlushed(
              FLUSH_TIME_LIMIT, () -> net.schedule(LINGER_TIME, () -> observer.stopped("", null)));
        });
  }
}
