package linengauge.rules;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * A record put in order: who asked and was answered, every set-up from its coming to its end, and
 * what befell whom.
 */
final class TrafficRecord {
  static final long NEVER = Long.MAX_VALUE;
  private static final ObjectMapper JSON = new ObjectMapper();

  /** A set-up as its box saw it. */
  static final class SetUp {
    long at;
    long box;
    String viewing;
    int front;
    int tuneIn;
    String title;
    String pack;
    int rung;
    String key;

    /** How it was answered, or null; and when. */
    String how;

    long answeredAt = NEVER;

    /** When the connection was broken before an answer, or the box was asked to end it. */
    long givenUpAt = NEVER;

    /** When nothing of it is at the box any more, as far as the front could know. */
    long overAt = NEVER;

    /** When it was no longer out: answered, or given up. */
    long noLongerOut() {
      return Math.min("swallowed".equals(how) ? NEVER : answeredAt, givenUpAt);
    }

    /** Front and life of it: ids are front-life-number. */
    String life() {
      int dash = viewing.lastIndexOf('-');
      return dash < 0 ? viewing : viewing.substring(0, dash);
    }

    boolean provablyNeverRan() {
      return "turned-away".equals(how);
    }
  }

  /** One request of a viewer. */
  static final class ViewerRequest {
    String id;
    long at;
    int front;
    String key;
    String pack;
    long patience;

    /** The network broke its connection: the shared address had gone to another front. */
    boolean cut;

    final List<RecordEvent> ends = new ArrayList<>();
  }

  /** A span in which a front did not run. */
  record Pause(long from, long to) {}

  final Terms terms;
  final List<RecordEvent> all;
  final Map<String, ViewerRequest> asks = new LinkedHashMap<>();
  final List<SetUp> setUps = new ArrayList<>();
  final Map<String, List<SetUp>> byViewing = new LinkedHashMap<>();
  private final Map<Integer, List<Pause>> stops = new HashMap<>();
  private final Map<Integer, List<Long>> kills = new HashMap<>();
  private final Map<Integer, List<Long>> starts = new HashMap<>();

  private TrafficRecord(Terms terms, List<RecordEvent> all) {
    this.terms = terms;
    this.all = all;
  }

  static TrafficRecord read(List<String> lines) throws InvalidRecordException {
    List<RecordEvent> all = new ArrayList<>();
    long number = 0;
    long last = Long.MIN_VALUE;
    for (String line : lines) {
      number++;
      JsonNode n;
      try {
        n = JSON.readTree(line);
      } catch (JacksonException e) {
        throw new InvalidRecordException(number, "not JSON");
      }
      if (!n.path("at").isIntegralNumber() || !n.path("what").isTextual()) {
        throw new InvalidRecordException(number, "a line needs `at`, microseconds, and `what`");
      }
      if (n.path("at").asLong() < last) {
        throw new InvalidRecordException(number, "earlier than the line before");
      }
      last = n.path("at").asLong();
      all.add(new RecordEvent(last, n.path("what").asText(), n));
    }
    if (all.isEmpty() || !all.get(0).what().equals("terms")) {
      throw new InvalidRecordException(1, "a record begins with its terms");
    }
    TrafficRecord day = new TrafficRecord(Terms.read(all.get(0).fields()), all);
    long line = 0;
    for (RecordEvent s : all) {
      line++;
      day.take(s, line);
    }
    return day;
  }

  private void take(RecordEvent s, long line) throws InvalidRecordException {
    switch (s.what()) {
      case "asked" -> asked(s, line);
      case "answered", "broke", "gave-up" -> askOf(s, "an answer to", line).ends.add(s);
      case "cut" -> askOf(s, "a cut of", line).cut = true;
      case "set-up" -> setUp(s, line);
      case "set-up-answered", "set-up-broken", "ended" -> ends(s);
      case "box-lost" -> endSetUps(u -> u.box == s.number("box"), s.at());
      case "front-stopped", "front-continued", "front-started", "front-killed" -> front(s);
      default -> {}
    }
  }

  private void asked(RecordEvent s, long line) throws InvalidRecordException {
    ViewerRequest a = new ViewerRequest();
    a.id = s.text("ask");
    a.at = s.at();
    a.front = (int) s.number("front");
    a.key = s.text("key");
    a.pack = pack(s, line);
    a.patience = s.number("patienceMs") * 1000;
    if (asks.put(a.id, a) != null) {
      throw new InvalidRecordException(line, "ask " + a.id + " stands twice");
    }
  }

  private ViewerRequest askOf(RecordEvent s, String what, long line) throws InvalidRecordException {
    ViewerRequest a = asks.get(s.text("ask"));
    if (a == null) {
      throw new InvalidRecordException(line, what + " what was never asked: " + s.text("ask"));
    }
    return a;
  }

  /** All such set-ups are over by then. */
  private void endSetUps(Predicate<SetUp> such, long at) {
    for (SetUp u : setUps) {
      if (such.test(u)) {
        u.overAt = Math.min(u.overAt, at);
      }
    }
  }

  /** A front is stopped, goes on, is started or is killed. */
  private void front(RecordEvent s) {
    int front = (int) s.number("front");
    switch (s.what()) {
      case "front-stopped" ->
          stops.computeIfAbsent(front, f -> new ArrayList<>()).add(new Pause(s.at(), NEVER));
      case "front-continued" -> {
        List<Pause> of = stops.getOrDefault(front, List.of());
        if (!of.isEmpty()) {
          of.set(of.size() - 1, new Pause(of.get(of.size() - 1).from, s.at()));
        }
      }
      case "front-started" -> starts.computeIfAbsent(front, f -> new ArrayList<>()).add(s.at());
      default -> {
        kills.computeIfAbsent(front, f -> new ArrayList<>()).add(s.at());
        endSetUps(u -> u.front == front, s.at());
      }
    }
  }

  private String pack(RecordEvent s, long line) throws InvalidRecordException {
    String name = s.text("package");
    if (!terms.packages().containsKey(name)) {
      throw new InvalidRecordException(line, "package " + name + " is not in the terms");
    }
    return name;
  }

  private void setUp(RecordEvent s, long line) throws InvalidRecordException {
    SetUp u = new SetUp();
    u.at = s.at();
    u.box = s.number("box");
    u.viewing = s.text("viewing");
    u.front = (int) s.number("front");
    u.tuneIn = (int) s.number("tuneIn");
    u.title = s.text("title");
    u.pack = pack(s, line);
    u.rung = (int) s.number("rung");
    u.key = s.text("key");
    setUps.add(u);
    byViewing.computeIfAbsent(u.viewing, v -> new ArrayList<>()).add(u);
  }

  private void ends(RecordEvent s) {
    for (SetUp u : byViewing.getOrDefault(s.text("viewing"), List.of())) {
      boolean same = u.box == s.number("box");
      if (s.what().equals("ended") ? !same : !same || u.tuneIn != s.number("tuneIn")) {
        continue;
      }
      if (s.what().equals("set-up-answered")) {
        u.how = s.text("how");
        u.answeredAt = s.at();
        if (u.how.equals("turned-away") || u.how.equals("error")) {
          u.overAt = Math.min(u.overAt, s.at());
        }
      } else {
        u.givenUpAt = Math.min(u.givenUpAt, s.at());
        u.overAt = Math.min(u.overAt, s.at());
      }
    }
  }

  /** When the front next ran, from this moment on. */
  long running(int front, long at) {
    for (Pause s : stops.getOrDefault(front, List.of())) {
      if (s.from <= at && at < s.to) {
        return s.to;
      }
    }
    return at;
  }

  boolean killedWithin(int front, long from, long to) {
    return kills.getOrDefault(front, List.of()).stream().anyMatch(k -> k >= from && k <= to);
  }

  /** The front had been killed and not been started again. */
  boolean down(int front, long at) {
    long killed = latest(kills, front, at);
    return killed > latest(starts, front, at);
  }

  private static long latest(Map<Integer, List<Long>> of, int front, long at) {
    return of.getOrDefault(front, List.of()).stream()
        .filter(m -> m <= at)
        .max(Long::compare)
        .orElse(Long.MIN_VALUE);
  }
}
