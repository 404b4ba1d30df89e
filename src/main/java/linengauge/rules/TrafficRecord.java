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
 * A parsed traffic record: requests with their answers, set-ups from arrival to end, and what
 * happened to fronts and boxes.
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
    String packageName;
    int rung;
    String key;

    /**
     * The answer to the set-up: "plays", "error", "turned-away" (it never ran), "swallowed" (it
     * runs, but the answer was lost), or null.
     */
    String answer;

    long answeredAt = NEVER;

    /** When the connection broke before an answer, or the box was asked to end the viewing. */
    long cancelledAt = NEVER;

    /** When the box has nothing left of it, as far as the front can know. */
    long endedAt = NEVER;

    /**
     * Returns when it was no longer pending: answered or cancelled. A lost answer does not count.
     */
    long pendingUntil() {
      return Math.min("swallowed".equals(answer) ? NEVER : answeredAt, cancelledAt);
    }

    /** Returns the front and its life; a viewing id is front-life-number. */
    String life() {
      int dash = viewing.lastIndexOf('-');
      return dash < 0 ? viewing : viewing.substring(0, dash);
    }

    boolean provablyNeverRan() {
      return "turned-away".equals(answer);
    }
  }

  /** One request of a viewer. */
  static final class ViewerRequest {
    String id;
    long at;
    int front;
    String key;
    String packageName;
    long timeLimit;

    /** The network broke the connection because the shared address moved to another front. */
    boolean cutByNetwork;

    final List<RecordEvent> outcomes = new ArrayList<>();
  }

  /** A span in which the process of a front was paused. */
  record Pause(long from, long to) {}

  final Terms terms;
  final List<RecordEvent> events;
  final Map<String, ViewerRequest> requests = new LinkedHashMap<>();
  final List<SetUp> setUps = new ArrayList<>();
  final Map<String, List<SetUp>> byViewing = new LinkedHashMap<>();
  private final Map<Integer, List<Pause>> pauses = new HashMap<>();
  private final Map<Integer, List<Long>> kills = new HashMap<>();
  private final Map<Integer, List<Long>> starts = new HashMap<>();

  private TrafficRecord(Terms terms, List<RecordEvent> events) {
    this.terms = terms;
    this.events = events;
  }

  static TrafficRecord read(List<String> lines) throws InvalidRecordException {
    List<RecordEvent> events = new ArrayList<>();
    long number = 0;
    long last = Long.MIN_VALUE;
    for (String line : lines) {
      number++;
      JsonNode fields;
      try {
        fields = JSON.readTree(line);
      } catch (JacksonException e) {
        throw new InvalidRecordException(number, "not JSON");
      }
      if (!fields.path("at").isIntegralNumber() || !fields.path("what").isTextual()) {
        throw new InvalidRecordException(number, "a line needs `at` in microseconds and `what`");
      }
      if (fields.path("at").asLong() < last) {
        throw new InvalidRecordException(number, "its time is before that of the previous line");
      }
      last = fields.path("at").asLong();
      events.add(new RecordEvent(last, fields.path("what").asText(), fields));
    }
    if (events.isEmpty() || !events.get(0).what().equals("terms")) {
      throw new InvalidRecordException(1, "a record must begin with its terms");
    }
    TrafficRecord record = new TrafficRecord(Terms.read(events.get(0).fields()), events);
    long line = 0;
    for (RecordEvent event : events) {
      line++;
      record.add(event, line);
    }
    return record;
  }

  private void add(RecordEvent event, long line) throws InvalidRecordException {
    switch (event.what()) {
      case "asked" -> addRequest(event, line);
      case "answered", "broke", "gave-up" ->
          findRequest(event, "the answer", line).outcomes.add(event);
      case "cut" -> findRequest(event, "the cut", line).cutByNetwork = true;
      case "set-up" -> addSetUp(event, line);
      case "set-up-answered", "set-up-broken", "ended" -> updateSetUps(event);
      case "box-lost" -> endSetUps(setUp -> setUp.box == event.number("box"), event.at());
      case "front-stopped", "front-continued", "front-started", "front-killed" ->
          updateFront(event);
      default -> {}
    }
  }

  private void addRequest(RecordEvent event, long line) throws InvalidRecordException {
    ViewerRequest request = new ViewerRequest();
    request.id = event.text("ask");
    request.at = event.at();
    request.front = (int) event.number("front");
    request.key = event.text("key");
    request.packageName = packageName(event, line);
    request.timeLimit = event.number("patienceMs") * 1000;
    if (requests.put(request.id, request) != null) {
      throw new InvalidRecordException(line, "request " + request.id + " occurs twice");
    }
  }

  private ViewerRequest findRequest(RecordEvent event, String what, long line)
      throws InvalidRecordException {
    ViewerRequest request = requests.get(event.text("ask"));
    if (request == null) {
      throw new InvalidRecordException(
          line, what + " refers to an unknown request: " + event.text("ask"));
    }
    return request;
  }

  /** Marks all matching set-ups as ended at that moment. */
  private void endSetUps(Predicate<SetUp> condition, long at) {
    for (SetUp setUp : setUps) {
      if (condition.test(setUp)) {
        setUp.endedAt = Math.min(setUp.endedAt, at);
      }
    }
  }

  /** Records that a front was paused, resumed, started or killed. */
  private void updateFront(RecordEvent event) {
    int front = (int) event.number("front");
    switch (event.what()) {
      case "front-stopped" ->
          pauses.computeIfAbsent(front, f -> new ArrayList<>()).add(new Pause(event.at(), NEVER));
      case "front-continued" -> {
        List<Pause> frontPauses = pauses.getOrDefault(front, List.of());
        if (!frontPauses.isEmpty()) {
          frontPauses.set(
              frontPauses.size() - 1,
              new Pause(frontPauses.get(frontPauses.size() - 1).from, event.at()));
        }
      }
      case "front-started" -> starts.computeIfAbsent(front, f -> new ArrayList<>()).add(event.at());
      default -> {
        kills.computeIfAbsent(front, f -> new ArrayList<>()).add(event.at());
        endSetUps(setUp -> setUp.front == front, event.at());
      }
    }
  }

  private String packageName(RecordEvent event, long line) throws InvalidRecordException {
    String name = event.text("package");
    if (!terms.packages().containsKey(name)) {
      throw new InvalidRecordException(line, "package " + name + " is not in the terms");
    }
    return name;
  }

  private void addSetUp(RecordEvent event, long line) throws InvalidRecordException {
    SetUp setUp = new SetUp();
    setUp.at = event.at();
    setUp.box = event.number("box");
    setUp.viewing = event.text("viewing");
    setUp.front = (int) event.number("front");
    setUp.tuneIn = (int) event.number("tuneIn");
    setUp.title = event.text("title");
    setUp.packageName = packageName(event, line);
    setUp.rung = (int) event.number("rung");
    setUp.key = event.text("key");
    setUps.add(setUp);
    byViewing.computeIfAbsent(setUp.viewing, v -> new ArrayList<>()).add(setUp);
  }

  private void updateSetUps(RecordEvent event) {
    for (SetUp setUp : byViewing.getOrDefault(event.text("viewing"), List.of())) {
      boolean sameBox = setUp.box == event.number("box");
      if (event.what().equals("ended")
          ? !sameBox
          : !sameBox || setUp.tuneIn != event.number("tuneIn")) {
        continue;
      }
      if (event.what().equals("set-up-answered")) {
        setUp.answer = event.text("how");
        setUp.answeredAt = event.at();
        if (setUp.answer.equals("turned-away") || setUp.answer.equals("error")) {
          setUp.endedAt = Math.min(setUp.endedAt, event.at());
        }
      } else {
        setUp.cancelledAt = Math.min(setUp.cancelledAt, event.at());
        setUp.endedAt = Math.min(setUp.endedAt, event.at());
      }
    }
  }

  /** Returns the first moment from this one on at which the front was running. */
  long runsFrom(int front, long moment) {
    for (Pause pause : pauses.getOrDefault(front, List.of())) {
      if (pause.from <= moment && moment < pause.to) {
        return pause.to;
      }
    }
    return moment;
  }

  boolean wasKilledWithin(int front, long from, long to) {
    return kills.getOrDefault(front, List.of()).stream()
        .anyMatch(killedAt -> killedAt >= from && killedAt <= to);
  }

  /** The front was killed and has not been started again. */
  boolean isDown(int front, long at) {
    long killed = latest(kills, front, at);
    return killed > latest(starts, front, at);
  }

  private static long latest(Map<Integer, List<Long>> momentsByFront, int front, long at) {
    return momentsByFront.getOrDefault(front, List.of()).stream()
        .filter(moment -> moment <= at)
        .max(Long::compare)
        .orElse(Long.MIN_VALUE);
  }
}
