package linengauge.front;

import io.netty.util.internal.PlatformDependent;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.ThreadingModel;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import linengauge.Deployment;
import linengauge.Span;
import linengauge.net.WallClock;
import linengauge.session.BoxTable;
import linengauge.session.DiscoveryCache;
import linengauge.session.Session;
import linengauge.session.SessionManager;
import linengauge.session.Transport;
import linengauge.site.Site;
import linengauge.vrrp.FrontHealth;
import linengauge.vrrp.udp.AddressLease;
import net.logstash.logback.argument.StructuredArguments;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One running front: the session manager on an event loop of its own, and the sockets around it.
 * Events on the sockets become calls of the session manager, and its decisions are carried out
 * here.
 */
public final class FrontServer implements Transport {
  static {
    // Netty's newer allocator retains a whole chunk for the last buffer in it: bytes waiting for
    // slow viewers took five times their size. The older, pooled allocator reuses parts of chunks.
    if (System.getProperty("io.netty.allocator.type") == null) {
      System.setProperty("io.netty.allocator.type", "pooled");
    }
  }

  private static final Logger LOG = LoggerFactory.getLogger(FrontServer.class);

  /**
   * Direct memory that the library's buffer pool takes for each event loop, beside the waiting
   * bytes.
   */
  private static final long DIRECT_BYTES_PER_LOOP = 8L << 20;

  private static final Span DRAIN_CHECK_INTERVAL = Span.ofMillis(50);
  private static final Span PENDING_CALLS_CHECK_INTERVAL = Span.ofMillis(20);
  private static final Span CLOSE_DELAY_AFTER_FAILURE = Span.ofMillis(200);

  private final Site site;
  private final Deployment deployment;

  /**
   * The session manager, calls to boxes and viewers' connections have separate event loops, so that
   * none can starve another.
   */
  private final Vertx sessionVertx;

  private final Vertx boxVertx;
  private final Vertx viewerVertx;
  private final ActiveViewings activeViewings = new ActiveViewings();

  /** The event loops of viewers' connections, added as they start. */
  private final List<EventLoops> eventLoops = new CopyOnWriteArrayList<>();

  private final AdmissionControl admission;
  private final FrontDatagrams datagrams;
  private final SessionLoop sessionLoop;

  /** Requests for viewings that wait for the session loop; each is removed as the loop takes it. */
  private final AtomicInteger waitingRequests = new AtomicInteger();

  private final AtomicLong rejectedRequests = new AtomicLong();
  private final CompletableFuture<String> stopped = new CompletableFuture<>();
  private final List<Listener> listeners = new CopyOnWriteArrayList<>();
  private SessionManager sessionManager;
  private BoxClient boxClient;
  private NoteStreams noteStreams;
  private DiscoveryClient discovery;
  private BackgroundJobs backgroundJobs;
  private VrrpPairing vrrp;
  private FleetMembership membership;
  private FleetLease fleetLease;

  /** Read by the VRRP node on its own thread. */
  private volatile int servingBoxes;

  private volatile boolean ready;
  private volatile boolean stopping;

  public FrontServer(Site site) {
    this.site = site;
    this.deployment = site.deployment();
    this.admission = new AdmissionControl(site.listenerSettings());
    this.sessionVertx = newVertx(1);
    this.boxVertx = newVertx(1);
    this.viewerVertx = newVertx(site.viewers().loops());
    this.sessionLoop = new SessionLoop(sessionVertx);
    this.datagrams = new FrontDatagrams(sessionVertx, site);
  }

  private static Vertx newVertx(int eventLoopCount) {
    return Vertx.vertx(
        new VertxOptions().setEventLoopPoolSize(eventLoopCount).setPreferNativeTransport(false));
  }

  Site site() {
    return site;
  }

  ActiveViewings activeViewings() {
    return activeViewings;
  }

  SessionManager sessionManager() {
    return sessionManager;
  }

  BackgroundJobs backgroundJobs() {
    return backgroundJobs;
  }

  NoteStreams noteStreams() {
    return noteStreams;
  }

  List<EventLoops> eventLoops() {
    return eventLoops;
  }

  AdmissionControl admission() {
    return admission;
  }

  /** The lease that shows whether this front holds the shared address of a virtual router. */
  AddressLease addressLease(int vrid) {
    return vrrp.lease(vrid);
  }

  HttpViewer viewerOf(Session viewing) {
    return (HttpViewer) viewing.viewer();
  }

  /* ---- start ---- */

  /**
   * Starts the front. The future completes once the listeners are bound, and fails where one could
   * not be.
   */
  public Future<?> start(long seed) {
    long requiredBytes =
        site.flow().waitingBytes() + DIRECT_BYTES_PER_LOOP * (site.viewers().loops() + 2);
    long availableBytes = PlatformDependent.maxDirectMemory();
    if (site.flow().guards() && requiredBytes > availableBytes) {
      return Future.failedFuture(
          "flow.waitingBytes and "
              + DIRECT_BYTES_PER_LOOP
              + " for each loop take "
              + requiredBytes
              + " bytes of direct buffers, and this process may have "
              + availableBytes
              + ": see -XX:MaxDirectMemorySize");
    }
    try {
      vrrp =
          new VrrpPairing(
              site,
              lease -> listeners.forEach(listener -> listener.addressLost(lease)),
              this::isUnfit);
      membership = new FleetMembership(site);
      fleetLease = new FleetLease(site);
    } catch (IOException e) {
      return Future.failedFuture(e.getMessage());
    }
    SplittableRandom seeds = new SplittableRandom(seed);
    return sessionVertx
        .deployVerticle(sessionVerticle(seeds))
        .compose(d -> openListeners())
        .onSuccess(
            d ->
                LOG.info(
                    "listening {} {} {}",
                    StructuredArguments.kv("front", site.front().number()),
                    StructuredArguments.kv("viewers", site.front().viewers()),
                    StructuredArguments.kv("control", site.front().control())));
  }

  private VerticleBase sessionVerticle(SplittableRandom seeds) {
    String epoch = Long.toString(System.currentTimeMillis(), 36);
    return new VerticleBase() {
      @Override
      public Future<?> start() {
        sessionLoop.bind(context);
        sessionManager =
            new SessionManager(
                deployment, site.sessionManagerLimits(), seeds.nextLong(), epoch, FrontServer.this);
        sessionLoop.setSessionManager(sessionManager);
        backgroundJobs =
            new BackgroundJobs(FrontServer.this, site.work().settings(), seeds.nextLong());
        boxClient = new BoxClient(boxVertx, site, seeds.nextLong(), FrontServer.this);
        noteStreams = new NoteStreams(boxVertx, site, seeds.nextLong(), FrontServer.this);
        discovery = new DiscoveryClient(boxVertx, site, seeds.nextLong(), FrontServer.this);
        sessionManager.updateTime(WallClock.now());
        discovery.open();
        return datagrams
            .open(bytes -> runOnSessionLoop(() -> sessionManager.datagramReceived(bytes)))
            .compose(v -> controlListener().open());
      }
    };
  }

  private ControlListener controlListener() {
    return new ControlListener(
        sessionVertx,
        site,
        request -> runOnSessionLoop(() -> respondState(request)),
        () -> ready && !stopping);
  }

  private Future<?> openListeners() {
    return viewerVertx.deployVerticle(
        () -> {
          Listener listener = new Listener(this, deployment);
          listeners.add(listener);
          return listener;
        },
        new DeploymentOptions()
            .setInstances(site.viewers().loops())
            .setThreadingModel(ThreadingModel.EVENT_LOOP));
  }

  private boolean isUnfit() {
    Span maxDelay = Span.ofMillis(site.vrrp().overloadedMs());
    return new FrontHealth(servingBoxes, WallClock.now().since(sessionLoop.lastStepAt()), maxDelay)
        .isUnhealthy();
  }

  void discoveryUpdated() {
    int serving = 0;
    for (BoxTable.Entry box : sessionManager.boxes().all()) {
      serving += box.state() == BoxTable.State.SERVING ? 1 : 0;
    }
    servingBoxes = serving;
    if (!ready && sessionManager.discoveryRevision() != DiscoveryCache.NO_REVISION) {
      ready = true;
      vrrp.start();
      membership.start();
      fleetLease.start();
      LOG.info("ready {}", StructuredArguments.kv("boxes", sessionManager.boxes().size()));
    }
  }

  /* ---- session loop ---- */

  /** Runs a step on the session loop; see {@link SessionLoop#run}. */
  void runOnSessionLoop(Runnable step) {
    sessionLoop.run(step);
  }

  /**
   * Runs the step of a request for a viewing on the session loop; false, and not run, where too
   * many requests are waiting. Guards the session loop against a burst that it could only answer
   * too late.
   */
  boolean submitRequest(Runnable step) {
    if (site.flow().guards() && waitingRequests.get() >= site.desk().waitingAsks()) {
      rejectedRequests.incrementAndGet();
      return false;
    }
    waitingRequests.incrementAndGet();
    runOnSessionLoop(
        () -> {
          waitingRequests.decrementAndGet();
          step.run();
        });
    return true;
  }

  /* ---- state for operators ---- */

  private void respondState(HttpServerRequest request) {
    fleetLease.state(leaseState -> runOnSessionLoop(() -> respondState(request, leaseState)));
  }

  private void respondState(HttpServerRequest request, JsonObject leaseState) {
    request
        .response()
        .putHeader("Content-Type", "application/json")
        .end(state().put("lease", leaseState).encode() + "\n");
  }

  private JsonObject state() {
    SessionManager.Counters counts = sessionManager.counters();
    Runtime runtime = Runtime.getRuntime();
    return new JsonObject()
        .put("front", site.front().number())
        .put("ready", ready)
        .put("stopping", stopping)
        .put("listRevision", sessionManager.discoveryRevision())
        .put("boxes", sessionManager.boxes().size())
        .put("held", sessionManager.sessionCount())
        .put("keys", sessionManager.keyCount())
        .put("titles", sessionManager.titleCount())
        .put("routes", activeViewings.size())
        .put("noteStreams", noteStreams.openStreams())
        .put("noteStreamsInUse", noteStreams.streamsInUse())
        .put("callsWaiting", boxClient.pendingCalls())
        .put("wakes", sessionLoop.pendingTimers())
        .put("viewerConnections", admission.openConnections())
        .put(
            "door",
            admission
                .state()
                .put("asksWaiting", waitingRequests.get())
                .put("asksTurnedAway", rejectedRequests.get()))
        .put("flow", EventLoops.sum(eventLoops))
        .put("letGo", counts.slowViewersDropped)
        .put("endsGivenUp", boxClient.endsGivenUp())
        .put("listBreaks", discovery.disconnects())
        .put("taken", counts.accepted)
        .put("played", counts.played)
        .put("blocked", counts.rejected)
        .put("aborted", counts.failed)
        .put("left", counts.left)
        .put("full", counts.rejectedFull)
        .put("listGaps", counts.discoveryGaps)
        .put("wordsHeard", counts.messagesReceived)
        .put("wordsPassedOver", counts.messagesIgnored)
        .put("wordsTooMany", datagrams.dropped())
        .put("work", backgroundJobs.state())
        .put("vrrp", vrrp.state())
        .put("members", membership.state())
        .put("directUsed", directUsed())
        .put("heapUsed", runtime.totalMemory() - runtime.freeMemory());
  }

  private static long directUsed() {
    return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
        .filter(b -> b.getName().equals("direct"))
        .mapToLong(BufferPoolMXBean::getMemoryUsed)
        .sum();
  }

  /* ---- stop ---- */

  /**
   * Stops in order: no further request is accepted, running viewings may continue for the time
   * limit of the site file, then everything is closed.
   */
  public void stop() {
    if (stopping) {
      return;
    }
    stopping = true;
    vrrp.close(); // partners take over while running viewings continue at the front's own address
    membership.close(); // announces the departure, so that nobody has to detect it
    fleetLease.leave();
    runOnSessionLoop(
        () -> {
          LOG.info("stopping {}", StructuredArguments.kv("held", sessionManager.sessionCount()));
          sessionManager.stopAccepting();
          awaitViewings(WallClock.micros() + 1000L * site.stop().playingMs());
        });
  }

  private void awaitViewings(long deadlineMicros) {
    if (sessionManager.sessionCount() == 0 || WallClock.micros() >= deadlineMicros) {
      sessionManager.endAll();
      awaitPendingCalls(WallClock.micros() + 1000L * site.boxes().endRetryMs() * 2);
    } else {
      schedule(DRAIN_CHECK_INTERVAL, () -> awaitViewings(deadlineMicros));
    }
  }

  /** Waits a short time for boxes to confirm the last ends, then closes the sockets. */
  private void awaitPendingCalls(long deadlineMicros) {
    if (boxClient.pendingCalls() > 0 && WallClock.micros() < deadlineMicros) {
      schedule(PENDING_CALLS_CHECK_INTERVAL, () -> awaitPendingCalls(deadlineMicros));
      return;
    }
    discovery.close();
    noteStreams.close();
    boxClient.close();
    closeEventLoops("");
  }

  private void closeEventLoops(String cause) {
    viewerVertx
        .close()
        .eventually(boxVertx::close)
        .eventually(sessionVertx::close)
        .onComplete(v -> stopped.complete(cause));
  }

  /**
   * Waits until the front has stopped.
   *
   * @return the cause where it failed, or an empty string
   */
  public String await() throws InterruptedException {
    CountDownLatch latch = new CountDownLatch(1);
    stopped.whenComplete((cause, e) -> latch.countDown());
    latch.await();
    return stopped.join();
  }

  /** Waits at most so many milliseconds; false where the front is still running. */
  public boolean await(long millis) throws InterruptedException {
    CountDownLatch latch = new CountDownLatch(1);
    stopped.whenComplete((cause, e) -> latch.countDown());
    return latch.await(millis, TimeUnit.MILLISECONDS);
  }

  /* ---- transport of the session manager ---- */

  @Override
  public Timer schedule(Span span, Runnable step) {
    return sessionLoop.schedule(span, step);
  }

  @Override
  public void setUp(Session viewing, int tuneIn) {
    boxClient.setUp(viewing, tuneIn);
  }

  @Override
  public void changeRung(Session viewing) {
    viewerOf(viewing)
        .rungBytesPerSecond(site.bytesOf(viewing.request().packageIndex(), viewing.currentRung()));
    boxClient.updateRung(viewing);
  }

  @Override
  public void cancelAtBox(Session viewing, BoxTable.Entry box, int tuneIn) {
    boxClient.cancel(viewing, box, tuneIn);
  }

  @Override
  public void probe(BoxTable.Entry box) {
    boxClient.probe(box);
  }

  @Override
  public void send(int front, byte[] datagram) {
    datagrams.send(front, datagram);
  }

  @Override
  public void coreFailed(RuntimeException cause) {
    LOG.error("the session manager failed; the front stops", cause);
    ready = false;
    vrrp.leave();
    membership.leave();
    fleetLease.leave();
    sessionLoop.scheduleOutsideSteps(
        CLOSE_DELAY_AFTER_FAILURE, () -> closeEventLoops("the session manager failed: " + cause));
  }
}
