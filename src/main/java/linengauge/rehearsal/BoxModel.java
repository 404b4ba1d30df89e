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
 * A media box of the fleet in virtual time, as it speaks on the platform
 * (docs/protocol/platform.md, "Boxes").
 */
final class BoxModel implements Roads.Place {
  /** What becomes of set-ups. */
  enum Mood {
    WELL,
    ERRORS,
    SILENT,
    SLOW
  }

  private static final ObjectMapper JSON = new ObjectMapper();

  /** The uplink that the boxes of a rack share. */
  static final class Rack {
    private final double sizeKb;
    private double askedKb;

    Rack(double sizeKb) {
      this.sizeKb = sizeKb;
    }
  }

  private static final class Playing {
    private final Viewers.Watch watch;
    private int rung;
    private double kb;
    private Pipe.End end;

    /** Its answer went astray. */
    private boolean lost;

    private Playing(Viewers.Watch watch) {
      this.watch = watch;
    }
  }

  private final FleetDay day;
  private final Clockwork clock;
  private final Ledger ledger;
  private final SplittableRandom chance;
  private final long id;
  private final String address;
  private final int cell;
  private final int zone;
  private final Rack rack;
  private final double linkKb;
  private final Host host;
  private final List<Pipe.End> ends = new ArrayList<>();
  private final Map<String, Playing> playing = new LinkedHashMap<>();

  /** Set-ups heard and not yet answered, by viewing. */
  private final Map<String, Pipe.End> settingUp = new LinkedHashMap<>();

  /**
   * Ends, to be said to their fronts on the next connection from these: once more, or for the first
   * time.
   */
  private final Map<String, List<String>> untold = new LinkedHashMap<>();

  /** Those whose end a front has written; each leaves as that arrives, or with the box's life. */
  private final Set<String> givenUp = new HashSet<>();

  private double askedKb;
  private Moment startedAt;
  private Mood mood = Mood.WELL;
  private boolean up = true;

  /** Counts lives: what an earlier one had under way is nothing to a later one. */
  private int life;

  BoxModel(
      FleetDay day,
      long id,
      String address,
      int cell,
      int zone,
      Rack rack,
      double linkKb,
      Moment startedAt) {
    this.day = day;
    this.clock = day.clock();
    this.ledger = day.ledger();
    this.chance = day.chance().split();
    this.id = id;
    this.address = address;
    this.cell = cell;
    this.zone = zone;
    this.rack = rack;
    this.linkKb = linkKb;
    this.startedAt = startedAt;
    this.host = Host.idle(clock);
    ledger.saw("box-started", "box", id, "cold", startedAt != null, "streams", FleetDay.STREAMS);
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
    return linkKb / FleetDay.KB_PER_WEIGHT;
  }

  long bootMs() {
    return startedAt == null ? 0 : startedAt.micros() / 1000;
  }

  boolean isUp() {
    return up;
  }

  void mood(Mood m) {
    mood = m;
  }

  /** Its process dies: what it plays is cut, connections are reset, new ones refused. */
  void die() {
    up = false;
    life++;
    day.roads().shut(address);
    List.copyOf(ends).forEach(this::broken);
    List.copyOf(playing.values()).forEach(p -> drop(p).cut(this));
    playing.clear();
    settingUp.clear();
    givenUp.clear();
    untold.clear();
    day.roads().died(address, p -> {});
    ends.clear();
    ledger.saw("box-lost", "box", id);
  }

  /** It comes back under its name, cold. */
  void comeBack() {
    up = true;
    startedAt = clock.now();
    day.roads().open(address, this);
    ledger.saw("box-started", "box", id, "cold", true, "streams", FleetDay.STREAMS);
  }

  @Override
  public Host host() {
    return host;
  }

  @Override
  public boolean takes(Pipe.End end) {
    ends.removeIf(e -> !e.isOpen());
    if (ends.size() >= FleetDay.CONNECTIONS) {
      return false;
    }
    ends.add(end);
    StringBuilder part = new StringBuilder();
    end.setHandlers(
        data -> {
          part.append(new String(data, StandardCharsets.UTF_8));
          for (int nl = part.indexOf("\n"); nl >= 0; nl = part.indexOf("\n")) {
            heard(end, part.substring(0, nl));
            part.delete(0, nl + 1);
          }
        },
        () -> closed(end));
    end.pipe().tap(written -> tapped(end, written));
    for (String line : untold.getOrDefault(end.peer(), List.of())) {
      say(end, line);
    }
    untold.remove(end.peer());
    return true;
  }

  private void closed(Pipe.End end) {
    ends.remove(end);
    broken(end);
    settingUp.values().removeIf(by -> by == end);
  }

  /** Set-ups that are open on it end with it. */
  private void broken(Pipe.End end) {
    List<String> tags = new ArrayList<>();
    settingUp.forEach(
        (tag, by) -> {
          if (by == end) {
            tags.add(tag);
          }
        });
    playing.forEach(
        (tag, p) -> {
          if (p.lost && p.end == end) {
            tags.add(tag);
          }
        });
    tags.forEach(
        tag ->
            ledger.saw(
                "set-up-broken",
                "box",
                id,
                "viewing",
                day.viewers().viewing(tag),
                "tuneIn",
                day.viewers().tuneIn(tag)));
  }

  /**
   * What a front writes is seen as it is written: an end counts from then, though the way to the
   * box may be cut.
   */
  private void tapped(Pipe.End end, byte[] written) {
    if (written.length == 0) {
      broken(end);
      return;
    }
    for (String line : new String(written, StandardCharsets.UTF_8).split("\n")) {
      if (line.startsWith("{\"verb\":\"FINISH\"")) {
        String tag = line.replaceFirst(".*\"tag\":\"([0-9a-f]{16})\".*", "$1");
        givenUp.add(tag);
        ledger.saw("ended", "box", id, "viewing", day.viewers().viewing(tag), "why", "asked");
      }
    }
  }

  private void heard(Pipe.End end, String line) {
    JsonNode n;
    try {
      n = JSON.readTree(line);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a front wrote what is no JSON: " + line, e);
    }
    String tag = n.path("tag").asText();
    switch (n.path("verb").asText()) {
      case "START" -> setUp(end, n, tag);
      case "FINISH" -> finished(tag);
      case "RATE" -> {
        Playing p = playing.get(tag);
        if (p != null) {
          ledger.count("changes of rung", 1);
          rung(p, n.path("opts").path("rung").asInt());
          ledger.saw("rung", "box", id, "viewing", p.watch.viewing(), "rung", p.rung);
        }
      }
      case "ECHO" -> {
        ledger.count("tests", 1);
        clock.after(
            Span.ofMillis(3),
            () ->
                say(
                    end,
                    line(
                        "ECHOED",
                        tag,
                        1,
                        null,
                        "load",
                        String.format(
                            java.util.Locale.ROOT,
                            "outstanding:%d;x0:%.3f;x1:%.3f",
                            playing.size(),
                            asked(),
                            rack.askedKb / rack.sizeKb))));
      }
      default -> throw new IllegalStateException("a front wrote " + line);
    }
  }

  private double linkNow() {
    double age = startedAt == null ? 1e9 : clock.now().since(startedAt).seconds();
    return linkKb
        * Math.min(
            1,
            FleetDay.START_CAPACITY
                + (1 - FleetDay.START_CAPACITY) * age / FleetDay.COLD.seconds());
  }

  private double asked() {
    return askedKb / linkNow();
  }

  /** The share of their rates that viewings get here now. */
  private double share() {
    return Math.min(
        1, Math.min(1 / Math.max(0.01, asked()), rack.sizeKb / Math.max(1, rack.askedKb)));
  }

  private void setUp(Pipe.End end, JsonNode n, String tag) {
    Viewers.Watch watch = day.viewers().watch(tag);
    if (givenUp.contains(tag)) {
      // held up on its way until its front had given it up: never out, and what ends it follows
      return;
    }
    if (watch == null) {
      if (!day.viewers().sent(tag)) {
        throw new IllegalStateException("a set-up that no viewer sent: " + tag);
      }
      return; // held up on its way until its viewer had gone; what ends it follows
    }
    int front = Integer.parseInt(end.peer().substring(1));
    int rung = n.path("opts").path("rung").asInt();
    int tuneIn = watch.tunedIn(front);
    sawSetUp(watch, front, tuneIn, rung, tag);
    settingUp.put(tag, end);
    int mine = life;
    Span takes = Span.ofMillis(mood == Mood.SLOW ? 1500 : 15 + chance.nextInt(25));
    Mood now = mood;
    if (now == Mood.SILENT) {
      return;
    }
    clock.after(
        takes,
        () -> {
          if (mine != life || settingUp.get(tag) != end) {
            return;
          }
          settingUp.remove(tag);
          if (now == Mood.ERRORS || playing.size() >= FleetDay.STREAMS) {
            answered(watch, tuneIn, now == Mood.ERRORS ? "error" : "turned-away");
            say(end, line("FINISH", tag, now == Mood.ERRORS ? 47 : 34, null));
          } else {
            play(end, watch, tag, tuneIn, rung);
          }
        });
  }

  private void sawSetUp(Viewers.Watch watch, int front, int tuneIn, int rung, String tag) {
    ledger.saw(
        "set-up",
        "box",
        id,
        "viewing",
        watch.viewing(),
        "front",
        front,
        "tuneIn",
        tuneIn,
        "title",
        watch.title(),
        "package",
        watch.pack(),
        "rung",
        rung,
        "key",
        tag);
    ledger.count("set-ups", 1);
    if (startedAt != null && clock.now().since(startedAt).under(FleetDay.COLD)) {
      ledger.count("set-ups on cold boxes", 1);
    }
  }

  private void play(Pipe.End end, Viewers.Watch watch, String tag, int tuneIn, int rung) {
    Playing p = new Playing(watch);
    p.end = end;
    playing.put(tag, p);
    rung(p, rung);
    boolean lost = day.answersLost() > 0 && chance.nextDouble() < day.answersLost();
    answered(watch, tuneIn, lost ? "swallowed" : "plays");
    watch.plays(this);
    if (!lost) {
      say(end, line("STARTED", tag, -1, "made for " + tag));
    }
    p.lost = lost;
    clock.after(watch.length(), () -> over(tag, p));
  }

  private void answered(Viewers.Watch watch, int tuneIn, String how) {
    ledger.saw(
        "set-up-answered", "box", id, "viewing", watch.viewing(), "tuneIn", tuneIn, "how", how);
  }

  /** It plays here already, as a day begins. */
  void playsAlready(Viewers.Watch watch, int rung) {
    Playing p = new Playing(watch);
    playing.put(watch.tag(), p);
    rung(p, rung);
    watch.plays(this);
    clock.after(watch.length(), () -> over(watch.tag(), p));
  }

  private void rung(Playing p, int to) {
    double kb = to < 0 ? 0 : FleetDay.LADDER_KB[to] * p.watch.rateFactor();
    askedKb += kb - p.kb;
    rack.askedKb += kb - p.kb;
    p.kb = kb;
    p.rung = to;
  }

  private Viewers.Watch drop(Playing p) {
    rung(p, -1);
    return p.watch;
  }

  /** It has come to its end. */
  private void over(String tag, Playing p) {
    if (playing.remove(tag, p)) {
      drop(p).over(this);
      ledger.saw("ended", "box", id, "viewing", p.watch.viewing(), "why", "lease");
      String said = line("FINISH", tag, 16, null);
      Pipe.End by =
          p.end != null && p.end.isOpen()
              ? p.end
              : ends.stream()
                  .filter(e -> e.isOpen() && e.peer().equals("f" + p.watch.front()))
                  .findFirst()
                  .orElse(null);
      if (by != null) {
        say(by, said);
      }
      untold.computeIfAbsent("f" + p.watch.front(), k -> new ArrayList<>()).add(said);
    }
  }

  private void finished(String tag) {
    givenUp.remove(tag);
    settingUp.remove(tag);
    Playing p = playing.remove(tag);
    if (p != null) {
      drop(p).cut(this);
    }
    // Once more as it arrives: the set-up itself may have come no sooner.
    ledger.saw("ended", "box", id, "viewing", day.viewers().viewing(tag), "why", "asked");
  }

  /**
   * Counts what is served here over the span, of what its viewers want; and tells one of each front
   * of a shortage.
   */
  void serve(Span span, boolean notes) {
    double share = share();
    Map<Integer, Playing> byFront = new LinkedHashMap<>();
    for (Playing p : playing.values()) {
      double stall = Math.max(0, 1 - FleetDay.STALL * Math.max(0, 0.98 - share));
      ledger.count("served", span.seconds() * p.watch.worth() * FleetDay.WORTH[p.rung] * stall);
      if (p.end != null && p.end.isOpen()) {
        byFront.putIfAbsent(p.watch.front(), p);
      }
    }
    if (notes && share < 0.98) {
      double told = share;
      byFront
          .values()
          .forEach(
              p ->
                  clock.after(
                      Span.ofMillis(300),
                      () -> {
                        if (p.end.isOpen() && playing.containsKey(p.watch.tag())) {
                          say(p.end, note(p.watch.tag(), told));
                        }
                      }));
    }
  }

  private static String note(String tag, double share) {
    return "{\"verb\":\"NOTICE\",\"tag\":\""
        + tag
        + "\",\"opts\":{\"note\":\"got\",\"value\":"
        + String.format(java.util.Locale.ROOT, "%.3f", share)
        + "}}";
  }

  private void say(Pipe.End end, String line) {
    if (up) {
      end.write((line + "\n").getBytes(StandardCharsets.UTF_8));
    }
  }

  private static String line(String verb, String tag, int cause, String blob, String... fields) {
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
