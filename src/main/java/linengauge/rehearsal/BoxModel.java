package linengauge.rehearsal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;

/**
 * A media box of the fleet in virtual time, speaking the platform's protocol
 * (docs/protocol/platform.md, "Boxes").
 */
final class BoxModel implements NetworkModel.Acceptor {
  /** How the box handles set-ups. */
  enum Behavior {
    HEALTHY,
    ERRORS,
    SILENT,
    SLOW
  }

  private static final ObjectMapper JSON = new ObjectMapper();

  /** The uplink shared by the boxes of a rack. */
  static final class Rack {
    private final double capacityKb;
    private double demandKb;

    Rack(double sizeKb) {
      this.capacityKb = sizeKb;
    }
  }

  private static final class ActiveViewing {
    private final Viewers.Viewer viewer;
    private int rung;
    private double rateKb;
    private SimulatedConnection.Endpoint endpoint;

    /** Whether the answer to the set-up was lost on its way. */
    private boolean answerLost;

    private ActiveViewing(Viewers.Viewer watch) {
      this.viewer = watch;
    }
  }

  private final FleetSimulation simulation;
  private final VirtualClock clock;
  private final TrafficRecorder recorder;
  private final SplittableRandom random;
  private final long id;
  private final String address;
  private final int cell;
  private final int zone;
  private final Rack rack;
  private final double linkKb;
  private final SimulatedProcess process;
  private final List<SimulatedConnection.Endpoint> endpoints = new ArrayList<>();
  private final Map<String, ActiveViewing> activeViewings = new LinkedHashMap<>();

  /** Set-ups that were received and are not answered yet, by the viewing's tag. */
  private final Map<String, SimulatedConnection.Endpoint> pendingSetUps = new LinkedHashMap<>();

  /**
   * END messages, by front, that are sent on the front's next connection. They repeat those that
   * were sent already, since these may have been lost, and hold those that found no connection.
   */
  private final Map<String, List<String>> unreportedEnds = new LinkedHashMap<>();

  /**
   * Tags of viewings whose end a front has written. A tag is removed as the message arrives, or
   * when the box crashes.
   */
  private final Set<String> endedByFront = new HashSet<>();

  private double demandKb;
  private Moment startedAt;
  private Behavior behavior = Behavior.HEALTHY;
  private boolean up = true;

  /** Counts the box's starts. Work that was scheduled before a crash is ignored after it. */
  private int incarnation;

  BoxModel(
      FleetSimulation day,
      long id,
      String address,
      int cell,
      int zone,
      Rack rack,
      double linkKb,
      Moment startedAt) {
    this.simulation = day;
    this.clock = day.clock();
    this.recorder = day.recorder();
    this.random = day.random().split();
    this.id = id;
    this.address = address;
    this.cell = cell;
    this.zone = zone;
    this.rack = rack;
    this.linkKb = linkKb;
    this.startedAt = startedAt;
    this.process = SimulatedProcess.instantaneous(clock);
    recorder.record(
        "box-started",
        "box",
        id,
        "cold",
        startedAt != null,
        "streams",
        FleetSimulation.MAX_VIEWINGS_PER_BOX);
  }

  long id() {
    return id;
  }

  String address() {
    return address;
  }

  int cell() {
    return cell;
  }

  int zone() {
    return zone;
  }

  double weight() {
    return linkKb / FleetSimulation.KB_PER_WEIGHT;
  }

  long bootMs() {
    return startedAt == null ? 0 : startedAt.micros() / 1000;
  }

  boolean isUp() {
    return up;
  }

  void setBehavior(Behavior m) {
    behavior = m;
  }

  /** Crashes the process: viewings are cut, connections break and new ones are refused. */
  void crash() {
    up = false;
    incarnation++;
    simulation.network().stopListening(address);
    List.copyOf(endpoints).forEach(this::recordBrokenSetUps);
    List.copyOf(activeViewings.values()).forEach(p -> releaseRate(p).viewingCut(this));
    activeViewings.clear();
    pendingSetUps.clear();
    endedByFront.clear();
    unreportedEnds.clear();
    simulation.network().breakConnections(address, p -> {});
    endpoints.clear();
    recorder.record("box-lost", "box", id);
  }

  /** Restarts the box under its old name, cold. */
  void restart() {
    up = true;
    startedAt = clock.now();
    simulation.network().listen(address, this);
    recorder.record(
        "box-started", "box", id, "cold", true, "streams", FleetSimulation.MAX_VIEWINGS_PER_BOX);
  }

  @Override
  public SimulatedProcess process() {
    return process;
  }

  @Override
  public boolean accept(SimulatedConnection.Endpoint end) {
    endpoints.removeIf(e -> !e.isOpen());
    if (endpoints.size() >= FleetSimulation.MAX_CONNECTIONS_PER_BOX) {
      return false;
    }
    endpoints.add(end);
    StringBuilder part = new StringBuilder();
    end.hears(
        data -> {
          part.append(new String(data, StandardCharsets.UTF_8));
          for (int nl = part.indexOf("\n"); nl >= 0; nl = part.indexOf("\n")) {
            receive(end, part.substring(0, nl));
            part.delete(0, nl + 1);
          }
        },
        () -> connectionClosed(end));
    end.connection().observeWrites(written -> observeWrite(end, written));
    for (String line : unreportedEnds.getOrDefault(end.peer(), List.of())) {
      send(end, line);
    }
    unreportedEnds.remove(end.peer());
    return true;
  }

  private void connectionClosed(SimulatedConnection.Endpoint end) {
    endpoints.remove(end);
    recordBrokenSetUps(end);
    pendingSetUps.values().removeIf(by -> by == end);
  }

  /** Records that the set-ups which are open on a connection have ended with it. */
  private void recordBrokenSetUps(SimulatedConnection.Endpoint end) {
    List<String> tags = new ArrayList<>();
    pendingSetUps.forEach(
        (tag, by) -> {
          if (by == end) {
            tags.add(tag);
          }
        });
    activeViewings.forEach(
        (tag, p) -> {
          if (p.answerLost && p.endpoint == end) {
            tags.add(tag);
          }
        });
    tags.forEach(
        tag ->
            recorder.record(
                "set-up-broken",
                "box",
                id,
                "viewing",
                simulation.viewers().viewingId(tag),
                "tuneIn",
                simulation.viewers().lastTuneIn(tag)));
  }

  /**
   * Observes what a front writes at the moment it is written: an end counts from then on, even
   * where the network delays its arrival.
   */
  private void observeWrite(SimulatedConnection.Endpoint end, byte[] written) {
    if (written.length == 0) {
      recordBrokenSetUps(end);
      return;
    }
    for (String line : new String(written, StandardCharsets.UTF_8).split("\n")) {
      if (line.startsWith("{\"verb\":\"FINISH\"")) {
        String tag = line.replaceFirst(".*\"tag\":\"([0-9a-f]{16})\".*", "$1");
        endedByFront.add(tag);
        recorder.record(
            "ended", "box", id, "viewing", simulation.viewers().viewingId(tag), "why", "asked");
      }
    }
  }

  private void receive(SimulatedConnection.Endpoint end, String line) {
    JsonNode n;
    try {
      n = JSON.readTree(line);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a front wrote a line that is not JSON: " + line, e);
    }
    String tag = n.path("tag").asText();
    switch (n.path("verb").asText()) {
      case "START" -> handleSetUp(end, n, tag);
      case "FINISH" -> handleFinish(tag);
      case "RATE" -> {
        ActiveViewing p = activeViewings.get(tag);
        if (p != null) {
          recorder.count("changes of rung", 1);
          setRung(p, n.path("opts").path("rung").asInt());
          recorder.record("rung", "box", id, "viewing", p.viewer.viewingId(), "rung", p.rung);
        }
      }
      case "ECHO" -> {
        recorder.count("tests", 1);
        clock.scheduleAfter(
            Span.ofMillis(3),
            () ->
                send(
                    end,
                    message(
                        "ECHOED",
                        tag,
                        1,
                        null,
                        "load",
                        String.format(
                            java.util.Locale.ROOT,
                            "outstanding:%d;x0:%.3f;x1:%.3f",
                            activeViewings.size(),
                            linkLoad(),
                            rack.demandKb / rack.capacityKb))));
      }
      default -> throw new IllegalStateException("a front wrote an unknown message: " + line);
    }
  }

  private double currentLinkKb() {
    double age = startedAt == null ? 1e9 : clock.now().since(startedAt).seconds();
    return linkKb
        * Math.min(
            1,
            FleetSimulation.START_CAPACITY
                + (1 - FleetSimulation.START_CAPACITY)
                    * age
                    / FleetSimulation.COLD_DURATION.seconds());
  }

  private double linkLoad() {
    return demandKb / currentLinkKb();
  }

  /** The share of their rates that viewings on this box receive now. */
  private double deliveredShare() {
    return Math.min(
        1, Math.min(1 / Math.max(0.01, linkLoad()), rack.capacityKb / Math.max(1, rack.demandKb)));
  }

  private void handleSetUp(SimulatedConnection.Endpoint end, JsonNode n, String tag) {
    Viewers.Viewer watch = simulation.viewers().find(tag);
    if (endedByFront.contains(tag)) {
      // The network held the set-up until its front had ended it. It never started, and the end
      // follows.
      return;
    }
    if (watch == null) {
      if (!simulation.viewers().wasIssued(tag)) {
        throw new IllegalStateException("received a set-up that no viewer sent: " + tag);
      }
      return; // The network held the set-up until its viewer had left. The end follows.
    }
    int front = Integer.parseInt(end.peer().substring(1));
    int rung = n.path("opts").path("rung").asInt();
    int tuneIn = watch.nextTuneIn(front);
    recordSetUp(watch, front, tuneIn, rung, tag);
    pendingSetUps.put(tag, end);
    int mine = incarnation;
    Span takes = Span.ofMillis(behavior == Behavior.SLOW ? 1500 : 15 + random.nextInt(25));
    Behavior now = behavior;
    if (now == Behavior.SILENT) {
      return;
    }
    clock.scheduleAfter(
        takes,
        () -> {
          if (mine != incarnation || pendingSetUps.get(tag) != end) {
            return;
          }
          pendingSetUps.remove(tag);
          if (now == Behavior.ERRORS
              || activeViewings.size() >= FleetSimulation.MAX_VIEWINGS_PER_BOX) {
            recordAnswer(watch, tuneIn, now == Behavior.ERRORS ? "error" : "turned-away");
            send(end, message("FINISH", tag, now == Behavior.ERRORS ? 47 : 34, null));
          } else {
            startViewing(end, watch, tag, tuneIn, rung);
          }
        });
  }

  private void recordSetUp(Viewers.Viewer watch, int front, int tuneIn, int rung, String tag) {
    recorder.record(
        "set-up",
        "box",
        id,
        "viewing",
        watch.viewingId(),
        "front",
        front,
        "tuneIn",
        tuneIn,
        "title",
        watch.title(),
        "package",
        watch.packageName(),
        "rung",
        rung,
        "key",
        tag);
    recorder.count("set-ups", 1);
    if (startedAt != null && clock.now().since(startedAt).under(FleetSimulation.COLD_DURATION)) {
      recorder.count("set-ups on cold boxes", 1);
    }
  }

  private void startViewing(
      SimulatedConnection.Endpoint end, Viewers.Viewer watch, String tag, int tuneIn, int rung) {
    ActiveViewing p = new ActiveViewing(watch);
    p.endpoint = end;
    activeViewings.put(tag, p);
    setRung(p, rung);
    boolean lost =
        simulation.answerLossRate() > 0 && random.nextDouble() < simulation.answerLossRate();
    recordAnswer(watch, tuneIn, lost ? "swallowed" : "plays");
    watch.startedAt(this);
    if (!lost) {
      send(end, message("STARTED", tag, -1, "made for " + tag));
    }
    p.answerLost = lost;
    clock.scheduleAfter(watch.remaining(), () -> completeViewing(tag, p));
  }

  private void recordAnswer(Viewers.Viewer watch, int tuneIn, String how) {
    recorder.record(
        "set-up-answered", "box", id, "viewing", watch.viewingId(), "tuneIn", tuneIn, "how", how);
  }

  /** Adds a viewing that is playing on this box before the simulation starts. */
  void addExistingViewing(Viewers.Viewer watch, int rung) {
    ActiveViewing p = new ActiveViewing(watch);
    activeViewings.put(watch.tag(), p);
    setRung(p, rung);
    watch.startedAt(this);
    clock.scheduleAfter(watch.remaining(), () -> completeViewing(watch.tag(), p));
  }

  private void setRung(ActiveViewing p, int to) {
    double kb = to < 0 ? 0 : FleetSimulation.LADDER_KB[to] * p.viewer.rateFactor();
    demandKb += kb - p.rateKb;
    rack.demandKb += kb - p.rateKb;
    p.rateKb = kb;
    p.rung = to;
  }

  private Viewers.Viewer releaseRate(ActiveViewing p) {
    setRung(p, -1);
    return p.viewer;
  }

  /** Ends a viewing that has played to its end. */
  private void completeViewing(String tag, ActiveViewing p) {
    if (activeViewings.remove(tag, p)) {
      releaseRate(p).viewingCompleted(this);
      recorder.record("ended", "box", id, "viewing", p.viewer.viewingId(), "why", "lease");
      String said = message("FINISH", tag, 16, null);
      SimulatedConnection.Endpoint by =
          p.endpoint != null && p.endpoint.isOpen()
              ? p.endpoint
              : endpoints.stream()
                  .filter(e -> e.isOpen() && e.peer().equals("f" + p.viewer.front()))
                  .findFirst()
                  .orElse(null);
      if (by != null) {
        send(by, said);
      }
      unreportedEnds.computeIfAbsent("f" + p.viewer.front(), k -> new ArrayList<>()).add(said);
    }
  }

  private void handleFinish(String tag) {
    endedByFront.remove(tag);
    pendingSetUps.remove(tag);
    ActiveViewing p = activeViewings.remove(tag);
    if (p != null) {
      releaseRate(p).viewingCut(this);
    }
    // The end is recorded again on arrival, since the set-up itself may have arrived just before
    // it.
    recorder.record(
        "ended", "box", id, "viewing", simulation.viewers().viewingId(tag), "why", "asked");
  }

  /**
   * Counts what is served over the span, weighted by worth and rung, and where the box is short of
   * capacity notifies one viewing of each front.
   */
  void serve(Span span, boolean notes) {
    double share = deliveredShare();
    Map<Integer, ActiveViewing> byFront = new LinkedHashMap<>();
    for (ActiveViewing p : activeViewings.values()) {
      double stall = Math.max(0, 1 - FleetSimulation.STALL_FACTOR * Math.max(0, 0.98 - share));
      recorder.count(
          "served",
          span.seconds() * p.viewer.worth() * FleetSimulation.WORTH_BY_RUNG[p.rung] * stall);
      if (p.endpoint != null && p.endpoint.isOpen()) {
        byFront.putIfAbsent(p.viewer.front(), p);
      }
    }
    if (notes && share < 0.98) {
      double told = share;
      byFront
          .values()
          .forEach(
              p ->
                  clock.scheduleAfter(
                      Span.ofMillis(300),
                      () -> {
                        if (p.endpoint.isOpen() && activeViewings.containsKey(p.viewer.tag())) {
                          send(p.endpoint, shortageNotice(p.viewer.tag(), told));
                        }
                      }));
    }
  }

  private static String shortageNotice(String tag, double share) {
    return "{\"verb\":\"NOTICE\",\"tag\":\""
        + tag
        + "\",\"opts\":{\"note\":\"got\",\"value\":"
        + String.format(java.util.Locale.ROOT, "%.3f", share)
        + "}}";
  }

  private void send(SimulatedConnection.Endpoint end, String line) {
    if (up) {
      end.write((line + "\n").getBytes(StandardCharsets.UTF_8));
    }
  }

  private static String message(String verb, String tag, int cause, String blob, String... fields) {
    ObjectNode n = JSON.createObjectNode().put("verb", verb).put("tag", tag);
    ObjectNode opts = n.putObject("opts");
    for (int i = 0; i < fields.length; i += 2) {
      opts.put(fields[i], fields[i + 1]);
    }
    if (cause >= 0) {
      n.put("rc", cause);
    }
    return (blob == null ? n : n.put("blob", blob)).toString();
  }
}
