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
import linengauge.Headend;
import linengauge.Span;
import linengauge.carry.Wall;
import linengauge.session.BoxTable;
import linengauge.session.Carrier;
import linengauge.session.Desk;
import linengauge.session.Held;
import linengauge.session.ListFollower;
import linengauge.site.Site;
import linengauge.vrrp.Fitness;
import linengauge.vrrp.udp.Lease;
import net.logstash.logback.argument.StructuredArguments;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One running front: the core on one event loop, the desk, and round it the sockets. It turns what
 * happens on them into calls of the core and carries out what that decides.
 */
public final class FrontProgram implements Carrier {
  static {
    // The library's newer allocator keeps a whole chunk for the last buffer in it: bytes that wait
    // for slow viewers took five times their size. The older one shares chunks out again.
    if (System.getProperty("io.netty.allocator.type") == null) {
      System.setProperty("io.netty.allocator.type", "pooled");
    }
  }

  private static final Logger LOG = LoggerFactory.getLogger(FrontProgram.class);

  /** What the library's pool of direct buffers takes for a loop beside what waits. */
  private static final long DIRECT_BYTES_A_LOOP = 8L << 20;

  private static final Span QUIET_CHECK = Span.ofMillis(50);
  private static final Span ENDS_CHECK = Span.ofMillis(20);
  private static final Span FAILED_CLOSES_AFTER = Span.ofMillis(200);

  private final Site site;
  private final Headend house;

  /**
   * The desk's own loop, one for calls to boxes, and those of the viewers' connections: none can
   * starve another.
   */
  private final Vertx vertx;

  private final Vertx callLoops;
  private final Vertx viewerLoops;
  private final Routes routes = new Routes();

  /** The loops of the viewers' connections, as they start. */
  private final List<Loops> loops = new CopyOnWriteArrayList<>();

  private final Gate gate;
  private final FrontDatagrams datagrams;
  private final DeskLoop desk;

  /** Requests for viewings that wait for the desk; each leaves as the desk takes it. */
  private final AtomicInteger asksWaiting = new AtomicInteger();

  private final AtomicLong asksTurnedAway = new AtomicLong();
  private final CompletableFuture<String> over = new CompletableFuture<>();
  private final List<Door> doors = new CopyOnWriteArrayList<>();
  private Desk core;
  private BoxCalls calls;
  private Notes notes;
  private ListFeed feed;
  private Chores chores;
  private VrrpPairing vrrp;
  private FleetMembers members;
  private FleetLease lease;

  /** What the pairing asks for on its own thread. */
  private volatile int servingBoxes;

  private volatile boolean ready;
  private volatile boolean stopping;

  public FrontProgram(Site site) {
    this.site = site;
    this.house = site.deployment();
    this.gate = new Gate(site.listenerSettings());
    this.vertx = loops(1);
    this.callLoops = loops(1);
    this.viewerLoops = loops(site.viewers().loops());
    this.desk = new DeskLoop(vertx);
    this.datagrams = new FrontDatagrams(vertx, site);
  }

  private static Vertx loops(int count) {
    return Vertx.vertx(
        new VertxOptions().setEventLoopPoolSize(count).setPreferNativeTransport(false));
  }

  Site site() {
    return site;
  }

  Routes routes() {
    return routes;
  }

  Desk core() {
    return core;
  }

  Chores chores() {
    return chores;
  }

  Notes notes() {
    return notes;
  }

  List<Loops> loops() {
    return loops;
  }

  Gate gate() {
    return gate;
  }

  /** Whether the shared address of a virtual router is this front's. */
  Lease lease(int vrid) {
    return vrrp.lease(vrid);
  }

  ViewerEnd viewerOf(Held vw) {
    return (ViewerEnd) vw.viewer();
  }

  /* ---- start ---- */

  /** Starts the front; done once its listeners are bound, failed where one could not be. */
  public Future<?> start(long seed) {
    long wanted = site.flow().waitingBytes() + DIRECT_BYTES_A_LOOP * (site.viewers().loops() + 2);
    long has = PlatformDependent.maxDirectMemory();
    if (site.flow().guards() && wanted > has) {
      return Future.failedFuture(
          "flow.waitingBytes and "
              + DIRECT_BYTES_A_LOOP
              + " for each loop take "
              + wanted
              + " bytes of direct buffers, and this process may have "
              + has
              + ": see -XX:MaxDirectMemorySize");
    }
    try {
      vrrp = new VrrpPairing(site, lease -> doors.forEach(d -> d.gaveUp(lease)), this::isUnwell);
      members = new FleetMembers(site);
      lease = new FleetLease(site);
    } catch (IOException e) {
      return Future.failedFuture(e.getMessage());
    }
    SplittableRandom seeds = new SplittableRandom(seed);
    return vertx
        .deployVerticle(deskVerticle(seeds))
        .compose(d -> openDoors())
        .onSuccess(
            d ->
                LOG.info(
                    "listening {} {} {}",
                    StructuredArguments.kv("front", site.front().number()),
                    StructuredArguments.kv("viewers", site.front().viewers()),
                    StructuredArguments.kv("control", site.front().control())));
  }

  private VerticleBase deskVerticle(SplittableRandom seeds) {
    String epoch = Long.toString(System.currentTimeMillis(), 36);
    return new VerticleBase() {
      @Override
      public Future<?> start() {
        desk.begin(context);
        core =
            new Desk(
                house, site.sessionManagerLimits(), seeds.nextLong(), epoch, FrontProgram.this);
        desk.setCore(core);
        chores = new Chores(FrontProgram.this, site.work().settings(), seeds.nextLong());
        calls = new BoxCalls(callLoops, site, seeds.nextLong(), FrontProgram.this);
        notes = new Notes(callLoops, site, seeds.nextLong(), FrontProgram.this);
        feed = new ListFeed(callLoops, site, seeds.nextLong(), FrontProgram.this);
        core.clock(Wall.now());
        feed.open();
        return datagrams
            .open(bytes -> onDesk(() -> core.heard(bytes)))
            .compose(v -> controlListener().open());
      }
    };
  }

  private ControlListener controlListener() {
    return new ControlListener(
        vertx, site, request -> onDesk(() -> answerState(request)), () -> ready && !stopping);
  }

  private Future<?> openDoors() {
    return viewerLoops.deployVerticle(
        () -> {
          Door door = new Door(this, house);
          doors.add(door);
          return door;
        },
        new DeploymentOptions()
            .setInstances(site.viewers().loops())
            .setThreadingModel(ThreadingModel.EVENT_LOOP));
  }

  private boolean isUnwell() {
    Span mostLate = Span.ofMillis(site.vrrp().overloadedMs());
    return new Fitness(servingBoxes, Wall.now().since(desk.ranAt()), mostLate).isUnwell();
  }

  void listHeard() {
    int serving = 0;
    for (BoxTable.Entry box : core.boxes().all()) {
      serving += box.state() == BoxTable.State.SERVING ? 1 : 0;
    }
    servingBoxes = serving;
    if (!ready && core.listRevision() != ListFollower.NONE) {
      ready = true;
      vrrp.start();
      members.start();
      lease.start();
      LOG.info("ready {}", StructuredArguments.kv("boxes", core.boxes().size()));
    }
  }

  /* ---- steps on the desk ---- */

  /** See {@link DeskLoop#run}. */
  void onDesk(Runnable step) {
    desk.run(step);
  }

  /**
   * Takes a step to the desk that belongs to a request for a viewing; false, and not taken, where
   * too many wait already. Guards the desk against a surge that it could only answer too late.
   */
  boolean askOnDesk(Runnable step) {
    if (site.flow().guards() && asksWaiting.get() >= site.desk().waitingAsks()) {
      asksTurnedAway.incrementAndGet();
      return false;
    }
    asksWaiting.incrementAndGet();
    onDesk(
        () -> {
          asksWaiting.decrementAndGet();
          step.run();
        });
    return true;
  }

  /* ---- its state, for operators ---- */

  private void answerState(HttpServerRequest request) {
    lease.state(leaseState -> onDesk(() -> answerState(request, leaseState)));
  }

  private void answerState(HttpServerRequest request, JsonObject leaseState) {
    request
        .response()
        .putHeader("Content-Type", "application/json")
        .end(state().put("lease", leaseState).encode() + "\n");
  }

  private JsonObject state() {
    Desk.Counts c = core.counts();
    Runtime heap = Runtime.getRuntime();
    return new JsonObject()
        .put("front", site.front().number())
        .put("ready", ready)
        .put("stopping", stopping)
        .put("listRevision", core.listRevision())
        .put("boxes", core.boxes().size())
        .put("held", core.viewings())
        .put("keys", core.keys())
        .put("titles", core.titlesHeld())
        .put("routes", routes.size())
        .put("noteStreams", notes.open())
        .put("noteStreamsInUse", notes.inUse())
        .put("callsWaiting", calls.waiting())
        .put("wakes", desk.wakesWaiting())
        .put("viewerConnections", gate.served())
        .put(
            "door",
            gate.state()
                .put("asksWaiting", asksWaiting.get())
                .put("asksTurnedAway", asksTurnedAway.get()))
        .put("flow", Loops.sum(loops))
        .put("letGo", c.letGo)
        .put("endsGivenUp", calls.endsGivenUp())
        .put("listBreaks", feed.breaks())
        .put("taken", c.taken)
        .put("played", c.played)
        .put("blocked", c.blocked)
        .put("aborted", c.aborted)
        .put("left", c.left)
        .put("full", c.turnedAwayFull)
        .put("listGaps", c.listGaps)
        .put("wordsHeard", c.wordsHeard)
        .put("wordsPassedOver", c.wordsPassedOver)
        .put("wordsTooMany", datagrams.passedOver())
        .put("work", chores.state())
        .put("vrrp", vrrp.state())
        .put("members", members.state())
        .put("directUsed", directUsed())
        .put("heapUsed", heap.totalMemory() - heap.freeMemory());
  }

  private static long directUsed() {
    return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
        .filter(b -> b.getName().equals("direct"))
        .mapToLong(BufferPoolMXBean::getMemoryUsed)
        .sum();
  }

  /* ---- stop ---- */

  /**
   * Stops in order: nothing more is taken, what plays may go on for the site file's bound, then all
   * is closed.
   */
  public void stop() {
    if (stopping) {
      return;
    }
    stopping = true;
    vrrp.close(); // partners take over while what plays here goes on at the front's own address
    members.close(); // nobody has to find out that it is gone
    lease.leave();
    onDesk(
        () -> {
          LOG.info("stopping {}", StructuredArguments.kv("held", core.viewings()));
          core.stopTaking();
          awaitQuiet(Wall.micros() + 1000L * site.stop().playingMs());
        });
  }

  private void awaitQuiet(long until) {
    if (core.viewings() == 0 || Wall.micros() >= until) {
      core.endAll();
      awaitEnds(Wall.micros() + 1000L * site.boxes().endRetryMs() * 2);
    } else {
      wakeAfter(QUIET_CHECK, () -> awaitQuiet(until));
    }
  }

  /** Boxes hear of the last ends, within a short bound; then the sockets close. */
  private void awaitEnds(long until) {
    if (calls.waiting() > 0 && Wall.micros() < until) {
      wakeAfter(ENDS_CHECK, () -> awaitEnds(until));
      return;
    }
    feed.close();
    notes.close();
    calls.close();
    closeLoops("");
  }

  private void closeLoops(String why) {
    viewerLoops
        .close()
        .eventually(callLoops::close)
        .eventually(vertx::close)
        .onComplete(v -> over.complete(why));
  }

  /** Waits until the front has stopped; the cause where it failed, or an empty text. */
  public String await() throws InterruptedException {
    CountDownLatch latch = new CountDownLatch(1);
    over.whenComplete((why, e) -> latch.countDown());
    latch.await();
    return over.join();
  }

  /** Waits at most so long; false where it still runs. */
  public boolean await(long millis) throws InterruptedException {
    CountDownLatch latch = new CountDownLatch(1);
    over.whenComplete((why, e) -> latch.countDown());
    return latch.await(millis, TimeUnit.MILLISECONDS);
  }

  /* ---- what the core acts through ---- */

  @Override
  public Wake wakeAfter(Span span, Runnable step) {
    return desk.runAfter(span, step);
  }

  @Override
  public void setUp(Held vw, int tuneIn) {
    calls.setUp(vw, tuneIn);
  }

  @Override
  public void rung(Held vw) {
    viewerOf(vw).rungBytes(site.bytesOf(vw.ask().pack(), vw.rungNow()));
    calls.rung(vw);
  }

  @Override
  public void withdraw(Held vw, BoxTable.Entry box, int tuneIn) {
    calls.withdraw(vw, box, tuneIn);
  }

  @Override
  public void probe(BoxTable.Entry box) {
    calls.probe(box);
  }

  @Override
  public void send(int front, byte[] datagram) {
    datagrams.send(front, datagram);
  }

  @Override
  public void failed(RuntimeException cause) {
    LOG.error("the core has failed: the front ends", cause);
    ready = false;
    vrrp.leave();
    members.leave();
    lease.leave();
    desk.afterwards(FAILED_CLOSES_AFTER, () -> closeLoops("the core failed: " + cause));
  }
}
