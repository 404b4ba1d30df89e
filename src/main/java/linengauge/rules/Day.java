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
final class Day {
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
  static final class Ask {
    String id;
    long at;
    int front;
    String key;
    String pack;
    long patience;

    /** The network broke its connection: the shared address had gone to another front. */
    boolean cut;

    final List<Seen> ends = new ArrayList<>();
  }

  /** A span in which a front did not run. */
  record Stop(long from, long to) {}

  final Terms terms;
  final List<Seen> all;
  final Map<String, Ask> asks = new LinkedHashMap<>();
  final List<SetUp> setUps = new ArrayList<>();
  final Map<String, List<SetUp>> byViewing = new LinkedHashMap<>();
  private final Map<Integer, List<Stop>> stops = new HashMap<>();
  private final Map<Integer, List<Long>> kills = new HashMap<>();
  private final Map<Integer, List<Long>> starts = new HashMap<>();

  private Day(Terms terms, List<Seen> all) {
    this.terms = terms;
    this.all = all;
  }

  static Day read(List<String> lines) throws BadRecord {
    List<Seen> all = new ArrayList<>();
    long number = 0;
    long last = Long.MIN_VALUE;
    for (String line : lines) {
      number++;
      JsonNode n;
      try {
        n = JSON.readTree(line);
      } catch (JacksonException e) {
        throw new BadRecord(number, "not JSON");
      }
      if (!n.path("at").isIntegralNumber() || !n.path("what").isTextual()) {
        throw new BadRecord(number, "a line needs `at`, microseconds, and `what`");
      }
      if (n.path("at").asLong() < last) {
        throw new BadRecord(number, "earlier than the line before");
      }
      last = n.path("at").asLong();
      all.add(new Seen(last, n.path("what").asText(), n));
    }
    if (all.isEmpty() || !all.get(0).what().equals("terms")) {
      throw new BadRecord(1, "a record begins with its terms");
    }
    Day day = new Day(Terms.read(all.get(0).fields()), all);
    long line = 0;
    for (Seen s : all) {
      line++;
      day.take(s, line);
    }
    return day;
  }

  private void take(Seen s, long line) throws BadRecord {
    switch (s.what()) {
      case "asked" -> asked(s, line);
      case "answered", "broke", "gave-up" -> askOf(s, "an answer to", line).ends.add(s);
      case "cut" -> askOf(s, "a cut of", line).cut = true;
      case "set-up" -> setUp(s, line);
      case "set-up-answered", "set-up-broken", "ended" -> ends(s);
      case "box-lost" -> endSetUps(u -> u.box == s.whole("box"), s.at());
      case "front-stopped", "front-continued", "front-started", "front-killed" -> front(s);
      default -> {}
    }
  }

  private void asked(Seen s, long line) throws BadRecord {
    Ask a = new Ask();
    a.id = s.text("ask");
    a.at = s.at();
    a.front = (int) s.whole("front");
    a.key = s.text("key");
    a.pack = pack(s, line);
    a.patience = s.whole("patienceMs") * 1000;
    if (asks.put(a.id, a) != null) {
      throw new BadRecord(line, "ask " + a.id + " stands twice");
    }
  }

  private Ask askOf(Seen s, String what, long line) throws BadRecord {
    Ask a = asks.get(s.text("ask"));
    if (a == null) {
      throw new BadRecord(line, what + " what was never asked: " + s.text("ask"));
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
  private void front(Seen s) {
    int front = (int) s.whole("front");
    switch (s.what()) {
      case "front-stopped" ->
          stops.computeIfAbsent(front, f -> new ArrayList<>()).add(new Stop(s.at(), NEVER));
      case "front-continued" -> {
        List<Stop> of = stops.getOrDefault(front, List.of());
        if (!of.isEmpty()) {
          of.set(of.size() - 1, new Stop(of.get(of.size() - 1).from, s.at()));
        }
      }
      case "front-started" -> starts.computeIfAbsent(front, f -> new ArrayList<>()).add(s.at());
      default -> {
        kills.computeIfAbsent(front, f -> new ArrayList<>()).add(s.at());
        endSetUps(u -> u.front == front, s.at());
      }
    }
  }

  private String pack(Seen s, long line) throws BadRecord {
    String name = s.text("package");
    if (!terms.packages().containsKey(name)) {
      throw new BadRecord(line, "package " + name + " is not in the terms");
    }
    return name;
  }

  private void setUp(Seen s, long line) throws BadRecord {
    SetUp u = new SetUp();
    u.at = s.at();
    u.box = s.whole("box");
    u.viewing = s.text("viewing");
    u.front = (int) s.whole("front");
    u.tuneIn = (int) s.whole("tuneIn");
    u.title = s.text("title");
    u.pack = pack(s, line);
    u.rung = (int) s.whole("rung");
    u.key = s.text("key");
    setUps.add(u);
    byViewing.computeIfAbsent(u.viewing, v -> new ArrayList<>()).add(u);
  }

  private void ends(Seen s) {
    for (SetUp u : byViewing.getOrDefault(s.text("viewing"), List.of())) {
      boolean same = u.box == s.whole("box");
      if (s.what().equals("ended") ? !same : !same || u.tuneIn != s.whole("tuneIn")) {
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
    for (Stop s : stops.getOrDefault(front, List.of())) {
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
