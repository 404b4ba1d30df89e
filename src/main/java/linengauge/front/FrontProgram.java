package linengauge.front;

import io.netty.util.internal.PlatformDependent;
import io.vertx.core.Context;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.ThreadingModel;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import linengauge.Headend;
import linengauge.Moment;
import linengauge.Span;
import linengauge.carry.Wall;
import linengauge.flow.Intake;
import linengauge.membership.Member;
import linengauge.membership.MembershipSettings;
import linengauge.membership.udp.MembershipNode;
import linengauge.session.BoxTable;
import linengauge.session.Carrier;
import linengauge.session.Desk;
import linengauge.session.Held;
import linengauge.session.ListFollower;
import linengauge.site.Site;
import linengauge.vrrp.Fitness;
import linengauge.vrrp.udp.Lease;
import linengauge.vrrp.udp.UdpNode;
import linengauge.vrrp.udp.UdpTerms;
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
    // for slow viewers took
    // five times their size. The older one shares chunks out again.
    if (System.getProperty("io.netty.allocator.type") == null) {
      System.setProperty("io.netty.allocator.type", "pooled");
    }
  }

  private static final Logger LOG = LoggerFactory.getLogger(FrontProgram.class);

  /** A key that can be guessed is none. */
  private static final int SHORTEST_KEY = 16;

  /** What the library's pool of direct buffers takes for a loop beside what waits. */
  private static final long DIRECT_BYTES_A_LOOP = 8L << 20;

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

  /** Used on the desk alone. */
  private final Intake intake;

  /** Requests for viewings that wait for the desk; each leaves as the desk takes it. */
  private final AtomicInteger asksWaiting = new AtomicInteger();

  private final AtomicLong asksTurnedAway = new AtomicLong();
  private final CompletableFuture<String> over = new CompletableFuture<>();
  private Context deskContext;
  private Desk core;
  private BoxCalls calls;
  private Notes notes;
  private ListFeed feed;
  private Chores chores;
  private DatagramSocket words;
  private Wakes wakes;

  /** A step of the core is running; read and written on the desk, where alone it is true. */
  private volatile boolean within;

  /** Pairing with other fronts; null where there is none. */
  private UdpNode vrrp;

  /** Who of the fleet is there; null where the site file does not ask for it. */
  private MembershipNode members;

  private final List<Door> doors = new CopyOnWriteArrayList<>();

  /** What the pairing asks for on its own thread. */
  private volatile int servingBoxes;

  private volatile long deskRanAt = Wall.micros();
  private volatile boolean ready;
  private volatile boolean stopping;

  public FrontProgram(Site site) {
    this.site = site;
    this.house = site.headend();
    this.gate = new Gate(site.door());
    this.intake = new Intake(site.fronts().wordsPerSecond(), 2 * site.fronts().count() + 8);
    this.vertx = loops(1);
    this.callLoops = loops(1);
    this.viewerLoops = loops(site.viewers().loops());
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

  ViewerEnd viewerOf(Held vw) {
    return (ViewerEnd) vw.viewer();
  }

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
    SplittableRandom seeds = new SplittableRandom(seed);
    String epoch = Long.toString(System.currentTimeMillis(), 36);
    VerticleBase desk =
        new VerticleBase() {
          @Override
          public Future<?> start() {
            deskContext = context;
            // A fault of the carrier costs what it was about; the core's own bound still answers
            // the viewer.
            context.exceptionHandler(e -> LOG.error("a step on the desk failed", e));
            wakes = new Wakes(vertx);
            core = new Desk(house, site.bounds(), seeds.nextLong(), epoch, FrontProgram.this);
            chores = new Chores(FrontProgram.this, site.work().terms(), seeds.nextLong());
            calls = new BoxCalls(callLoops, site, seeds.nextLong(), FrontProgram.this);
            notes = new Notes(callLoops, site, seeds.nextLong(), FrontProgram.this);
            feed = new ListFeed(callLoops, site, seeds.nextLong(), FrontProgram.this);
            core.clock(Wall.now());
            feed.open();
            return listen().compose(v -> control());
          }
        };
    try {
      pair();
      meet();
    } catch (IOException e) {
      return Future.failedFuture(e.getMessage());
    }
    return vertx
        .deployVerticle(desk)
        .compose(
            d ->
                viewerLoops.deployVerticle(
                    () -> {
                      Door door = new Door(this, house);
                      doors.add(door);
                      return door;
                    },
                    new DeploymentOptions()
                        .setInstances(site.viewers().loops())
                        .setThreadingModel(ThreadingModel.EVENT_LOOP)))
        .onSuccess(
            d ->
                LOG.info(
                    "listening {} {} {}",
                    StructuredArguments.kv("front", site.front().number()),
                    StructuredArguments.kv("viewers", site.front().viewers()),
                    StructuredArguments.kv("control", site.front().control())));
  }

  /** Binds where partners are heard; the front takes part once it is ready. */
  private void pair() throws IOException {
    Site.Vrrp v = site.vrrp();
    if (v.routers().isEmpty()) {
      return;
    }
    byte[] key = v.keyFile() == null ? null : key(v.keyFile(), "vrrp.keyFile");
    Span mostLate = Span.ofMillis(v.overloadedMs());
    vrrp =
        new UdpNode(
            new UdpTerms(
                socket(v.listen()),
                v.partners().stream().map(FrontProgram::socket).toList(),
                v.group() == null ? null : socket(v.group()),
                v.groupInterface(),
                v.announce() == null ? null : socket(v.announce()),
                key,
                v.ipv4PseudoHeader(),
                v.datagramsAtOnce(),
                v.receiveBytes(),
                site.routers()),
            new UdpNode.Owner() {
              @Override
              public void took(int vrid) {
                // the lease lets viewers in
              }

              @Override
              public void gaveUp(int vrid) {
                doors.forEach(d -> d.gaveUp(vrrp.lease(vrid)));
              }
            },
            () ->
                new Fitness(servingBoxes, Wall.now().since(new Moment(deskRanAt)), mostLate)
                    .isUnwell());
  }

  private static byte[] key(String file, String named) throws IOException {
    byte[] key;
    try {
      key =
          new String(Files.readAllBytes(Path.of(file)), StandardCharsets.UTF_8)
              .strip()
              .getBytes(StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new IOException(named + " cannot be read: " + e.getMessage(), e);
    }
    if (key.length < SHORTEST_KEY) {
      throw new IOException(named + " holds a key of fewer than " + SHORTEST_KEY + " bytes");
    }
    return key;
  }

  /** Binds where other members are heard; the front tells of itself once it is ready. */
  private void meet() throws IOException {
    Site.Members m = site.members();
    if (m.listen() == null) {
      return;
    }
    Member own = new Member(site.front().number(), m.listen(), house.building(), m.region());
    members =
        new MembershipNode(
            MembershipSettings.USUAL.inPeriods(Span.ofMillis(m.periodMs())),
            own,
            m.seeds(),
            key(m.keyFile(), "members.keyFile"),
            n ->
                LOG.info(
                    "member {} {} {} {}",
                    StructuredArguments.kv("number", n.member().number()),
                    StructuredArguments.kv("standing", n.standing()),
                    StructuredArguments.kv("incarnation", n.incarnation()),
                    StructuredArguments.kv("by", n.by())));
  }

  private JsonObject membersState() {
    if (members == null) {
      return new JsonObject();
    }
    JsonArray all = new JsonArray();
    members
        .held()
        .forEach(
            n ->
                all.add(
                    new JsonObject()
                        .put("number", n.member().number())
                        .put("zone", n.member().zone())
                        .put("region", n.member().region())
                        .put("address", n.member().address())
                        .put("standing", n.standing().name())
                        .put("incarnation", n.incarnation())
                        .put("by", n.by())));
    MembershipNode.Drops d = members.drops();
    return new JsonObject()
        .put("others", all)
        .put("strangers", d.strangers())
        .put("replayed", d.replayed())
        .put("unreadable", d.unreadable());
  }

  private static InetSocketAddress socket(String address) {
    Site.Address at = Site.Address.of(address);
    return new InetSocketAddress(at.host(), at.port());
  }

  /** Whether the shared address of a virtual router is this front's. */
  Lease lease(int vrid) {
    return vrrp.lease(vrid);
  }

  private Future<?> listen() {
    if (!house.permits().messages() || site.front().words() == null) {
      return Future.succeededFuture();
    }
    Site.Address at = Site.Address.of(site.front().words());
    words = vertx.createDatagramSocket();
    return words
        .listen(at.port(), at.host())
        .onSuccess(
            s ->
                s.handler(
                        p -> {
                          if (site.flow().guards()
                              && !intake.hears(
                                  p.sender().hostAddress() + ":" + p.sender().port(), Wall.now())) {
                            return;
                          }
                          byte[] bytes = p.data().getBytes();
                          onDesk(() -> core.heard(bytes));
                        })
                    .exceptionHandler(e -> LOG.warn("datagrams", e)));
  }

  private Future<?> control() {
    Site.Address at = Site.Address.of(site.front().control());
    Site.Control c = site.control();
    HttpServer server =
        vertx.createHttpServer(
            new HttpServerOptions()
                .setMaxInitialLineLength(c.requestLineBytes())
                .setMaxHeaderSize(c.headerBytes())
                .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
                .setIdleTimeout(c.idleMs())
                .setHttp2ClearTextEnabled(false));
    int[] places = {c.connections()}; // of its own: viewers cannot take them
    server.connectionHandler(
        connection -> {
          if (places[0] == 0) {
            connection.close();
            return;
          }
          places[0]--;
          connection.closeHandler(v -> places[0]++);
        });
    server.requestHandler(
        r -> {
          switch (r.method() + " " + r.path()) {
            case "GET /state" ->
                onDesk(
                    () ->
                        r.response()
                            .putHeader("Content-Type", "application/json")
                            .end(state().encode() + "\n"));
            case "GET /ready" ->
                r.response()
                    .setStatusCode(ready && !stopping ? 200 : 503)
                    .end(ready && !stopping ? "ready\n" : "not ready\n");
            default -> r.response().setStatusCode(404).end("no such thing\n");
          }
        });
    return server
        .listen(at.port(), at.host())
        .recover(
            e ->
                Future.failedFuture(
                    "control listener " + site.front().control() + ": " + e.getMessage()));
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
        .put("wakes", wakes.waiting())
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
        .put("wordsTooMany", intake.passedOver())
        .put("work", chores.state())
        .put("vrrp", vrrp == null ? new JsonObject() : new JsonObject(vrrp.state()))
        .put("members", membersState())
        .put("directUsed", directUsed())
        .put("heapUsed", heap.totalMemory() - heap.freeMemory());
  }

  private static long directUsed() {
    return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
        .filter(b -> b.getName().equals("direct"))
        .mapToLong(BufferPoolMXBean::getMemoryUsed)
        .sum();
  }

  void listHeard() {
    int serving = 0;
    for (BoxTable.Entry box : core.boxes().all()) {
      serving += box.state() == BoxTable.State.SERVING ? 1 : 0;
    }
    servingBoxes = serving;
    if (!ready && core.listRevision() != ListFollower.NONE) {
      ready = true;
      if (vrrp != null) {
        vrrp.start();
      }
      if (members != null) {
        members.start();
      }
      LOG.info("ready {}", StructuredArguments.kv("boxes", core.boxes().size()));
    }
  }

  /**
   * Runs a step on the desk with the time told: at once where the desk is running something of the
   * library's, later where it is within a step of the core or on another loop.
   */
  void onDesk(Runnable step) {
    if (!within && Vertx.currentContext() == deskContext) {
      deskStep(step);
    } else {
      deskContext.runOnContext(v -> deskStep(step));
    }
  }

  private void deskStep(Runnable step) {
    within = true;
    try {
      Moment now = Wall.now();
      deskRanAt = now.micros();
      core.clock(now);
      step.run();
    } finally {
      within = false;
    }
  }

  /**
   * Stops in order: nothing more is taken, what plays may go on for the site file's bound, then all
   * is closed.
   */
  public void stop() {
    if (stopping) {
      return;
    }
    stopping = true;
    if (vrrp != null) {
      vrrp.close(); // partners take over while what plays here goes on at the front's own address
    }
    if (members != null) {
      members.close(); // nobody has to find out that it is gone
    }
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
      wakeAfter(Span.ofMillis(50), () -> awaitQuiet(until));
    }
  }

  /** Boxes hear of the last ends, within a short bound; then the sockets close. */
  private void awaitEnds(long until) {
    if (calls.waiting() > 0 && Wall.micros() < until) {
      wakeAfter(Span.ofMillis(20), () -> awaitEnds(until));
      return;
    }
    feed.close();
    notes.close();
    calls.close();
    closeLoops("");
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
    return wakes.after(span.micros(), () -> onDesk(step));
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
    String to =
        site.fronts().words() == null ? null : site.fronts().words().get(Integer.toString(front));
    if (words != null && to != null) {
      Site.Address at = Site.Address.of(to);
      words.send(Buffer.buffer(datagram), at.port(), at.host());
    }
  }

  @Override
  public void failed(RuntimeException cause) {
    LOG.error("the core has failed: the front ends", cause);
    ready = false;
    if (vrrp != null) {
      vrrp.leave();
    }
    if (members != null) {
      members.leave();
    }
    wakes.after(200_000, () -> closeLoops("the core failed: " + cause));
  }

  private void closeLoops(String why) {
    viewerLoops
        .close()
        .eventually(callLoops::close)
        .eventually(vertx::close)
        .onComplete(v -> over.complete(why));
  }
}
