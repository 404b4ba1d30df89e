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
  /**
   * How the box handles set-ups: ERRORS rejects with cause 47, SILENT never answers, SLOW answers
   * only after 1.5 s.
   */
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

    Rack(double capacityKb) {
      this.capacityKb = capacityKb;
    }
  }

  private static final class ActiveViewing {
    private final Viewers.Viewer viewer;
    private int rung;
    private double rateKb;
    private SimulatedConnection.Endpoint endpoint;

    /** Whether the answer to the set-up was lost on its way. */
    private boolean answerLost;

    private ActiveViewing(Viewers.Viewer viewer) {
      this.viewer = viewer;
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
   * END messages, by front, that are sent on the front's next connection. They repeat ends that
   * were sent already and hold those that found no open connection.
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
      FleetSimulation simulation,
      long id,
      String address,
      int cell,
      int zone,
      Rack rack,
      double linkKb,
      Moment startedAt) {
    this.simulation = simulation;
    this.clock = simulation.clock();
    this.recorder = simulation.recorder();
    this.random = simulation.random().split();
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

  void setBehavior(Behavior newBehavior) {
    behavior = newBehavior;
  }

  /** Crashes the process: viewings are cut, connections break and new ones are refused. */
  void crash() {
    up = false;
    incarnation++;
    simulation.network().stopListening(address);
    List.copyOf(endpoints).forEach(this::recordBrokenSetUps);
    List.copyOf(activeViewings.values()).forEach(viewing -> releaseRate(viewing).viewingCut(this));
    activeViewings.clear();
    pendingSetUps.clear();
    endedByFront.clear();
    unreportedEnds.clear();
    simulation.network().breakConnections(address, viewing -> {});
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
  public boolean accept(SimulatedConnection.Endpoint endpoint) {
    endpoints.removeIf(open -> !open.isOpen());
    if (endpoints.size() >= FleetSimulation.MAX_CONNECTIONS_PER_BOX) {
      return false;
    }
    endpoints.add(endpoint);
    StringBuilder partialLine = new StringBuilder();
    endpoint.setHandlers(
        data -> {
          partialLine.append(new String(data, StandardCharsets.UTF_8));
          for (int newline = partialLine.indexOf("\n");
              newline >= 0;
              newline = partialLine.indexOf("\n")) {
            receive(endpoint, partialLine.substring(0, newline));
            partialLine.delete(0, newline + 1);
          }
        },
        () -> connectionClosed(endpoint));
    endpoint.connection().observeWrites(written -> observeWrite(endpoint, written));
    for (String line : unreportedEnds.getOrDefault(endpoint.peer(), List.of())) {
      send(endpoint, line);
    }
    unreportedEnds.remove(endpoint.peer());
    return true;
  }

  private void connectionClosed(SimulatedConnection.Endpoint endpoint) {
    endpoints.remove(endpoint);
    recordBrokenSetUps(endpoint);
    pendingSetUps.values().removeIf(usedEndpoint -> usedEndpoint == endpoint);
  }

  /** Records that the set-ups which are open on a connection have ended with it. */
  private void recordBrokenSetUps(SimulatedConnection.Endpoint endpoint) {
    List<String> tags = new ArrayList<>();
    pendingSetUps.forEach(
        (tag, usedEndpoint) -> {
          if (usedEndpoint == endpoint) {
            tags.add(tag);
          }
        });
    activeViewings.forEach(
        (tag, viewing) -> {
          if (viewing.answerLost && viewing.endpoint == endpoint) {
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
  private void observeWrite(SimulatedConnection.Endpoint endpoint, byte[] written) {
    if (written.length == 0) {
      recordBrokenSetUps(endpoint);
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

  private void receive(SimulatedConnection.Endpoint endpoint, String line) {
    JsonNode json;
    try {
      json = JSON.readTree(line);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a front wrote a line that is not JSON: " + line, e);
    }
    String tag = json.path("tag").asText();
    switch (json.path("verb").asText()) {
      case "START" -> handleSetUp(endpoint, json, tag);
      case "FINISH" -> handleFinish(tag);
      case "RATE" -> {
        ActiveViewing viewing = activeViewings.get(tag);
        if (viewing != null) {
          recorder.count("changes of rung", 1);
          setRung(viewing, json.path("opts").path("rung").asInt());
          recorder.record(
              "rung", "box", id, "viewing", viewing.viewer.viewingId(), "rung", viewing.rung);
        }
      }
      case "ECHO" -> {
        recorder.count("tests", 1);
        clock.scheduleAfter(
            Span.ofMillis(3),
            () ->
                send(
                    endpoint,
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
    double ageSeconds = startedAt == null ? 1e9 : clock.now().since(startedAt).seconds();
    return linkKb
        * Math.min(
            1,
            FleetSimulation.START_CAPACITY
                + (1 - FleetSimulation.START_CAPACITY)
                    * ageSeconds
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

  private void handleSetUp(SimulatedConnection.Endpoint endpoint, JsonNode json, String tag) {
    Viewers.Viewer viewer = simulation.viewers().find(tag);
    if (endedByFront.contains(tag)) {
      // The network held the set-up until its front had ended it. It never started, and the end
      // follows.
      return;
    }
    if (viewer == null) {
      if (!simulation.viewers().wasIssued(tag)) {
        throw new IllegalStateException("received a set-up that no viewer sent: " + tag);
      }
      // The network held the set-up until its viewer had left. The end follows.
      return;
    }
    int front = Integer.parseInt(endpoint.peer().substring(1));
    int rung = json.path("opts").path("rung").asInt();
    int tuneIn = viewer.nextTuneIn(front);
    recordSetUp(viewer, front, tuneIn, rung, tag);
    pendingSetUps.put(tag, endpoint);
    int thisIncarnation = incarnation;
    Span answerDelay = Span.ofMillis(behavior == Behavior.SLOW ? 1500 : 15 + random.nextInt(25));
    Behavior currentBehavior = behavior;
    if (currentBehavior == Behavior.SILENT) {
      return;
    }
    clock.scheduleAfter(
        answerDelay,
        () -> {
          if (thisIncarnation != incarnation || pendingSetUps.get(tag) != endpoint) {
            return;
          }
          pendingSetUps.remove(tag);
          if (currentBehavior == Behavior.ERRORS
              || activeViewings.size() >= FleetSimulation.MAX_VIEWINGS_PER_BOX) {
            // Cause 47 is an error; with 34 the box is full and the set-up never ran.
            recordAnswer(
                viewer, tuneIn, currentBehavior == Behavior.ERRORS ? "error" : "turned-away");
            send(
                endpoint,
                message("FINISH", tag, currentBehavior == Behavior.ERRORS ? 47 : 34, null));
          } else {
            startViewing(endpoint, viewer, tag, tuneIn, rung);
          }
        });
  }

  private void recordSetUp(Viewers.Viewer viewer, int front, int tuneIn, int rung, String tag) {
    recorder.record(
        "set-up",
        "box",
        id,
        "viewing",
        viewer.viewingId(),
        "front",
        front,
        "tuneIn",
        tuneIn,
        "title",
        viewer.title(),
        "package",
        viewer.packageName(),
        "rung",
        rung,
        "key",
        tag);
    recorder.count("set-ups", 1);
    if (startedAt != null
        && clock.now().since(startedAt).isShorterThan(FleetSimulation.COLD_DURATION)) {
      recorder.count("set-ups on cold boxes", 1);
    }
  }

  private void startViewing(
      SimulatedConnection.Endpoint endpoint,
      Viewers.Viewer viewer,
      String tag,
      int tuneIn,
      int rung) {
    ActiveViewing viewing = new ActiveViewing(viewer);
    viewing.endpoint = endpoint;
    activeViewings.put(tag, viewing);
    setRung(viewing, rung);
    boolean answerLost =
        simulation.answerLossRate() > 0 && random.nextDouble() < simulation.answerLossRate();
    recordAnswer(viewer, tuneIn, answerLost ? "swallowed" : "plays");
    viewer.setCurrentBox(this);
    if (!answerLost) {
      send(endpoint, message("STARTED", tag, -1, "made for " + tag));
    }
    viewing.answerLost = answerLost;
    clock.scheduleAfter(viewer.remaining(), () -> completeViewing(tag, viewing));
  }

  private void recordAnswer(Viewers.Viewer viewer, int tuneIn, String outcome) {
    recorder.record(
        "set-up-answered",
        "box",
        id,
        "viewing",
        viewer.viewingId(),
        "tuneIn",
        tuneIn,
        "how",
        outcome);
  }

  /** Adds a viewing that is playing on this box before the simulation starts. */
  void addExistingViewing(Viewers.Viewer viewer, int rung) {
    ActiveViewing viewing = new ActiveViewing(viewer);
    activeViewings.put(viewer.tag(), viewing);
    setRung(viewing, rung);
    viewer.setCurrentBox(this);
    clock.scheduleAfter(viewer.remaining(), () -> completeViewing(viewer.tag(), viewing));
  }

  private void setRung(ActiveViewing viewing, int newRung) {
    double newRateKb =
        newRung < 0 ? 0 : FleetSimulation.LADDER_KB[newRung] * viewing.viewer.rateFactor();
    demandKb += newRateKb - viewing.rateKb;
    rack.demandKb += newRateKb - viewing.rateKb;
    viewing.rateKb = newRateKb;
    viewing.rung = newRung;
  }

  private Viewers.Viewer releaseRate(ActiveViewing viewing) {
    setRung(viewing, -1);
    return viewing.viewer;
  }

  /** Ends a viewing that has played to its end. */
  private void completeViewing(String tag, ActiveViewing viewing) {
    if (activeViewings.remove(tag, viewing)) {
      releaseRate(viewing).viewingCompleted(this);
      recorder.record("ended", "box", id, "viewing", viewing.viewer.viewingId(), "why", "lease");
      // Cause 16: the viewing has ended normally.
      String endMessage = message("FINISH", tag, 16, null);
      SimulatedConnection.Endpoint openEndpoint =
          viewing.endpoint != null && viewing.endpoint.isOpen()
              ? viewing.endpoint
              : endpoints.stream()
                  .filter(open -> open.isOpen() && open.peer().equals("f" + viewing.viewer.front()))
                  .findFirst()
                  .orElse(null);
      if (openEndpoint != null) {
        send(openEndpoint, endMessage);
      }
      unreportedEnds
          .computeIfAbsent("f" + viewing.viewer.front(), front -> new ArrayList<>())
          .add(endMessage);
    }
  }

  private void handleFinish(String tag) {
    endedByFront.remove(tag);
    pendingSetUps.remove(tag);
    ActiveViewing viewing = activeViewings.remove(tag);
    if (viewing != null) {
      releaseRate(viewing).viewingCut(this);
    }
    // The end is recorded again on arrival: the set-up itself may have arrived just before it.
    recorder.record(
        "ended", "box", id, "viewing", simulation.viewers().viewingId(tag), "why", "asked");
  }

  /**
   * Counts what is served over the span, weighted by worth and rung. If `notes` is set and viewings
   * receive less than 0.98 of their rates, one viewing of each front is notified 300 ms later.
   */
  void serve(Span span, boolean notes) {
    double share = deliveredShare();
    Map<Integer, ActiveViewing> byFront = new LinkedHashMap<>();
    for (ActiveViewing viewing : activeViewings.values()) {
      // The part of the worth that remains despite stalls: 1 while the share is at least 0.98,
      // falling to 0 at a share of about 0.81.
      double stall = Math.max(0, 1 - FleetSimulation.STALL_FACTOR * Math.max(0, 0.98 - share));
      recorder.count(
          "served",
          span.seconds()
              * viewing.viewer.worth()
              * FleetSimulation.WORTH_BY_RUNG[viewing.rung]
              * stall);
      if (viewing.endpoint != null && viewing.endpoint.isOpen()) {
        byFront.putIfAbsent(viewing.viewer.front(), viewing);
      }
    }
    if (notes && share < 0.98) {
      double reportedShare = share;
      byFront
          .values()
          .forEach(
              viewing ->
                  clock.scheduleAfter(
                      Span.ofMillis(300),
                      () -> {
                        if (viewing.endpoint.isOpen()
                            && activeViewings.containsKey(viewing.viewer.tag())) {
                          send(
                              viewing.endpoint,
                              shortageNotice(viewing.viewer.tag(), reportedShare));
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

  private void send(SimulatedConnection.Endpoint endpoint, String line) {
    if (up) {
      endpoint.write((line + "\n").getBytes(StandardCharsets.UTF_8));
    }
  }

  private static String message(String verb, String tag, int cause, String blob, String... fields) {
    ObjectNode json = JSON.createObjectNode().put("verb", verb).put("tag", tag);
    ObjectNode options = json.putObject("opts");
    for (int i = 0; i < fields.length; i += 2) {
      options.put(fields[i], fields[i + 1]);
    }
    if (cause >= 0) {
      json.put("rc", cause);
    }
    return (blob == null ? json : json.put("blob", blob)).toString();
  }
}
