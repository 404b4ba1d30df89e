package linengauge.rehearsal;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongUnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.Configuration;
import linengauge.platform.PlatformFront;
import linengauge.rules.InvalidRecordException;
import linengauge.rules.Judge;
import linengauge.rules.Verdict;
import linengauge.settings.InvalidSettingsException;

/**
 * Simulates a fleet of the platform's fronts in virtual time, with all randomness from one seed.
 * The fronts run the production code (listener, connections, core, module) among models of the
 * network, boxes, viewers and discovery. {@link Judge} checks the traffic record of these models;
 * the counts cover the whole fleet. The figures are those of the model.
 */
public final class FleetSimulation {
  static final double[] LADDER_KB = {240, 420, 730, 1270, 2200};
  static final double[] WORTH_BY_RUNG = {0.16, 0.4, 0.61, 0.81, 1};
  static final Span SET_UP_TIME_LIMIT = Span.ofMillis(1030);
  static final Span COLD_DURATION = Span.ofSeconds(12);
  static final double START_CAPACITY = 0.4;
  static final double STALL_FACTOR = 6;
  static final int MAX_VIEWINGS_PER_BOX = 240;
  static final int MAX_CONNECTIONS_PER_BOX = 160;
  static final int TITLE_COUNT = 120;
  static final double KB_PER_WEIGHT = 4268;
  static final String DISCOVERY_ADDRESS_PREFIX = "10.9.";
  private static final Moment START_TIME = new Moment(1_800_000_000_000_000L);
  private static final Span ACCOUNTING_INTERVAL = Span.ofMillis(250);

  /** From the start of a process until it listens. */
  private static final Span FRONT_START_DURATION = Span.ofMillis(1900);

  /** Viewings last some seconds; the last of them have ended within this span. */
  private static final Span SETTLING_DURATION = Span.ofSeconds(100);

  private static final int ZONE_COUNT = 3;
  private static final int BOXES_PER_RACK = 8;

  /**
   * The number of fronts and boxes, the length of the run, the arrival rate of viewers, and the
   * processor time that a step of a front costs.
   */
  public record Size(
      int fronts,
      int boxes,
      Span length,
      double viewersPerSecond,
      Span firstStepCost,
      Span warmStepCost,
      int stepsUntilWarm) {
    /** Like the operators' test days at full size, a little smaller. */
    public static Size standard() {
      return new Size(60, 40, Span.ofSeconds(16), 150, Span.ofMillis(6), new Span(800), 400);
    }
  }

  /**
   * The names in use: the request class of low worth and that of high worth, the prefix of zones,
   * and the id of each server by its number. No decision may depend on them.
   */
  public record Names(
      String lowWorthClass, String highWorthClass, String zonePrefix, LongUnaryOperator serverId) {
    public static Names standard() {
      return new Names("lesson", "review", "z", number -> 0x100000L + number * 977L);
    }
  }

  /**
   * The result of a run: the judge's verdict, counts by name until the last viewer arrived, the
   * longest event loop turn of any front, the traffic record, and the table sizes of the fronts
   * half way, when the last viewer arrived, and after everything has ended.
   */
  public record Outcome(
      Verdict verdict,
      Map<String, Double> counts,
      Span longestTurn,
      List<String> record,
      List<PlatformFront.TableSizes> figuresHalfWay,
      List<PlatformFront.TableSizes> figuresAtLastArrival,
      List<PlatformFront.TableSizes> figuresAfterSettling) {
    public double count(String name) {
      return counts.getOrDefault(name, 0.0);
    }

    public double servedShare() {
      return count("served") / Math.max(1, count("wanted"));
    }

    public String summary() {
      StringBuilder text =
          new StringBuilder(
              String.format(
                  Locale.ROOT,
                  "served %.3f, longest turn %.0f ms",
                  servedShare(),
                  longestTurn.seconds() * 1000));
      counts.forEach(
          (name, value) -> text.append(String.format(Locale.ROOT, ", %s %.0f", name, value)));
      return text.toString();
    }
  }

  private final Size size;
  private final Names names;
  private final SplittableRandom random;
  private final VirtualClock clock = new VirtualClock(START_TIME);
  private final TrafficRecorder recorder;
  private final NetworkModel network;
  private final DiscoveryModel discovery;
  private final Viewers viewers;
  private final List<SimulatedFront> simulatedFronts = new ArrayList<>();
  private final List<BoxModel> boxes = new ArrayList<>();
  private final List<BoxModel.Rack> racks = new ArrayList<>();
  private final double linkKb = 58_000;
  private double answerLossRate;
  private Span longestTurn = Span.NONE;
  private int discoveryNumber;

  public FleetSimulation(Size size, long seed) {
    this(size, seed, Names.standard());
  }

  public FleetSimulation(Size size, long seed, Names names) {
    this.size = size;
    this.names = names;
    this.random = new SplittableRandom(seed);
    this.recorder = new TrafficRecorder(clock);
    recordTerms();
    this.network = new NetworkModel(clock, Span.ofMillis(250));
    this.discovery = new DiscoveryModel(clock, recorder, names.zonePrefix());
    network.listen(discoveryAddress(), discovery);
    this.viewers = new Viewers(this, size.fronts());
    int rackCount = Math.max(1, size.boxes() / BOXES_PER_RACK);
    for (int i = 0; i < rackCount; i++) {
      racks.add(
          new BoxModel.Rack(
              0.68 * linkKb * size.boxes() / rackCount * (0.85 + 0.3 * random.nextDouble())));
    }
    for (int i = 0; i < size.boxes(); i++) {
      discovery.changeNow(newBox(i, "10.1." + i / 200 + "." + (1 + i % 200) + ":3868", null), 0);
    }
    drawTrafficShares();
  }

  private void recordTerms() {
    recorder.record(
        "terms",
        "packages",
        List.of(packageTerms(names.lowWorthClass()), packageTerms(names.highWorthClass())),
        "drainGraceMs",
        1000,
        "coldMs",
        COLD_DURATION.micros() / 1000,
        "startCapacity",
        START_CAPACITY,
        "fallMultiple",
        2.5,
        "fallAfterMs",
        1500,
        "furtherFree",
        0,
        "furtherShare",
        0,
        "furtherMs",
        0,
        "slackMs",
        500);
  }

  /** Draws the share of all viewers that each front receives; the shares are unequal. */
  private void drawTrafficShares() {
    double total = 0;
    for (int i = 0; i < size.fronts(); i++) {
      SimulatedFront front = new SimulatedFront();
      front.trafficShare = Math.exp(1.1 * (random.nextDouble() + random.nextDouble() - 1) * 2);
      total += front.trafficShare;
      simulatedFronts.add(front);
    }
    for (SimulatedFront front : simulatedFronts) {
      front.trafficShare /= total;
    }
  }

  private static Map<String, Object> packageTerms(String name) {
    return Map.of(
        "name", name, "lowestRung", 0, "highestRung", 4, "seats", 0, "paidAtSetUp", false);
  }

  VirtualClock clock() {
    return clock;
  }

  TrafficRecorder recorder() {
    return recorder;
  }

  SplittableRandom random() {
    return random;
  }

  NetworkModel network() {
    return network;
  }

  Viewers viewers() {
    return viewers;
  }

  double answerLossRate() {
    return answerLossRate;
  }

  int cellCount() {
    return size.boxes();
  }

  boolean isInService(int front) {
    return simulatedFronts.get(front).inService;
  }

  int incarnation(int front) {
    return simulatedFronts.get(front).incarnation;
  }

  private String discoveryAddress() {
    return DISCOVERY_ADDRESS_PREFIX + discoveryNumber + ".1:7070";
  }

  String frontAddress(int front) {
    return "10.2." + front / 200 + "." + (1 + front % 200) + ":3868";
  }

  private BoxModel newBox(int cell, String address, Moment startedAt) {
    BoxModel box =
        new BoxModel(
            this,
            names.serverId().applyAsLong(boxes.size()),
            address,
            cell,
            cell % ZONE_COUNT,
            racks.get(cell % racks.size()),
            linkKb * (0.8 + 0.4 * random.nextDouble()),
            startedAt);
    boxes.add(box);
    network.listen(address, box);
    return box;
  }

  BoxModel drawHolder(int homeCell, int copyCount, SplittableRandom source) {
    int cell = (homeCell + source.nextInt(copyCount)) % size.boxes();
    return boxes.stream().filter(box -> box.cell() == cell && box.isUp()).findFirst().orElseThrow();
  }

  /** The preferred front of a viewer, or another one while that is out of service. */
  int drawReachableFront(int preferred, SplittableRandom source) {
    int front = preferred;
    for (int i = 0; i < 50 && !simulatedFronts.get(front).inService; i++) {
      front = source.nextInt(simulatedFronts.size());
    }
    return front;
  }

  /* ---- life cycle of fronts ---- */

  private String configuration(int number) {
    return String.format(
        Locale.ROOT,
        "{\"name\":\"n%d\",\"listen\":\"%s\",\"seed\":\"%016x\",\"limits\":{\"cores\":0.45,"
            + "\"memory_mb\":160,\"sockets\":672},\"journal\":\"%s\",\"known\":%s,\"settings\":{\"balancers\":%d,\"me\":%d,"
            + "\"zone\":%d,\"charges\":{\"crossZone\":0.01,\"discovery\":0.05,\"handshake\":0.08,\"probe\":0.08},"
            + "\"domain\":{\"floorByClass\":[0,0],\"highestRung\":[4,4],\"ladderKb\":[240,420,730,1270,2200],\"linksKb\":%f,"
            + "\"places\":%d,\"placesByKind\":[%d],\"rateFactor\":[0.7,1.4],\"seeUs\":300000,\"shelves\":%d,\"uplinkKb\":%f,"
            + "\"weightKb\":%f,\"worthByRung\":[0.16,0.4,0.61,0.81,1]},\"guarantees\":{\"coldUs\":%d,\"drainGraceUs\":1000000,"
            + "\"fallMultiple\":2.5,\"startCapacity\":%f,\"tipAfterUs\":1500000},\"kinds\":[\"box\"],"
            + "\"loadReport\":{\"fields\":[\"outstanding\",\"x0\",\"x1\"],\"how\":\"pull\"},\"localities\":[%s],"
            + "\"policyLimits\":{\"dialTimeoutUs\":250000,\"idleCloseUs\":30000000,\"maxAttempts\":3,\"maxRetryAfterUs\":2000000,"
            + "\"peers\":false,\"probing\":true,\"retryAfter\":true},\"requestClasses\":["
            + "{\"aimUs\":280000,\"deadlineUs\":%d,\"idempotency\":\"safe\",\"name\":\"%s\",\"worth\":1},"
            + "{\"aimUs\":350000,\"deadlineUs\":%d,\"idempotency\":\"safe\",\"name\":\"%s\",\"worth\":3}],\"weights\":\"rough\"}}",
        number,
        frontAddress(number),
        random.nextLong(),
        discoveryAddress(),
        discovery.knownState(),
        size.fronts(),
        number,
        number % ZONE_COUNT,
        linkKb * size.boxes(),
        size.boxes(),
        MAX_VIEWINGS_PER_BOX,
        racks.size(),
        0.68 * linkKb * size.boxes() / racks.size(),
        KB_PER_WEIGHT,
        COLD_DURATION.micros(),
        START_CAPACITY,
        zoneNames(),
        SET_UP_TIME_LIMIT.micros(),
        names.lowWorthClass(),
        SET_UP_TIME_LIMIT.micros(),
        names.highWorthClass());
  }

  private String zoneNames() {
    return IntStream.range(0, ZONE_COUNT)
        .mapToObj(zone -> "\"" + names.zonePrefix() + zone + "\"")
        .collect(Collectors.joining(","));
  }

  Names names() {
    return names;
  }

  private void startFront(int number) {
    SimulatedFront front = simulatedFronts.get(number);
    front.incarnation++;
    int thisIncarnation = front.incarnation;
    recorder.record("front-started", "front", number);
    clock.scheduleAfter(
        FRONT_START_DURATION,
        () -> {
          if (thisIncarnation != front.incarnation) {
            return;
          }
          SimulatedNet net =
              new SimulatedNet(
                  "f" + number,
                  clock,
                  network,
                  new SimulatedNet.StepCost(
                      size.firstStepCost(), size.warmStepCost(), size.stepsUntilWarm()),
                  recorder);
          front.net = net;
          net.defer(
              () -> {
                try {
                  front.front =
                      new PlatformFront(
                          Configuration.read(
                              configuration(number).getBytes(StandardCharsets.UTF_8)),
                          net,
                          new FrontListener(number));
                } catch (InvalidSettingsException e) {
                  throw new IllegalStateException(e);
                }
                front.front.start(failed -> viewers.testFront(number));
              });
        });
  }

  private final class FrontListener implements PlatformFront.Observer {
    private final int number;

    private FrontListener(int number) {
      this.number = number;
    }

    @Override
    public void warn(String kind, Object about, String detail) {
      recorder.count("said: " + kind, 1);
    }

    @Override
    public void info(String line) {
      // The operators' log is not part of the simulation.
    }

    @Override
    public void stopped(String failed, RuntimeException cause) {
      if (cause != null) {
        throw cause;
      }
      killFront(number);
    }
  }

  /** Sends viewers to a front that has passed its first test, and hands its old viewings over. */
  void putInService(int number) {
    if (!simulatedFronts.get(number).inService) {
      simulatedFronts.get(number).inService = true;
      viewers.handOverViewings(number);
    }
  }

  private void killFront(int number) {
    SimulatedFront front = simulatedFronts.get(number);
    if (front.net == null || front.net.isDead()) {
      return;
    }
    longestTurn = longestTurn.max(front.net.longestTurn());
    front.net.die();
    front.inService = false;
    recorder.record("front-killed", "front", number);
    network.stopListening(frontAddress(number));
    network.breakConnections("f" + number, connection -> {});
    network.breakConnections(frontAddress(number), connection -> {});
    viewers.frontDied(number);
  }

  /* ---- faults; they are scheduled before the run, as spans from its start ---- */

  public FleetSimulation schedule(Span when, Runnable fault) {
    clock.scheduleAt(START_TIME.plus(startUpDuration()).plus(when), fault);
    return this;
  }

  private static Span startUpDuration() {
    return FRONT_START_DURATION.plus(Span.ofSeconds(1));
  }

  /** Kills a front without notice and restarts it at once. */
  public void killAndRestart(int number) {
    killFront(number);
    startFront(number);
  }

  /** Stops a front, kills it where it has not ended in time, and restarts it. */
  public void restart(int number) {
    SimulatedFront front = simulatedFronts.get(number);
    SimulatedNet net = front.net;
    net.defer(() -> front.front.stop());
    clock.scheduleAfter(Span.ofMillis(300), () -> front.inService = false);
    clock.scheduleAfter(
        Span.ofSeconds(3.7),
        () -> {
          if (front.net == net) {
            killFront(number);
            startFront(number);
          }
        });
  }

  /** Drains a box, removes it a while later, and adds a new one that starts cold. */
  public void replaceBox(int boxNumber) {
    BoxModel oldBox = boxes.get(boxNumber);
    discovery.changeLater(oldBox, 1);
    clock.scheduleAfter(
        Span.ofSeconds(3),
        () -> {
          oldBox.crash();
          discovery.changeLater(oldBox, 2);
          BoxModel replacement =
              newBox(
                  oldBox.cell(),
                  "10.3." + boxes.size() / 200 + "." + (1 + boxes.size() % 200) + ":3868",
                  clock.now());
          discovery.changeLater(replacement, 0);
        });
  }

  /** Crashes a box and restarts it, cold, after the span. */
  public void crashBox(int boxNumber, Span downtime) {
    BoxModel crashed = boxes.get(boxNumber);
    crashed.crash();
    discovery.changeLater(crashed, 2);
    clock.scheduleAfter(
        downtime,
        () -> {
          crashed.restart();
          discovery.changeLater(crashed, 0);
        });
  }

  /** Makes one box in so many answer with errors, not at all, or late, in turn. */
  public void degradeBoxes(int oneIn) {
    for (int i = 0; i < boxes.size(); i += oneIn) {
      boxes.get(i).setBehavior(BoxModel.Behavior.values()[1 + i / oneIn % 3]);
    }
  }

  /** Cuts a fifth of the boxes off for the span: no traffic reaches or leaves them. */
  public void silenceBoxes(Span span) {
    Runnable restore =
        network.partition(
            from -> from.startsWith("f"), to -> to.startsWith("10.1.") && to.hashCode() % 5 == 0);
    clock.scheduleAfter(span, restore);
  }

  /** Cuts the fronts of one zone off from the boxes of the other zones for the span. */
  public void isolateZone(int zone, Span span) {
    Runnable restore =
        network.partition(
            from ->
                from.startsWith("f") && Integer.parseInt(from.substring(1)) % ZONE_COUNT == zone,
            to -> boxes.stream().anyMatch(box -> box.address().equals(to) && box.zone() != zone));
    clock.scheduleAfter(span, restore);
  }

  /** Delays discovery from now on; in the span, resets connections and loses some answers. */
  public void degradeNetwork(Span newReportDelay, double lossRate, Span span) {
    discovery.setReportDelay(newReportDelay);
    answerLossRate = lossRate;
    Moment until = clock.now().plus(span);
    scheduleResets(until);
    clock.scheduleAt(until, () -> answerLossRate = 0);
  }

  private void scheduleResets(Moment until) {
    if (clock.now().isBefore(until)) {
      network.resetConnections(to -> to.startsWith("10.1."), connection -> random.nextInt(60) == 0);
      clock.scheduleAfter(Span.ofMillis(500), () -> scheduleResets(until));
    }
  }

  public int frontCount() {
    return simulatedFronts.size();
  }

  public int boxCount() {
    return size.boxes();
  }

  /* ---- the run ---- */

  public Outcome run() throws InvalidRecordException {
    for (int i = 0; i < simulatedFronts.size(); i++) {
      startFront(i);
    }
    // Viewings that are playing before the start are spread over the fronts as later traffic is.
    int initialViewings = (int) (size.viewersPerSecond() * 11);
    for (int i = 0; i < initialViewings; i++) {
      viewers.addExistingViewing(drawFront(), 1 + random.nextInt(3));
    }
    Moment start = START_TIME.plus(startUpDuration());
    Moment until = start.plus(size.length());
    clock.runUntil(start);
    scheduleArrivals(until);
    scheduleAccounting(until, 0);
    clock.runUntil(start.plus(size.length().times(0.5)));
    List<PlatformFront.TableSizes> figuresHalfWay = figures();
    clock.runUntil(until);
    List<PlatformFront.TableSizes> figuresAtLastArrival = figures();
    Map<String, Double> counts = new LinkedHashMap<>(recorder.counts());
    clock.runUntil(until.plus(SETTLING_DURATION));
    for (SimulatedFront front : simulatedFronts) {
      longestTurn = longestTurn.max(front.net.longestTurn());
    }
    counts.put("left standing", recorder.counts().getOrDefault("left standing", 0.0));
    return new Outcome(
        Judge.judge(recorder.lines()),
        counts,
        longestTurn,
        recorder.lines(),
        figuresHalfWay,
        figuresAtLastArrival,
        figures());
  }

  private List<PlatformFront.TableSizes> figures() {
    return simulatedFronts.stream()
        .filter(front -> front.front != null)
        .map(front -> front.front.tableSizes())
        .toList();
  }

  private int drawFront() {
    double draw = random.nextDouble();
    for (int i = 0; i < simulatedFronts.size(); i++) {
      draw -= simulatedFronts.get(i).trafficShare;
      if (draw < 0) {
        return i;
      }
    }
    return simulatedFronts.size() - 1;
  }

  private void scheduleArrivals(Moment until) {
    if (clock.now().isBefore(until)) {
      viewers.arrive(drawFront());
      clock.scheduleAfter(
          Span.ofSeconds(-Math.log(1 - random.nextDouble()) / size.viewersPerSecond()),
          () -> scheduleArrivals(until));
    }
  }

  private void scheduleAccounting(Moment until, int number) {
    if (clock.now().isBefore(until)) {
      viewers.countWanted(ACCOUNTING_INTERVAL);
      boxes.forEach(box -> box.serve(ACCOUNTING_INTERVAL, number % 4 == 0));
      clock.scheduleAfter(ACCOUNTING_INTERVAL, () -> scheduleAccounting(until, number + 1));
    }
  }
}
