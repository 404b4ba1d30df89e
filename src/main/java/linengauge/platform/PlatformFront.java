package linengauge.platform;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.Policy;
import linengauge.Span;
import linengauge.platform.connection.DescriptorBudget;
import linengauge.platform.connection.EventLoopLag;
import linengauge.session.SessionManager;
import linengauge.session.Transport.Timer;
import linengauge.settings.Settings;

/**
 * A front of the operators' platform (docs/protocol/platform.md): clients, media servers, the
 * journal service and the core, all connected through one {@link Net}. Every external event enters
 * through {@link #handleEvent}, which updates the core's clock first.
 */
public final class PlatformFront {
  private static final Span SWEEP_INTERVAL = Span.ofMillis(200);
  private static final Span TICK_INTERVAL = Span.ofMillis(20);

  /** A pause of the event loop longer than this is logged. */
  private static final Span LOGGED_PAUSE = Span.ofMillis(200);

  /** Requests may still arrive for this long after the order to stop. */
  private static final Span ACCEPT_AFTER_STOP = Span.ofMillis(750);

  private static final Span MAX_STOP_TIME_LIMIT = Span.ofSeconds(3);
  private static final Span STOP_AFTER_TIME_LIMIT = Span.ofMillis(500);

  /**
   * Upper bound for writing out the last messages. Together with {@link #LINGER_TIME} it is less
   * than the time left until the platform may kill the process.
   */
  private static final Span FLUSH_TIME_LIMIT = Span.ofMillis(90);

  /**
   * Time for the peers to read the last messages before the process exits. If the process exits
   * while bytes from a peer are unread, the system resets that connection, and what the peer has
   * not read yet is lost.
   */
  private static final Span LINGER_TIME = Span.ofMillis(60);

  /** How long the platform allows two messages to cross on the wire. */
  private static final Span MAX_CROSSING_TIME = Span.ofMillis(50);

  /** Time that deferred tasks may use in one loop iteration. */
  private static final Span MAX_BATCH_TIME = Span.ofMillis(10);

  private static final Span NEXT_ITERATION_DELAY = Span.ofMillis(1);
  private static final Span RETRY_AFTER = Span.ofMillis(600);
  private static final int MAX_SESSIONS = 8000;

  /** Receives what operators should know. */
  public interface Observer {
    /** A warning that may occur thousands of times: its kind, its subject and the details. */
    void warn(String kind, Object subject, String detail);

    /** A message about a rare event. */
    void info(String message);

    /** An event of a request, a connection or a server; may be called thousands of times. */
    default void event(LogEvent event) {}

    /** The front has stopped: in order (empty text, null), or because of a failure. */
    void stopped(String failure, RuntimeException cause);
  }

  /** The sizes of the front's tables. */
  public record TableSizes(
      int sessions,
      int uncountedSessions,
      int clientSessions,
      int clientConnections,
      int pendingReleases,
      int servers,
      int linkedServers,
      int serverConnections,
      int titles) {}

  private Configuration configuration;
  private final Net net;
  private final Observer observer;
  private final EventLoopLag lag;
  private final EventLog events;
  private final ServerLinks serverLinks;
  private final ClientListener clientListener;
  private final SessionManager sessionManager;
  private final DiscoveryWatch discoveryWatch;

  /**
   * Tasks that wait until the loop has read what may have arrived meanwhile; run by the next loop
   * iterations.
   */
  private final ArrayDeque<DeferredTask> deferredTasks = new ArrayDeque<>();

  private final Moment createdAt;
  private Moment now;
  private boolean stopping;

  /** Counts the loop iterations in which a task was waiting. */
  private long iterations;

  private boolean iterationScheduled;

  private record DeferredTask(long iteration, Moment addedAt, Runnable task) {}

  /** Must be created and used on the thread on which the net runs its callbacks. */
  public PlatformFront(Configuration configuration, Net net, Observer observer) {
    this.configuration = configuration;
    this.net = net;
    this.observer = observer;
    this.now = net.now();
    this.createdAt = now;
    this.lag = new EventLoopLag(MAX_CROSSING_TIME, now);
    this.events = new EventLog(this::now, observer::event);
    DescriptorBudget budget = DescriptorBudget.of(configuration.descriptorLimit());
    this.serverLinks = new ServerLinks(this, budget.servers());
    this.clientListener = new ClientListener(this, budget.clients());
    // No idle limit, and no pause detection by the core: each request carries the time that it may
    // have waited unread.
    var limits =
        new SessionManager.Limits(
            MAX_SESSIONS,
            Span.NONE,
            RETRY_AFTER.min(configuration.settings().deployment().permissions().maxRetryAfter()),
            Span.ofMillis(500),
            Span.ofSeconds(3600),
            Policy.ANSWER_MARGIN);
    this.sessionManager =
        new SessionManager(
            configuration.settings().deployment(),
            limits,
            configuration.seed(),
            Long.toString(now.micros(), 36),
            serverLinks);
    this.discoveryWatch =
        new DiscoveryWatch(this, configuration.journalAddress(), configuration.seed());
  }

  /**
   * Starts serving; the outcome is reported once: null, or the reason why the front cannot serve.
   */
  public void start(Consumer<String> outcome) {
    sessionManager.updateTime(now);
    configuration.knownEvents().forEach(discoveryWatch::applyKnown);
    configuration = configuration.withoutKnownEvents();
    discoveryWatch.connect();
    net.scheduleEvery(
        TICK_INTERVAL,
        () -> {
          now = net.now();
          Span sinceLastTick = lag.tick(now);
          clientListener.tick(now);
          if (LOGGED_PAUSE.isShorterThan(sinceLastTick)) {
            warn("event loop paused", sinceLastTick.micros() / 1000 + " ms", "");
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
                      + " servers known");
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
            warn("connection not accepted", null, reason);
          }
        });
  }

  /** Handles an external event: updates the core's clock, then runs the task. */
  void handleEvent(Runnable task) {
    updateClock();
    task.run();
  }

  /**
   * Updates the clock, once for each message of a chunk that was read: the process may have been
   * paused in the middle of it, and a positive answer must not be sent after the client's deadline.
   */
  void updateClock() {
    now = net.now();
    sessionManager.updateTime(now);
  }

  /** As {@link Net#connect}; the outcome is handled as an event of its own. */
  void connect(String address, Span timeLimit, int writeBufferBytes, Net.ConnectHandler handler) {
    net.connect(
        address,
        timeLimit,
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

  /** Runs the task as an event of its own, after the current one. */
  void defer(Runnable task) {
    net.defer(() -> handleEvent(task));
  }

  /** Runs the task once, after the delay and never within the current event. */
  Timer schedule(Span delay, Runnable task) {
    return net.schedule(delay, () -> handleEvent(task));
  }

  /** Upper bound of the time that what is read now may have waited unread. */
  Span maxReadDelay() {
    return lag.maxReadDelay(now);
  }

  /** Whether messages that arrived more than {@link #MAX_CROSSING_TIME} ago may still be unread. */
  boolean isBehind() {
    return lag.isBehind(net.now());
  }

  /**
   * Runs the task once the loop has read everything that may have arrived more than {@link
   * #MAX_CROSSING_TIME} ago: at once if the loop keeps up, else some iterations later. Without this
   * the front could act, in or after a long iteration, against a message that it has not read yet:
   * send an attempt whose client has left, or close a connection on which a request waits. Deferred
   * tasks run in batches of limited time, so that they cause no long iteration themselves. The task
   * waits for these iterations even if nothing had arrived; if they are long, one read after {@link
   * #MAX_CROSSING_TIME} has to suffice.
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
      // By a timer: a task given to Net.defer runs before the loop reads.
      net.schedule(NEXT_ITERATION_DELAY, this::runDeferredTasks);
    }
  }

  private void runDeferredTasks() {
    iterationScheduled = false;
    iterations++;
    Moment startedAt = net.now();
    while (!deferredTasks.isEmpty()
        && net.now().isBefore(startedAt.plus(MAX_BATCH_TIME))
        && (deferredTasks.peek().iteration() + EventLoopLag.TURNS_TO_READ <= iterations
            || !startedAt.isBefore(deferredTasks.peek().addedAt().plus(MAX_CROSSING_TIME)))) {
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

  /** When this front was created; sessions handed over to it were established before. */
  Moment createdAt() {
    return createdAt;
  }

  SessionManager sessionManager() {
    return sessionManager;
  }

  ServerLinks serverLinks() {
    return serverLinks;
  }

  ClientListener clientListener() {
    return clientListener;
  }

  Settings settings() {
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
        sessionManager.sessionCount(),
        sessionManager.uncountedSessionCount(),
        clientListener.sessionCount(),
        clientListener.connectionCount(),
        clientListener.pendingReleaseCount(),
        sessionManager.boxes().size(),
        serverLinks.linkCount(),
        serverLinks.connectionCount(),
        sessionManager.titleCount());
  }

  /**
   * Applies the only part of a new configuration that is used while the front serves: the address
   * of the journal service.
   */
  public void changeJournalAddress(String address) {
    handleEvent(() -> discoveryWatch.changeAddress(address));
  }

  /**
   * Stops in order: requests are accepted for as long as they may still arrive, every request is
   * answered, and sessions are kept until shortly before the process could be killed.
   */
  public void stop() {
    if (stopping) {
      return;
    }
    stopping = true;
    updateClock();
    observer.info(
        "stopping: "
            + clientListener.sessionCount()
            + " sessions, "
            + clientListener.connectionCount()
            + " connections");
    // The platform kills the process no sooner than 0.7 s after the longest time limit of a
    // request (3 s at the most), counted from now (docs/protocol/platform.md). If that time limit
    // is short, the kill may come before the end of this stop: by then every request has been
    // answered, and established sessions are handed over to the next process.
    Span stopDelay =
        settings()
            .longestTimeLimit()
            .min(MAX_STOP_TIME_LIMIT)
            .max(ACCEPT_AFTER_STOP)
            .plus(STOP_AFTER_TIME_LIMIT);
    // The listener stays open: closing it would close every connection accepted by it, together
    // with the answers that are still owed there.
    schedule(ACCEPT_AFTER_STOP, sessionManager::stopAccepting);
    schedule(
        stopDelay,
        () -> {
          observer.info(
              "closing: "
                  + clientListener.sessionCount()
                  + " sessions, "
                  + sessionManager.uncountedSessionCount()
                  + " of them not counted, "
                  + clientListener.connectionCount()
                  + " connections, "
                  + serverLinks.summary()
                  + ", longest loop iteration "
                  + lag.longestTurn().micros() / 1000
                  + " ms");
          clientListener.logOpenRequests();
          clientListener.startAllQueued();
          sessionManager.endAll();
          observer.info(
              "stopped: "
                  + clientListener.sessionCount()
                  + " sessions, "
                  + clientListener.connectionCount()
                  + " connections, "
                  + clientListener.pendingReleaseCount()
                  + " releases pending");
          net.whenFlushed(
              FLUSH_TIME_LIMIT, () -> net.schedule(LINGER_TIME, () -> observer.stopped("", null)));
        });
  }
}
