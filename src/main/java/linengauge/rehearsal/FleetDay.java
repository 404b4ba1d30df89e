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
import linengauge.briefing.BadBriefing;
import linengauge.platform.Configuration;
import linengauge.platform.PlatformFront;
import linengauge.rules.InvalidRecordException;
import linengauge.rules.Judge;
import linengauge.rules.Verdict;

/**
 * A fleet of the platform's fronts in virtual time, all of it from a seed: fronts as they run
 * (door, connections, core, module) on a model of the network, with boxes, viewers and the journal
 * service round them. The record of what the stand-ins saw is judged by {@link Judge}; the counts
 * are over the whole fleet. Its figures are the model's own.
 */
public final class FleetDay {
  static final double[] LADDER_KB = {240, 420, 730, 1270, 2200};
  static final double[] WORTH = {0.16, 0.4, 0.61, 0.81, 1};
  static final Span PATIENCE = Span.ofMillis(1030);
  static final Span COLD = Span.ofSeconds(12);
  static final double START_CAPACITY = 0.4;
  static final double STALL = 6;
  static final int STREAMS = 240;
  static final int CONNECTIONS = 160;
  static final int TITLES = 120;
  static final double KB_PER_WEIGHT = 4268;
  static final String JOURNAL_NET = "10.9.";
  private static final Moment BEGIN = new Moment(1_800_000_000_000_000L);
  private static final Span SLICE = Span.ofMillis(250);

  /** From the start of a process until it listens. */
  private static final Span STARTING = Span.ofMillis(1900);

  /** Viewings last some seconds; those that come last have ended by then. */
  private static final Span AFTERWARDS = Span.ofSeconds(100);

  private static final int ZONES = 3;
  private static final int BOXES_A_RACK = 8;

  /**
   * How large the fleet is, how long the day, how many viewers come a second, and how quick its
   * processes are.
   */
  public record Size(
      int fronts,
      int boxes,
      Span length,
      double viewersASecond,
      Span firstStep,
      Span warmStep,
      int stepsToWarm) {
    /** Of the kind that the operators' days at full size have, a little smaller. */
    public static Size usual() {
      return new Size(60, 40, Span.ofSeconds(16), 150, Span.ofMillis(6), new Span(800), 400);
    }
  }

  /**
   * What things are called: the cheap class and the dear one, zones, and servers by their number.
   * Nothing may hang on it.
   */
  public record Names(String cheap, String dear, String zonePrefix, LongUnaryOperator server) {
    public static Names usual() {
      return new Names("lesson", "review", "z", n -> 0x100000L + n * 977L);
    }
  }

  /**
   * What a day came to: the judge's verdict, counts by name until the last viewer came, the longest
   * turn of any front, the record; and the fronts' tables half way, as the last viewer came, and
   * once all is over.
   */
  public record Outcome(
      Verdict verdict,
      Map<String, Double> counts,
      Span longestTurn,
      List<String> record,
      List<PlatformFront.Figures> halfWay,
      List<PlatformFront.Figures> atTheEnd,
      List<PlatformFront.Figures> afterwards) {
    public double count(String what) {
      return counts.getOrDefault(what, 0.0);
    }

    public double servedShare() {
      return count("served") / Math.max(1, count("wanted"));
    }

    public String line() {
      StringBuilder s =
          new StringBuilder(
              String.format(
                  Locale.ROOT,
                  "served %.3f, longest turn %.0f ms",
                  servedShare(),
                  longestTurn.seconds() * 1000));
      counts.forEach((k, v) -> s.append(String.format(Locale.ROOT, ", %s %.0f", k, v)));
      return s.toString();
    }
  }

  private final Size size;
  private final Names names;
  private final SplittableRandom chance;
  private final Clockwork clock = new Clockwork(BEGIN);
  private final Ledger ledger;
  private final Roads roads;
  private final ListModel list;
  private final Viewers viewers;
  private final List<SimulatedFront> simulatedFronts = new ArrayList<>();
  private final List<BoxModel> boxes = new ArrayList<>();
  private final List<BoxModel.Rack> racks = new ArrayList<>();
  private final double linkKb = 58_000;
  private double answersLost;
  private Span longestTurn = Span.NONE;
  private int journals;

  public FleetDay(Size size, long seed) {
    this(size, seed, Names.usual());
  }

  public FleetDay(Size size, long seed, Names names) {
    this.size = size;
    this.names = names;
    this.chance = new SplittableRandom(seed);
    this.ledger = new Ledger(clock);
    sawTerms();
    this.roads = new Roads(clock, Span.ofMillis(250));
    this.list = new ListModel(clock, ledger, names.zonePrefix());
    roads.open(journal(), list);
    this.viewers = new Viewers(this, size.fronts());
    int shelves = Math.max(1, size.boxes() / BOXES_A_RACK);
    for (int i = 0; i < shelves; i++) {
      racks.add(
          new BoxModel.Rack(
              0.68 * linkKb * size.boxes() / shelves * (0.85 + 0.3 * chance.nextDouble())));
    }
    for (int i = 0; i < size.boxes(); i++) {
      list.now(newBox(i, "10.1." + i / 200 + "." + (1 + i % 200) + ":3868", null), 0);
    }
    drawPartsOfFronts();
  }

  private void sawTerms() {
    ledger.saw(
        "terms",
        "packages",
        List.of(pack(names.cheap()), pack(names.dear())),
        "drainGraceMs",
        1000,
        "coldMs",
        COLD.micros() / 1000,
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

  /** Viewers come to fronts in unequal parts. */
  private void drawPartsOfFronts() {
    double all = 0;
    for (int i = 0; i < size.fronts(); i++) {
      SimulatedFront s = new SimulatedFront();
      s.part = Math.exp(1.1 * (chance.nextDouble() + chance.nextDouble() - 1) * 2);
      all += s.part;
      simulatedFronts.add(s);
    }
    for (SimulatedFront s : simulatedFronts) {
      s.part /= all;
    }
  }

  private static Map<String, Object> pack(String name) {
    return Map.of(
        "name", name, "lowestRung", 0, "highestRung", 4, "seats", 0, "paidAtSetUp", false);
  }

  Clockwork clock() {
    return clock;
  }

  Ledger ledger() {
    return ledger;
  }

  SplittableRandom chance() {
    return chance;
  }

  Roads roads() {
    return roads;
  }

  Viewers viewers() {
    return viewers;
  }

  double answersLost() {
    return answersLost;
  }

  int cells() {
    return size.boxes();
  }

  boolean isUp(int front) {
    return simulatedFronts.get(front).takenIn;
  }

  int life(int front) {
    return simulatedFronts.get(front).life;
  }

  private String journal() {
    return JOURNAL_NET + journals + ".1:7070";
  }

  String address(int front) {
    return "10.2." + front / 200 + "." + (1 + front % 200) + ":3868";
  }

  private BoxModel newBox(int cell, String address, Moment startedAt) {
    BoxModel box =
        new BoxModel(
            this,
            names.server().applyAsLong(boxes.size()),
            address,
            cell,
            cell % ZONES,
            racks.get(cell % racks.size()),
            linkKb * (0.8 + 0.4 * chance.nextDouble()),
            startedAt);
    boxes.add(box);
    roads.open(address, box);
    return box;
  }

  BoxModel holder(int home, int copies, SplittableRandom by) {
    int cell = (home + by.nextInt(copies)) % size.boxes();
    return boxes.stream().filter(b -> b.cell() == cell && b.isUp()).findFirst().orElseThrow();
  }

  /** Where a viewer of that front's goes: to it, or to another while it is away. */
  int frontFor(int wanted, SplittableRandom by) {
    int f = wanted;
    for (int i = 0; i < 50 && !simulatedFronts.get(f).takenIn; i++) {
      f = by.nextInt(simulatedFronts.size());
    }
    return f;
  }

  /* ---- lives of fronts ---- */

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
        address(number),
        chance.nextLong(),
        journal(),
        list.known(),
        size.fronts(),
        number,
        number % ZONES,
        linkKb * size.boxes(),
        size.boxes(),
        STREAMS,
        racks.size(),
        0.68 * linkKb * size.boxes() / racks.size(),
        KB_PER_WEIGHT,
        COLD.micros(),
        START_CAPACITY,
        zones(),
        PATIENCE.micros(),
        names.cheap(),
        PATIENCE.micros(),
        names.dear());
  }

  private String zones() {
    return IntStream.range(0, ZONES)
        .mapToObj(z -> "\"" + names.zonePrefix() + z + "\"")
        .collect(Collectors.joining(","));
  }

  Names names() {
    return names;
  }

  private void start(int number) {
    SimulatedFront s = simulatedFronts.get(number);
    s.life++;
    int mine = s.life;
    ledger.saw("front-started", "front", number);
    clock.after(
        STARTING,
        () -> {
          if (mine != s.life) {
            return;
          }
          FrontNet net =
              new FrontNet(
                  "f" + number,
                  clock,
                  roads,
                  new FrontNet.Pace(size.firstStep(), size.warmStep(), size.stepsToWarm()),
                  ledger);
          s.net = net;
          net.later(
              () -> {
                try {
                  s.front =
                      new PlatformFront(
                          Configuration.read(
                              configuration(number).getBytes(StandardCharsets.UTF_8)),
                          net,
                          new Log(number));
                } catch (BadBriefing e) {
                  throw new IllegalStateException(e);
                }
                s.front.start(failed -> viewers.test(number));
              });
        });
  }

  private final class Log implements PlatformFront.Told {
    private final int number;

    private Log(int number) {
      this.number = number;
    }

    @Override
    public void warn(String kind, Object about, String detail) {
      ledger.count("said: " + kind, 1);
    }

    @Override
    public void info(String line) {
      // what operators read
    }

    @Override
    public void over(String failed, RuntimeException cause) {
      if (cause != null) {
        throw cause;
      }
      dies(number);
    }
  }

  /**
   * A front has passed its first test: what it holds from before is handed to it, and viewers come.
   */
  void tookIn(int number) {
    if (!simulatedFronts.get(number).takenIn) {
      simulatedFronts.get(number).takenIn = true;
      viewers.handOver(number);
    }
  }

  private void dies(int number) {
    SimulatedFront s = simulatedFronts.get(number);
    if (s.net == null || s.net.isDead()) {
      return;
    }
    longestTurn = longestTurn.orMore(s.net.longest());
    s.net.die();
    s.takenIn = false;
    ledger.saw("front-killed", "front", number);
    roads.shut(address(number));
    roads.died("f" + number, p -> {});
    roads.died(address(number), p -> {});
    viewers.frontDied(number);
  }

  /* ---- troubles, to be set before the day is played; moments are spans from its start ---- */

  public FleetDay at(Span when, Runnable deed) {
    clock.at(BEGIN.plus(warmUp()).plus(when), deed);
    return this;
  }

  private static Span warmUp() {
    return STARTING.plus(Span.ofSeconds(1));
  }

  /** Killed outright, and started again at once. */
  public void kill(int number) {
    dies(number);
    start(number);
  }

  /** Told to stop, killed where it has not ended by then, and started again. */
  public void restart(int number) {
    SimulatedFront s = simulatedFronts.get(number);
    FrontNet net = s.net;
    net.later(() -> s.front.stop());
    clock.after(Span.ofMillis(300), () -> s.takenIn = false);
    clock.after(
        Span.ofSeconds(3.7),
        () -> {
          if (s.net == net) {
            dies(number);
            start(number);
          }
        });
  }

  /** Boxes that drain, go a while later, and are followed by new ones that start cold. */
  public void replace(int box) {
    BoxModel old = boxes.get(box);
    list.changed(old, 1);
    clock.after(
        Span.ofSeconds(3),
        () -> {
          old.die();
          list.changed(old, 2);
          BoxModel next =
              newBox(
                  old.cell(),
                  "10.3." + boxes.size() / 200 + "." + (1 + boxes.size() % 200) + ":3868",
                  clock.now());
          list.changed(next, 0);
        });
  }

  /** A box's process dies and comes back cold after the span. */
  public void lose(int box, Span away) {
    BoxModel b = boxes.get(box);
    b.die();
    list.changed(b, 2);
    clock.after(
        away,
        () -> {
          b.comeBack();
          list.changed(b, 0);
        });
  }

  /** One box in so many answers with errors, not at all, or late, in turn. */
  public void spoil(int oneIn) {
    for (int i = 0; i < boxes.size(); i += oneIn) {
      boxes.get(i).mood(BoxModel.Mood.values()[1 + i / oneIn % 3]);
    }
  }

  /** A fifth of the boxes falls silent for the span: nothing comes through to them or from them. */
  public void silence(Span span) {
    Runnable again =
        roads.cut(
            from -> from.startsWith("f"), to -> to.startsWith("10.1.") && to.hashCode() % 5 == 0);
    clock.after(span, again);
  }

  /** Fronts of one zone and the boxes of the others are cut off from each other for the span. */
  public void cutOffZone(int zone, Span span) {
    Runnable again =
        roads.cut(
            from -> from.startsWith("f") && Integer.parseInt(from.substring(1)) % ZONES == zone,
            to -> boxes.stream().anyMatch(b -> b.address().equals(to) && b.zone() != zone));
    clock.after(span, again);
  }

  /**
   * Changes of the list are told so late; one answer in so many is lost (0: none), connections are
   * reset meanwhile.
   */
  public void disturb(Span listLate, double lost, Span span) {
    list.late(listLate);
    answersLost = lost;
    Moment until = clock.now().plus(span);
    resets(until);
    clock.at(until, () -> answersLost = 0);
  }

  private void resets(Moment until) {
    if (clock.now().before(until)) {
      roads.resetSome(to -> to.startsWith("10.1."), p -> chance.nextInt(60) == 0);
      clock.after(Span.ofMillis(500), () -> resets(until));
    }
  }

  public int fronts() {
    return simulatedFronts.size();
  }

  public int boxes() {
    return size.boxes();
  }

  /* ---- the day ---- */

  public Outcome play() throws InvalidRecordException {
    for (int i = 0; i < simulatedFronts.size(); i++) {
      start(i);
    }
    // What plays already as the day begins, spread as traffic is.
    int already = (int) (size.viewersASecond() * 11);
    for (int i = 0; i < already; i++) {
      viewers.playsAlready(drawFront(), 1 + chance.nextInt(3));
    }
    Moment from = BEGIN.plus(warmUp());
    Moment until = from.plus(size.length());
    clock.run(from);
    arrive(until);
    slice(until, 0);
    clock.run(from.plus(size.length().times(0.5)));
    List<PlatformFront.Figures> halfWay = figures();
    clock.run(until);
    List<PlatformFront.Figures> atTheEnd = figures();
    Map<String, Double> counts = new LinkedHashMap<>(ledger.counts());
    clock.run(until.plus(AFTERWARDS));
    for (SimulatedFront s : simulatedFronts) {
      longestTurn = longestTurn.orMore(s.net.longest());
    }
    counts.put("left standing", ledger.counts().getOrDefault("left standing", 0.0));
    return new Outcome(
        Judge.judge(ledger.record()),
        counts,
        longestTurn,
        ledger.record(),
        halfWay,
        atTheEnd,
        figures());
  }

  private List<PlatformFront.Figures> figures() {
    return simulatedFronts.stream()
        .filter(s -> s.front != null)
        .map(s -> s.front.figures())
        .toList();
  }

  private int drawFront() {
    double u = chance.nextDouble();
    for (int i = 0; i < simulatedFronts.size(); i++) {
      u -= simulatedFronts.get(i).part;
      if (u < 0) {
        return i;
      }
    }
    return simulatedFronts.size() - 1;
  }

  private void arrive(Moment until) {
    if (clock.now().before(until)) {
      viewers.come(drawFront());
      clock.after(
          Span.ofSeconds(-Math.log(1 - chance.nextDouble()) / size.viewersASecond()),
          () -> arrive(until));
    }
  }

  private void slice(Moment until, int number) {
    if (clock.now().before(until)) {
      viewers.want(SLICE);
      boxes.forEach(b -> b.serve(SLICE, number % 4 == 0));
      clock.after(SLICE, () -> slice(until, number + 1));
    }
  }
}
